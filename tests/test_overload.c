#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "core/mix.h"
#include "forward/forwarder.h"

/*
 * Replays load beyond what hosts can serve, in virtual time: callers that open a flow for each request, send openings
 * again and come again after rejections as the operators' callers do, and hosts with two slots and a queue of sixteen
 * that reject what does not fit. A full queue takes 200 ms, which is what the hosts of the measured days took.
 */

enum
{
  MS = 1000,
  HOSTS = 4,
  SLOTS = 2,
  QUEUE = 16,
  WORK_MS = 24,
  /* One way, callers to instance or host. */
  DELAY_MS = 1,
  TARGET_MS = 150,
  LIMIT_MS = 2000,
  TRIES = 3,
  CALLS_MAX = 16384,
  ROUTE_IP = 0xc6120001,
  ROUTE_PORT = 443
};

typedef enum
{
  /* The caller sends its opening, or a copy of it. */
  SEND_OPENING,
  SEND_REQUEST,
  SEND_ACKNOWLEDGEMENT,
  /* The caller hears that a try has failed without running. */
  HEAR_REJECTION,
  HEAR_ANSWER,
  REACH_HOST,
  END_WORK
} EventKind;

typedef struct
{
  uint32_t  at_ms;
  EventKind kind;
  uint32_t  call;
  uint32_t  try;
  uint32_t  argument;
} Event;

typedef struct
{
  uint32_t start_ms;
  uint32_t try;
  uint32_t opened_try;
  uint64_t host;
  bool     is_done;
  bool     in_time;
} Call;

typedef struct
{
  uint32_t running;
  uint32_t waiting;
  Event    queue[QUEUE];
} Host;

typedef struct
{
  WcForwarder *forwarder;
  uint32_t     now_ms;
  Call         calls[CALLS_MAX];
  uint32_t     call_count;
  Host         hosts[HOSTS + 1];
  GQueue      *events[LIMIT_MS * 10];
  uint32_t     sheds;
  uint32_t     rejections;
} Replay;

static void
add_event (Replay *replay, uint32_t delay_ms, EventKind kind, uint32_t call, uint32_t try, uint32_t argument)
{
  uint32_t at_ms = replay->now_ms + delay_ms;
  Event   *event = g_new (Event, 1);

  *event = (Event){ at_ms, kind, call, try, argument };
  if (at_ms >= G_N_ELEMENTS (replay->events))
    {
      g_free (event);
      return;
    }
  if (!replay->events[at_ms])
    replay->events[at_ms] = g_queue_new ();
  g_queue_push_tail (replay->events[at_ms], event);
}

/* Each try has a caller's address of its own call and a port of its own. */
static WcFlowKey
key_of (uint32_t call, uint32_t try)
{
  return (WcFlowKey){ 0x64400000 + call, ROUTE_IP, (uint16_t)(1000 + try), ROUTE_PORT };
}

static void
send_packet (Replay *replay, uint32_t call, uint32_t try, uint8_t flags, uint32_t acknowledged, uint16_t data_bytes)
{
  static uint8_t bytes[31 + 200];
  const WcHost  *host = wc_host_table_find (wc_forwarder_get_hosts (replay->forwarder), replay->calls[call].host);
  const WcPacket packet = {
    .key = key_of (call, try),
    .cookie = flags & WC_PACKET_SYN || !host ? 0 : host->cookie,
    .sequence = flags & WC_PACKET_SYN ? 1000 : 1001,
    .acknowledged = acknowledged,
    .data_bytes = data_bytes,
    .flags = flags,
    .size_bytes = (uint16_t)(31 + data_bytes),
    .bytes = bytes,
  };

  wc_forwarder_receive (replay->forwarder, &packet, (uint64_t)replay->now_ms * MS);
}

static void
start_try (Replay *replay, uint32_t call)
{
  static const uint32_t copies_ms[] = { 0, 200, 600 };

  replay->calls[call].try++;
  for (uint32_t copy = 0; copy < G_N_ELEMENTS (copies_ms); copy++)
    add_event (replay, copies_ms[copy] + DELAY_MS, SEND_OPENING, call, replay->calls[call].try, copy);
  add_event (replay, 1400, HEAR_REJECTION, call, replay->calls[call].try, 1);
}

/* Another try, when the last one has failed and has not run. */
static void
try_again (Replay *replay, uint32_t call, uint32_t try)
{
  const Call *state = &replay->calls[call];

  if (state->is_done || state->try != try || try == TRIES || replay->now_ms - state->start_ms >= LIMIT_MS)
    return;
  start_try (replay, call);
}

static void
run_at_host (Replay *replay, const Event *event)
{
  Host *host = &replay->hosts[event->argument];

  if (host->running < SLOTS)
    {
      host->running++;
      add_event (replay, WORK_MS, END_WORK, event->call, event->try, event->argument);
      return;
    }
  if (host->waiting == QUEUE)
    {
      add_event (replay, DELAY_MS, HEAR_REJECTION, event->call, event->try, 0);
      replay->sheds++;
      return;
    }
  host->queue[host->waiting++] = *event;
}

static void
end_work (Replay *replay, const Event *event)
{
  Host *host = &replay->hosts[event->argument];

  host->running--;
  add_event (replay, DELAY_MS, HEAR_ANSWER, event->call, event->try, event->argument);
  if (host->waiting > 0)
    {
      const Event next = host->queue[0];

      memmove (&host->queue[0], &host->queue[1], (QUEUE - 1) * sizeof host->queue[0]);
      host->waiting--;
      run_at_host (replay, &next);
    }
}

static void
play (Replay *replay, const Event *event)
{
  Call *call = &replay->calls[event->call];

  switch (event->kind)
    {
    case SEND_OPENING:
      if (!call->is_done && call->try == event->try && call->opened_try != event->try)
        send_packet (replay, event->call, event->try, WC_PACKET_SYN, event->argument, 0);
      break;
    case SEND_REQUEST:
      if (call->try != event->try || call->opened_try == event->try)
        break;
      call->opened_try = event->try;
      call->host = event->argument;
      send_packet (replay, event->call, event->try, WC_PACKET_ACK, 5001, 200);
      break;
    case SEND_ACKNOWLEDGEMENT:
      send_packet (replay, event->call, event->try, WC_PACKET_ACK | WC_PACKET_FIN, 7001, 0);
      break;
    case HEAR_REJECTION:
      /* The end of an opening that was answered is none. */
      if (event->argument == 1 && call->opened_try == event->try)
        break;
      if (call->opened_try == event->try)
        add_event (replay, DELAY_MS, SEND_ACKNOWLEDGEMENT, event->call, event->try, 0);
      try_again (replay, event->call, event->try);
      break;
    case HEAR_ANSWER:
      call->is_done = true;
      call->in_time = replay->now_ms - call->start_ms <= TARGET_MS;
      add_event (replay, DELAY_MS, SEND_ACKNOWLEDGEMENT, event->call, event->try, 0);
      break;
    case REACH_HOST:
      run_at_host (replay, event);
      break;
    case END_WORK:
      end_work (replay, event);
      break;
    }
}

static void
forward (void *user_data, const WcPacket *packet, const WcHost *host)
{
  Replay  *replay = user_data;
  uint32_t call = packet->key.caller_ip - 0x64400000;
  uint32_t try = packet->key.caller_port - 1000;

  if (packet->flags & WC_PACKET_SYN)
    add_event (replay, 2 * DELAY_MS, SEND_REQUEST, call, try, (uint32_t)host->record.id);
  else if (packet->data_bytes > 0)
    add_event (replay, DELAY_MS, REACH_HOST, call, try, (uint32_t)host->record.id);
}

static void
reset (void *user_data, const WcFlowKey *key, uint32_t sequence)
{
  Replay *replay = user_data;

  (void)sequence;
  replay->rejections++;
  add_event (replay, DELAY_MS, HEAR_REJECTION, key->caller_ip - 0x64400000, key->caller_port - 1000, 0);
}

static void
decided (void *user_data, const WcDecision *decision)
{
  (void)user_data;
  (void)decision;
}

static void
timed (void *user_data, uint64_t time_us)
{
  (void)user_data;
  (void)time_us;
}

static Replay *
new_replay (void)
{
  static const WcForwarderOps ops = { forward, reset, decided, timed, timed };
  const WcForwarderSettings   settings = {
      .domain = g_quark_from_string ("a"),
      .incarnation = 1,
      .max_flows = 4096,
      .flow_lifetime_us = 60 * 1000 * 1000,
  };
  const WcRoute route = {
    .ip = ROUTE_IP,
    .port = ROUTE_PORT,
    .kind = WC_TRAFFIC_IDEMPOTENT,
    .target_latency_ms = TARGET_MS,
    .time_limit_ms = LIMIT_MS,
    .service_count = 1,
    .services = { { g_quark_from_string ("desk"), 1 } },
  };
  WcRouteTable *routes = wc_route_table_new (1);
  Replay       *replay = g_new0 (Replay, 1);

  replay->now_ms = 1000;
  replay->forwarder = wc_forwarder_new (&settings, &ops, replay);
  wc_route_table_add (routes, &route);
  wc_forwarder_set_routes (replay->forwarder, routes, MS);
  for (uint64_t id = 1; id <= HOSTS; id++)
    {
      const WcHostRecord record = {
        .id = id,
        .service = g_quark_from_string ("desk"),
        .domain = g_quark_from_string ("a"),
        .address = { .ip = { 10, 1, 0, (uint8_t)id }, .family = 4, .port = 8080 },
        .state = WC_HOST_READY,
        .slots = SLOTS,
      };

      wc_forwarder_put_host (replay->forwarder, &record, id, MS);
    }
  return replay;
}

static void
finish_replay (Replay *replay)
{
  for (size_t i = 0; i < G_N_ELEMENTS (replay->events); i++)
    if (replay->events[i])
      g_queue_free_full (replay->events[i], g_free);
  wc_forwarder_delete (replay->forwarder);
  g_free (replay);
}

/* Lets @span_ms pass, with @calls_per_s new calls whose times are drawn. */
static void
run (Replay *replay, uint32_t span_ms, uint32_t calls_per_s)
{
  uint32_t end_ms = replay->now_ms + span_ms;

  for (; replay->now_ms < end_ms; replay->now_ms++)
    {
      uint64_t now_us = (uint64_t)replay->now_ms * MS;
      uint32_t count = calls_per_s / 1000 + (wc_mix64 (replay->now_ms) % 1000 < calls_per_s % 1000);

      for (uint32_t i = 0; i < count && replay->call_count < CALLS_MAX; i++)
        {
          replay->calls[replay->call_count].start_ms = replay->now_ms;
          start_try (replay, replay->call_count++);
        }
      for (Event *event;
           replay->events[replay->now_ms] && (event = g_queue_pop_head (replay->events[replay->now_ms])) != NULL;
           g_free (event))
        play (replay, event);
      if (now_us >= wc_forwarder_get_deadline_us (replay->forwarder))
        wc_forwarder_run_timers (replay->forwarder, now_us);
      if (replay->now_ms % 100 == 0)
        wc_forwarder_tick (replay->forwarder, now_us);
    }
}

/* Share of the calls that began in a span of time and were answered in time. */
static uint32_t
count_in_time (const Replay *replay, uint32_t from_ms, uint32_t to_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < replay->call_count; i++)
    if (replay->calls[i].start_ms >= from_ms && replay->calls[i].start_ms < to_ms)
      count += replay->calls[i].in_time;
  return count;
}

/*
 * Two and a half times what the hosts can serve, for four seconds. Guards against hosts that are kept busy with
 * requests which are late already, and whose rejections bring their callers back at once: on one measured day with such
 * a load 0.32 of what the hosts could run was answered in time. Of eight tenths of what they can run in these four
 * seconds each must be answered in time.
 */
START_TEST (overload_is_answered_in_time)
{
  Replay        *replay = new_replay ();
  const uint32_t served_per_s = HOSTS * SLOTS * 1000 / WORK_MS;

  run (replay, 4000, served_per_s * 5 / 2);
  run (replay, 3000, 0);
  ck_assert_uint_ge (count_in_time (replay, 1000, 5000) * 10, served_per_s * 4 * 8);
  finish_replay (replay);
}
END_TEST

/* Half of what the hosts can serve: guards against openings that are held or rejected for nothing. */
START_TEST (normal_load_is_not_held)
{
  Replay        *replay = new_replay ();
  const uint32_t served_per_s = HOSTS * SLOTS * 1000 / WORK_MS;

  run (replay, 4000, served_per_s / 2);
  run (replay, 1000, 0);
  ck_assert_uint_eq (replay->rejections, 0);
  ck_assert_uint_eq (replay->sheds, 0);
  ck_assert_uint_ge (count_in_time (replay, 1000, 5000) * 1000, replay->call_count * 995);
  finish_replay (replay);
}
END_TEST

/* Guards against an overload that goes on by itself after its callers are gone. */
START_TEST (overload_ends_with_its_cause)
{
  Replay        *replay = new_replay ();
  const uint32_t served_per_s = HOSTS * SLOTS * 1000 / WORK_MS;
  uint32_t       calls;

  run (replay, 2000, served_per_s * 4);
  run (replay, 1500, served_per_s / 2);
  calls = replay->call_count;
  run (replay, 2000, served_per_s / 2);
  calls = replay->call_count - calls;
  run (replay, 1000, 0);
  ck_assert_uint_ge (count_in_time (replay, 4500, 6500) * 100, calls * 95);
  finish_replay (replay);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, overload_is_answered_in_time);
  tcase_add_test (tests, normal_load_is_not_held);
  tcase_add_test (tests, overload_ends_with_its_cause);
}

int
main (void)
{
  return wc_test_run ("overload", add_tests);
}
