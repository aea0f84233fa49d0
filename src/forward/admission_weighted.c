#include "forward/admission_policy.h"

#include <glib.h>

#include "forward/admission_shares.h"

/*
 * Load pattern: callers of urgent and of less urgent routes press beyond what hosts can serve. Precedence in the queue
 * alone does not help the urgent ones: less urgent openings are admitted in each gap, and the requests on their flows
 * take the capacity from the urgent ones that arrive next. While urgent openings have to wait, less urgent ones are
 * therefore admitted only as far as the rate of urgent requests leaves spare capacity; a guaranteed part precedes all
 * others, so that no class starves. Openings beyond the fair part of their caller's address come last in their class,
 * and are not admitted while others of it had to wait.
 *
 * As long as no opening has to wait, this policy decides as the deadline policy, which also decides how much the hosts
 * can take.
 */

enum
{
  /*
   * Part of the answers on open flows that counts as capacity for openings that wait. With all of them, openings were
   * held that were rejected 77 to 130 ms later (95th percentile in urgent-burst), with half of them 12 to 52 ms later.
   */
  OPEN_FLOWS_PERCENT = 50,
  TRIAL_INTERVAL_US = 60 * 1000
};

static bool admits (const WcHeldOpening *held, const WcAdmissionView *view, const WcHost *host);
static bool is_before (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us);
static bool is_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view);
static bool allows_trial (const WcHeldOpening *held, const WcAdmissionView *view);
static bool is_limited (const WcHeldOpening *held, const WcAdmissionView *view);

const WcAdmissionPolicy WC_ADMISSION_WEIGHTED = {
  .name = "weighted",
  .admits = admits,
  .is_before = is_before,
  .is_hopeless = is_hopeless,
  .allows_trial = allows_trial,
  .trial_interval_us = TRIAL_INTERVAL_US,
  .uses_shares = true,
};

/* local functions */

/* Spare capacity of other domains is not reserved for the urgent callers of this one. */
static bool
admits (const WcHeldOpening *held, const WcAdmissionView *view, const WcHost *host)
{
  if (host->record.domain == view->placement->domain && is_limited (held, view))
    return false;
  return WC_ADMISSION_DEADLINE.admits (held, view, host);
}

static bool
is_before (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us)
{
  bool a_in_time = wc_held_opening_can_be_in_time (a, now_us);
  bool b_in_time = wc_held_opening_can_be_in_time (b, now_us);

  if (a_in_time == b_in_time)
    {
      if (a->is_guaranteed != b->is_guaranteed)
        return a->is_guaranteed;
      if (a->priority == b->priority && a->exceeds_share != b->exceeds_share)
        return b->exceeds_share;
    }
  return WC_ADMISSION_DEADLINE.is_before (a, b, now_us);
}

static bool
is_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view)
{
  uint64_t open_flows_per_s =
      view->shares ? wc_class_loads_get_open_flows_per_s (&view->shares->classes, held->service, view->now_us) : 0;

  return wc_admission_is_hopeless (held, position, open_flows_per_s * OPEN_FLOWS_PERCENT / 100, view) ||
         is_limited (held, view);
}

/* Under overload the intervals of trials are most of the admissions, so they must follow the shares as well. */
static bool
allows_trial (const WcHeldOpening *held, const WcAdmissionView *view)
{
  return !is_limited (held, view);
}

/* Whether openings that have precedence need the capacity. */
static bool
is_limited (const WcHeldOpening *held, const WcAdmissionView *view)
{
  uint64_t spare_per_s;

  if (held->target_deadline_us == UINT64_MAX || held->is_guaranteed || !view->shares ||
      !wc_admission_shares_is_contended (view->shares, held, view->now_us))
    return false;
  if (held->exceeds_share)
    return true;
  spare_per_s =
      wc_admission_shares_get_spare_per_s (view->shares, held, wc_admission_get_capacity_per_s (view), view->now_us);
  return wc_admission_shares_is_spent (view->shares, held, spare_per_s, view->now_us);
}
