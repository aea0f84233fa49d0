#include "forward/view_source.h"

#include <assert.h>
#include <stdbool.h>

static const WcPeer *first_of_domain (const WcPeerTable *peers, uint64_t now_us);
static const WcPeer *freshest (const WcPeerTable *peers, uint64_t now_us);
static WcViewSource  source_of (const WcPeer *peer);

WcViewSource
wc_view_source_choose (const WcPeerTable *peers, uint64_t store_avoid_deadline_us, uint64_t now_us)
{
  const WcPeer *first;
  const WcPeer *best;

  assert (peers != NULL);

  first = first_of_domain (peers, now_us);
  if (first)
    return source_of (first);
  if (now_us >= store_avoid_deadline_us)
    return (WcViewSource){ .kind = WC_VIEW_SOURCE_STORE };
  best = freshest (peers, now_us);
  if (best)
    return source_of (best);
  return (WcViewSource){ .kind = WC_VIEW_SOURCE_NONE, .deadline_us = store_avoid_deadline_us };
}

/* local functions */

/* The peer of this domain that comes before this instance and can be read from; NULL when it is this instance's turn.
 */
static const WcPeer *
first_of_domain (const WcPeerTable *peers, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  const WcPeer      *first = NULL;
  uint64_t           least = wc_peer_order (&self->address);

  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    {
      const WcPeer *peer = wc_peer_table_get (peers, i);
      uint64_t      order = wc_peer_order (&peer->entry.address);

      if (peer->entry.domain != self->domain || order >= least || now_us < peer->avoid_deadline_us ||
          !wc_peer_is_live (peer, now_us))
        continue;
      first = peer;
      least = order;
    }
  return first;
}

static const WcPeer *
freshest (const WcPeerTable *peers, uint64_t now_us)
{
  const WcPeer *best = NULL;

  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    {
      const WcPeer *peer = wc_peer_table_get (peers, i);

      if (now_us < peer->avoid_deadline_us || !wc_peer_is_live (peer, now_us) || peer->view_us == 0)
        continue;
      if (!best || peer->view_us > best->view_us)
        best = peer;
    }
  return best;
}

static WcViewSource
source_of (const WcPeer *peer)
{
  return (WcViewSource){ .kind = WC_VIEW_SOURCE_PEER, .peer = peer->entry.address };
}
