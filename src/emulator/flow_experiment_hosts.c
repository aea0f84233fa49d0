#include "emulator/flow_experiment_private.h"

/* A request at a host: index and attempt in one pointer, so that a GQueue holds it without allocation. */
static gpointer pack_entry (uint32_t request, uint32_t attempt);
static void     start_work (WcFlowExperiment *experiment, uint32_t index, uint32_t request, uint32_t attempt);
static bool     leaves_unanswered (WcFlowExperiment *experiment, const WcFlowHost *host);
static uint64_t get_caller_delay_us (const WcFlowExperiment *experiment, uint32_t host, uint32_t request);

enum
{
  ATTEMPT_BITS = 2
};

void
wc_flow_experiment_hosts_init (WcFlowExperiment *experiment)
{
  uint32_t scale = MAX (experiment->config->scale, 1);
  uint32_t per_domain = experiment->scenario->hosts * scale;

  experiment->host_count = experiment->scenario->domains * per_domain;
  experiment->hosts = g_new0 (WcFlowHost, experiment->host_count);
  for (uint32_t i = 0; i < experiment->host_count; i++)
    {
      experiment->hosts[i].domain = i / per_domain;
      experiment->hosts[i].slowdown = 1;
      g_queue_init (&experiment->hosts[i].waiting);
    }
}

void
wc_flow_experiment_hosts_finish (WcFlowExperiment *experiment)
{
  for (uint32_t i = 0; i < experiment->host_count; i++)
    g_queue_clear (&experiment->hosts[i].waiting);
  g_free (experiment->hosts);
}

void
wc_flow_experiment_host_opening (WcFlowExperiment *experiment, uint32_t host, uint32_t request, uint32_t attempt,
                                 uint64_t delay_us)
{
  if (!experiment->hosts[host].is_lost)
    wc_flow_experiment_schedule (experiment, delay_us + get_caller_delay_us (experiment, host, request),
                                 WC_FLOW_EVENT_ACCEPTED, request, attempt, host, 0);
}

void
wc_flow_experiment_handle_host (WcFlowExperiment *experiment, const WcExperimentEvent *event)
{
  WcFlowHost *host = &experiment->hosts[event->entity];
  gpointer    next;

  if (host->is_lost)
    return;
  if (event->kind == WC_FLOW_EVENT_AT_HOST)
    {
      if (leaves_unanswered (experiment, host))
        {
          wc_flow_experiment_request (experiment, event->request)->unanswered_attempt = event->epoch;
          experiment->left_unanswered++;
        }
      else if (host->running < experiment->scenario->slots)
        start_work (experiment, event->entity, event->request, event->epoch);
      else if (g_queue_get_length (&host->waiting) < experiment->scenario->queue)
        g_queue_push_tail (&host->waiting, pack_entry (event->request, event->epoch));
      else
        {
          experiment->refusals++;
          wc_flow_experiment_schedule (experiment, get_caller_delay_us (experiment, event->entity, event->request),
                                       WC_FLOW_EVENT_REJECTED, event->request, event->epoch, event->entity, 0);
        }
      return;
    }
  host->running--;
  wc_flow_experiment_schedule (experiment, get_caller_delay_us (experiment, event->entity, event->request),
                               WC_FLOW_EVENT_ANSWERED, event->request, event->epoch, event->entity, 0);
  next = g_queue_pop_head (&host->waiting);
  if (next)
    start_work (experiment, event->entity, GPOINTER_TO_UINT (next) >> ATTEMPT_BITS,
                GPOINTER_TO_UINT (next) & ((1 << ATTEMPT_BITS) - 1));
  wc_flow_experiment_dispatch_backlog (experiment);
}

/* local functions */

static gpointer
pack_entry (uint32_t request, uint32_t attempt)
{
  return GUINT_TO_POINTER (request << ATTEMPT_BITS | attempt);
}

static void
start_work (WcFlowExperiment *experiment, uint32_t index, uint32_t request, uint32_t attempt)
{
  WcFlowHost *host = &experiment->hosts[index];
  double      work_us = (double)wc_flow_experiment_request (experiment, request)->work_us * host->slowdown;

  host->running++;
  wc_flow_experiment_schedule (experiment, (uint64_t)work_us, WC_FLOW_EVENT_FINISHED, request, attempt, index, 0);
}

static bool
leaves_unanswered (WcFlowExperiment *experiment, const WcFlowHost *host)
{
  return host->unanswered_share > 0 && gsl_rng_uniform (experiment->work_random) < host->unanswered_share;
}

static uint64_t
get_caller_delay_us (const WcFlowExperiment *experiment, uint32_t host, uint32_t request)
{
  bool is_local = experiment->hosts[host].domain == g_array_index (experiment->requests, WcFlowRequest, request).domain;

  return experiment->scenario->caller_delay_us + (is_local ? 0 : experiment->scenario->domain_delay_us);
}
