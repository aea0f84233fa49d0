#include "forward/admission_queue.h"

#include <assert.h>

#include <glib.h>

#include "forward/flow_table.h"

enum
{
  /*
   * One second of openings at the highest planned rate, 100 a second on an instance, with reserve for the openings of
   * other instances.
   */
  CAPACITY = 256
};

struct WcAdmissionQueue
{
  WcHeldOpeningOrder is_before;
  size_t             count;
  WcHeldOpening      entries[CAPACITY];
};

typedef struct
{
  const WcAdmissionQueue *queue;
  uint64_t                now_us;
} Order;

static gint compare (gconstpointer a, gconstpointer b, gpointer user_data);
static bool is_full_service (uint32_t service, const uint32_t *full_services, size_t full_count);

WcAdmissionQueue *
wc_admission_queue_new (WcHeldOpeningOrder is_before)
{
  WcAdmissionQueue *queue = g_new0 (WcAdmissionQueue, 1);

  assert (is_before != NULL);

  queue->is_before = is_before;
  return queue;
}

void
wc_admission_queue_delete (WcAdmissionQueue *queue)
{
  g_free (queue);
}

size_t
wc_admission_queue_get_count (const WcAdmissionQueue *queue)
{
  return queue->count;
}

WcHeldOpening *
wc_admission_queue_find (WcAdmissionQueue *queue, const WcFlowKey *key)
{
  assert (queue != NULL && key != NULL);

  for (size_t i = 0; i < queue->count; i++)
    if (wc_flow_key_equal (&queue->entries[i].opening.packet.key, key))
      return &queue->entries[i];
  return NULL;
}

bool
wc_admission_queue_has_service (const WcAdmissionQueue *queue, uint32_t service)
{
  for (size_t i = 0; i < queue->count; i++)
    if (queue->entries[i].service == service)
      return true;
  return false;
}

bool
wc_admission_queue_add (WcAdmissionQueue *queue, const WcHeldOpening *held, uint64_t now_us, WcHeldOpening *rejected)
{
  WcHeldOpening *last = NULL;

  assert (queue != NULL && held != NULL && rejected != NULL);

  if (queue->count < CAPACITY)
    {
      queue->entries[queue->count++] = *held;
      return true;
    }
  for (size_t i = 0; i < queue->count; i++)
    {
      WcHeldOpening *other = &queue->entries[i];

      if (other->service == held->service && (!last || queue->is_before (last, other, now_us)))
        last = other;
    }
  if (!last || queue->is_before (last, held, now_us))
    {
      *rejected = *held;
      return false;
    }
  *rejected = *last;
  *last = *held;
  return false;
}

size_t
wc_admission_queue_count_before (const WcAdmissionQueue *queue, const WcHeldOpening *held, uint64_t now_us)
{
  size_t count = 0;

  for (size_t i = 0; i < queue->count; i++)
    count += queue->entries[i].service == held->service && queue->is_before (&queue->entries[i], held, now_us);
  return count;
}

void
wc_admission_queue_walk (WcAdmissionQueue *queue, uint64_t now_us, WcHeldOpeningVisit visit, void *user_data)
{
  const Order context = { queue, now_us };
  uint16_t    order[CAPACITY];
  bool        is_kept[CAPACITY] = { false };

  assert (queue != NULL && visit != NULL);

  for (size_t i = 0; i < queue->count; i++)
    order[i] = (uint16_t)i;
  g_qsort_with_data (order, (gint)queue->count, sizeof order[0], compare, (gpointer)&context);
  for (size_t i = 0; i < queue->count; i++)
    {
      const WcHeldOpening *held = &queue->entries[order[i]];
      size_t               position = 0;

      for (size_t j = 0; j < i; j++)
        position += is_kept[order[j]] && queue->entries[order[j]].service == held->service;
      is_kept[order[i]] = visit (user_data, held, position);
    }
  for (size_t i = queue->count; i > 0; i--)
    if (!is_kept[i - 1])
      queue->entries[i - 1] = queue->entries[--queue->count];
}

WcHeldOpening *
wc_admission_queue_get_best (WcAdmissionQueue *queue, const uint32_t full_services[WC_ADMISSION_MAX_FULL_SERVICES],
                             size_t full_count, uint64_t now_us)
{
  WcHeldOpening *best = NULL;

  for (size_t i = 0; i < queue->count; i++)
    {
      WcHeldOpening *held = &queue->entries[i];

      if (!is_full_service (held->service, full_services, full_count) &&
          (!best || queue->is_before (held, best, now_us)))
        best = held;
    }
  return best;
}

void
wc_admission_queue_remove (WcAdmissionQueue *queue, WcHeldOpening *held)
{
  assert (queue != NULL && held >= queue->entries && held < queue->entries + queue->count);

  *held = queue->entries[--queue->count];
}

/* local functions */

static gint
compare (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const Order         *order = user_data;
  const WcHeldOpening *left = &order->queue->entries[*(const uint16_t *)a];
  const WcHeldOpening *right = &order->queue->entries[*(const uint16_t *)b];

  if (order->queue->is_before (left, right, order->now_us))
    return -1;
  return order->queue->is_before (right, left, order->now_us);
}

static bool
is_full_service (uint32_t service, const uint32_t *full_services, size_t full_count)
{
  for (size_t i = 0; i < full_count; i++)
    if (full_services[i] == service)
      return true;
  return false;
}
