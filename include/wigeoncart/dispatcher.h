#ifndef WIGEONCART_DISPATCHER_H
#define WIGEONCART_DISPATCHER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/policy.h>
#include <wigeoncart/status.h>

/** enum WcRefusal - why a request was not admitted. */
typedef enum
{
  WC_REFUSAL_NONE = 0,
  WC_REFUSAL_QUEUE_FULL,
  WC_REFUSAL_LOW_WORTH,
  WC_REFUSAL_TOO_LATE,
  WC_REFUSAL_NO_TARGET,
  WC_REFUSAL_RETRY_BUDGET,
  WC_REFUSAL_COUNT
} WcRefusal;

extern const char *const WC_REFUSAL_STRINGS[WC_REFUSAL_COUNT];

/** enum WcOutcome - how an attempt ended, as the dispatcher needs to know it. */
typedef enum
{
  WC_OUTCOME_DONE = 0,
  WC_OUTCOME_REFUSED,
  WC_OUTCOME_FAILED,
  WC_OUTCOME_CANCELLED,
  WC_OUTCOME_COUNT
} WcOutcome;

/**
 * struct WcDispatchTarget - a target of the dispatcher's shard.
 * @slots: requests that it runs at once.
 * @weight: percent of the normal share; 0 sends nothing.
 * @cold_start_ms: length of the ramp-up when the target joins a dispatcher that already has targets.
 * @leaving: gets no new work; outstanding work is still counted.
 */
typedef struct
{
  uint32_t id;
  uint32_t slots;
  uint32_t weight;
  uint32_t cold_start_ms;
  bool     leaving;
} WcDispatchTarget;

/**
 * struct WcDispatchRequest - a request that waits for a slot.
 * @request: caller's handle, unique in the dispatcher.
 * @preferred_target: target of the flow's token, 0 for none.
 * @worth: value to its customer if delivered once and on time.
 * @attempts: attempts made so far; more than 0 draws on the retry budget.
 * @non_idempotent: not idempotent; started only with time left for a long run, because one that is stopped at its
 * deadline ends with an unknown outcome.
 */
typedef struct
{
  uint64_t request;
  uint64_t deadline_us;
  uint32_t worth;
  uint32_t preferred_target;
  uint32_t attempts;
  uint32_t flow_hash;
  bool     non_idempotent;
} WcDispatchRequest;

/** struct WcDispatchDecision - one step to take: dispatch @request to @target, or refuse it when @refusal is set. */
typedef struct
{
  uint64_t  request;
  uint32_t  target;
  WcRefusal refusal;
} WcDispatchDecision;

/**
 * struct WcDispatcherConfig - fixed limits.
 * @retry_budget_percent: retries allowed per 100 first attempts, on top of a floor of one a second.
 * @refusal_backoff_us: how long a refusal or failure closes a target's slots; doubles with each one in a row.
 * @late_binding: requests wait here until a slot is free; false sends them at once to the policy's choice.
 */
typedef struct
{
  uint32_t queue_max_requests;
  uint32_t retry_budget_percent;
  uint64_t refusal_backoff_us;
  bool     late_binding;
} WcDispatcherConfig;

/** struct WcDispatcher - queue and outstanding counts of one shard of a service in a domain. */
typedef struct WcDispatcher WcDispatcher;

/**
 * wc_dispatcher_new() - new dispatcher without targets.
 * @random: used by the policy; remains the caller's and must outlive the dispatcher.
 */
WcDispatcher *wc_dispatcher_new (const WcDispatcherConfig *config, const WcPolicy *policy, GRand *random);
void          wc_dispatcher_delete (WcDispatcher *dispatcher);

/** wc_dispatcher_set_targets() - replace the set of targets; counts of targets that stay are kept. */
void
wc_dispatcher_set_targets (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchTarget *targets, size_t count);

/**
 * wc_dispatcher_submit() - queue a request, or refuse it at once.
 *
 * A request refused here produces no decision. A queued request that has to make room for one of more worth is
 * reported by wc_dispatcher_next() with WC_REFUSAL_LOW_WORTH.
 */
WcRefusal wc_dispatcher_submit (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchRequest *request);

/** wc_dispatcher_next() - next decision to carry out; call until it returns false, after each change and each tick. */
bool wc_dispatcher_next (WcDispatcher *dispatcher, uint64_t now_us, WcDispatchDecision *decision);

/** wc_dispatcher_end_attempt() - an attempt dispatched to @target has ended; @run_us is 0 when unknown. */
void wc_dispatcher_end_attempt (WcDispatcher *dispatcher, uint64_t now_us, uint32_t target, WcOutcome outcome,
                                uint64_t run_us);

/**
 * wc_dispatcher_assign_flow() - preferred target of a new flow, so that flows spread evenly; it counts as assigned.
 *
 * Return: 0 when no target is in service.
 */
uint32_t wc_dispatcher_assign_flow (WcDispatcher *dispatcher, uint64_t now_us);

/** wc_dispatcher_set_reported_load() - load told in an answer's header; may order the candidates, never admits work. */
void wc_dispatcher_set_reported_load (WcDispatcher *dispatcher, uint64_t now_us, uint32_t target, uint32_t running);

/**
 * wc_dispatcher_get_expected_wait_us() - expected wait of a request of @worth that is submitted now.
 *
 * Computed from the queue, the open slots and the measured run times; 0 while these are unknown.
 */
uint64_t wc_dispatcher_get_expected_wait_us (const WcDispatcher *dispatcher, uint64_t now_us, uint32_t worth);

/**
 * struct WcDispatchLoad - load of a dispatcher.
 * @open: slots open now, taken or not.
 * @free: open slots without an attempt.
 * @run_us: moving average of run times, 0 when unknown.
 */
typedef struct
{
  uint32_t open;
  uint32_t free;
  uint32_t queued;
  uint64_t run_us;
} WcDispatchLoad;

void wc_dispatcher_get_load (const WcDispatcher *dispatcher, uint64_t now_us, WcDispatchLoad *load);

/** wc_dispatcher_remove() - drop a queued request (cancelled); false when it is not queued. */
bool wc_dispatcher_remove (WcDispatcher *dispatcher, uint64_t request);

size_t   wc_dispatcher_get_queue_length (const WcDispatcher *dispatcher);
uint32_t wc_dispatcher_get_outstanding (const WcDispatcher *dispatcher, uint32_t target);

/** wc_dispatcher_get_wake_us() - when wc_dispatcher_next() may have work with no other event; UINT64_MAX for never. */
uint64_t wc_dispatcher_get_wake_us (const WcDispatcher *dispatcher);

#endif
