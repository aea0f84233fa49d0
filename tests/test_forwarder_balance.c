#include "test_main.h"

#include "forward_fixture.h"

enum
{
  CALLERS = 60,
  SLOW_US = 120 * 1000,
  FAST_US = 30 * 1000,
  OWN_HOST = 1,
  OTHER_HOSTS = 4
};

static const WcForwardFeatures BALANCE = { .domain_balance = true };

/* A slow host in the own domain, and hosts in another one; callers come one after the other. */
static void
init (ForwardFixture *fixture, const WcForwardFeatures *features)
{
  fixture_init_features (fixture, *features);
  fixture_put_host (fixture, OWN_HOST, "a", WC_HOST_READY);
  for (uint64_t host = OWN_HOST + 1; host <= OWN_HOST + OTHER_HOSTS; host++)
    fixture_put_host (fixture, host, "b", WC_HOST_READY);
}

/* Return: number of callers whose flow went to the other domain. */
static uint32_t
serve_callers (ForwardFixture *fixture, uint16_t first)
{
  uint32_t away = 0;

  for (uint16_t caller = first; caller < first + CALLERS; caller++)
    {
      uint64_t host;

      fixture_syn (fixture, caller, FIXTURE_LATENCY_PORT, 0);
      host = fixture_last_host (fixture);
      away += host != OWN_HOST;
      fixture_advance (fixture, 10 * 1000);
      fixture_request (fixture, caller, FIXTURE_LATENCY_PORT, 0, 0, host);
      fixture_advance (fixture, host == OWN_HOST ? SLOW_US : FAST_US);
      fixture_acknowledge (fixture, caller, FIXTURE_LATENCY_PORT, 200, 2000, host);
      fixture_advance (fixture, 10 * 1000);
    }
  return away;
}

/*
 * Guards against flows that stay with a slow domain, and against a decision that operators cannot explain: each flow
 * that leaves has a line with both expected times.
 */
START_TEST (flows_leave_a_slow_domain_with_a_reason)
{
  static ForwardFixture fixture;
  uint32_t              away;

  init (&fixture, &BALANCE);
  away = serve_callers (&fixture, 100);
  ck_assert_uint_ge (away, CALLERS / 4);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED_AWAY], away);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED], CALLERS);
  ck_assert_uint_gt (fixture.last_other_expected_us, 0);
  ck_assert_uint_lt (fixture.last_other_expected_us, fixture.last_own_expected_us);
  fixture_finish (&fixture);
}
END_TEST

/*
 * The same callers may wait 1.6 s. Guards against flows that leave their domain although they are answered in time at
 * home, and are lost when the link is cut.
 */
START_TEST (flows_stay_while_answers_are_in_time)
{
  static ForwardFixture fixture;
  WcRouteTable         *routes = fixture_routes (2);
  WcRoute               route = {
                  .ip = FIXTURE_ROUTE_IP,
                  .port = FIXTURE_LATENCY_PORT,
                  .kind = WC_TRAFFIC_IDEMPOTENT,
                  .target_latency_ms = 1600,
                  .time_limit_ms = 4000,
                  .service_count = 1,
                  .services = { { g_quark_from_string ("desk"), 1 } },
  };

  init (&fixture, &BALANCE);
  wc_route_table_add (routes, &route);
  wc_forwarder_set_routes (fixture.forwarder, routes, fixture.now_us);
  /* An instance that has just started uses the fixed cost. */
  (void)serve_callers (&fixture, 100);
  ck_assert_uint_eq (serve_callers (&fixture, 300), 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a deployment that did not ask for it and is served differently, or logs decisions that it does not
 * know. */
START_TEST (nothing_changes_without_the_feature)
{
  static ForwardFixture   fixture;
  const WcHostReport      reports[] = { { .host = 2, .busy = 8 } };
  const WcForwardFeatures none = { 0 };

  init (&fixture, &none);
  wc_forwarder_apply_domain_load (fixture.forwarder, g_quark_from_string ("b"), 9, reports, 1, fixture.now_us);
  (void)serve_callers (&fixture, 100);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED_AWAY], 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * One host of the other domain leaves a request unanswered, and its caller sends it again twice. Guards against a
 * domain that is closed because of a single host.
 */
START_TEST (one_failing_host_does_not_close_its_domain)
{
  static ForwardFixture fixture;
  uint64_t              host;

  init (&fixture, &BALANCE);
  ck_assert_uint_ge (serve_callers (&fixture, 100), CALLERS / 4);
  fixture_syn (&fixture, 200, FIXTURE_LATENCY_PORT, 0);
  host = fixture_last_host (&fixture);
  ck_assert_uint_ne (host, OWN_HOST);
  for (int i = 0; i < 3; i++)
    {
      fixture_advance (&fixture, 10 * 1000 + (uint64_t)i * 200 * 1000);
      fixture_request (&fixture, 200, FIXTURE_LATENCY_PORT, 0, 0, host);
    }
  fixture_advance (&fixture, 2000 * 1000);
  ck_assert_uint_ge (serve_callers (&fixture, 300), CALLERS / 4);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against callers who are rejected, or wait for trials, in a domain without hosts of its own. */
START_TEST (domain_without_hosts_sends_all)
{
  static ForwardFixture fixture;

  fixture_init_features (&fixture, BALANCE);
  for (uint64_t host = OWN_HOST + 1; host <= OWN_HOST + OTHER_HOSTS; host++)
    fixture_put_host (&fixture, host, "b", WC_HOST_READY);
  ck_assert_uint_eq (serve_callers (&fixture, 100), CALLERS);
  ck_assert_uint_eq (fixture.reset_count, 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HELD], 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * The other domain reports that its own callers need its slots. Guards against reports that have no effect, or that
 * count for the wrong domain or for hosts that are not known.
 */
START_TEST (reports_of_full_hosts_keep_flows_at_home)
{
  static ForwardFixture fixture;
  const WcHostReport    reports[] = { { .host = 2, .busy = 3 }, { .host = 3, .busy = 3 }, { .host = 99, .busy = 9 } };

  init (&fixture, &BALANCE);
  (void)serve_callers (&fixture, 100);
  for (int i = 0; i < 16; i++)
    wc_forwarder_apply_domain_load (fixture.forwarder, g_quark_from_string ("a"), 9, reports, 3, fixture.now_us);
  ck_assert_uint_ge (serve_callers (&fixture, 200), CALLERS / 4);
  for (int i = 0; i < 16; i++)
    wc_forwarder_apply_domain_load (fixture.forwarder, g_quark_from_string ("b"), 9, reports, 3, fixture.now_us);
  fixture_advance (&fixture, 200 * 1000);
  ck_assert_uint_le (serve_callers (&fixture, 300), 2);
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, flows_leave_a_slow_domain_with_a_reason);
  tcase_add_test (tests, flows_stay_while_answers_are_in_time);
  tcase_add_test (tests, nothing_changes_without_the_feature);
  tcase_add_test (tests, one_failing_host_does_not_close_its_domain);
  tcase_add_test (tests, domain_without_hosts_sends_all);
  tcase_add_test (tests, reports_of_full_hosts_keep_flows_at_home);
}

int
main (void)
{
  return wc_test_run ("forwarder_balance", add_tests);
}
