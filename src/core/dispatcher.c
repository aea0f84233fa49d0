#include <wigeoncart/dispatcher.h>

#include <assert.h>

#include "core/request_queue.h"
#include "core/retry_budget.h"
#include "core/target_set.h"

enum
{
  /* Evicted requests not yet returned by wc_dispatcher_next(), which is called after each submit. */
  MAX_EVICTED = 16,
  /* Safety factor: emptying the queue may take up to about this many times the estimate. */
  OVERLOAD_FACTOR = 2,
  /* A preferred target is used while its recent run time per weight (work_us) exceeds the mean of the candidates by at
   * most 1/8. */
  PREFERENCE_EXCESS_DIVISOR = 8
};

const char *const WC_REFUSAL_STRINGS[WC_REFUSAL_COUNT] = {
  [WC_REFUSAL_NONE] = "none",           [WC_REFUSAL_QUEUE_FULL] = "queue full",
  [WC_REFUSAL_LOW_WORTH] = "low worth", [WC_REFUSAL_TOO_LATE] = "too late",
  [WC_REFUSAL_NO_TARGET] = "no target", [WC_REFUSAL_RETRY_BUDGET] = "retry budget",
};

struct WcDispatcher
{
  WcDispatcherConfig config;
  const WcPolicy    *policy;
  GRand             *random;
  uint64_t           policy_state;
  uint64_t           now_us;
  WcTargetSet        targets;
  WcRetryBudget      budget;
  WcRequestQueue    *queue;
  uint64_t           evicted[MAX_EVICTED];
  uint32_t           evicted_count;
  /* Candidates (WcPolicyTarget) as the input of the policy, and their entries in @targets, by the same index. */
  GArray *candidates;
  GArray *candidate_states;
};

static bool     has_target (const WcDispatcher *dispatcher);
static uint64_t get_start_deadline (const WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchRequest *request);
static bool     is_overloaded (const WcDispatcher *dispatcher, uint64_t now_us);
static bool     get_pending_rejection (WcDispatcher *dispatcher, uint64_t now_us, WcDispatchDecision *decision);
static void     collect_candidates (WcDispatcher *dispatcher, uint64_t now_us, bool open_only);
static WcTargetState *choose_target (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchRequest *request);

WcDispatcher *
wc_dispatcher_new (const WcDispatcherConfig *config, const WcPolicy *policy, GRand *random)
{
  WcDispatcher *dispatcher = g_new0 (WcDispatcher, 1);

  assert (config != NULL);
  assert (config->queue_max_requests > 0);
  assert (policy != NULL);
  assert (random != NULL);

  dispatcher->config = *config;
  dispatcher->policy = policy;
  dispatcher->random = random;
  wc_target_set_init (&dispatcher->targets);
  wc_retry_budget_init (&dispatcher->budget, config->retry_budget_percent);
  dispatcher->queue = wc_request_queue_new (config->queue_max_requests);
  dispatcher->candidates = g_array_sized_new (FALSE, FALSE, sizeof (WcPolicyTarget), 32);
  dispatcher->candidate_states = g_array_sized_new (FALSE, FALSE, sizeof (WcTargetState *), 32);
  return dispatcher;
}

void
wc_dispatcher_delete (WcDispatcher *dispatcher)
{
  if (!dispatcher)
    return;
  g_array_unref (dispatcher->candidate_states);
  g_array_unref (dispatcher->candidates);
  wc_request_queue_delete (dispatcher->queue);
  wc_target_set_finish (&dispatcher->targets);
  g_free (dispatcher);
}

void
wc_dispatcher_set_targets (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchTarget *targets, size_t count)
{
  assert (dispatcher != NULL);

  dispatcher->now_us = now_us;
  wc_target_set_replace (&dispatcher->targets, now_us, targets, count);
}

WcRefusal
wc_dispatcher_submit (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchRequest *request)
{
  const WcDispatchRequest *lowest;
  uint64_t                 start_deadline_us;

  assert (dispatcher != NULL);
  assert (request != NULL);

  if (request->attempts == 0)
    wc_retry_budget_deposit (&dispatcher->budget);
  if (!has_target (dispatcher))
    return WC_REFUSAL_NO_TARGET;
  start_deadline_us = get_start_deadline (dispatcher, now_us, request);
  if (now_us + wc_dispatcher_get_expected_wait_us (dispatcher, now_us, request->worth) >= start_deadline_us)
    return WC_REFUSAL_TOO_LATE;
  if (request->attempts > 0 && !wc_retry_budget_withdraw (&dispatcher->budget, now_us))
    return WC_REFUSAL_RETRY_BUDGET;
  if (wc_request_queue_push (dispatcher->queue, request, start_deadline_us))
    return WC_REFUSAL_NONE;

  lowest = wc_request_queue_peek (dispatcher->queue, WC_QUEUE_LOWEST_PRIORITY);
  if (dispatcher->evicted_count == MAX_EVICTED || !wc_request_queue_precedes (request, lowest))
    return WC_REFUSAL_QUEUE_FULL;
  dispatcher->evicted[dispatcher->evicted_count++] = lowest->request;
  wc_request_queue_pop (dispatcher->queue, WC_QUEUE_LOWEST_PRIORITY);
  wc_request_queue_push (dispatcher->queue, request, start_deadline_us);
  return WC_REFUSAL_NONE;
}

bool
wc_dispatcher_next (WcDispatcher *dispatcher, uint64_t now_us, WcDispatchDecision *decision)
{
  const WcDispatchRequest *best;
  WcTargetState           *state;
  WcQueueOrder             order;

  assert (dispatcher != NULL);
  assert (decision != NULL);

  dispatcher->now_us = now_us;
  wc_target_set_tick (&dispatcher->targets, now_us);
  if (get_pending_rejection (dispatcher, now_us, decision))
    return true;
  order = is_overloaded (dispatcher, now_us) ? WC_QUEUE_HIGHEST_PRIORITY : WC_QUEUE_ARRIVAL;
  best = wc_request_queue_peek (dispatcher->queue, order);
  if (!best)
    return false;
  state = choose_target (dispatcher, now_us, best);
  if (!state)
    return false;
  *decision = (WcDispatchDecision){ .request = best->request, .target = state->target.id };
  wc_target_set_start_attempt (&dispatcher->targets, state);
  wc_request_queue_pop (dispatcher->queue, order);
  return true;
}

void
wc_dispatcher_end_attempt (WcDispatcher *dispatcher, uint64_t now_us, uint32_t target, WcOutcome outcome,
                           uint64_t run_us)
{
  assert (dispatcher != NULL);
  assert (outcome < WC_OUTCOME_COUNT);

  dispatcher->now_us = now_us;
  wc_target_set_end_attempt (&dispatcher->targets, now_us, target, outcome, run_us,
                             dispatcher->config.refusal_backoff_us);
}

uint32_t
wc_dispatcher_assign_flow (WcDispatcher *dispatcher, uint64_t now_us)
{
  const WcTargetState *state;

  assert (dispatcher != NULL);

  state = wc_target_set_assign_flow (&dispatcher->targets, now_us, g_rand_int (dispatcher->random));
  return state ? state->target.id : 0;
}

void
wc_dispatcher_set_reported_load (WcDispatcher *dispatcher, uint64_t now_us, uint32_t target, uint32_t running)
{
  WcTargetState *state;

  assert (dispatcher != NULL);

  (void)now_us;
  state = wc_target_set_find (&dispatcher->targets, target);
  if (state)
    state->reported = running;
}

uint64_t
wc_dispatcher_get_expected_wait_us (const WcDispatcher *dispatcher, uint64_t now_us, uint32_t worth)
{
  WcDispatchLoad load;
  uint32_t       ahead;

  assert (dispatcher != NULL);

  wc_dispatcher_get_load (dispatcher, now_us, &load);
  ahead = is_overloaded (dispatcher, now_us) ? wc_request_queue_count_ahead (dispatcher->queue, worth) : load.queued;
  if (load.open_slots == 0 || ahead < load.free_slots)
    return 0;
  return (ahead - load.free_slots + 1) * load.run_us / load.open_slots;
}

void
wc_dispatcher_get_load (const WcDispatcher *dispatcher, uint64_t now_us, WcDispatchLoad *load)
{
  assert (dispatcher != NULL);
  assert (load != NULL);

  *load = (WcDispatchLoad){ .queued = wc_request_queue_get_length (dispatcher->queue),
                            .run_us = dispatcher->targets.run_us };
  for (guint i = 0; i < dispatcher->targets.states->len; i++)
    {
      const WcTargetState *state = &g_array_index (dispatcher->targets.states, WcTargetState, i);
      uint32_t             limit = wc_target_state_get_limit (state, now_us);

      load->open_slots += limit;
      load->free_slots += limit - MIN (limit, state->outstanding);
    }
}

bool
wc_dispatcher_remove (WcDispatcher *dispatcher, uint64_t request)
{
  assert (dispatcher != NULL);

  return wc_request_queue_remove (dispatcher->queue, request);
}

size_t
wc_dispatcher_get_queue_length (const WcDispatcher *dispatcher)
{
  assert (dispatcher != NULL);

  return wc_request_queue_get_length (dispatcher->queue);
}

uint32_t
wc_dispatcher_get_outstanding (const WcDispatcher *dispatcher, uint32_t target)
{
  const WcTargetState *state;

  assert (dispatcher != NULL);

  state = wc_target_set_find (&dispatcher->targets, target);
  return state ? state->outstanding : 0;
}

uint64_t
wc_dispatcher_get_wake_us (const WcDispatcher *dispatcher)
{
  uint64_t wake_us;

  assert (dispatcher != NULL);

  if (dispatcher->evicted_count > 0)
    return 0;
  wake_us = wc_request_queue_get_earliest_start_deadline (dispatcher->queue);
  if (wake_us == UINT64_MAX)
    return UINT64_MAX;
  for (guint i = 0; i < dispatcher->targets.states->len; i++)
    {
      const WcTargetState *state = &g_array_index (dispatcher->targets.states, WcTargetState, i);

      wake_us = MIN (wake_us, wc_target_state_get_next_change_us (state, dispatcher->now_us));
    }
  return wake_us;
}

/* local functions */

static bool
has_target (const WcDispatcher *dispatcher)
{
  for (guint i = 0; i < dispatcher->targets.states->len; i++)
    if (wc_target_state_is_in_service (&g_array_index (dispatcher->targets.states, WcTargetState, i)))
      return true;
  return false;
}

/* Latest time to start a request: its deadline less the mean run time. For a non-idempotent request, the 99th
 * percentile of the run time is used, because stopping a running one leaves an unknown outcome, but at most half of the
 * time left: otherwise, requests with deadlines shorter than a long run would always be rejected. */
static uint64_t
get_start_deadline (const WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchRequest *request)
{
  uint64_t deadline_us = request->deadline_us;
  uint64_t margin_us = dispatcher->targets.run_us;

  /* While no attempt is in progress, no run time can be measured, so a request is accepted even if the last estimate
   * exceeds its time left. Without late binding, the measured times include waiting in the targets' queues and cannot
   * be used. */
  if (dispatcher->targets.outstanding == 0 || !dispatcher->config.late_binding)
    return deadline_us;
  if (request->non_idempotent)
    margin_us = MAX (margin_us, MIN (dispatcher->targets.p99_run_us, (deadline_us - MIN (deadline_us, now_us)) / 2));
  return deadline_us - MIN (deadline_us, margin_us);
}

/* Whether a request might miss its start deadline if the queue is served in order of arrival. If no request would,
 * order of arrival minimizes the longest wait, and order by worth would delay the requests of low worth without any
 * benefit. */
static bool
is_overloaded (const WcDispatcher *dispatcher, uint64_t now_us)
{
  uint64_t       start_deadline_us = wc_request_queue_get_earliest_start_deadline (dispatcher->queue);
  WcDispatchLoad load;

  if (start_deadline_us == UINT64_MAX)
    return false;
  wc_dispatcher_get_load (dispatcher, now_us, &load);
  return load.open_slots == 0 ||
         now_us + OVERLOAD_FACTOR * load.queued * load.run_us / load.open_slots >= start_deadline_us;
}

/* Returns the decision for an evicted request, or for a queued one that has no target or missed its start deadline. */
static bool
get_pending_rejection (WcDispatcher *dispatcher, uint64_t now_us, WcDispatchDecision *decision)
{
  const WcDispatchRequest *first;
  WcRefusal                refusal = WC_REFUSAL_NONE;

  if (dispatcher->evicted_count > 0)
    {
      *decision = (WcDispatchDecision){ .request = dispatcher->evicted[--dispatcher->evicted_count],
                                        .refusal = WC_REFUSAL_LOW_WORTH };
      return true;
    }
  first = wc_request_queue_peek (dispatcher->queue, WC_QUEUE_START_DEADLINE);
  if (!first)
    return false;
  if (!has_target (dispatcher))
    refusal = WC_REFUSAL_NO_TARGET;
  else if (now_us >= wc_request_queue_get_earliest_start_deadline (dispatcher->queue))
    refusal = WC_REFUSAL_TOO_LATE;
  if (refusal == WC_REFUSAL_NONE)
    return false;
  *decision = (WcDispatchDecision){ .request = first->request, .refusal = refusal };
  wc_request_queue_pop (dispatcher->queue, WC_QUEUE_START_DEADLINE);
  return true;
}

/* Collects the targets in service; with @open_only, only those with open slots, and with late binding, only those with
 * a free slot. */
static void
collect_candidates (WcDispatcher *dispatcher, uint64_t now_us, bool open_only)
{
  g_array_set_size (dispatcher->candidates, 0);
  g_array_set_size (dispatcher->candidate_states, 0);
  for (guint i = 0; i < dispatcher->targets.states->len; i++)
    {
      WcTargetState *state = &g_array_index (dispatcher->targets.states, WcTargetState, i);
      uint32_t       limit = wc_target_state_get_limit (state, now_us);
      WcPolicyTarget candidate;

      if (!wc_target_state_is_in_service (state))
        continue;
      if (open_only && (limit == 0 || (dispatcher->config.late_binding && state->outstanding >= limit)))
        continue;
      candidate = (WcPolicyTarget){ .id = state->target.id,
                                    .outstanding = state->outstanding,
                                    .limit = limit,
                                    .slots = state->target.slots,
                                    .weight = state->target.weight,
                                    .reported = state->reported,
                                    .run_us = state->run_us,
                                    .dispatched = state->dispatched,
                                    .work_us = wc_target_state_get_work (state, now_us) };
      g_array_append_val (dispatcher->candidates, candidate);
      g_array_append_val (dispatcher->candidate_states, state);
    }
}

static WcTargetState *
choose_target (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchRequest *request)
{
  const WcPolicyTarget *candidates;
  uint64_t              work_us = 0;
  size_t                count;
  size_t                chosen;

  collect_candidates (dispatcher, now_us, true);
  /* Without late binding, requests do not wait in the queue, so a target in backoff is chosen if no other is open. */
  if (dispatcher->candidates->len == 0 && !dispatcher->config.late_binding)
    collect_candidates (dispatcher, now_us, false);
  count = dispatcher->candidates->len;
  if (count == 0)
    return NULL;
  candidates = (const WcPolicyTarget *)(const void *)dispatcher->candidates->data;
  for (size_t i = 0; i < count; i++)
    work_us += candidates[i].work_us;
  /* A flow keeps its preferred target unless its recent run time per weight exceeds the mean by more than 1/8. */
  for (size_t i = 0; i < count && request->preferred_target != 0; i++)
    if (candidates[i].id == request->preferred_target &&
        candidates[i].work_us * count <= work_us + work_us / PREFERENCE_EXCESS_DIVISOR)
      return g_array_index (dispatcher->candidate_states, WcTargetState *, i);
  chosen =
      dispatcher->policy->choose (candidates, count, request->flow_hash, &dispatcher->policy_state, dispatcher->random);
  assert (chosen < count);
  return g_array_index (dispatcher->candidate_states, WcTargetState *, chosen);
}
