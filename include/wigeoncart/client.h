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
 * enum WcClientResult - outcome of a call.
 * @WC_CLIENT_DONE: the request or order ran; its HTTP status and complete answer are available.
 * @WC_CLIENT_DONE_INCOMPLETE: the call ran, but its answer exceeds the limit; or an order ran, but its answer was too
 * large to be stored, was released, was lost with the instance that stored it, or was incomplete at the deadline.
 * @WC_CLIENT_NOT_RUN: an order that has not run and will not run.
 * @WC_CLIENT_UNKNOWN: an order that may have run, or may still run.
 * @WC_CLIENT_BUSY: an idempotent request that the fleet rejected repeatedly.
 * @WC_CLIENT_INVALID: the call is malformed or not allowed; an order with this result was not sent.
 * @WC_CLIENT_TIMED_OUT: an idempotent request that had no complete answer by its deadline; wc_client_cancel() also
 * returns it.
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
 * struct WcClientConfig - timeouts and limits of a client.
 * @control_retransmit_us: initial retransmission timeout of OPEN and TICKET.
 * @retransmit_us: initial retransmission timeout of REQUEST and ORDER. It is longer than the usual run time, since a
 * retransmission that reaches another owner runs the request twice.
 * @fetch_retransmit_us: initial timeout before missing parts of an answer are requested again.
 * @retransmit_max_us: maximum timeout before a retransmission. Timeouts double up to it and have a jitter of 25%.
 * @holder_timeout_us: time without a new part of an answer after which its holder, the instance that stores the answer,
 * is considered lost and the call runs again. An order does not run again: it requests missing parts until its
 * deadline. Also the remaining time that each FETCH carries.
 * @poll_wait_us: time that one POLL waits for events.
 * @poll_retransmit_us: retransmission timeout of a POLL, in case it was lost or its owner stopped.
 * @answer_max_bytes: maximum size of an answer that is reassembled.
 * @reroute_budget: initial and maximum number of attempts of requests that may go to owners other than the flow's.
 * @reroute_percent: percentage of one attempt that each answered request or order adds to what is left of the budget.
 * An overloaded owner answers late but still runs the request; without this limit, each request would then run on
 * several owners and prolong the overload.
 * @busy_limit: number of rejections after which an idempotent request, or an order without a ticket, fails; also number
 * of INVALID results after which an order or a stream ends.
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

/** wc_client_config_init() - set the default timeouts and limits. */
void wc_client_config_init (WcClientConfig *config);

/**
 * struct WcClientAnswer - outcome of a call, with its answer.
 * @request_id: request identifier of the last run, as sent to the target.
 * @data: the answer, valid during the callback only; NULL unless @result is DONE.
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
 * @send: send a datagram to the fleet; the datagram may be lost.
 * @opened: a flow was opened for the first time; may be NULL.
 * @finished: a request or an order ended, or a stream was rejected permanently or its answer exceeds the limit.
 * Reported at most once for each call, never from within the function that started the call.
 * @events: a POLL ended with the events after the stream's cursor; @size_bytes is 0 if there were none during the wait.
 * The stream continues after @cursor.
 *
 * Each callback may start and cancel calls and close flows.
 */
typedef struct
{
  void (*send) (void *user_data, const uint8_t *data, size_t size_bytes);
  void (*opened) (void *user_data, uint64_t flow);
  void (*finished) (void *user_data, uint64_t call, const WcClientAnswer *answer);
  void (*events) (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes);
} WcClientOps;

/**
 * struct WcClientRequest - parameters of a request or an order.
 * @deadline_us: deadline, on the same clock as the now_us arguments.
 * @answer_max_bytes: maximum size of the answer, or 0 for WcClientConfig.answer_max_bytes.
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

/**
 * struct WcClient - flows and calls of one caller.
 *
 * The client has no socket and reads no clock: the program passes datagrams and the time. Not thread-safe; no function
 * blocks.
 */
typedef struct WcClient WcClient;

/**
 * wc_client_new() - create a client.
 * @seed: seed of the random numbers. Two callers with the same seed generate the same request identifiers, so programs
 * other than tests take it from a cryptographically secure source.
 */
WcClient *wc_client_new (const WcClientConfig *config, const uint32_t seed[WC_CLIENT_SEED_WORDS],
                         const WcClientOps *ops, void *user_data);

/** wc_client_delete() - delete the client with all flows and calls; sends and reports nothing. */
void wc_client_delete (WcClient *client);

/** wc_client_receive() - process a datagram from the fleet; ignores malformed ones and ones for earlier requests. */
void wc_client_receive (WcClient *client, uint64_t now_us, const uint8_t *data, size_t size_bytes);

/** wc_client_get_due_us() - time at which wc_client_tick() must be called next; UINT64_MAX if no timer is armed. */
uint64_t wc_client_get_due_us (const WcClient *client);

/** wc_client_tick() - run the expired timers: retransmit packets and end calls at their deadlines. */
void wc_client_tick (WcClient *client, uint64_t now_us);

/**
 * wc_client_open() - open a flow. Calls may be started at once; they wait until the flow is open.
 * @customer: name of the customer.
 *
 * Return: handle of the flow, never 0.
 */
uint64_t wc_client_open (WcClient *client, uint64_t now_us, const char *service, const char *customer);

/** wc_client_close() - delete a flow; its calls are cancelled as by wc_client_cancel(). */
void wc_client_close (WcClient *client, uint64_t now_us, uint64_t flow);

/**
 * wc_client_request() - run an idempotent request; it may run more than once.
 *
 * Return: handle of the call, or 0 with @error set: NOT_FOUND for an unknown flow, TOO_LARGE if the request does not
 * fit into one datagram.
 */
uint64_t
wc_client_request (WcClient *client, uint64_t now_us, uint64_t flow, const WcClientRequest *request, WcError *error);

/** wc_client_order() - run a non-idempotent request at most once. Return: as wc_client_request(). */
uint64_t
wc_client_order (WcClient *client, uint64_t now_us, uint64_t flow, const WcClientRequest *request, WcError *error);

/**
 * wc_client_poll() - start a stream: receive the events of the flow's service after @cursor until the call is cancelled
 * or WcClientOps.finished reports its end.
 *
 * Return: as wc_client_request().
 */
uint64_t wc_client_poll (WcClient *client, uint64_t now_us, uint64_t flow, uint64_t cursor, WcError *error);

/**
 * wc_client_cancel() - stop a call; no callback reports it afterwards.
 *
 * Return: NOT_RUN for an order that was never sent, UNKNOWN for an order that was sent, TIMED_OUT for other and for
 * unknown calls.
 */
WcClientResult wc_client_cancel (WcClient *client, uint64_t now_us, uint64_t call);

/** wc_client_get_request_id() - request identifier of the call's current run; 0 for an unknown call. */
uint64_t wc_client_get_request_id (const WcClient *client, uint64_t call);

/** wc_client_get_call_count() - number of calls that have not ended. */
size_t wc_client_get_call_count (const WcClient *client);

#endif
