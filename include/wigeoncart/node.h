#ifndef WIGEONCART_NODE_H
#define WIGEONCART_NODE_H

#include <wigeoncart/address.h>
#include <wigeoncart/counters.h>
#include <wigeoncart/event.h>
#include <wigeoncart/policy.h>
#include <wigeoncart/view.h>

enum
{
  WC_DATAGRAM_MAX_BYTES = 1400
};

/**
 * struct WcAttempt - one attempt to run a request at a target.
 * @id: handle of the attempt for wc_node_attempt_*() and WcNodeOps.cancel.
 * @remaining_ms: time until the deadline, sent to the target.
 * @idempotent: if false, the I/O layer must not retry the attempt.
 * @method, @path, @body: valid only during the call of WcNodeOps.dispatch.
 */
typedef struct
{
  uint64_t        id;
  const WcTarget *target;
  const char     *service_name;
  const char     *method;
  const char     *path;
  const uint8_t  *body;
  size_t          body_bytes;
  uint64_t        request_id;
  uint32_t        remaining_ms;
  bool            idempotent;
} WcAttempt;

/** enum WcAttemptEnd - why an attempt ended without an answer. */
typedef enum
{
  /* No byte was written to the target. */
  WC_ATTEMPT_NOT_SENT = 0,
  /* The target refused the attempt. */
  WC_ATTEMPT_REFUSED,
  /* The attempt failed after at least one byte may have been written. */
  WC_ATTEMPT_BROKEN,
  WC_ATTEMPT_END_COUNT
} WcAttemptEnd;

extern const char *const WC_ATTEMPT_END_STRINGS[WC_ATTEMPT_END_COUNT];

/**
 * struct WcNodeOps - I/O callbacks of a node.
 * @send: send a datagram to a caller; delivery is not guaranteed.
 * @relay: send a datagram to the relay port of a worker; delivery is not guaranteed.
 * @dispatch: start an attempt; its result is reported by wc_node_attempt_done() or wc_node_attempt_ended(), never from
 * within this callback.
 * @cancel: stop an attempt; no wc_node_attempt_*() call follows for it.
 * @record: record an event for the timeline; may be NULL.
 */
typedef struct
{
  void (*send) (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes);
  void (*relay) (void *user_data, const WcAddress *worker, const uint8_t *data, size_t size_bytes);
  void (*dispatch) (void *user_data, const WcAttempt *attempt);
  void (*cancel) (void *user_data, uint64_t attempt_id);
  void (*record) (void *user_data, const WcEvent *event);
} WcNodeOps;

/**
 * struct WcNodeConfig - identity and limits of one worker.
 * @incarnation: random number generated when the process starts, never 0.
 * @ticket_lifetime_us: lifetime of a ticket; a drain waits at most this long for the orders (requests that must
 * run at most once) of issued tickets.
 * @answer_lifetime_us: how long a complete answer is stored.
 * @token_life_s: lifetime of a token in wall-clock seconds.
 * @requests_max: maximum number of requests of the worker.
 * @queue_max_requests: maximum number of queued requests per shard.
 * @answers_max, @answers_max_bytes: maximum number and total size of the stored answers of the worker.
 * @stream_max_waiters: maximum number of long polls of the worker.
 * @seed: seed of the node's pseudo-random numbers.
 * @nonce_prefix: prefix of the nonces of sealed tokens and tickets, from a cryptographically secure source.
 */
typedef struct
{
  uint64_t        instance;
  uint64_t        incarnation;
  uint32_t        domain;
  uint16_t        worker;
  uint16_t        worker_count;
  uint64_t        ticket_lifetime_us;
  uint64_t        answer_lifetime_us;
  uint64_t        token_life_s;
  uint32_t        ledger_max_entries;
  uint32_t        requests_max;
  uint32_t        queue_max_requests;
  uint32_t        answers_max;
  size_t          answers_max_bytes;
  uint32_t        stream_max_waiters;
  uint32_t        retry_budget_percent;
  const WcPolicy *policy;
  uint32_t        seed;
  uint64_t        nonce_prefix;
} WcNodeConfig;

/** struct WcNode - request handling of one worker thread of an instance. Not thread-safe; no call blocks. */
typedef struct WcNode WcNode;

/** wc_node_config_init() - set default limits, the default policy and one worker; clear all other fields. */
void wc_node_config_init (WcNodeConfig *config);

/** wc_node_new() - create a node. @config is copied; @config->policy, @ops and @counters must outlive the node. */
WcNode *wc_node_new (const WcNodeConfig *config, const WcNodeOps *ops, void *user_data, WcCounters *counters);
void    wc_node_delete (WcNode *node);

/** wc_node_set_view() - use a new view of the configuration and members; the node takes a reference. */
void wc_node_set_view (WcNode *node, uint64_t now_us, WcView *view);

/** wc_node_set_wall_clock() - set the wall-clock time, which is used only for the expiry of tokens. */
void wc_node_set_wall_clock (WcNode *node, uint64_t wall_s);

/** wc_node_receive() - handle a datagram from a caller. */
void wc_node_receive (WcNode *node, uint64_t now_us, const WcAddress *caller, const uint8_t *data, size_t size_bytes);

/** wc_node_receive_relay() - handle a datagram that arrived on the worker's relay port. */
void wc_node_receive_relay (WcNode *node, uint64_t now_us, const uint8_t *data, size_t size_bytes);

/**
 * wc_node_attempt_sending() - check whether an attempt may still be sent, and if so record it as sent.
 *
 * To be called immediately before the first byte of the attempt is written.
 *
 * Return: false when the attempt must not be sent; it is then to be ended with WC_ATTEMPT_NOT_SENT.
 */
bool wc_node_attempt_sending (WcNode *node, uint64_t now_us, uint64_t attempt_id);

/**
 * wc_node_attempt_data() - append bytes to the body of the answer.
 *
 * If the answer exceeds a limit, the attempt of an order continues without the body, because the order is running and
 * its status must still be reported. Any other attempt is ended, and a request of a caller gets the result BUSY.
 *
 * Return: false when the attempt has ended.
 */
bool wc_node_attempt_data (WcNode *node, uint64_t now_us, uint64_t attempt_id, const uint8_t *data, size_t size_bytes);

/**
 * wc_node_attempt_done() - the complete answer has been received.
 * @load_running: number of running requests reported by the target, or UINT32_MAX when it reported none.
 * @cursor: cursor in the answer of an event feed, or 0.
 */
void wc_node_attempt_done (WcNode *node, uint64_t now_us, uint64_t attempt_id, uint32_t http_status,
                           uint32_t load_running, uint64_t cursor);

/** wc_node_attempt_ended() - the attempt ended without an answer. */
void wc_node_attempt_ended (WcNode *node, uint64_t now_us, uint64_t attempt_id, WcAttemptEnd end);

/** wc_node_tick() - handle deadlines and expiries; call at least every 10 ms. */
void wc_node_tick (WcNode *node, uint64_t now_us);

/**
 * wc_node_is_idle() - whether a draining process may exit without aborting a request or losing an answer.
 *
 * The node is idle when it has no requests, long polls, stored answers or unexpired tickets left.
 */
bool wc_node_is_idle (const WcNode *node, uint64_t now_us);

/** struct WcNodeStats - statistics for the operators' port. */
typedef struct
{
  uint32_t requests;
  uint32_t queued;
  uint32_t ledger_entries;
  uint32_t answers;
  uint64_t answer_bytes;
  uint32_t waiters;
} WcNodeStats;

void wc_node_get_stats (const WcNode *node, WcNodeStats *stats);

#endif
