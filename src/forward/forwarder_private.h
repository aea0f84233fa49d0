#ifndef WC_FORWARD_FORWARDER_PRIVATE_H
#define WC_FORWARD_FORWARDER_PRIVATE_H

#include "forward/admission_queue.h"
#include "forward/flow_table.h"
#include "forward/forwarder.h"
#include "forward/link_quality.h"
#include "forward/opening_queue.h"
#include "forward/retry_cache.h"
#include "forward/service_load.h"
#include "forward/warm_up.h"

/*
 * Shared by the source files of the forwarder: forwarder.c handles open flows, forwarder_openings.c new flows,
 * forwarder_health.c failure detection of hosts, and forwarder_warm_up.c cold hosts.
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
 * @openings: forwarded openings, each until its answer timeout.
 * @held: openings that wait for a host with capacity.
 * @admit_deadline_us: time at which held openings are examined next; UINT64_MAX when there are none.
 * @trial_deadline_us: earliest time at which an opening is forwarded regardless of the hosts' load.
 * @loads: load of the services in the own domain.
 * @handshake_us: mean time from forwarding an opening until its request arrives; 0 before the first.
 * @rejected: callers whose openings were rejected recently, to recognise their retries from another port.
 * @domain_peers: other live instances of this domain.
 * @warm_up: limit of new flows to cold hosts; NULL when the deployment does not ask for it.
 * @assumed_cold: domains whose evacuation ended recently.
 * @flows_diverted: flows placed on another host because of that limit.
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
  uint32_t            domain_peers;
  WcWarmUp           *warm_up;
  WcAssumedCold       assumed_cold[WC_ASSUMED_COLD_DOMAINS];
  uint64_t            flows_diverted;
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

/** wc_forwarder_evaluate_warm_up() - evaluate the lease of a host; emits a decision when it begins to be limited. */
void wc_forwarder_evaluate_warm_up (WcForwarder *forwarder, WcHost *host);

#endif
