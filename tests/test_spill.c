#include <wigeoncart/spill.h>

#include "test_main.h"

enum
{
  LIFETIME_US = 500000,
  DELAY_US = 4000,
  /* Minimum wait saved for which a request is spilled. */
  GAIN_US = 5 * DELAY_US,
  STEP_US = 3000
};

static void
init_two_peers (WcSpill *spill)
{
  wc_spill_init (spill, LIFETIME_US);
  wc_spill_set_delay (spill, 2, DELAY_US);
  wc_spill_set_delay (spill, 3, DELAY_US);
}

static void
apply (WcSpill *spill, uint64_t now_us, uint32_t domain, int64_t backlog_us)
{
  WcSpillLoad report = { .backlog_us = backlog_us, .step_us = STEP_US };

  wc_spill_set_load (spill, now_us, domain, &report);
}

/* Guards against spilling requests to a domain without a current report, which may be partitioned. */
START_TEST (test_report_lifetime)
{
  WcSpill spill;

  init_two_peers (&spill);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1000, 1000000), 0);
  apply (&spill, 1000, 2, 0);
  apply (&spill, 1000, 9, 0);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1000 + LIFETIME_US, 1000000), 2);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1001 + LIFETIME_US, 1000000), 0);
}
END_TEST

/* Guards against spilling requests that would wait less in their own domain, which also costs traffic between
 * domains.
 */
START_TEST (test_minimum_gain)
{
  WcSpill spill;

  init_two_peers (&spill);
  apply (&spill, 1, 2, 0);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1, 0), 0);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1, GAIN_US), 0);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1, GAIN_US + 1), 2);
  apply (&spill, 1, 2, 10000);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1, GAIN_US + 10000), 0);
  ck_assert_uint_eq (wc_spill_choose_domain (&spill, 1, GAIN_US + 10001), 2);
}
END_TEST

/* Guards against spilling a whole burst to one domain before its next report arrives. */
START_TEST (test_requests_since_last_report)
{
  WcSpill  spill;
  uint32_t sent[4] = { 0 };

  init_two_peers (&spill);
  apply (&spill, 1, 2, -2 * STEP_US);
  apply (&spill, 1, 3, -2 * STEP_US);
  for (int i = 0; i < 20; i++)
    sent[wc_spill_choose_domain (&spill, 1, GAIN_US + 1)]++;
  ck_assert_uint_eq (sent[2], 3);
  ck_assert_uint_eq (sent[3], 3);
  ck_assert_uint_eq (sent[0], 14);
}
END_TEST

/* Guards against reporting more capacity than there is. */
START_TEST (test_measured_load)
{
  WcDispatcherConfig config = { .queue_max_requests = 8, .refusal_backoff_us = 1000, .late_binding = true };
  GRand             *random = g_rand_new_with_seed (1);
  WcDispatcher      *dispatcher = wc_dispatcher_new (&config, wc_policy_find ("product"), random);
  WcDispatchTarget   target = { .id = 1, .slots = 2, .weight = 100 };
  WcDispatchDecision decision;
  WcSpillLoad        report;

  wc_spill_measure_load (dispatcher, 0, &report);
  ck_assert_int_gt (report.backlog_us, 1000000000);
  wc_dispatcher_set_targets (dispatcher, 0, &target, 1);
  for (uint64_t request = 1; request <= 3; request++)
    {
      WcDispatchRequest entry = { .request = request, .worth = 1, .deadline_us = 1000000 };

      wc_dispatcher_submit (dispatcher, 0, &entry);
      wc_dispatcher_next (dispatcher, 0, &decision);
      if (request == 1)
        wc_dispatcher_end_attempt (dispatcher, 1000, 1, WC_OUTCOME_DONE, 1000);
    }
  /* Both slots are in use: one more request waits for half a run time. */
  wc_spill_measure_load (dispatcher, 1000, &report);
  ck_assert_uint_eq (report.step_us, 500);
  ck_assert_int_eq (report.backlog_us, 500);
  wc_dispatcher_end_attempt (dispatcher, 1000, 1, WC_OUTCOME_DONE, 1000);
  wc_dispatcher_end_attempt (dispatcher, 1000, 1, WC_OUTCOME_DONE, 1000);
  wc_spill_measure_load (dispatcher, 1000, &report);
  ck_assert_int_eq (report.backlog_us, -500);
  wc_dispatcher_delete (dispatcher);
  g_rand_free (random);
}
END_TEST

/* Guards against reports that do not differ from the last one, and against decisions based on outdated reports. */
START_TEST (test_report_due)
{
  WcSpill     spill;
  WcSpillLoad report = { .backlog_us = -5 * STEP_US, .step_us = STEP_US };

  init_two_peers (&spill);
  ck_assert (wc_spill_record_due_report (&spill, 1, &report));
  ck_assert (!wc_spill_record_due_report (&spill, 2, &report));
  /* More than two spare slots count as two. */
  report.backlog_us = -2 * STEP_US;
  ck_assert (!wc_spill_record_due_report (&spill, 3, &report));
  report.backlog_us = -2 * STEP_US + DELAY_US;
  ck_assert (!wc_spill_record_due_report (&spill, 4, &report));
  report.backlog_us++;
  ck_assert (wc_spill_record_due_report (&spill, 5, &report));
  ck_assert (!wc_spill_record_due_report (&spill, 4 + LIFETIME_US / 2, &report));
  ck_assert (wc_spill_record_due_report (&spill, 5 + LIFETIME_US / 2, &report));
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("spill");

  tcase_add_test (cases, test_report_lifetime);
  tcase_add_test (cases, test_minimum_gain);
  tcase_add_test (cases, test_requests_since_last_report);
  tcase_add_test (cases, test_measured_load);
  tcase_add_test (cases, test_report_due);
  return wc_test_run_case ("spill", cases);
}
