#include "emulator/slopes.h"

#include "emulator/slopes_fleet.h"
#include "test_main.h"

static WcSlopesPlan
small_plan (void)
{
  return (WcSlopesPlan){
    .domains = 1,
    .instances = 4,
    .hosts = 20,
    .changes_per_day = 17280,
    .starts_per_day = 17280,
    .steady_s = 10,
    .burst = 3,
    .seed = 5,
  };
}

/* Guards against figures that miss one side of a link, an edit, or a read, and a fleet that does not take edits. */
START_TEST (phases)
{
  WcSlopesPlan   plan = small_plan ();
  WcSlopesResult result;

  wc_slopes_run (&plan, &result);
  ck_assert (result.joined);
  ck_assert_uint_gt (result.parts, 1);
  for (int i = WC_SLOPES_JOIN; i <= WC_SLOPES_STARTS; i++)
    {
      const WcSlopesStats *figures = &result.phases[i];

      ck_assert_uint_eq (figures->late, 0);
      ck_assert (figures->sent > 0 && figures->reads_per_s > 0);
      ck_assert (figures->most_sent >= figures->sent);
    }
  /* Each instance reads at least the head and the list when it starts. */
  ck_assert_uint_ge (result.phases[WC_SLOPES_JOIN].most_reads_in_s, 2 * plan.instances);
  /* What is sent while idle arrives, but for what is under way at both ends. */
  ck_assert_double_lt (result.phases[WC_SLOPES_IDLE].received, 1.05 * result.phases[WC_SLOPES_IDLE].sent);
  ck_assert_double_gt (result.phases[WC_SLOPES_IDLE].received, 0.95 * result.phases[WC_SLOPES_IDLE].sent);
  /* Two edits in 10 s bring the head and a part to each instance that is no reader, and three in 3 s more a second. */
  ck_assert_double_gt (result.phases[WC_SLOPES_CHANGES].sent, result.phases[WC_SLOPES_IDLE].sent);
  ck_assert_double_gt (result.phases[WC_SLOPES_BURST].sent, result.phases[WC_SLOPES_CHANGES].sent);
  ck_assert_uint_eq (result.phases[WC_SLOPES_IDLE].in_force_ms, 0);
  ck_assert_uint_gt (result.phases[WC_SLOPES_CHANGES].in_force_ms, 0);
  ck_assert (result.phases[WC_SLOPES_RETURN].seconds == 0);
}
END_TEST

/* Guards against two runs of one seed whose figures differ, so that a change of the code cannot be compared. */
START_TEST (test_same_seed_same_result)
{
  WcSlopesPlan   plan = small_plan ();
  WcSlopesResult first;
  WcSlopesResult second;

  wc_slopes_run (&plan, &first);
  wc_slopes_run (&plan, &second);
  for (int i = 0; i < WC_SLOPES_PHASE_COUNT; i++)
    {
      ck_assert (first.phases[i].sent == second.phases[i].sent);
      ck_assert (first.phases[i].reads_per_s == second.phases[i].reads_per_s);
      ck_assert_uint_eq (first.phases[i].in_force_ms, second.phases[i].in_force_ms);
    }
}
END_TEST

/* Guards against a cut that lets edits through, and domains that stay behind when it heals. */
START_TEST (test_partition_heals)
{
  WcSlopesPlan   plan = small_plan ();
  WcSlopesResult result;
  WcSlopesFleet *fleet = wc_slopes_fleet_new (2, 3, 20, 6);

  for (uint32_t i = 0; i < fleet->count; i++)
    wc_slopes_fleet_start (fleet, i);
  for (int i = 0; i < 200; i++)
    wc_slopes_fleet_step (fleet);
  ck_assert (wc_slopes_fleet_is_in_force (fleet));
  wc_slopes_fleet_set_partitioned (fleet, true);
  wc_slopes_fleet_edit (fleet);
  for (int i = 0; i < 200; i++)
    wc_slopes_fleet_step (fleet);
  ck_assert (!wc_slopes_fleet_is_in_force (fleet));
  wc_slopes_fleet_set_partitioned (fleet, false);
  for (int i = 0; i < 200; i++)
    wc_slopes_fleet_step (fleet);
  ck_assert (wc_slopes_fleet_is_in_force (fleet));
  wc_slopes_fleet_delete (fleet);

  plan.domains = 2;
  plan.outage_s = 20;
  wc_slopes_run (&plan, &result);
  ck_assert (result.phases[WC_SLOPES_RETURN].seconds > 0);
  ck_assert_uint_eq (result.phases[WC_SLOPES_RETURN].late, 0);
  ck_assert_uint_gt (result.phases[WC_SLOPES_RETURN].in_force_ms, 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, phases);
  tcase_add_test (tests, test_same_seed_same_result);
  tcase_add_test (tests, test_partition_heals);
}

int
main (void)
{
  return wc_test_run ("slopes", add_tests);
}
