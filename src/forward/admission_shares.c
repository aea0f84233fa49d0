#include "forward/admission_shares.h"

#include <assert.h>

#include <glib.h>

enum
{
  /* Part of the capacity that each less urgent class keeps; from the requirements. */
  GUARANTEED_PERCENT = 10,
  /* Unused guaranteed openings are kept for this long, so that uneven arrivals get their part. */
  GUARANTEE_LIFETIME_US = 1000 * 1000,
  SECOND_US = 1000 * 1000
};

static bool take_guaranteed (WcClassLoad *load, uint64_t capacity_per_s, uint64_t now_us);

WcAdmissionShares *
wc_admission_shares_new (void)
{
  return g_new0 (WcAdmissionShares, 1);
}

void
wc_admission_shares_delete (WcAdmissionShares *shares)
{
  g_free (shares);
}

void
wc_admission_shares_classify (WcAdmissionShares *shares, WcHeldOpening *held, uint64_t capacity_per_s, uint64_t now_us)
{
  WcClassLoad *load;

  assert (shares != NULL && held != NULL);

  load = wc_class_loads_get (&shares->classes, held->service, held->priority, now_us);
  held->exceeds_share =
      wc_caller_shares_record (&shares->callers, held->opening.packet.key.caller_ip, held->service, held->priority,
                               MAX (wc_class_load_get_openings_per_s (load, now_us),
                                    capacity_per_s / wc_class_load_get_requests_per_flow (load, now_us)),
                               now_us);
  if (!wc_held_opening_can_be_in_time (held, now_us))
    return;
  wc_class_load_record_arrival (load, now_us);
  if (!held->exceeds_share && wc_admission_shares_is_contended (shares, held, now_us))
    {
      /* A domain without hosts gets little of the others' capacity; its guaranteed part must not be all of it. */
      uint64_t used_per_s = wc_class_loads_get_forwards_per_s (&shares->classes, held->service, now_us);

      held->is_guaranteed = take_guaranteed (load, MIN (capacity_per_s, used_per_s), now_us);
    }
}

void
wc_admission_shares_record_waited (WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t now_us)
{
  if (shares && !held->exceeds_share)
    wc_class_loads_get (&shares->classes, held->service, held->priority, now_us)->waited_us = now_us;
}

void
wc_admission_shares_record_opening (WcAdmissionShares *shares, const WcHeldOpening *held, bool is_own_domain,
                                    uint64_t now_us)
{
  if (shares)
    wc_class_load_record_opening (wc_class_loads_get (&shares->classes, held->service, held->priority, now_us),
                                  is_own_domain, now_us);
}

void
wc_admission_shares_record_progress (WcAdmissionShares *shares, uint32_t service, uint8_t priority, bool is_request,
                                     bool is_answer, uint64_t now_us)
{
  WcClassLoad *load;

  if (!shares || !(is_request || is_answer))
    return;
  load = wc_class_loads_get (&shares->classes, service, priority, now_us);
  if (is_request)
    wc_class_load_record_request (load, now_us);
  if (is_answer)
    wc_class_load_record_answer (load, now_us);
}

bool
wc_admission_shares_is_contended (const WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t now_us)
{
  return wc_class_loads_has_waited (&shares->classes, held->service, (uint32_t)held->priority + held->exceeds_share,
                                    now_us);
}

bool
wc_admission_shares_has_waited (const WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t now_us)
{
  return wc_class_loads_has_waited (&shares->classes, held->service, (uint32_t)held->priority + 1, now_us);
}

uint64_t
wc_admission_shares_get_spare_per_s (const WcAdmissionShares *shares, const WcHeldOpening *held,
                                     uint64_t capacity_per_s, uint64_t now_us)
{
  /* The estimate from run times is too low for hosts with fast requests; answers show what the hosts can do at least.
   */
  uint64_t total_per_s =
      MAX (capacity_per_s, wc_class_loads_get_answers_per_s (&shares->classes, held->service, now_us));
  uint64_t urgent_per_s = wc_class_loads_get_urgent_per_s (&shares->classes, held->service, held->priority, now_us);

  return MAX (total_per_s - MIN (total_per_s, urgent_per_s), total_per_s * GUARANTEED_PERCENT / 100);
}

bool
wc_admission_shares_is_spent (const WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t spare_per_s,
                              uint64_t now_us)
{
  const WcClassLoad *load = wc_class_loads_find (&shares->classes, held->service, held->priority);

  return load && wc_class_load_get_usage_per_s (load, now_us) >= spare_per_s;
}

/* local functions */

/* Spaces guaranteed openings so that the requests on their flows make up the guaranteed part of the capacity. */
static bool
take_guaranteed (WcClassLoad *load, uint64_t capacity_per_s, uint64_t now_us)
{
  uint64_t requests_per_s = MAX (capacity_per_s * GUARANTEED_PERCENT / 100, 1);
  uint64_t interval_us = wc_class_load_get_requests_per_flow (load, now_us) * SECOND_US / requests_per_s;

  if (now_us < load->guaranteed_us)
    return false;
  load->guaranteed_us = MAX (load->guaranteed_us, now_us - MIN (now_us, GUARANTEE_LIFETIME_US)) + interval_us;
  return true;
}
