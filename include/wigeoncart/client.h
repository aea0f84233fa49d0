#ifndef WIGEONCART_CLIENT_H
#define WIGEONCART_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/status.h>

enum
{
  WC_CLIENT_SEED_WORDS = 4
};

/**
 * enum WcClientResult - how a call ended.
 * @WC_CLIENT_DONE: it ran; the HTTP status and the complete answer were received.
 * @WC_CLIENT_DONE_INCOMPLETE: it ran, but the instance that stored its answer was lost, or the answer exceeds the
 * limit.
 * @WC_CLIENT_NOT_RUN: an order that did not run and will not run.
 * @WC_CLIENT_UNKNOWN: an order that may have run, or may still run.
 * @WC_CLIENT_BUSY: an idempotent request was refused repeatedly.
 * @WC_CLIENT_INVALID: malformed, or not allowed; an order was not sent.
 * @WC_CLIENT_TIMED_OUT: an idempotent request without an answer at its deadline.
 */
typedef enum
{
  WC_CLIENT_DONE = 0,
  WC_CLIENT_DONE_INCOMPLETE,
  WC_CLIENT_NOT_RUN,
  WC_CLIENT_UNKNOWN,
  WC_CLIENT_BUSY,
  WC_CLIENT_INVALID,
  WC_CLIENT_TIMED_OUT,
  WC_CLIENT_RESULT_COUNT
} WcClientResult;

extern const char *const WC_CLIENT_RESULT_STRINGS[WC_CLIENT_RESULT_COUNT];

/**
 * struct WcClientConfig - retransmission intervals, timeouts and limits.
 * @control_retransmit_us: initial retransmission interval of OPEN and TICKET.
 * @retransmit_us: initial retransmission interval of REQUEST and ORDER; longer than the usual run time, because a
 * retransmission that reaches another owner runs the request twice.
 * @fetch_retransmit_us: initial interval between requests (FETCH) for missing parts.
 * @retransmit_max_us: maximum interval between two transmissions; the intervals double up to it and have a jitter of
 * 25%.
 * @holder_timeout_us: time without a part of an answer after which the instance that stores it is considered lost.
 * @poll_wait_us: maximum time that one POLL waits for events.
 * @poll_retransmit_us: retransmission interval of POLL, for when it was lost or its owner stopped.
 * @answer_max_bytes: maximum length of an answer that is reassembled.
 * @reroute_budget: capacity of the budget of attempts that may be sent to another owner than that of the flow.
 * @reroute_percent: percentage of an attempt by which each answered request refills that budget. An overloaded owner
 * answers late but still runs the request; without a limit, each request would then run on several owners and prolong
 * the overload.
 * @busy_limit: refusals after which an idempotent request, or an order without a ticket, fails; also the number of
 * INVALID results after which any other call ends.
 */
typedef struct
{
  uint64_t control_retransmit_us;
  uint64_t retransmit_us;
  uint64_t fetch_retransmit_us;
  uint64_t retransmit_max_us;
  uint64_t holder_timeout_us;
  uint64_t poll_wait_us;
  uint64_t poll_retransmit_us;
  uint32_t answer_max_bytes;
  uint32_t reroute_budget;
  uint32_t reroute_percent;
  uint32_t busy_limit;
} WcClientConfig;

/** wc_client_config_init() - set the default intervals, timeouts and limits. */
void wc_client_config_init (WcClientConfig *config);

/**
 * struct WcClientAnswer - result of a call.
 * @request_id: identifier that the target received in the last run.
 * @data: answer, valid during the call only; NULL unless DONE.
 * @reason: short human-readable text; never NULL.
 */
typedef struct
{
  WcClientResult result;
  uint64_t       request_id;
  uint32_t       http_status;
  const uint8_t *data;
  size_t         size_bytes;
  const char    *reason;
} WcClientAnswer;

/**
 * struct WcClientOps - callbacks of a client.
 * @send: send a datagram to the fleet; it may be lost.
 * @opened: a flow was opened for the first time; may be NULL.
 * @finished: a request or an order ended, or a stream was refused permanently; called once, never from within the
 * function that started it.
 * @events: a POLL ended with the events after the stream's cursor; @size_bytes is 0 when none arrived within
 * @poll_wait_us. The stream continues from @cursor.
 *
 * All of them may start and cancel calls and close flows.
 */
typedef struct
{
  void (*send) (void *user_data, const uint8_t *data, size_t size_bytes);
  void (*opened) (void *user_data, uint64_t flow);
  void (*finished) (void *user_data, uint64_t call, const WcClientAnswer *answer);
  void (*events) (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes);
} WcClientOps;

/**
 * struct WcClientRequest - a request or an order.
 * @deadline_us: on the clock of the caller's now_us.
 * @answer_max_bytes: limit of this answer, or 0 for the one of the configuration.
 */
typedef struct
{
  const char    *method;
  const char    *path;
  const uint8_t *body;
  size_t         body_bytes;
  uint64_t       deadline_us;
  uint32_t       answer_max_bytes;
} WcClientRequest;

/** struct WcClient - flows and calls of one caller, without sockets and clock. Not thread-safe; no call blocks. */
typedef struct WcClient WcClient;

/**
 * wc_client_new() - create a client.
 * @seed: seed of its random numbers. Two callers with the same seed generate the same request identifiers, so a program
 * other than a test takes it from a cryptographically secure source.
 */
WcClient *wc_client_new (const WcClientConfig *config, const uint32_t seed[WC_CLIENT_SEED_WORDS],
                         const WcClientOps *ops, void *user_data);

/** wc_client_delete() - free all flows and calls; nothing is sent or reported. */
void wc_client_delete (WcClient *client);

/** wc_client_receive() - process a datagram from the fleet; a malformed one or one for an older request is ignored. */
void wc_client_receive (WcClient *client, uint64_t now_us, const uint8_t *data, size_t size_bytes);

/** wc_client_get_due_us() - time of the next call of wc_client_tick() that is needed; UINT64_MAX when there is none. */
uint64_t wc_client_get_due_us (const WcClient *client);

/** wc_client_tick() - send due retransmissions and end expired calls. */
void wc_client_tick (WcClient *client, uint64_t now_us);

/**
 * wc_client_open() - open a flow; calls may be started immediately and wait until it is open.
 * @customer: name of the customer.
 *
 * Return: handle of the flow, never 0.
 */
uint64_t wc_client_open (WcClient *client, uint64_t now_us, const char *service, const char *customer);

/** wc_client_close() - remove a flow; its calls are cancelled as by wc_client_cancel(). */
void wc_client_close (WcClient *client, uint64_t now_us, uint64_t flow);

/**
 * wc_client_request() - run an idempotent request; it may run more than once.
 *
 * Return: handle of the call, or 0 with @error set: NOT_FOUND for an unknown flow, TOO_LARGE when it does not fit into
 * one datagram.
 */
uint64_t
wc_client_request (WcClient *client, uint64_t now_us, uint64_t flow, const WcClientRequest *request, WcError *error);

/** wc_client_order() - run a non-idempotent request at most once. Return: as wc_client_request(). */
uint64_t
wc_client_order (WcClient *client, uint64_t now_us, uint64_t flow, const WcClientRequest *request, WcError *error);

/**
 * wc_client_poll() - receive the events of the flow's service after @cursor until the call is cancelled.
 *
 * Return: as wc_client_request().
 */
uint64_t wc_client_poll (WcClient *client, uint64_t now_us, uint64_t flow, uint64_t cursor, WcError *error);

/**
 * wc_client_cancel() - cancel a call; no callback follows for it.
 *
 * Return: NOT_RUN for an order that was never sent, UNKNOWN for one that was, TIMED_OUT for any other call.
 */
WcClientResult wc_client_cancel (WcClient *client, uint64_t now_us, uint64_t call);

/** wc_client_get_request_id() - identifier of the call's current run; 0 for an unknown call. */
uint64_t wc_client_get_request_id (const WcClient *client, uint64_t call);

/** wc_client_get_call_count() - calls that have not ended. */
size_t wc_client_get_call_count (const WcClient *client);

#endif
