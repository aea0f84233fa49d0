#ifndef WC_EDGE_PEER_PORT_H
#define WC_EDGE_PEER_PORT_H

#include <stdbool.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "edge/event_log.h"
#include "forward/peer_table.h"
#include "forward/store_replica.h"

/** struct WcPeerPort - what an instance tells its peers: news by UDP, and changes of the store by HTTP. */
typedef struct WcPeerPort WcPeerPort;

/**
 * struct WcPeerPortOps - what the owner of a peer port adds to and takes from news.
 * @describe: fill in the state of this instance.
 * @report_some: add reports on the hosts whose turn it is.
 * @report: add reports on one host.
 * @heard: news of a peer have come; the peer table knows them already.
 */
typedef struct
{
  void (*describe) (void *user_data, WcGossip *news);
  void (*report_some) (void *user_data, WcGossip *news);
  void (*report) (void *user_data, uint64_t host, WcGossip *news);
  void (*heard) (void *user_data, const WcGossip *news);
} WcPeerPortOps;

/** wc_peer_port_new() - bind @address. Return: NULL with @error set. */
WcPeerPort *
wc_peer_port_new (struct ev_loop *loop, const WcAddress *address, WcPeerTable *peers, const WcStoreReplica *replica,
                  WcEventLog *log, const WcPeerPortOps *ops, void *user_data, WcError *error);
void wc_peer_port_delete (WcPeerPort *port);

/** wc_peer_port_send_news() - send one round of news. */
void wc_peer_port_send_news (WcPeerPort *port, uint64_t now_us);

/** wc_peer_port_ask() - tell some peers what is known of a host, and ask what they know. */
void wc_peer_port_ask (WcPeerPort *port, uint64_t host, uint64_t now_us);

/** wc_peer_port_get_malformed() - datagrams from peers that could not be read. */
uint64_t wc_peer_port_get_malformed (const WcPeerPort *port);

/** wc_peer_port_view_changed() - answer the peers that wait for changes. */
void wc_peer_port_view_changed (WcPeerPort *port);

/** wc_peer_port_view_lost() - send the peers that wait for changes away, because this instance has lost its own source.
 */
void wc_peer_port_view_lost (WcPeerPort *port);

/** wc_peer_port_tick() - answer the peers that have waited long enough. */
void wc_peer_port_tick (WcPeerPort *port, uint64_t now_us);

#endif
