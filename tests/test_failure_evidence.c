#include "test_main.h"

#include "forward/failure_evidence.h"

enum
{
  NOW_US = 1000 * 1000 * 1000,
  SECOND_US = 1000 * 1000,
  PEERS = 27
};

static const WcFailureCounts NONE = { 0, 0 };

static WcFailureSum
sum (const WcFailureEvidence *evidence, uint64_t now_us)
{
  return wc_failure_evidence_sum (evidence, &NONE, PEERS, 0, now_us);
}

/* Guards against datagrams that arrive twice, or reports of one instance in a row, that count several times. */
START_TEST (repeated_report_counts_once)
{
  WcFailureEvidence     evidence = { 0 };
  const WcFailureCounts counts = { 3, 2 };

  for (int i = 0; i < 4; i++)
    for (uint64_t reporter = 11; reporter <= 13; reporter++)
      wc_failure_evidence_add_report (&evidence, reporter, &counts, NOW_US);
  ck_assert_uint_eq (sum (&evidence, NOW_US).counts.answered, 9);
  ck_assert_uint_eq (sum (&evidence, NOW_US).counts.failed, 6);
  ck_assert_uint_eq (sum (&evidence, NOW_US).reporters, 3);
}
END_TEST

/* Guards against one instance, with a defect or a lossy link, that outweighs all others. */
START_TEST (single_instance_is_no_evidence)
{
  WcFailureEvidence     evidence = { 0 };
  const WcFailureCounts absurd = { 0, UINT32_MAX };
  const WcFailureCounts many = { 0, 900 };
  const WcFailureCounts one = { 0, 1 };

  wc_failure_evidence_add_report (&evidence, 11, &absurd, NOW_US);
  ck_assert_uint_eq (sum (&evidence, NOW_US).counts.failed, 0);
  wc_failure_evidence_add_report (&evidence, 11, &many, NOW_US);
  ck_assert_uint_eq (sum (&evidence, NOW_US).counts.failed, 0);
  wc_failure_evidence_add_report (&evidence, 12, &one, NOW_US);
  ck_assert_uint_eq (sum (&evidence, NOW_US).counts.failed, 2);
}
END_TEST

/* Guards against counts of instances that have left, which would keep a host ejected. */
START_TEST (reports_that_stop_expire)
{
  WcFailureEvidence     evidence = { 0 };
  const WcFailureCounts counts = { 0, 2 };

  for (uint64_t reporter = 11; reporter <= 13; reporter++)
    {
      wc_failure_evidence_add_report (&evidence, reporter, &counts, NOW_US);
      wc_failure_evidence_add_estimate (&evidence, reporter, &counts, 0, NOW_US);
    }
  ck_assert_uint_eq (sum (&evidence, NOW_US + SECOND_US).counts.failed, 6);
  ck_assert_uint_eq (sum (&evidence, NOW_US + 3 * SECOND_US).counts.failed, 0);
  ck_assert_ptr_null (wc_failure_evidence_get_estimate (&evidence, NOW_US + 3 * SECOND_US));
  ck_assert (wc_failure_evidence_is_empty (&evidence, NOW_US + 3 * SECOND_US));
}
END_TEST

/* Guards against failures that are lost in a domain with more instances than there is room for. */
START_TEST (failures_displace_other_counts)
{
  WcFailureEvidence     evidence = { 0 };
  const WcFailureCounts failed = { 1, 1 };
  const WcFailureCounts answered = { 5, 0 };

  for (uint64_t reporter = 1; reporter <= 98; reporter++)
    wc_failure_evidence_add_report (&evidence, reporter, &answered, NOW_US);
  for (uint64_t reporter = 101; reporter <= 120; reporter++)
    wc_failure_evidence_add_report (&evidence, reporter, &failed, NOW_US);
  for (uint64_t reporter = 201; reporter <= 298; reporter++)
    wc_failure_evidence_add_report (&evidence, reporter, &answered, NOW_US);
  ck_assert_uint_eq (sum (&evidence, NOW_US).counts.failed, 20);
}
END_TEST

/* Guards against an estimate of one instance that every other one relays, and against relayed copies that stay. */
START_TEST (estimates_need_two_origins)
{
  WcFailureEvidence     evidence = { 0 };
  const WcFailureCounts high = { 10, 60 };
  const WcFailureCounts low = { 10, 6 };

  wc_failure_evidence_add_estimate (&evidence, 11, &high, 0, NOW_US);
  wc_failure_evidence_add_estimate (&evidence, 11, &high, 500 * 1000, NOW_US + SECOND_US);
  ck_assert_ptr_null (wc_failure_evidence_get_estimate (&evidence, NOW_US + SECOND_US));
  wc_failure_evidence_add_estimate (&evidence, 12, &low, 2 * SECOND_US, NOW_US + SECOND_US);
  ck_assert_ptr_null (wc_failure_evidence_get_estimate (&evidence, NOW_US + SECOND_US));
  wc_failure_evidence_add_estimate (&evidence, 12, &low, 0, NOW_US + SECOND_US);
  ck_assert_uint_eq (wc_failure_evidence_get_estimate (&evidence, NOW_US + SECOND_US)->counts.failed, 6);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, repeated_report_counts_once);
  tcase_add_test (tests, single_instance_is_no_evidence);
  tcase_add_test (tests, reports_that_stop_expire);
  tcase_add_test (tests, failures_displace_other_counts);
  tcase_add_test (tests, estimates_need_two_origins);
}

int
main (void)
{
  return wc_test_run ("failure_evidence", add_tests);
}
