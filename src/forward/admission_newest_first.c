#include "forward/admission_policy.h"

#include <glib.h>

/*
 * Baseline: openings that can be in time precede the others and the newest of them is first; what exceeds the number
 * that the hosts can answer before callers give up is rejected.
 */

enum
{
  /* A request with less time left is assumed to be answered late; a typical request runs for 5 to 30 ms. */
  ANSWER_MIN_US = 20 * 1000,
  HOLD_SPAN_US = 1200 * 1000,
  /*
   * Lower bound of the limit on held openings per service. The limit is derived from the estimated capacity of the
   * hosts, and the estimate may be wrong.
   */
  HELD_MIN = 4,
  /* A typical request runs for at most as long, so trials alone build no queue. */
  TRIAL_INTERVAL_US = 30 * 1000
};

static bool admits (const WcHeldOpening *held, const WcAdmissionView *view, const WcHost *host);
static bool is_before (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us);
static bool is_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view);
static bool can_be_in_time (const WcHeldOpening *held, uint64_t now_us);

const WcAdmissionPolicy WC_ADMISSION_NEWEST_FIRST = {
  .name = "newest-first",
  .admits = admits,
  .is_before = is_before,
  .is_hopeless = is_hopeless,
  .trial_interval_us = TRIAL_INTERVAL_US,
};

/* local functions */

static bool
admits (const WcHeldOpening *held, const WcAdmissionView *view, const WcHost *host)
{
  return held->target_deadline_us == UINT64_MAX ||
         wc_placement_has_room (view->hosts, host, view->placement, view->now_us);
}

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
is_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view)
{
  uint64_t limit = wc_placement_get_capacity (view->hosts, view->placement, HOLD_SPAN_US, view->now_us);

  return wc_held_opening_is_expired (held, view->now_us) || position >= MAX (limit, HELD_MIN);
}

static bool
can_be_in_time (const WcHeldOpening *held, uint64_t now_us)
{
  return now_us + ANSWER_MIN_US <= held->target_deadline_us;
}
