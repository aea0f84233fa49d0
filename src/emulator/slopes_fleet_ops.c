#include "emulator/slopes_fleet.h"

enum
{
  LATENCY_US = 1000,
  LATENCY_CROSS_US = 4000,
  /* Request and response headers of HTTP and of its packets, counted for each read. */
  READ_BYTES = 300
};

static WcSlopesNode *find_node (WcSlopesFleet *fleet, uint64_t id);
static void          count_read (WcSlopesNode *node);

static void op_connect (void *user_data, const WcMember *member);
static void op_disconnect (void *user_data, uint64_t id);
static bool op_send (void *user_data, uint64_t id, Wc__PeerFrame *frame);
static void op_read_head (void *user_data, uint64_t after, uint32_t wait_ms);
static void op_cancel_head (void *user_data);
static void op_read_part (void *user_data, const char *key);
static void op_read_list (void *user_data);
static void op_publish (void *user_data, WcView *view);
static void op_record (void *user_data, const WcEvent *event);
static bool op_workers_idle (void *user_data);
static void op_stop (void *user_data);

const WcControlOps WC_SLOPES_FLEET_OPS = {
  .connect = op_connect,
  .disconnect = op_disconnect,
  .send = op_send,
  .read_head = op_read_head,
  .cancel_head = op_cancel_head,
  .read_part = op_read_part,
  .read_list = op_read_list,
  .publish = op_publish,
  .record = op_record,
  .workers_idle = op_workers_idle,
  .stop = op_stop,
};

/* local functions */

static WcSlopesNode *
find_node (WcSlopesFleet *fleet, uint64_t id)
{
  return g_hash_table_lookup (fleet->by_id, &id);
}

static void
count_read (WcSlopesNode *node)
{
  WcSlopesFleet *fleet = node->fleet;
  uint64_t       second = fleet->now_us / 1000000;

  if (second != fleet->second)
    fleet->reads_in_s = 0;
  fleet->second = second;
  fleet->reads++;
  fleet->reads_in_s++;
  fleet->most_reads_in_s = MAX (fleet->most_reads_in_s, fleet->reads_in_s);
  node->platform_bytes += READ_BYTES;
}

static void
op_connect (void *user_data, const WcMember *member)
{
  WcSlopesNode *node = user_data;
  WcSlopesNode *other = find_node (node->fleet, member->id);

  if (other && other != node)
    wc_slopes_fleet_get_peer (node, other->index)->wanted = true;
}

static void
op_disconnect (void *user_data, uint64_t id)
{
  WcSlopesNode *node = user_data;
  WcSlopesNode *other = find_node (node->fleet, id);

  if (other)
    wc_slopes_fleet_get_peer (node, other->index)->wanted = false;
}

static bool
op_send (void *user_data, uint64_t id, Wc__PeerFrame *frame)
{
  WcSlopesNode       *node = user_data;
  WcSlopesNode       *other = find_node (node->fleet, id);
  const WcSlopesPeer *peer = other ? g_hash_table_lookup (node->peers, GUINT_TO_POINTER (other->index)) : NULL;
  uint8_t             mac[16] = { 0 };
  WcSlopesFrame      *sent;

  if (!peer || !peer->linked)
    return false;
  /* Size as on a link, which sets sequence number, logical clock and MAC. */
  frame->sequence = 100000;
  frame->logical = 10000000;
  frame->mac.data = mac;
  frame->mac.len = sizeof mac;
  sent = g_new0 (WcSlopesFrame, 1);
  sent->size_bytes = wc__peer_frame__get_packed_size (frame);
  sent->packed = g_malloc (sent->size_bytes);
  wc__peer_frame__pack (frame, sent->packed);
  frame->mac.len = 0;
  sent->from = node->index;
  sent->incarnation = node->self.incarnation;
  sent->due_us = node->fleet->now_us + (node->domain == other->domain ? LATENCY_US : LATENCY_CROSS_US);
  node->sent += sent->size_bytes + WC_SLOPES_FRAME_OVERHEAD_BYTES;
  g_queue_push_tail (other->inbox, sent);
  return true;
}

static void
op_read_head (void *user_data, uint64_t after, uint32_t wait_ms)
{
  WcSlopesNode *node = user_data;

  node->head_read_pending = true;
  node->head_after_version = after;
  node->head_deadline_us = node->fleet->now_us + (uint64_t)wait_ms * 1000;
  count_read (node);
}

static void
op_cancel_head (void *user_data)
{
  ((WcSlopesNode *)user_data)->head_read_pending = false;
}

static void
op_read_part (void *user_data, const char *key)
{
  WcSlopesNode *node = user_data;

  g_free (node->part_read_key);
  node->part_read_key = g_strdup (key);
  count_read (node);
}

static void
op_read_list (void *user_data)
{
  WcSlopesNode *node = user_data;

  node->list_read_pending = true;
  count_read (node);
}

static void
op_publish (void *user_data, WcView *view)
{
  (void)user_data;
  (void)view;
}

static void
op_record (void *user_data, const WcEvent *event)
{
  (void)user_data;
  (void)event;
}

static bool
op_workers_idle (void *user_data)
{
  (void)user_data;
  return true;
}

static void
op_stop (void *user_data)
{
  (void)user_data;
}
