#ifndef WC_FORWARD_PEER_TABLE_H
#define WC_FORWARD_PEER_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/gossip.h"

enum
{
  /* Maximum number of datagrams that an instance sends per gossip round. */
  WC_GOSSIP_FANOUT = 2,
  /* Instances of the own domain and of others that are told the host of a flow. */
  WC_FLOW_HOLDERS = WC_HOST_WITNESSES + 4
};

/**
 * struct WcPeer - known state of another instance.
 * @last_heartbeat_us: when its heartbeat last increased, as received from the peer itself or through others.
 * @last_received_us: when a datagram of the peer itself was last received; 0 for never.
 * @last_sent_us: when a datagram was last sent to it; 0 for never.
 * @echoed_us: latest time at which this instance sent a heartbeat that the peer has echoed to it; 0 for never.
 * @revision, @view_us: revision of its view, and when the store confirmed that view, as stated by the peer.
 * @domain_instances: instances of this domain that it remembers, as stated by the peer; 0 when not stated.
 * @stopping: it is in a planned shutdown.
 * @unresponsive: a read from it failed, and its heartbeat has not increased since; it does not count as live.
 * @avoid_deadline_us: until then the view is not read from it, because a read failed.
 * @indirect_deadline_us: until then its domain counts as one that reads the store through another domain.
 */
typedef struct
{
  WcPeerEntry entry;
  uint64_t    last_heartbeat_us;
  uint64_t    last_received_us;
  uint64_t    last_sent_us;
  uint64_t    echoed_us;
  uint64_t    revision;
  uint64_t    view_us;
  uint32_t    domain_instances;
  bool        stopping;
  bool        unresponsive;
  uint64_t    avoid_deadline_us;
  uint64_t    indirect_deadline_us;
} WcPeer;

/**
 * struct WcPeerTable - the other instances, discovered through seeds and gossip.
 *
 * There is no central list of instances. Each instance sends its own heartbeat and those of a few others to a few peers
 * per gossip round.
 */
typedef struct WcPeerTable WcPeerTable;

/** wc_peer_table_new() - create a table. @self: this instance. */
WcPeerTable *wc_peer_table_new (const WcPeerEntry *self);
void         wc_peer_table_delete (WcPeerTable *table);

/** wc_peer_table_set_seeds() - set the addresses that are contacted for discovery; they replace earlier ones. */
void wc_peer_table_set_seeds (WcPeerTable *table, const WcAddress *seeds, size_t count);

/** wc_peer_table_has_seeds() - whether there are seeds other than this instance. */
bool wc_peer_table_has_seeds (const WcPeerTable *table);

/** wc_peer_table_has_heard() - whether a datagram of another instance has been received. */
bool wc_peer_table_has_heard (const WcPeerTable *table);

/**
 * wc_peer_table_receive() - process a gossip datagram. Return: true when the sender is new and is to receive a reply at
 * once.
 */
bool wc_peer_table_receive (WcPeerTable *table, const WcGossip *gossip, uint64_t now_us);

/** wc_peer_table_fill_sender() - fill in the sender; increments the own heartbeat. */
void wc_peer_table_fill_sender (WcPeerTable *table, WcGossip *gossip);

/** wc_peer_table_fill_gossip() - fill in the sender and some known instances; increments the own heartbeat. */
void wc_peer_table_fill_gossip (WcPeerTable *table, WcGossip *gossip, uint64_t now_us);

/** wc_peer_table_set_domain_instances() - set the number of instances of this domain that this one remembers. */
void wc_peer_table_set_domain_instances (WcPeerTable *table, uint32_t count);

/** wc_peer_table_fill_echo() - fill in what is known of the instance that will receive @gossip, and of its domain. */
void wc_peer_table_fill_echo (const WcPeerTable *table, const WcAddress *destination, WcGossip *gossip);

/**
 * wc_peer_table_pick_targets() - choose the destinations of this gossip round.
 *
 * Return: number of addresses written.
 */
size_t wc_peer_table_pick_targets (WcPeerTable *table, uint64_t now_us, WcAddress targets[WC_GOSSIP_FANOUT]);

/**
 * wc_peer_table_pick_witnesses() - choose live instances of the own domain to query about a host. Instances that know
 * the same peers choose the same ones, so that the evidence on the host is collected there.
 *
 * Return: number of addresses written.
 */
size_t wc_peer_table_pick_witnesses (const WcPeerTable *table, uint64_t host, uint64_t now_us,
                                     WcAddress targets[WC_HOST_WITNESSES]);

/**
 * wc_peer_table_pick_flow_holders() - choose the live instances that are told the hosts of flows, and asked for them:
 * of the own domain, and one of each other domain, in case all of the own domain fail. Instances that know the same
 * peers choose the same ones.
 * @flow: hash of the flow's key.
 *
 * Return: number of addresses written.
 */
size_t wc_peer_table_pick_flow_holders (const WcPeerTable *table, uint64_t flow, uint64_t now_us,
                                        WcAddress targets[WC_FLOW_HOLDERS]);

/** wc_peer_table_evict() - remove instances whose heartbeat has not increased for a minute. */
void wc_peer_table_evict (WcPeerTable *table, uint64_t now_us);

/** wc_peer_table_count_live() - number of other live instances. */
uint32_t wc_peer_table_count_live (const WcPeerTable *table, uint64_t now_us);

/** wc_peer_table_count_domain() - number of other live instances of this domain. */
uint32_t wc_peer_table_count_domain (const WcPeerTable *table, uint64_t now_us);

/** wc_peer_table_count_in() - number of other live instances of a domain. */
uint32_t wc_peer_table_count_in (const WcPeerTable *table, uint32_t domain, uint64_t now_us);

size_t  wc_peer_table_get_count (const WcPeerTable *table);
WcPeer *wc_peer_table_get (const WcPeerTable *table, size_t index);
WcPeer *wc_peer_table_find (const WcPeerTable *table, const WcAddress *address);

/** wc_peer_table_avoid() - a read from a peer failed: do not read from it until @deadline_us and a new heartbeat. */
void wc_peer_table_avoid (WcPeerTable *table, const WcAddress *address, uint64_t deadline_us);

/** wc_peer_table_count_avoided() - number of instances from which the view is not read, because a read failed. */
uint32_t wc_peer_table_count_avoided (const WcPeerTable *table, uint64_t now_us);

/** wc_peer_table_avoid_indirect() - an instance of @domain declined a read, because its domain reads through another.
 */
void wc_peer_table_avoid_indirect (WcPeerTable *table, uint32_t domain, uint64_t deadline_us);

const WcPeerEntry *wc_peer_table_get_self (const WcPeerTable *table);

/**
 * wc_peer_rank() - rank of an instance in its domain; the instance with the lowest rank reads the store for the domain.
 */
uint64_t wc_peer_rank (const WcAddress *address);

/** wc_peer_is_live() - its heartbeat has increased recently and since a failed read, and it is not stopping. */
bool wc_peer_is_live (const WcPeer *peer, uint64_t now_us);

/** wc_peer_table_is_isolated() - datagrams of peers were received before, but none within @timeout_us. */
bool wc_peer_table_is_isolated (const WcPeerTable *table, uint64_t timeout_us, uint64_t now_us);

#endif
