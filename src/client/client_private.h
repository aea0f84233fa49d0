#ifndef WC_CLIENT_PRIVATE_H
#define WC_CLIENT_PRIVATE_H

#include <glib.h>

#include <wigeoncart/client.h>
#include <wigeoncart/node.h>
#include <wigeoncart/ticket.h>
#include <wigeoncart/token.h>

#include "client/part_set.h"
#include "wigeoncart.pb-c.h"

enum
{
  /* Number of parts of a long answer that its holder transmits without a FETCH. */
  WC_CLIENT_INITIAL_PARTS = 16,
  /* Maximum of WcClientCall.window, and so of the parts that one FETCH requests. */
  WC_CLIENT_FETCH_MAX_PARTS = 64,
  /* Minimum of WcClientCall.window. */
  WC_CLIENT_FETCH_MIN_PARTS = 4,
  /* Maximum number of FETCH datagrams in one burst; each requests one contiguous range of missing parts. */
  WC_CLIENT_FETCH_MAX_PACKETS = 16,
  /* First attempt number at which an instance routes a request to its local owner instead of the token's owner. */
  WC_CLIENT_ATTEMPT_LOCAL_OWNER = 2
};

/**
 * struct WcClientTimer - timer of a flow or a call.
 * @serial: orders timers with the same expiry.
 * @armed: whether the timer is in WcClient.timers.
 * @is_flow: whether the timer belongs to a flow; otherwise it belongs to a call.
 */
typedef struct
{
  uint64_t due_us;
  uint64_t serial;
  bool     armed;
  bool     is_flow;
} WcClientTimer;

/**
 * struct WcClientFlow - a flow of a customer to a service.
 * @timer: first member, so that a pointer to the timer can be cast to its flow.
 * @open_request_id: request identifier of the OPEN in progress, or 0.
 * @open_attempts: number of OPENs sent since the flow last needed a token.
 * @generation: incremented each time the flow needs a new token.
 * @calls: set of the flow's calls.
 */
typedef struct
{
  WcClientTimer timer;
  uint64_t      id;
  uint32_t      service;
  uint32_t      customer;
  bool          is_open;
  bool          was_opened;
  uint64_t      open_request_id;
  uint32_t      open_attempts;
  uint32_t      generation;
  uint8_t       token[WC_TOKEN_MAX_BYTES];
  size_t        token_bytes;
  GHashTable   *calls;
} WcClientFlow;

typedef enum
{
  WC_CALL_REQUEST = 0,
  WC_CALL_ORDER,
  WC_CALL_POLL,
  WC_CALL_KIND_COUNT
} WcCallKind;

/** enum WcCallState - state of a call. */
typedef enum
{
  WC_CALL_WAITING_FOR_FLOW = 0,
  WC_CALL_WAITING_FOR_TICKET,
  WC_CALL_WAITING_FOR_RESULT,
  WC_CALL_WAITING_FOR_PARTS,
  WC_CALL_STATE_COUNT
} WcCallState;

/**
 * struct WcClientCall - a request, an order or a stream.
 * @timer: first member, so that a pointer to the timer can be cast to its call.
 * @attempt: attempt number of the next TICKET, REQUEST or POLL.
 * @send_count: number of transmissions in the current state, for the backoff.
 * @generation: generation of the flow at the last transmission.
 * @busy_count: number of rejections; @invalid_count: number of INVALID results.
 * @rejected: set by a rejection until the next transmission; duplicates of the rejection are not counted.
 * @order_sent: whether an ORDER may have reached the fleet. From then on, only a result from the fleet can end the call
 * with NOT_RUN.
 * @poll_deadline_us: end of the current POLL, from which the timer starts a new POLL instead of retransmitting; also
 * set to the time of an early answer without events, to delay the next POLL until the timer expires.
 * @answer_ref: reference to the answer in @parts at the instance that stores it.
 * @answer_cursor: cursor of the stream after the events in the answer.
 * @window: maximum number of parts that are requested at once, in one or more FETCHes.
 * @window_end: first part that has not been requested yet; the initial parts count as requested.
 * @last_part_us: arrival of the last new part.
 */
typedef struct
{
  WcClientTimer timer;
  uint64_t      id;
  WcClientFlow *flow;
  WcCallKind    kind;
  WcCallState   state;
  uint64_t      request_id;
  uint32_t      attempt;
  uint32_t      send_count;
  uint32_t      generation;
  uint32_t      busy_count;
  uint32_t      invalid_count;
  bool          rejected;
  uint64_t      deadline_us;
  char         *method;
  char         *path;
  uint8_t      *body;
  size_t        body_bytes;
  uint32_t      answer_max_bytes;
  uint8_t       ticket[WC_TICKET_MAX_BYTES];
  size_t        ticket_bytes;
  bool          order_sent;
  uint64_t      cursor;
  uint64_t      poll_deadline_us;
  Wc__AnswerRef answer_ref;
  WcPartSet    *parts;
  uint32_t      http_status;
  uint64_t      answer_cursor;
  uint32_t      window;
  uint32_t      window_end;
  uint64_t      last_part_us;
} WcClientCall;

/**
 * struct WcClient - a client.
 * @reroute_credit_hundredths: what is left of WcClientConfig.reroute_budget, in hundredths of an attempt.
 * @last_handle: last handle that was given to a flow or a call.
 * @timers: armed timers by expiry.
 * @flows: flows by handle.
 * @calls: calls by handle.
 * @requests: calls by request identifier.
 * @openings: flows by the request identifier of the OPEN in progress.
 */
struct WcClient
{
  WcClientConfig config;
  WcClientOps    ops;
  void          *user_data;
  GRand         *random;
  uint64_t       reroute_credit_hundredths;
  uint64_t       last_handle;
  uint64_t       last_serial;
  GTree         *timers;
  GHashTable    *flows;
  GHashTable    *calls;
  GHashTable    *requests;
  GHashTable    *openings;
};

/* client.c */

/** wc_client_generate_id() - generate a random request identifier that is not 0 and not in use. */
uint64_t wc_client_generate_id (WcClient *client);
void     wc_client_arm (WcClient *client, WcClientTimer *timer, uint64_t due_us);
void     wc_client_disarm (WcClient *client, WcClientTimer *timer);

/** wc_client_backoff() - retransmission timeout after @send_count transmissions; @first_us is the initial timeout. */
uint64_t wc_client_backoff (WcClient *client, uint64_t first_us, uint32_t send_count);
void     wc_client_send_packet (WcClient *client, const Wc__CallerPacket *packet);

/* client_flow.c */
WcClientFlow *wc_client_flow_new (WcClient *client, const char *service, const char *customer);
void          wc_client_flow_delete (WcClient *client, WcClientFlow *flow);

/** wc_client_flow_reopen() - discard the token, and send an OPEN for a new one unless an OPEN is in progress. */
void wc_client_flow_reopen (WcClient *client, uint64_t now_us, WcClientFlow *flow);
void wc_client_flow_timer_expired (WcClient *client, uint64_t now_us, WcClientFlow *flow);
void wc_client_flow_opened (WcClient *client, uint64_t now_us, WcClientFlow *flow, const Wc__InstancePacket *packet);

/** wc_client_flow_set_token() - replace the flow's token; an empty or oversized token is ignored. */
void wc_client_flow_set_token (WcClientFlow *flow, const ProtobufCBinaryData *token);

/* client_call.c */
WcClientCall *wc_client_call_new (WcClient *client, WcClientFlow *flow, WcCallKind kind);
void          wc_client_call_delete (WcClient *client, WcClientCall *call);

/** wc_client_call_fits() - whether the call fits into a datagram with a token and a ticket of maximum size. */
bool wc_client_call_fits (const WcClientCall *call);

/** wc_client_call_start() - send the next TICKET, REQUEST, ORDER or POLL, or wait until the flow is open. */
void wc_client_call_start (WcClient *client, uint64_t now_us, WcClientCall *call);
void wc_client_call_timer_expired (WcClient *client, uint64_t now_us, WcClientCall *call);
void wc_client_call_receive (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet);
WcClientResult wc_client_call_cancel (WcClient *client, WcClientCall *call);

/** wc_client_call_rerun() - start an idempotent call again with a new request identifier. */
void wc_client_call_rerun (WcClient *client, uint64_t now_us, WcClientCall *call);

/** wc_client_call_finish() - report the end of a call that has no complete answer, and free the call. */
void wc_client_call_finish (WcClient *client, WcClientCall *call, WcClientResult result, const char *reason);

/**
 * wc_client_call_complete() - report a complete answer and free the call.
 *
 * A stream goes on instead: it reports the events and continues with its next POLL, or handles an HTTP status of 400 or
 * above as a rejection.
 */
void
wc_client_call_complete (WcClient *client, uint64_t now_us, WcClientCall *call, const uint8_t *data, size_t size_bytes);

/** wc_client_call_arm() - arm the call's timer for @due_us or the call's deadline, whichever is earlier. */
void wc_client_call_arm (WcClient *client, WcClientCall *call, uint64_t due_us);

/** wc_client_call_init_packet() - set service, customer, request identifier and token; the token is not copied. */
void wc_client_call_init_packet (const WcClientCall *call, Wc__CallerPacket *packet);

/* client_answer.c */

/** wc_client_answer_receive() - process a RESULT that is DONE: with a whole answer, one part of it, or none. */
void wc_client_answer_receive (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet);

/** wc_client_answer_timer_expired() - no new part arrived in time: request the missing ones, or run the call again. */
void wc_client_answer_timer_expired (WcClient *client, uint64_t now_us, WcClientCall *call);

/** wc_client_answer_release() - tell the holder that it can delete an answer of several parts. */
void wc_client_answer_release (WcClient *client, WcClientCall *call);

/** wc_client_answer_discard() - free the parts that have been received. */
void wc_client_answer_discard (WcClientCall *call);

/** wc_client_answer_has_ref() - whether a packet's reference names the answer that the call is reassembling. */
bool wc_client_answer_has_ref (const WcClientCall *call, const Wc__AnswerRef *ref);

#endif
