#ifndef WC_FORWARD_VIEW_SOURCE_H
#define WC_FORWARD_VIEW_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/peer_table.h"

/** enum WcViewSourceKind - where to read the view from next. */
typedef enum
{
  WC_VIEW_SOURCE_STORE = 0,
  WC_VIEW_SOURCE_PEER,
  /* Nobody can be read from; try again at the deadline. */
  WC_VIEW_SOURCE_NONE
} WcViewSourceKind;

/**
 * struct WcViewSource - where to read the view from next.
 * @peer: address of the peer; only for WC_VIEW_SOURCE_PEER.
 * @is_other_domain: the peer is of another domain and has heard from the store lately, so that this instance can go on
 * passing changes on to its own domain; only for WC_VIEW_SOURCE_PEER.
 * @deadline_us: when to choose again; only for WC_VIEW_SOURCE_NONE.
 */
typedef struct
{
  WcViewSourceKind kind;
  WcAddress        peer;
  bool             is_other_domain;
  uint64_t         deadline_us;
} WcViewSource;

/**
 * wc_view_source_choose() - one instance of each failure domain reads the store, all others read from one before them.
 * @store_avoid_deadline_us: until then the store is not read, because a read of this instance failed.
 *
 * Every instance orders the live instances of its domain in the same way, and leaves out those that it avoids. The
 * first one reads the store, the next eight read from it, and so on. So an instance that is dead, frozen or cut off is
 * passed over by each other one on its own, and the next takes its place without any agreement. The first one reads a
 * peer of another domain when it cannot read the store, because all others of its own domain know what it tells them.
 * When no other domain is known to have heard from the store lately, it takes what any peer knows.
 */
WcViewSource wc_view_source_choose (const WcPeerTable *peers, uint64_t store_avoid_deadline_us, uint64_t now_us);

#endif
