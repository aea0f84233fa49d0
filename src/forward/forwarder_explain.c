#include "forward/forwarder_private.h"

#include <assert.h>
#include <string.h>

#include "forward/explanation.h"

static void explain_opening (WcForwarder *forwarder, const WcFlowKey *key, WcExplanation *explanation);
static void add_hosts (WcForwarder *forwarder, const WcPlacement *placement, WcExplanation *explanation);

/*
 * The decision is made on a copy of the forwarder, because the table of service loads is reordered by its use. The
 * tables that the copy shares with the original are only read.
 */
void
wc_forwarder_explain (const WcForwarder *forwarder, const WcFlowKey *key, uint64_t now_us, WcExplanation *explanation)
{
  WcForwarder   copy = *forwarder;
  const WcFlow *flow;

  assert (key != NULL && explanation != NULL);

  copy.now_us = now_us;
  *explanation = (WcExplanation){
    .outcome = WC_DECISION_REJECTED_NO_ROUTE,
    .route = copy.routes ? wc_route_table_find (copy.routes, key) : NULL,
    .held = wc_admission_queue_get_count (copy.held),
    .hosts = g_array_new (FALSE, FALSE, sizeof (WcHostExplanation)),
  };
  if (!explanation->route)
    return;
  flow = wc_flow_table_find (copy.flows, key);
  if (flow && flow->state != WC_FLOW_OPENING)
    {
      explanation->host = wc_host_table_find_cookie (copy.hosts, flow->cookie);
      explanation->outcome = explanation->host ? WC_DECISION_FORWARDED : WC_DECISION_DROPPED_UNKNOWN_HOST;
      explanation->service = explanation->host ? explanation->host->record.service : 0;
      return;
    }
  explain_opening (&copy, key, explanation);
}

void
wc_explanation_finish (WcExplanation *explanation)
{
  assert (explanation != NULL);

  g_array_free (explanation->hosts, TRUE);
}

/* local functions */

static void
explain_opening (WcForwarder *forwarder, const WcFlowKey *key, WcExplanation *explanation)
{
  static const uint8_t no_bytes[1];
  const WcRoute       *route = explanation->route;
  const WcServiceLoad *load;
  WcPacket             packet = { .key = *key, .flags = WC_PACKET_SYN, .bytes = no_bytes };
  WcHeldOpening        held;
  WcHostChoice         choice;
  WcPlacement          placement;
  WcAdmissionView      view;

  if (!wc_held_opening_init (&held, route, &packet, 0, forwarder->now_us))
    return;
  held.service = wc_forwarder_pick_service (route, key);
  held.answer_us = wc_forwarder_estimate_answer_us (forwarder, held.service);
  wc_forwarder_select_host (forwarder, route, &held, false, &choice);
  placement = wc_forwarder_get_placement (forwarder, &held);
  placement.service = choice.service;
  view = wc_forwarder_get_admission_view (forwarder, &placement);
  if (choice.kind == WC_DECISION_HELD &&
      forwarder->settings.admission->is_hopeless (
          &held, wc_admission_queue_count_before (forwarder->held, &held, forwarder->now_us), &view))
    choice.kind = WC_DECISION_REJECTED_OVERLOAD;
  load = wc_forwarder_get_own_load (forwarder, choice.service);
  explanation->outcome = choice.kind;
  explanation->service = choice.service;
  explanation->host = choice.host;
  explanation->forwards_per_s = wc_service_load_get_drain_per_s (load, forwarder->now_us);
  explanation->share_percent = load->share_percent;
  add_hosts (forwarder, &placement, explanation);
}

static void
add_hosts (WcForwarder *forwarder, const WcPlacement *placement, WcExplanation *explanation)
{
  WcHostGroup group;

  for (size_t cursor = 0; wc_host_table_next_group (forwarder->hosts, placement->service, &cursor, &group);)
    for (size_t i = 0; i < group.count; i++)
      {
        const WcHost     *host = group.hosts[i];
        WcHostExplanation entry = {
          .host = host,
          .verdict = wc_placement_get_verdict (forwarder->hosts, host, placement, forwarder->now_us),
          .busy = wc_host_load_estimate (&host->load, host->busy_flows,
                                         host->record.domain == placement->domain ? placement->domain_peers : 0,
                                         forwarder->now_us),
        };

        if (entry.verdict < WC_HOST_VERDICT_DRAINING)
          entry.estimate_us = wc_placement_estimate_us (host, placement, forwarder->now_us);
        g_array_append_val (explanation->hosts, entry);
      }
}
