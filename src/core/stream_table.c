#include <wigeoncart/stream_table.h>

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Waiters of one service, sorted by cursor, lowest first. */
typedef struct
{
  uint32_t   id;
  GSequence *by_cursor;
} Service;

typedef struct
{
  WcStreamWaiter waiter;
  Service       *service;
  GSequenceIter *cursor_iter;
  GSequenceIter *deadline_iter;
} Entry;

/*
 * @entries: set of Entry, keyed by caller and request id.
 * @services: services that have waiters, keyed by id.
 * @by_deadline: all entries, sorted by deadline, earliest first.
 */
struct WcStreamTable
{
  GHashTable *entries;
  GHashTable *services;
  GSequence  *by_deadline;
  uint32_t    max_waiters;
};

static guint    hash_entry (const void *data);
static gboolean entries_equal (const void *a, const void *b);
static int      compare_cursors (const void *a, const void *b, void *user_data);
static int      compare_deadlines (const void *a, const void *b, void *user_data);
static void     delete_service (void *data);
static Service *find_service (const WcStreamTable *table, uint32_t id);
static Service *find_or_add_service (WcStreamTable *table, uint32_t id);
static Entry   *get_first (GSequence *sequence);
static void     remove_entry (WcStreamTable *table, Entry *entry);

WcStreamTable *
wc_stream_table_new (uint32_t max_waiters)
{
  WcStreamTable *table = g_new0 (WcStreamTable, 1);

  table->entries = g_hash_table_new_full (hash_entry, entries_equal, g_free, NULL);
  table->services = g_hash_table_new_full (NULL, NULL, NULL, delete_service);
  table->by_deadline = g_sequence_new (NULL);
  table->max_waiters = max_waiters;
  return table;
}

void
wc_stream_table_delete (WcStreamTable *table)
{
  if (!table)
    return;
  g_sequence_free (table->by_deadline);
  g_hash_table_destroy (table->services);
  g_hash_table_destroy (table->entries);
  g_free (table);
}

WcStatus
wc_stream_table_add (WcStreamTable *table, const WcStreamWaiter *waiter)
{
  Entry *entry;

  assert (table != NULL);
  assert (waiter != NULL);

  entry = g_new0 (Entry, 1);
  entry->waiter = *waiter;
  /* The caller may send the poll again, directly or through another instance, and with a newer cursor. */
  remove_entry (table, g_hash_table_lookup (table->entries, entry));
  if (g_hash_table_size (table->entries) >= table->max_waiters)
    {
      g_free (entry);
      return WC_STATUS_NO_SPACE;
    }
  entry->service = find_or_add_service (table, waiter->service);
  entry->cursor_iter = g_sequence_insert_sorted (entry->service->by_cursor, entry, compare_cursors, NULL);
  entry->deadline_iter = g_sequence_insert_sorted (table->by_deadline, entry, compare_deadlines, NULL);
  g_hash_table_add (table->entries, entry);
  return WC_STATUS_OK;
}

bool
wc_stream_table_take_ready (WcStreamTable *table, uint32_t service, uint64_t cursor, WcStreamWaiter *waiter)
{
  Service *found;
  Entry   *entry;

  assert (table != NULL);
  assert (waiter != NULL);

  found = find_service (table, service);
  if (!found)
    return false;
  entry = get_first (found->by_cursor);
  if (entry->waiter.cursor >= cursor)
    return false;
  *waiter = entry->waiter;
  remove_entry (table, entry);
  return true;
}

bool
wc_stream_table_take_expired (WcStreamTable *table, uint64_t now_us, WcStreamWaiter *waiter)
{
  Entry *entry;

  assert (table != NULL);
  assert (waiter != NULL);

  entry = get_first (table->by_deadline);
  if (!entry || entry->waiter.deadline_us > now_us)
    return false;
  *waiter = entry->waiter;
  remove_entry (table, entry);
  return true;
}

bool
wc_stream_table_get_lowest_cursor (const WcStreamTable *table, uint32_t service, uint64_t *lowest_cursor)
{
  Service *found;

  assert (table != NULL);
  assert (lowest_cursor != NULL);

  found = find_service (table, service);
  if (!found)
    return false;
  *lowest_cursor = get_first (found->by_cursor)->waiter.cursor;
  return true;
}

uint32_t
wc_stream_table_get_count (const WcStreamTable *table)
{
  assert (table != NULL);

  return g_hash_table_size (table->entries);
}

/* local functions */

static guint
hash_entry (const void *data)
{
  const WcStreamWaiter *waiter = &((const Entry *)data)->waiter;
  const WcAddress      *caller = &waiter->caller;
  /* The bytes that wc_address_equal() compares. */
  size_t   ip_bytes = caller->family == 6 ? sizeof caller->ip : 4;
  uint64_t hash = waiter->request_id ^ (uint64_t)caller->family << 16 ^ caller->port;

  for (size_t i = 0; i < ip_bytes; i += 4)
    {
      uint32_t word;

      memcpy (&word, caller->ip + i, sizeof word);
      hash = (hash ^ word) * UINT64_C (0x9e3779b97f4a7c15);
      hash ^= hash >> 32;
    }
  return (guint)hash;
}

static gboolean
entries_equal (const void *a, const void *b)
{
  const WcStreamWaiter *first = &((const Entry *)a)->waiter;
  const WcStreamWaiter *second = &((const Entry *)b)->waiter;

  return first->request_id == second->request_id && wc_address_equal (&first->caller, &second->caller);
}

static int
compare_cursors (const void *a, const void *b, void *user_data)
{
  uint64_t first = ((const Entry *)a)->waiter.cursor;
  uint64_t second = ((const Entry *)b)->waiter.cursor;

  (void)user_data;
  return first < second ? -1 : first > second;
}

static int
compare_deadlines (const void *a, const void *b, void *user_data)
{
  uint64_t first = ((const Entry *)a)->waiter.deadline_us;
  uint64_t second = ((const Entry *)b)->waiter.deadline_us;

  (void)user_data;
  return first < second ? -1 : first > second;
}

static void
delete_service (void *data)
{
  Service *service = data;

  g_sequence_free (service->by_cursor);
  g_free (service);
}

static Service *
find_service (const WcStreamTable *table, uint32_t id)
{
  return g_hash_table_lookup (table->services, GUINT_TO_POINTER (id));
}

static Service *
find_or_add_service (WcStreamTable *table, uint32_t id)
{
  Service *service = find_service (table, id);

  if (!service)
    {
      service = g_new0 (Service, 1);
      service->id = id;
      service->by_cursor = g_sequence_new (NULL);
      g_hash_table_insert (table->services, GUINT_TO_POINTER (id), service);
    }
  return service;
}

static Entry *
get_first (GSequence *sequence)
{
  GSequenceIter *first = g_sequence_get_begin_iter (sequence);

  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

static void
remove_entry (WcStreamTable *table, Entry *entry)
{
  Service *service;

  if (!entry)
    return;
  service = entry->service;
  g_sequence_remove (entry->cursor_iter);
  g_sequence_remove (entry->deadline_iter);
  if (g_sequence_is_empty (service->by_cursor))
    g_hash_table_remove (table->services, GUINT_TO_POINTER (service->id));
  g_hash_table_remove (table->entries, entry);
}
