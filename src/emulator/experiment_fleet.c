#include <assert.h>

#include "core/mix.h"
#include "emulator/experiment_state.h"

enum
{
  QUEUE_MAX_REQUESTS = 512,
  RETRY_BUDGET_PERCENT = 10,
  REFUSAL_BACKOFF_US = 20000,
  LOAD_POLL_INTERVAL_US = 100000,
  LOAD_POLL_BYTES = 200
};

static void create_dispatcher (WcExperiment *experiment, uint32_t instance);
static void submit (WcExperiment *experiment, uint32_t request, uint32_t instance);
static void submit_to_owner (WcExperiment *experiment, uint32_t request, uint32_t instance);
static void run_dispatcher (WcExperiment *experiment, uint32_t instance);
static void dispatch (WcExperiment *experiment, uint32_t request, uint32_t instance, uint32_t host);
static void relay_to_domain (WcExperiment *experiment, uint32_t request, uint32_t instance, uint32_t domain);
static size_t
choose_nearest (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);

static const WcPolicy NEAREST = { "nearest", choose_nearest };

void
wc_experiment_fleet_init (WcExperiment *experiment)
{
  const WcExperimentWorkload *workload = experiment->config->workload;

  for (uint32_t domain = 0; domain < WC_EXPERIMENT_DOMAINS; domain++)
    for (uint32_t i = 0; i < workload->instances[domain]; i++)
      {
        WcExperimentInstance *instance = &experiment->instances[experiment->instance_count++];

        instance->id = wc_mix64 (experiment->instance_count);
        instance->incarnation = experiment->instance_count;
        instance->domain = domain;
        instance->alive = true;
      }
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    {
      create_dispatcher (experiment, i);
      if (wc_experiment_has_owners (experiment))
        wc_experiment_views_init (experiment, i);
      if (experiment->config->policy->spills)
        wc_experiment_reports_init (experiment, i);
      if (experiment->config->policy->polls_load)
        wc_experiment_load_poll (experiment, i);
    }
}

void
wc_experiment_fleet_finish (WcExperiment *experiment)
{
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    {
      wc_experiment_views_finish (experiment, i);
      wc_dispatcher_delete (experiment->instances[i].dispatcher);
    }
}

void
wc_experiment_ingress (WcExperiment *experiment, uint32_t request, uint32_t instance)
{
  WcExperimentRequest    *entry = &experiment->requests[request];
  WcExperimentInstance   *self = &experiment->instances[instance];
  const WcExperimentFlow *flow;
  uint32_t                domain;

  if (!self->alive)
    return;
  if (entry->ingress_us == 0)
    entry->ingress_us = experiment->now_us;
  entry->ingress = (uint16_t)instance;
  switch (experiment->config->policy->routing)
    {
    case WC_ROUTING_INSTANCE:
      submit (experiment, request, instance);
      break;
    case WC_ROUTING_OMNISCIENT:
      submit (experiment, request, 0);
      break;
    case WC_ROUTING_ONE_OWNER:
      relay_to_domain (experiment, request, instance, 1);
      break;
    default:
      flow = &experiment->flows[entry->flow];
      domain = wc_ownership_shares_pick (&self->shares, self->domain + 1, g_rand_int (experiment->policy_random));
      /* A retransmitted request is not sent to the flow's owner, which may have failed. */
      if (experiment->config->policy->sessions && flow->domain != 0 && entry->retransmissions == 0)
        domain = flow->domain;
      relay_to_domain (experiment, request, instance, domain);
      break;
    }
}

void
wc_experiment_relayed (WcExperiment *experiment, uint32_t request, uint32_t instance)
{
  WcExperimentRequest *entry = &experiment->requests[request];

  if (!experiment->instances[instance].alive)
    return;
  if (entry->spilled)
    wc_experiment_report_feedback (experiment, instance, entry->spilled_from);
  submit_to_owner (experiment, request, instance);
}

void
wc_experiment_attempt_end (WcExperiment *experiment, uint32_t request, uint32_t host, WcOutcome outcome)
{
  WcExperimentRequest *entry = &experiment->requests[request];
  uint32_t             instance = entry->instance;
  const WcExperimentClass *class = &experiment->config->workload->classes[entry->class];

  wc_dispatcher_end_attempt (experiment->instances[instance].dispatcher, experiment->now_us, experiment->hosts[host].id,
                             outcome, outcome == WC_OUTCOME_DONE ? experiment->now_us - entry->dispatched_us : 0);
  switch (outcome)
    {
    case WC_OUTCOME_DONE:
      wc_experiment_finish_request (experiment, request, WC_EXPERIMENT_OUTCOME_DONE);
      experiment->flows[entry->flow] =
          (WcExperimentFlow){ experiment->instances[instance].domain + 1, experiment->hosts[host].id };
      if (experiment->config->policy->routing == WC_ROUTING_OMNISCIENT)
        entry->end_us +=
            entry->network_delay_us + wc_experiment_generate_delay_us (experiment, experiment->hosts[host].domain,
                                                                       experiment->instances[entry->ingress].domain);
      break;
    case WC_OUTCOME_CANCELLED:
      /* The target refused an attempt that never started. An order that was stopped while it ran may have taken
       * effect. */
      if (entry->start_us < entry->dispatched_us)
        wc_experiment_finish_request (experiment, request, WC_EXPERIMENT_OUTCOME_REFUSED_LATE);
      else
        wc_experiment_finish_request (experiment, request,
                                      class->idempotent ? WC_EXPERIMENT_OUTCOME_DONE : WC_EXPERIMENT_OUTCOME_UNKNOWN);
      break;
    default:
      if (outcome == WC_OUTCOME_FAILED && !class->idempotent)
        {
          entry->lost = true;
          wc_experiment_finish_request (experiment, request, WC_EXPERIMENT_OUTCOME_UNKNOWN);
          break;
        }
      entry->attempts++;
      submit (experiment, request, instance);
      return;
    }
  run_dispatcher (experiment, instance);
}

void
wc_experiment_wake (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];

  if (self->wake_us > experiment->now_us)
    return;
  self->wake_us = UINT64_MAX;
  if (self->alive || experiment->config->policy->routing == WC_ROUTING_OMNISCIENT)
    run_dispatcher (experiment, instance);
}

void
wc_experiment_load_poll (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];

  for (uint32_t i = 0; i < experiment->host_count && self->alive; i++)
    {
      experiment->control_bytes += LOAD_POLL_BYTES;
      wc_dispatcher_set_reported_load (self->dispatcher, experiment->now_us, experiment->hosts[i].id,
                                       wc_experiment_host_get_reported_load (experiment, i));
    }
  wc_experiment_schedule (experiment, experiment->now_us + LOAD_POLL_INTERVAL_US, WC_EXPERIMENT_LOAD_POLL, 0, instance,
                          0, 0);
}

void
wc_experiment_instance_fail (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];

  /* The omniscient dispatcher belongs to no instance; only packets to the failed instance are lost. */
  self->alive = false;
  self->alive_changed_us = experiment->now_us;
  if (experiment->config->policy->routing == WC_ROUTING_OMNISCIENT)
    return;
  for (uint32_t i = 0; i < experiment->request_count; i++)
    {
      WcExperimentRequest *entry = &experiment->requests[i];

      if (entry->instance != instance || entry->outcome != WC_EXPERIMENT_OUTCOME_NONE)
        continue;
      entry->instance = WC_EXPERIMENT_NO_INDEX;
      entry->lost = true;
      entry->epoch++;
      /* The order's ticket ends with the incarnation, so the caller gets no reply before its deadline. */
      if (!experiment->config->workload->classes[entry->class].idempotent)
        {
          entry->outcome = WC_EXPERIMENT_OUTCOME_UNKNOWN;
          entry->end_us = entry->deadline_us;
        }
    }
  wc_experiment_views_finish (experiment, instance);
  wc_dispatcher_delete (self->dispatcher);
  self->dispatcher = NULL;
}

void
wc_experiment_instance_return (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];

  self->alive = true;
  self->alive_changed_us = experiment->now_us;
  if (experiment->config->policy->routing == WC_ROUTING_OMNISCIENT)
    return;
  self->incarnation += WC_EXPERIMENT_MAX_INSTANCES;
  create_dispatcher (experiment, instance);
  if (wc_experiment_has_owners (experiment))
    wc_experiment_views_init (experiment, instance);
  if (experiment->config->policy->spills)
    wc_experiment_reports_init (experiment, instance);
}

/* local functions */

static void
create_dispatcher (WcExperiment *experiment, uint32_t instance)
{
  const WcExperimentPolicy *policy = experiment->config->policy;
  WcExperimentInstance     *self = &experiment->instances[instance];
  WcDispatcherConfig        config = { .queue_max_requests = QUEUE_MAX_REQUESTS,
                                       .retry_budget_percent = RETRY_BUDGET_PERCENT,
                                       .refusal_backoff_us = REFUSAL_BACKOFF_US,
                                       .late_binding = policy->late_binding };
  WcDispatchTarget          targets[WC_EXPERIMENT_MAX_HOSTS];
  size_t                    count = 0;

  if (policy->routing == WC_ROUTING_OMNISCIENT)
    config.queue_max_requests *= WC_EXPERIMENT_DOMAINS;
  for (uint32_t i = 0; i < experiment->host_count; i++)
    if (policy->routing != WC_ROUTING_OWNER || experiment->hosts[i].domain == self->domain)
      targets[count++] = (WcDispatchTarget){ .id = experiment->hosts[i].id,
                                             .slots = experiment->config->workload->slots,
                                             .weight = 100 };
  self->dispatcher = wc_dispatcher_new (&config, policy->core_policy ? wc_policy_find (policy->core_policy) : &NEAREST,
                                        experiment->policy_random);
  wc_dispatcher_set_targets (self->dispatcher, experiment->now_us, targets, count);
  self->wake_us = UINT64_MAX;
}

static void
submit (WcExperiment *experiment, uint32_t request, uint32_t instance)
{
  WcExperimentRequest *entry = &experiment->requests[request];
  WcDispatchRequest    submitted = { .request = (uint64_t)request + 1,
                                     .deadline_us = entry->deadline_us,
                                     .worth = entry->worth,
                                     .attempts = entry->attempts,
                                     .flow_hash = (uint32_t)wc_mix64 (entry->flow),
                                     .non_idempotent = !experiment->config->workload->classes[entry->class].idempotent };
  WcRefusal            refusal;

  if (experiment->config->policy->sessions)
    submitted.preferred_target = experiment->flows[entry->flow].target;
  /* choose_nearest() gets the domain that the request came from in place of the flow hash. */
  if (experiment->config->policy->routing == WC_ROUTING_OMNISCIENT)
    submitted.flow_hash = experiment->instances[entry->ingress].domain;
  entry->instance = (uint16_t)instance;
  entry->bound_to_instance = !experiment->config->workload->classes[entry->class].idempotent;
  refusal = wc_dispatcher_submit (experiment->instances[instance].dispatcher, experiment->now_us, &submitted);
  if (refusal != WC_REFUSAL_NONE)
    {
      wc_experiment_finish_request (experiment, request,
                                    entry->attempts == 0 ? WC_EXPERIMENT_OUTCOME_REFUSED_EARLY
                                                         : WC_EXPERIMENT_OUTCOME_REFUSED_LATE);
      /* A retry that the dispatcher rejected was not made, so it does not count. */
      entry->attempts -= entry->attempts > 0;
    }
  run_dispatcher (experiment, instance);
}

/* Queues a request at this owner, or spills it to another domain. */
static void
submit_to_owner (WcExperiment *experiment, uint32_t request, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];
  WcExperimentRequest  *entry = &experiment->requests[request];
  uint32_t              domain = 0;

  if (experiment->config->policy->spills && !entry->spilled)
    domain = wc_spill_choose_domain (
        &self->spill, experiment->now_us,
        wc_dispatcher_get_expected_wait_us (self->dispatcher, experiment->now_us, entry->worth));
  if (domain == 0)
    {
      submit (experiment, request, instance);
      return;
    }
  entry->spilled = true;
  entry->spilled_from = (uint8_t)self->domain;
  relay_to_domain (experiment, request, instance, domain);
}

/* Carries out the dispatcher's decisions and sets its timer. */
static void
run_dispatcher (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];
  WcDispatchDecision    decision;
  uint64_t              wake_us;

  while (wc_dispatcher_next (self->dispatcher, experiment->now_us, &decision))
    {
      uint32_t request = (uint32_t)decision.request - 1;

      if (decision.refusal != WC_REFUSAL_NONE)
        wc_experiment_finish_request (experiment, request, WC_EXPERIMENT_OUTCOME_REFUSED_LATE);
      else
        dispatch (experiment, request, instance, wc_experiment_host_index (decision.target));
    }
  wake_us = wc_dispatcher_get_wake_us (self->dispatcher);
  if (wake_us >= self->wake_us)
    return;
  self->wake_us = MAX (wake_us, experiment->now_us + 1);
  wc_experiment_schedule (experiment, self->wake_us, WC_EXPERIMENT_WAKE, 0, instance, 0, 0);
}

static void
dispatch (WcExperiment *experiment, uint32_t request, uint32_t instance, uint32_t host)
{
  WcExperimentRequest *entry = &experiment->requests[request];
  uint32_t             from = experiment->instances[instance].domain;
  uint32_t             to = experiment->hosts[host].domain;
  uint64_t             delay_us = 0;

  /* For the omniscient reference, the delay to the host is added to the response time and not to the time that the slot
   * is taken: slots that wait for a request to arrive would make it worse than a policy that stays in its domain. */
  if (experiment->config->policy->routing == WC_ROUTING_OMNISCIENT)
    {
      from = experiment->instances[entry->ingress].domain;
      entry->network_delay_us = wc_experiment_generate_delay_us (experiment, from, to);
    }
  else
    delay_us = wc_experiment_generate_delay_us (experiment, from, to);
  entry->host = (uint16_t)host;
  entry->dispatched_us = experiment->now_us;
  entry->crossed_domain |= from != to;
  wc_experiment_schedule (experiment, experiment->now_us + delay_us, WC_EXPERIMENT_HOST_RECEIVE, request, host,
                          entry->epoch, 0);
}

/* Relays a request to the owner of the service in a domain, according to the instance's view. */
static void
relay_to_domain (WcExperiment *experiment, uint32_t request, uint32_t instance, uint32_t domain)
{
  const WcExperimentInstance *self = &experiment->instances[instance];
  const WcMember             *owner = wc_ownership_find_owner (self->table, domain, WC_EXPERIMENT_SERVICE, 0);
  WcExperimentRequest        *entry = &experiment->requests[request];

  if (!owner)
    return;
  if (owner->id == self->id)
    {
      submit_to_owner (experiment, request, instance);
      return;
    }
  entry->instance = WC_EXPERIMENT_NO_INDEX;
  entry->crossed_domain |= domain != self->domain + 1;
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    if (experiment->instances[i].id == owner->id)
      wc_experiment_schedule (
          experiment, experiment->now_us + wc_experiment_generate_delay_us (experiment, self->domain, domain - 1),
          WC_EXPERIMENT_RELAYED, request, i, entry->epoch, 0);
}

/* Prefers the hosts of the request's domain, then the host with the least recent work; @flow_hash is the domain. */
static size_t
choose_nearest (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random)
{
  size_t best = 0;

  (void)state;
  (void)random;
  for (size_t i = 1; i < count; i++)
    {
      bool near = wc_experiment_host_domain (targets[i].id) == flow_hash;
      bool best_near = wc_experiment_host_domain (targets[best].id) == flow_hash;

      if (near != best_near ? near : targets[i].work_us < targets[best].work_us)
        best = i;
    }
  return best;
}
