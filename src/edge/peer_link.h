#ifndef WC_EDGE_PEER_LINK_H
#define WC_EDGE_PEER_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include <wigeoncart/counters.h>
#include <wigeoncart/keyring.h>
#include <wigeoncart/membership.h>

#include "wigeoncart.pb-c.h"

/**
 * struct WcPeerLinkOps - what the links report; none may delete the links.
 * @up: a link to @peer is authenticated; also called when a later incarnation replaces it.
 * @down: the last link to @peer is gone.
 * @receive: an authentic frame.
 * @is_blocked: whether links to the domain are cut (fault injection).
 */
typedef struct
{
  void (*up) (void *user_data, uint64_t peer, uint64_t incarnation, uint32_t domain, const char *name);
  void (*down) (void *user_data, uint64_t peer);
  void (*receive) (void *user_data, uint64_t peer, const Wc__PeerFrame *frame);
  bool (*is_blocked) (void *user_data, uint32_t domain);
} WcPeerLinkOps;

/** struct WcPeerLinkConfig - this instance; @fleet_key has WC_KEY_BYTES bytes, and @name and it outlive the links. */
typedef struct
{
  uint64_t       instance;
  uint64_t       incarnation;
  uint32_t       domain;
  const char    *name;
  WcAddress      address;
  const uint8_t *fleet_key;
} WcPeerLinkConfig;

/** struct WcPeerLinks - TCP links to peers on one event loop: listener, connections, reconnects. */
typedef struct WcPeerLinks WcPeerLinks;

/** wc_peer_links_new() - bind and listen. Return: NULL with @error set when the address cannot be bound. */
WcPeerLinks *wc_peer_links_new (struct ev_loop *loop, const WcPeerLinkConfig *config, const WcPeerLinkOps *ops,
                                void *user_data, WcCounters *counters, WcError *error);
void         wc_peer_links_delete (WcPeerLinks *links);

/** wc_peer_links_set_keys() - keys of new sessions; established ones keep theirs. */
void wc_peer_links_set_keys (WcPeerLinks *links, WcKeyring *keyring, const uint32_t *epochs, size_t count);

/** wc_peer_links_connect() - keep a link to @member up, in whichever direction it was opened. */
void wc_peer_links_connect (WcPeerLinks *links, const WcMember *member);

/** wc_peer_links_disconnect() - stop to do so; a link that the peer opened stays. */
void wc_peer_links_disconnect (WcPeerLinks *links, uint64_t peer);

/** wc_peer_links_send() - false when there is no link, or its buffer is full, which closes it. */
bool wc_peer_links_send (WcPeerLinks *links, uint64_t peer, Wc__PeerFrame *frame);

/** wc_peer_links_close_blocked() - close the links to domains that are blocked now. */
void wc_peer_links_close_blocked (WcPeerLinks *links);

#endif
