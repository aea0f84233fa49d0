#include "forward/view_source.h"

#include <assert.h>
#include <stdbool.h>

enum
{
  /* An instance then sends a change of 1 kB 8 times, and a domain of 240 instances is 3 levels deep. */
  TREE_FANOUT = 8,
  /* The view of another domain is confirmed there every second, and gossip about it arrives every second. */
  RECENT_VIEW_US = 2500 * 1000,
  /*
   * A view is confirmed every second at each level of the tree. When the first instance loses the store, it takes 1.5 s
   * to read from another one. A change must be in force within 3 s, which leaves 1 s to read the store.
   */
  OVERDUE_US = 2000 * 1000,
  /* Instances closer to the store check it first, and their children then have the result without a read. */
  LEVEL_DELAY_US = 100 * 1000,
  /* Confirmation times differ by the delay of an answer; a difference above this is a difference of the views. */
  NEWER_MIN_US = 500 * 1000
};

/* Domains whose instances are considered. */
typedef enum
{
  ALL_DOMAINS = 0,
  OTHER_DOMAINS
} Scope;

static size_t        count_before (const WcPeerTable *peers, uint64_t now_us);
static uint64_t      get_check_deadline_us (const WcViewState *view, size_t before);
static const WcPeer *find_nth (const WcPeerTable *peers, size_t number, uint64_t now_us);
static bool          is_usable (const WcPeer *peer, const WcPeerEntry *self, uint64_t now_us);
static const WcPeer *find_most_recent (const WcPeerTable *peers, Scope scope, uint64_t now_us);
static WcViewSource  make_peer_source (const WcPeer *peer, bool is_other_domain, uint64_t deadline_us);

WcViewSource
wc_view_source_choose (const WcPeerTable *peers, const WcViewState *view, uint64_t now_us)
{
  size_t        before;
  const WcPeer *best;

  assert (peers != NULL && view != NULL);

  before = count_before (peers, now_us);
  if (before > 0)
    {
      uint64_t check_us = get_check_deadline_us (view, before);

      if (now_us >= check_us)
        return (WcViewSource){ .kind = WC_VIEW_SOURCE_STORE, .is_check = true, .deadline_us = UINT64_MAX };
      return make_peer_source (find_nth (peers, (before - 1) / TREE_FANOUT, now_us), false, check_us);
    }
  if (now_us >= view->store_avoid_deadline_us)
    return (WcViewSource){ .kind = WC_VIEW_SOURCE_STORE, .deadline_us = UINT64_MAX };
  best = find_most_recent (peers, OTHER_DOMAINS, now_us);
  if (best && now_us - best->view_us < RECENT_VIEW_US)
    return make_peer_source (best, true, UINT64_MAX);
  best = find_most_recent (peers, ALL_DOMAINS, now_us);
  if (best)
    return make_peer_source (best, false, UINT64_MAX);
  return (WcViewSource){ .kind = WC_VIEW_SOURCE_NONE, .deadline_us = view->store_avoid_deadline_us };
}

bool
wc_view_source_is_behind (const WcPeerTable *peers, uint64_t peer_confirmed_us, uint64_t confirmed_us, uint64_t now_us)
{
  assert (peers != NULL);

  if (now_us < peer_confirmed_us + OVERDUE_US)
    return false;
  return confirmed_us > peer_confirmed_us + NEWER_MIN_US || wc_view_source_has_newer (peers, peer_confirmed_us, now_us);
}

bool
wc_view_source_has_newer (const WcPeerTable *peers, uint64_t confirmed_us, uint64_t now_us)
{
  const WcPeer *best;

  assert (peers != NULL);

  best = find_most_recent (peers, ALL_DOMAINS, now_us);
  return best && best->view_us > confirmed_us + NEWER_MIN_US;
}

/* local functions */

/*
 * Return: number of instances before this one in the order in which those of the domain read the store. When there are
 * none, this instance reads the store; otherwise it reads from one of them. The live instances of the domain with lower
 * ranks form a tree in which each has up to TREE_FANOUT children, so that the first ones do not serve a large domain
 * alone. Reading only from instances of lower rank rules out cycles.
 */
static size_t
count_before (const WcPeerTable *peers, uint64_t now_us)
{
  const WcPeerEntry *self = wc_peer_table_get_self (peers);
  size_t             before = 0;

  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    before += is_usable (wc_peer_table_get (peers, i), self, now_us);
  return before;
}

/*
 * Load pattern: instances of a domain are cut off from the store or frozen, and each of them fails the reads of the
 * others in its own way: without an answer, with an error, or with a view that is no longer updated. One after the
 * other they would take longer to give up than a change may take. From the deadline that is returned on, the store is
 * read instead.
 */
static uint64_t
get_check_deadline_us (const WcViewState *view, size_t before)
{
  uint64_t deadline_us = view->confirmed_us + OVERDUE_US;

  if (view->confirmed_us == 0)
    return UINT64_MAX;
  for (size_t parent = (before - 1) / TREE_FANOUT; parent > 0; parent = (parent - 1) / TREE_FANOUT)
    deadline_us += LEVEL_DELAY_US;
  if (deadline_us < view->check_avoid_deadline_us)
    deadline_us = view->check_avoid_deadline_us;
  return deadline_us > view->store_avoid_deadline_us ? deadline_us : view->store_avoid_deadline_us;
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
make_peer_source (const WcPeer *peer, bool is_other_domain, uint64_t deadline_us)
{
  return (WcViewSource){
    .kind = WC_VIEW_SOURCE_PEER,
    .peer = peer->entry.address,
    .domain = peer->entry.domain,
    .is_other_domain = is_other_domain,
    .deadline_us = deadline_us,
  };
}
