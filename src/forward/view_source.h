#ifndef WC_FORWARD_VIEW_SOURCE_H
#define WC_FORWARD_VIEW_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/peer_table.h"

/** enum WcViewSourceKind - source from which the view is read next. */
typedef enum
{
  WC_VIEW_SOURCE_STORE = 0,
  WC_VIEW_SOURCE_PEER,
  /* No source is available; choose again at the deadline. */
  WC_VIEW_SOURCE_NONE
} WcViewSourceKind;

/**
 * struct WcViewSource - source from which the view is read next.
 * @peer: address of the peer; only for WC_VIEW_SOURCE_PEER.
 * @domain: quark of the peer's domain; only for WC_VIEW_SOURCE_PEER.
 * @is_other_domain: the peer belongs to another domain and has a view that the store confirmed recently, so that this
 * instance can continue to relay changes to its own domain; only for WC_VIEW_SOURCE_PEER.
 * @deadline_us: when to choose again; only for WC_VIEW_SOURCE_NONE.
 */
typedef struct
{
  WcViewSourceKind kind;
  WcAddress        peer;
  uint32_t         domain;
  bool             is_other_domain;
  uint64_t         deadline_us;
} WcViewSource;

/**
 * wc_view_source_choose() - choose the source of the view. One instance of each failure domain reads the store; the
 * others read from an instance of lower rank.
 * @store_avoid_deadline_us: until then the store is not read, because a read of this instance failed.
 *
 * All instances rank the live instances of their domain in the same way and skip those they avoid. The first one reads
 * the store, the next eight read from the first, and so on. An instance that is dead, hung or partitioned is skipped by
 * each of the others independently, and the next one takes over without any agreement. If the first one cannot read the
 * store, it reads from a peer of another domain that does not itself read through another one, because all others of
 * its own domain only know what it relays. If no other domain has a view that the store confirmed recently, it reads
 * from the peer with the most recently confirmed view.
 */
WcViewSource wc_view_source_choose (const WcPeerTable *peers, uint64_t store_avoid_deadline_us, uint64_t now_us);

#endif
