#include "forward/forwarder_private.h"

#include <assert.h>

#include <glib.h>

#include "core/mix.h"
#include "forward/placement.h"

/* Decisions on an opening that change no state of the forwarder but the use of its table of service loads. */

enum
{
  /* Assumed time from forwarding an opening until its request arrives, before the first one has. */
  HANDSHAKE_DEFAULT_US = 10 * 1000,
  /*
   * Callers that an outage of all instances has kept waiting come back within 1.4 s, the time after which they give up
   * an opening.
   */
  STARTING_US = 1500 * 1000
};

WcServiceLoad *
wc_forwarder_get_own_load (WcForwarder *forwarder, uint32_t service)
{
  return wc_service_loads_get (&forwarder->loads, service, true, forwarder->now_us);
}

/*
 * While instances come back after an outage, the fabric sends successive packets of a flow to different instances, some
 * of which do not run yet. Unanswered openings are no evidence on hosts then.
 */
bool
wc_forwarder_is_starting (const WcForwarder *forwarder)
{
  return forwarder->now_us - forwarder->started_us < STARTING_US;
}

uint64_t
wc_forwarder_get_handshake_us (const WcForwarder *forwarder)
{
  return forwarder->handshake_us > 0 ? forwarder->handshake_us : HANDSHAKE_DEFAULT_US;
}

uint64_t
wc_forwarder_estimate_answer_us (WcForwarder *forwarder, uint32_t service)
{
  uint64_t own_us = wc_forwarder_get_handshake_us (forwarder) +
                    wc_service_load_get_base_us (wc_forwarder_get_own_load (forwarder, service));

  return forwarder->balance
             ? MIN (own_us, wc_domain_balance_get_shortest_us (forwarder->balance, service, forwarder->now_us))
             : own_us;
}

uint32_t
wc_forwarder_pick_service (const WcRoute *route, const WcFlowKey *key)
{
  return route->services[wc_route_pick_service (route, wc_mix64 (wc_flow_key_hash (key)))].service;
}

WcPlacement
wc_forwarder_get_flow_placement (const WcForwarder *forwarder, const WcFlowKey *key, uint32_t service, uint32_t avoid)
{
  return (WcPlacement){
    .service = service,
    .domain = forwarder->settings.domain,
    .domain_peers = forwarder->domain_peers,
    .tie_breaker = wc_flow_key_hash (key),
    .warm_up = forwarder->warm_up,
    .avoid = avoid != 0 ? wc_host_table_find_cookie (forwarder->hosts, avoid) : NULL,
  };
}

WcPlacement
wc_forwarder_get_placement (const WcForwarder *forwarder, const WcHeldOpening *held)
{
  WcPlacement placement =
      wc_forwarder_get_flow_placement (forwarder, &held->opening.packet.key, held->service, held->avoid);

  if (held->target_deadline_us != UINT64_MAX && wc_held_opening_can_be_in_time (held, forwarder->now_us))
    placement.service_max_us = held->target_deadline_us - forwarder->now_us;
  return placement;
}

WcAdmissionView
wc_forwarder_get_admission_view (WcForwarder *forwarder, const WcPlacement *placement)
{
  return (WcAdmissionView){
    .hosts = forwarder->hosts,
    .placement = placement,
    .load = wc_forwarder_get_own_load (forwarder, placement->service),
    .other_load = wc_service_loads_get (&forwarder->loads, placement->service, false, forwarder->now_us),
    .shares = forwarder->shares,
    .is_starting = wc_forwarder_is_starting (forwarder),
    .handshake_us = wc_forwarder_get_handshake_us (forwarder),
    .now_us = forwarder->now_us,
  };
}

/* Right after the start nothing is known of the answer times, and hosts of other domains have a fixed cost. */
void
wc_forwarder_set_balance (const WcForwarder *forwarder, const WcRoute *route, WcPlacement *placement,
                          WcPlacementReason *reason)
{
  placement->balance = wc_forwarder_is_starting (forwarder) ? NULL : forwarder->balance;
  placement->time_limit_us = (uint64_t)route->time_limit_ms * 1000;
  placement->reason = reason;
}

WcHost *
wc_forwarder_choose_host (WcForwarder *forwarder, const WcRoute *route, WcPlacement *placement, bool *is_diverted)
{
  WcHost *host;

  placement->is_diverted = is_diverted;
  host = wc_placement_choose (forwarder->hosts, placement, forwarder->now_us);

  for (size_t i = 0; !host && i < route->service_count; i++)
    {
      bool was_diverted = *is_diverted;

      placement->service = route->services[i].service;
      if (route->services[i].weight > 0)
        host = wc_placement_choose (forwarder->hosts, placement, forwarder->now_us);
      *is_diverted = *is_diverted || was_diverted;
    }
  return host;
}

void
wc_forwarder_select_host (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held, bool is_trial,
                          WcHostChoice *choice)
{
  WcPlacement     placement = wc_forwarder_get_placement (forwarder, held);
  WcHost         *best;
  WcHost         *host;
  WcAdmissionView view;

  assert (choice != NULL);

  *choice = (WcHostChoice){ .kind = WC_DECISION_PLACED };
  wc_forwarder_set_balance (forwarder, route, &placement, &choice->reason);
  host = best = wc_forwarder_choose_host (forwarder, route, &placement, &choice->is_diverted);
  choice->service = placement.service;
  if (!best)
    {
      choice->kind = WC_DECISION_REJECTED_NO_HOST;
      return;
    }
  view = wc_forwarder_get_admission_view (forwarder, &placement);
  /* Then the own domain and the others in turn, for the same service, so that the weights of the route are observed. */
  while (!host || !forwarder->settings.admission->admits (held, &view, host))
    {
      if (placement.scope == WC_PLACEMENT_OTHER_DOMAINS)
        {
          if (is_trial && wc_forwarder_allows_trial (forwarder, held))
            choice->host = best;
          else
            choice->kind = WC_DECISION_HELD;
          return;
        }
      placement.scope++;
      host = wc_placement_choose (forwarder->hosts, &placement, forwarder->now_us);
    }
  choice->host = host;
}
