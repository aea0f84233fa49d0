#ifndef WC_CORE_TARGET_SET_H
#define WC_CORE_TARGET_SET_H

#include <wigeoncart/dispatcher.h>

/**
 * struct WcTargetState - a target with its counts.
 * @present: part of the current set; an absent target stays until its outstanding attempts have ended.
 * @reported: requests that it last said it runs.
 * @ramp_start_us: when its ramp-up began; @ramp_end_us is 0 for a warm target.
 * @backoff_deadline_us: end of the backoff after a refusal or failure.
 * @failures: refusals and failures in a row.
 * @outstanding_work_us: estimated run time of the outstanding attempts.
 * @ended_work_us: run time of the ended attempts; decays.
 * @flows: new flows that prefer the target, in units of 1/1024; decays more slowly.
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
 * @run_us: mean run time.
 * @p99_run_us: run time that few attempts exceed.
 * @outstanding: attempts on all targets.
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

/** wc_target_set_replace() - new set; known targets keep their counts. */
void wc_target_set_replace (WcTargetSet *set, uint64_t now_us, const WcDispatchTarget *targets, size_t count);

/** wc_target_set_find() - NULL when unknown; valid until the set is replaced or an attempt ends. */
WcTargetState *wc_target_set_find (const WcTargetSet *set, uint32_t id);

/** wc_target_set_start_attempt() - an attempt is sent to the target. */
void wc_target_set_start_attempt (WcTargetSet *set, WcTargetState *state);

/** wc_target_set_end_attempt() - an attempt has ended; unknown targets are ignored. */
void wc_target_set_end_attempt (WcTargetSet *set, uint64_t now_us, uint32_t target, WcOutcome outcome, uint64_t run_us,
                                uint64_t backoff_us);

/**
 * wc_target_set_assign_flow() - preferred target of a new flow: the one with the least recent work and recent flows for
 * its slots and weight. Of equal ones, the first from place @start on.
 *
 * Return: NULL when no target is in service.
 */
WcTargetState *wc_target_set_assign_flow (WcTargetSet *set, uint64_t now_us, uint32_t start);

/** wc_target_set_tick() - age the work and flow figures. */
void wc_target_set_tick (WcTargetSet *set, uint64_t now_us);

/** wc_target_state_is_in_service() - may get new work, now or after a backoff. */
bool wc_target_state_is_in_service (const WcTargetState *state);

/** wc_target_state_get_limit() - slots open at @now_us, after weight, ramp-up and backoff. */
uint32_t wc_target_state_get_limit (const WcTargetState *state, uint64_t now_us);

/** wc_target_state_get_work() - recent work per weight. */
uint64_t wc_target_state_get_work (const WcTargetState *state, uint64_t now_us);

/** wc_target_state_get_next_change_us() - when the limit may rise by itself; UINT64_MAX for never. */
uint64_t wc_target_state_get_next_change_us (const WcTargetState *state, uint64_t now_us);

#endif
