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
 * @WC_CLIENT_DONE: it ran; HTTP status and the whole answer are there.
 * @WC_CLIENT_DONE_INCOMPLETE: it ran, but its answer was lost with its holder, or exceeds the limit.
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
 * struct WcClientConfig - waiting times and limits.
 * @control_retransmit_us: first wait before OPEN or TICKET is resent.
 * @retransmit_us: first wait before REQUEST or ORDER is resent; longer than the usual run time, since a resend that
 * reaches another owner runs the request twice.
 * @fetch_retransmit_us: first wait before missing parts are asked for again.
 * @retransmit_max_us: longest wait between two sends; waits double up to it and have jitter of 25%.
 * @holder_timeout_us: silence after which the holder of an answer counts as lost.
 * @poll_wait_us: how long one POLL waits for events.
 * @poll_retransmit_us: wait before a POLL is resent, in case it was lost or its owner stopped.
 * @answer_max_bytes: longest answer that is reassembled.
 * @reroute_budget: attempts that may go to another owner than the flow's, saved up at most.
 * @reroute_percent: share of such attempts per answered request that the budget regains. An overloaded owner answers
 * late but still runs the request; without a limit, each request would then run on several owners and keep the
 * overload up.
 * @busy_limit: refusals after which an idempotent request, or an order without a ticket, gives up.
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

/** wc_client_config_init() - default waiting times and limits. */
void wc_client_config_init (WcClientConfig *config);

/**
 * struct WcClientAnswer - end of a call.
 * @request_id: identifier that the target saw, of the last run.
 * @data: answer, valid during the call only; NULL unless DONE.
 * @reason: short text for a person; never NULL.
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
 * struct WcClientOps - what a client calls.
 * @send: send a datagram to the fleet; it may be lost.
 * @opened: a flow was opened for the first time; may be NULL.
 * @finished: a request or an order ended, or a stream was refused for good; reported once, never from inside the call
 * that started it.
 * @events: a POLL ended with the events after the stream's cursor; @size_bytes is 0 when there were none in the waiting
 * time. The stream goes on from @cursor.
 *
 * All may start and cancel calls and close flows.
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
 * @seed: of its random numbers; two callers with the same seed draw the same request identifiers, so a program outside
 * of tests takes it from a secure source.
 */
WcClient *wc_client_new (const WcClientConfig *config, const uint32_t seed[WC_CLIENT_SEED_WORDS],
                         const WcClientOps *ops, void *user_data);

/** wc_client_delete() - free all flows and calls; nothing is sent or reported. */
void wc_client_delete (WcClient *client);

/** wc_client_receive() - a datagram from the fleet; a malformed one or one for an older request is ignored. */
void wc_client_receive (WcClient *client, uint64_t now_us, const uint8_t *data, size_t size_bytes);

/** wc_client_get_due_us() - when wc_client_tick() has something to do; UINT64_MAX for never. */
uint64_t wc_client_get_due_us (const WcClient *client);

/** wc_client_tick() - resend and end what is due. */
void wc_client_tick (WcClient *client, uint64_t now_us);

/**
 * wc_client_open() - open a flow; calls may be started at once and wait for it.
 * @customer: name of the customer.
 *
 * Return: handle of the flow, never 0.
 */
uint64_t wc_client_open (WcClient *client, uint64_t now_us, const char *service, const char *customer);

/** wc_client_close() - forget a flow; its calls are cancelled as by wc_client_cancel(). */
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
 * wc_client_cancel() - stop a call; nothing more is reported of it.
 *
 * Return: what is known of it: NOT_RUN for an order that was never sent, UNKNOWN for one that was, else TIMED_OUT.
 */
WcClientResult wc_client_cancel (WcClient *client, uint64_t now_us, uint64_t call);

/** wc_client_get_request_id() - identifier of the call's current run; 0 for an unknown call. */
uint64_t wc_client_get_request_id (const WcClient *client, uint64_t call);

/** wc_client_get_call_count() - calls that have not ended. */
size_t wc_client_get_call_count (const WcClient *client);

#endif
