#include "test_main.h"

#include "forward/host_report.h"

enum
{
  MS = 1000
};

/* Guards against times that shift when a report is read with another clock. */
START_TEST (ages_convert_between_clocks)
{
  const WcHost host = {
    .record = { .id = 7 },
    .busy_flows = 3,
    .last_seen_us = 5000 * MS,
    .unanswered = { .requests = 2, .retransmitted_twice = 1, .since_us = 5100 * MS },
  };
  WcHostReport         report = wc_host_report_from_host (&host, 5400 * MS);
  WcUnansweredRequests unanswered = wc_host_report_get_unanswered (&report, 90400 * MS);

  ck_assert_uint_eq (report.host, 7);
  ck_assert_uint_eq (report.busy, 3);
  ck_assert_uint_eq (unanswered.requests, 2);
  ck_assert_uint_eq (unanswered.retransmitted_twice, 1);
  ck_assert_uint_eq (unanswered.since_us, 90100 * MS);
  ck_assert_uint_eq (wc_host_report_get_last_seen_us (&report, 90400 * MS), 90000 * MS);
}
END_TEST

/* Guards against "never", or a time before the start of this instance, that is read as a time in the future. */
START_TEST (last_seen_never_and_long_ago)
{
  const WcHost host = { .record = { .id = 7 } };
  WcHostReport report = wc_host_report_from_host (&host, 5400 * MS);

  ck_assert_uint_eq (wc_host_report_get_last_seen_us (&report, 400 * MS), 0);
  ck_assert_uint_eq (wc_host_report_get_unanswered (&report, 400 * MS).since_us, 0);
  report.life_age_ms = 3000;
  ck_assert_uint_lt (wc_host_report_get_last_seen_us (&report, 400 * MS), 400 * MS);
}
END_TEST

/* Guards against reports that are relayed forever, and against relayed reports without the original reporter. */
START_TEST (witnesses_are_forwarded_until_expired)
{
  const WcUnansweredRequests unanswered = { 2, 1, 100 * MS };
  WcHost                     host = { .record = { .id = 7 } };
  WcHostReport               reports[WC_HOST_WITNESSES];

  wc_host_witnesses_add_report (&host.witnesses, 11, &unanswered, 300 * MS);
  ck_assert_uint_eq (wc_host_report_from_witnesses (&host, 310 * MS, reports), 1);
  ck_assert_uint_eq (reports[0].reporter, 11);
  ck_assert_uint_eq (reports[0].silent_requests, 2);
  ck_assert_uint_eq (reports[0].silence_age_ms, 210);
  ck_assert_uint_eq (reports[0].life_age_ms, UINT32_MAX);
  ck_assert_uint_eq (wc_host_report_from_witnesses (&host, 9000 * MS, reports), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, ages_convert_between_clocks);
  tcase_add_test (tests, last_seen_never_and_long_ago);
  tcase_add_test (tests, witnesses_are_forwarded_until_expired);
}

int
main (void)
{
  return wc_test_run ("host_report", add_tests);
}
