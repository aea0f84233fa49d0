#include "forward/forwarder.h"

#include <assert.h>

#include <glib.h>

#include "core/mix.h"
#include "forward/admission.h"
#include "forward/flow_progress.h"
#include "forward/flow_table.h"
#include "forward/host_evidence.h"
#include "forward/link_evidence.h"
#include "forward/opening_queue.h"
#include "forward/placement.h"
#include "forward/retry_memory.h"

enum
{
  /* A host answers an opening within 4 ms, in another domain within 12 ms; a packet is lost now and then. */
  OPENING_ANSWER_US = 40 * 1000,
  /* A caller repeats after 200 ms at the earliest. What seems to be repeated sooner came out of order, or has waited
     for this instance's processor, as the packets that show signs of life have then. */
  REPEAT_LEAST_US = 150 * 1000,
  /* Openings of a service that are held whatever its hosts can serve, since what is known of them may be wrong. */
  HELD_LEAST = 4,
  /* An opening is given to a host at least this often; the usual work takes as long, so that no queue grows by it. */
  TRIAL_INTERVAL_US = 30 * 1000,
  /* How often held openings are tried while no packet comes; half of the shortest usual work. */
  ADMIT_INTERVAL_US = 10 * 1000,
  /* Slots of the flow table visited at each tick; the whole table of a small instance within a second. */
  WALK_SLOTS = 512
};

/* A walk that ends the flows of a host. */
typedef struct
{
  WcForwarder  *forwarder;
  const WcHost *host;
} EndOfFlows;

struct WcForwarder
{
  WcForwarderSettings settings;
  WcForwarderOps      ops;
  void               *user_data;
  WcRouteTable       *routes;
  WcHostTable        *hosts;
  WcFlowTable        *flows;
  WcOpeningQueue     *openings;
  WcAdmissionQueue   *held;
  uint64_t            admit_deadline_us;
  uint64_t            trial_deadline_us;
  WcRetryMemory       rejected;
  WcLinkEvidence      link;
  uint32_t            domain_peers;
  uint64_t            now_us;
};

static void    receive_opening (WcForwarder *forwarder, const WcPacket *packet);
static void    receive_open (WcForwarder *forwarder, const WcPacket *packet);
static WcHost *see_unanswered (WcForwarder *forwarder, WcFlow *flow);
static void    receive_new (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet);
static void    hold (WcForwarder *forwarder, const WcHeldOpening *held);
static void    admit_held (WcForwarder *forwarder);
static void    reject_expired (WcForwarder *forwarder);
static void    reject_held (WcForwarder *forwarder, WcHeldOpening *held, WcDecisionKind kind);
static void    reject (WcForwarder *forwarder, const WcHeldOpening *held, WcDecisionKind kind);
static bool    try_to_admit (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held, bool is_trial);
static void    open_flow (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcHost *host);
static void    place_again (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcFlow *flow);
static WcPlacement placement_of (const WcForwarder *forwarder, const WcFlowKey *key, uint32_t service, uint32_t avoid);
static WcHost     *place (WcForwarder *forwarder, const WcRoute *route, WcPlacement *placement);
static uint32_t    pick_service (const WcRoute *route, const WcFlowKey *key);
static uint32_t    find_refusing (WcForwarder *forwarder, const WcFlowKey *key);
static bool        is_lost (const WcFlow *flow, const WcHost *host);
static uint32_t    cookie_of (const WcFlow *flow, const WcPacket *packet);
static void        observe (WcForwarder *forwarder, WcFlow *flow, const WcPacket *packet, WcHost *host);
static void        see_answer (WcForwarder *forwarder, const WcFlow *flow, WcHost *host, uint64_t time_us);
static void        see_life (WcForwarder *forwarder, WcHost *host);
static void        see_silence (WcForwarder *forwarder, WcFlow *flow, WcHost *host, uint64_t since_us, bool is_request);
static void        judge (WcForwarder *forwarder, WcHost *host);
static void        end_flows (WcForwarder *forwarder, const WcHost *host);
static int         visit_of_host (void *user_data, WcFlow *flow);
static void        decide (WcForwarder *forwarder, WcDecisionKind kind, const WcFlowKey *key, const WcHost *host);
static void        reset_flow (WcForwarder *forwarder, const WcPacket *packet, WcDecisionKind kind, const WcHost *host);
static void        set_host (WcForwarder *forwarder, WcFlow *flow, WcHost *host);
static void        count (WcFlow *flow, WcHost *host, uint64_t now_us);
static void        uncount (WcForwarder *forwarder, WcFlow *flow);
static int         visit_old (void *user_data, WcFlow *flow);

WcForwarder *
wc_forwarder_new (const WcForwarderSettings *settings, const WcForwarderOps *ops, void *user_data)
{
  WcForwarder *forwarder = g_new0 (WcForwarder, 1);

  assert (settings != NULL && ops != NULL);
  assert (ops->forward != NULL && ops->reset != NULL && ops->decided != NULL);
  assert (ops->opened != NULL && ops->answered != NULL);

  forwarder->settings = *settings;
  forwarder->ops = *ops;
  forwarder->user_data = user_data;
  forwarder->hosts = wc_host_table_new (settings->flow_life_us);
  forwarder->flows = wc_flow_table_new (settings->max_flows);
  forwarder->openings = wc_opening_queue_new ();
  forwarder->held = wc_admission_queue_new ();
  forwarder->admit_deadline_us = UINT64_MAX;
  return forwarder;
}

void
wc_forwarder_delete (WcForwarder *forwarder)
{
  if (!forwarder)
    return;
  wc_route_table_delete (forwarder->routes);
  wc_host_table_delete (forwarder->hosts);
  wc_flow_table_delete (forwarder->flows);
  wc_opening_queue_delete (forwarder->openings);
  wc_admission_queue_delete (forwarder->held);
  g_free (forwarder);
}

void
wc_forwarder_set_routes (WcForwarder *forwarder, WcRouteTable *routes, uint64_t now_us)
{
  assert (forwarder != NULL && routes != NULL);

  forwarder->now_us = now_us;
  wc_route_table_delete (forwarder->routes);
  forwarder->routes = routes;
  decide (forwarder, WC_DECISION_ROUTES_IN_FORCE, NULL, NULL);
}

const WcRouteTable *
wc_forwarder_get_routes (const WcForwarder *forwarder)
{
  return forwarder->routes;
}

void
wc_forwarder_put_host (WcForwarder *forwarder, const WcHostRecord *record, uint64_t revision, uint64_t now_us)
{
  const WcHost *known = wc_host_table_find (forwarder->hosts, record->id);
  WcHostState   before = known ? known->record.state : WC_HOST_GONE;
  const WcHost *host;

  forwarder->now_us = now_us;
  host = wc_host_table_put (forwarder->hosts, record, revision, now_us);
  if (record->state != before)
    decide (forwarder, record->state == WC_HOST_READY ? WC_DECISION_HOST_READY : WC_DECISION_HOST_DRAINING, NULL, host);
}

void
wc_forwarder_remove_host (WcForwarder *forwarder, uint64_t id, uint64_t now_us)
{
  const WcHost *known = wc_host_table_find (forwarder->hosts, id);

  forwarder->now_us = now_us;
  if (!known || known->record.state == WC_HOST_GONE)
    return;
  wc_host_table_set_gone (forwarder->hosts, id, now_us);
  decide (forwarder, WC_DECISION_HOST_GONE, NULL, known);
}

void
wc_forwarder_set_domain_peers (WcForwarder *forwarder, uint32_t count)
{
  forwarder->domain_peers = count;
}

void
wc_forwarder_hear_report (WcForwarder *forwarder, uint64_t sender, bool is_own_domain, const WcHostReport *report,
                          uint64_t now_us)
{
  WcHost  *host = wc_host_table_find (forwarder->hosts, report->host);
  uint64_t reporter = report->reporter != 0 ? report->reporter : sender;

  forwarder->now_us = now_us;
  if (!host || reporter == forwarder->settings.incarnation)
    return;
  if (report->reporter == 0)
    wc_host_load_report (&host->load, sender, report->busy, now_us);
  if (!is_own_domain)
    return;
  if (wc_host_evidence_report (host, reporter, report, now_us))
    decide (forwarder, WC_DECISION_HOST_CLEARED, NULL, host);
  judge (forwarder, host);
}

WcHostReport
wc_forwarder_report_host (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us)
{
  WcHostReport report = wc_host_report_write (host, now_us);

  if (wc_link_evidence_is_lossy (&forwarder->link, now_us))
    report.silent_requests = report.repeating_requests = report.silence_age_ms = 0;
  return report;
}

const WcHost *
wc_forwarder_ask (WcForwarder *forwarder, uint64_t now_us)
{
  if (forwarder->domain_peers == 0 || wc_link_evidence_is_lossy (&forwarder->link, now_us))
    return NULL;
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    {
      WcHost *host = wc_host_table_get (forwarder->hosts, i);

      if (wc_host_evidence_ask (host, now_us))
        return host;
    }
  return NULL;
}

void
wc_forwarder_receive (WcForwarder *forwarder, const WcPacket *packet, uint64_t now_us)
{
  assert (forwarder != NULL && packet != NULL);

  forwarder->now_us = now_us;
  if (!forwarder->routes)
    return;
  if (packet->flags & WC_PACKET_SYN)
    receive_opening (forwarder, packet);
  else
    receive_open (forwarder, packet);
}

void
wc_forwarder_tick (WcForwarder *forwarder, uint64_t now_us)
{
  forwarder->now_us = now_us;
  wc_flow_table_walk (forwarder->flows, WALK_SLOTS, visit_old, forwarder);
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    judge (forwarder, wc_host_table_get (forwarder->hosts, i));
  wc_host_table_forget (forwarder->hosts, now_us);
}

void
wc_forwarder_delayed (WcForwarder *forwarder, uint64_t now_us)
{
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    wc_host_evidence_clear (wc_host_table_get (forwarder->hosts, i), now_us);
  wc_opening_queue_clear (forwarder->openings);
}

uint64_t
wc_forwarder_get_deadline_us (const WcForwarder *forwarder)
{
  return MIN (wc_opening_queue_get_deadline_us (forwarder->openings), forwarder->admit_deadline_us);
}

void
wc_forwarder_check (WcForwarder *forwarder, uint64_t now_us)
{
  WcPacket packet;
  bool     superseded;

  forwarder->now_us = now_us;
  while (wc_opening_queue_take (forwarder->openings, now_us, &packet, &superseded))
    {
      const WcRoute *route = forwarder->routes ? wc_route_table_find (forwarder->routes, &packet.key) : NULL;
      WcFlow        *flow = wc_flow_table_find (forwarder->flows, &packet.key);

      if (!route || !flow || flow->state != WC_FLOW_OPENING)
        continue;
      (void)see_unanswered (forwarder, flow);
      if (!superseded)
        place_again (forwarder, route, &packet, flow);
    }
  reject_expired (forwarder);
  admit_held (forwarder);
}

const WcHostTable *
wc_forwarder_get_hosts (const WcForwarder *forwarder)
{
  return forwarder->hosts;
}

size_t
wc_forwarder_get_flow_count (const WcForwarder *forwarder)
{
  return wc_flow_table_get_count (forwarder->flows);
}

/* local functions */

static void
receive_opening (WcForwarder *forwarder, const WcPacket *packet)
{
  const WcRoute *route = wc_route_table_find (forwarder->routes, &packet->key);
  WcFlow        *flow = wc_flow_table_find (forwarder->flows, &packet->key);
  WcHost        *host;

  if (!route)
    {
      reset_flow (forwarder, packet, WC_DECISION_REJECTED_NO_ROUTE, NULL);
      return;
    }
  if (!flow)
    {
      receive_new (forwarder, route, packet);
      return;
    }
  if (flow->state == WC_FLOW_OPENING)
    {
      host = see_unanswered (forwarder, flow);
      if (flow->second_host && wc_link_evidence_unanswered (&forwarder->link, forwarder->now_us))
        decide (forwarder, WC_DECISION_LINK_LOSSY, &packet->key, host);
    }
  place_again (forwarder, route, packet, flow);
}

/* Return: the host that did not answer the opening, or NULL when it is not known any more. */
static WcHost *
see_unanswered (WcForwarder *forwarder, WcFlow *flow)
{
  WcHost *host = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);

  if (host)
    see_silence (forwarder, flow, host, flow->opened_us, false);
  return host;
}

static void
receive_new (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet)
{
  WcHeldOpening held;
  uint64_t      retry_sent_us;

  if (wc_admission_queue_find (forwarder->held, &packet->key))
    return;
  retry_sent_us = wc_retry_memory_take (&forwarder->rejected, &packet->key, forwarder->now_us);
  if (!wc_held_opening_init (&held, route, packet, retry_sent_us, forwarder->now_us))
    return;
  held.service = pick_service (route, &packet->key);
  held.avoid = find_refusing (forwarder, &packet->key);
  if (wc_admission_queue_get_count (forwarder->held) == 0 && try_to_admit (forwarder, route, &held, false))
    return;
  hold (forwarder, &held);
}

/* What cannot be served before its caller gives up is rejected at once. */
static void
hold (WcForwarder *forwarder, const WcHeldOpening *held)
{
  const WcFlowKey  *key = &held->opening.packet.key;
  const WcPlacement placement = placement_of (forwarder, key, held->service, 0);
  uint64_t          span_us = held->hold_deadline_us - MIN (held->hold_deadline_us, forwarder->now_us);
  uint64_t          limit = wc_placement_count_served (forwarder->hosts, &placement, span_us, forwarder->now_us);
  WcHeldOpening     rejected;

  decide (forwarder, WC_DECISION_HELD, key, NULL);
  forwarder->admit_deadline_us = forwarder->now_us;
  if (wc_admission_queue_add (forwarder->held, held, MAX (limit, HELD_LEAST), forwarder->now_us, &rejected))
    return;
  reject (forwarder, &rejected, WC_DECISION_REJECTED_OVERLOAD);
}

/* Gives openings to hosts in the order of the queue, until no service that is waited for has a host to take one. */
static void
admit_held (WcForwarder *forwarder)
{
  uint32_t       blocked[WC_ADMISSION_SERVICES];
  size_t         blocked_count = 0;
  WcHeldOpening *held;

  while (blocked_count < WC_ADMISSION_SERVICES &&
         (held = wc_admission_queue_get_best (forwarder->held, blocked, blocked_count, forwarder->now_us)) != NULL)
    {
      const WcRoute *route =
          forwarder->routes ? wc_route_table_find (forwarder->routes, &held->opening.packet.key) : NULL;

      if (!route)
        reject_held (forwarder, held, WC_DECISION_REJECTED_NO_ROUTE);
      else if (try_to_admit (forwarder, route, held, forwarder->now_us >= forwarder->trial_deadline_us))
        wc_admission_queue_remove (forwarder->held, held);
      else
        blocked[blocked_count++] = held->service;
    }
  forwarder->admit_deadline_us =
      wc_admission_queue_get_count (forwarder->held) > 0 ? forwarder->now_us + ADMIT_INTERVAL_US : UINT64_MAX;
}

/* A caller that is about to give up is told at once, so that it comes again while it has time. */
static void
reject_expired (WcForwarder *forwarder)
{
  WcHeldOpening *held;

  while ((held = wc_admission_queue_get_expired (forwarder->held, forwarder->now_us)) != NULL)
    reject_held (forwarder, held, WC_DECISION_REJECTED_OVERLOAD);
}

static void
reject_held (WcForwarder *forwarder, WcHeldOpening *held, WcDecisionKind kind)
{
  reject (forwarder, held, kind);
  wc_admission_queue_remove (forwarder->held, held);
}

static void
reject (WcForwarder *forwarder, const WcHeldOpening *held, WcDecisionKind kind)
{
  const WcPacket packet = wc_opening_get_packet (&held->opening);

  wc_retry_memory_add (&forwarder->rejected, &packet.key, held->sent_us, forwarder->now_us);
  reset_flow (forwarder, &packet, kind, NULL);
}

/*
 * @is_trial: the opening is given to a host in any case, because what this instance knows of the hosts may be wrong.
 *
 * Return: false when the opening has to wait.
 */
static bool
try_to_admit (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held, bool is_trial)
{
  const WcPacket packet = wc_opening_get_packet (&held->opening);
  WcPlacement    placement = placement_of (forwarder, &packet.key, held->service, held->avoid);
  WcHost        *host = place (forwarder, route, &placement);
  WcHost        *other;

  if (!host)
    {
      reset_flow (forwarder, &packet, WC_DECISION_REJECTED_NO_HOST, NULL);
      return true;
    }
  if (!wc_admission_admits (held, forwarder->hosts, host, &placement, forwarder->now_us))
    {
      placement.elsewhere = true;
      other = place (forwarder, route, &placement);
      if (other && wc_admission_admits (held, forwarder->hosts, other, &placement, forwarder->now_us))
        host = other;
      else if (!is_trial)
        return false;
    }
  forwarder->trial_deadline_us = forwarder->now_us + TRIAL_INTERVAL_US;
  open_flow (forwarder, route, &packet, host);
  return true;
}

static void
open_flow (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcHost *host)
{
  WcFlow *flow = wc_flow_table_add (forwarder->flows, &packet->key);

  decide (forwarder, WC_DECISION_PLACED, &packet->key, host);
  if (flow)
    {
      wc_flow_start (flow, packet, (uint8_t)route->kind, forwarder->now_us);
      set_host (forwarder, flow, host);
      wc_opening_queue_add (forwarder->openings, packet, forwarder->now_us + OPENING_ANSWER_US);
    }
  forwarder->ops.forward (forwarder->user_data, packet, host);
}

/*
 * Gives an opening to another host than before. Several hosts may answer an opening; the caller goes on with one of
 * them, and the others hold nothing that could run.
 */
static void
place_again (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcFlow *flow)
{
  WcPlacement placement = placement_of (forwarder, &packet->key, pick_service (route, &packet->key),
                                        flow->state == WC_FLOW_OPENING ? flow->cookie : 0);
  WcHost     *host = place (forwarder, route, &placement);

  if (!host)
    {
      reset_flow (forwarder, packet, WC_DECISION_REJECTED_NO_HOST, NULL);
      return;
    }
  decide (forwarder, WC_DECISION_PLACED_AGAIN, &packet->key, host);
  flow->second_host = flow->state == WC_FLOW_OPENING && (flow->second_host || flow->cookie != host->cookie);
  wc_flow_start (flow, packet, (uint8_t)route->kind, forwarder->now_us);
  set_host (forwarder, flow, host);
  forwarder->ops.forward (forwarder->user_data, packet, host);
}

/* @avoid: cookie of a host that refused the caller or did not answer it; 0 for none. */
static WcPlacement
placement_of (const WcForwarder *forwarder, const WcFlowKey *key, uint32_t service, uint32_t avoid)
{
  return (WcPlacement){
    .service = service,
    .domain = forwarder->settings.domain,
    .domain_peers = forwarder->domain_peers,
    .draw = wc_flow_key_hash (key),
    .avoid = avoid != 0 ? wc_host_table_find_cookie (forwarder->hosts, avoid) : NULL,
  };
}

/* Return: a host of the service that is asked for, or of another one of the route; NULL when there is none. */
static WcHost *
place (WcForwarder *forwarder, const WcRoute *route, WcPlacement *placement)
{
  WcHost *host = wc_placement_choose (forwarder->hosts, placement, forwarder->now_us);

  for (size_t i = 0; !host && i < route->service_count; i++)
    {
      placement->service = route->services[i].service;
      if (route->services[i].weight > 0)
        host = wc_placement_choose (forwarder->hosts, placement, forwarder->now_us);
    }
  return host;
}

/* Return: quark of the service that the flow's key draws. */
static uint32_t
pick_service (const WcRoute *route, const WcFlowKey *key)
{
  return route->services[wc_route_pick_service (route, wc_mix64 (wc_flow_key_hash (key)))].service;
}

/*
 * Load pattern: a host that went down refuses openings, so that their callers try again within milliseconds, and the
 * host with the fewest requests is the one that is down. Refusals go to the caller directly. An opening that is not
 * answered when its caller opens another flow was probably refused.
 *
 * Return: cookie of that host, or 0.
 */
static uint32_t
find_refusing (WcForwarder *forwarder, const WcFlowKey *key)
{
  WcFlowKey     refused_key;
  const WcFlow *refused;

  if (!wc_opening_queue_supersede (forwarder->openings, key, &refused_key))
    return 0;
  refused = wc_flow_table_find (forwarder->flows, &refused_key);
  return refused && refused->state == WC_FLOW_OPENING ? refused->cookie : 0;
}

static void
receive_open (WcForwarder *forwarder, const WcPacket *packet)
{
  const WcRoute *route = wc_route_table_find (forwarder->routes, &packet->key);
  WcFlow        *flow = wc_flow_table_find (forwarder->flows, &packet->key);
  WcHost        *host = wc_host_table_find_cookie (forwarder->hosts, cookie_of (flow, packet));

  if (!route)
    {
      if (packet->flags & WC_PACKET_RST)
        return;
      reset_flow (forwarder, packet, WC_DECISION_RESET_NO_ROUTE, host);
      return;
    }
  if (!host)
    {
      decide (forwarder, WC_DECISION_DROPPED_UNKNOWN_HOST, &packet->key, NULL);
      return;
    }
  if (!flow)
    {
      flow = wc_flow_table_add (forwarder->flows, &packet->key);
      if (flow)
        wc_flow_start (flow, packet, (uint8_t)route->kind, forwarder->now_us);
    }
  if (flow)
    observe (forwarder, flow, packet, host);
  if (flow && is_lost (flow, host))
    {
      reset_flow (forwarder, packet, WC_DECISION_RESET_HOST_GONE, host);
      return;
    }
  forwarder->ops.forward (forwarder->user_data, packet, host);
}

/*
 * A host that is not published any more may still serve, when its entry has only lapsed. A request that it did not
 * answer within a caller's repetition shows that it is gone.
 */
static bool
is_lost (const WcFlow *flow, const WcHost *host)
{
  return host->record.state == WC_HOST_GONE && host->life_us <= host->gone_us &&
         flow->silent_us > host->evidence_from_us && flow->kind != WC_TRAFFIC_ONCE;
}

/*
 * The first packet behind an opening names the host that the caller chose. When a second host answered the opening too,
 * the caller's later packets may name that one until the chosen host's next answer.
 */
static uint32_t
cookie_of (const WcFlow *flow, const WcPacket *packet)
{
  return flow && flow->state != WC_FLOW_OPENING ? flow->cookie : packet->cookie;
}

/* Learns from a packet of an open flow what its caller has sent and received. */
static void
observe (WcForwarder *forwarder, WcFlow *flow, const WcPacket *packet, WcHost *host)
{
  uint64_t       request_us = flow->request_us;
  WcFlowProgress progress = wc_flow_observe (flow, packet, forwarder->now_us);

  set_host (forwarder, flow, host);
  if (progress.answered && request_us > 0 &&
      wc_link_evidence_answered (&forwarder->link, flow->silent_us > request_us, forwarder->now_us))
    decide (forwarder, WC_DECISION_LINK_LOSSY, &flow->key, host);
  if (progress.opened)
    forwarder->ops.opened (forwarder->user_data, forwarder->now_us - flow->opened_us);
  if (progress.answered)
    {
      see_answer (forwarder, flow, host, progress.answer_time_us);
      see_life (forwarder, host);
    }
  if (progress.repeated && forwarder->now_us - request_us >= REPEAT_LEAST_US)
    see_silence (forwarder, flow, host, request_us, true);
  if (progress.requested)
    decide (forwarder, WC_DECISION_FORWARDED, &flow->key, host);
}

/* Callers acknowledge a short answer late, so that only the longer ones of idempotent requests are timed. */
static void
see_answer (WcForwarder *forwarder, const WcFlow *flow, WcHost *host, uint64_t time_us)
{
  if (time_us == 0)
    return;
  forwarder->ops.answered (forwarder->user_data, time_us);
  if (flow->kind != WC_TRAFFIC_ONCE && host->busy_flows <= host->record.slots)
    wc_host_load_answered (&host->load, time_us);
}

static void
see_life (WcForwarder *forwarder, WcHost *host)
{
  if (wc_host_evidence_life (host, forwarder->now_us))
    decide (forwarder, WC_DECISION_HOST_CLEARED, NULL, host);
}

static void
see_silence (WcForwarder *forwarder, WcFlow *flow, WcHost *host, uint64_t since_us, bool is_request)
{
  if (wc_host_evidence_silence (host, flow, since_us, is_request, forwarder->now_us))
    decide (forwarder, WC_DECISION_HOST_SUSPECTED, NULL, host);
}

/*
 * Ends flows of a host that is dead, so that their callers open new ones and do not wait for it. An instance that sees
 * nothing of the silence itself only stops to place flows there: the links of those that do may lose packets.
 */
static void
judge (WcForwarder *forwarder, WcHost *host)
{
  WcHostVerdict verdict = wc_host_evidence_judge (host, forwarder->domain_peers, forwarder->now_us);

  if (!verdict.is_dead || wc_link_evidence_is_lossy (&forwarder->link, forwarder->now_us) ||
      wc_host_evidence_is_general (forwarder->hosts))
    return;
  if (wc_host_evidence_suspect (host, forwarder->now_us))
    decide (forwarder, WC_DECISION_HOST_SUSPECTED, NULL, host);
  if (host->silence.requests > 0)
    end_flows (forwarder, host);
}

static void
end_flows (WcForwarder *forwarder, const WcHost *host)
{
  EndOfFlows end = { forwarder, host };

  wc_flow_table_walk_all (forwarder->flows, visit_of_host, &end);
}

/*
 * A flow with a request that must not run twice is left alone: its caller would not repeat the request, and the answer
 * may still come when only the way to the host is cut.
 */
static int
visit_of_host (void *user_data, WcFlow *flow)
{
  const EndOfFlows *end = user_data;

  if (flow->cookie != end->host->cookie || flow->state != WC_FLOW_OPEN ||
      (flow->kind == WC_TRAFFIC_ONCE && flow->request_us > 0))
    return TRUE;
  decide (end->forwarder, WC_DECISION_RESET_HOST_SILENT, &flow->key, end->host);
  end->forwarder->ops.reset (end->forwarder->user_data, &flow->key, flow->acknowledged);
  uncount (end->forwarder, flow);
  return FALSE;
}

static void
decide (WcForwarder *forwarder, WcDecisionKind kind, const WcFlowKey *key, const WcHost *host)
{
  const WcFlow *flow = key ? wc_flow_table_find (forwarder->flows, key) : NULL;
  bool          is_evident = kind == WC_DECISION_HOST_SUSPECTED || kind == WC_DECISION_RESET_HOST_SILENT;
  WcDecision    decision = {
       .kind = kind,
       .key = key,
       .request_id = flow ? flow->request_id : 0,
       .host = host,
       .version = forwarder->routes ? wc_route_table_get_version (forwarder->routes) : 0,
  };

  if (is_evident)
    {
      const WcHostVerdict verdict = wc_host_evidence_judge (host, forwarder->domain_peers, forwarder->now_us);

      decision.evidence_us = verdict.silence.since_us;
      decision.count = MAX (verdict.silence.requests, host->silent_flows);
      decision.witnesses = verdict.witnesses;
    }

  forwarder->ops.decided (forwarder->user_data, &decision);
}

static void
reset_flow (WcForwarder *forwarder, const WcPacket *packet, WcDecisionKind kind, const WcHost *host)
{
  WcFlow *flow = wc_flow_table_find (forwarder->flows, &packet->key);

  decide (forwarder, kind, &packet->key, host);
  forwarder->ops.reset (forwarder->user_data, &packet->key, packet->acknowledged);
  if (!flow)
    return;
  uncount (forwarder, flow);
  wc_flow_table_remove (forwarder->flows, flow);
}

static void
set_host (WcForwarder *forwarder, WcFlow *flow, WcHost *host)
{
  if (flow->cookie != host->cookie)
    uncount (forwarder, flow);
  flow->cookie = host->cookie;
  count (flow, host, forwarder->now_us);
}

/* Keeps the numbers of flows of the host in step with the state of the flow. */
static void
count (WcFlow *flow, WcHost *host, uint64_t now_us)
{
  bool counted = flow->state != WC_FLOW_CLOSING;
  bool busy = counted && !flow->moved && (flow->request_us > 0 || flow->state == WC_FLOW_OPENING);

  if (busy && host->busy_flows == 0)
    host->busy_since_us = now_us;
  host->flows += (uint32_t)(counted - flow->counted);
  host->busy_flows += (uint32_t)(busy - flow->busy);
  flow->counted = counted;
  flow->busy = busy;
}

static void
uncount (WcForwarder *forwarder, WcFlow *flow)
{
  WcHost *host = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);

  if (host)
    {
      host->flows -= flow->counted;
      host->busy_flows -= flow->busy;
    }
  flow->counted = 0;
  flow->busy = 0;
}

static int
visit_old (void *user_data, WcFlow *flow)
{
  WcForwarder *forwarder = user_data;
  uint64_t     idle_ms = forwarder->routes ? wc_route_table_get_idle_timeout_ms (forwarder->routes) : 0;
  WcHost      *host = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);

  if (wc_flow_notice_move (flow, forwarder->now_us) && host)
    count (flow, host, forwarder->now_us);
  if (!wc_flow_is_over (flow, idle_ms * 1000, forwarder->settings.flow_life_us, forwarder->now_us))
    return TRUE;
  uncount (forwarder, flow);
  return FALSE;
}
