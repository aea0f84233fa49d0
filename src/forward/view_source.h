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
 * struct WcViewState - what an instance knows of its own view when it chooses a source.
 * @confirmed_us: when the store confirmed the view; 0 for never.
 * @store_avoid_deadline_us: until then the store is not read, because a read of this instance failed.
 * @check_avoid_deadline_us: until then an overdue view is no reason to read the store, because such a read failed.
 */
typedef struct
{
  uint64_t confirmed_us;
  uint64_t store_avoid_deadline_us;
  uint64_t check_avoid_deadline_us;
} WcViewState;

/**
 * struct WcViewSource - source from which the view is read next.
 * @peer: address of the peer; only for WC_VIEW_SOURCE_PEER.
 * @domain: quark of the peer's domain; only for WC_VIEW_SOURCE_PEER.
 * @is_other_domain: the peer belongs to another domain and has a view that the store confirmed recently, so that this
 * instance can continue to relay changes to its own domain; only for WC_VIEW_SOURCE_PEER.
 * @is_check: the store is read although a peer is available, because the view is overdue; only for
 * WC_VIEW_SOURCE_STORE.
 * @deadline_us: when to choose again even if the read is not finished; UINT64_MAX for never.
 */
typedef struct
{
  WcViewSourceKind kind;
  WcAddress        peer;
  uint32_t         domain;
  bool             is_other_domain;
  bool             is_check;
  uint64_t         deadline_us;
} WcViewSource;

/**
 * wc_view_source_choose() - choose the source of the view. One instance of each failure domain reads the store; the
 * others read from an instance of lower rank.
 *
 * All instances rank the live instances of their domain in the same way and skip those they avoid. The first one reads
 * the store, the next eight read from the first, and so on. An instance that is dead, hung or partitioned is skipped by
 * each of the others independently, and the next one takes over without any agreement. If the first one cannot read the
 * store, it reads from a peer of another domain that does not itself read through another one, because all others of
 * its own domain only know what it relays. If no other domain has a view that the store confirmed recently, it reads
 * from the peer with the most recently confirmed view.
 *
 * An instance whose view is overdue reads the store itself, whatever its peers answer. So the time until it hears of a
 * change does not grow with the number of peers that fail.
 */
WcViewSource wc_view_source_choose (const WcPeerTable *peers, const WcViewState *view, uint64_t now_us);

/**
 * wc_view_source_is_behind() - whether a peer that has answered is no longer worth reading from: its view is overdue,
 * and this instance or another peer has a newer one. While no view is newer, an old one is kept: the store is probably
 * unavailable to all.
 * @peer_confirmed_us: when the store confirmed the view of the peer.
 * @confirmed_us: when the store confirmed the view of this instance.
 */
bool
wc_view_source_is_behind (const WcPeerTable *peers, uint64_t peer_confirmed_us, uint64_t confirmed_us, uint64_t now_us);

/**
 * wc_view_source_has_newer() - whether a live peer states a view that is clearly newer, which shows that the store can
 * be read.
 */
bool wc_view_source_has_newer (const WcPeerTable *peers, uint64_t confirmed_us, uint64_t now_us);

#endif
