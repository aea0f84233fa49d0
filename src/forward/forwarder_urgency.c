#include "forward/forwarder_private.h"

/* What the forwarder asks of an admission policy that uses the loads of priorities and callers. */

void
wc_forwarder_classify_opening (WcForwarder *forwarder, WcHeldOpening *held)
{
  uint64_t capacity_per_s = 0;

  if (!forwarder->shares)
    return;
  /* Summing the capacity visits all hosts of the domain; it matters only while openings wait. */
  if (wc_admission_shares_has_waited (forwarder->shares, held, forwarder->now_us))
    {
      const WcPlacement     placement = wc_forwarder_get_placement (forwarder, held);
      const WcAdmissionView view = wc_forwarder_get_admission_view (forwarder, &placement);

      capacity_per_s = wc_admission_get_capacity_per_s (&view);
    }
  wc_admission_shares_classify (forwarder->shares, held, capacity_per_s, forwarder->now_us);
}

bool
wc_forwarder_allows_trial (WcForwarder *forwarder, const WcHeldOpening *held)
{
  WcPlacement     placement;
  WcAdmissionView view;

  if (!forwarder->settings.admission->allows_trial)
    return true;
  placement = wc_forwarder_get_placement (forwarder, held);
  view = wc_forwarder_get_admission_view (forwarder, &placement);
  return forwarder->settings.admission->allows_trial (held, &view);
}

WcDecisionKind
wc_forwarder_get_overload_kind (WcForwarder *forwarder, const WcHeldOpening *held)
{
  if (held->exceeds_share || wc_forwarder_allows_trial (forwarder, held))
    return WC_DECISION_REJECTED_OVERLOAD;
  return WC_DECISION_REJECTED_LESS_URGENT;
}
