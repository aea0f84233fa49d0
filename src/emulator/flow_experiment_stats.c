#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

#include "emulator/flow_experiment_private.h"

enum
{
  WINDOW_US = 250 * 1000,
  START_US = 1000 * 1000
};

static void
count_request (const WcFlowExperiment *experiment, const WcFlowRequest *request, WcFlowExperimentCounts *counts);
static bool     is_in_time (const WcFlowExperiment *experiment, const WcFlowRequest *request);
static uint64_t compute_percentile_us (const GArray *values, double share);
static uint64_t compute_recovery_us (const WcFlowExperiment *experiment);

void
wc_flow_experiment_compute_result (const WcFlowExperiment *experiment, WcFlowExperimentResult *result)
{
  *result = (WcFlowExperimentResult){ .rejections = experiment->rejections,
                                      .refusals = experiment->refusals,
                                      .left_unanswered = experiment->left_unanswered };
  for (guint i = 0; i < experiment->requests->len; i++)
    {
      const WcFlowRequest *request = &g_array_index (experiment->requests, WcFlowRequest, i);

      count_request (experiment, request, &result->phases[request->phase]);
      if (request->phase == experiment->scenario->judged_phase)
        count_request (experiment, request, &result->classes[request->class_index]);
    }
  result->rejected_p95_us = compute_percentile_us (experiment->rejection_times_us, 0.95);
  result->recovery_us = compute_recovery_us (experiment);
}

/* local functions */

static void
count_request (const WcFlowExperiment *experiment, const WcFlowRequest *request, WcFlowExperimentCounts *counts)
{
  counts->requests++;
  if (request->is_answered)
    {
      if (is_in_time (experiment, request))
        counts->in_time++;
      else
        counts->late++;
    }
  else if (request->is_expired)
    counts->expired++;
  else
    counts->failed++;
}

static bool
is_in_time (const WcFlowExperiment *experiment, const WcFlowRequest *request)
{
  return request->is_answered &&
         request->end_us - request->start_us <= experiment->scenario->classes[request->class_index].target_us;
}

static uint64_t
compute_percentile_us (const GArray *values, double share)
{
  double  *sorted;
  uint64_t percentile_us;

  if (values->len == 0)
    return 0;
  sorted = g_new (double, values->len);
  for (guint i = 0; i < values->len; i++)
    sorted[i] = (double)g_array_index (values, uint64_t, i);
  gsl_sort (sorted, 1, values->len);
  percentile_us = (uint64_t)gsl_stats_quantile_from_sorted_data (sorted, 1, values->len, share);
  g_free (sorted);
  return percentile_us;
}

/* The last window in which fewer than 95% are in time ends the recovery. */
static uint64_t
compute_recovery_us (const WcFlowExperiment *experiment)
{
  uint64_t  from_us = START_US;
  uint64_t  end_us;
  uint64_t  span_us = 0;
  uint64_t  recovery_us = 0;
  size_t    windows;
  uint32_t *counts;

  for (size_t i = 0; i < experiment->scenario->phase_count; i++)
    {
      span_us += experiment->scenario->phases[i].span_us;
      if (i == experiment->scenario->judged_phase)
        from_us = START_US + span_us;
    }
  if (experiment->scenario->judged_phase + 1 == experiment->scenario->phase_count)
    from_us -= experiment->scenario->phases[experiment->scenario->judged_phase].span_us;
  end_us = START_US + span_us;
  windows = (size_t)((end_us - from_us) / WINDOW_US);
  counts = g_new0 (uint32_t, 2 * (windows + 1));
  for (guint i = 0; i < experiment->requests->len; i++)
    {
      const WcFlowRequest *request = &g_array_index (experiment->requests, WcFlowRequest, i);

      if (request->start_us < from_us || request->start_us >= end_us)
        continue;
      counts[2 * ((request->start_us - from_us) / WINDOW_US)]++;
      counts[2 * ((request->start_us - from_us) / WINDOW_US) + 1] += is_in_time (experiment, request);
    }
  for (size_t i = 0; i < windows; i++)
    if (counts[2 * i + 1] * 20 < counts[2 * i] * 19)
      recovery_us = i + 1 == windows ? UINT64_MAX : (i + 1) * WINDOW_US;
  g_free (counts);
  return recovery_us;
}
