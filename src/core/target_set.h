#ifndef WC_CORE_TARGET_SET_H
#define WC_CORE_TARGET_SET_H

#include <wigeoncart/dispatcher.h>

/**
 * struct WcTargetState - a target with its counts.
 * @present: part of the current set; a removed target is kept until its outstanding attempts have ended.
 * @outstanding: attempts in progress.
 * @reported: number of running requests last reported by the target.
 * @dispatched: attempts sent so far.
 * @run_us: moving average of run times, 0 when unknown.
 * @ramp_start_us, @ramp_end_us: start and end of the ramp-up; 0 for a target without one.
 * @backoff_deadline_us: end of the backoff after a refusal or failure.
 * @failures: consecutive refusals and failures, up to the maximum that lengthens the backoff.
 * @outstanding_work_us: estimated run time of the outstanding attempts.
 * @ended_work_us: run time of the ended attempts; decays over time.
 * @flows: flows assigned to the target, in units of 1/1024; decays more slowly than @ended_work_us.
 */
typedef struct
{
  WcDispatchTarget target;
  bool             present;
  uint32_t         outstanding;
  uint32_t         reported;
  uint64_t         dispatched;
  uint64_t         run_us;
  uint64_t         ramp_start_us;
  uint64_t         ramp_end_us;
  uint64_t         backoff_deadline_us;
  uint32_t         failures;
  uint64_t         outstanding_work_us;
  uint64_t         ended_work_us;
  uint64_t         flows;
} WcTargetState;

/**
 * struct WcTargetSet - targets of a dispatcher.
 * @run_us: moving average of the run times at all targets, 0 when unknown.
 * @p99_run_us: estimated 99th percentile of the run times, 0 when unknown.
 * @outstanding: attempts in progress at all targets.
 * @next_decay_us, @next_flow_decay_us: time of the next decay of the work and of the flow figures.
 */
typedef struct
{
  GArray  *states;
  uint64_t run_us;
  uint64_t p99_run_us;
  uint32_t outstanding;
  uint64_t next_decay_us;
  uint64_t next_flow_decay_us;
} WcTargetSet;

void wc_target_set_init (WcTargetSet *set);
void wc_target_set_finish (WcTargetSet *set);

/** wc_target_set_replace() - replace the set; targets in both sets keep their counts. */
void wc_target_set_replace (WcTargetSet *set, uint64_t now_us, const WcDispatchTarget *targets, size_t count);

/** wc_target_set_find() - state of a target, NULL when unknown; valid until the set is replaced or an attempt ends. */
WcTargetState *wc_target_set_find (const WcTargetSet *set, uint32_t id);

/** wc_target_set_start_attempt() - count an attempt that is sent to the target. */
void wc_target_set_start_attempt (WcTargetSet *set, WcTargetState *state);

/** wc_target_set_end_attempt() - account for the end of an attempt; unknown targets are ignored. */
void wc_target_set_end_attempt (WcTargetSet *set, uint64_t now_us, uint32_t target, WcOutcome outcome, uint64_t run_us,
                                uint64_t backoff_us);

/**
 * wc_target_set_assign_flow() - choose the preferred target of a new flow and count the flow for it.
 * @start: index at which the search starts; the first of several equal targets is chosen.
 *
 * The target with the least recent work and recent flows in relation to its slots and weight is chosen; targets in
 * backoff are chosen only when there are no others.
 *
 * Return: NULL when no target is in service.
 */
WcTargetState *wc_target_set_assign_flow (WcTargetSet *set, uint64_t now_us, uint32_t start);

/** wc_target_set_tick() - apply the decay of the work and flow figures. */
void wc_target_set_tick (WcTargetSet *set, uint64_t now_us);

/** wc_target_state_is_in_service() - whether the target may get new requests, now or after its backoff. */
bool wc_target_state_is_in_service (const WcTargetState *state);

/** wc_target_state_get_limit() - slots that may be used at @now_us, given weight, ramp-up and backoff. */
uint32_t wc_target_state_get_limit (const WcTargetState *state, uint64_t now_us);

/** wc_target_state_get_work() - recent work in relation to the target's weight and ramp-up. */
uint64_t wc_target_state_get_work (const WcTargetState *state, uint64_t now_us);

/** wc_target_state_get_next_change_us() - time at which the limit rises without an event; UINT64_MAX for never. */
uint64_t wc_target_state_get_next_change_us (const WcTargetState *state, uint64_t now_us);

#endif
