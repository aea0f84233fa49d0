#include <stdlib.h>

#include "emulator/experiment_state.h"

enum
{
  WINDOW_US = 1000000
};

static int      compare_values (const void *a, const void *b);
static uint64_t percentile (GArray *values, double share);
static double   imbalance (const WcExperiment *experiment);
static double   window_imbalance (const WcExperiment *experiment);
static void     count_verdict (const WcExperimentRequest *request, WcExperimentResult *result);

void
wc_experiment_compute_result (const WcExperiment *experiment, WcExperimentResult *result)
{
  GArray  *waits = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GArray  *responses = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  bool     broken[WC_EXPERIMENT_FLOWS] = { false };
  uint64_t worth = 0;
  uint64_t worth_on_time = 0;
  uint64_t retries = 0;
  uint64_t crossed_domain = 0;

  *result = (WcExperimentResult){ .requests = experiment->request_count };
  for (uint32_t i = 0; i < experiment->request_count; i++)
    {
      const WcExperimentRequest *request = &experiment->requests[i];
      uint64_t                   wait_us;
      uint64_t                   response_us;

      count_verdict (request, result);
      worth += request->worth;
      retries += request->attempts + request->retransmissions;
      crossed_domain += request->crossed_domain;
      if (request->verdict == WC_EXPERIMENT_OUTCOME_NONE ||
          (request->lost && request->verdict == WC_EXPERIMENT_OUTCOME_UNKNOWN))
        broken[request->flow] = true;
      if (request->verdict != WC_EXPERIMENT_OUTCOME_DONE)
        continue;
      if (request->end_us <= request->deadline_us)
        worth_on_time += request->worth;
      wait_us = request->start_us + request->network_delay_us - request->ingress_us;
      g_array_append_val (waits, wait_us);
      response_us = request->end_us - request->sent_us;
      g_array_append_val (responses, response_us);
    }
  for (uint32_t i = 0; i < WC_EXPERIMENT_FLOWS; i++)
    result->broken_flows += broken[i];
  result->imbalance = imbalance (experiment);
  result->imbalance_1s = window_imbalance (experiment);
  result->p50_wait_us = percentile (waits, 0.5);
  result->p99_wait_us = percentile (waits, 0.99);
  result->p50_response_us = percentile (responses, 0.5);
  result->p99_response_us = percentile (responses, 0.99);
  result->worth_on_time = (double)worth_on_time / (double)worth;
  result->retries_per_request = (double)retries / experiment->request_count;
  result->cross_domain = (double)crossed_domain / experiment->request_count;
  result->control_bytes_per_node_s =
      (double)experiment->control_bytes / experiment->instance_count / ((double)experiment->last_arrival_us / 1000000);
  g_array_unref (waits);
  g_array_unref (responses);
}

/* local functions */

static int
compare_values (const void *a, const void *b)
{
  const uint64_t *left = a;
  const uint64_t *right = b;

  return (*left > *right) - (*left < *right);
}

static uint64_t
percentile (GArray *values, double share)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_values);
  return g_array_index (values, uint64_t, (guint)(share * (values->len - 1)));
}

static double
imbalance (const WcExperiment *experiment)
{
  uint64_t sum = 0;
  uint64_t highest = 0;

  for (uint32_t i = 0; i < experiment->host_count; i++)
    {
      sum += experiment->hosts[i].busy_us;
      highest = MAX (highest, experiment->hosts[i].busy_us);
    }
  return sum > 0 ? (double)highest * experiment->host_count / (double)sum : 0;
}

/* Mean over the whole seconds of the run. */
static double
window_imbalance (const WcExperiment *experiment)
{
  uint64_t windows = experiment->last_arrival_us / WINDOW_US;
  uint64_t used = 0;
  double   total = 0;

  for (uint64_t window = 0; window < windows; window++)
    {
      uint64_t sum = 0;
      uint64_t highest = 0;

      for (uint32_t i = 0; i < experiment->host_count; i++)
        {
          const GArray *busy = experiment->hosts[i].windows;
          uint64_t      value = window < busy->len ? g_array_index (busy, uint64_t, window) : 0;

          sum += value;
          highest = MAX (highest, value);
        }
      if (sum == 0)
        continue;
      total += (double)highest * experiment->host_count / (double)sum;
      used++;
    }
  return used > 0 ? total / (double)used : 0;
}

static void
count_verdict (const WcExperimentRequest *request, WcExperimentResult *result)
{
  switch (request->verdict)
    {
    case WC_EXPERIMENT_OUTCOME_DONE:
      result->done++;
      result->late += request->end_us > request->deadline_us;
      break;
    case WC_EXPERIMENT_OUTCOME_REFUSED_EARLY:
      result->refused_early++;
      break;
    case WC_EXPERIMENT_OUTCOME_REFUSED_LATE:
      result->refused_late++;
      break;
    case WC_EXPERIMENT_OUTCOME_UNKNOWN:
      result->unknown++;
      break;
    default:
      result->unanswered++;
      break;
    }
}
