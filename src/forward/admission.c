#include "forward/admission.h"

#include <assert.h>

#include <glib.h>

#include "forward/flow_table.h"

enum
{
  /*
   * One second of openings at the highest planned rate, 100 a second on an instance, with reserve for the openings of
   * other instances.
   */
  CAPACITY = 256,
  /*
   * A caller gives up an opening after 1.4 s; the last 200 ms are reserved for the host's answer and the caller's next
   * packet.
   */
  HOLD_MAX_US = 1200 * 1000,
  /* A request with less time left is assumed to be answered late; a typical request runs for 5 to 30 ms. */
  ANSWER_MIN_US = 20 * 1000
};

struct WcAdmissionQueue
{
  size_t        count;
  WcHeldOpening entries[CAPACITY];
};

static bool is_before (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us);
static bool can_be_in_time (const WcHeldOpening *held, uint64_t now_us);
static bool is_full_service (uint32_t service, const uint32_t *full_services, size_t full_count);

bool
wc_held_opening_init (WcHeldOpening *held, const WcRoute *route, const WcPacket *packet, uint64_t retry_sent_us,
                      uint64_t now_us)
{
  uint64_t limit_us;

  assert (held != NULL && route != NULL && packet != NULL);

  if (!wc_opening_set (&held->opening, packet))
    return false;
  limit_us = (uint64_t)route->time_limit_ms * 1000;
  held->service = 0;
  held->avoid = 0;
  held->priority = route->priority;
  held->sent_us = wc_opening_get_sent_us (packet, now_us);
  held->hold_deadline_us = held->sent_us + HOLD_MAX_US;
  if (retry_sent_us > 0)
    held->sent_us = MIN (held->sent_us, retry_sent_us);
  held->target_deadline_us =
      route->target_latency_ms > 0 ? held->sent_us + (uint64_t)route->target_latency_ms * 1000 : UINT64_MAX;
  if (limit_us > ANSWER_MIN_US)
    held->hold_deadline_us = MIN (held->hold_deadline_us, held->sent_us + limit_us - ANSWER_MIN_US);
  return true;
}

bool
wc_admission_admits (const WcHeldOpening *held, const WcHostTable *hosts, const WcHost *host,
                     const WcPlacement *placement, uint64_t now_us)
{
  assert (held != NULL && hosts != NULL && host != NULL && placement != NULL);

  return held->target_deadline_us == UINT64_MAX || wc_placement_has_room (hosts, host, placement, now_us);
}

WcAdmissionQueue *
wc_admission_queue_new (void)
{
  return g_new0 (WcAdmissionQueue, 1);
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
wc_admission_queue_add (WcAdmissionQueue *queue, const WcHeldOpening *held, uint64_t limit, uint64_t now_us,
                        WcHeldOpening *rejected)
{
  WcHeldOpening *last = NULL;
  size_t         count = 0;

  assert (queue != NULL && held != NULL && rejected != NULL);

  for (size_t i = 0; i < queue->count; i++)
    {
      WcHeldOpening *other = &queue->entries[i];

      if (other->service != held->service)
        continue;
      count++;
      if (!last || is_before (last, other, now_us))
        last = other;
    }
  if (count < limit && queue->count < CAPACITY)
    {
      queue->entries[queue->count++] = *held;
      return true;
    }
  if (!last || is_before (last, held, now_us))
    {
      *rejected = *held;
      return false;
    }
  *rejected = *last;
  *last = *held;
  return false;
}

WcHeldOpening *
wc_admission_queue_get_best (WcAdmissionQueue *queue, const uint32_t full_services[WC_ADMISSION_MAX_FULL_SERVICES],
                             size_t full_count, uint64_t now_us)
{
  WcHeldOpening *best = NULL;

  for (size_t i = 0; i < queue->count; i++)
    {
      WcHeldOpening *held = &queue->entries[i];

      if (!is_full_service (held->service, full_services, full_count) && (!best || is_before (held, best, now_us)))
        best = held;
    }
  return best;
}

WcHeldOpening *
wc_admission_queue_get_expired (WcAdmissionQueue *queue, uint64_t now_us)
{
  for (size_t i = 0; i < queue->count; i++)
    if (now_us >= queue->entries[i].hold_deadline_us)
      return &queue->entries[i];
  return NULL;
}

void
wc_admission_queue_remove (WcAdmissionQueue *queue, WcHeldOpening *held)
{
  assert (queue != NULL && held >= queue->entries && held < queue->entries + queue->count);

  *held = queue->entries[--queue->count];
}

/* local functions */

static bool
is_before (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us)
{
  bool a_in_time = can_be_in_time (a, now_us);
  bool b_in_time = can_be_in_time (b, now_us);

  if (a_in_time != b_in_time)
    return a_in_time;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a_in_time ? a->sent_us > b->sent_us : a->sent_us < b->sent_us;
}

static bool
can_be_in_time (const WcHeldOpening *held, uint64_t now_us)
{
  return now_us + ANSWER_MIN_US <= held->target_deadline_us;
}

static bool
is_full_service (uint32_t service, const uint32_t *full_services, size_t full_count)
{
  for (size_t i = 0; i < full_count; i++)
    if (full_services[i] == service)
      return true;
  return false;
}
