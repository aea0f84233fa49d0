#include "forward/held_opening.h"

#include <assert.h>

#include <glib.h>

enum
{
  /*
   * A caller gives up an opening after 1.4 s; the last 200 ms are reserved for the host's answer and the caller's next
   * packet.
   */
  HOLD_MAX_US = 1200 * 1000,
  /* Time reserved for the answer before the time limit of the route. */
  ANSWER_MIN_US = 20 * 1000
};

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
  held->answer_us = 0;
  held->is_guaranteed = false;
  held->exceeds_share = false;
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
wc_held_opening_can_be_in_time (const WcHeldOpening *held, uint64_t now_us)
{
  return now_us + held->answer_us <= held->target_deadline_us;
}

bool
wc_held_opening_is_expired (const WcHeldOpening *held, uint64_t now_us)
{
  return now_us >= held->hold_deadline_us;
}
