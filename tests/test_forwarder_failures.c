#include "test_main.h"

#include "forward_fixture.h"

/* Evidence on hosts that fail part of their requests, as a forwarder derives it from callers' packets and reports. */

enum
{
  HOSTS = 6,
  MS = 1000,
  PEERS = 8
};

static void
setup (ForwardFixture *fixture, bool is_enabled)
{
  const WcForwardFeatures features = { .host_failures = is_enabled };

  fixture_init_features (fixture, features);
  for (uint64_t id = 1; id <= HOSTS; id++)
    fixture_put_host (fixture, id, "a", WC_HOST_READY);
  wc_forwarder_set_domain_peers (fixture->forwarder, PEERS);
  /* Unanswered openings are no evidence just after the start. */
  fixture_syn (fixture, 1, FIXTURE_ROUTE_PORT, 0);
  fixture_acknowledge (fixture, 1, FIXTURE_ROUTE_PORT, 0, 0, fixture_last_host (fixture));
  fixture_advance (fixture, 2000 * MS);
}

static WcHostReport
get_report (const ForwardFixture *fixture, uint64_t host)
{
  return wc_forwarder_get_report (fixture->forwarder, fixture_find_host (fixture, host), fixture->now_us);
}

/* Opens a flow and sends a request. Return: its host. */
static uint64_t
open_with_request (ForwardFixture *fixture, uint16_t caller)
{
  uint64_t host;

  fixture_syn (fixture, caller, FIXTURE_ROUTE_PORT, 0);
  host = fixture_last_host (fixture);
  fixture_advance (fixture, 4 * MS);
  fixture_request (fixture, caller, FIXTURE_ROUTE_PORT, 0, 0, host);
  return host;
}

/* The caller retransmits after 200, 600 and 1,400 ms. */
static void
wait_unanswered (ForwardFixture *fixture, uint16_t caller, uint64_t host, uint64_t wait_ms)
{
  uint64_t from_us = fixture->now_us;

  for (uint64_t at_ms = 200; at_ms <= wait_ms; at_ms = at_ms * 2 + 200)
    {
      fixture_advance (fixture, from_us + at_ms * MS - fixture->now_us);
      fixture_request (fixture, caller, FIXTURE_ROUTE_PORT, 0, 0, host);
    }
  fixture_advance (fixture, from_us + wait_ms * MS - fixture->now_us);
}

/*
 * Guards against requests that are never counted or counted with each retransmission, and against flows that are reset
 * for them.
 */
START_TEST (unanswered_request_fails_once)
{
  ForwardFixture fixture;
  uint64_t       host;

  setup (&fixture, true);
  host = open_with_request (&fixture, 10);
  wait_unanswered (&fixture, 10, host, 400);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 0);
  fixture_advance (&fixture, 150 * MS);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 1);
  ck_assert_ptr_eq (wc_forwarder_next_failure (fixture.forwarder, fixture.now_us), fixture_find_host (&fixture, host));
  ck_assert_ptr_null (wc_forwarder_next_failure (fixture.forwarder, fixture.now_us));
  fixture_request (&fixture, 10, FIXTURE_ROUTE_PORT, 0, 0, host);
  fixture_advance (&fixture, 300 * MS);
  fixture_acknowledge (&fixture, 10, FIXTURE_ROUTE_PORT, 200, 2000, host);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 1);
  ck_assert_uint_eq (get_report (&fixture, host).answered, 0);
  fixture_request (&fixture, 10, FIXTURE_ROUTE_PORT, 200, 2000, host);
  fixture_acknowledge (&fixture, 10, FIXTURE_ROUTE_PORT, 400, 4000, host);
  ck_assert_uint_eq (get_report (&fixture, host).answered, 1);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against failures of a flow that another instance receives since. */
START_TEST (moved_flow_is_no_evidence)
{
  ForwardFixture fixture;
  uint64_t       host;

  setup (&fixture, true);
  host = open_with_request (&fixture, 10);
  fixture_advance (&fixture, 1500 * MS);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against hosts that hang for longer than their callers wait; a caller that closes with the answer counts none.
 */
START_TEST (abandoned_flow_fails)
{
  ForwardFixture fixture;
  uint64_t       host;
  uint32_t       failed;

  setup (&fixture, true);
  host = open_with_request (&fixture, 10);
  wait_unanswered (&fixture, 10, host, 250);
  fixture_packet (&fixture, 10, FIXTURE_ROUTE_PORT, WC_PACKET_ACK | WC_PACKET_FIN, 1201, 5001, 0,
                  fixture_find_host (&fixture, host)->cookie);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 1);
  host = open_with_request (&fixture, 11);
  failed = get_report (&fixture, host).failed;
  fixture_advance (&fixture, 200 * MS);
  fixture_packet (&fixture, 11, FIXTURE_ROUTE_PORT, WC_PACKET_ACK | WC_PACKET_FIN, 1201, 7001, 0,
                  fixture_find_host (&fixture, host)->cookie);
  ck_assert_uint_eq (get_report (&fixture, host).failed, failed);
  ck_assert_uint_eq (get_report (&fixture, host).answered, 1);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a host that leaves openings unanswered; the one that answered is not to blame. */
START_TEST (unanswered_opening_fails)
{
  ForwardFixture fixture;
  uint64_t       first;
  uint64_t       second;
  uint32_t       failed;

  setup (&fixture, true);
  fixture_syn (&fixture, 10, FIXTURE_ROUTE_PORT, 0);
  first = fixture_last_host (&fixture);
  fixture_advance (&fixture, 60 * MS);
  second = fixture_last_host (&fixture);
  ck_assert_uint_ne (first, second);
  fixture_request (&fixture, 10, FIXTURE_ROUTE_PORT, 0, 0, second);
  ck_assert_uint_eq (get_report (&fixture, first).failed, 1);
  ck_assert_uint_eq (get_report (&fixture, second).failed, 0);
  fixture_syn (&fixture, 11, FIXTURE_ROUTE_PORT, 0);
  first = fixture_last_host (&fixture);
  fixture_advance (&fixture, 60 * MS);
  second = fixture_last_host (&fixture);
  failed = get_report (&fixture, first).failed + get_report (&fixture, second).failed;
  fixture_request (&fixture, 11, FIXTURE_ROUTE_PORT, 0, 0, first);
  ck_assert_uint_eq (get_report (&fixture, first).failed + get_report (&fixture, second).failed, failed);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a lossy link, or a pause, of the instance that counts against hosts. */
START_TEST (own_faults_are_no_evidence)
{
  ForwardFixture fixture;
  uint64_t       host;

  setup (&fixture, true);
  host = open_with_request (&fixture, 10);
  wait_unanswered (&fixture, 10, host, 400);
  wc_forwarder_discard_evidence (fixture.forwarder, fixture.now_us);
  wait_unanswered (&fixture, 10, host, 300);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 0);

  host = open_with_request (&fixture, 11);
  wait_unanswered (&fixture, 11, host, 650);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 1);
  /* Two hosts leave one opening unanswered. */
  fixture_syn (&fixture, 12, FIXTURE_ROUTE_PORT, 0);
  fixture_advance (&fixture, 200 * MS);
  fixture_syn (&fixture, 12, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_LINK_LOSSY], 1);
  ck_assert_uint_eq (get_report (&fixture, host).failed, 0);
  ck_assert_ptr_null (wc_forwarder_next_failure (fixture.forwarder, fixture.now_us));
  fixture_advance (&fixture, 200 * MS);
  ck_assert_uint_eq (wc_host_failures_get_own (&fixture_find_host (&fixture, host)->failures, fixture.now_us).failed,
                     0);
  fixture_finish (&fixture);
}
END_TEST

/* Reports of @reporters instances on a host that fails half of its requests. */
static void
apply_reports (ForwardFixture *fixture, uint64_t host, uint64_t reporters)
{
  const WcHostReport report = { .host = host, .life_age_ms = 10, .answered = 2, .failed = 2 };

  for (uint64_t reporter = 1; reporter <= reporters; reporter++)
    wc_forwarder_apply_report (fixture->forwarder, reporter, true, &report, fixture->now_us);
}

/*
 * Guards against flows that are still placed on a failing host half a second after the evidence, and against any effect
 * while the feature is off.
 */
START_TEST (failing_host_gets_no_flows)
{
  for (int is_enabled = 0; is_enabled <= 1; is_enabled++)
    {
      ForwardFixture fixture;
      uint32_t       placed = 0;

      setup (&fixture, is_enabled);
      for (int i = 0; i < 6; i++)
        {
          apply_reports (&fixture, 3, 4);
          fixture_advance (&fixture, 100 * MS);
        }
      for (uint16_t caller = 100; caller < 200; caller++)
        {
          uint64_t host = open_with_request (&fixture, caller);

          placed += host == 3;
          /* Longer than what is assumed of hosts that have not answered yet, so that all are used. */
          fixture_advance (&fixture, 25 * MS);
          fixture_acknowledge (&fixture, caller, FIXTURE_ROUTE_PORT, 200, 2000, host);
        }
      ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_FAILING], is_enabled);
      ck_assert (is_enabled ? placed == 0 : placed > 5);
      ck_assert (is_enabled || get_report (&fixture, 1).answered == 0);
      ck_assert_uint_eq (fixture.reset_count, 0);
      fixture_advance (&fixture, 8000 * MS);
      ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_RECOVERED], is_enabled);
      fixture_finish (&fixture);
    }
}
END_TEST

/* Guards against evidence that only the joining instances know: others relay what two of them estimate. */
START_TEST (estimates_are_relayed)
{
  ForwardFixture joining;
  ForwardFixture other;
  WcHostReport   reports[HOSTS];

  setup (&joining, true);
  setup (&other, true);
  for (int i = 0; i < 5; i++)
    {
      apply_reports (&joining, 3, 4);
      fixture_advance (&joining, 100 * MS);
      fixture_advance (&other, 100 * MS);
      ck_assert_uint_eq (wc_forwarder_add_failure_reports (joining.forwarder, reports, HOSTS, joining.now_us), 1);
      ck_assert_uint_ge (reports[0].joined_failed, 8);
      for (uint64_t sender = 21; sender <= 22; sender++)
        wc_forwarder_apply_report (other.forwarder, sender, true, &reports[0], other.now_us);
    }
  fixture_advance (&other, 100 * MS);
  ck_assert_uint_eq (other.decisions[WC_DECISION_HOST_FAILING], 1);
  ck_assert_uint_eq (wc_forwarder_add_failure_reports (other.forwarder, reports, HOSTS, other.now_us), 1);
  ck_assert_uint_ge (reports[0].joined_failed, 8);
  ck_assert (reports[0].joined_by == 21 || reports[0].joined_by == 22);
  fixture_finish (&joining);
  fixture_finish (&other);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, unanswered_request_fails_once);
  tcase_add_test (tests, moved_flow_is_no_evidence);
  tcase_add_test (tests, abandoned_flow_fails);
  tcase_add_test (tests, unanswered_opening_fails);
  tcase_add_test (tests, own_faults_are_no_evidence);
  tcase_add_test (tests, failing_host_gets_no_flows);
  tcase_add_test (tests, estimates_are_relayed);
}

int
main (void)
{
  return wc_test_run ("forwarder_failures", add_tests);
}
