#include <wigeoncart/dispatcher.h>

#include "test_main.h"

enum
{
  FAR_US = 1000000000,
  BACKOFF_US = 1000
};

static GRand        *random_source;
static WcDispatcher *dispatcher;

static void
setup (void)
{
  WcDispatcherConfig config = {
    .queue_max_requests = 8, .retry_budget_percent = 10, .refusal_backoff_us = BACKOFF_US, .late_binding = true
  };

  random_source = g_rand_new_with_seed (1);
  dispatcher = wc_dispatcher_new (&config, wc_policy_find ("product"), random_source);
}

static void
teardown (void)
{
  wc_dispatcher_delete (dispatcher);
  g_rand_free (random_source);
}

static WcDispatchTarget
target (uint32_t id)
{
  return (WcDispatchTarget){ .id = id, .slots = 2, .weight = 100 };
}

static void
set_targets (uint64_t now_us, uint32_t count)
{
  WcDispatchTarget targets[16];

  for (uint32_t i = 0; i < count; i++)
    targets[i] = target (i + 1);
  wc_dispatcher_set_targets (dispatcher, now_us, targets, count);
}

static WcRefusal
submit (uint64_t now_us, uint64_t request, uint32_t worth, uint64_t deadline_us, uint32_t attempts)
{
  WcDispatchRequest entry = { .request = request, .worth = worth, .deadline_us = deadline_us, .attempts = attempts };

  return wc_dispatcher_submit (dispatcher, now_us, &entry);
}

/* Asserts that the next decision is a dispatch. Return: its target. */
static uint32_t
expect_dispatch (uint64_t now_us, uint64_t request)
{
  WcDispatchDecision decision;

  ck_assert (wc_dispatcher_next (dispatcher, now_us, &decision));
  ck_assert_int_eq (decision.refusal, WC_REFUSAL_NONE);
  if (request != 0)
    ck_assert_uint_eq (decision.request, request);
  return decision.target;
}

static void
expect_rejection (uint64_t now_us, uint64_t request, WcRefusal refusal)
{
  WcDispatchDecision decision;

  ck_assert (wc_dispatcher_next (dispatcher, now_us, &decision));
  ck_assert_int_eq (decision.refusal, refusal);
  ck_assert_uint_eq (decision.request, request);
}

static void
expect_nothing (uint64_t now_us)
{
  WcDispatchDecision decision;

  ck_assert (!wc_dispatcher_next (dispatcher, now_us, &decision));
}

/* Fills both slots of target 1, so that further requests are queued. */
static void
occupy_one_target (uint64_t now_us)
{
  set_targets (now_us, 1);
  for (uint64_t request = 101; request <= 102; request++)
    {
      ck_assert_int_eq (submit (now_us, request, 1, FAR_US, 0), WC_REFUSAL_NONE);
      expect_dispatch (now_us, request);
    }
}

/* Guards against more outstanding attempts at a target than it has slots. */
START_TEST (test_late_binding)
{
  uint32_t counts[4] = { 0 };

  set_targets (0, 3);
  for (uint64_t request = 1; request <= 7; request++)
    ck_assert_int_eq (submit (0, request, 1, FAR_US, 0), WC_REFUSAL_NONE);
  for (uint64_t request = 1; request <= 6; request++)
    counts[expect_dispatch (0, request)]++;
  expect_nothing (0);
  for (uint32_t id = 1; id <= 3; id++)
    {
      ck_assert_uint_eq (counts[id], 2);
      ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, id), 2);
    }
  ck_assert_uint_eq (wc_dispatcher_get_queue_length (dispatcher), 1);
  wc_dispatcher_end_attempt (dispatcher, 10, 2, WC_OUTCOME_DONE, 10);
  ck_assert_uint_eq (expect_dispatch (10, 7), 2);
}
END_TEST

/* Guards against sending new requests to a leaving target, and against losing its outstanding count. */
START_TEST (test_leaving)
{
  WcDispatchTarget targets[] = { target (1), target (2) };

  set_targets (0, 2);
  for (uint64_t request = 1; request <= 4; request++)
    {
      submit (0, request, 1, FAR_US, 0);
      expect_dispatch (0, request);
    }
  targets[0].leaving = true;
  wc_dispatcher_set_targets (dispatcher, 1, targets, 2);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 2);
  submit (1, 5, 1, FAR_US, 0);
  wc_dispatcher_end_attempt (dispatcher, 2, 1, WC_OUTCOME_DONE, 2);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 1);
  expect_nothing (2);
  wc_dispatcher_end_attempt (dispatcher, 3, 2, WC_OUTCOME_DONE, 2);
  ck_assert_uint_eq (expect_dispatch (3, 5), 2);
}
END_TEST

/* Guards against losing outstanding counts when the set is replaced, which would overload full targets. */
START_TEST (test_counts_after_replacement)
{
  set_targets (0, 1);
  submit (0, 1, 1, FAR_US, 0);
  expect_dispatch (0, 1);
  set_targets (1, 2);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 1);
  set_targets (2, 1);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 1);
}
END_TEST

/* Guards against losing the outstanding count of a target that is removed and added again. */
START_TEST (test_removed_and_added_again)
{
  WcDispatchTarget other = target (2);

  occupy_one_target (0);
  wc_dispatcher_set_targets (dispatcher, 1, &other, 1);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 2);
  wc_dispatcher_end_attempt (dispatcher, 2, 1, WC_OUTCOME_DONE, 2);
  set_targets (3, 2);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 1);
  for (uint64_t request = 1; request <= 3; request++)
    {
      submit (3, request, 1, FAR_US, 0);
      expect_dispatch (3, request);
    }
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 2);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 2), 2);
}
END_TEST

/* Guards against counter underflow when the end of an attempt is reported for a target that is unknown or has none. */
START_TEST (test_end_of_unknown_target)
{
  set_targets (0, 1);
  wc_dispatcher_end_attempt (dispatcher, 1, 99, WC_OUTCOME_DONE, 5);
  wc_dispatcher_end_attempt (dispatcher, 1, 1, WC_OUTCOME_REFUSED, 0);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 0);
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 99), 0);
  submit (1, 1, 1, FAR_US, 0);
  ck_assert_uint_eq (expect_dispatch (1, 1), 1);
}
END_TEST

/* Guards against queueing requests that cannot be run in time, and against rejecting those that can. */
START_TEST (test_expected_wait)
{
  occupy_one_target (0);
  wc_dispatcher_end_attempt (dispatcher, 1000, 1, WC_OUTCOME_DONE, 1000);
  submit (1000, 103, 1, FAR_US, 0);
  expect_dispatch (1000, 103);
  /* Run time 1,000 us and 2 slots: the next request waits about 500 us and ends in 1,500 us. */
  ck_assert_uint_eq (wc_dispatcher_get_expected_wait_us (dispatcher, 1000, 1), 500);
  ck_assert_int_eq (submit (1000, 1, 1, 1000 + 1500, 0), WC_REFUSAL_TOO_LATE);
  ck_assert_int_eq (submit (1000, 2, 1, 1000 + 1501, 0), WC_REFUSAL_NONE);
  ck_assert_int_eq (submit (1000, 3, 1, 1000 + 1501, 0), WC_REFUSAL_TOO_LATE);
  /* Requests of lower worth do not count for the expected wait of one of higher worth. */
  ck_assert_int_eq (submit (1000, 4, 64, 1000 + 1501, 0), WC_REFUSAL_NONE);
  expect_nothing (1000);
  /* Queued requests that have reached their start deadline are rejected. */
  ck_assert_uint_eq (wc_dispatcher_get_wake_us (dispatcher), 1501);
  expect_rejection (1501, 2, WC_REFUSAL_TOO_LATE);
  expect_rejection (1501, 4, WC_REFUSAL_TOO_LATE);
  expect_nothing (1501);
}
END_TEST

/* Guards against rejecting all requests forever after one long run, because only new runs can correct the estimate. */
START_TEST (test_run_estimate_after_one_long_run)
{
  set_targets (0, 2);
  submit (0, 1, 1, FAR_US, 0);
  wc_dispatcher_end_attempt (dispatcher, 4000, expect_dispatch (0, 1), WC_OUTCOME_DONE, 4000);
  ck_assert_int_eq (submit (4000, 2, 1, 4000 + 2000, 0), WC_REFUSAL_NONE);
  expect_dispatch (4000, 2);
  /* While an attempt is in progress, the estimate is used. */
  ck_assert_int_eq (submit (4000, 3, 1, 4000 + 2000, 0), WC_REFUSAL_TOO_LATE);
}
END_TEST

/* Guards against starting orders so late that they are stopped at their deadline with an unknown outcome, and against
 * using the larger margin for idempotent requests. */
START_TEST (test_start_deadline_of_orders)
{
  WcDispatchRequest order = { .request = 1, .worth = 1, .deadline_us = 15000, .non_idempotent = true };
  WcDispatchRequest view = { .request = 2, .worth = 1, .deadline_us = 15000 };

  occupy_one_target (0);
  /* One run in 10 takes 9 times as long. */
  for (uint64_t request = 1000; request < 4000; request++)
    {
      wc_dispatcher_end_attempt (dispatcher, 0, 1, WC_OUTCOME_DONE, request % 10 == 0 ? 9000 : 1000);
      ck_assert_int_eq (submit (0, request, 1, FAR_US, 0), WC_REFUSAL_NONE);
      expect_dispatch (0, request);
    }
  ck_assert_int_eq (wc_dispatcher_submit (dispatcher, 0, &order), WC_REFUSAL_NONE);
  ck_assert_int_eq (wc_dispatcher_submit (dispatcher, 0, &view), WC_REFUSAL_NONE);
  /* A long run takes more than half of the time left, so the margin is limited to half of it. */
  expect_nothing (7499);
  expect_rejection (7500, 1, WC_REFUSAL_TOO_LATE);
  expect_nothing (12000);
  expect_rejection (14000, 2, WC_REFUSAL_TOO_LATE);
}
END_TEST

/* Guards against rejecting all requests forever after several long runs: while no attempt is in progress, run times are
 * not measured. */
START_TEST (test_run_estimate_when_idle)
{
  occupy_one_target (0);
  for (int i = 0; i < 2; i++)
    wc_dispatcher_end_attempt (dispatcher, 0, 1, WC_OUTCOME_DONE, 50000);
  ck_assert_int_eq (submit (0, 1, 1, 1000, 0), WC_REFUSAL_NONE);
  expect_dispatch (0, 1);
  ck_assert_int_eq (submit (0, 2, 1, 1000, 0), WC_REFUSAL_TOO_LATE);
}
END_TEST

/* Guards against requests of high worth waiting behind others under overload, when not all can be run in time. */
START_TEST (test_worth_order)
{
  enum
  {
    SOON_US = 3500
  };

  occupy_one_target (0);
  wc_dispatcher_end_attempt (dispatcher, 0, 1, WC_OUTCOME_DONE, 1000);
  ck_assert_int_eq (submit (0, 101, 1, FAR_US, 0), WC_REFUSAL_NONE);
  expect_dispatch (0, 101);
  ck_assert_int_eq (submit (0, 1, 1, SOON_US, 0), WC_REFUSAL_NONE);
  ck_assert_int_eq (submit (0, 2, 5, SOON_US, 0), WC_REFUSAL_NONE);
  ck_assert_int_eq (submit (0, 3, 5, SOON_US - 1, 0), WC_REFUSAL_NONE);
  ck_assert_int_eq (submit (0, 4, 2, SOON_US, 0), WC_REFUSAL_NONE);
  ck_assert_int_eq (submit (0, 5, 5, SOON_US, 0), WC_REFUSAL_NONE);
  ck_assert (wc_dispatcher_remove (dispatcher, 4));
  ck_assert (!wc_dispatcher_remove (dispatcher, 4));
  for (int i = 0; i < 4; i++)
    {
      static const uint64_t ORDER[] = { 3, 2, 5, 1 };

      wc_dispatcher_end_attempt (dispatcher, 600, 1, WC_OUTCOME_DONE, 0);
      expect_dispatch (600, ORDER[i]);
    }
}
END_TEST

/* Guards against ordering by worth when all requests can be run in time, which delays those of low worth. */
START_TEST (test_arrival_order)
{
  occupy_one_target (0);
  wc_dispatcher_end_attempt (dispatcher, 0, 1, WC_OUTCOME_DONE, 1000);
  submit (0, 101, 1, FAR_US, 0);
  expect_dispatch (0, 101);
  submit (0, 1, 1, FAR_US, 0);
  submit (0, 2, 5, FAR_US, 0);
  submit (0, 3, 2, FAR_US - 1, 0);
  for (uint64_t request = 1; request <= 3; request++)
    {
      wc_dispatcher_end_attempt (dispatcher, 0, 1, WC_OUTCOME_DONE, 0);
      expect_dispatch (0, request);
    }
}
END_TEST

/* Guards against a full queue that rejects requests of high worth and keeps those of low worth. */
START_TEST (test_full_queue)
{
  occupy_one_target (0);
  for (uint64_t request = 1; request <= 8; request++)
    ck_assert_int_eq (submit (0, request, 2, FAR_US + request, 0), WC_REFUSAL_NONE);
  ck_assert_int_eq (submit (0, 9, 1, FAR_US, 0), WC_REFUSAL_QUEUE_FULL);
  ck_assert_int_eq (submit (0, 10, 2, FAR_US + 10, 0), WC_REFUSAL_QUEUE_FULL);
  /* At equal worth, the request with the latest deadline is evicted. */
  ck_assert_int_eq (submit (0, 11, 2, FAR_US, 0), WC_REFUSAL_NONE);
  expect_rejection (0, 8, WC_REFUSAL_LOW_WORTH);
  ck_assert_int_eq (submit (0, 12, 3, FAR_US + 20, 0), WC_REFUSAL_NONE);
  expect_rejection (0, 7, WC_REFUSAL_LOW_WORTH);
  expect_nothing (0);
  ck_assert_uint_eq (wc_dispatcher_get_queue_length (dispatcher), 8);
}
END_TEST

/* Guards against retries that multiply the load of failing targets, and against rejecting all retries at low traffic.
 */
START_TEST (test_retry_budget)
{
  uint32_t granted = 0;

  occupy_one_target (0);
  /* The minimum of 3 retries plus 10% of the 2 + 50 first attempts is 8. */
  for (uint64_t request = 1; request <= 50; request++)
    {
      ck_assert_int_eq (submit (0, request, 1, FAR_US, 0), WC_REFUSAL_NONE);
      ck_assert (wc_dispatcher_remove (dispatcher, request));
    }
  for (uint64_t request = 1; request <= 20; request++)
    if (submit (0, request, 1, FAR_US, 1) == WC_REFUSAL_NONE)
      {
        granted++;
        wc_dispatcher_remove (dispatcher, request);
      }
  ck_assert_uint_eq (granted, 8);
  ck_assert_int_eq (submit (0, 1, 1, FAR_US, 1), WC_REFUSAL_RETRY_BUDGET);
  ck_assert_int_eq (submit (1000000, 1, 1, FAR_US, 1), WC_REFUSAL_NONE);
  ck_assert_int_eq (submit (1000000, 2, 1, FAR_US, 1), WC_REFUSAL_RETRY_BUDGET);
}
END_TEST

/* Guards against a target that attracts all requests because it refuses or fails them immediately. */
START_TEST (test_backoff)
{
  WcOutcome outcome = _i == 0 ? WC_OUTCOME_REFUSED : WC_OUTCOME_FAILED;

  set_targets (0, 1);
  submit (0, 1, 1, FAR_US, 0);
  expect_dispatch (0, 1);
  wc_dispatcher_end_attempt (dispatcher, 10, 1, outcome, 0);
  submit (10, 2, 1, FAR_US, 0);
  expect_nothing (10);
  ck_assert_uint_eq (wc_dispatcher_get_wake_us (dispatcher), 10 + BACKOFF_US);
  expect_nothing (10 + BACKOFF_US - 1);
  expect_dispatch (10 + BACKOFF_US, 2);
  /* The second consecutive refusal or failure doubles the backoff. */
  wc_dispatcher_end_attempt (dispatcher, 5000, 1, outcome, 0);
  submit (5000, 3, 1, FAR_US, 0);
  expect_nothing (5000 + 2 * BACKOFF_US - 1);
  expect_dispatch (5000 + 2 * BACKOFF_US, 3);
  wc_dispatcher_end_attempt (dispatcher, 9000, 1, WC_OUTCOME_DONE, 100);
  submit (9000, 4, 1, FAR_US, 0);
  expect_dispatch (9000, 4);
}
END_TEST

/* Guards against a cold target that immediately gets its full share. */
START_TEST (test_ramp_up)
{
  WcDispatchTarget targets[] = { target (1), target (2) };

  occupy_one_target (0);
  targets[1].cold_start_ms = 1000;
  wc_dispatcher_set_targets (dispatcher, 0, targets, 2);
  submit (0, 1, 1, FAR_US, 0);
  submit (0, 2, 1, FAR_US, 0);
  ck_assert_uint_eq (expect_dispatch (0, 1), 2);
  expect_nothing (0);
  expect_nothing (999999);
  ck_assert_uint_eq (expect_dispatch (1000000, 2), 2);
}
END_TEST

/* Guards against weights that have no effect while all slots are busy, and against requests for weight 0. */
START_TEST (test_weights)
{
  WcDispatchTarget targets[] = { target (1), target (2), target (3) };
  uint32_t         counts[4] = { 0 };

  targets[1].weight = 50;
  targets[2].weight = 0;
  wc_dispatcher_set_targets (dispatcher, 0, targets, 3);
  for (uint64_t request = 1; request <= 5; request++)
    submit (0, request, 1, FAR_US, 0);
  for (uint64_t request = 1; request <= 3; request++)
    counts[expect_dispatch (0, request)]++;
  expect_nothing (0);
  ck_assert_uint_eq (counts[1], 2);
  ck_assert_uint_eq (counts[2], 1);
}
END_TEST

/* Guards against requests that are queued forever when there is no target. */
START_TEST (test_no_target)
{
  ck_assert_int_eq (submit (0, 1, 1, FAR_US, 0), WC_REFUSAL_NO_TARGET);
  occupy_one_target (0);
  submit (0, 2, 1, FAR_US, 0);
  set_targets (1, 0);
  expect_rejection (1, 2, WC_REFUSAL_NO_TARGET);
  expect_nothing (1);
}
END_TEST

/* Guards against ignoring a flow's preferred target, and against choosing it although its recent work exceeds the mean
 * by more than 1/8. */
START_TEST (test_preferred_target)
{
  WcDispatchRequest request = { .request = 1, .worth = 1, .deadline_us = FAR_US, .preferred_target = 2 };

  set_targets (0, 3);
  wc_dispatcher_submit (dispatcher, 0, &request);
  ck_assert_uint_eq (expect_dispatch (0, 1), 2);
  wc_dispatcher_end_attempt (dispatcher, 1000, 2, WC_OUTCOME_DONE, 1000);
  request.request = 2;
  wc_dispatcher_submit (dispatcher, 1000, &request);
  ck_assert_uint_ne (expect_dispatch (1000, 2), 2);
}
END_TEST

/* Guards against queueing without late binding, where every request is sent immediately. */
START_TEST (test_early_binding)
{
  WcDispatcherConfig config = { .queue_max_requests = 8, .retry_budget_percent = 10, .refusal_backoff_us = BACKOFF_US };

  wc_dispatcher_delete (dispatcher);
  dispatcher = wc_dispatcher_new (&config, wc_policy_find ("round-robin"), random_source);
  set_targets (0, 2);
  for (uint64_t request = 1; request <= 20; request++)
    {
      ck_assert_int_eq (submit (0, request, 1, FAR_US, 0), WC_REFUSAL_NONE);
      expect_dispatch (0, request);
    }
  ck_assert_uint_eq (wc_dispatcher_get_outstanding (dispatcher, 1), 10);
  wc_dispatcher_end_attempt (dispatcher, 1, 1, WC_OUTCOME_REFUSED, 0);
  wc_dispatcher_end_attempt (dispatcher, 1, 2, WC_OUTCOME_REFUSED, 0);
  submit (2, 21, 1, FAR_US, 0);
  expect_dispatch (2, 21);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("dispatcher");

  tcase_add_checked_fixture (cases, setup, teardown);
  tcase_add_test (cases, test_late_binding);
  tcase_add_test (cases, test_leaving);
  tcase_add_test (cases, test_counts_after_replacement);
  tcase_add_test (cases, test_removed_and_added_again);
  tcase_add_test (cases, test_end_of_unknown_target);
  tcase_add_test (cases, test_expected_wait);
  tcase_add_test (cases, test_run_estimate_after_one_long_run);
  tcase_add_test (cases, test_start_deadline_of_orders);
  tcase_add_test (cases, test_run_estimate_when_idle);
  tcase_add_test (cases, test_worth_order);
  tcase_add_test (cases, test_arrival_order);
  tcase_add_test (cases, test_full_queue);
  tcase_add_test (cases, test_retry_budget);
  tcase_add_loop_test (cases, test_backoff, 0, 2);
  tcase_add_test (cases, test_ramp_up);
  tcase_add_test (cases, test_weights);
  tcase_add_test (cases, test_no_target);
  tcase_add_test (cases, test_preferred_target);
  tcase_add_test (cases, test_early_binding);
  return wc_test_run_case ("dispatcher", cases);
}
