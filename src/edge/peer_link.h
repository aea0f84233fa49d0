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
 * struct WcPeerLinkOps - callbacks of the links; none may delete the links.
 * @up: a link to @peer was authenticated. Also called when a new link replaces an established one, for example after a
 * restart of the peer; @down is not called for the old link.
 * @down: the last link to @peer was closed.
 * @receive: an authenticated frame was received.
 * @is_blocked: whether links to the domain are blocked (fault injection).
 */
typedef struct
{
  void (*up) (void *user_data, uint64_t peer, uint64_t incarnation, uint32_t domain, const char *name);
  void (*down) (void *user_data, uint64_t peer);
  void (*receive) (void *user_data, uint64_t peer, const Wc__PeerFrame *frame);
  bool (*is_blocked) (void *user_data, uint32_t domain);
} WcPeerLinkOps;

/**
 * struct WcPeerLinkConfig - identity and address of this instance.
 * @name: must outlive the links.
 * @address: address to listen on.
 * @fleet_key: WC_KEY_BYTES bytes; must outlive the links.
 */
typedef struct
{
  uint64_t       instance;
  uint64_t       incarnation;
  uint32_t       domain;
  const char    *name;
  WcAddress      address;
  const uint8_t *fleet_key;
} WcPeerLinkConfig;

/** struct WcPeerLinks - TCP links to peers on one event loop: listener, connections and reconnection. */
typedef struct WcPeerLinks WcPeerLinks;

/** wc_peer_links_new() - bind and listen. Return: NULL with @error set when the address cannot be bound. */
WcPeerLinks *wc_peer_links_new (struct ev_loop *loop, const WcPeerLinkConfig *config, const WcPeerLinkOps *ops,
                                void *user_data, WcCounters *counters, WcError *error);
void         wc_peer_links_delete (WcPeerLinks *links);

/** wc_peer_links_set_keys() - set the keys for new sessions; established sessions keep their keys. */
void wc_peer_links_set_keys (WcPeerLinks *links, WcKeyring *keyring, const uint32_t *epochs, size_t count);

/** wc_peer_links_connect() - keep a link to @member up; a link that the member opened counts as well. */
void wc_peer_links_connect (WcPeerLinks *links, const WcMember *member);

/** wc_peer_links_disconnect() - stop connecting to @peer and close the link, unless the peer opened it. */
void wc_peer_links_disconnect (WcPeerLinks *links, uint64_t peer);

/**
 * wc_peer_links_send() - queue a frame for @peer.
 *
 * Return: false when there is no link, the frame cannot be packed, or the send buffer is full, which closes the link.
 */
bool wc_peer_links_send (WcPeerLinks *links, uint64_t peer, Wc__PeerFrame *frame);

/** wc_peer_links_close_blocked() - close the established links to domains for which @is_blocked returns true. */
void wc_peer_links_close_blocked (WcPeerLinks *links);

#endif
