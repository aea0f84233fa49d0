#ifndef WC_FORWARD_EXPLANATION_H
#define WC_FORWARD_EXPLANATION_H

#include <glib.h>

#include "forward/forwarder.h"
#include "forward/placement.h"

/**
 * struct WcHostExplanation - what a host of the service looks like to the instance.
 * @verdict: class of the host, or why it receives no new flows.
 * @estimate_us: expected time to the answer plus the cost of another domain; 0 for a host that receives no new flows.
 * @busy: estimated requests of all instances at the host.
 */
typedef struct
{
  const WcHost *host;
  WcHostVerdict verdict;
  uint64_t      estimate_us;
  uint32_t      busy;
} WcHostExplanation;

/**
 * struct WcExplanation - what an instance would do now with a packet of a caller.
 * @outcome: WC_DECISION_PLACED, WC_DECISION_HELD or one of the rejections for an opening; WC_DECISION_FORWARDED for a
 * flow that is open here, whose host it keeps.
 * @route: NULL when there is none.
 * @service: quark of the service that the route selects for the caller; 0 without a route.
 * @host: the host that would receive the packet; NULL when there is none.
 * @held: openings that wait already.
 * @forwards_per_s: rate at which openings that had to wait are forwarded; 0 when not known.
 * @share_percent: factor of this instance's equal share of the hosts' slots.
 * @hosts: elements of type WcHostExplanation, the hosts of @service that are known.
 */
typedef struct
{
  WcDecisionKind outcome;
  const WcRoute *route;
  uint32_t       service;
  const WcHost  *host;
  size_t         held;
  uint64_t       forwards_per_s;
  uint32_t       share_percent;
  GArray        *hosts;
} WcExplanation;

/**
 * wc_forwarder_explain() - decide on an opening as wc_forwarder_receive() would, without sending anything and without a
 * change of state.
 * @explanation: release it with wc_explanation_finish(); its pointers are valid until the forwarder changes.
 */
void
wc_forwarder_explain (const WcForwarder *forwarder, const WcFlowKey *key, uint64_t now_us, WcExplanation *explanation);

void wc_explanation_finish (WcExplanation *explanation);

#endif
