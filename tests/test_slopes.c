#include "emulator/slopes.h"

#include "emulator/slopes_fleet.h"
#include "test_main.h"

static WcSlopesPlan
make_small_plan (void)
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

/* Guards against measurements that omit one end of a link, an edit or a read, and a fleet that does not apply edits. */
START_TEST (test_phases)
{
  WcSlopesPlan   plan = make_small_plan ();
  WcSlopesResult result;

  wc_slopes_run (&plan, &result);
  ck_assert (result.joined);
  ck_assert_uint_gt (result.parts, 1);
  for (int i = WC_SLOPES_JOIN; i <= WC_SLOPES_STARTS; i++)
    {
      const WcSlopesStats *stats = &result.phases[i];

      ck_assert_uint_eq (stats->late, 0);
      ck_assert (stats->sent > 0 && stats->reads_per_s > 0);
      ck_assert (stats->most_sent >= stats->sent);
    }
  /* Each instance reads at least the head and the list of instances when it starts. */
  ck_assert_uint_ge (result.phases[WC_SLOPES_JOIN].most_reads_in_s, 2 * plan.instances);
  /* All frames that are sent while idle arrive, except those in transit at the start and the end of the phase. */
  ck_assert_double_lt (result.phases[WC_SLOPES_IDLE].received, 1.05 * result.phases[WC_SLOPES_IDLE].sent);
  ck_assert_double_gt (result.phases[WC_SLOPES_IDLE].received, 0.95 * result.phases[WC_SLOPES_IDLE].sent);
  /* An edit is sent to each instance that does not read from the platform, as the head and one part. The phase of the
   * changes has two edits in 10 s, the burst three in 3 s. */
  ck_assert_double_gt (result.phases[WC_SLOPES_CHANGES].sent, result.phases[WC_SLOPES_IDLE].sent);
  ck_assert_double_gt (result.phases[WC_SLOPES_BURST].sent, result.phases[WC_SLOPES_CHANGES].sent);
  ck_assert_uint_eq (result.phases[WC_SLOPES_IDLE].in_force_ms, 0);
  ck_assert_uint_gt (result.phases[WC_SLOPES_CHANGES].in_force_ms, 0);
  ck_assert (result.phases[WC_SLOPES_RETURN].seconds == 0);
}
END_TEST

/* Guards against measurements that differ for the same seed, so that the effect of a code change cannot be compared. */
START_TEST (test_same_seed_same_result)
{
  WcSlopesPlan   plan = make_small_plan ();
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

/* Guards against edits that cross a partition, and domains that do not get the edits after the partition has ended. */
START_TEST (test_partition_heals)
{
  WcSlopesPlan   plan = make_small_plan ();
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
  tcase_add_test (tests, test_phases);
  tcase_add_test (tests, test_same_seed_same_result);
  tcase_add_test (tests, test_partition_heals);
}

int
main (void)
{
  return wc_test_run ("slopes", add_tests);
}
