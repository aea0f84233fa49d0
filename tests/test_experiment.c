#include "emulator/experiment.h"

#include "test_main.h"

#include <string.h>

static WcExperimentWorkload workload;

static void
run (const char *policy_name, double load, bool failures, uint32_t seed, WcExperimentResult *result)
{
  WcExperimentConfig config = { .workload = &workload, .load = load, .failures = failures, .seed = seed };

  for (size_t i = 0; (config.policy = wc_experiment_get_policy (i)) != NULL; i++)
    if (strcmp (config.policy->name, policy_name) == 0)
      break;
  ck_assert_ptr_nonnull (config.policy);
  wc_experiment_run (&config, result);
}

static void
setup (void)
{
  workload = *wc_experiment_get_workload (0);
  workload.requests = 8000;
}

/* Guards against figures that cannot be reproduced. */
START_TEST (test_deterministic)
{
  const char        *name = wc_experiment_get_policy ((size_t)_i)->name;
  WcExperimentResult first;
  WcExperimentResult second;

  run (name, 0.85, true, 3, &first);
  run (name, 0.85, true, 3, &second);
  ck_assert_uint_eq (first.p99_response_us, second.p99_response_us);
  ck_assert_double_eq (first.worth_on_time, second.worth_on_time);
  ck_assert_double_eq (first.imbalance, second.imbalance);
  run (name, 0.85, true, 4, &second);
  ck_assert_uint_ne (first.p99_response_us, second.p99_response_us);
}
END_TEST

/* Guards against requests that vanish from the figures, or that a failure loses without a failure in the run. */
START_TEST (test_every_request_counted)
{
  static const double LOADS[] = { 0.5, 0.85, 1.3 };
  const char         *name = wc_experiment_get_policy ((size_t)_i)->name;
  WcExperimentResult  result;

  for (int i = 0; i < 3; i++)
    {
      run (name, LOADS[i], false, 1, &result);
      ck_assert_uint_eq (result.done + result.refused_early + result.refused_late + result.unknown + result.unanswered,
                         result.requests);
      ck_assert_uint_eq (result.broken_flows, 0);
      run (name, LOADS[i], true, 1, &result);
      ck_assert_uint_eq (result.done + result.refused_early + result.refused_late + result.unknown + result.unanswered,
                         result.requests);
    }
}
END_TEST

/* Guards against an emulation that loses capacity: with little load nothing is refused and hardly anything waits. */
START_TEST (test_light_load)
{
  const char        *name = wc_experiment_get_policy ((size_t)_i)->name;
  WcExperimentResult result;

  run (name, 0.1, false, 1, &result);
  ck_assert_double_ge (result.worth_on_time, 0.999);
  ck_assert_uint_eq (result.refused_early + result.refused_late, 0);
}
END_TEST

/* Guards against retries beyond the budget of 10% and the floor of one a second on each instance. */
START_TEST (test_retry_budget)
{
  WcExperimentResult result;

  run ("random", 1.3, false, 1, &result);
  ck_assert_double_gt (result.retries_per_request, 0);
  ck_assert_double_lt (result.retries_per_request, 0.12);
}
END_TEST

/* Guards against a limit that is none: it has to be ahead of a random choice. */
START_TEST (test_omniscient_beats_random)
{
  WcExperimentResult limit;
  WcExperimentResult random;

  run ("omniscient", 0.85, false, 1, &limit);
  run ("random", 0.85, false, 1, &random);
  ck_assert_uint_lt (limit.p99_response_us, random.p99_response_us);
  ck_assert_uint_lt (limit.p99_wait_us, random.p99_wait_us);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("experiment");
  int    policies = 0;

  while (wc_experiment_get_policy ((size_t)policies))
    policies++;
  tcase_add_checked_fixture (cases, setup, NULL);
  tcase_set_timeout (cases, 120);
  tcase_add_loop_test (cases, test_deterministic, 0, policies);
  tcase_add_loop_test (cases, test_every_request_counted, 0, policies);
  tcase_add_loop_test (cases, test_light_load, 0, policies);
  tcase_add_test (cases, test_retry_budget);
  tcase_add_test (cases, test_omniscient_beats_random);
  return wc_test_run_case ("experiment", cases);
}
