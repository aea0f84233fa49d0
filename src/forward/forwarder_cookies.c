#include "forward/forwarder_private.h"

#include <assert.h>

#include "forward/cookie.h"
#include "forward/placement.h"

/*
 * Load pattern: a lossy link, a slow host or a change of the fabric's rotation makes an opening reach two hosts. Both
 * answer, and the one that the caller did not choose repeats its answer for seconds, so that its cookie replaces that
 * of the host of the flow. When the instances that saw the choice end, the cookie is all that is left.
 *
 * The cookie of a host that is not chosen is therefore corrected: the instance that sees the choice sends that host
 * another copy of the opening, with the cookie of the chosen one. Hosts send the cookie that they received last, so the
 * answers that follow carry the right one. Callers that have chosen ignore everything else in such an answer.
 */

typedef struct
{
  WcForwarder *forwarder;
  uint32_t     chosen;
} Correction;

static bool is_after_own_opening (const WcForwarder *forwarder, const WcFlow *flow, const WcPacket *packet);
static void correct_host (void *user_data, const WcPacket *opening, uint32_t cookie);
static bool serves_route (const WcRoute *route, uint32_t service);

/*
 * The first packet after an opening follows the answer of the chosen host at once and carries its cookie, in whichever
 * form; the instance that forwarded the opening therefore trusts it. Other instances cannot tell it from a
 * retransmission, which carries whatever cookie arrived last.
 *
 * Load pattern: callers use a port for one flow after the other, and the end of the first, or the opening of the
 * second, passes another instance. What is known of the port then is of another flow.
 */
WcHost *
wc_forwarder_find_host (const WcForwarder *forwarder, const WcFlow *flow, const WcPacket *packet)
{
  WcHost *host = NULL;

  assert (forwarder != NULL && packet != NULL);

  if (flow && flow->state != WC_FLOW_OPENING && !wc_forwarder_is_other_flow (flow, packet->sequence))
    {
      host = flow->state == WC_FLOW_LEARNED ? wc_host_table_find_cookie (forwarder->hosts, packet->cookie) : NULL;
      return host ? host : wc_host_table_find_cookie (forwarder->hosts, flow->cookie);
    }
  if (is_after_own_opening (forwarder, flow, packet))
    host = wc_forwarder_find_opening_host (forwarder, packet);
  return host ? host : wc_host_table_find_cookie (forwarder->hosts, packet->cookie);
}

WcHost *
wc_forwarder_find_opening_host (const WcForwarder *forwarder, const WcPacket *packet)
{
  return wc_host_table_find_cookie (forwarder->hosts, wc_cookie_from_first_packet (packet));
}

void
wc_forwarder_correct_cookies (WcForwarder *forwarder, const WcFlowKey *key, uint32_t chosen)
{
  Correction correction = { .forwarder = forwarder, .chosen = chosen };

  wc_opening_copies_visit_others (forwarder->copies, key, chosen, forwarder->now_us, correct_host, &correction);
}

/* Load pattern: the correction was lost, or the answer to it. */
void
wc_forwarder_correct_sender (WcForwarder *forwarder, const WcPacket *packet, uint32_t chosen)
{
  Correction correction = { .forwarder = forwarder, .chosen = chosen };

  wc_opening_copies_visit_sender (forwarder->copies, packet, chosen, forwarder->now_us, correct_host, &correction);
}

/* local functions */

/* The opening of a flow that did not fit into the flow table is known from its copies only. */
static bool
is_after_own_opening (const WcForwarder *forwarder, const WcFlow *flow, const WcPacket *packet)
{
  return (flow && flow->state == WC_FLOW_OPENING && packet->sequence == flow->sent_end) ||
         wc_opening_copies_has (forwarder->copies, packet);
}

/*
 * A host that must not get the opening now, because it drains, is gone or is not to get new flows, keeps its cookie:
 * the opening of a flow would count as new work there, and one that has ended would reset the flow.
 */
static void
correct_host (void *user_data, const WcPacket *opening, uint32_t cookie)
{
  const Correction *correction = user_data;
  WcForwarder      *forwarder = correction->forwarder;
  const WcRoute    *route = forwarder->routes ? wc_route_table_find (forwarder->routes, &opening->key) : NULL;
  WcHost           *host = wc_host_table_find_cookie (forwarder->hosts, cookie);
  WcPlacement       placement;

  if (!route || !host || host->record.state != WC_HOST_READY || !serves_route (route, host->record.service) ||
      forwarder->now_us < host->suspect_deadline_us)
    return;
  placement = wc_forwarder_get_flow_placement (forwarder, &opening->key, host->record.service, 0);
  if (!wc_placement_allows (host, &placement, forwarder->now_us))
    return;
  wc_forwarder_emit_decision (forwarder, WC_DECISION_COOKIE_CORRECTED, &opening->key, host);
  wc_warm_up_record (host, forwarder->now_us);
  forwarder->ops.forward (forwarder->user_data, opening, host, correction->chosen);
}

static bool
serves_route (const WcRoute *route, uint32_t service)
{
  for (size_t i = 0; i < route->service_count; i++)
    if (route->services[i].service == service)
      return true;
  return false;
}
