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

/** WcPeerPortFill - adds to news that are about to be sent what the peer table does not know. */
typedef void (*WcPeerPortFill) (void *user_data, WcPeerNews *news);

/** WcPeerPortHeard - news of a peer have come; the peer table knows them already. */
typedef void (*WcPeerPortHeard) (void *user_data, const WcPeerNews *news);

/** wc_peer_port_new() - bind @address. Return: NULL with @error set. */
WcPeerPort *
wc_peer_port_new (struct ev_loop *loop, const WcAddress *address, WcPeerTable *peers, const WcStoreReplica *replica,
                  WcEventLog *log, WcPeerPortFill fill, WcPeerPortHeard heard, void *user_data, WcError *error);
void wc_peer_port_delete (WcPeerPort *port);

/** wc_peer_port_send_news() - send one round of news. */
void wc_peer_port_send_news (WcPeerPort *port, uint64_t now_us);

/** wc_peer_port_view_changed() - answer the peers that wait for changes. */
void wc_peer_port_view_changed (WcPeerPort *port);

/** wc_peer_port_view_lost() - send the peers that wait for changes away, because this instance has lost its own source.
 */
void wc_peer_port_view_lost (WcPeerPort *port);

/** wc_peer_port_tick() - answer the peers that have waited long enough. */
void wc_peer_port_tick (WcPeerPort *port, uint64_t now_us);

#endif
