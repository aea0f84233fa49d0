#include "forward/peer_table.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "core/mix.h"
#include "forward/heartbeat_log.h"

enum
{
  SEEDS_MAX = 16,
  /*
   * Sixteen gossip rounds. A third of all instances receive no datagram in a round, so heartbeats in a domain of 25 are
   * up to 5 s old. An instance that dies earlier is skipped when a read from it fails.
   */
  LIVE_TIMEOUT_US = 8 * 1000 * 1000,
  /* Four rounds, in which a heartbeat is relayed to three peers on average. */
  PROPAGATION_MAX_AGE_US = 2000 * 1000,
  /* Long enough that an instance that was partitioned for a while is found again without a seed. */
  PEER_LIFETIME_US = 60 * 1000 * 1000,
  /*
   * A new incarnation at a known address is accepted from other instances only when the heartbeat of the known
   * incarnation has not increased for this long.
   */
  REPLACE_MIN_AGE_US = 1500 * 1000,
  /* Rounds between two datagrams to a seed; they join groups of instances that were discovered separately. */
  SEED_ROUNDS = 8,
  /* Rounds between two datagrams to another failure domain. */
  OTHER_DOMAIN_ROUNDS = 2,
  /*
   * How long an instance that stopped or fell silent is sent a datagram now and then. A restart takes a second or two,
   * and the new process may know no address that answers.
   */
  RETURN_MAX_US = 20 * 1000 * 1000,
  /*
   * Entries of a datagram that are reserved for the instances of the own domain with the lowest ranks, from which all
   * others read, and for instances of other domains.
   */
  LOWEST_RANK_ENTRIES = 2,
  OTHER_DOMAIN_ENTRIES = 2
};

struct WcPeerTable
{
  WcPeerEntry self;
  GPtrArray  *peers;
  WcAddress   seeds[SEEDS_MAX];
  size_t      seed_count;
  size_t      next_seed;
  uint64_t    rounds;
  uint64_t    random_state;

  WcHeartbeatLog heartbeats;
  uint32_t       domain_instances;
};

static const WcPeer *find_holder (const WcPeerTable *table, uint32_t domain, uint64_t flow, uint64_t now_us);
static bool          contains_domain (const uint32_t *domains, size_t count, uint32_t domain);
static WcPeer       *add_peer (WcPeerTable *table, const WcPeerEntry *entry, uint64_t now_us);
static void          record_echo (WcPeerTable *table, WcPeer *peer, const WcGossip *gossip);
static void          record_heartbeat (WcPeer *peer, uint64_t now_us);
static void          merge_entry (WcPeerTable *table, const WcPeerEntry *entry, uint64_t now_us);
static void          add_lowest_ranks (const WcPeerTable *table, WcGossip *gossip, uint64_t now_us);
static void add_random_peers (WcPeerTable *table, WcGossip *gossip, bool own_domain, size_t max_count, uint64_t now_us);
static bool is_fresh (const WcPeer *peer, uint64_t now_us);
static uint64_t next_random (WcPeerTable *table);
static bool     is_self (const WcPeerTable *table, const WcAddress *address);
static WcPeer  *pick_peer (WcPeerTable *table, bool own_domain, uint64_t now_us);
static WcPeer  *pick_absent_peer (WcPeerTable *table, uint64_t now_us);
static size_t   add_seeds (WcPeerTable *table, WcAddress *targets, size_t max);

WcPeerTable *
wc_peer_table_new (const WcPeerEntry *self)
{
  WcPeerTable *table = g_new0 (WcPeerTable, 1);

  assert (self != NULL && self->incarnation != 0);

  table->self = *self;
  table->peers = g_ptr_array_new_with_free_func (g_free);
  table->random_state = self->incarnation;
  /* Instances that start together begin with different seeds. */
  table->next_seed = (size_t)next_random (table);
  return table;
}

void
wc_peer_table_delete (WcPeerTable *table)
{
  if (!table)
    return;
  g_ptr_array_free (table->peers, TRUE);
  g_free (table);
}

void
wc_peer_table_set_seeds (WcPeerTable *table, const WcAddress *seeds, size_t count)
{
  assert (table != NULL);

  table->seed_count = 0;
  for (size_t i = 0; i < count && table->seed_count < SEEDS_MAX; i++)
    if (!is_self (table, &seeds[i]))
      table->seeds[table->seed_count++] = seeds[i];
}

bool
wc_peer_table_has_seeds (const WcPeerTable *table)
{
  return table->seed_count > 0;
}

bool
wc_peer_table_has_heard (const WcPeerTable *table)
{
  assert (table != NULL);

  for (guint i = 0; i < table->peers->len; i++)
    if (((const WcPeer *)table->peers->pdata[i])->last_received_us > 0)
      return true;
  return false;
}

bool
wc_peer_table_receive (WcPeerTable *table, const WcGossip *gossip, uint64_t now_us)
{
  const WcPeerEntry *sender = &gossip->sender;
  WcPeer            *peer;
  bool               is_new;

  assert (table != NULL);

  if (is_self (table, &sender->address))
    return false;
  peer = wc_peer_table_find (table, &sender->address);
  is_new = !peer || peer->last_received_us == 0 || peer->entry.incarnation != sender->incarnation;
  if (!peer)
    peer = add_peer (table, sender, now_us);
  if (is_new || sender->heartbeat > peer->entry.heartbeat)
    record_heartbeat (peer, now_us);
  peer->entry = *sender;
  peer->last_received_us = now_us;
  peer->revision = gossip->revision;
  peer->view_us = gossip->view_age_ms == UINT32_MAX || (uint64_t)gossip->view_age_ms * 1000 > now_us
                      ? 0
                      : now_us - (uint64_t)gossip->view_age_ms * 1000;
  peer->stopping = gossip->stopping;
  peer->domain_instances = gossip->domain_instances;
  record_echo (table, peer, gossip);
  for (size_t i = 0; i < gossip->known_count; i++)
    merge_entry (table, &gossip->known[i], now_us);
  return is_new;
}

void
wc_peer_table_fill_sender (WcPeerTable *table, WcGossip *gossip)
{
  assert (table != NULL && gossip != NULL);

  table->self.heartbeat++;
  gossip->sender = table->self;
}

/*
 * The instances of the domain with the lowest ranks are included each time, because all others must soon detect when
 * these join or leave, regardless of the size of the domain. The remaining entries are chosen at random each time, so
 * that all instances are propagated.
 */
void
wc_peer_table_fill_gossip (WcPeerTable *table, WcGossip *gossip, uint64_t now_us)
{
  assert (table != NULL && gossip != NULL);

  wc_peer_table_fill_sender (table, gossip);
  wc_heartbeat_log_record (&table->heartbeats, table->self.heartbeat, now_us);
  gossip->known_count = 0;
  if (table->peers->len == 0)
    return;
  add_lowest_ranks (table, gossip, now_us);
  add_random_peers (table, gossip, true, WC_GOSSIP_MAX_PEERS - OTHER_DOMAIN_ENTRIES, now_us);
  add_random_peers (table, gossip, false, WC_GOSSIP_MAX_PEERS, now_us);
}

void
wc_peer_table_set_domain_instances (WcPeerTable *table, uint32_t count)
{
  table->domain_instances = count;
}

void
wc_peer_table_fill_echo (const WcPeerTable *table, const WcAddress *destination, WcGossip *gossip)
{
  const WcPeer *receiver = wc_peer_table_find (table, destination);
  uint32_t      count = 0;

  if (!receiver)
    return;
  gossip->echo_heartbeat = receiver->entry.heartbeat;
  gossip->echo_incarnation = (uint32_t)receiver->entry.incarnation;
  for (guint i = 0; i < table->peers->len; i++)
    count += ((const WcPeer *)table->peers->pdata[i])->entry.domain == receiver->entry.domain;
  gossip->domain_instances =
      receiver->entry.domain == table->self.domain ? MAX (count + 1, table->domain_instances) : count;
}

size_t
wc_peer_table_pick_targets (WcPeerTable *table, uint64_t now_us, WcAddress targets[WC_GOSSIP_FANOUT])
{
  const WcPeer *own = pick_peer (table, true, now_us);
  const WcPeer *other = pick_peer (table, false, now_us);
  const WcPeer *absent;
  size_t        count = 0;

  table->rounds++;
  if (own)
    targets[count++] = own->entry.address;
  if (other && (!own || table->rounds % OTHER_DOMAIN_ROUNDS == 0))
    targets[count++] = other->entry.address;
  if (count == 0)
    return add_seeds (table, targets, WC_GOSSIP_FANOUT);
  if (count < WC_GOSSIP_FANOUT && table->rounds % SEED_ROUNDS == 1)
    count += add_seeds (table, &targets[count], 1);
  absent = count < WC_GOSSIP_FANOUT ? pick_absent_peer (table, now_us) : NULL;
  if (absent)
    targets[count++] = absent->entry.address;
  return count;
}

size_t
wc_peer_table_pick_witnesses (const WcPeerTable *table, uint64_t host, uint64_t now_us,
                              WcAddress targets[WC_HOST_WITNESSES])
{
  uint64_t last = 0;
  size_t   count = 0;

  assert (table != NULL && targets != NULL);

  while (count < WC_HOST_WITNESSES)
    {
      const WcPeer *next = NULL;
      uint64_t      next_rank = UINT64_MAX;

      for (guint i = 0; i < table->peers->len; i++)
        {
          const WcPeer *peer = table->peers->pdata[i];
          uint64_t      rank = wc_mix64 (host ^ wc_peer_rank (&peer->entry.address));

          if (peer->entry.domain != table->self.domain || !wc_peer_is_live (peer, now_us) || rank <= last ||
              rank >= next_rank)
            continue;
          next = peer;
          next_rank = rank;
        }
      if (!next)
        return count;
      targets[count++] = next->entry.address;
      last = next_rank;
    }
  return count;
}

size_t
wc_peer_table_pick_flow_holders (const WcPeerTable *table, uint64_t flow, uint64_t now_us,
                                 WcAddress targets[WC_FLOW_HOLDERS])
{
  uint32_t domains[WC_FLOW_HOLDERS - WC_HOST_WITNESSES];
  size_t   domain_count = 0;
  size_t   count = wc_peer_table_pick_witnesses (table, flow, now_us, targets);

  for (guint i = 0; i < table->peers->len && domain_count < G_N_ELEMENTS (domains); i++)
    {
      const uint32_t domain = ((const WcPeer *)table->peers->pdata[i])->entry.domain;
      const WcPeer  *holder;

      if (domain == table->self.domain || contains_domain (domains, domain_count, domain))
        continue;
      domains[domain_count++] = domain;
      holder = find_holder (table, domain, flow, now_us);
      if (holder)
        targets[count++] = holder->entry.address;
    }
  return count;
}

void
wc_peer_table_evict (WcPeerTable *table, uint64_t now_us)
{
  for (guint i = table->peers->len; i > 0; i--)
    {
      const WcPeer *peer = table->peers->pdata[i - 1];

      if (now_us - peer->last_heartbeat_us >= PEER_LIFETIME_US)
        g_ptr_array_remove_index_fast (table->peers, i - 1);
    }
}

uint32_t
wc_peer_table_count_live (const WcPeerTable *table, uint64_t now_us)
{
  uint32_t count = 0;

  for (guint i = 0; i < table->peers->len; i++)
    count += wc_peer_is_live (table->peers->pdata[i], now_us);
  return count;
}

uint32_t
wc_peer_table_count_domain (const WcPeerTable *table, uint64_t now_us)
{
  return wc_peer_table_count_in (table, table->self.domain, now_us);
}

uint32_t
wc_peer_table_count_in (const WcPeerTable *table, uint32_t domain, uint64_t now_us)
{
  uint32_t count = 0;

  for (guint i = 0; i < table->peers->len; i++)
    {
      const WcPeer *peer = table->peers->pdata[i];

      if (peer->entry.domain == domain && wc_peer_is_live (peer, now_us))
        count++;
    }
  return count;
}

size_t
wc_peer_table_get_count (const WcPeerTable *table)
{
  return table->peers->len;
}

WcPeer *
wc_peer_table_get (const WcPeerTable *table, size_t index)
{
  assert (index < table->peers->len);

  return table->peers->pdata[index];
}

WcPeer *
wc_peer_table_find (const WcPeerTable *table, const WcAddress *address)
{
  for (guint i = 0; i < table->peers->len; i++)
    {
      WcPeer *peer = table->peers->pdata[i];

      if (wc_address_equal (&peer->entry.address, address))
        return peer;
    }
  return NULL;
}

/*
 * The time of the last heartbeat is kept: it decides when the entry is evicted, and the avoid deadline must not be lost
 * with the entry.
 */
void
wc_peer_table_avoid (WcPeerTable *table, const WcAddress *address, uint64_t deadline_us)
{
  WcPeer *peer = wc_peer_table_find (table, address);

  if (!peer)
    return;
  peer->avoid_deadline_us = deadline_us;
  peer->unresponsive = true;
}

uint32_t
wc_peer_table_count_avoided (const WcPeerTable *table, uint64_t now_us)
{
  uint32_t count = 0;

  assert (table != NULL);

  for (guint i = 0; i < table->peers->len; i++)
    count += now_us < ((const WcPeer *)table->peers->pdata[i])->avoid_deadline_us;
  return count;
}

void
wc_peer_table_avoid_indirect (WcPeerTable *table, uint32_t domain, uint64_t deadline_us)
{
  assert (table != NULL && domain != 0);

  for (guint i = 0; i < table->peers->len; i++)
    {
      WcPeer *peer = table->peers->pdata[i];

      if (peer->entry.domain == domain)
        peer->indirect_deadline_us = deadline_us;
    }
}

const WcPeerEntry *
wc_peer_table_get_self (const WcPeerTable *table)
{
  return &table->self;
}

uint64_t
wc_peer_rank (const WcAddress *address)
{
  uint32_t ip;

  memcpy (&ip, address->ip, sizeof ip);
  return wc_mix64 ((uint64_t)ip << 16 | address->port);
}

bool
wc_peer_is_live (const WcPeer *peer, uint64_t now_us)
{
  return !peer->stopping && !peer->unresponsive && now_us - peer->last_heartbeat_us < LIVE_TIMEOUT_US;
}

bool
wc_peer_table_is_isolated (const WcPeerTable *table, uint64_t timeout_us, uint64_t now_us)
{
  bool any_received = false;

  for (guint i = 0; i < table->peers->len; i++)
    {
      const WcPeer *peer = table->peers->pdata[i];

      if (peer->last_received_us == 0)
        continue;
      any_received = true;
      if (now_us - peer->last_received_us < timeout_us)
        return false;
    }
  return any_received;
}

/* local functions */

/* Return: the live instance of a domain that all others choose for a flow, or NULL. */
static const WcPeer *
find_holder (const WcPeerTable *table, uint32_t domain, uint64_t flow, uint64_t now_us)
{
  const WcPeer *holder = NULL;
  uint64_t      holder_rank = UINT64_MAX;

  for (guint i = 0; i < table->peers->len; i++)
    {
      const WcPeer *peer = table->peers->pdata[i];
      uint64_t      rank = wc_mix64 (flow ^ wc_peer_rank (&peer->entry.address));

      if (peer->entry.domain != domain || !wc_peer_is_live (peer, now_us) || rank >= holder_rank)
        continue;
      holder = peer;
      holder_rank = rank;
    }
  return holder;
}

static bool
contains_domain (const uint32_t *domains, size_t count, uint32_t domain)
{
  for (size_t i = 0; i < count; i++)
    if (domains[i] == domain)
      return true;
  return false;
}

static WcPeer *
add_peer (WcPeerTable *table, const WcPeerEntry *entry, uint64_t now_us)
{
  WcPeer *peer = g_new0 (WcPeer, 1);

  peer->entry = *entry;
  peer->last_heartbeat_us = now_us;
  g_ptr_array_add (table->peers, peer);
  return peer;
}

/* A heartbeat of an earlier instance at the same address shows nothing about this one. */
static void
record_echo (WcPeerTable *table, WcPeer *peer, const WcGossip *gossip)
{
  uint64_t sent_us;

  if (gossip->echo_incarnation != (uint32_t)table->self.incarnation || gossip->echo_heartbeat == 0 ||
      gossip->echo_heartbeat > table->self.heartbeat)
    return;
  sent_us = wc_heartbeat_log_get_sent_us (&table->heartbeats, gossip->echo_heartbeat);
  peer->echoed_us = MAX (peer->echoed_us, sent_us);
}

static void
merge_entry (WcPeerTable *table, const WcPeerEntry *entry, uint64_t now_us)
{
  WcPeer *peer;

  if (is_self (table, &entry->address))
    return;
  peer = wc_peer_table_find (table, &entry->address);
  if (!peer)
    {
      add_peer (table, entry, now_us);
      return;
    }
  if (peer->entry.incarnation == entry->incarnation)
    {
      if (entry->heartbeat <= peer->entry.heartbeat)
        return;
    }
  else if (!peer->unresponsive && now_us - peer->last_heartbeat_us < REPLACE_MIN_AGE_US)
    return;
  else
    peer->stopping = false;
  peer->entry = *entry;
  record_heartbeat (peer, now_us);
}

static void
record_heartbeat (WcPeer *peer, uint64_t now_us)
{
  peer->last_heartbeat_us = now_us;
  peer->unresponsive = false;
}

static uint64_t
next_random (WcPeerTable *table)
{
  table->random_state++;
  return wc_mix64 (table->random_state);
}

static bool
is_self (const WcPeerTable *table, const WcAddress *address)
{
  return wc_address_equal (&table->self.address, address);
}

static void
add_lowest_ranks (const WcPeerTable *table, WcGossip *gossip, uint64_t now_us)
{
  uint64_t last = 0;

  for (int i = 0; i < LOWEST_RANK_ENTRIES; i++)
    {
      const WcPeer *first = NULL;

      for (guint p = 0; p < table->peers->len; p++)
        {
          const WcPeer *peer = table->peers->pdata[p];

          if (peer->entry.domain == table->self.domain && is_fresh (peer, now_us) &&
              wc_peer_rank (&peer->entry.address) > last &&
              (!first || wc_peer_rank (&peer->entry.address) < wc_peer_rank (&first->entry.address)))
            first = peer;
        }
      if (!first)
        return;
      gossip->known[gossip->known_count++] = first->entry;
      last = wc_peer_rank (&first->entry.address);
    }
}

static void
add_random_peers (WcPeerTable *table, WcGossip *gossip, bool own_domain, size_t max_count, uint64_t now_us)
{
  size_t start = next_random (table) % table->peers->len;

  for (size_t i = 0; i < table->peers->len && gossip->known_count < max_count; i++)
    {
      const WcPeer *peer = table->peers->pdata[(start + i) % table->peers->len];

      if ((peer->entry.domain == table->self.domain) == own_domain && is_fresh (peer, now_us))
        gossip->known[gossip->known_count++] = peer->entry;
    }
}

/*
 * An entry is relayed only for PROPAGATION_MAX_AGE_US after its heartbeat increased, so that the last heartbeat of a
 * dead instance does not circulate for long.
 */
static bool
is_fresh (const WcPeer *peer, uint64_t now_us)
{
  return !peer->stopping && !peer->unresponsive && now_us - peer->last_heartbeat_us < PROPAGATION_MAX_AGE_US;
}

/*
 * Chooses the peer that was sent to least recently. A peer that is not live may have returned; it is chosen when no
 * live peer is known.
 */
static WcPeer *
pick_peer (WcPeerTable *table, bool own_domain, uint64_t now_us)
{
  WcPeer  *chosen = NULL;
  WcPeer  *not_live = NULL;
  WcPeer **slot;

  for (guint i = 0; i < table->peers->len; i++)
    {
      WcPeer *peer = table->peers->pdata[i];

      if ((peer->entry.domain == table->self.domain) != own_domain)
        continue;
      slot = wc_peer_is_live (peer, now_us) ? &chosen : &not_live;
      if (!*slot || peer->last_sent_us < (*slot)->last_sent_us)
        *slot = peer;
    }
  chosen = chosen ? chosen : not_live;
  if (chosen)
    chosen->last_sent_us = now_us;
  return chosen;
}

/*
 * Load pattern: instances are restarted in turn while the seeds are out of date. An instance that has stopped is no
 * longer sent anything as a peer, and its successor at the same address knows nobody, until one side hears of the other
 * through a third.
 */
static WcPeer *
pick_absent_peer (WcPeerTable *table, uint64_t now_us)
{
  WcPeer *chosen = NULL;

  for (guint i = 0; i < table->peers->len; i++)
    {
      WcPeer *peer = table->peers->pdata[i];

      if (wc_peer_is_live (peer, now_us) || now_us - peer->last_heartbeat_us >= RETURN_MAX_US ||
          peer->last_sent_us == now_us)
        continue;
      if (!chosen || peer->last_sent_us < chosen->last_sent_us)
        chosen = peer;
    }
  if (chosen)
    chosen->last_sent_us = now_us;
  return chosen;
}

/* Adds up to @max seeds, different ones each time. Return: number of addresses written. */
static size_t
add_seeds (WcPeerTable *table, WcAddress *targets, size_t max)
{
  size_t count = MIN (max, table->seed_count);

  for (size_t i = 0; i < count; i++)
    targets[i] = table->seeds[table->next_seed++ % table->seed_count];
  return count;
}
