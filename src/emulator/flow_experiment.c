#include "emulator/flow_experiment.h"

#include <assert.h>

#include "emulator/flow_experiment_private.h"

enum
{
  /* Time within which the instances are back after an outage. */
  START_SPAN_US = 400 * 1000,
  /* Time after the last phase in which requests are still answered. */
  SETTLE_US = 6000 * 1000
};

static void     enter_phase (WcFlowExperiment *experiment, uint32_t phase);
static void     handle_event (WcFlowExperiment *experiment, const WcExperimentEvent *event);
static bool     is_slow (WcFlowFault fault, uint32_t domain, uint32_t host);
static uint64_t sum_spans (const WcFlowExperimentScenario *scenario);

void
wc_flow_experiment_run (const WcFlowExperimentConfig *config, WcFlowExperimentResult *result)
{
  WcFlowExperiment *experiment = g_new0 (WcFlowExperiment, 1);
  WcExperimentEvent event;
  uint64_t          end_us;

  assert (config != NULL && config->scenario != NULL && config->policy != NULL);
  assert (result != NULL);

  experiment->config = config;
  experiment->scenario = config->scenario;
  experiment->events = wc_experiment_events_new ();
  experiment->arrival_random = gsl_rng_alloc (gsl_rng_mt19937);
  experiment->work_random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (experiment->arrival_random, config->seed);
  gsl_rng_set (experiment->work_random, config->seed + 1);
  experiment->requests = g_array_new (FALSE, FALSE, sizeof (WcFlowRequest));
  experiment->rejection_times_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  experiment->now_us = 1000 * 1000;
  wc_flow_experiment_hosts_init (experiment);
  wc_flow_experiment_fleet_init (experiment);
  end_us = experiment->now_us + sum_spans (experiment->scenario);
  enter_phase (experiment, 0);
  wc_flow_experiment_schedule_arrival (experiment);

  while (wc_experiment_events_pop (experiment->events, &event) && event.time_us <= end_us + SETTLE_US)
    {
      experiment->now_us = event.time_us;
      if (event.kind != WC_FLOW_EVENT_ARRIVAL || event.time_us < end_us)
        handle_event (experiment, &event);
    }
  wc_flow_experiment_compute_result (experiment, result);

  wc_flow_experiment_fleet_finish (experiment);
  wc_flow_experiment_hosts_finish (experiment);
  wc_experiment_events_delete (experiment->events);
  gsl_rng_free (experiment->arrival_random);
  gsl_rng_free (experiment->work_random);
  g_queue_clear (&experiment->backlog);
  g_array_unref (experiment->requests);
  g_array_unref (experiment->rejection_times_us);
  g_free (experiment);
}

void
wc_flow_experiment_schedule (WcFlowExperiment *experiment, uint64_t delay_us, WcFlowEventKind kind, uint32_t request,
                             uint32_t attempt, uint32_t entity, uint64_t value)
{
  const WcExperimentEvent event = {
    .time_us = experiment->now_us + delay_us,
    .kind = kind,
    .request = request,
    .entity = entity,
    .epoch = attempt,
    .value = value,
  };

  wc_experiment_events_add (experiment->events, &event);
}

const WcFlowExperimentPhase *
wc_flow_experiment_get_phase (const WcFlowExperiment *experiment)
{
  return &experiment->scenario->phases[experiment->phase];
}

/* local functions */

static void
enter_phase (WcFlowExperiment *experiment, uint32_t phase)
{
  const WcFlowExperimentPhase *before = wc_flow_experiment_get_phase (experiment);
  const WcFlowExperimentPhase *entered = &experiment->scenario->phases[phase];

  experiment->phase = phase;
  for (uint32_t i = 0; i < experiment->host_count; i++)
    {
      WcFlowHost *host = &experiment->hosts[i];

      host->slowdown = is_slow (entered->fault, host->domain, i) ? entered->factor : 1;
      host->unanswered_share = entered->fault == WC_FLOW_FAULT_FAILING_HOSTS && i % 5 == 0 ? entered->factor : 0;
      host->is_lost = entered->fault == WC_FLOW_FAULT_LOST_DOMAIN && host->domain == 0;
    }
  if (entered->fault == WC_FLOW_FAULT_OUTAGE)
    wc_flow_experiment_fleet_stop (experiment);
  else if (phase == 0 || before->fault == WC_FLOW_FAULT_OUTAGE)
    wc_flow_experiment_fleet_start (experiment, phase == 0 ? 0 : START_SPAN_US);
  if (phase + 1 < experiment->scenario->phase_count)
    wc_flow_experiment_schedule (experiment, entered->span_us, WC_FLOW_EVENT_PHASE, 0, 0, 0, phase + 1);
}

static void
handle_event (WcFlowExperiment *experiment, const WcExperimentEvent *event)
{
  switch ((WcFlowEventKind)event->kind)
    {
    case WC_FLOW_EVENT_AT_HOST:
    case WC_FLOW_EVENT_FINISHED:
      wc_flow_experiment_handle_host (experiment, event);
      break;
    case WC_FLOW_EVENT_START:
    case WC_FLOW_EVENT_TIMERS:
    case WC_FLOW_EVENT_TICK:
    case WC_FLOW_EVENT_GOSSIP:
      wc_flow_experiment_handle_instance (experiment, event);
      break;
    case WC_FLOW_EVENT_PHASE:
      enter_phase (experiment, (uint32_t)event->value);
      break;
    default:
      wc_flow_experiment_handle_caller (experiment, event);
      break;
    }
}

static bool
is_slow (WcFlowFault fault, uint32_t domain, uint32_t host)
{
  return (fault == WC_FLOW_FAULT_SLOW_HOSTS && host % 2 == 0) ||
         (fault == WC_FLOW_FAULT_SLOW_DOMAIN && domain == 0 && host % 5 < 2);
}

static uint64_t
sum_spans (const WcFlowExperimentScenario *scenario)
{
  uint64_t span_us = 0;

  for (size_t i = 0; i < scenario->phase_count; i++)
    span_us += scenario->phases[i].span_us;
  return span_us;
}
