#ifndef WC_FORWARD_FORWARDER_H
#define WC_FORWARD_FORWARDER_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/decision.h"
#include "forward/host_report.h"
#include "forward/host_table.h"
#include "forward/packet.h"
#include "forward/route_table.h"

/**
 * struct WcForwarderSettings - limits of a forwarder.
 * @domain: quark of the failure domain of this instance.
 * @incarnation: of this instance; others pass on its reports under it.
 * @max_flows: flows remembered.
 * @flow_lifetime_us: a flow may live this long; so long a host that is gone is still known.
 */
typedef struct
{
  uint32_t domain;
  uint64_t incarnation;
  uint32_t max_flows;
  uint64_t flow_lifetime_us;
} WcForwarderSettings;

/**
 * struct WcForwarderOps - what a forwarder does.
 * @forward: send a packet to a host; its cookie is the host's.
 * @reset: send a reset to the caller of a flow; @sequence is what the caller acknowledged last.
 * @decided: a decision was made.
 * @opened: a host answered an opening after @time_us.
 * @answered: the first part of an answer to a request has arrived after @time_us.
 */
typedef struct
{
  void (*forward) (void *user_data, const WcPacket *packet, const WcHost *host);
  void (*reset) (void *user_data, const WcFlowKey *key, uint32_t sequence);
  void (*decided) (void *user_data, const WcDecision *decision);
  void (*opened) (void *user_data, uint64_t time_us);
  void (*answered) (void *user_data, uint64_t time_us);
} WcForwarderOps;

/**
 * struct WcForwarder - decides where each packet of a caller goes. Has no socket and no clock.
 *
 * The cookie in the packets of an open flow names its host, so that an instance that never saw the flow forwards it
 * too.
 */
typedef struct WcForwarder WcForwarder;

WcForwarder *wc_forwarder_new (const WcForwarderSettings *settings, const WcForwarderOps *ops, void *user_data);
void         wc_forwarder_delete (WcForwarder *forwarder);

/** wc_forwarder_set_routes() - put a configuration in force; takes over @routes. */
void wc_forwarder_set_routes (WcForwarder *forwarder, WcRouteTable *routes, uint64_t now_us);

/** wc_forwarder_get_routes() - the configuration in force, or NULL. */
const WcRouteTable *wc_forwarder_get_routes (const WcForwarder *forwarder);

/** wc_forwarder_put_host() - a host was published or its entry has changed. */
void wc_forwarder_put_host (WcForwarder *forwarder, const WcHostRecord *record, uint64_t revision, uint64_t now_us);

/** wc_forwarder_remove_host() - a host is no longer published, or its entry cannot be used. */
void wc_forwarder_remove_host (WcForwarder *forwarder, uint64_t id, uint64_t now_us);

/** wc_forwarder_set_domain_peers() - how many other live instances this domain has. */
void wc_forwarder_set_domain_peers (WcForwarder *forwarder, uint32_t count);

/**
 * wc_forwarder_apply_report() - what another instance tells of a host.
 * @sender: its incarnation.
 * @is_own_domain: it is of this domain, so that what it sees of the host holds here too.
 */
void wc_forwarder_apply_report (WcForwarder *forwarder, uint64_t sender, bool is_own_domain, const WcHostReport *report,
                                uint64_t now_us);

/**
 * wc_forwarder_get_report() - what this instance tells others of a host. Tells of no silence while its own link loses
 * packets.
 */
WcHostReport wc_forwarder_get_report (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us);

/**
 * wc_forwarder_next_query() - a host whose silence other instances are to be told of now, to hear what they see.
 *
 * Return: NULL when there is none; each host comes once in an interval.
 */
const WcHost *wc_forwarder_next_query (WcForwarder *forwarder, uint64_t now_us);

/** wc_forwarder_receive() - a packet from a caller. */
void wc_forwarder_receive (WcForwarder *forwarder, const WcPacket *packet, uint64_t now_us);

/** wc_forwarder_tick() - forget old flows and hosts; to be called several times a second. */
void wc_forwarder_tick (WcForwarder *forwarder, uint64_t now_us);

/** wc_forwarder_discard_evidence() - this instance stood still or works late, so that what it saw of hosts is no
 * evidence. */
void wc_forwarder_discard_evidence (WcForwarder *forwarder, uint64_t now_us);

/** wc_forwarder_get_deadline_us() - when wc_forwarder_run_timers() must be called; UINT64_MAX for never. */
uint64_t wc_forwarder_get_deadline_us (const WcForwarder *forwarder);

/** wc_forwarder_run_timers() - place flows again whose host has not answered the opening. */
void wc_forwarder_run_timers (WcForwarder *forwarder, uint64_t now_us);

const WcHostTable *wc_forwarder_get_hosts (const WcForwarder *forwarder);
size_t             wc_forwarder_get_flow_count (const WcForwarder *forwarder);

#endif
