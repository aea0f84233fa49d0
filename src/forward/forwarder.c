#include "forward/forwarder_private.h"

#include <assert.h>

#include <glib.h>

#include "forward/flow_progress.h"
#include "forward/host_health.h"

enum
{
  /*
   * A caller retransmits after 200 ms at the earliest. A packet that looks like a retransmission before that arrived
   * out of order or was delayed on this instance's processor; in the latter case the packets that acknowledge answers
   * are delayed too.
   */
  RETRANSMISSION_MIN_US = 150 * 1000,
  /* A new sample of the handshake time has weight 1 in 16. */
  HANDSHAKE_MEAN_DIVISOR = 16,
  /*
   * Slots of the flow table visited per tick, 5,120 a second at 10 ticks a second; covers the whole table of a small
   * instance within a second.
   */
  WALK_SLOTS = 512
};

static void    receive_open (WcForwarder *forwarder, const WcPacket *packet);
static void    forward_open (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcHost *host);
static WcFlow *track_flow (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet);
static bool    has_lost_host (const WcFlow *flow, const WcHost *host);
static void
update_flow (WcForwarder *forwarder, const WcRoute *route, WcFlow *flow, const WcPacket *packet, WcHost *host);
static void record_answer_time (WcForwarder *forwarder, const WcRoute *route, WcHost *host, uint64_t duration_us);
static void record_handshake (WcForwarder *forwarder, const WcHost *host, uint64_t duration_us);
static void update_counts (WcFlow *flow, WcHost *host, uint64_t now_us);
static bool expire_flow (void *user_data, WcFlow *flow);

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
  forwarder->hosts = wc_host_table_new (settings->flow_lifetime_us);
  forwarder->evacuation = wc_evacuation_new ();
  forwarder->flows = wc_flow_table_new (settings->max_flows);
  forwarder->inquiries = wc_flow_inquiries_new ();
  forwarder->openings = wc_opening_queue_new ();
  forwarder->copies = wc_opening_copies_new ();
  wc_opening_budget_init (&forwarder->budget, settings->features.attempt_budget);
  if (!forwarder->settings.admission)
    forwarder->settings.admission = settings->features.urgency ? &WC_ADMISSION_WEIGHTED : &WC_ADMISSION_DEADLINE;
  if (forwarder->settings.admission->uses_shares)
    forwarder->shares = wc_admission_shares_new ();
  forwarder->held = wc_admission_queue_new (forwarder->settings.admission->is_before);
  forwarder->admit_deadline_us = UINT64_MAX;
  if (settings->features.warm_up_limit && settings->warm_up_overrun_milli > 0)
    forwarder->warm_up = wc_warm_up_new (&(WcWarmUpSettings){ .domain = settings->domain,
                                                              .overrun_milli = settings->warm_up_overrun_milli,
                                                              .slack = settings->warm_up_slack });
  if (settings->features.domain_balance)
    forwarder->balance = wc_domain_balance_new (settings->domain, settings->other_domain_cost_us);
  return forwarder;
}

void
wc_forwarder_delete (WcForwarder *forwarder)
{
  if (!forwarder)
    return;
  wc_warm_up_delete (forwarder->warm_up);
  wc_route_table_delete (forwarder->routes);
  wc_host_table_delete (forwarder->hosts);
  wc_evacuation_delete (forwarder->evacuation);
  wc_flow_table_delete (forwarder->flows);
  wc_flow_inquiries_delete (forwarder->inquiries);
  wc_opening_queue_delete (forwarder->openings);
  wc_opening_copies_delete (forwarder->copies);
  wc_admission_queue_delete (forwarder->held);
  wc_admission_shares_delete (forwarder->shares);
  wc_domain_balance_delete (forwarder->balance);
  g_free (forwarder);
}

void
wc_forwarder_set_routes (WcForwarder *forwarder, WcRouteTable *routes, uint64_t now_us)
{
  assert (forwarder != NULL && routes != NULL);

  forwarder->now_us = now_us;
  wc_route_table_delete (forwarder->routes);
  forwarder->routes = routes;
  if (forwarder->warm_up)
    wc_warm_up_set_routes (forwarder->warm_up, routes);
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    wc_forwarder_evaluate_warm_up (forwarder, wc_host_table_get (forwarder->hosts, i));
  wc_forwarder_emit_decision (forwarder, WC_DECISION_ROUTES_IN_FORCE, NULL, NULL);
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
  WcHost       *host;

  forwarder->now_us = now_us;
  host = wc_host_table_put (forwarder->hosts, record, revision, now_us);
  host->evacuated = wc_evacuation_find (forwarder->evacuation, record->domain) != NULL;
  if (record->state != before)
    wc_forwarder_emit_decision (
        forwarder, record->state == WC_HOST_READY ? WC_DECISION_HOST_READY : WC_DECISION_HOST_DRAINING, NULL, host);
  wc_forwarder_evaluate_warm_up (forwarder, host);
}

void
wc_forwarder_set_host_gone (WcForwarder *forwarder, uint64_t id, uint64_t now_us)
{
  const WcHost *known = wc_host_table_find (forwarder->hosts, id);

  forwarder->now_us = now_us;
  if (!known || known->record.state == WC_HOST_GONE)
    return;
  wc_host_table_set_gone (forwarder->hosts, id, now_us);
  wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_GONE, NULL, known);
}

void
wc_forwarder_set_domain_peers (WcForwarder *forwarder, uint32_t count)
{
  forwarder->domain_peers = count;
}

void
wc_forwarder_receive (WcForwarder *forwarder, const WcPacket *packet, uint64_t now_us)
{
  assert (forwarder != NULL && packet != NULL);

  forwarder->now_us = now_us;
  if (!forwarder->routes)
    return;
  if (forwarder->started_us == 0)
    forwarder->started_us = now_us;
  if (packet->flags & WC_PACKET_SYN)
    wc_forwarder_receive_opening (forwarder, packet);
  else
    receive_open (forwarder, packet);
}

void
wc_forwarder_tick (WcForwarder *forwarder, uint64_t now_us)
{
  forwarder->now_us = now_us;
  wc_flow_table_walk (forwarder->flows, WALK_SLOTS, expire_flow, forwarder);
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    {
      WcHost *host = wc_host_table_get (forwarder->hosts, i);

      if (host->unanswered.requests > 0)
        wc_forwarder_evaluate_host (forwarder, host);
      wc_forwarder_evaluate_warm_up (forwarder, host);
    }
  wc_forwarder_evaluate_failures (forwarder);
  wc_host_table_evict (forwarder->hosts, now_us);
  wc_forwarder_update_balance (forwarder);
}

uint64_t
wc_forwarder_get_deadline_us (const WcForwarder *forwarder)
{
  uint64_t deadline_us = MIN (wc_opening_queue_get_deadline_us (forwarder->openings), forwarder->admit_deadline_us);

  return MIN (deadline_us, wc_flow_inquiries_get_deadline_us (forwarder->inquiries));
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

const WcOpeningCounters *
wc_forwarder_get_opening_counters (const WcForwarder *forwarder)
{
  return &forwarder->budget.counters;
}

void
wc_forwarder_emit_decision (WcForwarder *forwarder, WcDecisionKind kind, const WcFlowKey *key, const WcHost *host)
{
  const WcFlow *flow = key ? wc_flow_table_find (forwarder->flows, key) : NULL;
  bool          has_evidence = kind == WC_DECISION_HOST_SUSPECTED || kind == WC_DECISION_RESET_HOST_SILENT;
  WcDecision    decision = {
       .kind = kind,
       .key = key,
       .request_id = flow ? flow->request_id : 0,
       .host = host,
       .version = forwarder->routes ? wc_route_table_get_version (forwarder->routes) : 0,
  };

  if (has_evidence)
    {
      const WcHostHealth health = wc_host_health_evaluate (host, forwarder->domain_peers, forwarder->now_us);

      decision.evidence_us = health.unanswered.since_us;
      decision.count = MAX (health.unanswered.requests, host->unanswered_flows);
      decision.witnesses = health.witnesses;
    }

  forwarder->ops.decided (forwarder->user_data, &decision);
}

void
wc_forwarder_reset_flow (WcForwarder *forwarder, const WcPacket *packet, WcDecisionKind kind, const WcHost *host)
{
  WcFlow *flow = wc_flow_table_find (forwarder->flows, &packet->key);

  wc_forwarder_emit_decision (forwarder, kind, &packet->key, host);
  forwarder->ops.reset (forwarder->user_data, &packet->key, packet->acknowledged);
  if (flow)
    wc_forwarder_remove_flow (forwarder, flow);
}

bool
wc_forwarder_is_other_flow (const WcFlow *flow, uint32_t sequence)
{
  assert (flow != NULL);

  return flow->state != WC_FLOW_OPENING && !wc_flow_contains (flow, sequence);
}

void
wc_forwarder_remove_flow (WcForwarder *forwarder, WcFlow *flow)
{
  wc_forwarder_uncount_flow (forwarder, flow);
  wc_flow_table_remove (forwarder->flows, flow);
}

void
wc_forwarder_forward_open (WcForwarder *forwarder, const WcPacket *packet, WcHost *host)
{
  const WcRoute *route = forwarder->routes ? wc_route_table_find (forwarder->routes, &packet->key) : NULL;

  forward_open (forwarder, route, packet, host);
}

void
wc_forwarder_set_flow_host (WcForwarder *forwarder, WcFlow *flow, WcHost *host)
{
  if (flow->cookie != host->cookie)
    wc_forwarder_uncount_flow (forwarder, flow);
  flow->cookie = host->cookie;
  update_counts (flow, host, forwarder->now_us);
}

void
wc_forwarder_uncount_busy (WcForwarder *forwarder, WcFlow *flow)
{
  WcHost *host = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);

  if (host)
    host->busy_flows -= flow->busy;
  flow->busy = 0;
}

void
wc_forwarder_uncount_flow (WcForwarder *forwarder, WcFlow *flow)
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

/* local functions */

static void
receive_open (WcForwarder *forwarder, const WcPacket *packet)
{
  const WcRoute *route = wc_route_table_find (forwarder->routes, &packet->key);
  const WcFlow  *flow = wc_flow_table_find (forwarder->flows, &packet->key);
  WcHost        *host = wc_forwarder_find_host (forwarder, flow, packet);
  bool is_known = flow && flow->state != WC_FLOW_OPENING && !wc_forwarder_is_other_flow (flow, packet->sequence);

  if (host || !route || is_known)
    forward_open (forwarder, route, packet, host);
  else if (!wc_forwarder_inquire (forwarder, packet))
    wc_forwarder_handle_unresolved (forwarder, packet);
}

static void
forward_open (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcHost *host)
{
  WcFlow *flow;

  if (!route)
    {
      if (packet->flags & WC_PACKET_RST)
        return;
      wc_forwarder_reset_flow (forwarder, packet, WC_DECISION_RESET_NO_ROUTE, host);
      return;
    }
  if (!host)
    {
      wc_forwarder_emit_decision (forwarder, WC_DECISION_DROPPED_UNKNOWN_HOST, &packet->key, NULL);
      return;
    }
  flow = track_flow (forwarder, route, packet);
  if (flow)
    update_flow (forwarder, route, flow, packet, host);
  if (flow && has_lost_host (flow, host))
    {
      wc_forwarder_reset_flow (forwarder, packet, WC_DECISION_RESET_HOST_GONE, host);
      return;
    }
  forwarder->ops.forward (forwarder->user_data, packet, host, host->cookie);
  if (packet->flags & (WC_PACKET_FIN | WC_PACKET_RST))
    wc_opening_copies_remove (forwarder->copies, &packet->key);
  else if (packet->cookie != host->cookie)
    wc_forwarder_correct_sender (forwarder, packet, host->cookie);
}

/* Return: the flow of a packet, started if no packet of it has arrived before; NULL when there is no room for it. */
static WcFlow *
track_flow (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet)
{
  WcFlow *flow = wc_flow_table_find (forwarder->flows, &packet->key);

  if (flow && wc_forwarder_is_other_flow (flow, packet->sequence))
    {
      wc_forwarder_remove_flow (forwarder, flow);
      flow = NULL;
    }
  if (flow && flow->state != WC_FLOW_LEARNED)
    return flow;
  flow = flow ? flow : wc_flow_table_add (forwarder->flows, &packet->key);
  if (flow)
    wc_flow_start (flow, packet, (uint8_t)route->kind, forwarder->now_us);
  return flow;
}

/*
 * A host that is no longer published may still serve if only its entry has expired. A request that is still unanswered
 * when the caller retransmits it shows that the host is gone.
 */
static bool
has_lost_host (const WcFlow *flow, const WcHost *host)
{
  return host->record.state == WC_HOST_GONE && host->last_seen_us <= host->gone_us &&
         flow->unanswered_us > host->evidence_start_us && flow->kind != WC_TRAFFIC_ONCE;
}

/* Updates flow, host and link state from a packet of an open flow. */
static void
update_flow (WcForwarder *forwarder, const WcRoute *route, WcFlow *flow, const WcPacket *packet, WcHost *host)
{
  uint64_t       request_us = flow->request_us;
  WcFlowProgress progress = wc_flow_update (flow, packet, forwarder->now_us);

  wc_forwarder_set_flow_host (forwarder, flow, host);
  if (progress.answered && request_us > 0 &&
      wc_link_quality_record_answered (&forwarder->link, flow->unanswered_us > request_us, forwarder->now_us))
    wc_forwarder_emit_decision (forwarder, WC_DECISION_LINK_LOSSY, &flow->key, host);
  wc_forwarder_record_outcome (forwarder, route, flow, host, &progress, request_us);
  if (progress.opened)
    {
      record_handshake (forwarder, host, forwarder->now_us - flow->opened_us);
      wc_forwarder_announce_choice (forwarder, flow);
    }
  if (host->record.domain == forwarder->settings.domain)
    wc_admission_shares_record_progress (forwarder->shares, host->record.service, route->priority,
                                         flow->request_us == forwarder->now_us && request_us != forwarder->now_us,
                                         progress.answer_time_us > 0, forwarder->now_us);
  if (progress.answered)
    {
      record_answer_time (forwarder, route, host, progress.answer_time_us);
      wc_forwarder_record_response (forwarder, host);
    }
  if (progress.retransmitted && forwarder->now_us - request_us >= RETRANSMISSION_MIN_US)
    wc_forwarder_record_unanswered (forwarder, flow, host, request_us, true);
  if (progress.new_request)
    wc_forwarder_emit_decision (forwarder, WC_DECISION_FORWARDED, &flow->key, host);
}

/*
 * Callers delay the acknowledgement of short answers, so only the longer answers of idempotent requests are measured.
 */
static void
record_answer_time (WcForwarder *forwarder, const WcRoute *route, WcHost *host, uint64_t duration_us)
{
  WcServiceLoad *own;

  if (duration_us == 0)
    return;
  forwarder->ops.answered (forwarder->user_data, duration_us);
  if (route->kind == WC_TRAFFIC_ONCE)
    return;
  if (host->busy_flows <= host->record.slots)
    wc_host_load_record_answer (&host->load, duration_us, forwarder->now_us);
  if (forwarder->balance)
    wc_domain_balance_record_answer (forwarder->balance, host->record.service, host->record.domain, duration_us,
                                     (uint64_t)route->target_latency_ms * 1000, forwarder->now_us);
  own = wc_service_loads_get (&forwarder->loads, host->record.service, true, forwarder->now_us);
  if (host->record.domain == forwarder->settings.domain)
    wc_service_load_record_answer (own, duration_us, (uint64_t)route->target_latency_ms * 1000, forwarder->now_us);
  else
    wc_service_load_record_other_answer (
        wc_service_loads_get (&forwarder->loads, host->record.service, false, forwarder->now_us), own, duration_us,
        forwarder->now_us);
}

static void
record_handshake (WcForwarder *forwarder, const WcHost *host, uint64_t duration_us)
{
  forwarder->ops.opened (forwarder->user_data, duration_us);
  if (forwarder->balance)
    wc_domain_balance_record_opened (forwarder->balance, host->record.service, host->record.domain, duration_us,
                                     forwarder->now_us);
  if (forwarder->handshake_us == 0)
    forwarder->handshake_us = duration_us;
  else
    forwarder->handshake_us += duration_us / HANDSHAKE_MEAN_DIVISOR - forwarder->handshake_us / HANDSHAKE_MEAN_DIVISOR;
}

/* Updates the host's flow counts after a change of the flow's state. */
static void
update_counts (WcFlow *flow, WcHost *host, uint64_t now_us)
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

static bool
expire_flow (void *user_data, WcFlow *flow)
{
  WcForwarder *forwarder = user_data;
  uint64_t     idle_ms = forwarder->routes ? wc_route_table_get_idle_timeout_ms (forwarder->routes) : 0;
  WcHost      *host = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);

  if (wc_flow_detect_move (flow, forwarder->now_us) && host)
    update_counts (flow, host, forwarder->now_us);
  if (forwarder->settings.features.host_failures && host && flow->request_us > 0 && forwarder->routes)
    wc_forwarder_check_overdue (forwarder, wc_route_table_find (forwarder->routes, &flow->key), flow, host);
  if (!wc_flow_is_expired (flow, idle_ms * 1000, forwarder->settings.flow_lifetime_us, forwarder->now_us))
    return true;
  if (flow->state == WC_FLOW_OPENING)
    wc_opening_budget_record_abandoned (&forwarder->budget);
  wc_forwarder_uncount_flow (forwarder, flow);
  return false;
}
