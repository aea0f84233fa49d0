#ifndef WC_FORWARD_FORWARDER_PRIVATE_H
#define WC_FORWARD_FORWARDER_PRIVATE_H

#include "forward/admission_queue.h"
#include "forward/domain_balance.h"
#include "forward/flow_inquiry.h"
#include "forward/flow_progress.h"
#include "forward/flow_table.h"
#include "forward/forwarder.h"
#include "forward/link_quality.h"
#include "forward/opening_budget.h"
#include "forward/opening_copies.h"
#include "forward/opening_queue.h"
#include "forward/placement.h"
#include "forward/retry_cache.h"
#include "forward/service_load.h"
#include "forward/warm_up.h"

/*
 * Shared by the source files of the forwarder: forwarder.c handles open flows, forwarder_openings.c new flows,
 * forwarder_health.c failure detection of hosts, forwarder_failures.c hosts that fail part of their requests,
 * forwarder_evacuation.c evacuated domains, forwarder_warm_up.c cold hosts, forwarder_balance.c flows that leave the
 * domain, forwarder_inquiry.c flows of which only peers know the host, and forwarder_cookies.c what cookies prove.
 */

enum
{
  /* A deployment has up to five failure domains. */
  WC_ASSUMED_COLD_DOMAINS = 8
};

/** struct WcAssumedCold - a domain whose hosts all count as cold until @deadline_us. */
typedef struct
{
  uint32_t domain;
  uint64_t deadline_us;
} WcAssumedCold;

/**
 * struct WcForwarder - see forwarder.h.
 * @inquiries: flows about whose hosts peers were asked.
 * @openings: forwarded openings, each until its answer timeout.
 * @copies: forwarded openings with the hosts that have them, until one is chosen.
 * @budget: limits and counts forwardings of openings to another host.
 * @held: openings that wait for a host with capacity.
 * @shares: loads of priorities and callers; NULL unless the admission policy uses them.
 * @admit_deadline_us: time at which held openings are examined next; UINT64_MAX when there are none.
 * @trial_deadline_us: earliest time at which an opening is forwarded regardless of the hosts' load.
 * @loads: load of the services in the own domain.
 * @handshake_us: mean time from forwarding an opening until its request arrives; 0 before the first.
 * @rejected: callers whose openings were rejected recently, to recognise their retries from another port.
 * @balance: decides which flows leave the domain; NULL unless the deployment asks for it.
 * @domain_peers: other live instances of this domain.
 * @warm_up: limit of new flows to cold hosts; NULL when the deployment does not ask for it.
 * @assumed_cold: domains whose evacuation ended recently.
 * @flows_diverted: flows placed on another host because of that limit.
 * @started_us: time of the first packet; 0 before it.
 * @failures_start_us: requests sent before this time are no evidence of failing hosts.
 * @next_failing_host: index of the host whose failures are reported next.
 * @now_us: time of the current call.
 */
struct WcForwarder
{
  WcForwarderSettings settings;
  WcForwarderOps      ops;
  void               *user_data;
  WcRouteTable       *routes;
  WcHostTable        *hosts;
  WcEvacuation       *evacuation;
  WcFlowTable        *flows;
  WcFlowInquiries    *inquiries;
  WcOpeningQueue     *openings;
  WcOpeningCopies    *copies;
  WcOpeningBudget     budget;
  WcAdmissionQueue   *held;
  WcAdmissionShares  *shares;
  uint64_t            admit_deadline_us;
  uint64_t            trial_deadline_us;
  WcServiceLoads      loads;
  uint64_t            handshake_us;
  WcRetryCache        rejected;
  WcLinkQuality       link;
  WcDomainBalance    *balance;
  uint32_t            domain_peers;
  WcWarmUp           *warm_up;
  WcAssumedCold       assumed_cold[WC_ASSUMED_COLD_DOMAINS];
  uint64_t            flows_diverted;
  uint64_t            started_us;
  uint64_t            failures_start_us;
  size_t              next_failing_host;
  uint64_t            now_us;
};

/** wc_forwarder_emit_decision() - pass a decision to the callback; @key and @host may be NULL. */
void wc_forwarder_emit_decision (WcForwarder *forwarder, WcDecisionKind kind, const WcFlowKey *key, const WcHost *host);

/**
 * wc_forwarder_reset_flow() - emit the decision to reset the flow of a packet, send the reset and stop tracking the
 * flow.
 */
void wc_forwarder_reset_flow (WcForwarder *forwarder, const WcPacket *packet, WcDecisionKind kind, const WcHost *host);

/** wc_forwarder_set_flow_host() - assign a flow to a host and update the flow counts of the host. */
void wc_forwarder_set_flow_host (WcForwarder *forwarder, WcFlow *flow, WcHost *host);

/** wc_forwarder_uncount_flow() - remove a flow from the flow counts of its host. */
void wc_forwarder_uncount_flow (WcForwarder *forwarder, WcFlow *flow);

/** wc_forwarder_uncount_busy() - remove a flow from the busy flows of its host. */
void wc_forwarder_uncount_busy (WcForwarder *forwarder, WcFlow *flow);

/**
 * wc_forwarder_is_other_flow() - whether a sequence number shows that @flow is an earlier or later one that uses the
 * same port. An opening has no state that could mislead.
 */
bool wc_forwarder_is_other_flow (const WcFlow *flow, uint32_t sequence);

/** wc_forwarder_remove_flow() - stop tracking a flow. */
void wc_forwarder_remove_flow (WcForwarder *forwarder, WcFlow *flow);

/** wc_forwarder_forward_open() - forward a packet of an open flow to @host, or drop it when that is NULL. */
void wc_forwarder_forward_open (WcForwarder *forwarder, const WcPacket *packet, WcHost *host);

/**
 * wc_forwarder_find_host() - the host of a packet of an open flow, as this instance knows it or the cookie proves it.
 * @flow: NULL when the flow is not known.
 *
 * Return: NULL when neither shows it, or when the host is not known.
 */
WcHost *wc_forwarder_find_host (const WcForwarder *forwarder, const WcFlow *flow, const WcPacket *packet);

/**
 * wc_forwarder_find_opening_host() - the host from whose answer to the opening the cookie of @packet is, if that is the
 * first packet after the opening. Return: NULL otherwise.
 */
WcHost *wc_forwarder_find_opening_host (const WcForwarder *forwarder, const WcPacket *packet);

/**
 * wc_forwarder_correct_cookies() - let the hosts that have the opening of a flow and were not chosen repeat the cookie
 * of the chosen one.
 * @chosen: cookie of the chosen host.
 */
void wc_forwarder_correct_cookies (WcForwarder *forwarder, const WcFlowKey *key, uint32_t chosen);

/** wc_forwarder_correct_sender() - the same for the host whose cookie @packet carries, if that is not the chosen one.
 */
void wc_forwarder_correct_sender (WcForwarder *forwarder, const WcPacket *packet, uint32_t chosen);

/**
 * wc_forwarder_inquire() - ask peers for the host of a flow that neither the flow's state nor the cookie in its packet
 * shows.
 *
 * Return: true when the packet is held until they answer; false when they cannot be asked.
 */
bool wc_forwarder_inquire (WcForwarder *forwarder, const WcPacket *packet);

/**
 * wc_forwarder_handle_unresolved() - forward or drop a packet whose host no peer knows.
 */
void wc_forwarder_handle_unresolved (WcForwarder *forwarder, const WcPacket *packet);

/** wc_forwarder_end_inquiries() - forward or drop the packets whose inquiries have expired. */
void wc_forwarder_end_inquiries (WcForwarder *forwarder);

/** wc_forwarder_announce_choice() - tell peers the host of a flow that was opened, if several may have answered. */
void wc_forwarder_announce_choice (WcForwarder *forwarder, const WcFlow *flow);

/** wc_forwarder_is_late_opening() - whether an opening is a delayed copy of the one with which @flow was opened. */
bool wc_forwarder_is_late_opening (const WcFlow *flow, const WcPacket *packet);

/** wc_forwarder_receive_opening() - process the opening packet of a caller. */
void wc_forwarder_receive_opening (WcForwarder *forwarder, const WcPacket *packet);

/** wc_forwarder_reject_unplaceable() - reset the held openings for which no host is left. */
void wc_forwarder_reject_unplaceable (WcForwarder *forwarder);

/**
 * wc_forwarder_stays_at_host() - whether a flow for whose opening no other host is left is kept, because its host
 * accepted it before the domain was evacuated.
 * @packet: the opening.
 * @is_retransmitted: the caller has sent the opening again, so that it had no answer then.
 */
bool wc_forwarder_stays_at_host (const WcForwarder *forwarder, const WcFlow *flow, const WcPacket *packet,
                                 bool is_retransmitted);

/** wc_forwarder_get_own_load() - the load of a service at the hosts of the own domain. */
WcServiceLoad *wc_forwarder_get_own_load (WcForwarder *forwarder, uint32_t service);

/** wc_forwarder_is_starting() - this instance has received packets for so short a time that its evidence says little.
 */
bool wc_forwarder_is_starting (const WcForwarder *forwarder);

/** wc_forwarder_get_handshake_us() - time from forwarding an opening until its request arrives. */
uint64_t wc_forwarder_get_handshake_us (const WcForwarder *forwarder);

/** wc_forwarder_estimate_answer_us() - time from forwarding an opening until the answer of a host without a queue. */
uint64_t wc_forwarder_estimate_answer_us (WcForwarder *forwarder, uint32_t service);

/** wc_forwarder_pick_service() - quark of the service that is selected by the hash of the flow's key. */
uint32_t wc_forwarder_pick_service (const WcRoute *route, const WcFlowKey *key);

/**
 * wc_forwarder_get_flow_placement() - requirements of a flow.
 * @avoid: cookie of a host that refused the caller or did not answer it; 0 for none.
 */
WcPlacement
wc_forwarder_get_flow_placement (const WcForwarder *forwarder, const WcFlowKey *key, uint32_t service, uint32_t avoid);

/** wc_forwarder_set_balance() - let the domain balance decide on a placement. @reason: must outlive @placement. */
void wc_forwarder_set_balance (const WcForwarder *forwarder, const WcRoute *route, WcPlacement *placement,
                               WcPlacementReason *reason);

/**
 * wc_forwarder_choose_host() - the best host of the service that @placement names, or else of another service of the
 * route, which @placement names then.
 * @is_diverted: must stay valid while @placement is used.
 *
 * Return: NULL when there is none.
 */
WcHost *
wc_forwarder_choose_host (WcForwarder *forwarder, const WcRoute *route, WcPlacement *placement, bool *is_diverted);

/**
 * struct WcHostChoice - where an opening would go.
 * @kind: WC_DECISION_PLACED, WC_DECISION_HELD when it has to wait, or WC_DECISION_REJECTED_NO_HOST.
 * @host: NULL unless the opening is placed.
 * @service: quark of the service of the route that was chosen.
 * @is_diverted, @reason: see WcPlacement.
 */
typedef struct
{
  WcDecisionKind    kind;
  WcHost           *host;
  uint32_t          service;
  bool              is_diverted;
  WcPlacementReason reason;
} WcHostChoice;

/** wc_forwarder_select_host() - decide where an opening goes now. @is_trial: regardless of load. */
void wc_forwarder_select_host (WcForwarder *forwarder, const WcRoute *route, const WcHeldOpening *held, bool is_trial,
                               WcHostChoice *choice);

/** wc_forwarder_get_placement() - requirements of an opening. */
WcPlacement wc_forwarder_get_placement (const WcForwarder *forwarder, const WcHeldOpening *held);

/**
 * wc_forwarder_get_admission_view() - what this instance knows when it decides on an opening.
 * @placement: requirements of the opening, to which the view refers.
 */
WcAdmissionView wc_forwarder_get_admission_view (WcForwarder *forwarder, const WcPlacement *placement);

/** wc_forwarder_classify_opening() - record a new opening; see wc_admission_shares_classify(). */
void wc_forwarder_classify_opening (WcForwarder *forwarder, WcHeldOpening *held);

/** wc_forwarder_allows_trial() - whether an opening may be forwarded regardless of load. */
bool wc_forwarder_allows_trial (WcForwarder *forwarder, const WcHeldOpening *held);

/** wc_forwarder_get_overload_kind() - the decision by which an opening is rejected for lack of capacity. */
WcDecisionKind wc_forwarder_get_overload_kind (WcForwarder *forwarder, const WcHeldOpening *held);

/** wc_forwarder_record_response() - record that a caller received a response of a host. */
void wc_forwarder_record_response (WcForwarder *forwarder, WcHost *host);

/** wc_forwarder_record_unanswered() - record an unanswered packet; see wc_host_health_record_unanswered(). */
void
wc_forwarder_record_unanswered (WcForwarder *forwarder, WcFlow *flow, WcHost *host, uint64_t since_us, bool is_request);

/**
 * wc_forwarder_evaluate_host() - suspect a host that is dead according to the evidence of the domain, and reset its
 * flows if requests of this instance are unanswered.
 */
void wc_forwarder_evaluate_host (WcForwarder *forwarder, WcHost *host);

/**
 * wc_forwarder_record_outcome() - count a request as answered or failed after a packet of its flow.
 * @host: the host of the flow.
 * @request_us: when the pending request was sent before the packet; 0 for none.
 */
void wc_forwarder_record_outcome (WcForwarder *forwarder, const WcRoute *route, WcFlow *flow, WcHost *host,
                                  const WcFlowProgress *progress, uint64_t request_us);

/** wc_forwarder_check_overdue() - count the pending request of a flow as failed if it has been unanswered for long. */
void wc_forwarder_check_overdue (WcForwarder *forwarder, const WcRoute *route, WcFlow *flow, WcHost *host);

/** wc_forwarder_apply_failures() - process the counts in the report of @sender, an instance of this domain. */
void wc_forwarder_apply_failures (WcForwarder *forwarder, uint64_t sender, WcHost *host, const WcHostReport *report);

/** wc_forwarder_add_failures() - add the counts on a host to the report of this instance. */
void
wc_forwarder_add_failures (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us, WcHostReport *report);

/** wc_forwarder_evaluate_failures() - eject failing hosts, and take recovered ones into use. */
void wc_forwarder_evaluate_failures (WcForwarder *forwarder);

/** wc_forwarder_evaluate_warm_up() - evaluate the lease of a host; emits a decision when it begins to be limited. */
void wc_forwarder_evaluate_warm_up (WcForwarder *forwarder, WcHost *host);

/** wc_forwarder_update_balance() - update the capacity of the other domains. */
void wc_forwarder_update_balance (WcForwarder *forwarder);

/** wc_forwarder_record_placed() - record an opening that is sent to @host, and emit the decision if it leaves. */
void wc_forwarder_record_placed (WcForwarder *forwarder, const WcFlowKey *key, const WcHost *host,
                                 const WcPlacementReason *reason);

/** wc_forwarder_record_lost() - record that @host did not answer an opening or request in time. */
void wc_forwarder_record_lost (WcForwarder *forwarder, const WcHost *host);

#endif
