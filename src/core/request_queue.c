#include "core/request_queue.h"

#include <assert.h>

enum
{
  /* Queued requests are counted in classes by the position of the highest set bit of their worth, or 0. */
  WORTH_CLASSES = 33
};

typedef struct
{
  WcDispatchRequest request;
  uint64_t          start_deadline_us;
  uint64_t          sequence;
  uint32_t          position[WC_QUEUE_ORDER_COUNT];
} Entry;

struct WcRequestQueue
{
  uint32_t    capacity;
  uint32_t    length;
  uint64_t    sequence;
  Entry      *entries;
  uint32_t   *free_entries;
  uint32_t   *heaps[WC_QUEUE_ORDER_COUNT];
  uint32_t    class_counts[WORTH_CLASSES];
  GHashTable *by_request;
};

/* Handles are stored as pointers in the hash table. */
G_STATIC_ASSERT (sizeof (gpointer) >= sizeof (uint64_t));

static uint32_t get_worth_class (uint32_t worth);
static bool     precedes (const Entry *a, const Entry *b, WcQueueOrder order);
static void     heap_set (WcRequestQueue *queue, WcQueueOrder order, uint32_t position, uint32_t entry);
static void     heap_sift_up (WcRequestQueue *queue, WcQueueOrder order, uint32_t position);
static void     heap_sift_down (WcRequestQueue *queue, WcQueueOrder order, uint32_t position);
static void     remove_entry (WcRequestQueue *queue, uint32_t index);

WcRequestQueue *
wc_request_queue_new (uint32_t capacity)
{
  WcRequestQueue *queue = g_new0 (WcRequestQueue, 1);

  assert (capacity > 0);

  queue->capacity = capacity;
  queue->entries = g_new0 (Entry, capacity);
  queue->free_entries = g_new0 (uint32_t, capacity);
  for (uint32_t i = 0; i < capacity; i++)
    queue->free_entries[i] = capacity - 1 - i;
  for (int order = 0; order < WC_QUEUE_ORDER_COUNT; order++)
    queue->heaps[order] = g_new0 (uint32_t, capacity);
  queue->by_request = g_hash_table_new (NULL, NULL);
  return queue;
}

void
wc_request_queue_delete (WcRequestQueue *queue)
{
  if (!queue)
    return;
  g_hash_table_unref (queue->by_request);
  for (int order = 0; order < WC_QUEUE_ORDER_COUNT; order++)
    g_free (queue->heaps[order]);
  g_free (queue->free_entries);
  g_free (queue->entries);
  g_free (queue);
}

bool
wc_request_queue_push (WcRequestQueue *queue, const WcDispatchRequest *request, uint64_t start_deadline_us)
{
  uint32_t index;
  Entry   *entry;

  assert (queue != NULL);
  assert (request != NULL);
  assert (request->request != 0);

  if (queue->length == queue->capacity)
    return false;
  index = queue->free_entries[queue->capacity - 1 - queue->length];
  entry = &queue->entries[index];
  entry->request = *request;
  entry->start_deadline_us = start_deadline_us;
  entry->sequence = queue->sequence++;
  queue->length++;
  queue->class_counts[get_worth_class (request->worth)]++;
  for (int order = 0; order < WC_QUEUE_ORDER_COUNT; order++)
    {
      heap_set (queue, order, queue->length - 1, index);
      heap_sift_up (queue, order, queue->length - 1);
    }
  g_hash_table_insert (queue->by_request, (gpointer)(uintptr_t)request->request, GUINT_TO_POINTER (index + 1));
  return true;
}

const WcDispatchRequest *
wc_request_queue_peek (const WcRequestQueue *queue, WcQueueOrder order)
{
  assert (queue != NULL);

  return queue->length > 0 ? &queue->entries[queue->heaps[order][0]].request : NULL;
}

uint64_t
wc_request_queue_get_earliest_start_deadline (const WcRequestQueue *queue)
{
  assert (queue != NULL);

  return queue->length > 0 ? queue->entries[queue->heaps[WC_QUEUE_START_DEADLINE][0]].start_deadline_us : UINT64_MAX;
}

void
wc_request_queue_pop (WcRequestQueue *queue, WcQueueOrder order)
{
  assert (queue != NULL);
  assert (queue->length > 0);

  remove_entry (queue, queue->heaps[order][0]);
}

bool
wc_request_queue_remove (WcRequestQueue *queue, uint64_t request)
{
  gpointer value;

  assert (queue != NULL);

  value = g_hash_table_lookup (queue->by_request, (gpointer)(uintptr_t)request);
  if (!value)
    return false;
  remove_entry (queue, GPOINTER_TO_UINT (value) - 1);
  return true;
}

bool
wc_request_queue_precedes (const WcDispatchRequest *a, const WcDispatchRequest *b)
{
  assert (a != NULL);
  assert (b != NULL);

  if (a->worth != b->worth)
    return a->worth > b->worth;
  return a->deadline_us < b->deadline_us;
}

uint32_t
wc_request_queue_count_ahead (const WcRequestQueue *queue, uint32_t worth)
{
  uint32_t ahead = 0;

  assert (queue != NULL);

  for (uint32_t class = get_worth_class (worth); class < WORTH_CLASSES; class ++)
    ahead += queue->class_counts[class];
  return ahead;
}

uint32_t
wc_request_queue_get_length (const WcRequestQueue *queue)
{
  assert (queue != NULL);

  return queue->length;
}

/* local functions */

static uint32_t
get_worth_class (uint32_t worth)
{
  return worth == 0 ? 0 : 32 - (uint32_t)__builtin_clz (worth);
}

static bool
precedes (const Entry *a, const Entry *b, WcQueueOrder order)
{
  if (order == WC_QUEUE_START_DEADLINE && a->start_deadline_us != b->start_deadline_us)
    return a->start_deadline_us < b->start_deadline_us;
  if (order == WC_QUEUE_START_DEADLINE || order == WC_QUEUE_ARRIVAL)
    return a->sequence < b->sequence;
  if (order == WC_QUEUE_LOWEST_PRIORITY)
    {
      const Entry *swap = a;

      a = b;
      b = swap;
    }
  if (a->request.worth != b->request.worth)
    return a->request.worth > b->request.worth;
  if (a->request.deadline_us != b->request.deadline_us)
    return a->request.deadline_us < b->request.deadline_us;
  return a->sequence < b->sequence;
}

static void
heap_set (WcRequestQueue *queue, WcQueueOrder order, uint32_t position, uint32_t entry)
{
  queue->heaps[order][position] = entry;
  queue->entries[entry].position[order] = position;
}

static void
heap_sift_up (WcRequestQueue *queue, WcQueueOrder order, uint32_t position)
{
  uint32_t *heap = queue->heaps[order];
  uint32_t  entry = heap[position];

  while (position > 0)
    {
      uint32_t parent = (position - 1) / 2;

      if (!precedes (&queue->entries[entry], &queue->entries[heap[parent]], order))
        break;
      heap_set (queue, order, position, heap[parent]);
      position = parent;
    }
  heap_set (queue, order, position, entry);
}

static void
heap_sift_down (WcRequestQueue *queue, WcQueueOrder order, uint32_t position)
{
  uint32_t *heap = queue->heaps[order];
  uint32_t  entry = heap[position];

  for (;;)
    {
      uint32_t child = 2 * position + 1;

      if (child >= queue->length)
        break;
      if (child + 1 < queue->length && precedes (&queue->entries[heap[child + 1]], &queue->entries[heap[child]], order))
        child++;
      if (!precedes (&queue->entries[heap[child]], &queue->entries[entry], order))
        break;
      heap_set (queue, order, position, heap[child]);
      position = child;
    }
  heap_set (queue, order, position, entry);
}

static void
remove_entry (WcRequestQueue *queue, uint32_t index)
{
  Entry *entry = &queue->entries[index];

  g_hash_table_remove (queue->by_request, (gpointer)(uintptr_t)entry->request.request);
  queue->class_counts[get_worth_class (entry->request.worth)]--;
  queue->length--;
  for (int order = 0; order < WC_QUEUE_ORDER_COUNT; order++)
    {
      uint32_t position = entry->position[order];
      uint32_t last = queue->heaps[order][queue->length];

      if (position == queue->length)
        continue;
      heap_set (queue, order, position, last);
      heap_sift_up (queue, order, position);
      heap_sift_down (queue, order, queue->entries[last].position[order]);
    }
  queue->free_entries[queue->capacity - 1 - queue->length] = index;
}
