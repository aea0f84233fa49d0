#include "fuzz/fleet.h"

#include <stdio.h>

enum
{
  CALLER_LATENCY_US = 1000,
  LATENCY_US = 1000,
  CROSS_DOMAIN_LATENCY_US = 4000,
  UNASSIGNED = UINT32_MAX
};

static uint32_t      pick_instance (Fleet *fleet);
static bool          is_partitioned (const Fleet *fleet, uint32_t a, uint32_t b);
static FleetMessage *find_due (Fleet *fleet);
static void          trace_message (const Fleet *fleet, const FleetMessage *message);
static void          deliver_frame (Fleet *fleet, const FleetMessage *message);

void
fleet_send (Fleet *fleet, FleetMessageKind kind, uint32_t from, uint32_t to, const WcAddress *caller,
            const uint8_t *data, size_t size_bytes)
{
  FleetMessage *message = g_new0 (FleetMessage, 1);

  message->kind = kind;
  message->serial = ++fleet->serial;
  message->from = from;
  message->to = kind == FLEET_TO_INSTANCE ? UNASSIGNED : to;
  message->data = g_memdup2 (data, size_bytes);
  message->size_bytes = size_bytes;
  if (caller)
    message->caller = *caller;
  message->due_us = fleet->now_us + CALLER_LATENCY_US;
  if (kind == FLEET_RELAY || kind == FLEET_PEER_FRAME)
    message->due_us =
        fleet->now_us + (from % FLEET_DOMAINS == to % FLEET_DOMAINS ? LATENCY_US : CROSS_DOMAIN_LATENCY_US);
  if (kind == FLEET_PEER_FRAME)
    {
      message->link_id = fleet->instances[from].link_id[to];
      for (guint i = 0; i < fleet->messages->len; i++)
        {
          const FleetMessage *other = g_ptr_array_index (fleet->messages, i);

          if (other->kind == FLEET_PEER_FRAME && other->from == from && other->to == to)
            message->due_us = MAX (message->due_us, other->due_us);
        }
    }
  g_ptr_array_add (fleet->messages, message);
}

/* The fabric may deliver a caller's datagram to any running instance. */
void
fleet_deliver (Fleet *fleet, FleetMessage *message)
{
  FleetInstance *instance = NULL;
  uint64_t       now_us;

  if (message->kind == FLEET_TO_INSTANCE && message->to == UNASSIGNED)
    message->to = pick_instance (fleet);
  if (message->kind != FLEET_TO_CALLER && message->to != UNASSIGNED)
    instance = &fleet->instances[message->to];
  /* A paused process reads the datagram from its socket when it resumes. */
  if (instance && instance->running && instance->paused)
    {
      message->due_us = fleet->now_us;
      return;
    }
  for (guint i = 0; i < fleet->messages->len; i++)
    if (g_ptr_array_index (fleet->messages, i) == message)
      {
        g_ptr_array_steal_index (fleet->messages, i);
        break;
      }
  if (fleet->trace)
    trace_message (fleet, message);
  if (message->kind == FLEET_TO_CALLER)
    wc_client_receive (fleet->callers[message->to].client, fleet->now_us, message->data, message->size_bytes);
  else if (instance && instance->running)
    {
      now_us = fleet_instance_now (instance);
      if (message->kind == FLEET_TO_INSTANCE)
        wc_node_receive (instance->node, now_us, &message->caller, message->data, message->size_bytes);
      else if (is_partitioned (fleet, message->from, message->to))
        ;
      else if (message->kind == FLEET_RELAY)
        wc_node_receive_relay (instance->node, now_us, message->data, message->size_bytes);
      else
        deliver_frame (fleet, message);
    }
  fleet_message_free (message);
}

void
fleet_deliver_due (Fleet *fleet)
{
  FleetMessage *message;

  while ((message = find_due (fleet)) != NULL)
    fleet_deliver (fleet, message);
}

void
fleet_duplicate (Fleet *fleet, const FleetMessage *message)
{
  FleetMessage *copy = g_new (FleetMessage, 1);

  *copy = *message;
  copy->data = g_memdup2 (message->data, message->size_bytes);
  copy->serial = ++fleet->serial;
  if (copy->kind == FLEET_TO_INSTANCE)
    copy->to = UNASSIGNED;
  g_ptr_array_add (fleet->messages, copy);
}

/* Peer frames are sent over TCP, so the input reorders, duplicates and drops datagrams only. */
FleetMessage *
fleet_pick_datagram (Fleet *fleet, uint32_t number)
{
  uint32_t count = 0;

  for (guint i = 0; i < fleet->messages->len; i++)
    count += ((FleetMessage *)g_ptr_array_index (fleet->messages, i))->kind != FLEET_PEER_FRAME;
  if (count == 0)
    return NULL;
  number %= count;
  for (guint i = 0;; i++)
    {
      FleetMessage *message = g_ptr_array_index (fleet->messages, i);

      if (message->kind != FLEET_PEER_FRAME && number-- == 0)
        return message;
    }
}

void
fleet_drop (Fleet *fleet, FleetMessage *message)
{
  g_ptr_array_remove (fleet->messages, message);
}

void
fleet_links_step (Fleet *fleet)
{
  for (uint32_t a = 0; a < FLEET_INSTANCES; a++)
    for (uint32_t b = a + 1; b < FLEET_INSTANCES; b++)
      {
        FleetInstance *first = &fleet->instances[a];
        FleetInstance *second = &fleet->instances[b];
        bool link_wanted = first->running && second->running && (first->link_wanted[b] || second->link_wanted[a]);

        if (first->paused || second->paused)
          continue;
        if (first->linked[b] && (!link_wanted || is_partitioned (fleet, a, b)))
          fleet_close_link (fleet, a, b);
        else if (!first->linked[b] && link_wanted && !is_partitioned (fleet, a, b))
          {
            first->linked[b] = second->linked[a] = true;
            first->link_id[b] = second->link_id[a] = (uint32_t)++fleet->serial;
            wc_control_link_up (first->control, fleet_instance_now (first), second->id, second->incarnation,
                                wc_name_id32 (FLEET_DOMAIN_NAMES[second->domain]));
            wc_control_link_up (second->control, fleet_instance_now (second), first->id, first->incarnation,
                                wc_name_id32 (FLEET_DOMAIN_NAMES[first->domain]));
          }
      }
}

/* A paused process is notified of a closed link when it resumes; see fleet_instance_resume(). */
void
fleet_close_link (Fleet *fleet, uint32_t a, uint32_t b)
{
  FleetInstance *ends[2] = { &fleet->instances[a], &fleet->instances[b] };
  uint32_t       others[2] = { b, a };

  if (!ends[0]->linked[b])
    return;
  for (int i = 0; i < 2; i++)
    ends[i]->linked[others[i]] = false;
  for (int i = 0; i < 2; i++)
    if (ends[i]->paused)
      ends[i]->link_lost[others[i]] = true;
    else if (ends[i]->running)
      wc_control_link_down (ends[i]->control, fleet_instance_now (ends[i]), ends[1 - i]->id);
}

void
fleet_message_free (gpointer data)
{
  FleetMessage *message = data;

  g_free (message->data);
  g_free (message);
}

void
fleet_set_partition (Fleet *fleet, uint32_t a, uint32_t b, bool partitioned)
{
  bool all_reachable = !fleet->platform_down && fleet->stale_version == 0;

  fleet->partitioned[a][b] = fleet->partitioned[b][a] = partitioned;
  for (uint32_t i = 0; i <= FLEET_DOMAINS; i++)
    for (uint32_t j = 0; j <= FLEET_DOMAINS; j++)
      all_reachable = all_reachable && !fleet->partitioned[i][j];
  oracle_reachability_changed (fleet->oracle, fleet->now_us, all_reachable);
}

/* local functions */

static uint32_t
pick_instance (Fleet *fleet)
{
  uint32_t start = g_rand_int (fleet->random) % FLEET_INSTANCES;

  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    if (fleet->instances[(start + i) % FLEET_INSTANCES].running)
      return (start + i) % FLEET_INSTANCES;
  return UNASSIGNED;
}

static bool
is_partitioned (const Fleet *fleet, uint32_t a, uint32_t b)
{
  return fleet->partitioned[a % FLEET_DOMAINS][b % FLEET_DOMAINS];
}

static FleetMessage *
find_due (Fleet *fleet)
{
  FleetMessage *best = NULL;

  for (guint i = 0; i < fleet->messages->len; i++)
    {
      FleetMessage *message = g_ptr_array_index (fleet->messages, i);

      if (message->due_us > fleet->now_us ||
          (best &&
           (message->due_us > best->due_us || (message->due_us == best->due_us && message->serial > best->serial))))
        continue;
      if (message->kind != FLEET_TO_CALLER && message->to != UNASSIGNED && fleet->instances[message->to].running &&
          fleet->instances[message->to].paused)
        continue;
      best = message;
    }
  return best;
}

static void
trace_message (const Fleet *fleet, const FleetMessage *message)
{
  static const char *const CALLER_KINDS[] = { "none", "open", "request", "ticket", "order", "fetch", "poll", "cancel" };
  static const char *const INSTANCE_KINDS[] = { "none", "opened", "ticket issued", "result" };
  static const char *const RESULTS[] = { "", "done", "not run", "unknown", "busy", "invalid", "expired token" };

  if (message->kind == FLEET_TO_INSTANCE)
    {
      Wc__CallerPacket *packet = wc__caller_packet__unpack (NULL, message->size_bytes, message->data);

      fprintf (stderr, "%.3f caller %u to entry-%d: %s %08x attempt %u %s\n", fleet_get_elapsed_s (fleet),
               message->from, (int)message->to, CALLER_KINDS[packet->kind % 8], (uint32_t)packet->request_id,
               packet->attempt, packet->path);
      wc__caller_packet__free_unpacked (packet, NULL);
    }
  else if (message->kind == FLEET_RELAY)
    fprintf (stderr, "%.3f relay from entry-%u to entry-%u\n", fleet_get_elapsed_s (fleet), message->from, message->to);
  else if (message->kind == FLEET_TO_CALLER)
    {
      Wc__InstancePacket *packet = wc__instance_packet__unpack (NULL, message->size_bytes, message->data);

      fprintf (stderr, "%.3f entry-%u to caller %u: %s %s %08x part %u of %u %s\n", fleet_get_elapsed_s (fleet),
               message->from, message->to, INSTANCE_KINDS[packet->kind % 4], RESULTS[packet->result % 7],
               (uint32_t)packet->request_id, packet->part, packet->part_count, packet->reason);
      wc__instance_packet__free_unpacked (packet, NULL);
    }
}

static void
deliver_frame (Fleet *fleet, const FleetMessage *message)
{
  FleetInstance *instance = &fleet->instances[message->to];
  Wc__PeerFrame *frame;

  if (!instance->linked[message->from] || instance->link_id[message->from] != message->link_id)
    return;
  frame = wc__peer_frame__unpack (NULL, message->size_bytes, message->data);
  wc_control_receive (instance->control, fleet_instance_now (instance), fleet->instances[message->from].id, frame);
  wc__peer_frame__free_unpacked (frame, NULL);
}
