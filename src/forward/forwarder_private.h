#ifndef WC_FORWARD_FORWARDER_PRIVATE_H
#define WC_FORWARD_FORWARDER_PRIVATE_H

#include "forward/admission.h"
#include "forward/flow_table.h"
#include "forward/forwarder.h"
#include "forward/link_quality.h"
#include "forward/opening_queue.h"
#include "forward/retry_cache.h"

/*
 * Shared by the parts of a forwarder: forwarder.c has open flows, forwarder_openings.c new ones, forwarder_evidence.c
 * what is seen of hosts.
 */

/**
 * struct WcForwarder - see forwarder.h.
 * @openings: openings that were given to a host, until it should have answered.
 * @held: openings that wait until a host has room.
 * @admit_deadline_us: when held openings are tried next; UINT64_MAX when there are none.
 * @trial_deadline_us: from then on one of them goes to a host in any case.
 * @rejected: callers whose openings were rejected.
 * @domain_peers: other live instances of this domain.
 * @now_us: time of the call that is being served.
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
  WcRetryCache        rejected;
  WcLinkQuality       link;
  uint32_t            domain_peers;
  uint64_t            now_us;
};

/** wc_forwarder_emit_decision() - report a decision; @key and @host may be NULL. */
void wc_forwarder_emit_decision (WcForwarder *forwarder, WcDecisionKind kind, const WcFlowKey *key, const WcHost *host);

/** wc_forwarder_reset_flow() - report a decision to reset the flow of a packet, reset it and forget it. */
void wc_forwarder_reset_flow (WcForwarder *forwarder, const WcPacket *packet, WcDecisionKind kind, const WcHost *host);

/** wc_forwarder_set_flow_host() - a flow belongs to a host; also keeps the numbers of flows of the host in step. */
void wc_forwarder_set_flow_host (WcForwarder *forwarder, WcFlow *flow, WcHost *host);

/** wc_forwarder_uncount_flow() - take a flow out of the numbers of its host. */
void wc_forwarder_uncount_flow (WcForwarder *forwarder, WcFlow *flow);

/** wc_forwarder_receive_opening() - a caller's opening packet. */
void wc_forwarder_receive_opening (WcForwarder *forwarder, const WcPacket *packet);

/** wc_forwarder_record_response() - a caller received something from a host. */
void wc_forwarder_record_response (WcForwarder *forwarder, WcHost *host);

/** wc_forwarder_record_unanswered() - see wc_host_evidence_silence(). */
void
wc_forwarder_record_unanswered (WcForwarder *forwarder, WcFlow *flow, WcHost *host, uint64_t since_us, bool is_request);

/** wc_forwarder_evaluate_host() - end the flows of a host that is dead. */
void wc_forwarder_evaluate_host (WcForwarder *forwarder, WcHost *host);

#endif
