#include "forward/forwarder_private.h"

#include <assert.h>

#include <glib.h>

#include "core/mix.h"
#include "forward/cookie.h"
#include "forward/flow_progress.h"
#include "forward/placement.h"

enum
{
  /*
   * A host answers an opening within 4 ms, in another domain within 12 ms. An opening that is unanswered after this
   * timeout counts as lost. It is forwarded again, to another host if there is one, unless its caller has opened
   * another flow since.
   */
  OPENING_ANSWER_TIMEOUT_US = 40 * 1000,
  /* Interval at which held openings are examined while no packet arrives; half of the shortest typical run time. */
  ADMIT_INTERVAL_US = 10 * 1000
};

static WcHost *record_unanswered_opening (WcForwarder *forwarder, WcFlow *flow);
static void    receive_new_opening (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet);
static void    hold_opening (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held);
static void    admit_held (WcForwarder *forwarder);
static void    reject_hopeless (WcForwarder *forwarder);
static bool    keep_unless_hopeless (void *user_data, const WcHeldOpening *held, size_t position);
static bool    is_hopeless (WcForwarder *forwarder, const WcHeldOpening *held, size_t position);
static bool    is_unplaceable (WcForwarder *forwarder, const WcHeldOpening *held);
static bool    keep_unless_unplaceable (void *user_data, const WcHeldOpening *held, size_t position);
static void    reject_held (WcForwarder *forwarder, WcHeldOpening *held, WcDecisionKind kind);
static void    reject_opening (WcForwarder *forwarder, const WcHeldOpening *held, WcDecisionKind kind);
static void    emit_decision (WcForwarder *forwarder, WcDecisionKind kind, const WcHeldOpening *held);
static bool    try_to_admit (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held, bool is_trial);
static void
open_flow (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcHost *host, bool is_diverted);
static void
place_again (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcFlow *flow, WcOpeningCause cause);
static void     forward_opening (WcForwarder *forwarder, const WcPacket *packet, WcHost *host, bool is_diverted);
static bool     can_keep_host (const WcForwarder *forwarder, const WcPlacement *placement, const WcHost *host);
static bool     is_trial_due (const WcForwarder *forwarder);
static uint32_t find_refusing_host (WcForwarder *forwarder, const WcFlowKey *key);

void
wc_forwarder_receive_opening (WcForwarder *forwarder, const WcPacket *packet)
{
  const WcRoute *route = wc_route_table_find (forwarder->routes, &packet->key);
  WcFlow        *flow = wc_flow_table_find (forwarder->flows, &packet->key);
  WcHost        *host;

  if (wc_opening_is_late (packet) || (flow && wc_forwarder_is_late_opening (flow, packet)))
    {
      wc_forwarder_emit_decision (forwarder, WC_DECISION_DROPPED_LATE_OPENING, &packet->key, NULL);
      return;
    }
  if (!route)
    {
      wc_forwarder_reset_flow (forwarder, packet, WC_DECISION_REJECTED_NO_ROUTE, NULL);
      return;
    }
  if (flow && wc_forwarder_is_other_flow (flow, packet->sequence + 1))
    {
      wc_forwarder_remove_flow (forwarder, flow);
      flow = NULL;
    }
  if (!flow)
    {
      receive_new_opening (forwarder, route, packet);
      return;
    }
  if (flow->state == WC_FLOW_OPENING)
    {
      host = record_unanswered_opening (forwarder, flow);
      if (flow->second_host && wc_link_quality_record_unanswered (&forwarder->link, forwarder->now_us))
        wc_forwarder_emit_decision (forwarder, WC_DECISION_LINK_LOSSY, &packet->key, host);
    }
  place_again (forwarder, route, packet, flow, WC_OPENING_CAUSE_RETRANSMISSION);
}

void
wc_forwarder_run_timers (WcForwarder *forwarder, uint64_t now_us)
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
      if (!wc_forwarder_is_starting (forwarder))
        (void)record_unanswered_opening (forwarder, flow);
      /* Refused, lost, or continued through another instance: it is no load as far as this instance knows. */
      flow->moved = 1;
      if (!superseded)
        place_again (forwarder, route, &packet, flow, WC_OPENING_CAUSE_TIMER);
      else
        wc_forwarder_uncount_busy (forwarder, flow);
    }
  wc_forwarder_end_inquiries (forwarder);
  reject_hopeless (forwarder);
  admit_held (forwarder);
}

void
wc_forwarder_reject_held (WcForwarder *forwarder, uint64_t now_us)
{
  WcHeldOpening *held;

  assert (forwarder != NULL);

  forwarder->now_us = now_us;
  while ((held = wc_admission_queue_get_best (forwarder->held, NULL, 0, now_us)) != NULL)
    reject_held (forwarder, held, WC_DECISION_REJECTED_STOPPING);
  forwarder->admit_deadline_us = UINT64_MAX;
}

void
wc_forwarder_reject_unplaceable (WcForwarder *forwarder)
{
  if (wc_admission_queue_get_count (forwarder->held) > 0)
    wc_admission_queue_walk (forwarder->held, forwarder->now_us, keep_unless_unplaceable, forwarder);
}

/* local functions */

/* Return: the host that did not answer the opening, or NULL when it is no longer known. */
static WcHost *
record_unanswered_opening (WcForwarder *forwarder, WcFlow *flow)
{
  WcHost *host = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);

  if (host)
    wc_forwarder_record_unanswered (forwarder, flow, host, flow->opened_us, false);
  return host;
}

static void
receive_new_opening (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet)
{
  WcHeldOpening  held;
  WcServiceLoad *load;
  uint64_t       retry_sent_us;

  if (wc_admission_queue_find (forwarder->held, &packet->key))
    return;
  retry_sent_us = wc_retry_cache_take (&forwarder->rejected, &packet->key, forwarder->now_us);
  if (!wc_held_opening_init (&held, route, packet, retry_sent_us, forwarder->now_us))
    return;
  held.service = wc_forwarder_pick_service (route, &packet->key);
  held.avoid = find_refusing_host (forwarder, &packet->key);
  load = wc_forwarder_get_own_load (forwarder, held.service);
  held.answer_us = wc_forwarder_estimate_answer_us (forwarder, held.service);
  if (wc_held_opening_can_be_in_time (&held, forwarder->now_us))
    wc_rate_window_record (&load->arrivals, forwarder->now_us);
  wc_forwarder_classify_opening (forwarder, &held);
  if (wc_admission_queue_get_count (forwarder->held) == 0 && try_to_admit (forwarder, route, &held, false))
    return;
  if (is_unplaceable (forwarder, &held))
    reject_opening (forwarder, &held, WC_DECISION_REJECTED_NO_HOST);
  else
    hold_opening (forwarder, route, &held);
}

/* Queues an opening, or rejects it at once when it has no prospect of being served. */
static void
hold_opening (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held)
{
  size_t        position = wc_admission_queue_count_before (forwarder->held, held, forwarder->now_us);
  WcHeldOpening rejected;

  wc_service_load_record_limited (wc_forwarder_get_own_load (forwarder, held->service), forwarder->now_us);
  if (is_hopeless (forwarder, held, position))
    {
      wc_admission_shares_record_waited (forwarder->shares, held, forwarder->now_us);
      if (!is_trial_due (forwarder) || !try_to_admit (forwarder, route, held, true))
        reject_opening (forwarder, held, wc_forwarder_get_overload_kind (forwarder, held));
      return;
    }
  emit_decision (forwarder, WC_DECISION_HELD, held);
  forwarder->admit_deadline_us = forwarder->now_us;
  if (!wc_admission_queue_add (forwarder->held, held, forwarder->now_us, &rejected))
    reject_opening (forwarder, &rejected, wc_forwarder_get_overload_kind (forwarder, &rejected));
}

static bool
is_hopeless (WcForwarder *forwarder, const WcHeldOpening *held, size_t position)
{
  WcPlacement           placement = wc_forwarder_get_placement (forwarder, held);
  const WcAdmissionView view = wc_forwarder_get_admission_view (forwarder, &placement);

  placement.balance = wc_forwarder_is_starting (forwarder) ? NULL : forwarder->balance;
  return forwarder->settings.admission->is_hopeless (held, position, &view);
}

/*
 * Forwards held openings in queue order until no service with held openings has a host with capacity, or
 * WC_ADMISSION_MAX_FULL_SERVICES services without capacity were found.
 */
static void
admit_held (WcForwarder *forwarder)
{
  uint32_t       full_services[WC_ADMISSION_MAX_FULL_SERVICES];
  size_t         full_count = 0;
  WcHeldOpening *held;

  while (full_count < WC_ADMISSION_MAX_FULL_SERVICES &&
         (held = wc_admission_queue_get_best (forwarder->held, full_services, full_count, forwarder->now_us)) != NULL)
    {
      const WcRoute *route =
          forwarder->routes ? wc_route_table_find (forwarder->routes, &held->opening.packet.key) : NULL;

      if (!route)
        reject_held (forwarder, held, WC_DECISION_REJECTED_NO_ROUTE);
      else if (try_to_admit (forwarder, route, held, is_trial_due (forwarder)))
        wc_admission_queue_remove (forwarder->held, held);
      else
        {
          wc_service_load_record_limited (wc_forwarder_get_own_load (forwarder, held->service), forwarder->now_us);
          wc_admission_shares_record_waited (forwarder->shares, held, forwarder->now_us);
          full_services[full_count++] = held->service;
        }
    }
  forwarder->admit_deadline_us =
      wc_admission_queue_get_count (forwarder->held) > 0 ? forwarder->now_us + ADMIT_INTERVAL_US : UINT64_MAX;
}

static void
reject_hopeless (WcForwarder *forwarder)
{
  if (wc_admission_queue_get_count (forwarder->held) > 0)
    wc_admission_queue_walk (forwarder->held, forwarder->now_us, keep_unless_hopeless, forwarder);
}

static bool
keep_unless_hopeless (void *user_data, const WcHeldOpening *held, size_t position)
{
  WcForwarder *forwarder = user_data;

  if (!is_hopeless (forwarder, held, position))
    return true;
  reject_opening (forwarder, held, wc_forwarder_get_overload_kind (forwarder, held));
  return false;
}

/*
 * Whether no host is left for an opening because domains are evacuated. It would otherwise wait behind the openings of
 * other services, or be rejected as overload.
 */
static bool
is_unplaceable (WcForwarder *forwarder, const WcHeldOpening *held)
{
  const WcRoute *route = forwarder->routes ? wc_route_table_find (forwarder->routes, &held->opening.packet.key) : NULL;
  WcPlacement    placement = wc_forwarder_get_placement (forwarder, held);
  bool           is_diverted = false;

  return route && wc_evacuation_get_count (forwarder->evacuation) > 0 &&
         !wc_forwarder_choose_host (forwarder, route, &placement, &is_diverted);
}

static bool
keep_unless_unplaceable (void *user_data, const WcHeldOpening *held, size_t position)
{
  WcForwarder *forwarder = user_data;

  (void)position;
  if (!is_unplaceable (forwarder, held))
    return true;
  reject_opening (forwarder, held, WC_DECISION_REJECTED_NO_HOST);
  return false;
}

static void
reject_held (WcForwarder *forwarder, WcHeldOpening *held, WcDecisionKind kind)
{
  reject_opening (forwarder, held, kind);
  wc_admission_queue_remove (forwarder->held, held);
}

static void
reject_opening (WcForwarder *forwarder, const WcHeldOpening *held, WcDecisionKind kind)
{
  const WcPacket packet = wc_opening_get_packet (&held->opening);

  wc_retry_cache_add (&forwarder->rejected, &packet.key, held->sent_us, forwarder->now_us);
  emit_decision (forwarder, kind, held);
  forwarder->ops.reset (forwarder->user_data, &packet.key, packet.acknowledged);
}

static void
emit_decision (WcForwarder *forwarder, WcDecisionKind kind, const WcHeldOpening *held)
{
  const WcServiceLoad *load = wc_forwarder_get_own_load (forwarder, held->service);
  const WcDecision     decision = {
        .kind = kind,
        .key = &held->opening.packet.key,
        .version = forwarder->routes ? wc_route_table_get_version (forwarder->routes) : 0,
        .evidence_us = held->sent_us,
        .count = (uint32_t)wc_admission_queue_get_count (forwarder->held),
        .forwards_per_s = wc_service_load_get_drain_per_s (load, forwarder->now_us),
        .share_percent = load->share_percent,
        .priority = held->priority,
        .is_guaranteed = held->is_guaranteed,
        .exceeds_share = held->exceeds_share,
  };

  forwarder->ops.decided (forwarder->user_data, &decision);
}

/*
 * @is_trial: forward the opening regardless of load, because this instance's information on the hosts may be wrong.
 *
 * Return: false when the opening has to wait.
 */
static bool
try_to_admit (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held, bool is_trial)
{
  const WcPacket packet = wc_opening_get_packet (&held->opening);
  WcHostChoice   choice;

  wc_forwarder_select_host (forwarder, route, held, is_trial, &choice);
  if (choice.kind == WC_DECISION_REJECTED_NO_HOST)
    {
      wc_forwarder_reset_flow (forwarder, &packet, WC_DECISION_REJECTED_NO_HOST, NULL);
      return true;
    }
  if (!choice.host)
    return false;
  if (choice.host->record.domain == forwarder->settings.domain)
    wc_rate_window_record (&wc_forwarder_get_own_load (forwarder, choice.service)->forwards, forwarder->now_us);
  wc_admission_shares_record_opening (forwarder->shares, held, choice.host->record.domain == forwarder->settings.domain,
                                      forwarder->now_us);
  forwarder->trial_deadline_us = forwarder->now_us + forwarder->settings.admission->trial_interval_us;
  open_flow (forwarder, route, &packet, choice.host, choice.is_diverted);
  wc_forwarder_record_placed (forwarder, &packet.key, choice.host, &choice.reason);
  return true;
}

static void
open_flow (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcHost *host, bool is_diverted)
{
  WcFlow *flow = wc_flow_table_add (forwarder->flows, &packet->key);

  wc_opening_budget_record_first (&forwarder->budget, host->record.service, forwarder->now_us);
  wc_forwarder_emit_decision (forwarder, WC_DECISION_PLACED, &packet->key, host);
  if (flow)
    {
      wc_flow_start (flow, packet, (uint8_t)route->kind, forwarder->now_us);
      /* Another instance may have forwarded the first copy. On an opening, this is the number of retransmissions. */
      flow->is_ambiguous = packet->acknowledged > 0;
      wc_forwarder_set_flow_host (forwarder, flow, host);
      wc_host_failures_record_flow (&host->failures);
      wc_opening_queue_add (forwarder->openings, packet, forwarder->now_us + OPENING_ANSWER_TIMEOUT_US);
    }
  forward_opening (forwarder, packet, host, is_diverted);
}

/*
 * Forwards an opening again; if a host did not answer it, to another host if there is one. Several hosts may answer an
 * opening; the caller continues with one of them, and the others keep no state that could run a request. Beyond the
 * budget for other hosts an opening waits for its caller's retransmission, which goes to the host that has it already.
 */
static void
place_again (WcForwarder *forwarder, const WcRoute *route, const WcPacket *packet, WcFlow *flow, WcOpeningCause cause)
{
  bool        is_opening = flow->state == WC_FLOW_OPENING;
  WcPlacement placement = wc_forwarder_get_flow_placement (
      forwarder, &packet->key, wc_forwarder_pick_service (route, &packet->key), is_opening ? flow->cookie : 0);
  WcPlacementReason reason = { 0 };
  bool              is_diverted = false;
  WcHost           *first = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);
  WcHost           *host;

  wc_forwarder_set_balance (forwarder, route, &placement, &reason);
  host = wc_forwarder_choose_host (forwarder, route, &placement, &is_diverted);
  /*
   * A limit is no reason to reset an open flow because of a late copy of its opening, or an opening that its host may
   * still answer; in the latter case the caller's retransmission is reset if there is no other host by then.
   */
  if (!host && (cause == WC_OPENING_CAUSE_TIMER || !is_opening) && is_diverted)
    {
      if (is_opening)
        wc_forwarder_uncount_busy (forwarder, flow);
      return;
    }
  if (!host)
    {
      if (!wc_forwarder_stays_at_host (forwarder, flow, packet, cause == WC_OPENING_CAUSE_RETRANSMISSION))
        wc_forwarder_reset_flow (forwarder, packet, WC_DECISION_REJECTED_NO_HOST, NULL);
      else if (flow->moved)
        wc_forwarder_uncount_busy (forwarder, flow);
      return;
    }
  if (flow->state == WC_FLOW_OPENING && flow->cookie != host->cookie &&
      !wc_opening_budget_take (&forwarder->budget, host->record.service,
                               can_keep_host (forwarder, &placement, first) ? cause : WC_OPENING_CAUSE_HOST_GONE,
                               forwarder->now_us))
    {
      wc_forwarder_emit_decision (forwarder, WC_DECISION_SECOND_REFUSED, &packet->key, first);
      if (cause == WC_OPENING_CAUSE_TIMER)
        {
          wc_forwarder_uncount_busy (forwarder, flow);
          return;
        }
      host = first;
    }
  wc_forwarder_emit_decision (forwarder, WC_DECISION_PLACED_AGAIN, &packet->key, host);
  if (flow->state != WC_FLOW_OPENING)
    flow->unanswered_cookie = 0;
  else if (flow->cookie != host->cookie && !wc_forwarder_is_starting (forwarder))
    flow->unanswered_cookie = flow->cookie;
  wc_host_failures_record_flow (&host->failures);
  flow->is_ambiguous =
      flow->state == WC_FLOW_OPENING ? flow->is_ambiguous || flow->cookie != host->cookie : packet->acknowledged > 0;
  flow->second_host = flow->state == WC_FLOW_OPENING && (flow->second_host || flow->cookie != host->cookie);
  wc_flow_start (flow, packet, (uint8_t)route->kind, forwarder->now_us);
  wc_forwarder_set_flow_host (forwarder, flow, host);
  wc_forwarder_record_placed (forwarder, &packet->key, host, &reason);
  forward_opening (forwarder, packet, host, is_diverted);
}

static void
forward_opening (WcForwarder *forwarder, const WcPacket *packet, WcHost *host, bool is_diverted)
{
  wc_warm_up_record (host, forwarder->now_us);
  forwarder->flows_diverted += is_diverted;
  wc_opening_copies_add (forwarder->copies, packet, host->cookie, forwarder->now_us);
  forwarder->ops.forward (forwarder->user_data, packet, host, wc_cookie_for_opening (host->cookie, packet));
}

/* Whether an opening may be forwarded again to @host, which has it already. */
static bool
can_keep_host (const WcForwarder *forwarder, const WcPlacement *placement, const WcHost *host)
{
  return host && host->record.state == WC_HOST_READY && wc_placement_allows (host, placement, forwarder->now_us);
}

static bool
is_trial_due (const WcForwarder *forwarder)
{
  return forwarder->now_us >= forwarder->trial_deadline_us;
}

/*
 * Load pattern: a host whose process is down refuses openings, so its callers retry within milliseconds, and it is the
 * host with the fewest requests. Refusals are sent to the caller directly and do not pass this instance. An unanswered
 * opening whose caller opens another flow was therefore probably refused.
 *
 * Return: cookie of the refusing host, or 0.
 */
static uint32_t
find_refusing_host (WcForwarder *forwarder, const WcFlowKey *key)
{
  WcFlowKey     refused_key;
  const WcFlow *refused;

  if (!wc_opening_queue_supersede (forwarder->openings, key, &refused_key))
    return 0;
  refused = wc_flow_table_find (forwarder->flows, &refused_key);
  return refused && refused->state == WC_FLOW_OPENING ? refused->cookie : 0;
}
