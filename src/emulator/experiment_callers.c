#include "emulator/experiment_state.h"

enum
{
  RETRANSMIT_US = 300000,
  /* Time until the fabric detects the failure of an instance and sends no more datagrams to it. */
  FABRIC_DETECTION_US = 200000,
  BURST_REQUESTS = 20,
  BURST_SPREAD_US = 10000,
  BURST_SHARE_PERCENT = 5
};

static uint16_t choose_instance (const WcExperiment *experiment, GRand *random);
static void     send_request (WcExperiment *experiment, uint32_t request, uint16_t instance);

/* Generates all requests before the run, so that every policy gets the same requests. */
void
wc_experiment_callers_init (WcExperiment *experiment)
{
  const WcExperimentWorkload *workload = experiment->config->workload;
  double                      mean_us = 0;
  double                      rate;
  uint32_t                    slots = 0;

  for (size_t i = 0; i < workload->class_count; i++)
    mean_us += workload->classes[i].mean_us * workload->classes[i].share_percent / 100;
  for (size_t i = 0; i < WC_EXPERIMENT_DOMAINS; i++)
    slots += workload->hosts[i] * workload->slots;
  rate = experiment->config->load * slots / mean_us;
  experiment->interval_us = 1 / (rate * (100 - BURST_SHARE_PERCENT) / 100);
  experiment->burst_interval_us = BURST_REQUESTS / (rate * BURST_SHARE_PERCENT / 100);
  experiment->request_count = workload->requests;
  experiment->requests = g_new0 (WcExperimentRequest, workload->requests);
  experiment->next_burst_us =
      (uint64_t)wc_experiment_generate_exponential (experiment->arrival_random, experiment->burst_interval_us);
  {
    GArray  *times = g_array_new (FALSE, FALSE, sizeof (uint64_t));
    uint64_t next_us = 0;

    while (times->len < workload->requests)
      {
        next_us +=
            1 + (uint64_t)wc_experiment_generate_exponential (experiment->arrival_random, experiment->interval_us);
        while (experiment->next_burst_us <= next_us)
          {
            for (int i = 0; i < BURST_REQUESTS; i++)
              {
                uint64_t time_us = experiment->next_burst_us +
                                   (uint64_t)g_rand_int_range (experiment->arrival_random, 0, BURST_SPREAD_US);

                g_array_append_val (times, time_us);
              }
            experiment->next_burst_us += 1 + (uint64_t)wc_experiment_generate_exponential (
                                                 experiment->arrival_random, experiment->burst_interval_us);
          }
        g_array_append_val (times, next_us);
      }
    for (uint32_t i = 0; i < workload->requests; i++)
      {
        WcExperimentRequest *request = &experiment->requests[i];
        const WcExperimentClass *class = &workload->classes[0];
        gint32 percent = g_rand_int_range (experiment->arrival_random, 0, 100);

        request->sent_us = g_array_index (times, uint64_t, i);
        if (workload->class_count > 1 && percent >= (gint32) class->share_percent)
          class = &workload->classes[1];
        request->class = (uint8_t)(class - workload->classes);
        request->run_us = wc_experiment_generate_run_us (experiment->arrival_random, class);
        request->worth = wc_experiment_generate_worth (experiment->arrival_random);
        request->flow = (uint32_t)g_rand_int_range (experiment->arrival_random, 0, WC_EXPERIMENT_FLOWS);
        request->deadline_us = request->sent_us + class->deadline_us;
        request->first_instance =
            (uint16_t)g_rand_int_range (experiment->arrival_random, 0, (gint32)experiment->instance_count);
        request->instance = WC_EXPERIMENT_NO_INDEX;
        request->host = WC_EXPERIMENT_NO_INDEX;
        experiment->last_arrival_us = MAX (experiment->last_arrival_us, request->sent_us);
        wc_experiment_schedule (experiment, request->sent_us, WC_EXPERIMENT_ARRIVAL, i, 0, 0, 0);
      }
    g_array_unref (times);
  }
}

void
wc_experiment_arrival (WcExperiment *experiment, uint32_t request)
{
  uint16_t                    instance = experiment->requests[request].first_instance;
  const WcExperimentInstance *chosen = &experiment->instances[instance];

  if (!chosen->alive && experiment->now_us >= chosen->alive_changed_us + FABRIC_DETECTION_US)
    instance = choose_instance (experiment, experiment->network_random);
  send_request (experiment, request, instance);
}

void
wc_experiment_retransmit (WcExperiment *experiment, uint32_t request)
{
  WcExperimentRequest *entry = &experiment->requests[request];

  if (entry->outcome != WC_EXPERIMENT_OUTCOME_NONE || experiment->now_us >= entry->deadline_us)
    return;
  /* An instance that holds the request recognizes the repeated request id, so a retransmission has an effect only when
   * no instance holds the request. An order that one instance has accepted is never run by another. */
  if (entry->instance == WC_EXPERIMENT_NO_INDEX && !entry->bound_to_instance)
    {
      entry->epoch++;
      entry->retransmissions++;
      send_request (experiment, request, choose_instance (experiment, experiment->network_random));
    }
  else
    wc_experiment_schedule (experiment, experiment->now_us + RETRANSMIT_US, WC_EXPERIMENT_RETRANSMIT, request, 0, 0, 0);
}

void
wc_experiment_finish_request (WcExperiment *experiment, uint32_t request, WcExperimentOutcome outcome)
{
  WcExperimentRequest *entry = &experiment->requests[request];

  entry->outcome = outcome;
  entry->end_us = experiment->now_us + wc_experiment_generate_caller_delay_us (experiment);
  entry->epoch++;
}

/* local functions */

static uint16_t
choose_instance (const WcExperiment *experiment, GRand *random)
{
  uint16_t candidates[WC_EXPERIMENT_MAX_INSTANCES] = { 0 };
  uint16_t count = 0;

  for (uint16_t i = 0; i < experiment->instance_count; i++)
    {
      const WcExperimentInstance *instance = &experiment->instances[i];

      if (instance->alive || experiment->now_us < instance->alive_changed_us + FABRIC_DETECTION_US)
        candidates[count++] = i;
    }
  return count > 0 ? candidates[g_rand_int_range (random, 0, count)] : 0;
}

static void
send_request (WcExperiment *experiment, uint32_t request, uint16_t instance)
{
  WcExperimentRequest *entry = &experiment->requests[request];

  wc_experiment_schedule (experiment, experiment->now_us + wc_experiment_generate_caller_delay_us (experiment),
                          WC_EXPERIMENT_INGRESS, request, instance, entry->epoch, 0);
  wc_experiment_schedule (experiment, experiment->now_us + RETRANSMIT_US, WC_EXPERIMENT_RETRANSMIT, request, 0, 0, 0);
}
