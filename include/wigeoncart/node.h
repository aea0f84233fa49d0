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
 * struct WcAttempt - a request to send to a target.
 * @id: handle of the attempt for wc_node_attempt_*() and WcNodeOps.cancel.
 * @remaining_ms: time left, carried to the target as its deadline.
 * @idempotent: false forbids any repetition below the node.
 * @method, @path, @body: valid during the call only.
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

/** enum WcAttemptEnd - how an attempt ended without an answer. */
typedef enum
{
  /* Nothing was written to the target. */
  WC_ATTEMPT_NOT_SENT = 0,
  /* The target itself refused this attempt. */
  WC_ATTEMPT_REFUSED,
  /* At least one byte may have been written. */
  WC_ATTEMPT_BROKEN,
  WC_ATTEMPT_END_COUNT
} WcAttemptEnd;

extern const char *const WC_ATTEMPT_END_STRINGS[WC_ATTEMPT_END_COUNT];

/**
 * struct WcNodeOps - actions of a node, carried out by what surrounds it.
 * @send: send a datagram to a caller; it may be lost.
 * @relay: send a relay datagram to the relay port of a worker; it may be lost.
 * @dispatch: start an attempt; its end is reported later, never from inside this call.
 * @cancel: stop an attempt; no more is reported of it.
 * @record: an event for the time line; may be NULL.
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
 * struct WcNodeConfig - fixed facts and limits of one worker.
 * @incarnation: random, drawn at the start of the process, never 0.
 * @ticket_lifetime_us: life of a ticket; bounds how long a drain waits.
 * @answer_lifetime_us: how long a held answer is kept.
 * @token_life_s: life of a token in wall-clock seconds.
 * @seed: seeds the node's random numbers; @nonce_prefix comes from a secure source.
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

/** struct WcNode - one worker's core. Not thread-safe; no call blocks. */
typedef struct WcNode WcNode;

/** wc_node_config_init() - default limits. */
void wc_node_config_init (WcNodeConfig *config);

WcNode *wc_node_new (const WcNodeConfig *config, const WcNodeOps *ops, void *user_data, WcCounters *counters);
void    wc_node_delete (WcNode *node);

/** wc_node_set_view() - use a new snapshot; the node takes a reference. */
void wc_node_set_view (WcNode *node, uint64_t now_us, WcView *view);

/** wc_node_set_wall_clock() - wall-clock time, for the expiry of tokens only. */
void wc_node_set_wall_clock (WcNode *node, uint64_t wall_s);

/** wc_node_receive() - a datagram from a caller. */
void wc_node_receive (WcNode *node, uint64_t now_us, const WcAddress *caller, const uint8_t *data, size_t size_bytes);

/** wc_node_receive_relay() - a datagram on the worker's relay port. */
void wc_node_receive_relay (WcNode *node, uint64_t now_us, const uint8_t *data, size_t size_bytes);

/** wc_node_attempt_sending() - the first byte of an attempt is about to be written. Return: false to abandon it. */
bool wc_node_attempt_sending (WcNode *node, uint64_t now_us, uint64_t attempt_id);

/** wc_node_attempt_data() - bytes of the answer's body. Return: false when the answer is too large; the attempt ends.
 */
bool wc_node_attempt_data (WcNode *node, uint64_t now_us, uint64_t attempt_id, const uint8_t *data, size_t size_bytes);

/**
 * wc_node_attempt_done() - the answer is whole.
 * @load_running: requests that the target says it runs, or UINT32_MAX.
 * @cursor: cursor of an event feed's answer, or 0.
 */
void wc_node_attempt_done (WcNode *node, uint64_t now_us, uint64_t attempt_id, uint32_t http_status,
                           uint32_t load_running, uint64_t cursor);

/** wc_node_attempt_ended() - the attempt ended without an answer. */
void wc_node_attempt_ended (WcNode *node, uint64_t now_us, uint64_t attempt_id, WcAttemptEnd end);

/** wc_node_tick() - deadlines and expiries; call at least every 10 ms. */
void wc_node_tick (WcNode *node, uint64_t now_us);

/** wc_node_is_idle() - a draining node has nothing left that a stop would cut off. */
bool wc_node_is_idle (const WcNode *node, uint64_t now_us);

/** struct WcNodeStats - sizes for the operators' port. */
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
