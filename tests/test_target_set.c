#include "core/target_set.h"

#include "test_main.h"

enum
{
  SECOND_US = 1000 * 1000,
  TARGETS = 5
};

static WcTargetSet set;

static void
replace (uint32_t count, uint32_t slots, uint32_t weight, uint64_t now_us)
{
  WcDispatchTarget targets[TARGETS];

  for (uint32_t i = 0; i < count; i++)
    targets[i] = (WcDispatchTarget){ .id = i + 1, .slots = 2, .weight = 100 };
  targets[0].slots = slots;
  targets[0].weight = weight;
  wc_target_set_replace (&set, now_us, targets, count);
}

static void
setup (void)
{
  wc_target_set_init (&set);
  replace (TARGETS, 2, 100, 0);
}

static void
teardown (void)
{
  wc_target_set_finish (&set);
}

/* Assigns @count flows, each search starting at another index. */
static void
assign (unsigned count, uint64_t now_us, uint32_t counts[TARGETS + 1])
{
  for (unsigned i = 0; i < count; i++)
    counts[wc_target_set_assign_flow (&set, now_us, i * 2654435761u)->target.id]++;
}

/* Guards against an uneven spread of flows at low load, when no requests are outstanding. */
START_TEST (test_flows_without_load)
{
  uint32_t counts[TARGETS + 1] = { 0 };

  assign (4 * TARGETS, SECOND_US, counts);
  for (unsigned id = 1; id <= TARGETS; id++)
    ck_assert_uint_eq (counts[id], 4);
}
END_TEST

/* Guards against assigning flows regardless of the slots and weights of the targets. */
START_TEST (test_flows_by_capacity)
{
  uint32_t counts[TARGETS + 1] = { 0 };

  replace (TARGETS, 4, 50, 0);
  assign (100, SECOND_US, counts);
  ck_assert_uint_eq (counts[1], 20);
  replace (TARGETS, 2, 50, 0);
  assign (1000, SECOND_US, counts);
  ck_assert_uint_ge (counts[1], 110);
  ck_assert_uint_le (counts[1], 130);
}
END_TEST

/* Guards against assigning flows regardless of the recent work of the targets. */
START_TEST (test_flows_by_recent_work)
{
  uint32_t counts[TARGETS + 1] = { 0 };

  assign (4 * TARGETS, SECOND_US, counts);
  for (unsigned i = 0; i < 5; i++)
    {
      wc_target_set_start_attempt (&set, wc_target_set_find (&set, 3));
      wc_target_set_end_attempt (&set, SECOND_US, 3, WC_OUTCOME_DONE, 100000, 0);
    }
  assign (TARGETS, SECOND_US, counts);
  ck_assert_uint_eq (counts[3], 4);
}
END_TEST

/* Guards against assigning all new flows to a new target until it has as many as the others. */
START_TEST (test_flows_of_new_target)
{
  uint32_t counts[TARGETS + 1] = { 0 };

  replace (TARGETS - 1, 2, 100, 0);
  assign (100 * (TARGETS - 1), SECOND_US, counts);
  replace (TARGETS, 2, 100, SECOND_US);
  counts[TARGETS] = 0;
  assign (10 * TARGETS, SECOND_US, counts);
  ck_assert_uint_ge (counts[TARGETS], 9);
  ck_assert_uint_le (counts[TARGETS], 11);
}
END_TEST

/* Guards against flow counts that do not decay: old flows may be closed and must not keep a target from getting new
 * ones. */
START_TEST (test_flow_decay)
{
  uint32_t counts[TARGETS + 1] = { 0 };

  replace (1, 2, 100, 0);
  assign (100, SECOND_US, counts);
  ck_assert_uint_eq (wc_target_set_find (&set, 1)->flows, 100 * 1024);
  wc_target_set_tick (&set, 61 * SECOND_US);
  ck_assert_uint_lt (wc_target_set_find (&set, 1)->flows, 50 * 1024);
  wc_target_set_tick (&set, 1000 * SECOND_US);
  ck_assert_uint_lt (wc_target_set_find (&set, 1)->flows, 1024);
}
END_TEST

/* Guards against assigning flows to targets in backoff or out of service, and against a crash without targets. */
START_TEST (test_unusable_targets)
{
  WcDispatchTarget targets[3] = { { .id = 1, .slots = 2, .weight = 100, .leaving = true },
                                  { .id = 2, .slots = 2, .weight = 0 },
                                  { .id = 3, .slots = 2, .weight = 100 } };
  uint32_t         counts[TARGETS + 1] = { 0 };

  wc_target_set_replace (&set, 0, targets, 3);
  assign (10, SECOND_US, counts);
  ck_assert_uint_eq (counts[3], 10);
  replace (TARGETS, 2, 100, 0);
  wc_target_set_start_attempt (&set, wc_target_set_find (&set, 5));
  wc_target_set_end_attempt (&set, SECOND_US, 5, WC_OUTCOME_REFUSED, 0, SECOND_US);
  assign (20, SECOND_US, counts);
  ck_assert_uint_eq (counts[5], 0);
  wc_target_set_replace (&set, 0, targets, 2);
  ck_assert_ptr_null (wc_target_set_assign_flow (&set, SECOND_US, 7));
  wc_target_set_replace (&set, 0, NULL, 0);
  ck_assert_ptr_null (wc_target_set_assign_flow (&set, SECOND_US, 7));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, test_flows_without_load);
  tcase_add_test (tests, test_flows_by_capacity);
  tcase_add_test (tests, test_flows_by_recent_work);
  tcase_add_test (tests, test_flows_of_new_target);
  tcase_add_test (tests, test_flow_decay);
  tcase_add_test (tests, test_unusable_targets);
}

int
main (void)
{
  return wc_test_run ("target_set", add_tests);
}
