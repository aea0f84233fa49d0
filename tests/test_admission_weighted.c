#include "test_main.h"

#include "core/mix.h"
#include "forward/admission_policy.h"

#include "forward_fixture.h"
#include "held_opening_fixture.h"

enum
{
  DOMAIN = 3,
  HOSTS = 5,
  SECOND_US = 1000 * MS,
  /* Ten slots answer 1,000 requests of 10 ms a second; this instance and one peer share them. */
  CAPACITY_PER_S = 500,
  URGENT = 1,
  LESS_URGENT = 2,
  FLOOD_IP = 7
};

/* Five hosts with two slots; the time advances. */
typedef struct
{
  WcHostTable       *hosts;
  WcServiceLoads     loads;
  WcAdmissionShares *shares;
  WcPlacement        placement;
  uint64_t           now_us;
  uint16_t           port;
} Fixture;

static void
init (Fixture *fixture, uint32_t domain_peers)
{
  *fixture = (Fixture){
    .hosts = wc_host_table_new (1000),
    .shares = wc_admission_shares_new (),
    .placement = { .service = SERVICE, .domain = DOMAIN, .domain_peers = domain_peers },
    .now_us = 2 * NOW_US,
  };
  for (uint64_t id = 1; id <= HOSTS; id++)
    {
      const WcHostRecord record = {
        .id = id, .service = SERVICE, .domain = DOMAIN, .state = WC_HOST_READY, .slots = 2
      };

      wc_host_table_put (fixture->hosts, &record, 1, NOW_US);
    }
}

static void
finish (Fixture *fixture)
{
  wc_admission_shares_delete (fixture->shares);
  wc_host_table_delete (fixture->hosts);
}

static WcAdmissionView
view_of (Fixture *fixture)
{
  return (WcAdmissionView){
    .hosts = fixture->hosts,
    .placement = &fixture->placement,
    .load = wc_service_loads_get (&fixture->loads, SERVICE, true, fixture->now_us),
    .other_load = wc_service_loads_get (&fixture->loads, SERVICE, false, fixture->now_us),
    .shares = fixture->shares,
    .handshake_us = 10 * MS,
    .now_us = fixture->now_us,
  };
}

static WcHeldOpening
arrive (Fixture *fixture, uint8_t priority, uint32_t caller_ip)
{
  const WcRoute         route = { .priority = priority, .target_latency_ms = 600, .time_limit_ms = 4000 };
  const WcAdmissionView view = view_of (fixture);
  WcHeldOpening         held = opening (&route, ++fixture->port, 0);

  held.opening.packet.key.caller_ip = caller_ip;
  held.target_deadline_us += fixture->now_us - NOW_US;
  held.hold_deadline_us += fixture->now_us - NOW_US;
  wc_admission_shares_classify (fixture->shares, &held, wc_admission_get_capacity_per_s (&view), fixture->now_us);
  return held;
}

/* A second in which @count openings of different addresses arrive; @forwarded of them are forwarded. */
static uint32_t
pass_second (Fixture *fixture, uint8_t priority, uint32_t count, uint32_t forwarded)
{
  uint32_t guaranteed = 0;
  uint64_t from_us = fixture->now_us;

  for (uint32_t i = 0; i < count; i++)
    {
      WcHeldOpening held;

      fixture->now_us = from_us + (uint64_t)i * SECOND_US / count;
      held = arrive (fixture, priority, 1000 + i);
      guaranteed += held.is_guaranteed;
      if (i < forwarded)
        wc_admission_shares_record_opening (fixture->shares, &held, true, fixture->now_us);
    }
  fixture->now_us = from_us;
  return guaranteed;
}

static void
end_second (Fixture *fixture)
{
  fixture->now_us += SECOND_US - 1;
}

static void
let_urgent_wait (Fixture *fixture)
{
  const WcHeldOpening held = arrive (fixture, URGENT, 1);

  wc_admission_shares_record_waited (fixture->shares, &held, fixture->now_us);
}

static bool
admits_opening (Fixture *fixture, const WcHeldOpening *held)
{
  const WcAdmissionView view = view_of (fixture);

  return WC_ADMISSION_WEIGHTED.admits (held, &view, wc_host_table_find (fixture->hosts, 1));
}

static bool
admits (Fixture *fixture, uint8_t priority)
{
  WcHeldOpening held = arrive (fixture, priority, 2);

  held.is_guaranteed = false;
  return admits_opening (fixture, &held);
}

/* @flows forwarded flows of a class that carry @requests each. */
static void
forward_flows (Fixture *fixture, uint8_t priority, uint32_t flows, uint32_t requests)
{
  const WcHeldOpening held = { .service = SERVICE, .priority = priority };

  for (uint32_t i = 0; i < flows; i++)
    wc_admission_shares_record_opening (fixture->shares, &held, true, fixture->now_us);
  for (uint32_t i = 0; i < flows * requests; i++)
    wc_admission_shares_record_progress (fixture->shares, SERVICE, priority, true, false, fixture->now_us);
}

/* Guards against less urgent openings that take the capacity which urgent callers need, and against an unused rest. */
START_TEST (urgent_openings_are_shed_last)
{
  Fixture fixture;

  for (uint32_t forwarded = 60; forwarded <= 140; forwarded += 40)
    {
      init (&fixture, 1);
      pass_second (&fixture, URGENT, 400, 400);
      pass_second (&fixture, LESS_URGENT, 400, forwarded);
      end_second (&fixture);
      ck_assert (admits (&fixture, LESS_URGENT));
      let_urgent_wait (&fixture);
      ck_assert (admits (&fixture, URGENT));
      ck_assert (admits (&fixture, LESS_URGENT) == (forwarded < CAPACITY_PER_S - 400 - 1));
      finish (&fixture);
    }
}
END_TEST

/* Guards against long flows that count as one request: 13 flows of 8 requests use what 104 short ones do. */
START_TEST (long_flows_count_by_their_requests)
{
  Fixture fixture;

  for (uint32_t requests = 1; requests <= 8; requests += 7)
    {
      init (&fixture, 1);
      forward_flows (&fixture, URGENT, 10, 8);
      forward_flows (&fixture, LESS_URGENT, 10, requests);
      fixture.now_us += 8 * SECOND_US;
      pass_second (&fixture, URGENT, 49, 49);
      pass_second (&fixture, LESS_URGENT, 20, 14);
      end_second (&fixture);
      let_urgent_wait (&fixture);
      ck_assert (admits (&fixture, LESS_URGENT) == (requests == 1));
      finish (&fixture);
    }
}
END_TEST

/* Guards against a class that starves: 10% of the capacity in requests precede the urgent openings. */
START_TEST (less_urgent_keep_their_share)
{
  Fixture fixture;

  for (uint32_t requests = 1; requests <= 5; requests += 4)
    {
      uint32_t guaranteed = 0;

      init (&fixture, 1);
      forward_flows (&fixture, LESS_URGENT, 10, requests);
      fixture.now_us += 8 * SECOND_US;
      for (int second = 0; second < 10; second++)
        {
          uint32_t count;

          let_urgent_wait (&fixture);
          pass_second (&fixture, URGENT, 2000, 500);
          count = pass_second (&fixture, LESS_URGENT, 500, 0);
          forward_flows (&fixture, LESS_URGENT, count, requests);
          guaranteed += count;
          end_second (&fixture);
        }
      ck_assert_uint_ge (guaranteed * requests, 10 * CAPACITY_PER_S / 10);
      ck_assert_uint_le (guaranteed * requests, 12 * CAPACITY_PER_S / 10);
      finish (&fixture);
    }
}
END_TEST

/* Guards against a guaranteed part that waits behind urgent openings, which an overload never lacks. */
START_TEST (guaranteed_openings_precede_urgent_ones)
{
  Fixture       fixture;
  WcHeldOpening urgent;
  WcHeldOpening first;
  WcHeldOpening second;

  init (&fixture, 500);
  forward_flows (&fixture, URGENT, 10, 1);
  let_urgent_wait (&fixture);
  urgent = arrive (&fixture, URGENT, 10);
  first = arrive (&fixture, LESS_URGENT, 11);
  do
    second = arrive (&fixture, LESS_URGENT, 12 + fixture.port);
  while (second.is_guaranteed);
  ck_assert (first.is_guaranteed);
  ck_assert (WC_ADMISSION_WEIGHTED.is_before (&first, &urgent, fixture.now_us));
  ck_assert (WC_ADMISSION_WEIGHTED.is_before (&urgent, &second, fixture.now_us));
  finish (&fixture);
}
END_TEST

/* Guards against one address whose openings arrive first and displace those of the others. */
START_TEST (flood_of_one_address_does_not_displace_others)
{
  Fixture       fixture;
  WcHeldOpening flood[60];
  WcHeldOpening other;
  uint32_t      before = 0;

  init (&fixture, 1);
  for (uint32_t ip = 1001; ip < 1050; ip++)
    arrive (&fixture, URGENT, ip);
  for (size_t i = 0; i < G_N_ELEMENTS (flood); i++)
    flood[i] = arrive (&fixture, URGENT, FLOOD_IP);
  fixture.now_us += 10 * MS;
  other = arrive (&fixture, URGENT, 12);
  for (size_t i = 0; i < G_N_ELEMENTS (flood); i++)
    before += WC_ADMISSION_WEIGHTED.is_before (&flood[i], &other, fixture.now_us);
  /* Each of 50 addresses gets 10 of the 500 openings that can be admitted in a second. */
  ck_assert_uint_eq (before, 10);
  wc_admission_shares_record_waited (fixture.shares, &flood[59], fixture.now_us);
  ck_assert (admits_opening (&fixture, &flood[59]));
  wc_admission_shares_record_waited (fixture.shares, &other, fixture.now_us);
  ck_assert (!admits_opening (&fixture, &flood[59]));
  ck_assert (admits_opening (&fixture, &flood[0]));
  ck_assert (admits_opening (&fixture, &other));
  finish (&fixture);
}
END_TEST

/* Guards against callers behind one address, the only one, that lose the deadline order. */
START_TEST (single_address_is_not_limited)
{
  Fixture fixture;

  init (&fixture, 1);
  for (int i = 0; i < 100; i++)
    ck_assert (!arrive (&fixture, URGENT, FLOOD_IP).exceeds_share);
  finish (&fixture);
}
END_TEST

/* Guards against capacity that is reserved for instances that do not exist, or for urgent callers that do not come. */
START_TEST (single_instance_uses_whole_capacity)
{
  Fixture fixture;

  for (uint32_t peers = 0; peers <= 1; peers++)
    {
      init (&fixture, peers);
      pass_second (&fixture, LESS_URGENT, 900, 900);
      end_second (&fixture);
      let_urgent_wait (&fixture);
      ck_assert (admits (&fixture, LESS_URGENT) == (peers == 0));
      finish (&fixture);
    }
}
END_TEST

/* Guards against capacity that stays reserved after the urgent callers are served. */
START_TEST (reservation_ends_when_urgent_openings_do_not_wait)
{
  Fixture fixture;

  init (&fixture, 1);
  let_urgent_wait (&fixture);
  pass_second (&fixture, LESS_URGENT, 500, 500);
  end_second (&fixture);
  ck_assert (!admits (&fixture, LESS_URGENT));
  fixture.now_us += 10 * MS;
  ck_assert (admits (&fixture, LESS_URGENT));
  finish (&fixture);
}
END_TEST

static WcRouteTable *
routes_by_priority (void)
{
  WcRouteTable *routes = wc_route_table_new (1);

  for (uint8_t priority = 0; priority < 3; priority++)
    {
      const WcRoute route = {
        .ip = FIXTURE_ROUTE_IP,
        .port = (uint16_t)(FIXTURE_ROUTE_PORT + priority),
        .priority = priority,
        .target_latency_ms = 150,
        .time_limit_ms = 2000,
        .service_count = 1,
        .services = { { g_quark_from_string ("desk"), 1 } },
      };

      wc_route_table_add (routes, &route);
    }
  return routes;
}

/* Openings at random times, each with a request that is answered after 20 ms; few addresses open many flows. */
static void
run_light_load (ForwardFixture *fixture, bool is_weighted)
{
  fixture_init_features (fixture, (WcForwardFeatures){ .urgency = is_weighted });
  wc_forwarder_set_routes (fixture->forwarder, routes_by_priority (), fixture->now_us);
  for (uint64_t id = 1; id <= 8; id++)
    fixture_put_host (fixture, id, id <= 6 ? "a" : "b", WC_HOST_READY);
  for (uint32_t i = 0; i < 1200; i++)
    {
      uint64_t random = wc_mix64 (i);
      uint16_t caller = (uint16_t)(1000 + i);
      uint16_t port = (uint16_t)(FIXTURE_ROUTE_PORT + random % 3);
      uint64_t host;

      fixture_syn (fixture, caller, port, 0);
      host = fixture_last_host (fixture);
      fixture_request (fixture, caller, port, 0, 0, host);
      fixture_advance (fixture, 5 * MS + random / 3 % (20 * MS));
      fixture_acknowledge (fixture, caller, port, 200, 2000, host);
    }
}

/* Guards against deployments with little load that are served differently. */
START_TEST (decides_as_deadline_while_nothing_waits)
{
  static ForwardFixture deadline;
  static ForwardFixture weighted;

  run_light_load (&deadline, false);
  run_light_load (&weighted, true);
  ck_assert_uint_eq (deadline.decisions[WC_DECISION_HELD] + deadline.reset_count, 0);
  ck_assert_uint_eq (deadline.forward_count, 3600);
  ck_assert_int_eq (memcmp (deadline.decisions, weighted.decisions, sizeof deadline.decisions), 0);
  ck_assert_uint_eq (deadline.forward_count, weighted.forward_count);
  for (size_t i = 0; i < deadline.forward_count; i++)
    ck_assert_uint_eq (deadline.forwards[i].host, weighted.forwards[i].host);
  fixture_finish (&deadline);
  fixture_finish (&weighted);
}
END_TEST

/* Guards against a feature that the forwarder does not switch on, and against a policy that is on without it. */
START_TEST (feature_selects_policy)
{
  static ForwardFixture fixture;

  for (int is_weighted = 0; is_weighted <= 1; is_weighted++)
    {
      fixture_init_features (&fixture, (WcForwardFeatures){ .urgency = is_weighted });
      wc_forwarder_set_routes (fixture.forwarder, routes_by_priority (), fixture.now_us);
      fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
      for (uint16_t caller = 1000; caller < 1500; caller++)
        {
          uint16_t port = (uint16_t)(FIXTURE_ROUTE_PORT + caller % 3);
          size_t   forwards = fixture.forward_count;

          fixture_syn (&fixture, caller, port, 0);
          if (fixture.forward_count > forwards)
            fixture_request (&fixture, caller, port, 0, 0, 1);
          fixture_advance (&fixture, 2 * MS);
        }
      ck_assert_uint_gt (fixture.decisions[WC_DECISION_REJECTED_OVERLOAD], 0);
      ck_assert (is_weighted == (fixture.decisions[WC_DECISION_REJECTED_LESS_URGENT] > 0));
      fixture_finish (&fixture);
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, urgent_openings_are_shed_last);
  tcase_add_test (tests, long_flows_count_by_their_requests);
  tcase_add_test (tests, less_urgent_keep_their_share);
  tcase_add_test (tests, guaranteed_openings_precede_urgent_ones);
  tcase_add_test (tests, flood_of_one_address_does_not_displace_others);
  tcase_add_test (tests, single_address_is_not_limited);
  tcase_add_test (tests, single_instance_uses_whole_capacity);
  tcase_add_test (tests, reservation_ends_when_urgent_openings_do_not_wait);
  tcase_add_test (tests, decides_as_deadline_while_nothing_waits);
  tcase_add_test (tests, feature_selects_policy);
}

int
main (void)
{
  return wc_test_run ("admission_weighted", add_tests);
}
