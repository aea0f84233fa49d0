#include "core/mix.h"
#include "emulator/flow_experiment_private.h"

/* Reference policies: the omniscient dispatcher, and a hash of the flow. */

/* Run time on which the dispatcher counts, relative to the mean. */
static const double LONG_WORK = 2.5;

static uint32_t find_free_host (const WcFlowExperiment *experiment);
static void     remove_ended (WcFlowExperiment *experiment);
static GList   *find_next (const WcFlowExperiment *experiment, const WcFlowHost *host);

void
wc_flow_experiment_dispatch_opening (WcFlowExperiment *experiment, uint32_t request, uint32_t attempt)
{
  WcFlowRequest *state = wc_flow_experiment_request (experiment, request);
  uint32_t       per_domain = experiment->host_count / experiment->scenario->domains;
  uint64_t       hash = wc_mix64 ((uint64_t)state->caller << 16 | state->port);

  if (experiment->config->policy->dispatch == WC_FLOW_DISPATCH_HASH)
    {
      wc_flow_experiment_host_opening (experiment, state->domain * per_domain + (uint32_t)(hash % per_domain), request,
                                       attempt, 0);
      return;
    }
  if (state->is_queued)
    return;
  state->is_queued = true;
  g_queue_push_tail (&experiment->backlog, GUINT_TO_POINTER (request));
  wc_flow_experiment_dispatch_backlog (experiment);
}

/* Gives each free slot the request that must start first to be in time; if there is none, the oldest late one. */
void
wc_flow_experiment_dispatch_backlog (WcFlowExperiment *experiment)
{
  uint32_t index;

  while ((index = find_free_host (experiment)) != UINT32_MAX)
    {
      WcExperimentEvent event = { .kind = WC_FLOW_EVENT_AT_HOST, .entity = index };
      GList            *next;
      WcFlowRequest    *request;

      remove_ended (experiment);
      if (g_queue_is_empty (&experiment->backlog))
        return;
      next = find_next (experiment, &experiment->hosts[index]);
      event.request = GPOINTER_TO_UINT (next->data);
      request = wc_flow_experiment_request (experiment, event.request);
      g_queue_delete_link (&experiment->backlog, next);
      request->host = index;
      event.epoch = request->attempt;
      wc_flow_experiment_handle_host (experiment, &event);
    }
}

/* local functions */

/* Return: index of the fastest host with a free slot, UINT32_MAX when there is none. */
static uint32_t
find_free_host (const WcFlowExperiment *experiment)
{
  uint32_t best = UINT32_MAX;

  for (uint32_t i = 0; i < experiment->host_count; i++)
    {
      const WcFlowHost *host = &experiment->hosts[i];

      if (!host->is_lost && host->unanswered_share <= 0 && host->running < experiment->scenario->slots &&
          (best == UINT32_MAX || host->slowdown < experiment->hosts[best].slowdown))
        best = i;
    }
  return best;
}

/* The dispatcher knows every queue and slot, but no run times: it counts on one that few requests exceed. */
/* Removes the requests whose callers have given up. */
static void
remove_ended (WcFlowExperiment *experiment)
{
  for (GList *link = experiment->backlog.head; link;)
    {
      GList *next = link->next;

      if (wc_flow_experiment_request (experiment, GPOINTER_TO_UINT (link->data))->end_us != 0)
        g_queue_delete_link (&experiment->backlog, link);
      link = next;
    }
}

static GList *
find_next (const WcFlowExperiment *experiment, const WcFlowHost *host)
{
  GList               *best = NULL;
  const WcFlowRequest *best_request = NULL;
  uint64_t             best_us = UINT64_MAX;

  for (GList *link = experiment->backlog.head; link; link = link->next)
    {
      const WcFlowRequest *request =
          &g_array_index (experiment->requests, WcFlowRequest, GPOINTER_TO_UINT (link->data));
      const WcFlowExperimentClass *class = &experiment->scenario->classes[request->class_index];
      uint64_t finish_us = experiment->now_us + (uint64_t)(LONG_WORK * (double)class->work_us * host->slowdown) +
                           experiment->scenario->caller_delay_us;
      uint64_t deadline_us = request->start_us + class->target_us;

      if (finish_us > deadline_us ||
          (best && (request->class_index > best_request->class_index ||
                    (request->class_index == best_request->class_index && deadline_us >= best_us))))
        continue;
      best = link;
      best_request = request;
      best_us = deadline_us;
    }
  return best ? best : experiment->backlog.head;
}
