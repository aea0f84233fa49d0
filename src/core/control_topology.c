#include "core/control_private.h"
#include "core/mix.h"

#include <math.h>
#include <string.h>

/* Time to wait for a link to a member of another domain, and time after which a member without a link is tried
 * again. */
enum
{
  US_PER_MS = 1000,
  CROSS_DOMAIN_CONNECT_TIMEOUT_US = 5000 * US_PER_MS,
  CROSS_DOMAIN_RETRY_US = 30000 * US_PER_MS
};

static bool     is_in_ring (const WcControl *control, uint64_t now_us, const WcMemberRecord *record);
static int      compare_members (gconstpointer a, gconstpointer b);
static void     add_link (GHashTable *requested, const WcMember *member, bool cross_domain);
static void     add_neighbours (WcControl *control, uint64_t now_us, GHashTable *requested);
static void     add_absent_members (WcControl *control, uint64_t now_us, GArray *ring, GHashTable *requested);
static void     add_cross_domain_links (WcControl *control, uint64_t now_us, GHashTable *requested);
static uint64_t weight (const WcControl *control, const WcMember *member);

void
wc_control_update_topology (WcControl *control, uint64_t now_us)
{
  GHashTable    *requested = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iterator;
  gpointer       value;

  add_neighbours (control, now_us, requested);
  add_cross_domain_links (control, now_us, requested);

  g_hash_table_iter_init (&iterator, control->desired);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcDesiredLink *old = value;
      WcDesiredLink *kept = g_hash_table_lookup (requested, &old->member.id);

      if (kept && wc_address_equal (&kept->member.address, &old->member.address))
        {
          kept->requested_us = old->requested_us;
          continue;
        }
      control->ops->disconnect (control->user_data, old->member.id);
    }
  g_hash_table_iter_init (&iterator, requested);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcDesiredLink *desired = value;

      if (desired->requested_us != 0)
        continue;
      desired->requested_us = MAX (now_us, 1);
      control->ops->connect (control->user_data, &desired->member);
    }
  g_hash_table_destroy (control->desired);
  control->desired = requested;

  g_hash_table_iter_init (&iterator, control->records);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcMemberRecord *record = value;
      bool            monitored = g_hash_table_contains (requested, &record->member.id) ||
                       g_hash_table_contains (control->links, &record->member.id);

      if (monitored && !record->monitored)
        record->last_contact_us = now_us;
      record->monitored = monitored;
    }
}

/* local functions */

/* Whether the member takes part in gossip. Suspect members, and listed ones that have not sent a heartbeat within a
 * grace period, do not. */
static bool
is_in_ring (const WcControl *control, uint64_t now_us, const WcMemberRecord *record)
{
  if (record->member.state == WC_MEMBER_LIVE || record->member.state == WC_MEMBER_LEAVING)
    return true;
  if (record->member.state == WC_MEMBER_SUSPECT)
    return false;
  return now_us < MAX (record->first_seen_us, MAX (record->updated_us, record->last_contact_us)) +
                      2 * control->config.suspect_after_us;
}

static int
compare_members (gconstpointer a, gconstpointer b)
{
  const WcMember *left = a;
  const WcMember *right = b;

  return left->id < right->id ? -1 : left->id > right->id ? 1 : 0;
}

static void
add_link (GHashTable *requested, const WcMember *member, bool cross_domain)
{
  WcDesiredLink *desired;

  if (member->address.family == 0 || g_hash_table_contains (requested, &member->id))
    return;
  desired = g_new0 (WcDesiredLink, 1);
  desired->member = *member;
  desired->cross_domain = cross_domain;
  g_hash_table_insert (requested, &desired->member.id, desired);
}

static void
add_neighbours (WcControl *control, uint64_t now_us, GHashTable *requested)
{
  GArray        *ring = g_array_new (FALSE, FALSE, sizeof (WcMember));
  guint          own = 0;
  GHashTableIter iterator;
  gpointer       value;

  g_array_append_val (ring, control->config.self);
  g_hash_table_iter_init (&iterator, control->records);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (is_in_ring (control, now_us, value))
      g_array_append_val (ring, ((WcMemberRecord *)value)->member);
  g_array_sort (ring, compare_members);
  while (g_array_index (ring, WcMember, own).id != control->config.self.id)
    own++;

  control->heartbeat_factor = ring->len <= WC_CONTROL_MESH_MAX_MEMBERS ? 1 : WC_CONTROL_RING_HEARTBEAT_FACTOR;
  if (ring->len <= WC_CONTROL_MESH_MAX_MEMBERS)
    for (guint i = 0; i < ring->len; i++)
      {
        if (i != own)
          add_link (requested, &g_array_index (ring, WcMember, i), false);
      }
  else
    for (int i = 0; i < WC_CONTROL_RING_OFFSETS; i++)
      {
        guint offset = (guint)lround (pow (ring->len, (double)i / WC_CONTROL_RING_OFFSETS));

        add_link (requested, &g_array_index (ring, WcMember, (own + offset) % ring->len), false);
      }
  add_absent_members (control, now_us, ring, requested);
  g_array_free (ring, TRUE);
}

/* A member that restarts while the platform is down does not know any other member, so its peers keep connecting to it:
 * all of them in a full mesh, else its predecessor on the ring. */
static void
add_absent_members (WcControl *control, uint64_t now_us, GArray *ring, GHashTable *requested)
{
  GHashTableIter iterator;
  gpointer       value;

  g_hash_table_iter_init (&iterator, control->records);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcMemberRecord *record = value;
      guint           successor = 0;

      if (is_in_ring (control, now_us, record))
        continue;
      while (successor < ring->len && g_array_index (ring, WcMember, successor).id < record->member.id)
        successor++;
      if (ring->len <= WC_CONTROL_MESH_MAX_MEMBERS ||
          g_array_index (ring, WcMember, (successor + ring->len - 1) % ring->len).id == control->config.self.id)
        add_link (requested, &record->member, false);
    }
}

/* Requests one link to each other domain, to the reachable member with the highest rendezvous weight. */
static void
add_cross_domain_links (WcControl *control, uint64_t now_us, GHashTable *requested)
{
  GHashTable     *best = g_hash_table_new (g_direct_hash, g_direct_equal);
  size_t          count;
  const WcMember *members = wc_member_table_get (control->table, &count);
  GHashTableIter  iterator;
  gpointer        value;

  g_hash_table_iter_init (&iterator, control->desired);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcDesiredLink *desired = value;

      if (desired->cross_domain && now_us >= desired->requested_us + CROSS_DOMAIN_CONNECT_TIMEOUT_US &&
          !g_hash_table_contains (control->links, &desired->member.id))
        {
          uint64_t *id = g_new (uint64_t, 1);
          uint64_t *until = g_new (uint64_t, 1);

          *id = desired->member.id;
          *until = now_us + CROSS_DOMAIN_RETRY_US;
          g_hash_table_replace (control->unreachable, id, until);
        }
    }
  for (size_t i = 0; i < count; i++)
    {
      const WcMember *chosen;
      const uint64_t *unreachable = g_hash_table_lookup (control->unreachable, &members[i].id);

      if (members[i].domain == control->config.self.domain || members[i].state == WC_MEMBER_SUSPECT ||
          members[i].state == WC_MEMBER_LEAVING || (unreachable && now_us < *unreachable))
        continue;
      chosen = g_hash_table_lookup (best, GUINT_TO_POINTER (members[i].domain));
      if (!chosen || weight (control, &members[i]) > weight (control, chosen))
        g_hash_table_insert (best, GUINT_TO_POINTER (members[i].domain), (gpointer)&members[i]);
    }
  g_hash_table_iter_init (&iterator, best);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    add_link (requested, value, true);
  g_hash_table_destroy (best);
}

static uint64_t
weight (const WcControl *control, const WcMember *member)
{
  return wc_mix64 (wc_mix64 (control->config.self.id) ^ member->id);
}
