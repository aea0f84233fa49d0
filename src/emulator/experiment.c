#include "emulator/experiment.h"

#include <assert.h>

#include "emulator/experiment_state.h"

enum
{
  SETTLE_US = 6000000,
  OUTAGE_US = 3000000
};

static void     schedule_failures (WcExperiment *experiment);
static uint32_t find_first_owner (const WcExperiment *experiment);
static void     handle_event (WcExperiment *experiment, const WcExperimentEvent *event);
static void     handle_request (WcExperiment *experiment, const WcExperimentEvent *event);
static void     handle_host (WcExperiment *experiment, const WcExperimentEvent *event);
static void     handle_instance (WcExperiment *experiment, const WcExperimentEvent *event);

void
wc_experiment_run (const WcExperimentConfig *config, WcExperimentResult *result)
{
  WcExperiment     *experiment = g_new0 (WcExperiment, 1);
  WcExperimentEvent event;

  assert (config != NULL);
  assert (result != NULL);

  experiment->config = config;
  experiment->events = wc_experiment_events_new ();
  experiment->arrival_random = g_rand_new_with_seed (config->seed);
  experiment->network_random = g_rand_new_with_seed (config->seed + 1);
  experiment->policy_random = g_rand_new_with_seed (config->seed + 2);
  wc_experiment_hosts_init (experiment);
  wc_experiment_fleet_init (experiment);
  wc_experiment_callers_init (experiment);
  if (config->failures)
    schedule_failures (experiment);

  while (wc_experiment_events_pop (experiment->events, &event) &&
         event.time_us <= experiment->last_arrival_us + SETTLE_US)
    {
      experiment->now_us = event.time_us;
      handle_event (experiment, &event);
    }
  wc_experiment_compute_result (experiment, result);

  wc_experiment_fleet_finish (experiment);
  wc_experiment_hosts_finish (experiment);
  wc_experiment_events_delete (experiment->events);
  g_rand_free (experiment->arrival_random);
  g_rand_free (experiment->network_random);
  g_rand_free (experiment->policy_random);
  g_free (experiment->requests);
  g_free (experiment);
}

void
wc_experiment_schedule (WcExperiment *experiment, uint64_t time_us, WcExperimentEventKind kind, uint32_t request,
                        uint32_t entity, uint32_t epoch, uint64_t value)
{
  WcExperimentEvent event = {
    .time_us = time_us, .kind = (uint32_t)kind, .request = request, .entity = entity, .epoch = epoch, .value = value
  };

  wc_experiment_events_add (experiment->events, &event);
}

/* local functions */

/* The second host fails after a third of the run, the owner of the first domain after two thirds of it. */
static void
schedule_failures (WcExperiment *experiment)
{
  uint64_t first_us = experiment->last_arrival_us / 3;
  uint32_t owner = find_first_owner (experiment);

  wc_experiment_schedule (experiment, first_us, WC_EXPERIMENT_HOST_FAIL, 0, 1, 0, 0);
  wc_experiment_schedule (experiment, first_us + OUTAGE_US, WC_EXPERIMENT_HOST_RETURN, 0, 1, 0, 0);
  wc_experiment_schedule (experiment, 2 * first_us, WC_EXPERIMENT_INSTANCE_FAIL, 0, owner, 0, 0);
  wc_experiment_schedule (experiment, 2 * first_us + OUTAGE_US, WC_EXPERIMENT_INSTANCE_RETURN, 0, owner, 0, 0);
}

static uint32_t
find_first_owner (const WcExperiment *experiment)
{
  WcMember        members[WC_EXPERIMENT_MAX_INSTANCES];
  WcMemberTable  *table;
  const WcMember *owner;
  uint32_t        index = 0;

  for (uint32_t i = 0; i < experiment->instance_count; i++)
    members[i] = (WcMember){ .id = experiment->instances[i].id,
                             .domain = experiment->instances[i].domain + 1,
                             .state = WC_MEMBER_LIVE };
  table = wc_member_table_new (members, experiment->instance_count);
  owner = wc_ownership_find_owner (table, 1, WC_EXPERIMENT_SERVICE, 0);
  while (experiment->instances[index].id != owner->id)
    index++;
  wc_member_table_unref (table);
  return index;
}

static void
handle_event (WcExperiment *experiment, const WcExperimentEvent *event)
{
  if (event->kind <= WC_EXPERIMENT_RELAYED || event->kind == WC_EXPERIMENT_RETRANSMIT)
    handle_request (experiment, event);
  else if (event->kind <= WC_EXPERIMENT_ATTEMPT_END || event->kind == WC_EXPERIMENT_HOST_FAIL ||
           event->kind == WC_EXPERIMENT_HOST_RETURN)
    handle_host (experiment, event);
  else
    handle_instance (experiment, event);
}

static void
handle_request (WcExperiment *experiment, const WcExperimentEvent *event)
{
  bool stale = event->epoch != experiment->requests[event->request].epoch;

  if (event->kind == WC_EXPERIMENT_ARRIVAL)
    wc_experiment_arrival (experiment, event->request);
  else if (event->kind == WC_EXPERIMENT_RETRANSMIT)
    wc_experiment_retransmit (experiment, event->request);
  else if (stale)
    return;
  else if (event->kind == WC_EXPERIMENT_INGRESS)
    wc_experiment_ingress (experiment, event->request, event->entity);
  else
    wc_experiment_relayed (experiment, event->request, event->entity);
}

static void
handle_host (WcExperiment *experiment, const WcExperimentEvent *event)
{
  WcExperimentAttempt attempt = { event->request, event->epoch };

  switch (event->kind)
    {
    case WC_EXPERIMENT_HOST_RECEIVE:
      wc_experiment_host_receive (experiment, event->entity, attempt);
      break;
    case WC_EXPERIMENT_HOST_DONE:
      if (event->value == experiment->hosts[event->entity].epoch)
        wc_experiment_host_done (experiment, event->entity, attempt);
      break;
    case WC_EXPERIMENT_ATTEMPT_END:
      if (event->epoch == experiment->requests[event->request].epoch)
        wc_experiment_attempt_end (experiment, event->request, event->entity, (WcOutcome)event->value);
      break;
    case WC_EXPERIMENT_HOST_FAIL:
      wc_experiment_host_fail (experiment, event->entity);
      break;
    default:
      wc_experiment_host_return (experiment, event->entity);
      break;
    }
}

static void
handle_instance (WcExperiment *experiment, const WcExperimentEvent *event)
{
  /* Timers of an earlier incarnation of the instance are ignored. */
  bool current = event->epoch == (uint32_t)experiment->instances[event->entity].incarnation;

  switch (event->kind)
    {
    case WC_EXPERIMENT_WAKE:
      wc_experiment_wake (experiment, event->entity);
      break;
    case WC_EXPERIMENT_HEARTBEAT_SEND:
      if (current)
        wc_experiment_heartbeat_send (experiment, event->entity);
      break;
    case WC_EXPERIMENT_HEARTBEAT:
      wc_experiment_heartbeat (experiment, event->request, event->entity, event->value);
      break;
    case WC_EXPERIMENT_LIST:
      if (current)
        wc_experiment_list (experiment, event->entity);
      break;
    case WC_EXPERIMENT_REPORT_SEND:
      if (current)
        wc_experiment_report_timer (experiment, event->entity);
      break;
    case WC_EXPERIMENT_REPORT:
      wc_experiment_report (experiment, event);
      break;
    case WC_EXPERIMENT_LOAD_POLL:
      wc_experiment_load_poll (experiment, event->entity);
      break;
    case WC_EXPERIMENT_INSTANCE_FAIL:
      wc_experiment_instance_fail (experiment, event->entity);
      break;
    default:
      wc_experiment_instance_return (experiment, event->entity);
      break;
    }
}
