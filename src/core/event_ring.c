#include <wigeoncart/event_ring.h>

#include <assert.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

enum
{
  EVENT_WORDS = (sizeof (WcEvent) + sizeof (uint64_t) - 1) / sizeof (uint64_t),
  MAX_CAPACITY = 1 << 30
};

/*
 * An entry with a sequence lock.
 *
 * @sequence: 2 * number of the event + 1 during the write, 2 * number + 2 after it; 0 for an unused entry.
 *
 * The words are atomic, so that a read concurrent with a write is not a data race; the reader detects it by the
 * sequence and discards the entry. Words are stored with release order and loaded with acquire order, so that a reader
 * that sees a word of a later event also sees the sequence that was stored before it. Fences would be sufficient, but
 * ThreadSanitizer does not support them.
 */
typedef struct
{
  _Atomic uint64_t sequence;
  _Atomic uint64_t words[EVENT_WORDS];
} Entry;

/* @added: total number of events added. */
struct WcEventRing
{
  uint64_t         mask;
  _Atomic uint64_t added;
  _Atomic uint64_t logical;
  Entry            entries[];
};

static bool read_entry (const Entry *entry, uint64_t number, WcEvent *event);

WcEventRing *
wc_event_ring_new (uint32_t capacity)
{
  WcEventRing *ring;
  uint64_t     size = 1;

  assert (capacity <= MAX_CAPACITY);

  while (size < capacity)
    size *= 2;
  ring = g_malloc0 (sizeof *ring + size * sizeof (Entry));
  ring->mask = size - 1;
  return ring;
}

void
wc_event_ring_delete (WcEventRing *ring)
{
  g_free (ring);
}

void
wc_event_ring_add (WcEventRing *ring, const WcEvent *event)
{
  uint64_t words[EVENT_WORDS] = { 0 };
  WcEvent  copy;
  uint64_t number;
  Entry   *entry;

  assert (ring != NULL);
  assert (event != NULL);
  assert (event->kind < WC_EVENT_COUNT);

  copy = *event;
  copy.logical = atomic_fetch_add_explicit (&ring->logical, 1, memory_order_relaxed) + 1;
  memcpy (words, &copy, sizeof copy);

  number = atomic_load_explicit (&ring->added, memory_order_relaxed);
  entry = &ring->entries[number & ring->mask];
  atomic_store_explicit (&entry->sequence, 2 * number + 1, memory_order_relaxed);
  for (int i = 0; i < EVENT_WORDS; i++)
    atomic_store_explicit (&entry->words[i], words[i], memory_order_release);
  atomic_store_explicit (&entry->sequence, 2 * number + 2, memory_order_release);
  atomic_store_explicit (&ring->added, number + 1, memory_order_release);
}

void
wc_event_ring_observe (WcEventRing *ring, uint64_t logical)
{
  uint64_t current;

  assert (ring != NULL);

  current = atomic_load_explicit (&ring->logical, memory_order_relaxed);
  while (current < logical && !atomic_compare_exchange_weak_explicit (&ring->logical, &current, logical,
                                                                      memory_order_relaxed, memory_order_relaxed))
    ;
}

uint64_t
wc_event_ring_get_logical (const WcEventRing *ring)
{
  assert (ring != NULL);

  return atomic_load_explicit (&ring->logical, memory_order_relaxed);
}

size_t
wc_event_ring_copy (const WcEventRing *ring, WcEvent *events, size_t max)
{
  uint64_t added;
  uint64_t number;
  size_t   count = 0;

  assert (ring != NULL);
  assert (events != NULL || max == 0);

  added = atomic_load_explicit (&ring->added, memory_order_acquire);
  number = added - MIN (added, MIN (ring->mask + 1, max));
  for (; number < added; number++)
    if (read_entry (&ring->entries[number & ring->mask], number, &events[count]))
      count++;
  return count;
}

/* local functions */

static bool
read_entry (const Entry *entry, uint64_t number, WcEvent *event)
{
  uint64_t words[EVENT_WORDS];

  if (atomic_load_explicit (&entry->sequence, memory_order_acquire) != 2 * number + 2)
    return false;
  for (int i = 0; i < EVENT_WORDS; i++)
    words[i] = atomic_load_explicit (&entry->words[i], memory_order_acquire);
  if (atomic_load_explicit (&entry->sequence, memory_order_relaxed) != 2 * number + 2)
    return false;
  memcpy (event, words, sizeof *event);
  return true;
}
