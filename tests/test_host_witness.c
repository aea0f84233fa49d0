#include "test_main.h"

#include "forward/host_witness.h"

enum
{
  MS = 1000
};

static const WcUnansweredRequests UNANSWERED = { .requests = 2, .retransmitted_twice = 1, .since_us = 100 * MS };

/* Guards against an instance that counts as several witnesses because it reports often. */
START_TEST (latest_report_replaces_previous)
{
  WcHostWitnesses      witnesses = { 0 };
  WcUnansweredRequests sum = { 0 };

  for (uint64_t now_us = 300 * MS; now_us < 700 * MS; now_us += 100 * MS)
    wc_host_witnesses_add_report (&witnesses, 11, &UNANSWERED, now_us);
  wc_host_witnesses_add_report (&witnesses, 12, &UNANSWERED, 700 * MS);
  ck_assert_uint_eq (wc_host_witnesses_sum (&witnesses, 0, 710 * MS, &sum), 2);
  ck_assert_uint_eq (sum.requests, 4);
  ck_assert_uint_eq (sum.retransmitted_twice, 2);
  ck_assert_uint_eq (sum.since_us, 100 * MS);
}
END_TEST

/* Guards against reports that count after the host has responded, or after the reporter has left. */
START_TEST (expired_reports_are_ignored)
{
  WcHostWitnesses      witnesses = { 0 };
  WcUnansweredRequests sum = { 0 };

  wc_host_witnesses_add_report (&witnesses, 11, &UNANSWERED, 300 * MS);
  ck_assert_uint_eq (wc_host_witnesses_sum (&witnesses, 100 * MS, 310 * MS, &sum), 0);
  ck_assert_uint_eq (wc_host_witnesses_sum (&witnesses, 0, 5000 * MS, &sum), 0);
  ck_assert_uint_eq (sum.requests, 0);
}
END_TEST

/*
 * Guards against witnesses that are displaced by instances which report no unanswered requests, and against a witness
 * that remains after it has withdrawn its report.
 */
START_TEST (empty_reports_use_no_entry)
{
  static const WcUnansweredRequests none = { 0 };
  WcHostWitnesses                   witnesses = { 0 };
  WcUnansweredRequests              sum = { 0 };

  wc_host_witnesses_add_report (&witnesses, 11, &UNANSWERED, 300 * MS);
  for (uint64_t reporter = 20; reporter < 40; reporter++)
    wc_host_witnesses_add_report (&witnesses, reporter, &none, 310 * MS);
  ck_assert_uint_eq (wc_host_witnesses_sum (&witnesses, 0, 320 * MS, &sum), 1);
  wc_host_witnesses_add_report (&witnesses, 11, &none, 330 * MS);
  ck_assert_uint_eq (wc_host_witnesses_sum (&witnesses, 0, 340 * MS, &sum), 0);
}
END_TEST

/* Guards against a table that grows with the number of instances. */
START_TEST (newest_reports_are_kept)
{
  WcHostWitnesses      witnesses = { 0 };
  WcUnansweredRequests sum = { 0 };

  for (uint64_t reporter = 1; reporter <= 20; reporter++)
    wc_host_witnesses_add_report (&witnesses, reporter, &UNANSWERED, (300 + reporter) * MS);
  ck_assert_uint_eq (wc_host_witnesses_sum (&witnesses, 0, 330 * MS, &sum), WC_HOST_WITNESSES);
  for (int i = 0; i < WC_HOST_WITNESSES; i++)
    ck_assert_uint_gt (witnesses.entries[i].reporter, 20 - WC_HOST_WITNESSES);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, latest_report_replaces_previous);
  tcase_add_test (tests, expired_reports_are_ignored);
  tcase_add_test (tests, empty_reports_use_no_entry);
  tcase_add_test (tests, newest_reports_are_kept);
}

int
main (void)
{
  return wc_test_run ("host_witness", add_tests);
}
