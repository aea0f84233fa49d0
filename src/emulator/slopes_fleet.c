#include "emulator/slopes_fleet.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <wigeoncart/name_id.h>

enum
{
  /* Size of an entry in the platform's list of instances. */
  LIST_ENTRY_BYTES = 120,
  /* Defaults of the settings of `wigeoncart serve`. */
  HEARTBEAT_US = 350000,
  SUSPECT_AFTER_US = 1000000
};

static bool     is_partitioned (const WcSlopesNode *a, const WcSlopesNode *b);
static void     unlink_nodes (WcSlopesNode *a, WcSlopesNode *b);
static void     free_frame (gpointer data);
static void     step_node (WcSlopesNode *node);
static void     deliver_frames (WcSlopesNode *node);
static void     reply_to_reads (WcSlopesNode *node);
static void     reply_to_part_read (WcSlopesNode *node, bool is_reachable);
static void     update_links (WcSlopesNode *node);
static uint64_t get_cpu_ns (void);

WcSlopesFleet *
wc_slopes_fleet_new (uint32_t domains, uint32_t instances, uint32_t hosts, uint32_t seed)
{
  WcSlopesFleet *fleet = g_new0 (WcSlopesFleet, 1);

  assert (domains > 0 && instances > 0);

  fleet->count = domains * instances;
  fleet->domains = domains;
  fleet->now_us = 1000000;
  fleet->step_us = 50000;
  fleet->version = 1;
  fleet->random = g_rand_new_with_seed (seed);
  fleet->reg = wc_slopes_register_new (domains, hosts);
  fleet->nodes = g_new0 (WcSlopesNode, fleet->count);
  fleet->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      WcSlopesNode *node = &fleet->nodes[i];
      char          name[24];

      node->fleet = fleet;
      node->index = i;
      node->domain = i % domains;
      g_snprintf (name, sizeof name, "instance-%u", i);
      node->self.id = wc_name_id64 (name);
      g_snprintf (name, sizeof name, "d%u", 1 + node->domain);
      node->self.domain = wc_name_id32 (name);
      node->self.workers = 2;
      node->self.state = WC_MEMBER_LIVE;
      node->self.address.family = 4;
      node->self.address.ip[0] = 10;
      node->self.address.ip[2] = (uint8_t)(i >> 8);
      node->self.address.ip[3] = (uint8_t)i;
      node->self.address.port = 7101;
      node->peers = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
      node->inbox = g_queue_new ();
      g_hash_table_insert (fleet->by_id, &node->self.id, node);
    }
  return fleet;
}

void
wc_slopes_fleet_delete (WcSlopesFleet *fleet)
{
  if (!fleet)
    return;
  for (uint32_t i = 0; i < fleet->count; i++)
    wc_slopes_fleet_kill (fleet, i);
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      g_queue_free_full (fleet->nodes[i].inbox, free_frame);
      g_hash_table_destroy (fleet->nodes[i].peers);
    }
  g_hash_table_destroy (fleet->by_id);
  wc_slopes_register_delete (fleet->reg);
  g_rand_free (fleet->random);
  g_free (fleet->nodes);
  g_free (fleet);
}

void
wc_slopes_fleet_start (WcSlopesFleet *fleet, uint32_t index)
{
  WcSlopesNode   *node = &fleet->nodes[index];
  WcControlConfig config;

  assert (!node->control);

  wc_control_config_init (&config);
  config.heartbeat_us = HEARTBEAT_US;
  config.suspect_after_us = SUSPECT_AFTER_US;
  config.seed = g_rand_int (fleet->random);
  node->self.incarnation = 1000 + ++fleet->last_incarnation;
  config.self = node->self;
  node->control = wc_control_new (&config, &WC_SLOPES_FLEET_OPS, node, &node->counters);
  wc_control_start (node->control, fleet->now_us);
}

void
wc_slopes_fleet_kill (WcSlopesFleet *fleet, uint32_t index)
{
  WcSlopesNode  *node = &fleet->nodes[index];
  GHashTableIter iterator;
  gpointer       key;

  if (!node->control)
    return;
  g_hash_table_iter_init (&iterator, node->peers);
  while (g_hash_table_iter_next (&iterator, &key, NULL))
    unlink_nodes (node, &fleet->nodes[GPOINTER_TO_UINT (key)]);
  wc_control_delete (node->control);
  node->control = NULL;
  g_hash_table_remove_all (node->peers);
  g_queue_clear_full (node->inbox, free_frame);
  node->head_read_pending = false;
  node->list_read_pending = false;
  g_clear_pointer (&node->part_read_key, g_free);
}

void
wc_slopes_fleet_step (WcSlopesFleet *fleet)
{
  fleet->now_us += fleet->step_us;
  for (uint32_t i = 0; i < fleet->count; i++)
    if (fleet->nodes[i].control)
      step_node (&fleet->nodes[i]);
}

void
wc_slopes_fleet_edit (WcSlopesFleet *fleet)
{
  wc_slopes_register_edit (fleet->reg);
  fleet->version++;
}

void
wc_slopes_fleet_set_partitioned (WcSlopesFleet *fleet, bool partitioned)
{
  fleet->partitioned = partitioned;
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      WcSlopesNode  *node = &fleet->nodes[i];
      GHashTableIter iterator;
      gpointer       key;

      node->isolated = partitioned && node->domain >= (fleet->domains + 1) / 2;
      g_hash_table_iter_init (&iterator, node->peers);
      while (g_hash_table_iter_next (&iterator, &key, NULL))
        if (is_partitioned (node, &fleet->nodes[GPOINTER_TO_UINT (key)]))
          unlink_nodes (node, &fleet->nodes[GPOINTER_TO_UINT (key)]);
    }
}

bool
wc_slopes_fleet_is_in_force (const WcSlopesFleet *fleet)
{
  uint64_t revision = wc_register_split_get_revision (wc_slopes_register_get_split (fleet->reg));

  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const WcControl *control = fleet->nodes[i].control;

      if (control && (wc_control_get_lifecycle (control) != WC_LIFECYCLE_SERVING ||
                      wc_config_store_get_id (wc_control_get_store (control))->revision != revision))
        return false;
    }
  return true;
}

void
wc_slopes_fleet_clear_counts (WcSlopesFleet *fleet)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      WcSlopesNode *node = &fleet->nodes[i];

      node->sent = node->received = node->platform_bytes = node->cpu_ns = 0;
    }
  fleet->reads = 0;
  fleet->reads_in_s = fleet->most_reads_in_s = 0;
}

WcSlopesPeer *
wc_slopes_fleet_get_peer (WcSlopesNode *node, uint32_t index)
{
  WcSlopesPeer *peer = g_hash_table_lookup (node->peers, GUINT_TO_POINTER (index));

  if (!peer)
    {
      peer = g_new0 (WcSlopesPeer, 1);
      g_hash_table_insert (node->peers, GUINT_TO_POINTER (index), peer);
    }
  return peer;
}

/* local functions */

static bool
is_partitioned (const WcSlopesNode *a, const WcSlopesNode *b)
{
  return a->isolated != b->isolated;
}

static void
unlink_nodes (WcSlopesNode *a, WcSlopesNode *b)
{
  WcSlopesPeer *left = g_hash_table_lookup (a->peers, GUINT_TO_POINTER (b->index));
  WcSlopesPeer *right = g_hash_table_lookup (b->peers, GUINT_TO_POINTER (a->index));

  if (!left || !right || !left->linked)
    return;
  left->linked = right->linked = false;
  left->down_pending = right->down_pending = true;
}

static void
free_frame (gpointer data)
{
  WcSlopesFrame *frame = data;

  g_free (frame->packed);
  g_free (frame);
}

/* Runs the control plane once. Its CPU time includes the decoding of frames, but not the update of links. */
static void
step_node (WcSlopesNode *node)
{
  uint64_t       start_ns = get_cpu_ns ();
  GHashTableIter iterator;
  gpointer       key;
  gpointer       value;
  GArray        *down = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  g_hash_table_iter_init (&iterator, node->peers);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    if (((WcSlopesPeer *)value)->down_pending)
      {
        uint32_t index = GPOINTER_TO_UINT (key);

        ((WcSlopesPeer *)value)->down_pending = false;
        g_array_append_val (down, index);
      }
  for (guint i = 0; i < down->len; i++)
    wc_control_link_down (node->control, node->fleet->now_us,
                          node->fleet->nodes[g_array_index (down, uint32_t, i)].self.id);
  g_array_unref (down);
  deliver_frames (node);
  reply_to_reads (node);
  wc_control_tick (node->control, node->fleet->now_us);
  node->cpu_ns += get_cpu_ns () - start_ns;
  update_links (node);
}

static void
deliver_frames (WcSlopesNode *node)
{
  WcSlopesFleet *fleet = node->fleet;
  WcSlopesFrame *frame;

  while ((frame = g_queue_peek_head (node->inbox)) && frame->due_us <= fleet->now_us)
    {
      WcSlopesNode       *sender = &fleet->nodes[frame->from];
      Wc__PeerFrame      *message = wc__peer_frame__unpack (NULL, frame->size_bytes, frame->packed);
      const WcSlopesPeer *peer = g_hash_table_lookup (node->peers, GUINT_TO_POINTER (frame->from));

      g_queue_pop_head (node->inbox);
      assert (message != NULL);
      if (peer && peer->linked && sender->self.incarnation == frame->incarnation)
        {
          node->received += frame->size_bytes + WC_SLOPES_FRAME_OVERHEAD_BYTES;
          wc_control_receive (node->control, fleet->now_us, sender->self.id, message);
        }
      wc__peer_frame__free_unpacked (message, NULL);
      free_frame (frame);
    }
}

static void
reply_to_reads (WcSlopesNode *node)
{
  WcSlopesFleet *fleet = node->fleet;
  bool           is_reachable = !node->isolated;

  if (node->list_read_pending)
    {
      node->list_read_pending = false;
      if (is_reachable)
        {
          WcMember *members = g_new (WcMember, fleet->count);
          size_t    size_bytes = (size_t)LIST_ENTRY_BYTES * fleet->count;

          for (uint32_t i = 0; i < fleet->count; i++)
            {
              members[i] = fleet->nodes[i].self;
              members[i].state = WC_MEMBER_LISTED;
              members[i].incarnation = 0;
            }
          node->platform_bytes += size_bytes;
          wc_control_list_received (node->control, fleet->now_us, members, fleet->count, size_bytes);
          g_free (members);
        }
      else
        wc_control_list_failed (node->control, fleet->now_us);
    }
  if (node->head_read_pending && !is_reachable)
    {
      node->head_read_pending = false;
      wc_control_head_failed (node->control, fleet->now_us);
    }
  else if (node->head_read_pending && (node->head_after_version == 0 || fleet->version > node->head_after_version))
    {
      size_t      size_bytes;
      const char *text = wc_register_split_get_head (wc_slopes_register_get_split (fleet->reg), &size_bytes);

      node->head_read_pending = false;
      node->platform_bytes += size_bytes;
      wc_control_head_received (node->control, fleet->now_us, fleet->version, text, size_bytes);
    }
  else if (node->head_read_pending && fleet->now_us >= node->head_deadline_us)
    {
      node->head_read_pending = false;
      wc_control_head_unchanged (node->control, fleet->now_us);
    }
  if (node->part_read_key)
    reply_to_part_read (node, is_reachable);
}

static void
reply_to_part_read (WcSlopesNode *node, bool is_reachable)
{
  WcSlopesFleet         *fleet = node->fleet;
  const WcRegisterSplit *split = wc_slopes_register_get_split (fleet->reg);
  char                  *wanted = g_steal_pointer (&node->part_read_key);

  for (size_t i = 0; is_reachable && i < wc_register_split_get_part_count (split); i++)
    {
      const char *key;
      size_t      size_bytes;
      const char *text = wc_register_split_get_part (split, i, &key, &size_bytes);

      if (strcmp (key, wanted) != 0)
        continue;
      node->platform_bytes += size_bytes;
      wc_control_part_received (node->control, fleet->now_us, text, size_bytes);
      g_free (wanted);
      return;
    }
  wc_control_part_failed (node->control, fleet->now_us);
  g_free (wanted);
}

static void
update_links (WcSlopesNode *node)
{
  WcSlopesFleet *fleet = node->fleet;
  /* A copy of the keys, because the control plane may request more links when it is notified of one that is up. */
  guint     count;
  gpointer *keys = g_hash_table_get_keys_as_array (node->peers, &count);

  for (guint i = 0; i < count; i++)
    {
      WcSlopesPeer *peer = wc_slopes_fleet_get_peer (node, GPOINTER_TO_UINT (keys[i]));
      WcSlopesNode *other = &fleet->nodes[GPOINTER_TO_UINT (keys[i])];
      WcSlopesPeer *other_end;

      if (!other->control)
        continue;
      other_end = wc_slopes_fleet_get_peer (other, node->index);
      if (peer->linked && !peer->wanted && !other_end->wanted)
        unlink_nodes (node, other);
      if (!peer->wanted || peer->linked || peer->down_pending || other_end->down_pending ||
          is_partitioned (node, other))
        continue;
      peer->linked = other_end->linked = true;
      wc_control_link_up (node->control, fleet->now_us, other->self.id, other->self.incarnation, other->self.domain);
      wc_control_link_up (other->control, fleet->now_us, node->self.id, node->self.incarnation, node->self.domain);
    }
  g_free (keys);
}

static uint64_t
get_cpu_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}
