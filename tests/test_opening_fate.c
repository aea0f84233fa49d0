#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "forward/forwarder.h"

/*
 * Random sequences of openings, answers, silence and changes of hosts and routes, with fixed seeds, against an oracle:
 * each opening is forwarded or reset, never both and never neither, and within the time after which its caller gives
 * up.
 */

enum
{
  MS = 1000,
  SEEDS = 60,
  STEPS = 3000,
  OPENINGS_MAX = STEPS * 8,
  HOSTS = 6,
  ROUTES = 4,
  ROUTE_IP = 0xc6120001,
  CALLER_IP = 0x64400000,
  HOLD_MAX_MS = 1200,
  /* Held openings are examined at intervals. */
  SLACK_MS = 20,
  HEADER_BYTES = 31
};

typedef struct
{
  uint64_t sent_us;
  uint64_t forwarded_us;
  uint64_t reset_us;
  uint32_t resets;
  uint32_t cookie;
} Opening;

typedef struct
{
  WcForwarder *forwarder;
  GRand       *random;
  uint64_t     now_us;
  uint32_t     count;
  Opening      openings[OPENINGS_MAX];
} Fuzz;

static Opening *
opening_of (Fuzz *fuzz, const WcFlowKey *key)
{
  uint32_t index = key->caller_ip - CALLER_IP;

  ck_assert_uint_lt (index, fuzz->count);
  return &fuzz->openings[index];
}

static void
forward (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie)
{
  Fuzz    *fuzz = user_data;
  Opening *opening = opening_of (fuzz, &packet->key);

  if (!(packet->flags & WC_PACKET_SYN))
    return;
  ck_assert_uint_eq (opening->resets, 0);
  ck_assert_int_ne (host->record.state, WC_HOST_DRAINING);
  if (opening->forwarded_us == 0)
    opening->forwarded_us = fuzz->now_us;
  /* Hosts answer at once, and the caller repeats the cookie that it received last. */
  opening->cookie = cookie;
}

static void
reset (void *user_data, const WcFlowKey *key, uint32_t sequence)
{
  Fuzz    *fuzz = user_data;
  Opening *opening = opening_of (fuzz, key);

  (void)sequence;
  opening->resets++;
  opening->reset_us = fuzz->now_us;
}

static void
decided (void *user_data, const WcDecision *decision)
{
  (void)user_data;
  ck_assert_uint_lt ((unsigned)decision->kind, WC_DECISION_COUNT);
}

static void
ignore_duration (void *user_data, uint64_t duration_us)
{
  (void)user_data;
  (void)duration_us;
}

/* Routes with ordinary, missing and absurd limits. */
static WcRouteTable *
new_routes (GRand *random)
{
  static const uint32_t targets_ms[] = { 150, 0, 1, UINT32_MAX, 500 };
  static const uint32_t limits_ms[] = { 2000, 0, 1, UINT32_MAX, 10 };
  WcRouteTable         *routes = wc_route_table_new (1);

  for (uint16_t i = 0; i < ROUTES; i++)
    {
      const WcRoute route = {
        .ip = ROUTE_IP,
        .port = (uint16_t)(443 + i),
        .kind = WC_TRAFFIC_IDEMPOTENT,
        .priority = (uint8_t)g_rand_int_range (random, 0, 256),
        .target_latency_ms = targets_ms[g_rand_int_range (random, 0, G_N_ELEMENTS (targets_ms))],
        .time_limit_ms = limits_ms[g_rand_int_range (random, 0, G_N_ELEMENTS (limits_ms))],
        .service_count = 1,
        .services = { { g_quark_from_string (i % 2 ? "desk" : "feed"), 1 } },
      };

      wc_route_table_add (routes, &route);
    }
  return routes;
}

static void
put_host (Fuzz *fuzz, uint64_t id, WcHostState state)
{
  const WcHostRecord record = {
    .id = id,
    .service = g_quark_from_string (id % 2 ? "desk" : "feed"),
    .domain = g_quark_from_string (id % 3 ? "a" : "b"),
    .address = { .ip = { 10, 1, 0, (uint8_t)id }, .family = 4, .port = 8080 },
    .state = state,
    .slots = (uint16_t)(1 + id % 4),
  };

  wc_forwarder_put_host (fuzz->forwarder, &record, id, fuzz->now_us);
}

static void
send_packet (Fuzz *fuzz, uint32_t index, uint8_t flags, uint32_t acknowledged, uint16_t data_bytes)
{
  static uint8_t bytes[HEADER_BYTES + 200];
  const WcPacket packet = {
    .key = { CALLER_IP + index, ROUTE_IP, 1000, (uint16_t)(443 + index % ROUTES) },
    .cookie = fuzz->openings[index].cookie,
    .sequence = flags & WC_PACKET_SYN ? 1000 : 1001,
    .acknowledged = acknowledged,
    .data_bytes = data_bytes,
    .flags = flags,
    .size_bytes = (uint16_t)(HEADER_BYTES + data_bytes),
    .bytes = bytes,
  };

  wc_forwarder_receive (fuzz->forwarder, &packet, fuzz->now_us);
}

static void
step (Fuzz *fuzz)
{
  uint64_t id = (uint64_t)g_rand_int_range (fuzz->random, 1, HOSTS + 1);
  uint32_t index = fuzz->count > 0 ? (uint32_t)g_rand_int_range (fuzz->random, 0, (gint32)fuzz->count) : 0;

  switch (g_rand_int_range (fuzz->random, 0, 12))
    {
    case 0:
      put_host (fuzz, id, g_rand_boolean (fuzz->random) ? WC_HOST_READY : WC_HOST_DRAINING);
      break;
    case 1:
      wc_forwarder_set_host_gone (fuzz->forwarder, id, fuzz->now_us);
      break;
    case 2:
      if (g_rand_int_range (fuzz->random, 0, 20) == 0)
        wc_forwarder_set_routes (fuzz->forwarder, new_routes (fuzz->random), fuzz->now_us);
      break;
    case 3:
      wc_forwarder_set_domain_peers (fuzz->forwarder, (uint32_t)g_rand_int_range (fuzz->random, 0, 60));
      break;
    case 4:
      wc_forwarder_discard_evidence (fuzz->forwarder, fuzz->now_us);
      break;
    case 5:
    case 6:
      /* A request, or the acknowledgement of its answer, on a flow that a host may have accepted. */
      if (fuzz->count > 0 && fuzz->openings[index].forwarded_us > 0 && fuzz->openings[index].resets == 0)
        send_packet (fuzz, index, WC_PACKET_ACK, g_rand_boolean (fuzz->random) ? 5001 : 7001,
                     g_rand_boolean (fuzz->random) ? 200 : 0);
      break;
    default:
      for (gint32 i = g_rand_int_range (fuzz->random, 1, 8); i > 0; i--)
        {
          fuzz->openings[fuzz->count].sent_us = fuzz->now_us;
          send_packet (fuzz, fuzz->count++, WC_PACKET_SYN, (uint32_t)g_rand_int_range (fuzz->random, 0, 4), 0);
        }
      break;
    }
}

static void
advance (Fuzz *fuzz, uint32_t span_ms)
{
  for (uint32_t i = 0; i < span_ms; i++)
    {
      fuzz->now_us += MS;
      if (fuzz->now_us >= wc_forwarder_get_deadline_us (fuzz->forwarder))
        wc_forwarder_run_timers (fuzz->forwarder, fuzz->now_us);
      if (fuzz->now_us / (100 * MS) != (fuzz->now_us - MS) / (100 * MS))
        wc_forwarder_tick (fuzz->forwarder, fuzz->now_us);
    }
}

static void
check_fates (const Fuzz *fuzz, uint32_t seed)
{
  for (uint32_t i = 0; i < fuzz->count; i++)
    {
      const Opening *opening = &fuzz->openings[i];
      uint64_t       end_us = opening->forwarded_us > 0 ? opening->forwarded_us : opening->reset_us;

      ck_assert_msg (end_us > 0, "seed %u: opening %u was neither forwarded nor reset", seed, i);
      ck_assert_msg (end_us - opening->sent_us <= (HOLD_MAX_MS + SLACK_MS) * MS,
                     "seed %u: opening %u waited %" G_GUINT64_FORMAT " us, limit %d ms", seed, i,
                     end_us - opening->sent_us, HOLD_MAX_MS);
    }
}

static void
run_seed (uint32_t seed, const WcAdmissionPolicy *policy, WcForwardFeatures features)
{
  static const WcForwarderOps ops = { forward, reset, decided, ignore_duration, ignore_duration, NULL, NULL };
  const WcForwarderSettings   settings = {
      .domain = g_quark_from_string ("a"),
      .incarnation = 1,
      .max_flows = 1024,
      .flow_lifetime_us = 60 * 1000 * MS,
      .features = features,
      .admission = policy,
  };
  Fuzz *fuzz = g_new0 (Fuzz, 1);

  fuzz->random = g_rand_new_with_seed (seed);
  fuzz->now_us = 1000 * MS;
  fuzz->forwarder = wc_forwarder_new (&settings, &ops, fuzz);
  wc_forwarder_set_routes (fuzz->forwarder, new_routes (fuzz->random), fuzz->now_us);
  for (uint64_t id = 1; id <= HOSTS; id++)
    put_host (fuzz, id, WC_HOST_READY);
  for (int i = 0; i < STEPS; i++)
    {
      step (fuzz);
      advance (fuzz, (uint32_t)g_rand_int_range (fuzz->random, 0, seed % 2 ? 4 : 20));
    }
  advance (fuzz, HOLD_MAX_MS + SLACK_MS);
  check_fates (fuzz, seed);
  wc_forwarder_delete (fuzz->forwarder);
  g_rand_free (fuzz->random);
  g_free (fuzz);
}

/* Guards against openings that are lost, rejected twice, or rejected although a host has them. */
START_TEST (each_opening_has_one_fate)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, NULL, (WcForwardFeatures){ 0 });
}
END_TEST

/* The same for the policy that is kept for comparisons. */
START_TEST (each_opening_has_one_fate_with_newest_first)
{
  for (uint32_t seed = 1; seed <= SEEDS / 4; seed++)
    run_seed (seed, &WC_ADMISSION_NEWEST_FIRST, (WcForwardFeatures){ 0 });
}
END_TEST

/* The same for the weighted policy with the budget for second forwardings. */
START_TEST (each_opening_has_one_fate_with_weighted)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, NULL, (WcForwardFeatures){ .urgency = true, .attempt_budget = true });
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, each_opening_has_one_fate);
  tcase_add_test (tests, each_opening_has_one_fate_with_newest_first);
  tcase_add_test (tests, each_opening_has_one_fate_with_weighted);
}

int
main (void)
{
  return wc_test_run ("opening_fate", add_tests);
}
