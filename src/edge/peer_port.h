#ifndef WC_EDGE_PEER_PORT_H
#define WC_EDGE_PEER_PORT_H

#include <stdbool.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "edge/event_log.h"
#include "forward/peer_table.h"
#include "forward/store_replica.h"

/** struct WcPeerPort - endpoint for other instances: exchanges gossip over UDP and serves store changes over HTTP. */
typedef struct WcPeerPort WcPeerPort;

/**
 * struct WcPeerPortOps - callbacks with which the owner fills in outgoing gossip and processes received gossip.
 * @describe: fill in the state of this instance.
 * @report_some: add reports on the next hosts in round-robin order.
 * @report: add the reports on one host.
 * @heard: gossip was received from a peer; the peer table has been updated from it already.
 */
typedef struct
{
  void (*describe) (void *user_data, WcPeerNews *news);
  void (*report_some) (void *user_data, WcPeerNews *news);
  void (*report) (void *user_data, uint64_t host, WcPeerNews *news);
  void (*heard) (void *user_data, const WcPeerNews *news);
} WcPeerPortOps;

/** wc_peer_port_new() - bind @address for UDP and HTTP. Return: a new endpoint, or NULL with @error set. */
WcPeerPort *
wc_peer_port_new (struct ev_loop *loop, const WcAddress *address, WcPeerTable *peers, const WcStoreReplica *replica,
                  WcEventLog *log, const WcPeerPortOps *ops, void *user_data, WcError *error);
void wc_peer_port_delete (WcPeerPort *port);

/** wc_peer_port_send_news() - send one round of gossip. */
void wc_peer_port_send_news (WcPeerPort *port, uint64_t now_us);

/** wc_peer_port_ask() - send the reports on a host to some peers and request theirs. */
void wc_peer_port_ask (WcPeerPort *port, uint64_t host, uint64_t now_us);

/** wc_peer_port_get_malformed() - number of received datagrams that could not be decoded. */
uint64_t wc_peer_port_get_malformed (const WcPeerPort *port);

/** wc_peer_port_view_changed() - respond to the peers that wait for changes. */
void wc_peer_port_view_changed (WcPeerPort *port);

/**
 * wc_peer_port_view_lost() - respond with 503 to the peers that wait for changes, because this instance has lost its
 * own source of changes.
 */
void wc_peer_port_view_lost (WcPeerPort *port);

/** wc_peer_port_tick() - respond to the peers whose wait for changes has timed out. */
void wc_peer_port_tick (WcPeerPort *port, uint64_t now_us);

#endif
