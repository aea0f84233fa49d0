#ifndef WC_FORWARD_GOSSIP_H
#define WC_FORWARD_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "forward/flow_note.h"
#include "forward/host_report.h"
#include "forward/store_change.h"

enum
{
  /* Fits into one packet on common links without fragmentation. */
  WC_GOSSIP_MAX_BYTES = 1400,
  /* Maximum number of other instances in a datagram; with the host reports it stays below WC_GOSSIP_MAX_BYTES. */
  WC_GOSSIP_MAX_PEERS = 8,
  WC_GOSSIP_MAX_HOSTS = 16,
  /* Sent in datagrams without host reports. */
  WC_GOSSIP_MAX_FLOWS = 16,
  WC_PEER_DOMAIN_BYTES = 64
};

/**
 * struct WcPeerEntry - membership entry of an instance.
 * @address: for peers, IPv4.
 * @incarnation: new at each start.
 * @domain: quark of its failure domain.
 * @heartbeat: counter that only the instance itself increments; the higher value is the newer one.
 */
typedef struct
{
  WcAddress address;
  uint64_t  incarnation;
  uint32_t  domain;
  uint64_t  heartbeat;
} WcPeerEntry;

/**
 * struct WcGossip - gossip datagram between instances.
 * @revision: revision of the sender's view of the store.
 * @view_age_ms: time since the store confirmed that view; UINT32_MAX for never.
 * @stopping: the sender is in a planned shutdown.
 * @logical: logical clock of the sender.
 * @asks: the receiver is to reply at once with its reports on @hosts.
 * @echo_heartbeat: latest heartbeat of the receiver that the sender knows; 0 for none.
 * @echo_incarnation: low 32 bits of the incarnation that it belongs to.
 * @domain_instances: instances of the receiver's domain that the sender remembers; 0 when it does not know the
 * receiver.
 * @known: other instances that the sender knows.
 * @hosts: reports on hosts.
 * @flows: questions about the hosts of flows, answers, and statements without a question.
 */
typedef struct
{
  WcPeerEntry  sender;
  uint64_t     revision;
  uint32_t     view_age_ms;
  bool         stopping;
  uint64_t     logical;
  bool         asks;
  uint64_t     echo_heartbeat;
  uint32_t     echo_incarnation;
  uint32_t     domain_instances;
  size_t       known_count;
  WcPeerEntry  known[WC_GOSSIP_MAX_PEERS];
  size_t       host_count;
  WcHostReport hosts[WC_GOSSIP_MAX_HOSTS];
  size_t       flow_count;
  WcFlowNote   flows[WC_GOSSIP_MAX_FLOWS];
} WcGossip;

/** wc_gossip_pack() - encode. Return: number of bytes written; 0 when they do not fit. */
size_t wc_gossip_pack (const WcGossip *gossip, uint8_t out[WC_GOSSIP_MAX_BYTES]);

/** wc_gossip_unpack() - decode. Return: WC_STATUS_OK, or PARSE or INVALID. */
WcStatus wc_gossip_unpack (const uint8_t *data, size_t size_bytes, WcGossip *gossip);

/**
 * struct WcViewOrigin - metadata of store changes that one instance relays to another.
 * @age_ms: time since the store confirmed the sender's view.
 * @logical: logical clock of the sender.
 * @is_indirect: the sender's domain reads the store through another domain.
 */
typedef struct
{
  uint32_t age_ms;
  uint64_t logical;
  bool     is_indirect;
} WcViewOrigin;

/** wc_view_changes_pack() - encode store changes for another instance. */
GBytes *wc_view_changes_pack (const WcStoreReply *reply, const WcViewOrigin *origin);

/** wc_view_changes_unpack() - decode. @reply: must be empty. Return: WC_STATUS_OK or PARSE. */
WcStatus wc_view_changes_unpack (const void *data, size_t size_bytes, WcStoreReply *reply, WcViewOrigin *origin);

#endif
