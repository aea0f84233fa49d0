#include "emulator/flow_experiment_private.h"

#include <gsl/gsl_randist.h>

enum
{
  /* A caller gives up an opening that no host has accepted, and starts another attempt. */
  OPENING_TIMEOUT_US = 1400 * 1000
};

/* Transmissions of an opening, and of a request that is not acknowledged, after the first one. */
static const uint64_t OPENING_TRANSMISSIONS_US[] = { 0, 200 * 1000, 600 * 1000 };
static const uint64_t REQUEST_TRANSMISSIONS_US[] = { 0, 200 * 1000, 600 * 1000, 1400 * 1000 };
/* Shape of the gamma distribution of run times; their standard deviation is half of the mean. */
static const double WORK_SHAPE = 4;

static double         get_rate_per_s (const WcFlowExperiment *experiment);
static uint32_t       choose_domain (WcFlowExperiment *experiment);
static void           begin_request (WcFlowExperiment *experiment);
static WcFlowRequest *add_request (WcFlowExperiment *experiment, uint32_t *index);
static void           continue_flow (WcFlowExperiment *experiment, uint32_t previous);
static void           start_attempt (WcFlowExperiment *experiment, uint32_t index);
static void           send_request (WcFlowExperiment *experiment, uint32_t index);
static void           retry (WcFlowExperiment *experiment, uint32_t index);
static void           accepted (WcFlowExperiment *experiment, const WcExperimentEvent *event);
static void           answered (WcFlowExperiment *experiment, const WcExperimentEvent *event);
static void           expired (WcFlowExperiment *experiment, uint32_t index);

void
wc_flow_experiment_schedule_arrival (WcFlowExperiment *experiment)
{
  double mean_us = 1e6 * experiment->scenario->requests_per_flow / get_rate_per_s (experiment);

  wc_flow_experiment_schedule (experiment, (uint64_t)gsl_ran_exponential (experiment->arrival_random, mean_us),
                               WC_FLOW_EVENT_ARRIVAL, 0, 0, 0, 0);
}

void
wc_flow_experiment_handle_caller (WcFlowExperiment *experiment, const WcExperimentEvent *event)
{
  WcFlowRequest *request;
  bool           is_current;

  if (event->kind == WC_FLOW_EVENT_ARRIVAL)
    {
      begin_request (experiment);
      wc_flow_experiment_schedule_arrival (experiment);
      return;
    }
  request = wc_flow_experiment_request (experiment, event->request);
  is_current = request->end_us == 0 && request->attempt == event->epoch;
  switch ((WcFlowEventKind)event->kind)
    {
    case WC_FLOW_EVENT_NEXT_REQUEST:
      continue_flow (experiment, event->request);
      break;
    case WC_FLOW_EVENT_OPENING:
      if (is_current && request->host == UINT32_MAX)
        wc_flow_experiment_receive (experiment, event->request, event->epoch, WC_FLOW_EVENT_OPENING,
                                    (uint32_t)event->value);
      break;
    case WC_FLOW_EVENT_OPENING_TIMEOUT:
      if (is_current && request->host == UINT32_MAX)
        retry (experiment, event->request);
      break;
    case WC_FLOW_EVENT_ACCEPTED:
      if (is_current && request->host == UINT32_MAX)
        accepted (experiment, event);
      break;
    case WC_FLOW_EVENT_REQUEST:
      if (is_current)
        wc_flow_experiment_receive (experiment, event->request, event->epoch, WC_FLOW_EVENT_REQUEST,
                                    (uint32_t)event->value);
      break;
    case WC_FLOW_EVENT_REJECTED:
      if (is_current)
        retry (experiment, event->request);
      break;
    case WC_FLOW_EVENT_ANSWERED:
      if (is_current)
        answered (experiment, event);
      break;
    case WC_FLOW_EVENT_ACKNOWLEDGED:
      wc_flow_experiment_receive (experiment, event->request, event->epoch, WC_FLOW_EVENT_ACKNOWLEDGED,
                                  (uint32_t)event->value);
      break;
    case WC_FLOW_EVENT_TIME_LIMIT:
      if (request->end_us == 0)
        expired (experiment, event->request);
      break;
    default:
      break;
    }
}

/* local functions */

static double
get_rate_per_s (const WcFlowExperiment *experiment)
{
  const WcFlowExperimentScenario *scenario = experiment->scenario;
  double                          mean_us = 0;

  for (size_t i = 0; i < scenario->class_count; i++)
    mean_us += (double)scenario->classes[i].work_us * scenario->classes[i].share_percent / 100;
  return wc_flow_experiment_get_phase (experiment)->load * experiment->host_count * scenario->slots * 1e6 / mean_us;
}

static void
begin_request (WcFlowExperiment *experiment)
{
  uint32_t       index;
  WcFlowRequest *request = add_request (experiment, &index);

  request->caller = experiment->next_caller++;
  request->domain = choose_domain (experiment);
  request->flow_left = experiment->scenario->requests_per_flow - 1;
  request->host = UINT32_MAX;
  start_attempt (experiment, index);
}

static uint32_t
choose_domain (WcFlowExperiment *experiment)
{
  uint32_t crowding = MAX (wc_flow_experiment_get_phase (experiment)->crowding, 1);
  uint32_t share =
      (uint32_t)gsl_rng_uniform_int (experiment->arrival_random, experiment->scenario->domains + crowding - 1);

  return share < crowding ? 0 : share - crowding + 1;
}

static WcFlowRequest *
add_request (WcFlowExperiment *experiment, uint32_t *index)
{
  const WcFlowExperimentScenario *scenario = experiment->scenario;
  WcFlowRequest                   request = { .start_us = experiment->now_us, .phase = experiment->phase };
  uint32_t                        percent = (uint32_t)gsl_rng_uniform_int (experiment->arrival_random, 100);

  while (request.class_index + 1 < scenario->class_count &&
         percent >= scenario->classes[request.class_index].share_percent)
    percent -= scenario->classes[request.class_index++].share_percent;
  request.work_us = (uint64_t)gsl_ran_gamma (experiment->work_random, WORK_SHAPE,
                                             (double)scenario->classes[request.class_index].work_us / WORK_SHAPE);
  *index = experiment->requests->len;
  g_array_append_val (experiment->requests, request);
  wc_flow_experiment_schedule (experiment, scenario->classes[request.class_index].limit_us, WC_FLOW_EVENT_TIME_LIMIT,
                               *index, 0, 0, 0);
  return wc_flow_experiment_request (experiment, *index);
}

/* The next request of a caller, on the flow of the previous one if that was answered. */
static void
continue_flow (WcFlowExperiment *experiment, uint32_t previous)
{
  uint32_t       index;
  WcFlowRequest *request = add_request (experiment, &index);

  *request = (WcFlowRequest){
    .start_us = request->start_us,
    .work_us = request->work_us,
    .phase = request->phase,
    .caller = wc_flow_experiment_request (experiment, previous)->caller,
    .domain = wc_flow_experiment_request (experiment, previous)->domain,
    .class_index = wc_flow_experiment_request (experiment, previous)->class_index,
    .flow_left = wc_flow_experiment_request (experiment, previous)->flow_left - 1,
    .port = wc_flow_experiment_request (experiment, previous)->port,
    .host = wc_flow_experiment_request (experiment, previous)->host,
    .attempt = 1,
    .sent = wc_flow_experiment_request (experiment, previous)->sent + WC_FLOW_EXPERIMENT_REQUEST_BYTES,
    .received = wc_flow_experiment_request (experiment, previous)->received + WC_FLOW_EXPERIMENT_ANSWER_BYTES,
  };
  send_request (experiment, index);
}

static void
start_attempt (WcFlowExperiment *experiment, uint32_t index)
{
  WcFlowRequest *request = wc_flow_experiment_request (experiment, index);
  uint64_t       delay_us = experiment->scenario->caller_delay_us;

  request->attempt++;
  request->port++;
  request->host = UINT32_MAX;
  request->sent = 0;
  request->received = 0;
  for (uint32_t i = 0; i < G_N_ELEMENTS (OPENING_TRANSMISSIONS_US); i++)
    wc_flow_experiment_schedule (experiment, delay_us + OPENING_TRANSMISSIONS_US[i], WC_FLOW_EVENT_OPENING, index,
                                 request->attempt, 0, i);
  wc_flow_experiment_schedule (experiment, OPENING_TIMEOUT_US, WC_FLOW_EVENT_OPENING_TIMEOUT, index, request->attempt,
                               0, 0);
}

static void
send_request (WcFlowExperiment *experiment, uint32_t index)
{
  const WcFlowRequest *request = wc_flow_experiment_request (experiment, index);

  for (uint32_t i = 0; i < G_N_ELEMENTS (REQUEST_TRANSMISSIONS_US); i++)
    wc_flow_experiment_schedule (experiment, experiment->scenario->caller_delay_us + REQUEST_TRANSMISSIONS_US[i],
                                 WC_FLOW_EVENT_REQUEST, index, request->attempt, request->host, i);
}

static void
retry (WcFlowExperiment *experiment, uint32_t index)
{
  WcFlowRequest *request = wc_flow_experiment_request (experiment, index);

  if (request->host != UINT32_MAX)
    wc_flow_experiment_schedule (experiment, experiment->scenario->caller_delay_us, WC_FLOW_EVENT_ACKNOWLEDGED, index,
                                 request->attempt, 0, 1);
  if (request->attempt < WC_FLOW_EXPERIMENT_ATTEMPTS)
    start_attempt (experiment, index);
  else
    request->end_us = experiment->now_us;
}

static void
accepted (WcFlowExperiment *experiment, const WcExperimentEvent *event)
{
  wc_flow_experiment_request (experiment, event->request)->host = event->entity;
  send_request (experiment, event->request);
}

static void
answered (WcFlowExperiment *experiment, const WcExperimentEvent *event)
{
  WcFlowRequest *request = wc_flow_experiment_request (experiment, event->request);

  request->end_us = experiment->now_us;
  request->is_answered = true;
  wc_flow_experiment_schedule (experiment, experiment->scenario->caller_delay_us, WC_FLOW_EVENT_ACKNOWLEDGED,
                               event->request, event->epoch, 0, request->flow_left == 0);
  if (request->flow_left > 0)
    wc_flow_experiment_schedule (
        experiment, (uint64_t)gsl_ran_exponential (experiment->work_random, (double)experiment->scenario->pause_us),
        WC_FLOW_EVENT_NEXT_REQUEST, event->request, 0, 0, 0);
}

/* The caller closes its flow; the host still runs the request. */
static void
expired (WcFlowExperiment *experiment, uint32_t index)
{
  WcFlowRequest *request = wc_flow_experiment_request (experiment, index);
  bool           is_unanswered = request->unanswered_attempt == request->attempt;

  request->end_us = experiment->now_us;
  request->is_expired = true;
  if (request->host != UINT32_MAX)
    wc_flow_experiment_schedule (experiment, experiment->scenario->caller_delay_us, WC_FLOW_EVENT_ACKNOWLEDGED, index,
                                 request->attempt, 0,
                                 is_unanswered ? WC_FLOW_EXPERIMENT_ABANDON : WC_FLOW_EXPERIMENT_CLOSE);
}
