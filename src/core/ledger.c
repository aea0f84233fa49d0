#include <wigeoncart/ledger.h>

#include <assert.h>
#include <glib.h>
#include <stdbool.h>

enum
{
  /*
   * At 5,000 orders per second, about 20 entries expire in a tick of 4.1 ms. One revolution of the wheel takes 16.8 s,
   * longer than the lifetime of a ticket. Entries that expire later stay in their slot for another revolution.
   */
  TICK_SHIFT = 12,
  WHEEL_SLOTS = 4096,
  MAX_ENTRIES = 1 << 30
};

static const uint32_t NO_INDEX = UINT32_MAX;

const char *const WC_LEDGER_STATE_STRINGS[WC_LEDGER_STATE_COUNT] = {
  [WC_LEDGER_QUEUED] = "queued",   [WC_LEDGER_DISPATCHED] = "dispatched", [WC_LEDGER_DONE] = "done",
  [WC_LEDGER_NOT_RUN] = "not run", [WC_LEDGER_UNKNOWN] = "unknown",
};

/* Entry with its links: in the chain of its hash bucket, and in a wheel slot, @expired_in_progress or @free_list. */
typedef struct
{
  WcLedgerEntry entry;
  uint32_t      next_in_bucket;
  uint32_t      next_in_list;
} Record;

/*
 * Hash table with chaining, and a timing wheel of the expiry times.
 *
 * @free_list: list of unused records.
 * @expired_in_progress: list of expired entries that were in progress at the last check; never longer than the number
 * of requests in progress.
 * @tick: first tick of the wheel that is not completely processed.
 */
struct WcLedger
{
  Record   *records;
  uint32_t *buckets;
  uint32_t  max_entries;
  uint32_t  bucket_count;
  uint32_t  bucket_bits;
  uint32_t  count;
  uint32_t  free_list;
  uint32_t  expired_in_progress;
  uint64_t  tick;
  uint32_t  wheel[WHEEL_SLOTS];
};

static uint32_t *find_bucket (const WcLedger *ledger, uint64_t serial);
static void      push_record (WcLedger *ledger, uint32_t *list, uint32_t index);
static bool      is_in_progress (const WcLedgerEntry *entry);
static void      remove_record (WcLedger *ledger, uint32_t index);
static uint32_t  expire_list (WcLedger *ledger, uint32_t *list, uint64_t now_us);

WcLedger *
wc_ledger_new (uint32_t max_entries)
{
  WcLedger *ledger = g_new0 (WcLedger, 1);

  assert (max_entries <= MAX_ENTRIES);

  ledger->max_entries = max_entries;
  ledger->bucket_bits = 1;
  while ((UINT32_C (1) << ledger->bucket_bits) < max_entries)
    ledger->bucket_bits++;
  ledger->bucket_count = UINT32_C (1) << ledger->bucket_bits;
  ledger->records = g_new0 (Record, max_entries);
  ledger->buckets = g_new (uint32_t, ledger->bucket_count);
  for (uint32_t i = 0; i < ledger->bucket_count; i++)
    ledger->buckets[i] = NO_INDEX;
  for (uint32_t i = 0; i < WHEEL_SLOTS; i++)
    ledger->wheel[i] = NO_INDEX;
  ledger->expired_in_progress = NO_INDEX;
  ledger->free_list = NO_INDEX;
  for (uint32_t i = max_entries; i > 0; i--)
    push_record (ledger, &ledger->free_list, i - 1);
  return ledger;
}

void
wc_ledger_delete (WcLedger *ledger)
{
  if (!ledger)
    return;
  g_free (ledger->records);
  g_free (ledger->buckets);
  g_free (ledger);
}

WcLedgerEntry *
wc_ledger_find (WcLedger *ledger, uint64_t serial)
{
  assert (ledger != NULL);

  for (uint32_t i = *find_bucket (ledger, serial); i != NO_INDEX; i = ledger->records[i].next_in_bucket)
    if (ledger->records[i].entry.serial == serial)
      return &ledger->records[i].entry;
  return NULL;
}

WcLedgerEntry *
wc_ledger_insert (WcLedger *ledger, uint64_t serial, uint64_t expiry_us)
{
  uint32_t *bucket;
  uint32_t  index;
  Record   *record;
  uint64_t  tick;

  assert (ledger != NULL);

  index = ledger->free_list;
  if (index == NO_INDEX || wc_ledger_find (ledger, serial))
    return NULL;
  record = &ledger->records[index];
  ledger->free_list = record->next_in_list;
  ledger->count++;
  record->entry = (WcLedgerEntry){ .serial = serial, .expiry_us = expiry_us, .state = WC_LEDGER_QUEUED };

  bucket = find_bucket (ledger, serial);
  record->next_in_bucket = *bucket;
  *bucket = index;
  /* An entry that is already expired goes into the current slot, because earlier slots are visited only one revolution
   * later.
   */
  tick = MAX (expiry_us >> TICK_SHIFT, ledger->tick);
  push_record (ledger, &ledger->wheel[tick % WHEEL_SLOTS], index);
  return &record->entry;
}

uint32_t
wc_ledger_expire (WcLedger *ledger, uint64_t now_us)
{
  uint64_t now_tick = now_us >> TICK_SHIFT;
  uint32_t removed;

  assert (ledger != NULL);

  removed = expire_list (ledger, &ledger->expired_in_progress, now_us);
  /* If more than one revolution has elapsed, each slot is visited only once. */
  if (now_tick >= ledger->tick + WHEEL_SLOTS)
    ledger->tick = now_tick - WHEEL_SLOTS + 1;
  for (uint64_t tick = ledger->tick; tick <= now_tick; tick++)
    removed += expire_list (ledger, &ledger->wheel[tick % WHEEL_SLOTS], now_us);
  /* The current slot is visited again next time, because entries in it may expire later in this tick. */
  ledger->tick = MAX (ledger->tick, now_tick);
  return removed;
}

uint32_t
wc_ledger_get_count (const WcLedger *ledger)
{
  assert (ledger != NULL);

  return ledger->count;
}

size_t
wc_ledger_get_bytes (const WcLedger *ledger)
{
  assert (ledger != NULL);

  return sizeof *ledger + (size_t)ledger->max_entries * sizeof (Record) +
         (size_t)ledger->bucket_count * sizeof (uint32_t);
}

/* local functions */

static uint32_t *
find_bucket (const WcLedger *ledger, uint64_t serial)
{
  /* Fibonacci hashing: serials are often consecutive, and multiplication by 2^64 / golden ratio spreads them over the
   * high bits. */
  uint64_t hash = serial * UINT64_C (0x9e3779b97f4a7c15);

  return &ledger->buckets[hash >> (64 - ledger->bucket_bits)];
}

static void
push_record (WcLedger *ledger, uint32_t *list, uint32_t index)
{
  ledger->records[index].next_in_list = *list;
  *list = index;
}

static bool
is_in_progress (const WcLedgerEntry *entry)
{
  return entry->state == WC_LEDGER_QUEUED || entry->state == WC_LEDGER_DISPATCHED;
}

static void
remove_record (WcLedger *ledger, uint32_t index)
{
  uint32_t *link = find_bucket (ledger, ledger->records[index].entry.serial);

  while (*link != index)
    link = &ledger->records[*link].next_in_bucket;
  *link = ledger->records[index].next_in_bucket;
  push_record (ledger, &ledger->free_list, index);
  ledger->count--;
}

static uint32_t
expire_list (WcLedger *ledger, uint32_t *list, uint64_t now_us)
{
  uint32_t removed = 0;
  uint32_t index = *list;

  *list = NO_INDEX;
  while (index != NO_INDEX)
    {
      Record  *record = &ledger->records[index];
      uint32_t next = record->next_in_list;

      if (record->entry.expiry_us >= now_us)
        push_record (ledger, list, index);
      else if (is_in_progress (&record->entry))
        push_record (ledger, &ledger->expired_in_progress, index);
      else
        {
          remove_record (ledger, index);
          removed++;
        }
      index = next;
    }
  return removed;
}
