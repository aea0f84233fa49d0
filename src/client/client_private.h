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
  /* The holder of a long answer sends this many parts without being asked. */
  WC_CLIENT_INITIAL_PARTS = 16,
  /* Most parts that one FETCH may ask for. */
  WC_CLIENT_FETCH_MAX_PARTS = 64,
  WC_CLIENT_FETCH_MIN_PARTS = 4,
  /* Most FETCH datagrams sent at once, for separate runs of missing parts. */
  WC_CLIENT_FETCH_MAX_PACKETS = 16,
  /* From this attempt on, an instance routes a request to its local owner and not to the token's. */
  WC_CLIENT_ATTEMPT_LOCAL_OWNER = 2
};

/** struct WcClientTimer - entry in the client's order of due times; armed while it is in it. */
typedef struct
{
  uint64_t due_us;
  uint64_t serial;
  bool     armed;
  bool     is_flow;
} WcClientTimer;

/**
 * struct WcClientFlow - a flow.
 * @timer: first member, so that a timer can be converted to its flow.
 * @open_attempts: OPENs sent since the flow has needed a token.
 * @generation: grows each time the flow needs a new token.
 * @calls: all calls of the flow.
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

/** enum WcCallState - what a call waits for. */
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
 * @timer: first member, so that a timer can be converted to its call.
 * @attempt: attempt number of the next REQUEST or POLL.
 * @send_count: sends in the present state, for the backoff.
 * @generation: the flow's when the call was last sent.
 * @refused: waits after a refusal; further copies of the refusal do not count.
 * @order_sent: an ORDER may have reached the fleet; from then on only the fleet's word makes it NOT_RUN.
 * @poll_deadline_us: end of the present POLL.
 * @holder: holder of the answer in @parts.
 * @window: parts asked for at once; @window_end: first part not asked for yet.
 * @last_part_us: when the last new part arrived.
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
  bool          refused;
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
  Wc__AnswerRef holder;
  WcPartSet    *parts;
  uint32_t      http_status;
  uint64_t      answer_cursor;
  uint32_t      window;
  uint32_t      window_end;
  uint64_t      last_part_us;
} WcClientCall;

/** struct WcClient - @reroute_credit_percent: budget of attempts to other owners, in hundredths. */
struct WcClient
{
  WcClientConfig config;
  WcClientOps    ops;
  void          *user_data;
  GRand         *random;
  uint64_t       reroute_credit_percent;
  uint64_t       last_handle;
  uint64_t       last_serial;
  GTree         *timers;
  GHashTable    *flows;
  GHashTable    *calls;
  GHashTable    *requests;
  GHashTable    *openings;
};

/* client.c */
uint64_t wc_client_generate_id (WcClient *client);
void     wc_client_arm (WcClient *client, WcClientTimer *timer, uint64_t due_us);
void     wc_client_disarm (WcClient *client, WcClientTimer *timer);
uint64_t wc_client_backoff (WcClient *client, uint64_t first_us, uint32_t send_count);
void     wc_client_send_packet (WcClient *client, const Wc__CallerPacket *packet);

/* client_flow.c */
WcClientFlow *wc_client_flow_new (WcClient *client, const char *service, const char *customer);
void          wc_client_flow_delete (WcClient *client, WcClientFlow *flow);

/** wc_client_flow_reopen() - drop the token and ask for a new one, unless that is in progress. */
void wc_client_flow_reopen (WcClient *client, uint64_t now_us, WcClientFlow *flow);
void wc_client_flow_timer_expired (WcClient *client, uint64_t now_us, WcClientFlow *flow);
void wc_client_flow_opened (WcClient *client, uint64_t now_us, WcClientFlow *flow, const Wc__InstancePacket *packet);

/** wc_client_flow_set_token() - use a newer token; ignores an empty or too long one. */
void wc_client_flow_set_token (WcClientFlow *flow, const ProtobufCBinaryData *token);

/* client_call.c */
WcClientCall *wc_client_call_new (WcClient *client, WcClientFlow *flow, WcCallKind kind);
void          wc_client_call_delete (WcClient *client, WcClientCall *call);
bool          wc_client_call_fits (const WcClientCall *call);

/** wc_client_call_start() - send what the call needs first, when its flow is open. */
void wc_client_call_start (WcClient *client, uint64_t now_us, WcClientCall *call);
void wc_client_call_timer_expired (WcClient *client, uint64_t now_us, WcClientCall *call);
void wc_client_call_receive (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet);
WcClientResult wc_client_call_cancel (WcClient *client, WcClientCall *call);

/** wc_client_call_rerun() - run an idempotent call again under a new request identifier. */
void wc_client_call_rerun (WcClient *client, uint64_t now_us, WcClientCall *call);

/** wc_client_call_finish() - report the end of a call and free it. */
void wc_client_call_finish (WcClient *client, WcClientCall *call, WcClientResult result, const char *reason);

/** wc_client_call_complete() - the answer is whole: report it, or go on with the stream. */
void
wc_client_call_complete (WcClient *client, uint64_t now_us, WcClientCall *call, const uint8_t *data, size_t size_bytes);

/** wc_client_call_arm() - set the call's timer to @due_us or to its deadline, whichever is earlier. */
void wc_client_call_arm (WcClient *client, WcClientCall *call, uint64_t due_us);
void wc_client_call_init_packet (const WcClientCall *call, Wc__CallerPacket *packet);

/* client_answer.c */

/** wc_client_answer_receive() - a RESULT of DONE: the whole answer, or a part of it. */
void wc_client_answer_receive (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet);

/** wc_client_answer_timer_expired() - no new part for a while. */
void wc_client_answer_timer_expired (WcClient *client, uint64_t now_us, WcClientCall *call);

/** wc_client_answer_release() - let the holder drop an answer of several parts. */
void wc_client_answer_release (WcClient *client, WcClientCall *call);
void wc_client_answer_discard (WcClientCall *call);
bool wc_client_answer_has_ref (const WcClientCall *call, const Wc__AnswerRef *holder);

#endif
