#include "test_main.h"

#include "forward_fixture.h"

enum
{
  SERVICE = 5,
  HOSTS = 4,
  MS = 1000,
  SECOND_US = 1000 * MS
};

static uint64_t
count_second (const WcOpeningCounters *counters)
{
  uint64_t count = 0;

  for (int cause = 0; cause < WC_OPENING_CAUSE_COUNT; cause++)
    count += counters->second[cause];
  return count;
}

/* Opening of one of many callers; another opening from the same address would count as the retry of a refused one. */
static void
send_opening (ForwardFixture *fixture, uint32_t caller, uint32_t retransmissions)
{
  static const uint8_t bytes[FIXTURE_HEADER_BYTES];
  const WcPacket       packet = {
          .key = { 0x64400100 + caller, FIXTURE_ROUTE_IP, 1000, FIXTURE_ROUTE_PORT },
          .sequence = 1000,
          .acknowledged = retransmissions,
          .flags = WC_PACKET_SYN,
          .size_bytes = sizeof bytes,
          .bytes = bytes,
  };

  wc_forwarder_receive (fixture->forwarder, &packet, fixture->now_us);
}

/* Openings of @per_s callers a second for @span_ms that no host answers; callers retransmit after 200 and 600 ms. */
static void
run_unanswered (ForwardFixture *fixture, uint32_t span_ms, uint32_t per_s)
{
  static const uint32_t transmissions_ms[] = { 0, 200, 600 };
  uint32_t              interval_ms = 1000 / per_s;

  for (uint32_t at_ms = 0; at_ms < span_ms + 600; at_ms++)
    {
      for (uint32_t copy = 0; copy < G_N_ELEMENTS (transmissions_ms); copy++)
        {
          uint32_t sent_ms = at_ms - transmissions_ms[copy];

          if (at_ms >= transmissions_ms[copy] && sent_ms < span_ms && sent_ms % interval_ms == 0)
            send_opening (fixture, sent_ms / interval_ms, copy);
        }
      fixture_advance (fixture, MS);
      /* The hosts answer other instances, so that they do not become suspected. */
      for (uint64_t id = 1; id <= HOSTS; id++)
        fixture_find_host (fixture, id)->suspect_deadline_us = 0;
    }
}

static void
init (ForwardFixture *fixture, bool is_limited)
{
  fixture_init_features (fixture, (WcForwardFeatures){ .attempt_budget = is_limited });
  for (uint64_t id = 1; id <= HOSTS; id++)
    fixture_put_host (fixture, id, "a", WC_HOST_READY);
}

/* Guards against a burst of second forwardings that exceeds the ratio, after a long time without failures. */
START_TEST (saved_budget_is_bounded)
{
  WcOpeningBudget budget;
  uint32_t        allowed = 0;

  wc_opening_budget_init (&budget, true);
  for (int i = 0; i < 10000; i++)
    wc_opening_budget_record_first (&budget, SERVICE, SECOND_US);
  for (int i = 0; i < 100; i++)
    allowed += wc_opening_budget_take (&budget, SERVICE, WC_OPENING_CAUSE_TIMER, SECOND_US);
  ck_assert_uint_eq (allowed, 10);
  ck_assert_uint_eq (budget.counters.refused, 90);
}
END_TEST

/* Guards against one service whose hosts fail that uses up the budget of the others. */
START_TEST (services_have_separate_budgets)
{
  WcOpeningBudget budget;

  wc_opening_budget_init (&budget, true);
  while (wc_opening_budget_take (&budget, SERVICE, WC_OPENING_CAUSE_TIMER, SECOND_US))
    ;
  ck_assert (wc_opening_budget_take (&budget, SERVICE + 1, WC_OPENING_CAUSE_TIMER, SECOND_US));
}
END_TEST

/* Guards against callers that stay with a host that has left, while the budget is used up by hosts that answer late. */
START_TEST (departed_host_is_replaced_beyond_budget)
{
  static ForwardFixture fixture;
  uint64_t              first;

  init (&fixture, true);
  run_unanswered (&fixture, 2000, 100);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  first = fixture_last_host (&fixture);
  wc_forwarder_set_host_gone (fixture.forwarder, first, fixture.now_us);
  fixture_advance (&fixture, 100 * MS);
  ck_assert_uint_ne (fixture_last_host (&fixture), first);
  ck_assert_uint_eq (wc_forwarder_get_opening_counters (fixture.forwarder)->second[WC_OPENING_CAUSE_HOST_GONE], 1);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against single failures that wait for their caller's retransmission although there is no overload. */
START_TEST (single_failures_are_covered_at_low_load)
{
  static ForwardFixture fixture;

  init (&fixture, true);
  for (uint16_t i = 0; i < 10; i++)
    {
      uint64_t first;

      fixture_syn (&fixture, (uint16_t)(100 + i), FIXTURE_ROUTE_PORT, 0);
      first = fixture_last_host (&fixture);
      fixture_advance (&fixture, 50 * MS);
      ck_assert_uint_ne (fixture_last_host (&fixture), first);
      fixture_advance (&fixture, 5 * SECOND_US);
    }
  ck_assert_uint_eq (wc_forwarder_get_opening_counters (fixture.forwarder)->refused, 0);
  ck_assert_uint_eq (wc_forwarder_get_opening_counters (fixture.forwarder)->abandoned, 10);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Guards against hosts that receive several times the load while they answer late. Of 100 openings a second for four
 * seconds at most a fifth, and the minimum of one a second after three, go to a second host.
 */
START_TEST (second_forwardings_are_bounded_under_overload)
{
  static ForwardFixture    fixture;
  const WcOpeningCounters *counters;

  init (&fixture, true);
  run_unanswered (&fixture, 4000, 100);
  counters = wc_forwarder_get_opening_counters (fixture.forwarder);
  ck_assert_uint_eq (counters->first, 400);
  ck_assert_uint_le (count_second (counters), 400 / 5 + 3 + 5);
  ck_assert_uint_ge (count_second (counters), 400 / 5 - 10);
  ck_assert_uint_eq (counters->refused, fixture.decisions[WC_DECISION_SECOND_REFUSED]);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against an opening beyond the budget that its caller's retransmission sends to a second host. */
START_TEST (retransmission_beyond_budget_stays_with_its_host)
{
  static ForwardFixture fixture;
  uint64_t              first;
  size_t                forwards;

  init (&fixture, true);
  run_unanswered (&fixture, 2000, 100);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  first = fixture_last_host (&fixture);
  forwards = fixture.forward_count;
  fixture_advance (&fixture, 100 * MS);
  ck_assert_uint_eq (fixture.forward_count, forwards);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (fixture.forward_count, forwards + 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), first);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against retransmissions that are sent to a host which drains or is evacuated, because the budget is used up.
 */
START_TEST (retransmission_beyond_budget_leaves_host_that_stops)
{
  for (int is_evacuated = 0; is_evacuated < 2; is_evacuated++)
    {
      static ForwardFixture fixture;
      uint64_t              first;

      init (&fixture, true);
      fixture_put_host (&fixture, HOSTS + 1, "b", WC_HOST_READY);
      run_unanswered (&fixture, 2000, 100);
      fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
      first = fixture_last_host (&fixture);
      if (is_evacuated)
        wc_forwarder_set_evacuated (fixture.forwarder, g_quark_from_string ("a"), true, 1, fixture.now_us);
      else
        fixture_put_host (&fixture, first, "a", WC_HOST_DRAINING);
      fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
      ck_assert_uint_ne (fixture_last_host (&fixture), first);
      fixture_finish (&fixture);
    }
}
END_TEST

/* Guards against deployments that did not ask for the budget and are served differently. */
START_TEST (nothing_is_refused_unless_requested)
{
  static ForwardFixture    fixture;
  const WcOpeningCounters *counters;

  init (&fixture, false);
  run_unanswered (&fixture, 2000, 100);
  counters = wc_forwarder_get_opening_counters (fixture.forwarder);
  ck_assert_uint_eq (counters->refused, 0);
  ck_assert_uint_eq (counters->second[WC_OPENING_CAUSE_TIMER], 200);
  ck_assert_uint_eq (counters->second[WC_OPENING_CAUSE_RETRANSMISSION], 400);
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, saved_budget_is_bounded);
  tcase_add_test (tests, services_have_separate_budgets);
  tcase_add_test (tests, departed_host_is_replaced_beyond_budget);
  tcase_add_test (tests, single_failures_are_covered_at_low_load);
  tcase_add_test (tests, second_forwardings_are_bounded_under_overload);
  tcase_add_test (tests, retransmission_beyond_budget_stays_with_its_host);
  tcase_add_test (tests, retransmission_beyond_budget_leaves_host_that_stops);
  tcase_add_test (tests, nothing_is_refused_unless_requested);
}

int
main (void)
{
  return wc_test_run ("opening_budget", add_tests);
}
