#include <wigeoncart/policy.h>

#include "test_main.h"

enum
{
  TARGETS = 5
};

static void
fill_targets (WcPolicyTarget targets[TARGETS])
{
  for (uint32_t i = 0; i < TARGETS; i++)
    targets[i] = (WcPolicyTarget){ .id = i + 1, .limit = 2, .slots = 2, .weight = 100 };
}

/* Guards against policies that cannot be found by name, and against a missing end of the list. */
START_TEST (test_lookup)
{
  size_t count = 0;

  for (const WcPolicy *policy; (policy = wc_policy_get (count)) != NULL; count++)
    ck_assert_ptr_eq (wc_policy_find (policy->name), policy);
  ck_assert_uint_eq (count, 7);
  ck_assert_ptr_nonnull (wc_policy_find ("product"));
  ck_assert_ptr_null (wc_policy_find ("fastest"));
}
END_TEST

/* Guards against an index out of range, for every policy and count. */
START_TEST (test_index_range)
{
  const WcPolicy *policy = wc_policy_get ((size_t)_i);
  GRand          *random = g_rand_new_with_seed (1);
  WcPolicyTarget  targets[TARGETS];
  uint64_t        state = 0;

  fill_targets (targets);
  for (uint32_t draw = 0; draw < 1000; draw++)
    {
      size_t count = 1 + draw % TARGETS;

      targets[draw % TARGETS].outstanding = draw % 3;
      targets[draw % TARGETS].work_us = draw * 7 % 13;
      ck_assert_uint_lt (policy->choose (targets, count, draw * 2654435761u, &state, random), count);
    }
  g_rand_free (random);
}
END_TEST

/* Guards against policies that do not spread requests evenly over equal targets. */
START_TEST (test_spread)
{
  static const char *const NAMES[] = { "random",      "round-robin",   "hash", "least-outstanding",
                                       "two-choices", "least-reported" };
  const WcPolicy          *policy = wc_policy_find (NAMES[_i]);
  GRand                   *random = g_rand_new_with_seed (2);
  WcPolicyTarget           targets[TARGETS];
  uint32_t                 hits[TARGETS] = { 0 };
  uint64_t                 state = 0;

  fill_targets (targets);
  for (uint32_t draw = 0; draw < 5000; draw++)
    hits[policy->choose (targets, TARGETS, draw * 2654435761u, &state, random)]++;
  for (size_t i = 0; i < TARGETS; i++)
    {
      ck_assert_uint_gt (hits[i], 850);
      ck_assert_uint_lt (hits[i], 1150);
    }
  g_rand_free (random);
}
END_TEST

/* Guards against hashing that moves flows of unchanged targets when a target is added. */
START_TEST (test_hash_stability)
{
  const WcPolicy *policy = wc_policy_find ("hash");
  WcPolicyTarget  targets[TARGETS];
  uint32_t        moved = 0;

  fill_targets (targets);
  for (uint32_t flow = 0; flow < 5000; flow++)
    {
      size_t before = policy->choose (targets, TARGETS - 1, flow * 2654435761u, NULL, NULL);
      size_t after = policy->choose (targets, TARGETS, flow * 2654435761u, NULL, NULL);

      if (before != after)
        {
          ck_assert_uint_eq (after, TARGETS - 1);
          moved++;
        }
    }
  /* One fifth of 5,000 flows plus three standard deviations. */
  ck_assert_uint_lt (moved, 1000 + 85);
}
END_TEST

/* Guards against "least-outstanding" ignoring counts or weights. */
START_TEST (test_least_outstanding)
{
  const WcPolicy *policy = wc_policy_find ("least-outstanding");
  GRand          *random = g_rand_new_with_seed (3);
  WcPolicyTarget  targets[TARGETS];

  fill_targets (targets);
  for (size_t i = 0; i < TARGETS; i++)
    targets[i].outstanding = 4;
  targets[3].outstanding = 3;
  ck_assert_uint_eq (policy->choose (targets, TARGETS, 0, NULL, random), 3);
  /* 4 outstanding attempts at twice the weight count as 2. */
  targets[1].weight = 200;
  ck_assert_uint_eq (policy->choose (targets, TARGETS, 0, NULL, random), 1);
  g_rand_free (random);
}
END_TEST

/* Guards against "two-choices" drawing the same target twice, which could choose the busiest one. */
START_TEST (test_two_choices_distinct)
{
  const WcPolicy *policy = wc_policy_find ("two-choices");
  GRand          *random = g_rand_new_with_seed (4);
  WcPolicyTarget  targets[TARGETS];

  fill_targets (targets);
  targets[2].outstanding = 9;
  for (int draw = 0; draw < 1000; draw++)
    ck_assert_uint_ne (policy->choose (targets, TARGETS, 0, NULL, random), 2);
  g_rand_free (random);
}
END_TEST

/* Guards against "product" choosing a target that does not have the least recent work. */
START_TEST (test_product_least_work)
{
  const WcPolicy *policy = wc_policy_find ("product");
  WcPolicyTarget  targets[TARGETS];
  uint64_t        state = 0;

  fill_targets (targets);
  for (size_t i = 0; i < TARGETS; i++)
    targets[i].work_us = 100 + i;
  targets[4].work_us = 5;
  ck_assert_uint_eq (policy->choose (targets, TARGETS, 0, &state, NULL), 4);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("policy");

  tcase_add_test (cases, test_lookup);
  tcase_add_loop_test (cases, test_index_range, 0, 7);
  tcase_add_loop_test (cases, test_spread, 0, 6);
  tcase_add_test (cases, test_hash_stability);
  tcase_add_test (cases, test_least_outstanding);
  tcase_add_test (cases, test_two_choices_distinct);
  tcase_add_test (cases, test_product_least_work);
  return wc_test_run_case ("policy", cases);
}
