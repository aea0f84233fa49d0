#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "core/mix.h"
#include "forward/forwarder.h"

/*
 * Simulates load beyond the capacity of the hosts in virtual time. Like the operators' callers, the callers open a flow
 * for each request, retransmit openings and retry after rejections; hosts have two slots and a queue of sixteen
 * requests, and refuse requests beyond that. A full queue takes 200 ms, as on the hosts in the recorded runs.
 */

enum
{
  MS = 1000,
  HOSTS = 4,
  SLOTS = 2,
  QUEUE = 16,
  WORK_MS = 24,
  /* One-way delay between callers and instance or host. */
  DELAY_MS = 1,
  TARGET_MS = 150,
  LIMIT_MS = 2000,
  ATTEMPTS_MAX = 3,
  CALLS_MAX = 16384,
  ROUTE_IP = 0xc6120001,
  ROUTE_PORT = 443
};

typedef enum
{
  /* The caller sends or retransmits its opening. */
  SEND_OPENING,
  SEND_REQUEST,
  SEND_ACKNOWLEDGEMENT,
  /* The caller learns that an attempt has failed without running. */
  RECEIVE_REJECTION,
  RECEIVE_ANSWER,
  ARRIVE_AT_HOST,
  FINISH_WORK
} EventKind;

typedef struct
{
  uint32_t  at_ms;
  EventKind kind;
  uint32_t  call;
  uint32_t  attempt;
  uint32_t  argument;
} Event;

typedef struct
{
  uint32_t start_ms;
  uint32_t attempt;
  uint32_t opened_attempt;
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
  uint32_t     host_refusals;
  uint32_t     rejections;
} Simulation;

static void
add_event (Simulation *simulation, uint32_t delay_ms, EventKind kind, uint32_t call, uint32_t attempt,
           uint32_t argument)
{
  uint32_t at_ms = simulation->now_ms + delay_ms;
  Event   *event = g_new (Event, 1);

  *event = (Event){ at_ms, kind, call, attempt, argument };
  if (at_ms >= G_N_ELEMENTS (simulation->events))
    {
      g_free (event);
      return;
    }
  if (!simulation->events[at_ms])
    simulation->events[at_ms] = g_queue_new ();
  g_queue_push_tail (simulation->events[at_ms], event);
}

/* Each call has its own caller address, and each attempt its own port. */
static WcFlowKey
key_of (uint32_t call, uint32_t attempt)
{
  return (WcFlowKey){ 0x64400000 + call, ROUTE_IP, (uint16_t)(1000 + attempt), ROUTE_PORT };
}

static void
send_packet (Simulation *simulation, uint32_t call, uint32_t attempt, uint8_t flags, uint32_t acknowledged,
             uint16_t data_bytes)
{
  static uint8_t bytes[31 + 200];
  const WcHost  *host =
      wc_host_table_find (wc_forwarder_get_hosts (simulation->forwarder), simulation->calls[call].host);
  const WcPacket packet = {
    .key = key_of (call, attempt),
    .cookie = flags & WC_PACKET_SYN || !host ? 0 : host->cookie,
    .sequence = flags & WC_PACKET_SYN ? 1000 : 1001,
    .acknowledged = acknowledged,
    .data_bytes = data_bytes,
    .flags = flags,
    .size_bytes = (uint16_t)(31 + data_bytes),
    .bytes = bytes,
  };

  wc_forwarder_receive (simulation->forwarder, &packet, (uint64_t)simulation->now_ms * MS);
}

static void
start_attempt (Simulation *simulation, uint32_t call)
{
  static const uint32_t transmission_ms[] = { 0, 200, 600 };

  simulation->calls[call].attempt++;
  for (uint32_t copy = 0; copy < G_N_ELEMENTS (transmission_ms); copy++)
    add_event (simulation, transmission_ms[copy] + DELAY_MS, SEND_OPENING, call, simulation->calls[call].attempt, copy);
  add_event (simulation, 1400, RECEIVE_REJECTION, call, simulation->calls[call].attempt, 1);
}

/* Starts another attempt if the last one has failed without running. */
static void
retry_call (Simulation *simulation, uint32_t call, uint32_t attempt)
{
  const Call *state = &simulation->calls[call];

  if (state->is_done || state->attempt != attempt || attempt == ATTEMPTS_MAX ||
      simulation->now_ms - state->start_ms >= LIMIT_MS)
    return;
  start_attempt (simulation, call);
}

static void
run_at_host (Simulation *simulation, const Event *event)
{
  Host *host = &simulation->hosts[event->argument];

  if (host->running < SLOTS)
    {
      host->running++;
      add_event (simulation, WORK_MS, FINISH_WORK, event->call, event->attempt, event->argument);
      return;
    }
  if (host->waiting == QUEUE)
    {
      add_event (simulation, DELAY_MS, RECEIVE_REJECTION, event->call, event->attempt, 0);
      simulation->host_refusals++;
      return;
    }
  host->queue[host->waiting++] = *event;
}

static void
finish_work (Simulation *simulation, const Event *event)
{
  Host *host = &simulation->hosts[event->argument];

  host->running--;
  add_event (simulation, DELAY_MS, RECEIVE_ANSWER, event->call, event->attempt, event->argument);
  if (host->waiting > 0)
    {
      const Event next = host->queue[0];

      memmove (&host->queue[0], &host->queue[1], (QUEUE - 1) * sizeof host->queue[0]);
      host->waiting--;
      run_at_host (simulation, &next);
    }
}

static void
handle_event (Simulation *simulation, const Event *event)
{
  Call *call = &simulation->calls[event->call];

  switch (event->kind)
    {
    case SEND_OPENING:
      if (!call->is_done && call->attempt == event->attempt && call->opened_attempt != event->attempt)
        send_packet (simulation, event->call, event->attempt, WC_PACKET_SYN, event->argument, 0);
      break;
    case SEND_REQUEST:
      if (call->attempt != event->attempt || call->opened_attempt == event->attempt)
        break;
      call->opened_attempt = event->attempt;
      call->host = event->argument;
      send_packet (simulation, event->call, event->attempt, WC_PACKET_ACK, 5001, 200);
      break;
    case SEND_ACKNOWLEDGEMENT:
      send_packet (simulation, event->call, event->attempt, WC_PACKET_ACK | WC_PACKET_FIN, 7001, 0);
      break;
    case RECEIVE_REJECTION:
      /* The timeout of an opening that was answered is ignored. */
      if (event->argument == 1 && call->opened_attempt == event->attempt)
        break;
      if (call->opened_attempt == event->attempt)
        add_event (simulation, DELAY_MS, SEND_ACKNOWLEDGEMENT, event->call, event->attempt, 0);
      retry_call (simulation, event->call, event->attempt);
      break;
    case RECEIVE_ANSWER:
      call->is_done = true;
      call->in_time = simulation->now_ms - call->start_ms <= TARGET_MS;
      add_event (simulation, DELAY_MS, SEND_ACKNOWLEDGEMENT, event->call, event->attempt, 0);
      break;
    case ARRIVE_AT_HOST:
      run_at_host (simulation, event);
      break;
    case FINISH_WORK:
      finish_work (simulation, event);
      break;
    }
}

static void
forward (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie)
{
  Simulation *simulation = user_data;
  uint32_t    call = packet->key.caller_ip - 0x64400000;
  uint32_t    attempt = packet->key.caller_port - 1000;

  (void)cookie;
  if (packet->flags & WC_PACKET_SYN)
    add_event (simulation, 2 * DELAY_MS, SEND_REQUEST, call, attempt, (uint32_t)host->record.id);
  else if (packet->data_bytes > 0)
    add_event (simulation, DELAY_MS, ARRIVE_AT_HOST, call, attempt, (uint32_t)host->record.id);
}

static void
reset (void *user_data, const WcFlowKey *key, uint32_t sequence)
{
  Simulation *simulation = user_data;

  (void)sequence;
  simulation->rejections++;
  add_event (simulation, DELAY_MS, RECEIVE_REJECTION, key->caller_ip - 0x64400000, key->caller_port - 1000, 0);
}

static void
decided (void *user_data, const WcDecision *decision)
{
  (void)user_data;
  (void)decision;
}

static void
ignore_time (void *user_data, uint64_t time_us)
{
  (void)user_data;
  (void)time_us;
}

static Simulation *
new_simulation (void)
{
  static const WcForwarderOps ops = { forward, reset, decided, ignore_time, ignore_time, NULL, NULL };
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
  Simulation   *simulation = g_new0 (Simulation, 1);

  simulation->now_ms = 1000;
  simulation->forwarder = wc_forwarder_new (&settings, &ops, simulation);
  wc_route_table_add (routes, &route);
  wc_forwarder_set_routes (simulation->forwarder, routes, MS);
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

      wc_forwarder_put_host (simulation->forwarder, &record, id, MS);
    }
  return simulation;
}

static void
finish_simulation (Simulation *simulation)
{
  for (size_t i = 0; i < G_N_ELEMENTS (simulation->events); i++)
    if (simulation->events[i])
      g_queue_free_full (simulation->events[i], g_free);
  wc_forwarder_delete (simulation->forwarder);
  g_free (simulation);
}

/* Runs for @span_ms with @calls_per_s new calls at pseudo-random times. */
static void
run (Simulation *simulation, uint32_t span_ms, uint32_t calls_per_s)
{
  uint32_t end_ms = simulation->now_ms + span_ms;

  for (; simulation->now_ms < end_ms; simulation->now_ms++)
    {
      uint64_t now_us = (uint64_t)simulation->now_ms * MS;
      uint32_t count = calls_per_s / 1000 + (wc_mix64 (simulation->now_ms) % 1000 < calls_per_s % 1000);

      for (uint32_t i = 0; i < count && simulation->call_count < CALLS_MAX; i++)
        {
          simulation->calls[simulation->call_count].start_ms = simulation->now_ms;
          start_attempt (simulation, simulation->call_count++);
        }
      for (Event *event; simulation->events[simulation->now_ms] &&
                         (event = g_queue_pop_head (simulation->events[simulation->now_ms])) != NULL;
           g_free (event))
        handle_event (simulation, event);
      if (now_us >= wc_forwarder_get_deadline_us (simulation->forwarder))
        wc_forwarder_run_timers (simulation->forwarder, now_us);
      if (simulation->now_ms % 100 == 0)
        wc_forwarder_tick (simulation->forwarder, now_us);
    }
}

/* Number of calls that started in a period and were answered in time. */
static uint32_t
count_in_time (const Simulation *simulation, uint32_t from_ms, uint32_t to_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < simulation->call_count; i++)
    if (simulation->calls[i].start_ms >= from_ms && simulation->calls[i].start_ms < to_ms)
      count += simulation->calls[i].in_time;
  return count;
}

/*
 * Two and a half times the capacity of the hosts, for four seconds. Guards against hosts that are busy with requests
 * that are already late, and whose refusals make their callers retry at once: in one run with such a load, requests
 * worth 0.32 of the capacity were answered in time. At least 0.8 of the capacity of these four seconds must be.
 */
START_TEST (overload_is_answered_in_time)
{
  Simulation    *simulation = new_simulation ();
  const uint32_t served_per_s = HOSTS * SLOTS * 1000 / WORK_MS;

  run (simulation, 4000, served_per_s * 5 / 2);
  run (simulation, 3000, 0);
  ck_assert_uint_ge (count_in_time (simulation, 1000, 5000) * 10, served_per_s * 4 * 8);
  finish_simulation (simulation);
}
END_TEST

/* Half of the capacity of the hosts. Guards against openings that are held or rejected without need. */
START_TEST (normal_load_is_not_held)
{
  Simulation    *simulation = new_simulation ();
  const uint32_t served_per_s = HOSTS * SLOTS * 1000 / WORK_MS;

  run (simulation, 4000, served_per_s / 2);
  run (simulation, 1000, 0);
  ck_assert_uint_eq (simulation->rejections, 0);
  ck_assert_uint_eq (simulation->host_refusals, 0);
  ck_assert_uint_ge (count_in_time (simulation, 1000, 5000) * 1000, simulation->call_count * 995);
  finish_simulation (simulation);
}
END_TEST

/* Guards against an overload that sustains itself after its callers are gone. */
START_TEST (overload_ends_with_its_cause)
{
  Simulation    *simulation = new_simulation ();
  const uint32_t served_per_s = HOSTS * SLOTS * 1000 / WORK_MS;
  uint32_t       calls;

  run (simulation, 2000, served_per_s * 4);
  run (simulation, 1500, served_per_s / 2);
  calls = simulation->call_count;
  run (simulation, 2000, served_per_s / 2);
  calls = simulation->call_count - calls;
  run (simulation, 1000, 0);
  ck_assert_uint_ge (count_in_time (simulation, 4500, 6500) * 100, calls * 95);
  finish_simulation (simulation);
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
