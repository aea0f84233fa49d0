#ifndef WC_FORWARD_PEER_TABLE_H
#define WC_FORWARD_PEER_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/gossip.h"

enum
{
  /* Datagrams that an instance sends at each round of news. */
  WC_GOSSIP_FANOUT = 2
};

/**
 * struct WcPeer - what this instance knows of another one.
 * @last_heartbeat_us: when its heartbeat last rose, told by itself or by others.
 * @last_received_us: when it last sent something itself; 0 for never.
 * @last_sent_us: when it was last sent news; 0 for never.
 * @revision, @view_us: revision of its view, and when the store confirmed that view, as it said itself.
 * @stopping: it is in a planned stop.
 * @avoid_deadline_us: until then it is not read from, because a read failed.
 */
typedef struct
{
  WcPeerEntry entry;
  uint64_t    last_heartbeat_us;
  uint64_t    last_received_us;
  uint64_t    last_sent_us;
  uint64_t    revision;
  uint64_t    view_us;
  bool        stopping;
  uint64_t    avoid_deadline_us;
} WcPeer;

/**
 * struct WcPeerTable - the other instances, learnt from seeds and from each other's news.
 *
 * Nobody keeps a list of instances. Each one sends its own heartbeat and a few others' to some peers at a time.
 */
typedef struct WcPeerTable WcPeerTable;

/** wc_peer_table_new() - @self: this instance. */
WcPeerTable *wc_peer_table_new (const WcPeerEntry *self);
void         wc_peer_table_delete (WcPeerTable *table);

/** wc_peer_table_set_seeds() - addresses at which there may be instances; they replace earlier ones. */
void wc_peer_table_set_seeds (WcPeerTable *table, const WcAddress *seeds, size_t count);

/** wc_peer_table_receive() - news from a peer. Return: true when the sender was not known and should get news at once.
 */
bool wc_peer_table_receive (WcPeerTable *table, const WcGossip *gossip, uint64_t now_us);

/** wc_peer_table_fill_sender() - fill in the sender; raises the own heartbeat. */
void wc_peer_table_fill_sender (WcPeerTable *table, WcGossip *gossip);

/** wc_peer_table_fill_gossip() - fill in the sender and some known instances; raises the own heartbeat. */
void wc_peer_table_fill_gossip (WcPeerTable *table, WcGossip *gossip, uint64_t now_us);

/**
 * wc_peer_table_pick_targets() - to whom to send news in this round.
 *
 * Return: how many addresses were written.
 */
size_t wc_peer_table_pick_targets (WcPeerTable *table, uint64_t now_us, WcAddress targets[WC_GOSSIP_FANOUT]);

/**
 * wc_peer_table_pick_witnesses() - live instances of the own domain to ask about a host. All instances that know the
 * same peers pick the same ones, so that these learn of all evidence on the host.
 *
 * Return: how many addresses were written.
 */
size_t wc_peer_table_pick_witnesses (const WcPeerTable *table, uint64_t host, uint64_t now_us,
                                     WcAddress targets[WC_HOST_WITNESSES]);

/** wc_peer_table_evict() - remove instances that have been silent for long. */
void wc_peer_table_evict (WcPeerTable *table, uint64_t now_us);

/** wc_peer_table_count_live() - other live instances. */
uint32_t wc_peer_table_count_live (const WcPeerTable *table, uint64_t now_us);

/** wc_peer_table_count_domain() - other live instances of this domain. */
uint32_t wc_peer_table_count_domain (const WcPeerTable *table, uint64_t now_us);

size_t  wc_peer_table_get_count (const WcPeerTable *table);
WcPeer *wc_peer_table_get (const WcPeerTable *table, size_t index);
WcPeer *wc_peer_table_find (const WcPeerTable *table, const WcAddress *address);

/** wc_peer_table_avoid() - a read from a peer failed: it is not read from until @deadline_us and a new heartbeat. */
void wc_peer_table_avoid (WcPeerTable *table, const WcAddress *address, uint64_t deadline_us);

const WcPeerEntry *wc_peer_table_get_self (const WcPeerTable *table);

/** wc_peer_rank() - place of an instance among those of its domain; the lowest one reads the store for them. */
uint64_t wc_peer_rank (const WcAddress *address);

/** wc_peer_is_live() - it was heard of lately and is not about to stop. */
bool wc_peer_is_live (const WcPeer *peer, uint64_t now_us);

/** wc_peer_table_is_isolated() - peers are known, but none has sent anything for @silence_us. */
bool wc_peer_table_is_isolated (const WcPeerTable *table, uint64_t silence_us, uint64_t now_us);

#endif
