#include "core/report_exchange.h"

#include "test_main.h"

enum
{
  MS = 1000,
  SECOND_US = 1000 * MS,
  START_US = 1000 * SECOND_US,
  OWN_INCARNATION = 11,
  /* The sender's clock differs widely from the receiver's. */
  REMOTE_CLOCK_US = 5 * SECOND_US
};

static WcReportExchange exchange;
static WcDomainDelays   delays;

static void
set_peer (uint64_t instance)
{
  WcReportPeer peer = { .domain = 2, .instance = instance };

  wc_report_exchange_set_peers (&exchange, &peer, 1, &delays);
}

static void
setup (void)
{
  delays = (WcDomainDelays){ 0 };
  wc_report_exchange_init (&exchange);
  set_peer (20);
}

static WcBacklogReport
make_report (uint64_t incarnation, uint64_t sent_us, int64_t backlog_us)
{
  return (WcBacklogReport){ .instance = 20,
                            .incarnation = incarnation,
                            .sent_us = sent_us,
                            .load = { .backlog_us = backlog_us, .step_us = 1000 },
                            .active = true };
}

static bool
accept (uint64_t now_us, uint64_t incarnation, uint64_t sent_us, int64_t backlog_us)
{
  WcBacklogReport report = make_report (incarnation, sent_us, backlog_us);

  return wc_report_exchange_accept (&exchange, now_us, OWN_INCARNATION, &report, &delays);
}

/* Guards against a duplicated or delayed report replacing a newer one, which would send requests to a busy domain. */
START_TEST (test_repeated_and_reordered_reports)
{
  ck_assert (accept (START_US, 1, REMOTE_CLOCK_US + 200 * MS, 700 * MS));
  ck_assert (!accept (START_US + 1, 1, REMOTE_CLOCK_US + 200 * MS, 0));
  ck_assert (!accept (START_US + 2, 1, REMOTE_CLOCK_US + 100 * MS, 0));
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US + 3, 600 * MS), 0);
  ck_assert (accept (START_US + 4, 1, REMOTE_CLOCK_US + 300 * MS, 0));
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US + 5, 600 * MS), 2);
}
END_TEST

/* Guards against ignoring reports after a lost one, and against choosing a domain whose reports are all lost. */
START_TEST (test_lost_reports)
{
  ck_assert (accept (START_US, 1, REMOTE_CLOCK_US, 0));
  ck_assert (accept (START_US + 900 * MS, 1, REMOTE_CLOCK_US + 900 * MS, 0));
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US + 1900 * MS, 600 * MS), 2);
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US + 1900 * MS + 1, 600 * MS), 0);
}
END_TEST

/* Guards against ignoring a restarted owner whose clock starts lower, and against a delayed report of the old
 * incarnation replacing a report of the new one. */
START_TEST (test_incarnations)
{
  ck_assert (accept (START_US, 1, REMOTE_CLOCK_US, 0));
  ck_assert (accept (START_US + 1100 * MS, 2, MS, 700 * MS));
  ck_assert (!accept (START_US + 1200 * MS, 1, REMOTE_CLOCK_US + 10 * MS, 0));
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US + 1200 * MS, 600 * MS), 0);
  ck_assert (accept (START_US + 1300 * MS, 2, 200 * MS, 0));
}
END_TEST

/* Guards against using a report that was in transit for longer than its lifetime. */
START_TEST (test_delayed_report)
{
  WcBacklogReport report = make_report (1, REMOTE_CLOCK_US, 0);

  report.echo_us = START_US;
  report.echo_held_us = 100 * MS;
  report.echo_incarnation = OWN_INCARNATION;
  ck_assert (!wc_report_exchange_accept (&exchange, START_US + 1200 * MS, OWN_INCARNATION, &report, &delays));
  ck_assert_uint_eq (delays.count, 0);
}
END_TEST

/* Guards against computing the delay from two different clocks, from an echo of another incarnation's clock, or without
 * subtracting the time between receiving and echoing. */
START_TEST (test_delay_from_echo)
{
  WcBacklogReport report = make_report (1, REMOTE_CLOCK_US, 0);

  report.echo_us = START_US;
  report.echo_held_us = 300 * MS;
  report.echo_incarnation = OWN_INCARNATION + 1;
  ck_assert (wc_report_exchange_accept (&exchange, START_US + 308 * MS, OWN_INCARNATION, &report, &delays));
  ck_assert_uint_eq (delays.count, 0);
  report.sent_us++;
  report.echo_incarnation = OWN_INCARNATION;
  ck_assert (wc_report_exchange_accept (&exchange, START_US + 308 * MS, OWN_INCARNATION, &report, &delays));
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 2), 4 * MS);
  ck_assert_uint_eq (exchange.spill.peers[0].delay_us, 4 * MS);
}
END_TEST

/* Guards against an echo without the time since the report arrived, and against echoing an expired report. */
START_TEST (test_fill)
{
  WcBacklogReport report = { 0 };

  wc_report_exchange_fill (&exchange, START_US, &exchange.peers[0], &report);
  ck_assert_uint_eq (report.echo_us, 0);
  ck_assert_uint_eq (report.sent_us, START_US);
  ck_assert (accept (START_US, 0x700000001, REMOTE_CLOCK_US, 0));
  wc_report_exchange_fill (&exchange, START_US, &exchange.peers[0], &report);
  ck_assert_uint_eq (report.sent_us, START_US + 1);
  wc_report_exchange_fill (&exchange, START_US + 50 * MS, &exchange.peers[0], &report);
  ck_assert_uint_eq (report.echo_us, REMOTE_CLOCK_US);
  ck_assert_uint_eq (report.echo_held_us, 50 * MS);
  ck_assert_uint_eq (report.echo_incarnation, 1);
  wc_report_exchange_fill (&exchange, START_US + 2 * SECOND_US, &exchange.peers[0], &report);
  ck_assert_uint_eq (report.echo_us, 0);
}
END_TEST

/* Guards against using reports of an instance that is not the owner, and the last owner's report for a new owner. */
START_TEST (test_owner_changes)
{
  WcBacklogReport stranger = make_report (1, REMOTE_CLOCK_US, 0);

  stranger.instance = 21;
  ck_assert (!wc_report_exchange_accept (&exchange, START_US, OWN_INCARNATION, &stranger, &delays));
  ck_assert (accept (START_US, 1, REMOTE_CLOCK_US, 0));
  set_peer (20);
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US, 600 * MS), 2);
  ck_assert (!accept (START_US + 1, 1, REMOTE_CLOCK_US, 0));
  set_peer (21);
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US, 600 * MS), 0);
  ck_assert (wc_report_exchange_accept (&exchange, START_US, OWN_INCARNATION, &stranger, &delays));
  wc_report_exchange_set_peers (&exchange, NULL, 0, &delays);
  ck_assert_uint_eq (wc_spill_choose_domain (&exchange.spill, START_US, 600 * MS), 0);
}
END_TEST

/* Guards against owners without requests that send each other reports forever, and against an idle owner that sends
 * none to a busy one. */
START_TEST (test_activity)
{
  WcBacklogReport report = make_report (1, REMOTE_CLOCK_US, 0);

  ck_assert (!wc_report_exchange_is_needed (&exchange, START_US));
  report.active = false;
  ck_assert (wc_report_exchange_accept (&exchange, START_US, OWN_INCARNATION, &report, &delays));
  ck_assert (!wc_report_exchange_is_needed (&exchange, START_US));
  ck_assert (accept (START_US, 1, REMOTE_CLOCK_US + 1, 0));
  ck_assert (wc_report_exchange_is_needed (&exchange, START_US));
  ck_assert (!wc_report_exchange_is_active (&exchange, START_US));
  wc_report_exchange_fill (&exchange, START_US, &exchange.peers[0], &report);
  ck_assert (!report.active);
  ck_assert (!wc_report_exchange_is_needed (&exchange, START_US + SECOND_US));
  exchange.last_request_us = START_US;
  ck_assert (wc_report_exchange_is_active (&exchange, START_US + SECOND_US));
  ck_assert (!wc_report_exchange_is_needed (&exchange, START_US + 2 * SECOND_US));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, NULL);
  tcase_add_test (tests, test_repeated_and_reordered_reports);
  tcase_add_test (tests, test_lost_reports);
  tcase_add_test (tests, test_incarnations);
  tcase_add_test (tests, test_delayed_report);
  tcase_add_test (tests, test_delay_from_echo);
  tcase_add_test (tests, test_fill);
  tcase_add_test (tests, test_owner_changes);
  tcase_add_test (tests, test_activity);
}

int
main (void)
{
  return wc_test_run ("report_exchange", add_tests);
}
