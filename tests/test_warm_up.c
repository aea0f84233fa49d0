#include "test_main.h"

#include "core/mix.h"
#include "forward_fixture.h"

enum
{
  SECOND_US = 1000 * 1000,
  TICK_US = 100 * 1000,
  /* 20 a second times 1.5, and 5, of which one instance uses half. */
  PER_S_MILLI = 20000,
  OWN_LIMIT = 17,
  EVENTS_MAX = 65536
};

/* A forwarder with the limit, and the peer table of an instance that is alone. */
typedef struct
{
  ForwardFixture forward;
  WcPeerTable   *peers;
  size_t         event_count;
  uint64_t       event_us[EVENTS_MAX];
  uint64_t       event_host[EVENTS_MAX];
} Fixture;

static Fixture fixture;

/* The routes of the forward fixture with a limit for their service, and a fallback to another limited service. */
static WcRouteTable *
limited_routes (uint64_t version)
{
  WcRouteTable *routes = fixture_routes (version);
  const WcRoute route = {
    .ip = FIXTURE_ROUTE_IP,
    .port = FIXTURE_ROUTE_PORT,
    .kind = WC_TRAFFIC_IDEMPOTENT,
    .service_count = 2,
    .services = { { g_quark_from_string ("desk"), 3 }, { g_quark_from_string ("other"), 1 } },
  };

  wc_route_table_add (routes, &route);
  wc_route_table_set_warm_up_per_s_milli (routes, g_quark_from_string ("desk"), PER_S_MILLI);
  wc_route_table_set_warm_up_per_s_milli (routes, g_quark_from_string ("other"), PER_S_MILLI);
  return routes;
}

static void
advance (uint64_t span_us)
{
  for (uint64_t end_us = fixture.forward.now_us + span_us; fixture.forward.now_us < end_us;)
    {
      fixture_advance (&fixture.forward, MIN (TICK_US, end_us - fixture.forward.now_us));
      wc_forwarder_update_leases (fixture.forward.forwarder, fixture.peers, fixture.forward.now_us);
    }
}

/* With domain balance, hosts are chosen in another way. */
static bool with_balance;

static void
init_limited (void)
{
  const WcForwarderSettings settings = {
    .domain = g_quark_from_string ("a"),
    .incarnation = FIXTURE_INCARNATION,
    .max_flows = 4096,
    .flow_lifetime_us = 60 * SECOND_US,
    .features = { .warm_up_limit = true, .domain_balance = with_balance },
    .warm_up_overrun_milli = 1500,
    .warm_up_slack = 5,
  };
  const WcPeerEntry self = { { .ip = { 10, 1, 0, 1 }, .family = 4, .port = 8166 }, 7, settings.domain, 0 };

  memset (&fixture, 0, sizeof fixture);
  fixture_init_with (&fixture.forward, &settings);
  wc_forwarder_set_routes (fixture.forward.forwarder, limited_routes (2), fixture.forward.now_us);
  fixture.peers = wc_peer_table_new (&self);
}

static void
finish_limited (void)
{
  wc_peer_table_delete (fixture.peers);
  fixture_finish (&fixture.forward);
}

static void
put_host (uint64_t id, const char *service, const char *domain, uint32_t warm_up_left_ms, uint64_t started_ms)
{
  const WcHostRecord record = {
    .id = id,
    .service = g_quark_from_string (service),
    .domain = g_quark_from_string (domain),
    .address = { .ip = { 10, 1, 0, (uint8_t)id }, .family = 4, .port = 8080 },
    .state = WC_HOST_READY,
    .slots = 2,
    .warm_up_left_ms = warm_up_left_ms,
    .started_ms = started_ms,
  };

  wc_forwarder_put_host (fixture.forward.forwarder, &record, 1, fixture.forward.now_us);
}

/* Sends openings of new callers and returns how many were forwarded. */
static size_t
open_flows (uint16_t first_caller, uint16_t count)
{
  size_t before = fixture.forward.forward_count;

  for (uint16_t i = 0; i < count; i++)
    fixture_syn (&fixture.forward, (uint16_t)(first_caller + i), FIXTURE_ONCE_PORT, 0);
  return fixture.forward.forward_count - before;
}

/* Guards against more events than the limit in a second that spans intervals of the window. */
START_TEST (window_limits_any_sliding_second)
{
  static uint64_t events[EVENTS_MAX];
  WcSecondWindow  window = { 0 };
  size_t          count = 0;

  for (uint64_t now_us = 0; now_us < 30 * (uint64_t)SECOND_US; now_us += 1 + wc_mix64 (now_us) % 9000)
    if (wc_second_window_count (&window, now_us) < OWN_LIMIT)
      {
        wc_second_window_record (&window, now_us);
        events[count++] = now_us;
      }
  for (size_t i = OWN_LIMIT; i < count; i++)
    ck_assert_uint_gt (events[i] - events[i - OWN_LIMIT], SECOND_US);
  ck_assert_uint_gt (count, 30 * OWN_LIMIT * 9 / 10);
}
END_TEST

/* Guards against openings that wait, or reach a cold host, when no instance may send more to it. */
START_TEST (all_hosts_cold_resets_at_once)
{
  init_limited ();
  put_host (1, "desk", "a", 60000, 1);
  put_host (2, "desk", "b", 60000, 1);
  ck_assert_uint_eq (open_flows (1000, 20), 0);
  ck_assert_uint_eq (fixture.forward.decisions[WC_DECISION_REJECTED_NO_HOST], 20);
  advance (9 * SECOND_US);
  ck_assert_uint_eq (open_flows (2000, 40), OWN_LIMIT);
  ck_assert_uint_eq (fixture_last_host (&fixture.forward), 1);
  ck_assert_uint_eq (fixture.forward.reset_count, 20 + 40 - OWN_LIMIT);
  ck_assert_uint_eq (fixture.forward.decisions[WC_DECISION_HELD], 0);
  ck_assert_uint_eq (fixture.forward.decisions[WC_DECISION_HOST_WARMING], 2);
  ck_assert_uint_eq (wc_forwarder_get_warm_up (fixture.forward.forwarder).leases, 1);
  wc_forwarder_set_routes (fixture.forward.forwarder, fixture_routes (3), fixture.forward.now_us);
  ck_assert_uint_eq (open_flows (3000, 40), 40);
  wc_forwarder_set_routes (fixture.forward.forwarder, limited_routes (4), fixture.forward.now_us);
  ck_assert_uint_eq (open_flows (4000, 40), 0);
  finish_limited ();
}
END_TEST

/* Guards against a deployment that does not ask for the limit and gets it. */
START_TEST (no_limit_without_feature)
{
  memset (&fixture, 0, sizeof fixture);
  fixture_init (&fixture.forward);
  wc_forwarder_set_routes (fixture.forward.forwarder, limited_routes (2), fixture.forward.now_us);
  put_host (1, "desk", "a", 60000, 1);
  ck_assert_uint_eq (open_flows (1000, 40), 40);
  ck_assert_uint_eq (fixture.forward.decisions[WC_DECISION_HOST_WARMING], 0);
  fixture_finish (&fixture.forward);
}
END_TEST

/*
 * Guards against a path on which an opening reaches a cold host without being counted: first placement, timer, copies
 * of callers, held openings, trials, hosts in their grace period, the fallback to another service.
 */
START_TEST (every_path_to_a_cold_host_counts)
{
  uint64_t random = 3;

  init_limited ();
  advance (9 * SECOND_US);
  for (int step = 0; step < 20000; step++)
    {
      uint64_t draw = wc_mix64 (++random);
      size_t   before = fixture.forward.forward_count;
      uint16_t port = draw >> 8 & 1 ? FIXTURE_ROUTE_PORT : FIXTURE_LATENCY_PORT;

      if (step % 500 == 0)
        for (uint64_t id = 1; id <= 4; id++)
          put_host (id, id == 3 ? "other" : "desk", id == 2 ? "b" : "a", id == 4 ? 0 : 60000, 1);
      if (draw % 997 == 0)
        wc_forwarder_set_host_gone (fixture.forward.forwarder, 1 + (draw >> 20) % 4, fixture.forward.now_us);
      /* A copy of an earlier opening, or a new one. */
      fixture_syn (&fixture.forward, (uint16_t)(1 + (draw >> 30) % 2000), port, (uint32_t)(draw >> 50 & 3));
      if (draw % 3 == 0)
        advance (wc_mix64 (draw) % 20000);
      for (; before < fixture.forward.forward_count && fixture.event_count < EVENTS_MAX; before++)
        {
          fixture.event_us[fixture.event_count] = fixture.forward.now_us;
          fixture.event_host[fixture.event_count++] = fixture.forward.forwards[before % FIXTURE_RECORDS].host;
        }
    }
  ck_assert_uint_gt (fixture.event_count, 1000);
  ck_assert_uint_gt (fixture.forward.decisions[WC_DECISION_PLACED_AGAIN], 100);
  ck_assert_uint_gt (fixture.forward.decisions[WC_DECISION_HELD], 100);
  ck_assert_uint_gt (wc_forwarder_get_warm_up (fixture.forward.forwarder).flows_diverted, 100);
  for (uint64_t host = 1; host <= 3; host++)
    {
      uint32_t most = 0;

      for (size_t first = 0; first < fixture.event_count; first++)
        {
          uint32_t sum = 0;

          for (size_t i = first; i < fixture.event_count && fixture.event_us[i] - fixture.event_us[first] <= SECOND_US;
               i++)
            sum += fixture.event_host[i] == host;
          most = MAX (most, sum);
        }
      /* Events are dated up to 20 ms late here; the window covers 24 ms more than a second. */
      ck_assert_msg (host == 2 ? most == 0 : most > 0 && most <= OWN_LIMIT, "%u flows to host %u", most,
                     (unsigned)host);
    }
  finish_limited ();
}
END_TEST

/* Guards against a reset of an open flow, because a late copy of its opening finds no host that may take it. */
START_TEST (copy_of_an_opening_does_not_reset_its_flow)
{
  with_balance = _i == 1;
  init_limited ();
  put_host (1, "desk", "a", 0, 1);
  ck_assert_uint_eq (open_flows (1000, 1), 1);
  fixture_request (&fixture.forward, 1000, FIXTURE_ONCE_PORT, 0, 0, 1);
  /* The domain balance takes part some time after the start. */
  advance (1600 * 1000);
  put_host (1, "desk", "a", 60000, 2);
  fixture_syn (&fixture.forward, 1000, FIXTURE_ONCE_PORT, 1);
  ck_assert_uint_eq (fixture.forward.reset_count, 0);
  fixture_acknowledge (&fixture.forward, 1000, FIXTURE_ONCE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture.forward), 1);
  finish_limited ();
}
END_TEST

/* Guards against a timer that resets openings which their host may still answer, because no other host is left. */
START_TEST (timer_leaves_openings_to_their_host)
{
  init_limited ();
  put_host (1, "desk", "a", 60000, 1);
  advance (9 * SECOND_US);
  ck_assert_uint_eq (open_flows (1000, OWN_LIMIT), OWN_LIMIT);
  advance (100 * 1000);
  ck_assert_uint_eq (fixture.forward.reset_count, 0);
  ck_assert_uint_eq (fixture.forward.forward_count, OWN_LIMIT);
  ck_assert_uint_eq (fixture_find_host (&fixture.forward, 1)->busy_flows, 0);
  fixture_syn (&fixture.forward, 1000, FIXTURE_ONCE_PORT, 1);
  ck_assert_uint_eq (fixture.forward.reset_count, 1);
  finish_limited ();
}
END_TEST

/* Guards against leases that are used after a pause, in which other instances may have acquired them, or in a stop. */
START_TEST (pause_and_stop_end_leases)
{
  init_limited ();
  put_host (1, "desk", "a", 600000, 1);
  advance (9 * SECOND_US);
  ck_assert_uint_eq (open_flows (1000, 1), 1);
  fixture.forward.now_us += 1500 * 1000;
  ck_assert_uint_eq (open_flows (1100, 1), 0);
  advance (7 * SECOND_US);
  ck_assert_uint_eq (open_flows (1200, 1), 0);
  advance (2 * SECOND_US);
  ck_assert_uint_eq (open_flows (1300, 1), 1);
  wc_forwarder_release_leases (fixture.forward.forwarder, fixture.forward.now_us);
  ck_assert_uint_eq (open_flows (1400, 1), 0);
  finish_limited ();
}
END_TEST

/* Guards against a burst to hosts that return from an evacuation, while their entries still say that they are warm. */
START_TEST (hosts_count_as_cold_after_evacuation)
{
  init_limited ();
  put_host (1, "desk", "a", 0, 1);
  put_host (2, "desk", "b", 0, 1);
  advance (9 * SECOND_US);
  wc_forwarder_assume_cold (fixture.forward.forwarder, g_quark_from_string ("a"), fixture.forward.now_us);
  put_host (1, "desk", "a", 0, 1);
  put_host (3, "other", "a", 0, 1);
  ck_assert_uint_eq (fixture.forward.decisions[WC_DECISION_HOST_WARMING], 2);
  for (uint16_t i = 0; i < 40; i++)
    (void)open_flows ((uint16_t)(1000 + i), 1);
  ck_assert_uint_eq (fixture_find_host (&fixture.forward, 1)->flows, OWN_LIMIT);
  ck_assert_uint_eq (fixture_find_host (&fixture.forward, 2)->flows, 40 - OWN_LIMIT);
  advance (1600 * 1000);
  ck_assert (!wc_host_is_cold (fixture_find_host (&fixture.forward, 1), fixture.forward.now_us));
  ck_assert_uint_eq (open_flows (2000, 40), 40);
  finish_limited ();
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_set_timeout (tests, 30);
  tcase_add_test (tests, window_limits_any_sliding_second);
  tcase_add_test (tests, all_hosts_cold_resets_at_once);
  tcase_add_test (tests, no_limit_without_feature);
  tcase_add_test (tests, every_path_to_a_cold_host_counts);
  tcase_add_loop_test (tests, copy_of_an_opening_does_not_reset_its_flow, 0, 2);
  tcase_add_test (tests, timer_leaves_openings_to_their_host);
  tcase_add_test (tests, pause_and_stop_end_leases);
  tcase_add_test (tests, hosts_count_as_cold_after_evacuation);
}

int
main (void)
{
  return wc_test_run ("warm_up", add_tests);
}
