#ifndef WC_EDGE_PEER_ENDPOINT_H
#define WC_EDGE_PEER_ENDPOINT_H

#include <stdbool.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "edge/event_log.h"
#include "forward/peer_table.h"
#include "forward/store_replica.h"

/** struct WcPeerEndpoint - what an instance tells its peers: news by UDP, and changes of the store by HTTP. */
typedef struct WcPeerEndpoint WcPeerEndpoint;

/**
 * struct WcPeerEndpointOps - what the owner of a peer port adds to and takes from news.
 * @describe: fill in the state of this instance.
 * @add_next_reports: add reports on the hosts whose turn it is.
 * @report: add reports on one host.
 * @heard: news of a peer have come; the peer table knows them already.
 */
typedef struct
{
  void (*describe) (void *user_data, WcGossip *news);
  void (*add_next_reports) (void *user_data, WcGossip *news);
  void (*report) (void *user_data, uint64_t host, WcGossip *news);
  void (*heard) (void *user_data, const WcGossip *news);
} WcPeerEndpointOps;

/** wc_peer_endpoint_new() - bind @address. Return: NULL with @error set. */
WcPeerEndpoint *
wc_peer_endpoint_new (struct ev_loop *loop, const WcAddress *address, WcPeerTable *peers, const WcStoreReplica *replica,
                      WcEventLog *log, const WcPeerEndpointOps *ops, void *user_data, WcError *error);
void wc_peer_endpoint_delete (WcPeerEndpoint *port);

/** wc_peer_endpoint_send_gossip() - send one round of news. */
void wc_peer_endpoint_send_gossip (WcPeerEndpoint *port, uint64_t now_us);

/** wc_peer_endpoint_query_host() - tell some peers what is known of a host, and ask what they know. */
void wc_peer_endpoint_query_host (WcPeerEndpoint *port, uint64_t host, uint64_t now_us);

/** wc_peer_endpoint_get_malformed() - datagrams from peers that could not be read. */
uint64_t wc_peer_endpoint_get_malformed (const WcPeerEndpoint *port);

/** wc_peer_endpoint_view_changed() - answer the peers that wait for changes. */
void wc_peer_endpoint_view_changed (WcPeerEndpoint *port);

/** wc_peer_endpoint_source_lost() - send the peers that wait for changes away, because this instance has lost its own
 * source.
 */
void wc_peer_endpoint_source_lost (WcPeerEndpoint *port);

/** wc_peer_endpoint_tick() - answer the peers that have waited long enough. */
void wc_peer_endpoint_tick (WcPeerEndpoint *port, uint64_t now_us);

#endif
