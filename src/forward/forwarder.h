#ifndef WC_FORWARD_FORWARDER_H
#define WC_FORWARD_FORWARDER_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/admission_policy.h"
#include "forward/decision.h"
#include "forward/evacuation.h"
#include "forward/features.h"
#include "forward/flow_note.h"
#include "forward/host_report.h"
#include "forward/host_table.h"
#include "forward/opening_budget.h"
#include "forward/packet.h"
#include "forward/peer_table.h"
#include "forward/route_table.h"

/**
 * struct WcForwarderSettings - configuration of a forwarder.
 * @domain: quark of the failure domain of this instance.
 * @incarnation: incarnation of this instance, which identifies its reports when other instances relay them.
 * @max_flows: maximum number of tracked flows.
 * @flow_lifetime_us: maximum lifetime of a flow; also the minimum time for which a host that is gone is kept.
 * @features: decisions that the deployment asks for.
 * @warm_up_overrun_milli, @warm_up_slack: limit of flows to cold hosts, see warm_up.h.
 * @other_domain_cost_us: with domain balance, cost of a flow to another domain as the operator sets it.
 * @admission: admission policy; NULL for the one that @features ask for.
 */
typedef struct
{
  uint32_t domain;
  uint64_t incarnation;
  uint32_t max_flows;
  uint64_t flow_lifetime_us;

  WcForwardFeatures        features;
  uint64_t                 warm_up_overrun_milli;
  uint64_t                 warm_up_slack;
  const WcAdmissionPolicy *admission;
  uint64_t                 other_domain_cost_us;
} WcForwarderSettings;

/**
 * struct WcForwarderOps - callbacks of a forwarder.
 * @forward: send a packet to @host, with @cookie in its header.
 * @reset: send a reset to the caller of a flow; @sequence is the caller's latest acknowledgement number, or for an
 * opening its number of retransmissions.
 * @decided: called for each decision, for logs and metrics.
 * @opened: the caller's first packet after an opening arrived @duration_us after the opening was last forwarded.
 * @answered: the caller's acknowledgement of the first part of an answer arrived @duration_us after the request.
 * @ask_host: ask the peers that may know the host of a flow; NULL when there are no peers. Return: number of peers
 * asked.
 * @announce_host: tell these peers the host of a flow; NULL when there are no peers.
 */
typedef struct
{
  void (*forward) (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie);
  void (*reset) (void *user_data, const WcFlowKey *key, uint32_t sequence);
  void (*decided) (void *user_data, const WcDecision *decision);
  void (*opened) (void *user_data, uint64_t duration_us);
  void (*answered) (void *user_data, uint64_t duration_us);
  size_t (*ask_host) (void *user_data, const WcFlowNote *question);
  void (*announce_host) (void *user_data, const WcFlowNote *note);
} WcForwarderOps;

/**
 * struct WcForwarder - decides where each packet of a caller is forwarded. Does no I/O; the time is an argument of
 * each call.
 *
 * The cookie in the packets of an open flow identifies its host, so that an instance without state of the flow can
 * forward them as well. Where the cookie does not prove it, the instance asks its peers, and drops the packet if none
 * of them knows the flow either: a host that does not have the flow would reset it.
 */
typedef struct WcForwarder WcForwarder;

WcForwarder *wc_forwarder_new (const WcForwarderSettings *settings, const WcForwarderOps *ops, void *user_data);
void         wc_forwarder_delete (WcForwarder *forwarder);

/** wc_forwarder_set_routes() - activate a configuration; takes ownership of @routes. */
void wc_forwarder_set_routes (WcForwarder *forwarder, WcRouteTable *routes, uint64_t now_us);

/** wc_forwarder_get_routes() - the active configuration, or NULL. */
const WcRouteTable *wc_forwarder_get_routes (const WcForwarder *forwarder);

/** wc_forwarder_put_host() - add or update a published host. */
void wc_forwarder_put_host (WcForwarder *forwarder, const WcHostRecord *record, uint64_t revision, uint64_t now_us);

/** wc_forwarder_set_host_gone() - mark a host as gone, because it is no longer published or its entry is invalid. */
void wc_forwarder_set_host_gone (WcForwarder *forwarder, uint64_t id, uint64_t now_us);

/**
 * wc_forwarder_set_evacuated() - start or end the evacuation of a domain, whose hosts receive no new flows meanwhile.
 * Held openings without another host are reset; open flows are kept.
 */
void wc_forwarder_set_evacuated (WcForwarder *forwarder, uint32_t domain, bool is_evacuated, uint64_t revision,
                                 uint64_t now_us);

/** wc_forwarder_apply_flow_note() - process a peer's statement of a flow's host, or that it does not know the flow. */
void wc_forwarder_apply_flow_note (WcForwarder *forwarder, const WcFlowNote *note, uint64_t now_us);

/** wc_forwarder_answer_flow_note() - answer a peer's question about the host of a flow. */
WcFlowNote wc_forwarder_answer_flow_note (const WcForwarder *forwarder, const WcFlowNote *question, uint64_t now_us);

/**
 * wc_forwarder_get_flow_notes() - the hosts of flows that an instance without state could mistake, for a peer that has
 * started.
 *
 * Return: number of notes written, at most @max.
 */
size_t wc_forwarder_get_flow_notes (const WcForwarder *forwarder, WcFlowNote *notes, size_t max, uint64_t now_us);

/** wc_forwarder_set_domain_peers() - set the number of other live instances of this domain. */
void wc_forwarder_set_domain_peers (WcForwarder *forwarder, uint32_t count);

/**
 * wc_forwarder_update_leases() - update the leases of cold hosts from the peer table; to be called several times a
 * second and after each datagram of a peer. A gap of more than a second ends all leases.
 */
void wc_forwarder_update_leases (WcForwarder *forwarder, WcPeerTable *peers, uint64_t now_us);

/** wc_forwarder_release_leases() - end all leases of cold hosts for good, because this instance stops. */
void wc_forwarder_release_leases (WcForwarder *forwarder, uint64_t now_us);

/**
 * wc_forwarder_assume_cold() - count all hosts of a domain as cold for 1.5 s, also those added meanwhile, because the
 * evacuation of the domain has ended and entries of its hosts may be out of date.
 */
void wc_forwarder_assume_cold (WcForwarder *forwarder, uint32_t domain, uint64_t now_us);

/** struct WcForwarderWarmUp - state of the limit of new flows to cold hosts; all 0 when it is not in force. */
typedef struct
{
  uint64_t flows_diverted;
  uint32_t limited_hosts;
  uint32_t leases;
} WcForwarderWarmUp;

/**
 * wc_forwarder_get_warm_up() - number of flows that were placed on another host because a cold host could not take
 * them, of hosts that are limited now, and of those whose lease this instance holds.
 */
WcForwarderWarmUp wc_forwarder_get_warm_up (const WcForwarder *forwarder);

/**
 * wc_forwarder_apply_report() - process another instance's report on a host.
 * @sender: incarnation of the sending instance.
 * @is_own_domain: the sender belongs to this domain. Of reports from other domains only the load is used, because
 * the host may be unreachable from there only.
 */
void wc_forwarder_apply_report (WcForwarder *forwarder, uint64_t sender, bool is_own_domain, const WcHostReport *report,
                                uint64_t now_us);

/**
 * wc_forwarder_apply_domain_load() - process the reports of a datagram as a sample of the load of the sender's domain.
 * @domain: domain of the sending instance.
 * @instances: live instances of that domain.
 */
void wc_forwarder_apply_domain_load (WcForwarder *forwarder, uint32_t domain, uint32_t instances,
                                     const WcHostReport *reports, size_t count, uint64_t now_us);

/**
 * wc_forwarder_get_report() - this instance's report on a host for other instances. It contains no unanswered requests
 * while the instance's own link loses packets.
 */
WcHostReport wc_forwarder_get_report (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us);

/**
 * wc_forwarder_next_query() - next host with unanswered requests about which other instances are to be queried now.
 *
 * Return: the host, at most once per query interval; NULL when there is none.
 */
const WcHost *wc_forwarder_next_query (WcForwarder *forwarder, uint64_t now_us);

/**
 * wc_forwarder_next_failure() - next host with a new failed request that is to be reported to other instances now.
 *
 * Return: the host, at most once per interval; NULL when there is none.
 */
const WcHost *wc_forwarder_next_failure (WcForwarder *forwarder, uint64_t now_us);

/** wc_forwarder_has_failure_news() - whether the report on a host belongs to wc_forwarder_add_failure_reports(). */
bool wc_forwarder_has_failure_news (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us);

/**
 * wc_forwarder_add_failure_reports() - write the reports on hosts with recent failures, which are sent before others.
 * @max: at most this many; the next call continues with the following hosts.
 *
 * Return: number of reports written.
 */
size_t wc_forwarder_add_failure_reports (WcForwarder *forwarder, WcHostReport *reports, size_t max, uint64_t now_us);

/** wc_forwarder_receive() - process a packet of a caller. */
void wc_forwarder_receive (WcForwarder *forwarder, const WcPacket *packet, uint64_t now_us);

/**
 * wc_forwarder_tick() - evict expired flows and hosts, and evaluate unresponsive hosts. Each call visits a part of the
 * flows and all hosts; to be called several times a second.
 */
void wc_forwarder_tick (WcForwarder *forwarder, uint64_t now_us);

/**
 * wc_forwarder_discard_evidence() - discard the evidence on hosts, because this instance was paused or processes
 * packets late.
 */
void wc_forwarder_discard_evidence (WcForwarder *forwarder, uint64_t now_us);

/** wc_forwarder_get_deadline_us() - when wc_forwarder_run_timers() must be called next; UINT64_MAX for never. */
uint64_t wc_forwarder_get_deadline_us (const WcForwarder *forwarder);

/**
 * wc_forwarder_run_timers() - forward to another host each opening that its host has not answered in time, and admit or
 * reject held openings.
 */
void wc_forwarder_run_timers (WcForwarder *forwarder, uint64_t now_us);

/**
 * wc_forwarder_reject_held() - reject all held openings, because this instance ends. Their callers try again at once,
 * and other instances serve them.
 */
void wc_forwarder_reject_held (WcForwarder *forwarder, uint64_t now_us);

const WcHostTable  *wc_forwarder_get_hosts (const WcForwarder *forwarder);
const WcEvacuation *wc_forwarder_get_evacuation (const WcForwarder *forwarder);
size_t              wc_forwarder_get_flow_count (const WcForwarder *forwarder);

/** wc_forwarder_get_opening_counters() - forwardings of openings to first and to other hosts. */
const WcOpeningCounters *wc_forwarder_get_opening_counters (const WcForwarder *forwarder);

#endif
