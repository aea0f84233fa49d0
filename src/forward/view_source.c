#include "forward/view_source.h"

#include <assert.h>
#include <stdbool.h>

enum
{
  /* An instance then sends a change of 1 kB 8 times, and a domain of 240 instances is 3 levels deep. */
  TREE_FANOUT = 8,
  /* The view of another domain is confirmed there every second, and gossip about it arrives every second. */
  RECENT_VIEW_US = 2500 * 1000
};

/* Domains whose instances are considered. */
typedef enum
{
  ALL_DOMAINS = 0,
  OTHER_DOMAINS
} Scope;

static const WcPeer *find_parent (const WcPeerTable *peers, uint64_t now_us);
static const WcPeer *find_nth (const WcPeerTable *peers, size_t number, uint64_t now_us);
static bool          is_usable (const WcPeer *peer, const WcPeerEntry *self, uint64_t now_us);
static const WcPeer *find_most_recent (const WcPeerTable *peers, Scope scope, uint64_t now_us);
static WcViewSource  make_peer_source (const WcPeer *peer, bool is_other_domain);

WcViewSource
wc_view_source_choose (const WcPeerTable *peers, uint64_t store_avoid_deadline_us, uint64_t now_us)
{
  const WcPeer *parent;
  const WcPeer *best;

  assert (peers != NULL);

  parent = find_parent (peers, now_us);
  if (parent)
    return make_peer_source (parent, false);
  if (now_us >= store_avoid_deadline_us)
    return (WcViewSource){ .kind = WC_VIEW_SOURCE_STORE };
  best = find_most_recent (peers, OTHER_DOMAINS, now_us);
  if (best && now_us - best->view_us < RECENT_VIEW_US)
    return make_peer_source (best, true);
  best = find_most_recent (peers, ALL_DOMAINS, now_us);
  if (best)
    return make_peer_source (best, false);
  return (WcViewSource){ .kind = WC_VIEW_SOURCE_NONE, .deadline_us = store_avoid_deadline_us };
}

/* local functions */

/*
 * The peer that this instance reads from; NULL when this instance has to read the store. The live instances of the
 * domain with lower ranks form a tree in which each has up to TREE_FANOUT children, so that the first ones do not serve
 * a large domain alone. Reading only from instances of lower rank rules out cycles.
 */
static const WcPeer *
find_parent (const WcPeerTable *peers, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  size_t             before = 0;

  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    before += is_usable (wc_peer_table_get (peers, i), self, now_us);
  return before > 0 ? find_nth (peers, (before - 1) / TREE_FANOUT, now_us) : NULL;
}

static const WcPeer *
find_nth (const WcPeerTable *peers, size_t number, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  const WcPeer      *chosen = NULL;

  for (size_t n = 0; n <= number; n++)
    {
      const WcPeer *next = NULL;

      for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
        {
          const WcPeer *peer = wc_peer_table_get (peers, i);
          uint64_t      rank = wc_peer_rank (&peer->entry.address);

          if (is_usable (peer, self, now_us) && (!chosen || rank > wc_peer_rank (&chosen->entry.address)) &&
              (!next || rank < wc_peer_rank (&next->entry.address)))
            next = peer;
        }
      if (!next)
        return chosen;
      chosen = next;
    }
  return chosen;
}

static bool
is_usable (const WcPeer *peer, const WcPeerEntry *self, uint64_t now_us)
{
  return peer->entry.domain == self->domain && now_us >= peer->avoid_deadline_us && wc_peer_is_live (peer, now_us) &&
         wc_peer_rank (&peer->entry.address) < wc_peer_rank (&self->address);
}

static const WcPeer *
find_most_recent (const WcPeerTable *peers, Scope scope, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  const WcPeer      *best = NULL;

  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    {
      const WcPeer *peer = wc_peer_table_get (peers, i);

      if (now_us < peer->avoid_deadline_us || !wc_peer_is_live (peer, now_us) || peer->view_us == 0 ||
          (scope == OTHER_DOMAINS && (peer->entry.domain == self->domain || now_us < peer->indirect_deadline_us)))
        continue;
      if (!best || peer->view_us > best->view_us)
        best = peer;
    }
  return best;
}

static WcViewSource
make_peer_source (const WcPeer *peer, bool is_other_domain)
{
  return (WcViewSource){
    .kind = WC_VIEW_SOURCE_PEER,
    .peer = peer->entry.address,
    .domain = peer->entry.domain,
    .is_other_domain = is_other_domain,
  };
}
