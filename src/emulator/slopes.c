#include "emulator/slopes.h"

#include <malloc.h>
#include <string.h>

#include "emulator/slopes_fleet.h"

enum
{
  SECOND_US = 1000000,
  DAY_S = 86400,
  STEP_US = 50000,
  /* Step while an edit is not in force yet: each hop of its distribution waits for the next step. */
  SHORT_STEP_US = 10000,
  IN_FORCE_LIMIT_US = 5 * SECOND_US,
  JOIN_S = 20,
  SETTLE_S = 10,
  RESTART_DELAY_US = SECOND_US
};

const char *const WC_SLOPES_PHASE_STRINGS[WC_SLOPES_PHASE_COUNT] = {
  "join", "idle", "changes", "burst", "starts", "return",
};

/**
 * struct PhaseRun - state of a phase and its scheduled events.
 * @edit_interval_us, @start_interval_us: intervals between edits and between restarts; 0 for none.
 * @restart_us: time at which the stopped instance @restarted_index is started again; 0 for none.
 * @pending_edit_us: time of the edit that is not in force on every instance yet; 0 for none.
 */
typedef struct
{
  WcSlopesFleet *fleet;
  WcSlopesStats *stats;
  uint64_t       edit_interval_us;
  uint64_t       next_edit_us;
  uint64_t       last_edit_us;
  uint64_t       start_interval_us;
  uint64_t       next_start_us;
  uint32_t       restarted_index;
  uint64_t       restart_us;
  uint64_t       pending_edit_us;
} PhaseRun;

static void     run_phase (PhaseRun *run, double seconds);
static void     check_edit (PhaseRun *run);
static void     fill_stats (const WcSlopesFleet *fleet, WcSlopesStats *stats, double seconds);
static uint64_t get_heap_bytes (void);
static void     run_return_phase (WcSlopesFleet *fleet, const WcSlopesPlan *plan, WcSlopesStats *stats);

void
wc_slopes_run (const WcSlopesPlan *plan, WcSlopesResult *result)
{
  WcSlopesFleet *fleet = wc_slopes_fleet_new (plan->domains, plan->instances, plan->hosts, plan->seed);
  uint64_t       heap_before_bytes = get_heap_bytes ();
  uint64_t       end_us = fleet->now_us + (uint64_t)JOIN_S * SECOND_US;
  uint64_t       edit_interval_us = plan->changes_per_day > 0 ? (uint64_t)DAY_S * SECOND_US / plan->changes_per_day : 0;
  const WcRegisterSplit *split = wc_slopes_register_get_split (fleet->reg);
  size_t                 size_bytes;

  memset (result, 0, sizeof *result);
  wc_register_split_get_head (split, &size_bytes);
  result->head_bytes = (uint32_t)size_bytes;
  result->parts = (uint32_t)wc_register_split_get_part_count (split);
  for (uint32_t i = 0; i < result->parts; i++)
    {
      const char *key;

      wc_register_split_get_part (split, i, &key, &size_bytes);
      result->register_bytes += (uint32_t)size_bytes;
    }
  for (uint32_t i = 0; i < fleet->count; i++)
    wc_slopes_fleet_start (fleet, i);
  while (fleet->now_us < end_us)
    wc_slopes_fleet_step (fleet);
  result->joined = wc_slopes_fleet_is_in_force (fleet);
  fill_stats (fleet, &result->phases[WC_SLOPES_JOIN], JOIN_S);

  for (int phase = WC_SLOPES_IDLE; phase <= WC_SLOPES_STARTS; phase++)
    {
      PhaseRun run = { .fleet = fleet, .stats = &result->phases[phase] };
      double   seconds = plan->steady_s;

      if (phase == WC_SLOPES_CHANGES)
        run.edit_interval_us = edit_interval_us;
      else if (phase == WC_SLOPES_BURST)
        {
          run.edit_interval_us = SECOND_US;
          seconds = plan->burst;
        }
      else if (phase == WC_SLOPES_STARTS && plan->starts_per_day > 0)
        run.start_interval_us = (uint64_t)DAY_S * SECOND_US / plan->starts_per_day;
      if (phase != WC_SLOPES_IDLE && run.edit_interval_us == 0 && run.start_interval_us == 0)
        continue;
      /* A whole number of intervals gives the rate of the plan. */
      if (phase == WC_SLOPES_CHANGES || phase == WC_SLOPES_STARTS)
        {
          double interval_s = (double)(run.edit_interval_us + run.start_interval_us) / SECOND_US;
          double count = (double)(uint64_t)(seconds / interval_s + 0.999);

          seconds = count * interval_s;
        }
      run_phase (&run, seconds);
      if (phase == WC_SLOPES_IDLE)
        result->heap_bytes = (get_heap_bytes () - heap_before_bytes) / fleet->count;
      run.edit_interval_us = run.start_interval_us = 0;
      for (int i = 0; i < SETTLE_S * SECOND_US / STEP_US; i++)
        {
          wc_slopes_fleet_step (fleet);
          check_edit (&run);
        }
    }
  if (plan->outage_s > 0 && plan->domains > 1)
    run_return_phase (fleet, plan, &result->phases[WC_SLOPES_RETURN]);
  wc_slopes_fleet_delete (fleet);
}

void
wc_slopes_print (const WcSlopesPlan *plan, const WcSlopesResult *result, bool json, FILE *stream)
{
  if (json)
    fprintf (stream, "{\"domains\": %u, \"instances\": %u, \"hosts\": %u, \"changes_per_day\": %u, ", plan->domains,
             plan->instances, plan->hosts, plan->changes_per_day);
  else
    fprintf (stream, "domains %u, instances per domain %u, hosts %u, changes per day %u, starts per day %u, seed %u\n",
             plan->domains, plan->instances, plan->hosts, plan->changes_per_day, plan->starts_per_day, plan->seed);
  if (json)
    fprintf (stream,
             "\"heap_bytes\": %" G_GUINT64_FORMAT ", \"register_bytes\": %u, \"head_bytes\": %u, \"parts\": %u, "
             "\"joined\": %s",
             result->heap_bytes, result->register_bytes, result->head_bytes, result->parts,
             result->joined ? "true" : "false");
  else
    fprintf (stream, "  heap per node %.2f MB; register %u B in %u parts, head %u B%s\n",
             (double)result->heap_bytes / 1e6, result->register_bytes, result->parts, result->head_bytes,
             result->joined ? "" : "; NOT ALL INSTANCES HAVE JOINED");
  for (int i = 0; i < WC_SLOPES_PHASE_COUNT; i++)
    {
      const WcSlopesStats *stats = &result->phases[i];

      if (stats->seconds <= 0)
        continue;
      if (json)
        fprintf (stream,
                 ", \"%s\": {\"seconds\": %.1f, \"sent\": %.1f, \"received\": %.1f, \"most_sent\": %.1f, "
                 "\"most_received\": %.1f, \"platform_bytes\": %.1f, \"reads_per_s\": %.2f, \"most_reads_in_s\": %u, "
                 "\"cpu_percent\": %.3f, \"in_force_ms\": %u, \"late\": %u}",
                 WC_SLOPES_PHASE_STRINGS[i], stats->seconds, stats->sent, stats->received, stats->most_sent,
                 stats->most_received, stats->platform_bytes, stats->reads_per_s, stats->most_reads_in_s,
                 stats->cpu_percent, stats->in_force_ms, stats->late);
      else
        fprintf (
            stream,
            "  %-8s %6.1f s: sent %7.1f B/s, received %7.1f + %6.1f from the platform; maximum sent %8.1f, received "
            "%8.1f; reads %6.2f/s, maximum %4u in 1 s; CPU %.3f%%; in force within %4u ms, late %u\n",
            WC_SLOPES_PHASE_STRINGS[i], stats->seconds, stats->sent, stats->received, stats->platform_bytes,
            stats->most_sent, stats->most_received, stats->reads_per_s, stats->most_reads_in_s, stats->cpu_percent,
            stats->in_force_ms, stats->late);
    }
  if (json)
    fprintf (stream, "}\n");
}

/* local functions */

static void
run_phase (PhaseRun *run, double seconds)
{
  WcSlopesFleet *fleet = run->fleet;
  uint64_t       begin_us = fleet->now_us;
  uint64_t       end_us = begin_us + (uint64_t)(seconds * SECOND_US);

  wc_slopes_fleet_clear_counts (fleet);
  run->next_edit_us = begin_us;
  run->next_start_us = begin_us;
  while (fleet->now_us < end_us)
    {
      if (run->edit_interval_us > 0 && fleet->now_us >= run->next_edit_us)
        {
          run->next_edit_us += run->edit_interval_us;
          wc_slopes_fleet_edit (fleet);
          run->pending_edit_us = fleet->now_us;
        }
      if (run->start_interval_us > 0 && fleet->now_us >= run->next_start_us)
        {
          run->next_start_us += run->start_interval_us;
          run->restarted_index = g_rand_int (fleet->random) % fleet->count;
          run->restart_us = fleet->now_us + RESTART_DELAY_US;
          wc_slopes_fleet_kill (fleet, run->restarted_index);
        }
      if (run->restart_us > 0 && fleet->now_us >= run->restart_us)
        {
          run->restart_us = 0;
          wc_slopes_fleet_start (fleet, run->restarted_index);
        }
      fleet->step_us = run->pending_edit_us > 0 ? SHORT_STEP_US : STEP_US;
      wc_slopes_fleet_step (fleet);
      check_edit (run);
    }
  fleet->step_us = STEP_US;
  if (run->restart_us > 0)
    wc_slopes_fleet_start (fleet, run->restarted_index);
  fill_stats (fleet, run->stats, (double)(fleet->now_us - begin_us) / SECOND_US);
}

static void
check_edit (PhaseRun *run)
{
  uint64_t elapsed_us = run->fleet->now_us - run->pending_edit_us;

  if (run->pending_edit_us == 0)
    return;
  if (!wc_slopes_fleet_is_in_force (run->fleet))
    {
      if (elapsed_us <= IN_FORCE_LIMIT_US)
        return;
      run->stats->late++;
    }
  run->stats->in_force_ms = MAX (run->stats->in_force_ms, (uint32_t)(elapsed_us / 1000));
  run->pending_edit_us = 0;
}

/* Edits continue during the partition at the planned rate; only the time after the partition is measured. */
static void
run_return_phase (WcSlopesFleet *fleet, const WcSlopesPlan *plan, WcSlopesStats *stats)
{
  PhaseRun run = { .fleet = fleet, .stats = stats };

  if (plan->changes_per_day > 0)
    run.edit_interval_us = (uint64_t)DAY_S * SECOND_US / plan->changes_per_day;
  wc_slopes_fleet_set_partitioned (fleet, true);
  run_phase (&run, plan->outage_s);
  wc_slopes_fleet_set_partitioned (fleet, false);
  memset (stats, 0, sizeof *stats);
  run.edit_interval_us = 0;
  run.pending_edit_us = fleet->now_us;
  run_phase (&run, SETTLE_S);
}

static void
fill_stats (const WcSlopesFleet *fleet, WcSlopesStats *stats, double seconds)
{
  double   count = fleet->count;
  uint64_t cpu_ns = 0;

  stats->seconds = seconds;
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const WcSlopesNode *node = &fleet->nodes[i];

      stats->sent += (double)node->sent / count / seconds;
      stats->received += (double)node->received / count / seconds;
      stats->platform_bytes += (double)node->platform_bytes / count / seconds;
      stats->most_sent = MAX (stats->most_sent, (double)node->sent / seconds);
      stats->most_received = MAX (stats->most_received, (double)(node->received + node->platform_bytes) / seconds);
      cpu_ns += node->cpu_ns;
    }
  stats->reads_per_s = (double)fleet->reads / seconds;
  stats->most_reads_in_s = fleet->most_reads_in_s;
  stats->cpu_percent = (double)cpu_ns / 1e7 / count / seconds;
}

static uint64_t
get_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}
