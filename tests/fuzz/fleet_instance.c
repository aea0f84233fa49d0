#include "fuzz/fleet.h"

#include <stdio.h>
#include <string.h>

#include <wigeoncart/name_id.h>

enum
{
  DRAIN_LIMIT_US = 30 * 1000 * 1000,
  CONTROL_TICK_US = 50 * 1000,
  LIST_LAG_US = 1000 * 1000
};

static void end_process (Fleet *fleet, FleetInstance *instance);
static void set_listed (FleetInstance *instance, bool listed, bool leaving);
static void node_send (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes);
static void node_relay (void *user_data, const WcAddress *worker, const uint8_t *data, size_t size_bytes);
static void node_dispatch (void *user_data, const WcAttempt *attempt);
static void node_cancel (void *user_data, uint64_t attempt_id);
static void control_connect (void *user_data, const WcMember *member);
static void control_disconnect (void *user_data, uint64_t peer);
static bool control_send (void *user_data, uint64_t peer, Wc__PeerFrame *frame);
static void control_read_head (void *user_data, uint64_t after, uint32_t wait_ms);
static void control_cancel_head (void *user_data);
static void control_read_part (void *user_data, const char *key);
static void control_read_list (void *user_data);
static void control_publish (void *user_data, WcView *view);
static void control_record (void *user_data, const WcEvent *event);
static bool control_workers_idle (void *user_data);
static void control_stop (void *user_data);

static const WcNodeOps NODE_OPS = {
  .send = node_send,
  .relay = node_relay,
  .dispatch = node_dispatch,
  .cancel = node_cancel,
};

static const WcControlOps CONTROL_OPS = {
  .connect = control_connect,
  .disconnect = control_disconnect,
  .send = control_send,
  .read_head = control_read_head,
  .cancel_head = control_cancel_head,
  .read_part = control_read_part,
  .read_list = control_read_list,
  .publish = control_publish,
  .record = control_record,
  .workers_idle = control_workers_idle,
  .stop = control_stop,
};

void
fleet_instance_start (Fleet *fleet, uint32_t index)
{
  FleetInstance  *instance = &fleet->instances[index];
  WcNodeConfig    node;
  WcControlConfig control;

  memset (instance, 0, offsetof (FleetInstance, listed));
  instance->fleet = fleet;
  instance->index = index;
  instance->domain = index % FLEET_DOMAINS;
  g_snprintf (instance->name, sizeof instance->name, "entry-%u", index);
  instance->id = wc_name_id64 (instance->name);
  instance->incarnation = (uint64_t)g_rand_int (fleet->random) << 32 | (g_rand_int (fleet->random) | 1);
  instance->address = (WcAddress){ .ip = { 10, 0, 0, (uint8_t)(index + 1) }, .family = 4, .port = 7100 };
  instance->counters = g_new0 (WcCounters, 1);
  /* Monotonic clocks of different machines are unrelated. */
  instance->offset_us = (uint64_t)g_rand_int_range (fleet->random, 0, 1000) * 1000 * 1000;

  wc_node_config_init (&node);
  node.instance = instance->id;
  node.incarnation = instance->incarnation;
  node.domain = wc_name_id32 (FLEET_DOMAIN_NAMES[instance->domain]);
  node.requests_max = 32;
  node.queue_max_requests = 16;
  node.ledger_max_entries = 32;
  node.answers_max = 64;
  node.answers_max_bytes = 1 << 20;
  node.stream_max_waiters = 16;
  node.seed = g_rand_int (fleet->random);
  node.nonce_prefix = (uint64_t)g_rand_int (fleet->random) << 32 | g_rand_int (fleet->random);
  instance->node = wc_node_new (&node, &NODE_OPS, instance, instance->counters);

  wc_control_config_init (&control);
  control.self = (WcMember){
    .id = instance->id,
    .incarnation = instance->incarnation,
    .domain = node.domain,
    .workers = 1,
    .state = WC_MEMBER_LIVE,
    .address = instance->address,
  };
  control.seed = g_rand_int (fleet->random);
  instance->control = wc_control_new (&control, &CONTROL_OPS, instance, instance->counters);
  instance->running = true;
  instance->started_us = fleet->now_us;
  set_listed (instance, true, false);
  oracle_instance_started (fleet->oracle, fleet->now_us, index, instance->domain, false);
  wc_control_start (instance->control, fleet_instance_now (instance));
}

void
fleet_instance_kill (Fleet *fleet, uint32_t index)
{
  end_process (fleet, &fleet->instances[index]);
}

void
fleet_instance_stop (Fleet *fleet, uint32_t index)
{
  FleetInstance *instance = &fleet->instances[index];

  oracle_stop_requested (fleet->oracle, fleet->now_us);
  instance->draining = true;
  instance->started_us = fleet->now_us;
  set_listed (instance, true, true);
  wc_control_terminate (instance->control, fleet_instance_now (instance));
}

void
fleet_instance_pause (Fleet *fleet, uint32_t index)
{
  fleet->instances[index].paused = true;
  oracle_instance_ended (fleet->oracle, index);
}

void
fleet_instance_resume (Fleet *fleet, uint32_t index)
{
  FleetInstance *instance = &fleet->instances[index];

  instance->paused = false;
  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    if (instance->link_lost[i])
      {
        instance->link_lost[i] = false;
        wc_control_link_down (instance->control, fleet_instance_now (instance), fleet->instances[i].id);
      }
  oracle_instance_started (fleet->oracle, fleet->now_us, index, instance->domain, true);
}

void
fleet_instance_step (Fleet *fleet, FleetInstance *instance)
{
  uint64_t          now_us = fleet_instance_now (instance);
  const WcConfigId *id;
  uint64_t          digest;

  wc_node_set_wall_clock (instance->node, 1700000000 + fleet->now_us / 1000000);
  wc_node_tick (instance->node, now_us);
  if (fleet->now_us / FLEET_STEP_US % (CONTROL_TICK_US / FLEET_STEP_US) == 0)
    wc_control_tick (instance->control, now_us);
  id = wc_config_store_get_id (wc_control_get_store (instance->control));
  memcpy (&digest, id->digest, sizeof digest);
  oracle_instance_state (fleet->oracle, fleet->now_us, instance->index,
                         instance->lifecycle == WC_LIFECYCLE_SERVING || instance->lifecycle == WC_LIFECYCLE_DRAINING,
                         id->revision, digest);
  if (!instance->stopped)
    return;
  fleet_log (fleet, "%s has stopped", instance->name);
  if (instance->draining && fleet->now_us < instance->started_us + DRAIN_LIMIT_US)
    oracle_stopped (fleet->oracle, instance->index, fleet_count_runs (fleet, instance));
  end_process (fleet, instance);
}

uint64_t
fleet_instance_now (const FleetInstance *instance)
{
  return instance->fleet->now_us + instance->offset_us;
}

uint32_t
fleet_count_serving (const Fleet *fleet, uint32_t domain)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    {
      const FleetInstance *instance = &fleet->instances[i];

      if (instance->running && !instance->paused && !instance->draining && instance->domain == domain &&
          instance->lifecycle == WC_LIFECYCLE_SERVING && fleet->now_us > instance->started_us + 4 * 1000 * 1000)
        count++;
    }
  return count;
}

/* local functions */

static void
end_process (Fleet *fleet, FleetInstance *instance)
{
  oracle_instance_ended (fleet->oracle, instance->index);
  fleet_attempts_discard (fleet, instance);
  instance->running = false;
  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    {
      instance->link_wanted[i] = false;
      fleet_close_link (fleet, instance->index, i);
    }
  set_listed (instance, false, false);
  wc_control_delete (instance->control);
  wc_node_delete (instance->node);
  g_free (instance->counters);
}

static void
set_listed (FleetInstance *instance, bool listed, bool leaving)
{
  instance->was_listed = instance->listed;
  instance->listed = listed;
  instance->listed_leaving = leaving;
  instance->list_changed_us = instance->fleet->now_us + LIST_LAG_US;
}

static void
node_send (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes)
{
  FleetInstance *instance = user_data;
  uint32_t       index = caller->ip[3];

  if (index < FLEET_CALLERS)
    fleet_send (instance->fleet, FLEET_TO_CALLER, instance->index, index, caller, data, size_bytes);
}

static void
node_relay (void *user_data, const WcAddress *worker, const uint8_t *data, size_t size_bytes)
{
  FleetInstance *instance = user_data;

  g_assert (worker->port == 7100 && worker->ip[3] >= 1 && worker->ip[3] <= FLEET_INSTANCES);
  fleet_send (instance->fleet, FLEET_RELAY, instance->index, worker->ip[3] - 1u, NULL, data, size_bytes);
}

static void
node_dispatch (void *user_data, const WcAttempt *attempt)
{
  fleet_attempt_start (user_data, attempt);
}

static void
node_cancel (void *user_data, uint64_t attempt_id)
{
  fleet_attempt_cancel (user_data, attempt_id);
}

static uint32_t
find_peer (const Fleet *fleet, uint64_t id)
{
  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    if (fleet->instances[i].id == id)
      return i;
  g_assert_not_reached ();
}

static void
control_connect (void *user_data, const WcMember *member)
{
  FleetInstance *instance = user_data;

  instance->link_wanted[find_peer (instance->fleet, member->id)] = true;
}

static void
control_disconnect (void *user_data, uint64_t peer)
{
  FleetInstance *instance = user_data;

  instance->link_wanted[find_peer (instance->fleet, peer)] = false;
}

static bool
control_send (void *user_data, uint64_t peer, Wc__PeerFrame *frame)
{
  FleetInstance *instance = user_data;
  uint32_t       to = find_peer (instance->fleet, peer);
  uint8_t       *data;
  size_t         size_bytes;

  if (instance->fleet->trace && frame->kind != WC__PEER_FRAME__KIND__HEARTBEAT)
    fprintf (stderr, "%.3f %s: frame %d to entry-%u\n", fleet_get_elapsed_s (instance->fleet), instance->name,
             frame->kind, to);
  if (!instance->linked[to])
    return false;
  data = g_malloc (wc__peer_frame__get_packed_size (frame));
  size_bytes = wc__peer_frame__pack (frame, data);
  fleet_send (instance->fleet, FLEET_PEER_FRAME, instance->index, to, NULL, data, size_bytes);
  g_free (data);
  return true;
}

static void
control_read_head (void *user_data, uint64_t after, uint32_t wait_ms)
{
  FleetInstance *instance = user_data;

  if (instance->fleet->trace)
    fprintf (stderr, "%.3f %s: reads head after %d\n", fleet_get_elapsed_s (instance->fleet), instance->name,
             (int)after);
  instance->head_pending = true;
  instance->head_after_version = after;
  instance->head_issued_us = instance->fleet->now_us;
  instance->head_deadline_us = instance->fleet->now_us + wait_ms * 1000;
}

static void
control_cancel_head (void *user_data)
{
  FleetInstance *instance = user_data;

  instance->head_pending = false;
}

static void
control_read_part (void *user_data, const char *key)
{
  FleetInstance *instance = user_data;

  instance->part_key = g_intern_string (key);
  instance->part_issued_us = instance->fleet->now_us;
}

static void
control_read_list (void *user_data)
{
  FleetInstance *instance = user_data;

  instance->list_pending = true;
  instance->list_issued_us = instance->fleet->now_us;
}

static void
control_publish (void *user_data, WcView *view)
{
  FleetInstance *instance = user_data;

  if (instance->fleet->trace)
    fprintf (stderr, "%.3f %s: view %s, revision %d\n", fleet_get_elapsed_s (instance->fleet), instance->name,
             WC_LIFECYCLE_STRINGS[view->lifecycle], view->reg ? (int)wc_register_get_revision (view->reg) : 0);
  instance->lifecycle = view->lifecycle;
  wc_node_set_view (instance->node, fleet_instance_now (instance), view);
}

static void
control_record (void *user_data, const WcEvent *event)
{
  (void)user_data;
  (void)event;
}

static bool
control_workers_idle (void *user_data)
{
  FleetInstance *instance = user_data;

  return wc_node_is_idle (instance->node, fleet_instance_now (instance));
}

static void
control_stop (void *user_data)
{
  FleetInstance *instance = user_data;

  instance->stopped = true;
}
