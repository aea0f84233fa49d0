#ifndef WC_FORWARD_PEER_NEWS_H
#define WC_FORWARD_PEER_NEWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "forward/host_report.h"
#include "forward/store_change.h"

enum
{
  /* Fits into one packet on common links without fragmentation. */
  WC_PEER_NEWS_MAX_BYTES = 1400,
  /* Maximum number of other instances in a datagram; with the host reports it stays below WC_PEER_NEWS_MAX_BYTES. */
  WC_PEER_NEWS_ENTRIES = 8,
  WC_PEER_NEWS_HOSTS = 16,
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
 * struct WcPeerNews - gossip datagram between instances.
 * @revision: revision of the sender's view of the store.
 * @view_age_ms: time since the store confirmed that view; UINT32_MAX for never.
 * @stopping: the sender is in a planned shutdown.
 * @logical: logical clock of the sender.
 * @asks: the receiver is to reply at once with its reports on @hosts.
 * @known: other instances that the sender knows.
 * @hosts: reports on hosts.
 */
typedef struct
{
  WcPeerEntry  sender;
  uint64_t     revision;
  uint32_t     view_age_ms;
  bool         stopping;
  uint64_t     logical;
  bool         asks;
  size_t       known_count;
  WcPeerEntry  known[WC_PEER_NEWS_ENTRIES];
  size_t       host_count;
  WcHostReport hosts[WC_PEER_NEWS_HOSTS];
} WcPeerNews;

/** wc_peer_news_pack() - encode. Return: number of bytes written; 0 when they do not fit. */
size_t wc_peer_news_pack (const WcPeerNews *news, uint8_t out[WC_PEER_NEWS_MAX_BYTES]);

/** wc_peer_news_unpack() - decode. Return: WC_STATUS_OK, or PARSE or INVALID. */
WcStatus wc_peer_news_unpack (const uint8_t *data, size_t size_bytes, WcPeerNews *news);

/**
 * struct WcViewOrigin - metadata of store changes that one instance passes on to another.
 * @age_ms: time since the store confirmed the sender's view.
 * @logical: logical clock of the sender.
 */
typedef struct
{
  uint32_t age_ms;
  uint64_t logical;
} WcViewOrigin;

/** wc_view_changes_pack() - encode store changes for another instance. */
GBytes *wc_view_changes_pack (const WcStoreReply *reply, const WcViewOrigin *origin);

/** wc_view_changes_unpack() - decode. @reply: must be empty. Return: WC_STATUS_OK or PARSE. */
WcStatus wc_view_changes_unpack (const void *data, size_t size_bytes, WcStoreReply *reply, WcViewOrigin *origin);

#endif
