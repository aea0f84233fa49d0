#include "forward/host_lease.h"

#include <assert.h>

#include <glib.h>

#include "core/mix.h"

enum
{
  OBSERVATION_MIN_US = 8 * 1000 * 1000,
  /*
   * Heartbeats take longer to reach all instances in a larger domain: in a calm domain of 27, one of 15 was last heard
   * of more than 8 s ago and one of 12,000 more than 20 s; of 43, one of 5 and, at 30 s, one of 3,800.
   */
  OBSERVATION_PER_INSTANCE_US = 750 * 1000,
  /* An instance sends to each peer of its domain every 500 ms times their number, so one datagram fits in. */
  EXCHANGE_QUARTERS = 3,
  /* At most two disjoint groups have more than a third of the instances each, and a holder uses half of the limit. */
  GROUP_DIVISOR = 3,
  /* Longer than usual restarts and partitions; after a larger scale-down no leases are held for this long. */
  MEMORY_US = 600 * 1000 * 1000,
  /* Ticks are 100 ms apart. */
  PAUSE_MIN_US = 1000 * 1000,
  /* Bounds the memory; four times the instances of a domain at the planned size, of which all were replaced. */
  INSTANCES_MAX = 1024
};

/*
 * @heard_us: when its heartbeat last increased, as received from it or through others.
 * @exchanged_us: latest time at which this instance sent a heartbeat that the other one has confirmed to it directly.
 * @stated: number of instances of the domain that it remembers, as it stated last.
 * @stopping: it announced its shutdown.
 */
typedef struct
{
  uint64_t rank;
  uint64_t heard_us;
  uint64_t exchanged_us;
  uint32_t stated;
  bool     stopping;
} Instance;

/*
 * @instances: the other remembered instances of the own domain.
 * @since_us: first update, end of the latest pause, or latest time at which it was not in a group.
 * @updated_us: time of the latest update; 0 before the first.
 * @observation_us: observation time for the number of remembered instances.
 * @total: highest number of instances of the domain that this one or a peer remembers.
 * @is_in_group: this instance exchanges datagrams with enough others.
 */
struct WcHostLease
{
  GArray  *instances;
  uint64_t self_rank;
  uint64_t since_us;
  uint64_t updated_us;
  uint64_t observation_us;
  uint64_t total;
  bool     is_in_group;
  bool     released;
};

static void      merge_peer (WcHostLease *lease, const WcPeer *peer, uint64_t now_us);
static Instance *find_instance (WcHostLease *lease, uint64_t rank);
static void      forget_instances (WcHostLease *lease, uint64_t now_us);
static void      evaluate_group (WcHostLease *lease, const WcPeerTable *peers, uint64_t now_us);
static bool      is_connected (const WcHostLease *lease, const WcPeerTable *peers, uint64_t now_us);
static bool      is_recent_exchange (const WcHostLease *lease, uint64_t exchanged_us, uint64_t now_us);
static uint64_t  host_rank (uint64_t host, uint64_t instance_rank);

WcHostLease *
wc_host_lease_new (void)
{
  WcHostLease *lease = g_new0 (WcHostLease, 1);

  lease->instances = g_array_new (FALSE, FALSE, sizeof (Instance));
  lease->observation_us = OBSERVATION_MIN_US;
  return lease;
}

void
wc_host_lease_delete (WcHostLease *lease)
{
  if (!lease)
    return;
  g_array_free (lease->instances, TRUE);
  g_free (lease);
}

void
wc_host_lease_update (WcHostLease *lease, WcPeerTable *peers, uint64_t now_us)
{
  const WcPeerEntry *self;

  assert (lease != NULL && peers != NULL);

  /* What was heard before the pause does not show who has acquired leases meanwhile. */
  if (now_us - lease->updated_us > PAUSE_MIN_US)
    lease->since_us = now_us;
  lease->updated_us = now_us;
  self = wc_peer_table_get_self (peers);
  lease->self_rank = wc_peer_rank (&self->address);
  lease->total = 1;
  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    {
      const WcPeer *peer = wc_peer_table_get (peers, i);

      if (peer->entry.domain == self->domain)
        merge_peer (lease, peer, now_us);
      else
        lease->total = MAX (lease->total, MIN (peer->domain_instances, INSTANCES_MAX));
    }
  forget_instances (lease, now_us);
  evaluate_group (lease, peers, now_us);
  wc_peer_table_set_domain_instances (peers, lease->instances->len + 1);
}

void
wc_host_lease_release (WcHostLease *lease)
{
  lease->released = true;
}

bool
wc_host_lease_is_eligible (const WcHostLease *lease, uint64_t now_us)
{
  assert (lease != NULL);

  return !lease->released && lease->is_in_group && now_us - lease->updated_us <= PAUSE_MIN_US &&
         now_us - lease->since_us >= lease->observation_us;
}

bool
wc_host_lease_holds (const WcHostLease *lease, uint64_t host, uint64_t now_us)
{
  uint64_t own_rank = host_rank (host, lease->self_rank);

  if (!wc_host_lease_is_eligible (lease, now_us))
    return false;
  for (guint i = 0; i < lease->instances->len; i++)
    {
      const Instance *other = &g_array_index (lease->instances, Instance, i);

      if (now_us - other->heard_us < lease->observation_us && host_rank (host, other->rank) < own_rank)
        return false;
    }
  return true;
}

/* local functions */

static void
merge_peer (WcHostLease *lease, const WcPeer *peer, uint64_t now_us)
{
  uint64_t  rank = wc_peer_rank (&peer->entry.address);
  Instance *known = find_instance (lease, rank);

  if (!known)
    {
      Instance added = { .rank = rank, .heard_us = peer->last_heartbeat_us };

      if (lease->instances->len >= INSTANCES_MAX || now_us - peer->last_heartbeat_us >= MEMORY_US)
        return;
      g_array_append_val (lease->instances, added);
      known = &g_array_index (lease->instances, Instance, lease->instances->len - 1);
    }
  known->heard_us = MAX (known->heard_us, peer->last_heartbeat_us);
  known->exchanged_us = MAX (known->exchanged_us, peer->echoed_us);
  known->stopping = peer->stopping;
  known->stated = peer->last_received_us > 0 ? peer->domain_instances : known->stated;
}

static Instance *
find_instance (WcHostLease *lease, uint64_t rank)
{
  for (guint i = 0; i < lease->instances->len; i++)
    {
      Instance *instance = &g_array_index (lease->instances, Instance, i);

      if (instance->rank == rank)
        return instance;
    }
  return NULL;
}

static void
forget_instances (WcHostLease *lease, uint64_t now_us)
{
  for (guint i = lease->instances->len; i > 0; i--)
    {
      const Instance *instance = &g_array_index (lease->instances, Instance, i - 1);
      uint64_t        age_us = now_us - instance->heard_us;

      if (age_us >= MEMORY_US || (instance->stopping && age_us >= lease->observation_us))
        g_array_remove_index_fast (lease->instances, i - 1);
    }
}

static void
evaluate_group (WcHostLease *lease, const WcPeerTable *peers, uint64_t now_us)
{
  uint64_t group = 1;

  lease->total = MAX (lease->total, lease->instances->len + 1);
  for (guint i = 0; i < lease->instances->len; i++)
    lease->total =
        MAX (lease->total, MIN (g_array_index (lease->instances, Instance, i).stated, (uint32_t)INSTANCES_MAX));
  lease->observation_us = MAX (OBSERVATION_MIN_US, lease->total * OBSERVATION_PER_INSTANCE_US);
  for (guint i = 0; i < lease->instances->len; i++)
    group += is_recent_exchange (lease, g_array_index (lease->instances, Instance, i).exchanged_us, now_us);
  lease->is_in_group =
      group * GROUP_DIVISOR > lease->total && (lease->total > 2 || is_connected (lease, peers, now_us));
  /* One that comes back from a partition would otherwise acquire leases before their holders hear of it. */
  if (!lease->is_in_group)
    lease->since_us = now_us;
}

/*
 * An instance that starts while it is cut off knows nobody, like the only instance of its domain. Without this check,
 * any number of instances that start cut off from each other would acquire the same leases. With two remembered
 * instances, each is more than a third of them.
 */
static bool
is_connected (const WcHostLease *lease, const WcPeerTable *peers, uint64_t now_us)
{
  for (size_t i = 0; i < wc_peer_table_get_count (peers); i++)
    if (is_recent_exchange (lease, wc_peer_table_get (peers, i)->echoed_us, now_us))
      return true;
  return !wc_peer_table_has_seeds (peers);
}

static bool
is_recent_exchange (const WcHostLease *lease, uint64_t exchanged_us, uint64_t now_us)
{
  return exchanged_us > 0 && now_us - exchanged_us < lease->observation_us / 4 * EXCHANGE_QUARTERS;
}

static uint64_t
host_rank (uint64_t host, uint64_t instance_rank)
{
  return wc_mix64 (host ^ instance_rank);
}
