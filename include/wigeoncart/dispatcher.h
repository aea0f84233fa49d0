#ifndef WIGEONCART_DISPATCHER_H
#define WIGEONCART_DISPATCHER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/policy.h>
#include <wigeoncart/status.h>

/** enum WcRefusal - why a request was rejected by the dispatcher. */
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

/** enum WcOutcome - result of an attempt, as far as the dispatcher distinguishes results. */
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
 * @slots: maximum number of concurrent requests.
 * @weight: percentage that scales the share of requests that @slots give the target; 100 is neutral, 0 means no
 * requests.
 * @cold_start_ms: duration of the ramp-up when the target is added to a dispatcher that already has targets.
 * @leaving: the target gets no new requests; its outstanding attempts are still counted.
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
 * struct WcDispatchRequest - a queued request.
 * @request: handle of the request, unique in the dispatcher.
 * @worth: value to the customer of one answer before the deadline; requests of higher worth go first under overload.
 * @preferred_target: target named in the flow's token, 0 for none.
 * @attempts: previous attempts; a request with any counts as a retry and is charged to the retry budget.
 * @non_idempotent: the request is not idempotent. It is started only with enough time left for a long run, because an
 * attempt that is stopped at its deadline has an unknown outcome.
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

/** struct WcDispatchDecision - dispatch @request to @target, or reject it when @refusal is not WC_REFUSAL_NONE. */
typedef struct
{
  uint64_t  request;
  uint32_t  target;
  WcRefusal refusal;
} WcDispatchDecision;

/**
 * struct WcDispatcherConfig - settings of a dispatcher, fixed for its lifetime.
 * @queue_max_requests: capacity of the queue.
 * @retry_budget_percent: retries allowed per 100 first attempts, in addition to a minimum of one per second.
 * @refusal_backoff_us: time without new requests for a target after a refusal or failure; doubles with each consecutive
 * one.
 * @late_binding: a request waits in the dispatcher's queue until a target has a free slot; if false, it is sent
 * immediately to the target chosen by the policy.
 */
typedef struct
{
  uint32_t queue_max_requests;
  uint32_t retry_budget_percent;
  uint64_t refusal_backoff_us;
  bool     late_binding;
} WcDispatcherConfig;

/** struct WcDispatcher - queue and outstanding attempts of one shard of a service in one domain. */
typedef struct WcDispatcher WcDispatcher;

/**
 * wc_dispatcher_new() - create a dispatcher without targets.
 * @random: used by the policy; owned by the caller, must outlive the dispatcher.
 */
WcDispatcher *wc_dispatcher_new (const WcDispatcherConfig *config, const WcPolicy *policy, GRand *random);
void          wc_dispatcher_delete (WcDispatcher *dispatcher);

/** wc_dispatcher_set_targets() - replace the set of targets; targets in both sets keep their counts. */
void
wc_dispatcher_set_targets (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchTarget *targets, size_t count);

/**
 * wc_dispatcher_submit() - queue a request, or reject it immediately.
 *
 * wc_dispatcher_next() returns no decision for a request rejected here. A queued request that is evicted in favour of
 * one with a higher worth is returned by wc_dispatcher_next() with WC_REFUSAL_LOW_WORTH.
 */
WcRefusal wc_dispatcher_submit (WcDispatcher *dispatcher, uint64_t now_us, const WcDispatchRequest *request);

/** wc_dispatcher_next() - get the next decision; call until it returns false, after each change and each tick. */
bool wc_dispatcher_next (WcDispatcher *dispatcher, uint64_t now_us, WcDispatchDecision *decision);

/** wc_dispatcher_end_attempt() - an attempt dispatched to @target has ended; @run_us is 0 when unknown. */
void wc_dispatcher_end_attempt (WcDispatcher *dispatcher, uint64_t now_us, uint32_t target, WcOutcome outcome,
                                uint64_t run_us);

/**
 * wc_dispatcher_assign_flow() - choose the preferred target of a new flow so that flows are spread evenly.
 *
 * The flow is counted for the chosen target. Return: target id, 0 when no target is in service.
 */
uint32_t wc_dispatcher_assign_flow (WcDispatcher *dispatcher, uint64_t now_us);

/**
 * wc_dispatcher_set_reported_load() - store the load that a target reported in the header of an answer.
 *
 * Policies may use it to rank targets; it never lets a target get more requests than it has free slots.
 */
void wc_dispatcher_set_reported_load (WcDispatcher *dispatcher, uint64_t now_us, uint32_t target, uint32_t running);

/**
 * wc_dispatcher_get_expected_wait_us() - expected queueing time of a request with @worth that is submitted now.
 *
 * Computed from the queue, the open slots and the measured run times; 0 while no run time has been measured.
 */
uint64_t wc_dispatcher_get_expected_wait_us (const WcDispatcher *dispatcher, uint64_t now_us, uint32_t worth);

/**
 * struct WcDispatchLoad - load of a dispatcher.
 * @open_slots: slots that may be used now, after weight, ramp-up and backoff, including those in use.
 * @free_slots: open slots that are not in use.
 * @queued: requests in the queue.
 * @run_us: moving average of run times, 0 when unknown.
 */
typedef struct
{
  uint32_t open_slots;
  uint32_t free_slots;
  uint32_t queued;
  uint64_t run_us;
} WcDispatchLoad;

void wc_dispatcher_get_load (const WcDispatcher *dispatcher, uint64_t now_us, WcDispatchLoad *load);

/** wc_dispatcher_remove() - remove a cancelled request from the queue. Return: false when it is not queued. */
bool wc_dispatcher_remove (WcDispatcher *dispatcher, uint64_t request);

size_t   wc_dispatcher_get_queue_length (const WcDispatcher *dispatcher);
uint32_t wc_dispatcher_get_outstanding (const WcDispatcher *dispatcher, uint32_t target);

/**
 * wc_dispatcher_get_wake_us() - time at which wc_dispatcher_next() may have a decision although nothing else changed.
 *
 * Return: UINT64_MAX for never.
 */
uint64_t wc_dispatcher_get_wake_us (const WcDispatcher *dispatcher);

#endif
