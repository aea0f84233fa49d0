#include "forward/view_source.h"

#include <assert.h>
#include <stdbool.h>

enum
{
  /* A change of 1 kB goes out 8 times from an instance; a domain of 240 instances is 3 levels deep. */
  CHILDREN = 8,
  /* A view of another domain is confirmed each second there, and told of each second. */
  LATELY_US = 2500 * 1000
};

/* Whose views are looked for. */
typedef enum
{
  OF_ALL_DOMAINS = 0,
  OF_OTHER_DOMAINS
} Whose;

static const WcPeer *parent_in_domain (const WcPeerTable *peers, uint64_t now_us);
static const WcPeer *nth_in_domain (const WcPeerTable *peers, size_t number, uint64_t now_us);
static bool          is_usable (const WcPeer *peer, const WcPeerEntry *self, uint64_t now_us);
static const WcPeer *freshest (const WcPeerTable *peers, Whose whose, uint64_t now_us);
static WcViewSource  source_of (const WcPeer *peer, bool is_other_domain);

WcViewSource
wc_view_source_choose (const WcPeerTable *peers, uint64_t store_avoid_deadline_us, uint64_t now_us)
{
  const WcPeer *parent;
  const WcPeer *best;

  assert (peers != NULL);

  parent = parent_in_domain (peers, now_us);
  if (parent)
    return source_of (parent, false);
  if (now_us >= store_avoid_deadline_us)
    return (WcViewSource){ .kind = WC_VIEW_SOURCE_STORE };
  best = freshest (peers, OF_OTHER_DOMAINS, now_us);
  if (best && now_us - best->view_us < LATELY_US)
    return source_of (best, true);
  best = freshest (peers, OF_ALL_DOMAINS, now_us);
  if (best)
    return source_of (best, false);
  return (WcViewSource){ .kind = WC_VIEW_SOURCE_NONE, .deadline_us = store_avoid_deadline_us };
}

/* local functions */

/*
 * The peer that this instance reads from; NULL when it is this instance's turn to read the store. The live instances of
 * the domain that come before this one form a tree in which each has up to CHILDREN children, so that the first ones do
 * not serve a large domain alone. Reading only from earlier ones rules out circles.
 */
static const WcPeer *
parent_in_domain (const WcPeerTable *peers, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  size_t             before = 0;

  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    before += is_usable (wc_peer_table_get (peers, i), self, now_us);
  return before > 0 ? nth_in_domain (peers, (before - 1) / CHILDREN, now_us) : NULL;
}

static const WcPeer *
nth_in_domain (const WcPeerTable *peers, size_t number, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  const WcPeer      *chosen = NULL;

  for (size_t n = 0; n <= number; n++)
    {
      const WcPeer *next = NULL;

      for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
        {
          const WcPeer *peer = wc_peer_table_get (peers, i);
          uint64_t      order = wc_peer_rank (&peer->entry.address);

          if (is_usable (peer, self, now_us) && (!chosen || order > wc_peer_rank (&chosen->entry.address)) &&
              (!next || order < wc_peer_rank (&next->entry.address)))
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
freshest (const WcPeerTable *peers, Whose whose, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  const WcPeer      *best = NULL;

  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    {
      const WcPeer *peer = wc_peer_table_get (peers, i);

      if (now_us < peer->avoid_deadline_us || !wc_peer_is_live (peer, now_us) || peer->view_us == 0 ||
          (whose == OF_OTHER_DOMAINS && peer->entry.domain == self->domain))
        continue;
      if (!best || peer->view_us > best->view_us)
        best = peer;
    }
  return best;
}

static WcViewSource
source_of (const WcPeer *peer, bool is_other_domain)
{
  return (WcViewSource){ .kind = WC_VIEW_SOURCE_PEER, .peer = peer->entry.address, .is_other_domain = is_other_domain };
}
