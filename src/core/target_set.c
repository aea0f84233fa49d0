#include "core/target_set.h"

#include <assert.h>

enum
{
  /* Weight of a new run time in the moving averages: 1/16 for a target, 1/64 for the whole set. */
  TARGET_AVERAGE_SHIFT = 4,
  SET_AVERAGE_SHIFT = 6,
  /* Work decays by 1/8 every 250 ms. Without decay, a target would be flooded after a backoff, until its work had
   * caught up with the others. */
  DECAY_INTERVAL_US = 250000,
  DECAY_SHIFT = 3,
  MAX_DECAY_STEPS = 64,
  /* A flow affects the work figures only after several requests, so the flow count decays more slowly: its half-life is
   * 52 s. */
  FLOW_DECAY_INTERVAL_US = 10 * 1000 * 1000,
  FLOW_UNIT = 1024,
  /* Maximum number of times the backoff is doubled. */
  MAX_BACKOFF_SHIFT = 5,
  RAMP_MIN_PERCENT = 10,
  QUANTILE_PERCENT = 99,
  QUANTILE_STEP_DIVISOR = 16
};

static void     add_target (WcTargetSet *set, uint64_t now_us, const WcDispatchTarget *target, bool ramp);
static void     remove_unused (WcTargetSet *set);
static uint64_t get_decay_steps (uint64_t *next_us, uint64_t now_us, uint64_t interval_us);
static uint64_t get_initial_flows (const WcTargetSet *set, const WcDispatchTarget *target);
static uint64_t get_capacity (const WcDispatchTarget *target);
static uint64_t update_average (uint64_t mean, uint64_t sample, int shift);
static void     update_p99_run (WcTargetSet *set, uint64_t run_us);
static uint64_t get_initial_work (const WcTargetSet *set, uint64_t now_us, uint32_t weight);
static uint32_t get_ramp_percent (const WcTargetState *state, uint64_t now_us);
static uint32_t get_weighted_slots (const WcTargetState *state);

void
wc_target_set_init (WcTargetSet *set)
{
  assert (set != NULL);

  set->states = g_array_sized_new (FALSE, TRUE, sizeof (WcTargetState), 32);
  set->run_us = 0;
  set->p99_run_us = 0;
  set->outstanding = 0;
  set->next_decay_us = 0;
  set->next_flow_decay_us = 0;
}

void
wc_target_set_finish (WcTargetSet *set)
{
  assert (set != NULL);

  g_array_unref (set->states);
}

void
wc_target_set_replace (WcTargetSet *set, uint64_t now_us, const WcDispatchTarget *targets, size_t count)
{
  bool ramp;

  assert (set != NULL);
  assert (targets != NULL || count == 0);

  /* The first targets of a dispatcher are not ramped up: a new owner does not know how long they have been running, and
   * reducing the capacity of the whole shard is worse than a full share for a cold target. */
  ramp = set->states->len > 0;
  for (guint i = 0; i < set->states->len; i++)
    g_array_index (set->states, WcTargetState, i).present = false;
  for (size_t i = 0; i < count; i++)
    {
      WcTargetState *state = wc_target_set_find (set, targets[i].id);

      if (state)
        {
          state->target = targets[i];
          state->present = true;
        }
      else
        add_target (set, now_us, &targets[i], ramp);
    }
  remove_unused (set);
}

WcTargetState *
wc_target_set_find (const WcTargetSet *set, uint32_t id)
{
  assert (set != NULL);

  for (guint i = 0; i < set->states->len; i++)
    if (g_array_index (set->states, WcTargetState, i).target.id == id)
      return &g_array_index (set->states, WcTargetState, i);
  return NULL;
}

void
wc_target_set_start_attempt (WcTargetSet *set, WcTargetState *state)
{
  assert (set != NULL);
  assert (state != NULL);

  state->outstanding++;
  set->outstanding++;
  state->dispatched++;
  state->outstanding_work_us += set->run_us;
}

void
wc_target_set_end_attempt (WcTargetSet *set, uint64_t now_us, uint32_t target, WcOutcome outcome, uint64_t run_us,
                           uint64_t backoff_us)
{
  WcTargetState *state;
  uint64_t       estimate_us;

  assert (set != NULL);

  state = wc_target_set_find (set, target);
  if (!state || state->outstanding == 0)
    return;
  estimate_us = state->outstanding_work_us / state->outstanding;
  state->outstanding_work_us -= estimate_us;
  state->outstanding--;
  set->outstanding--;
  switch (outcome)
    {
    case WC_OUTCOME_DONE:
      state->failures = 0;
      state->ended_work_us += run_us != 0 ? run_us : estimate_us;
      if (run_us != 0)
        {
          state->run_us = update_average (state->run_us, run_us, TARGET_AVERAGE_SHIFT);
          set->run_us = update_average (set->run_us, run_us, SET_AVERAGE_SHIFT);
          update_p99_run (set, run_us);
        }
      break;
    /* A failure starts the backoff as well: a crashed target fails fast and would otherwise attract all requests. */
    case WC_OUTCOME_REFUSED:
    case WC_OUTCOME_FAILED:
      state->backoff_deadline_us = now_us + (backoff_us << state->failures);
      if (state->failures < MAX_BACKOFF_SHIFT)
        state->failures++;
      state->ended_work_us += run_us;
      break;
    default:
      state->ended_work_us += run_us;
      break;
    }
  if (!state->present)
    remove_unused (set);
}

WcTargetState *
wc_target_set_assign_flow (WcTargetSet *set, uint64_t now_us, uint32_t start)
{
  WcTargetState    *best = NULL;
  unsigned __int128 best_load = 0;
  bool              best_available = false;
  uint64_t          work_us = 0;
  uint64_t          flows = 0;

  assert (set != NULL);

  wc_target_set_tick (set, now_us);
  for (guint i = 0; i < set->states->len; i++)
    {
      const WcTargetState *state = &g_array_index (set->states, WcTargetState, i);

      if (!wc_target_state_is_in_service (state))
        continue;
      work_us += state->ended_work_us + state->outstanding_work_us;
      flows += state->flows;
    }
  for (guint i = 0; i < set->states->len; i++)
    {
      WcTargetState    *state = &g_array_index (set->states, WcTargetState, (start + i) % set->states->len);
      bool              available = now_us >= state->backoff_deadline_us;
      unsigned __int128 load;

      if (!wc_target_state_is_in_service (state))
        continue;
      /* Work and flows have different units, so each is added as a share of its sum over all targets. */
      load = (unsigned __int128)state->flows * MAX (work_us, 1) +
             (unsigned __int128)(state->ended_work_us + state->outstanding_work_us) * MAX (flows, 1);
      load = load * 100 / (get_capacity (&state->target) * get_ramp_percent (state, now_us));
      if (best && (available != best_available ? best_available : load >= best_load))
        continue;
      best = state;
      best_load = load;
      best_available = available;
    }
  if (best)
    best->flows += FLOW_UNIT;
  return best;
}

void
wc_target_set_tick (WcTargetSet *set, uint64_t now_us)
{
  uint64_t steps;
  uint64_t flow_steps;

  assert (set != NULL);

  steps = get_decay_steps (&set->next_decay_us, now_us, DECAY_INTERVAL_US);
  flow_steps = get_decay_steps (&set->next_flow_decay_us, now_us, FLOW_DECAY_INTERVAL_US);
  if (steps == 0 && flow_steps == 0)
    return;
  for (guint i = 0; i < set->states->len; i++)
    {
      WcTargetState *state = &g_array_index (set->states, WcTargetState, i);

      for (uint64_t step = 0; step < steps; step++)
        state->ended_work_us -= state->ended_work_us >> DECAY_SHIFT;
      for (uint64_t step = 0; step < flow_steps; step++)
        state->flows -= state->flows >> DECAY_SHIFT;
    }
}

bool
wc_target_state_is_in_service (const WcTargetState *state)
{
  assert (state != NULL);

  return state->present && !state->target.leaving && state->target.weight > 0 && state->target.slots > 0;
}

uint32_t
wc_target_state_get_limit (const WcTargetState *state, uint64_t now_us)
{
  uint32_t limit;

  if (!wc_target_state_is_in_service (state) || now_us < state->backoff_deadline_us)
    return 0;
  limit = get_weighted_slots (state) * get_ramp_percent (state, now_us) / 100;
  return limit > 0 ? limit : 1;
}

uint64_t
wc_target_state_get_work (const WcTargetState *state, uint64_t now_us)
{
  uint64_t weight_percent;

  assert (state != NULL);

  weight_percent = (uint64_t)state->target.weight * get_ramp_percent (state, now_us);
  return (state->ended_work_us + state->outstanding_work_us) * 10000 / (weight_percent > 0 ? weight_percent : 1);
}

uint64_t
wc_target_state_get_next_change_us (const WcTargetState *state, uint64_t now_us)
{
  if (!wc_target_state_is_in_service (state))
    return UINT64_MAX;
  if (now_us < state->backoff_deadline_us)
    return state->backoff_deadline_us;
  if (now_us < state->ramp_end_us)
    return now_us + 1 + (state->ramp_end_us - state->ramp_start_us) / get_weighted_slots (state);
  return UINT64_MAX;
}

/* local functions */

static void
add_target (WcTargetSet *set, uint64_t now_us, const WcDispatchTarget *target, bool ramp)
{
  WcTargetState state = { .target = *target, .present = true };

  if (ramp && target->cold_start_ms > 0)
    {
      state.ramp_start_us = now_us;
      state.ramp_end_us = now_us + (uint64_t)target->cold_start_ms * 1000;
    }
  /* Starts with the mean of the other targets: from 0, the target would get all requests until it had caught up. */
  state.ended_work_us = get_initial_work (set, now_us, target->weight);
  state.flows = get_initial_flows (set, target);
  g_array_append_val (set->states, state);
}

static void
remove_unused (WcTargetSet *set)
{
  for (guint i = set->states->len; i-- > 0;)
    {
      const WcTargetState *state = &g_array_index (set->states, WcTargetState, i);

      if (!state->present && state->outstanding == 0)
        g_array_remove_index (set->states, i);
    }
}

/* Number of decay steps that are due at @now_us; also advances @next_us. */
static uint64_t
get_decay_steps (uint64_t *next_us, uint64_t now_us, uint64_t interval_us)
{
  uint64_t steps;

  if (now_us < *next_us)
    return 0;
  steps = 1 + (now_us - *next_us) / interval_us;
  *next_us = now_us + interval_us;
  return steps < MAX_DECAY_STEPS ? steps : MAX_DECAY_STEPS;
}

static uint64_t
get_capacity (const WcDispatchTarget *target)
{
  return (uint64_t)target->slots * target->weight;
}

/* Initial flow count of a new target: the mean of the targets in service, in proportion to its capacity. */
static uint64_t
get_initial_flows (const WcTargetSet *set, const WcDispatchTarget *target)
{
  uint64_t flows = 0;
  uint64_t capacity = 0;

  for (guint i = 0; i < set->states->len; i++)
    {
      const WcTargetState *state = &g_array_index (set->states, WcTargetState, i);

      if (!wc_target_state_is_in_service (state))
        continue;
      flows += state->flows;
      capacity += get_capacity (&state->target);
    }
  return capacity > 0 ? flows * get_capacity (target) / capacity : 0;
}

static uint64_t
update_average (uint64_t mean, uint64_t sample, int shift)
{
  if (mean == 0)
    return sample;
  return mean + (sample >> shift) - (mean >> shift);
}

/* Estimates the 99th percentile by stochastic approximation: a longer run raises the estimate by 99 parts, a shorter
 * one lowers it by 1 part, so it converges to the value that 1 run in 100 exceeds. A part is 1/1600 of the mean run
 * time. */
static void
update_p99_run (WcTargetSet *set, uint64_t run_us)
{
  uint64_t step_us = set->run_us / QUANTILE_STEP_DIVISOR;

  if (set->p99_run_us == 0)
    set->p99_run_us = run_us;
  else if (run_us > set->p99_run_us)
    set->p99_run_us += step_us * QUANTILE_PERCENT / 100;
  else
    set->p99_run_us -= MIN (set->p99_run_us, step_us * (100 - QUANTILE_PERCENT) / 100);
}

static uint64_t
get_initial_work (const WcTargetSet *set, uint64_t now_us, uint32_t weight)
{
  uint64_t sum = 0;
  uint32_t count = 0;

  for (guint i = 0; i < set->states->len; i++)
    {
      const WcTargetState *state = &g_array_index (set->states, WcTargetState, i);

      if (!wc_target_state_is_in_service (state))
        continue;
      sum += wc_target_state_get_work (state, now_us);
      count++;
    }
  return count > 0 ? sum / count * weight / 100 : 0;
}

static uint32_t
get_ramp_percent (const WcTargetState *state, uint64_t now_us)
{
  uint64_t percent;

  if (now_us >= state->ramp_end_us)
    return 100;
  percent = (now_us - state->ramp_start_us) * 100 / (state->ramp_end_us - state->ramp_start_us);
  return percent > RAMP_MIN_PERCENT ? (uint32_t)percent : RAMP_MIN_PERCENT;
}

/* Slots that may be used after ramp-up. A weight below 100 reduces them, because when all slots are busy, the shares of
 * the targets depend only on their numbers of slots. */
static uint32_t
get_weighted_slots (const WcTargetState *state)
{
  uint32_t weight = state->target.weight < 100 ? state->target.weight : 100;

  return (state->target.slots * weight + 99) / 100;
}
