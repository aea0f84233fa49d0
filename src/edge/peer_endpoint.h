#ifndef WC_EDGE_PEER_ENDPOINT_H
#define WC_EDGE_PEER_ENDPOINT_H

#include <stdbool.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "edge/event_log.h"
#include "forward/peer_table.h"
#include "forward/store_replica.h"

/** struct WcPeerEndpoint - endpoint for peers: exchanges gossip over UDP and serves changes of the store over HTTP. */
typedef struct WcPeerEndpoint WcPeerEndpoint;

/**
 * struct WcPeerEndpointOps - callbacks with which the user of the endpoint fills in outgoing gossip and processes
 * received gossip.
 * @fill_own_state: fill in the state of this instance.
 * @add_next_reports: add reports on the next hosts in round-robin order, up to WC_GOSSIP_MAX_HOSTS.
 * @add_host_reports: add the reports on one host.
 * @gossip_received: gossip was received from a peer; the peer table has been updated from it already.
 * @answer_flow_note: answer a question about the host of a flow.
 * @peer_joined: a peer has started, or was heard of for the first time.
 */
typedef struct
{
  void (*fill_own_state) (void *user_data, WcGossip *gossip);
  void (*add_next_reports) (void *user_data, WcGossip *gossip);
  void (*add_host_reports) (void *user_data, uint64_t host, WcGossip *gossip);
  void (*gossip_received) (void *user_data, const WcGossip *gossip);
  WcFlowNote (*answer_flow_note) (void *user_data, const WcFlowNote *question);
  void (*peer_joined) (void *user_data, const WcPeerEntry *peer);
} WcPeerEndpointOps;

/**
 * wc_peer_endpoint_new() - bind @address for UDP and HTTP. @peers, @replica and @log must outlive the endpoint.
 *
 * Return: a new endpoint, or NULL with @error set.
 */
WcPeerEndpoint *
wc_peer_endpoint_new (struct ev_loop *loop, const WcAddress *address, WcPeerTable *peers, const WcStoreReplica *replica,
                      WcEventLog *log, const WcPeerEndpointOps *ops, void *user_data, WcError *error);
void wc_peer_endpoint_delete (WcPeerEndpoint *endpoint);

/** wc_peer_endpoint_send_gossip() - send one round of gossip. */
void wc_peer_endpoint_send_gossip (WcPeerEndpoint *endpoint, uint64_t now_us);

/**
 * wc_peer_endpoint_query_peers() - send the reports on @host to up to WC_HOST_WITNESSES peers of the own domain and
 * request theirs.
 */
void wc_peer_endpoint_query_peers (WcPeerEndpoint *endpoint, uint64_t host, uint64_t now_us);

/**
 * wc_peer_endpoint_report_failures() - the same for a host that failed a request. The reports are marked as
 * @failures_only in both directions.
 */
void wc_peer_endpoint_report_failures (WcPeerEndpoint *endpoint, uint64_t host, uint64_t now_us);

/**
 * wc_peer_endpoint_send_flow_note() - send a question about the host of a flow, or a statement of it, to the peers that
 * hold it. Return: number of peers.
 */
size_t wc_peer_endpoint_send_flow_note (WcPeerEndpoint *endpoint, const WcFlowNote *note, uint64_t now_us);

/** wc_peer_endpoint_send_flow_notes() - send statements of the hosts of flows to one peer. */
void wc_peer_endpoint_send_flow_notes (WcPeerEndpoint *endpoint, const WcAddress *destination, const WcFlowNote *notes,
                                       size_t count);

/** wc_peer_endpoint_get_malformed() - number of received datagrams that could not be decoded. */
uint64_t wc_peer_endpoint_get_malformed (const WcPeerEndpoint *endpoint);

/** wc_peer_endpoint_view_changed() - the replica may have changed: respond to the peers that wait for its changes. */
void wc_peer_endpoint_view_changed (WcPeerEndpoint *endpoint);

/**
 * wc_peer_endpoint_source_lost() - respond with 503 to the peers that wait for changes, because this instance can no
 * longer read changes itself.
 */
void wc_peer_endpoint_source_lost (WcPeerEndpoint *endpoint);

/**
 * wc_peer_endpoint_set_indirect() - set whether the domain of this instance reads the store through another domain.
 *
 * Peers of other domains that wait for changes are declined (status 409), and the peers of the own domain are answered
 * at once, so that they decline too.
 */
void wc_peer_endpoint_set_indirect (WcPeerEndpoint *endpoint, bool is_indirect);

/** wc_peer_endpoint_tick() - respond to the peers whose wait for changes has timed out. */
void wc_peer_endpoint_tick (WcPeerEndpoint *endpoint, uint64_t now_us);

#endif
