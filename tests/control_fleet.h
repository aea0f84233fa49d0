#ifndef WC_TESTS_CONTROL_FLEET_H
#define WC_TESTS_CONTROL_FLEET_H

/*
 * Simulated fleet of WcControl instances in one process, with a virtual clock, links that can be cut, and platforms
 * that can be down and can publish different revisions. Checks at each published view that the instance's configuration
 * has not reverted to an older revision within one incarnation, and that a view in state SERVING has a register and
 * keys.
 */

#include <check.h>
#include <stdio.h>
#include <string.h>

#include <wigeoncart/name_id.h>

#include "core/config_head.h"
#include "core/control.h"

enum
{
  FLEET_MAX_NODES = 260,
  FLEET_MAX_PLATFORMS = 2,
  FLEET_STEP_US = 10000,
  FLEET_LATENCY_US = 1000,
  /* TCP and IP headers with timestamps, which are added to the size of each frame. */
  FLEET_HEADER_BYTES = 52
};

#define FLEET_SECRET "Zf3LfJf+QNXEZFyAInvxAYjIUPnc1NnQ9j7C6JxA4Ik="

typedef struct ControlFleet ControlFleet;

typedef struct
{
  ControlFleet *fleet;
  guint         index;
  char          name[24];
  char          domain[24];
  guint         platform;
  WcMember      self;
  WcControl    *control;
  WcCounters    counters;
  bool          running;
  bool          paused;
  bool          stopped;
  bool          workers_idle;
  bool          linked[FLEET_MAX_NODES];
  bool          desired[FLEET_MAX_NODES];
  bool          cut[FLEET_MAX_NODES];
  bool          down_pending[FLEET_MAX_NODES];
  bool          cut_platform;
  GQueue       *inbox;
  bool          head_requested;
  uint64_t      head_after;
  uint64_t      head_deadline_us;
  char         *part_requested;
  bool          list_requested;
  WcConfigId    published_id;
  WcLifecycle   published;
  bool          published_states[WC_LIFECYCLE_COUNT];
  uint32_t      view_count;
  uint64_t      bytes_sent;
  uint64_t      head_reads;
} FleetNode;

typedef struct
{
  bool        up;
  uint64_t    version;
  char       *head;
  GHashTable *parts;
} FleetPlatform;

typedef struct
{
  guint    from;
  uint64_t incarnation;
  uint64_t due_us;
  GBytes  *bytes;
} FleetFrame;

struct ControlFleet
{
  FleetNode     nodes[FLEET_MAX_NODES];
  guint         count;
  uint64_t      now_us;
  uint64_t      step_us;
  GRand        *random;
  FleetPlatform platforms[FLEET_MAX_PLATFORMS];
  uint64_t      incarnations;
  bool          drop_heartbeats;
  bool          drop_config;
};

static void
fleet_frame_free (gpointer data)
{
  FleetFrame *frame = data;

  g_bytes_unref (frame->bytes);
  g_free (frame);
}

static FleetNode *
fleet_find (ControlFleet *fleet, uint64_t id)
{
  for (guint i = 0; i < fleet->count; i++)
    if (fleet->nodes[i].self.id == id)
      return &fleet->nodes[i];
  return NULL;
}

static void
fleet_op_connect (void *user_data, const WcMember *member)
{
  FleetNode *node = user_data;
  FleetNode *peer = fleet_find (node->fleet, member->id);

  if (peer)
    node->desired[peer->index] = true;
}

static void
fleet_op_disconnect (void *user_data, uint64_t id)
{
  FleetNode *node = user_data;
  FleetNode *peer = fleet_find (node->fleet, id);

  if (peer)
    node->desired[peer->index] = false;
}

static bool
fleet_op_send (void *user_data, uint64_t id, Wc__PeerFrame *frame)
{
  FleetNode  *node = user_data;
  FleetNode  *peer = fleet_find (node->fleet, id);
  FleetFrame *sent;
  uint8_t    *packed;
  size_t      size_bytes;
  uint8_t     mac[16] = { 0 };

  if (!peer || !node->linked[peer->index])
    return false;
  if (node->fleet->drop_heartbeats && frame->kind == WC__PEER_FRAME__KIND__HEARTBEAT)
    return true;
  if (node->fleet->drop_config &&
      (frame->kind == WC__PEER_FRAME__KIND__CONFIG_HEAD || frame->kind == WC__PEER_FRAME__KIND__CONFIG_PART))
    return true;
  /* Sets the fields that a real link sets, to large values, so that the frame has a realistic size. */
  frame->sequence = 100000;
  frame->logical = 10000000;
  frame->mac.data = mac;
  frame->mac.len = sizeof mac;
  size_bytes = wc__peer_frame__get_packed_size (frame);
  packed = g_malloc (size_bytes);
  wc__peer_frame__pack (frame, packed);
  frame->mac.len = 0;
  node->bytes_sent += size_bytes + 4 + FLEET_HEADER_BYTES;
  sent = g_new0 (FleetFrame, 1);
  sent->from = node->index;
  sent->incarnation = node->self.incarnation;
  sent->due_us = node->fleet->now_us + FLEET_LATENCY_US;
  sent->bytes = g_bytes_new_take (packed, size_bytes);
  g_queue_push_tail (peer->inbox, sent);
  return true;
}

static void
fleet_op_read_head (void *user_data, uint64_t after, uint32_t wait_ms)
{
  FleetNode *node = user_data;

  node->head_requested = true;
  node->head_after = after;
  node->head_deadline_us = node->fleet->now_us + (uint64_t)wait_ms * 1000;
  node->head_reads++;
}

static void
fleet_op_cancel_head (void *user_data)
{
  ((FleetNode *)user_data)->head_requested = false;
}

static void
fleet_op_read_part (void *user_data, const char *key)
{
  FleetNode *node = user_data;

  g_free (node->part_requested);
  node->part_requested = g_strdup (key);
}

static void
fleet_op_read_list (void *user_data)
{
  ((FleetNode *)user_data)->list_requested = true;
}

static void
fleet_op_publish (void *user_data, WcView *view)
{
  FleetNode        *node = user_data;
  const WcConfigId *id;

  if (!node->control)
    return;
  id = wc_config_store_get_id (wc_control_get_store (node->control));
  ck_assert_msg (wc_config_id_compare (id, &node->published_id) >= 0, "%s: the configuration reverted", node->name);
  if (view->lifecycle == WC_LIFECYCLE_SERVING)
    {
      ck_assert_ptr_nonnull (view->reg);
      ck_assert_ptr_nonnull (view->keyring);
    }
  node->published_id = *id;
  node->published = view->lifecycle;
  node->published_states[view->lifecycle] = true;
  node->view_count++;
}

static void
fleet_op_record (void *user_data, const WcEvent *event)
{
  (void)user_data;
  (void)event;
}

static bool
fleet_op_workers_idle (void *user_data)
{
  return ((FleetNode *)user_data)->workers_idle;
}

static void
fleet_op_stop (void *user_data)
{
  ((FleetNode *)user_data)->stopped = true;
}

static const WcControlOps FLEET_OPS = {
  .connect = fleet_op_connect,
  .disconnect = fleet_op_disconnect,
  .send = fleet_op_send,
  .read_head = fleet_op_read_head,
  .cancel_head = fleet_op_cancel_head,
  .read_part = fleet_op_read_part,
  .read_list = fleet_op_read_list,
  .publish = fleet_op_publish,
  .record = fleet_op_record,
  .workers_idle = fleet_op_workers_idle,
  .stop = fleet_op_stop,
};

static char *
fleet_digest (const char *text)
{
  uint8_t  digest[WC_DIGEST_BYTES];
  GString *hex = g_string_new (NULL);

  wc_config_digest (text, strlen (text), digest);
  for (size_t i = 0; i < sizeof digest; i++)
    g_string_append_printf (hex, "%02x", digest[i]);
  return g_string_free (hex, FALSE);
}

/* Publishes a register on the platform with the given index. Registers of one revision differ only in their
 * customer: its worth is @worth, and its name is invalid if @valid is false. */
static void
fleet_publish (ControlFleet *fleet, guint index, uint64_t revision, int worth, bool valid)
{
  FleetPlatform *platform = &fleet->platforms[index];
  const char    *base = "{\"domains\": [\"d1\", \"d2\"], \"services\": [{\"name\": \"s\"}], \"hosts\": [{\"name\": "
                        "\"h\", \"domain\": \"d1\", \"targets\": [{\"service\": \"s\", \"address\": \"127.0.0.1:9001\", "
                        "\"slots\": 2}]}], \"keys\": [{\"epoch\": 1, \"secret\": \"" FLEET_SECRET "\"}]}";
  char *customers = g_strdup_printf ("{\"customers\": [{\"name\": \"%s\", \"worth\": %d}]}", valid ? "c" : "", worth);
  char *base_digest = fleet_digest (base);
  char *customers_digest = fleet_digest (customers);

  g_hash_table_replace (platform->parts, g_strdup ("base"), g_strdup (base));
  g_hash_table_replace (platform->parts, g_strdup ("customers"), customers);
  g_free (platform->head);
  platform->head =
      g_strdup_printf ("{\"revision\": %" G_GUINT64_FORMAT ", \"parts\": [{\"key\": \"base\", \"digest\": \"%s\"}, "
                       "{\"key\": \"customers\", \"digest\": \"%s\"}]}",
                       revision, base_digest, customers_digest);
  platform->version++;
  g_free (base_digest);
  g_free (customers_digest);
}

/* Creates a fleet of @count nodes, distributed over @domains domains. No node is started. */
static ControlFleet *
fleet_new (guint count, guint domains, uint32_t seed)
{
  ControlFleet *fleet = g_new0 (ControlFleet, 1);

  ck_assert_uint_le (count, FLEET_MAX_NODES);
  fleet->count = count;
  fleet->now_us = 1000000;
  fleet->step_us = FLEET_STEP_US;
  fleet->random = g_rand_new_with_seed (seed);
  for (guint i = 0; i < FLEET_MAX_PLATFORMS; i++)
    {
      fleet->platforms[i].up = true;
      fleet->platforms[i].parts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
  for (guint i = 0; i < count; i++)
    {
      FleetNode *node = &fleet->nodes[i];

      node->fleet = fleet;
      node->index = i;
      g_snprintf (node->name, sizeof node->name, "node-%u", i);
      g_snprintf (node->domain, sizeof node->domain, "d%u", 1 + i % domains);
      node->self.id = wc_name_id64 (node->name);
      node->self.domain = wc_name_id32 (node->domain);
      node->self.workers = 2;
      node->self.state = WC_MEMBER_LIVE;
      node->self.address.family = 4;
      node->self.address.ip[0] = 127;
      node->self.address.ip[3] = 1;
      node->self.address.port = (uint16_t)(10000 + 10 * i);
      node->workers_idle = true;
      node->inbox = g_queue_new ();
    }
  return fleet;
}

static void
fleet_close_link (ControlFleet *fleet, guint a, guint b)
{
  FleetNode *left = &fleet->nodes[a];
  FleetNode *right = &fleet->nodes[b];

  if (!left->linked[b])
    return;
  left->linked[b] = false;
  right->linked[a] = false;
  left->down_pending[b] = true;
  right->down_pending[a] = true;
}

static void
fleet_kill (ControlFleet *fleet, guint index)
{
  FleetNode *node = &fleet->nodes[index];

  if (!node->running)
    return;
  node->running = false;
  for (guint i = 0; i < fleet->count; i++)
    fleet_close_link (fleet, index, i);
  wc_control_delete (node->control);
  node->control = NULL;
  memset (node->desired, 0, sizeof node->desired);
  memset (node->down_pending, 0, sizeof node->down_pending);
  g_queue_clear_full (node->inbox, fleet_frame_free);
  node->head_requested = false;
  node->list_requested = false;
  g_clear_pointer (&node->part_requested, g_free);
}

static void
fleet_start (ControlFleet *fleet, guint index)
{
  FleetNode      *node = &fleet->nodes[index];
  WcControlConfig config;

  ck_assert (!node->running);
  wc_control_config_init (&config);
  config.heartbeat_us = 250000;
  config.suspect_after_us = 1000000;
  config.seed = g_rand_int (fleet->random);
  node->self.incarnation = 1000 + ++fleet->incarnations;
  config.self = node->self;
  node->running = true;
  node->paused = false;
  node->stopped = false;
  memset (node->published_states, 0, sizeof node->published_states);
  memset (&node->published_id, 0, sizeof node->published_id);
  node->control = wc_control_new (&config, &FLEET_OPS, node, &node->counters);
  wc_control_start (node->control, fleet->now_us);
}

static void
fleet_delete (ControlFleet *fleet)
{
  for (guint i = 0; i < fleet->count; i++)
    {
      fleet_kill (fleet, i);
      g_queue_free_full (fleet->nodes[i].inbox, fleet_frame_free);
    }
  for (guint i = 0; i < FLEET_MAX_PLATFORMS; i++)
    {
      g_hash_table_destroy (fleet->platforms[i].parts);
      g_free (fleet->platforms[i].head);
    }
  g_rand_free (fleet->random);
  g_free (fleet);
}

static void
fleet_answer_reads (ControlFleet *fleet, FleetNode *node)
{
  FleetPlatform *platform = &fleet->platforms[node->platform];
  bool           up = platform->up && platform->head && !node->cut_platform;

  if (node->list_requested)
    {
      node->list_requested = false;
      if (up)
        {
          WcMember *members = g_new (WcMember, fleet->count);

          for (guint i = 0; i < fleet->count; i++)
            {
              members[i] = fleet->nodes[i].self;
              members[i].state = WC_MEMBER_LISTED;
              members[i].incarnation = 0;
            }
          wc_control_list_received (node->control, fleet->now_us, members, fleet->count, 120 * (size_t)fleet->count);
          g_free (members);
        }
      else
        wc_control_list_failed (node->control, fleet->now_us);
    }
  if (node->head_requested && !up)
    {
      node->head_requested = false;
      wc_control_head_failed (node->control, fleet->now_us);
    }
  else if (node->head_requested && (node->head_after == 0 || platform->version > node->head_after))
    {
      node->head_requested = false;
      wc_control_head_received (node->control, fleet->now_us, platform->version, platform->head,
                                strlen (platform->head));
    }
  else if (node->head_requested && fleet->now_us >= node->head_deadline_us)
    {
      node->head_requested = false;
      wc_control_head_unchanged (node->control, fleet->now_us);
    }
  if (node->part_requested)
    {
      char       *key = g_steal_pointer (&node->part_requested);
      const char *part = up ? g_hash_table_lookup (platform->parts, key) : NULL;

      if (part)
        wc_control_part_received (node->control, fleet->now_us, part, strlen (part));
      else
        wc_control_part_failed (node->control, fleet->now_us);
      g_free (key);
    }
}

static void
fleet_deliver (ControlFleet *fleet, FleetNode *node)
{
  FleetFrame *frame;

  while ((frame = g_queue_peek_head (node->inbox)) && frame->due_us <= fleet->now_us)
    {
      FleetNode     *sender = &fleet->nodes[frame->from];
      gsize          size_bytes;
      const uint8_t *data = g_bytes_get_data (frame->bytes, &size_bytes);
      Wc__PeerFrame *message = wc__peer_frame__unpack (NULL, size_bytes, data);

      g_queue_pop_head (node->inbox);
      ck_assert_ptr_nonnull (message);
      if (node->linked[frame->from] && sender->self.incarnation == frame->incarnation)
        wc_control_receive (node->control, fleet->now_us, sender->self.id, message);
      wc__peer_frame__free_unpacked (message, NULL);
      fleet_frame_free (frame);
    }
}

static void
fleet_connect (ControlFleet *fleet, FleetNode *node)
{
  for (guint i = 0; i < fleet->count; i++)
    {
      FleetNode *peer = &fleet->nodes[i];

      if (!node->desired[i] || node->linked[i] || !peer->running || peer->paused || node->down_pending[i] ||
          peer->down_pending[node->index] || node->cut[i] || peer->cut[node->index])
        continue;
      node->linked[i] = true;
      peer->linked[node->index] = true;
      wc_control_link_up (node->control, fleet->now_us, peer->self.id, peer->self.incarnation, peer->self.domain);
      wc_control_link_up (peer->control, fleet->now_us, node->self.id, node->self.incarnation, node->self.domain);
    }
}

static void
fleet_step (ControlFleet *fleet)
{
  fleet->now_us += fleet->step_us;
  for (guint i = 0; i < fleet->count; i++)
    {
      FleetNode *node = &fleet->nodes[i];

      if (!node->running || node->paused)
        continue;
      for (guint j = 0; j < fleet->count; j++)
        if (node->down_pending[j])
          {
            node->down_pending[j] = false;
            wc_control_link_down (node->control, fleet->now_us, fleet->nodes[j].self.id);
          }
      fleet_deliver (fleet, node);
      fleet_answer_reads (fleet, node);
      wc_control_tick (node->control, fleet->now_us);
      fleet_connect (fleet, node);
      for (guint j = 0; j < fleet->count; j++)
        if (node->linked[j] && !node->desired[j] && !fleet->nodes[j].desired[i])
          fleet_close_link (fleet, i, j);
      if (node->stopped)
        fleet_kill (fleet, i);
    }
}

static void
fleet_run (ControlFleet *fleet, uint64_t duration_ms)
{
  uint64_t end_us = fleet->now_us + duration_ms * 1000;

  while (fleet->now_us < end_us)
    fleet_step (fleet);
}

/* Cuts or restores the network between two nodes, in both directions. A cut closes the link at once, and the nodes are
 * notified in their next step; after the network is restored, the link is opened again if a node wants it. */
static void
fleet_cut (ControlFleet *fleet, guint a, guint b, bool cut)
{
  fleet->nodes[a].cut[b] = cut;
  fleet->nodes[b].cut[a] = cut;
  if (cut)
    fleet_close_link (fleet, a, b);
}

static void
fleet_isolate (ControlFleet *fleet, guint index, bool cut)
{
  for (guint i = 0; i < fleet->count; i++)
    if (i != index)
      fleet_cut (fleet, index, i, cut);
  fleet->nodes[index].cut_platform = cut;
}

static const WcConfigId *
fleet_id (ControlFleet *fleet, guint index)
{
  return wc_config_store_get_id (wc_control_get_store (fleet->nodes[index].control));
}

static WcLifecycle
fleet_lifecycle (ControlFleet *fleet, guint index)
{
  return wc_control_get_lifecycle (fleet->nodes[index].control);
}

static WcMemberState
fleet_member_state (ControlFleet *fleet, guint observer, guint index)
{
  WcMemberTable  *table = wc_control_snapshot_members (fleet->nodes[observer].control);
  const WcMember *member = wc_member_table_find (table, fleet->nodes[index].self.id);
  WcMemberState   state = member ? member->state : WC_MEMBER_COUNT;

  wc_member_table_unref (table);
  return state;
}

/* Starts all nodes and checks that they serve after 5 s. */
static void
fleet_start_all (ControlFleet *fleet)
{
  for (guint i = 0; i < fleet->count; i++)
    fleet_start (fleet, i);
  fleet_run (fleet, 5000);
  for (guint i = 0; i < fleet->count; i++)
    ck_assert_msg (fleet_lifecycle (fleet, i) == WC_LIFECYCLE_SERVING, "node %u does not serve", i);
}

static void
fleet_assert_revision (ControlFleet *fleet, uint64_t revision)
{
  for (guint i = 0; i < fleet->count; i++)
    if (fleet->nodes[i].running)
      ck_assert_msg (fleet_id (fleet, i)->revision == revision, "node %u has revision %" G_GUINT64_FORMAT, i,
                     fleet_id (fleet, i)->revision);
}

#endif
