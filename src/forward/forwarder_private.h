#ifndef WC_FORWARD_FORWARDER_PRIVATE_H
#define WC_FORWARD_FORWARDER_PRIVATE_H

#include "forward/admission_queue.h"
#include "forward/domain_balance.h"
#include "forward/flow_table.h"
#include "forward/forwarder.h"
#include "forward/link_quality.h"
#include "forward/opening_queue.h"
#include "forward/placement.h"
#include "forward/retry_cache.h"
#include "forward/service_load.h"

/*
 * Shared by the source files of the forwarder: forwarder.c handles open flows, forwarder_openings.c new flows,
 * forwarder_health.c failure detection of hosts, and forwarder_balance.c flows that leave the domain.
 */

/**
 * struct WcForwarder - see forwarder.h.
 * @openings: forwarded openings, each until its answer timeout.
 * @held: openings that wait for a host with capacity.
 * @admit_deadline_us: time at which held openings are examined next; UINT64_MAX when there are none.
 * @trial_deadline_us: earliest time at which an opening is forwarded regardless of the hosts' load.
 * @loads: load of the services in the own domain.
 * @handshake_us: mean time from forwarding an opening until its request arrives; 0 before the first.
 * @rejected: callers whose openings were rejected recently, to recognise their retries from another port.
 * @balance: decides which flows leave the domain; NULL unless the deployment asks for it.
 * @domain_peers: other live instances of this domain.
 * @started_us: time of the first packet; 0 before it.
 * @now_us: time of the current call.
 */
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
  WcServiceLoads      loads;
  uint64_t            handshake_us;
  WcRetryCache        rejected;
  WcLinkQuality       link;
  WcDomainBalance    *balance;
  uint32_t            domain_peers;
  uint64_t            started_us;
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

/** wc_forwarder_receive_opening() - process the opening packet of a caller. */
void wc_forwarder_receive_opening (WcForwarder *forwarder, const WcPacket *packet);

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

/** wc_forwarder_update_balance() - update the capacity of the other domains. */
void wc_forwarder_update_balance (WcForwarder *forwarder);

/** wc_forwarder_record_placed() - record an opening that is sent to @host, and emit the decision if it leaves. */
void wc_forwarder_record_placed (WcForwarder *forwarder, const WcFlowKey *key, const WcHost *host,
                                 const WcPlacementReason *reason);

/** wc_forwarder_record_lost() - record that @host did not answer an opening or request in time. */
void wc_forwarder_record_lost (WcForwarder *forwarder, const WcHost *host);

#endif
