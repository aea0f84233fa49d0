#include <assert.h>
#include <string.h>

#include "client/client_private.h"

static void     set_request_id (WcClient *client, WcClientCall *call, uint64_t request_id);
static void     send_ticket (WcClient *client, uint64_t now_us, WcClientCall *call);
static void     send_call (WcClient *client, uint64_t now_us, WcClientCall *call);
static uint32_t choose_attempt (WcClient *client, WcClientCall *call);
static void     start_poll (WcClient *client, uint64_t now_us, WcClientCall *call);
static void     finish_at_deadline (WcClient *client, WcClientCall *call);
static void     handle_rejection (WcClient *client, uint64_t now_us, WcClientCall *call, const char *reason);
static void     handle_expired_token (WcClient *client, uint64_t now_us, WcClientCall *call);
static void receive_result (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet);
static uint32_t remaining_ms (uint64_t now_us, uint64_t deadline_us);

WcClientCall *
wc_client_call_new (WcClient *client, WcClientFlow *flow, WcCallKind kind)
{
  WcClientCall *call = g_new0 (WcClientCall, 1);

  call->flow = flow;
  call->kind = kind;
  g_hash_table_add (flow->calls, call);
  set_request_id (client, call, wc_client_generate_id (client));
  return call;
}

void
wc_client_call_delete (WcClient *client, WcClientCall *call)
{
  wc_client_disarm (client, &call->timer);
  set_request_id (client, call, 0);
  g_hash_table_remove (call->flow->calls, call);
  wc_client_answer_discard (call);
  g_free (call->method);
  g_free (call->path);
  g_free (call->body);
  g_free (call);
}

bool
wc_client_call_fits (const WcClientCall *call)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  uint8_t          largest[MAX ((int)WC_TOKEN_MAX_BYTES, (int)WC_TICKET_MAX_BYTES)] = { 0 };

  wc_client_call_init_packet (call, &packet);
  packet.kind = WC__CALLER_PACKET__KIND__ORDER;
  packet.attempt = UINT32_MAX;
  packet.remaining_ms = UINT32_MAX;
  packet.token.data = largest;
  packet.token.len = WC_TOKEN_MAX_BYTES;
  packet.ticket.data = largest;
  packet.ticket.len = WC_TICKET_MAX_BYTES;
  packet.method = call->method;
  packet.path = call->path;
  packet.body.data = call->body;
  packet.body.len = call->body_bytes;
  return wc__caller_packet__get_packed_size (&packet) <= WC_DATAGRAM_MAX_BYTES;
}

void
wc_client_call_start (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  if (!call->flow->is_open)
    {
      call->state = WC_CALL_WAITING_FOR_FLOW;
      wc_client_disarm (client, &call->timer);
      if (call->deadline_us != UINT64_MAX)
        wc_client_call_arm (client, call, call->deadline_us);
      return;
    }
  call->send_count = 0;
  call->rejected = false;
  if (call->kind == WC_CALL_POLL)
    start_poll (client, now_us, call);
  else if (call->kind == WC_CALL_ORDER && call->ticket_bytes == 0)
    {
      call->state = WC_CALL_WAITING_FOR_TICKET;
      send_ticket (client, now_us, call);
    }
  else
    {
      call->state = WC_CALL_WAITING_FOR_RESULT;
      send_call (client, now_us, call);
    }
}

void
wc_client_call_timer_expired (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  if (now_us >= call->deadline_us)
    {
      finish_at_deadline (client, call);
      return;
    }
  /* A result of another call may have invalidated the flow's token. An order with a ticket needs no token. */
  if (!call->flow->is_open && call->state != WC_CALL_WAITING_FOR_PARTS && call->ticket_bytes == 0)
    {
      wc_client_call_start (client, now_us, call);
      return;
    }
  switch (call->state)
    {
    case WC_CALL_WAITING_FOR_FLOW:
      wc_client_call_arm (client, call, call->deadline_us);
      break;
    case WC_CALL_WAITING_FOR_TICKET:
      send_ticket (client, now_us, call);
      break;
    case WC_CALL_WAITING_FOR_RESULT:
      if (call->kind == WC_CALL_POLL && now_us >= call->poll_deadline_us)
        {
          /* No instance answered by the end of the POLL; the token's owner may have stopped. */
          if (call->send_count > 0)
            call->attempt = WC_CLIENT_ATTEMPT_LOCAL_OWNER;
          start_poll (client, now_us, call);
        }
      else
        send_call (client, now_us, call);
      break;
    case WC_CALL_WAITING_FOR_PARTS:
      wc_client_answer_timer_expired (client, now_us, call);
      break;
    case WC_CALL_STATE_COUNT:
      break;
    }
}

void
wc_client_call_receive (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet)
{
  if (call->flow->is_open)
    wc_client_flow_set_token (call->flow, &packet->token);
  if (packet->kind == WC__INSTANCE_PACKET__KIND__RESULT)
    receive_result (client, now_us, call, packet);
  else if (packet->kind == WC__INSTANCE_PACKET__KIND__TICKET_ISSUED && call->state == WC_CALL_WAITING_FOR_TICKET &&
           packet->ticket.len > 0 && packet->ticket.len <= WC_TICKET_MAX_BYTES)
    {
      /* Retransmitted TICKETs may yield several tickets. Only the first is used, so that the order has one ticket. */
      memcpy (call->ticket, packet->ticket.data, packet->ticket.len);
      call->ticket_bytes = packet->ticket.len;
      call->busy_count = 0;
      wc_client_call_start (client, now_us, call);
    }
}

WcClientResult
wc_client_call_cancel (WcClient *client, WcClientCall *call)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  WcClientResult   result = WC_CLIENT_TIMED_OUT;

  if (call->kind == WC_CALL_ORDER)
    result = call->order_sent ? WC_CLIENT_UNKNOWN : WC_CLIENT_NOT_RUN;
  if (call->parts)
    wc_client_answer_release (client, call);
  else if (call->state == WC_CALL_WAITING_FOR_RESULT)
    {
      wc_client_call_init_packet (call, &packet);
      packet.kind = WC__CALLER_PACKET__KIND__CANCEL;
      wc_client_send_packet (client, &packet);
    }
  g_hash_table_remove (client->calls, &call->id);
  wc_client_call_delete (client, call);
  return result;
}

void
wc_client_call_rerun (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  assert (call->kind != WC_CALL_ORDER);

  wc_client_answer_discard (call);
  set_request_id (client, call, wc_client_generate_id (client));
  wc_client_call_start (client, now_us, call);
}

void
wc_client_call_finish (WcClient *client, WcClientCall *call, WcClientResult result, const char *reason)
{
  WcClientAnswer answer = { .result = result, .request_id = call->request_id, .reason = reason ? reason : "" };
  uint64_t       id = call->id;

  g_hash_table_remove (client->calls, &call->id);
  if (result == WC_CLIENT_DONE || result == WC_CLIENT_DONE_INCOMPLETE)
    answer.http_status = call->http_status;
  /* @reason may point into the received packet, which stays valid after the call is freed. */
  wc_client_call_delete (client, call);
  client->ops.finished (client->user_data, id, &answer);
}

void
wc_client_call_complete (WcClient *client, uint64_t now_us, WcClientCall *call, const uint8_t *data, size_t size_bytes)
{
  WcClientAnswer answer = { .result = WC_CLIENT_DONE, .reason = "" };
  WcPartSet     *parts = call->parts;
  uint64_t       id = call->id;
  uint64_t       cursor;
  bool           is_early;

  call->parts = NULL;
  if (call->kind != WC_CALL_POLL)
    {
      client->reroute_credit_hundredths = MIN (client->reroute_credit_hundredths + client->config.reroute_percent,
                                               (uint64_t)client->config.reroute_budget * 100);
      answer.request_id = call->request_id;
      answer.http_status = call->http_status;
      answer.data = data;
      answer.size_bytes = size_bytes;
      g_hash_table_remove (client->calls, &call->id);
      wc_client_call_delete (client, call);
      client->ops.finished (client->user_data, id, &answer);
      wc_part_set_delete (parts);
      return;
    }
  if (call->http_status >= 400)
    {
      wc_part_set_delete (parts);
      call->state = WC_CALL_WAITING_FOR_RESULT;
      handle_rejection (client, now_us, call, "the event feed failed");
      return;
    }

  /* Events up to the cursor have been delivered already: the answer comes from an instance that lags behind. */
  if (call->answer_cursor <= call->cursor)
    size_bytes = 0;
  else
    call->cursor = call->answer_cursor;
  cursor = call->cursor;
  is_early = size_bytes == 0 && now_us + client->config.poll_wait_us / 2 < call->poll_deadline_us;
  call->attempt = 0;
  call->busy_count = 0;
  call->invalid_count = 0;
  set_request_id (client, call, wc_client_generate_id (client));
  if (is_early)
    {
      /* An instance that cannot keep another waiting POLL answers it at once. The next POLL is delayed to prevent a
       * busy loop. */
      call->state = WC_CALL_WAITING_FOR_RESULT;
      call->poll_deadline_us = now_us;
      call->send_count = 0;
      wc_client_call_arm (client, call, now_us + wc_client_backoff (client, client->config.retransmit_us, 0));
    }
  else
    wc_client_call_start (client, now_us, call);
  if (client->ops.events)
    client->ops.events (client->user_data, id, cursor, size_bytes > 0 ? data : NULL, size_bytes);
  wc_part_set_delete (parts);
}

void
wc_client_call_arm (WcClient *client, WcClientCall *call, uint64_t due_us)
{
  wc_client_arm (client, &call->timer, due_us < call->deadline_us ? due_us : call->deadline_us);
}

void
wc_client_call_init_packet (const WcClientCall *call, Wc__CallerPacket *packet)
{
  packet->service = call->flow->service;
  packet->customer = call->flow->customer;
  packet->request_id = call->request_id;
  packet->token.data = (uint8_t *)call->flow->token;
  packet->token.len = call->flow->token_bytes;
}

/* local functions */

static void
set_request_id (WcClient *client, WcClientCall *call, uint64_t request_id)
{
  if (call->request_id != 0)
    g_hash_table_remove (client->requests, &call->request_id);
  call->request_id = request_id;
  if (request_id != 0)
    g_hash_table_insert (client->requests, &call->request_id, call);
}

static void
send_ticket (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;

  wc_client_call_init_packet (call, &packet);
  packet.kind = WC__CALLER_PACKET__KIND__TICKET;
  packet.attempt = call->attempt++;
  packet.remaining_ms = remaining_ms (now_us, call->deadline_us);
  wc_client_call_arm (client, call,
                      now_us + wc_client_backoff (client, client->config.control_retransmit_us, call->send_count++));
  call->generation = call->flow->generation;
  call->rejected = false;
  wc_client_send_packet (client, &packet);
}

static void
send_call (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  uint64_t         wait_us;

  wc_client_call_init_packet (call, &packet);
  packet.method = call->method ? call->method : packet.method;
  packet.path = call->path ? call->path : packet.path;
  packet.body.data = call->body;
  packet.body.len = call->body_bytes;
  packet.remaining_ms = remaining_ms (now_us, call->deadline_us);
  wait_us = wc_client_backoff (client, client->config.retransmit_us, call->send_count);
  switch (call->kind)
    {
    case WC_CALL_REQUEST:
      packet.kind = WC__CALLER_PACKET__KIND__REQUEST;
      packet.attempt = choose_attempt (client, call);
      break;
    case WC_CALL_ORDER:
      /* A retransmission has the same ticket and content; only the remaining time and the flow's token change. */
      packet.kind = WC__CALLER_PACKET__KIND__ORDER;
      packet.ticket.data = call->ticket;
      packet.ticket.len = call->ticket_bytes;
      call->order_sent = true;
      break;
    case WC_CALL_POLL:
      packet.kind = WC__CALLER_PACKET__KIND__POLL;
      packet.cursor = call->cursor;
      packet.remaining_ms = remaining_ms (now_us, call->poll_deadline_us);
      packet.attempt = call->attempt;
      /* Pending POLLs are retransmitted routinely; only a POLL that failed may go to another owner. */
      if (call->attempt == 0)
        call->attempt = 1;
      wait_us = wc_client_backoff (client, client->config.poll_retransmit_us, 0);
      break;
    case WC_CALL_KIND_COUNT:
      return;
    }
  call->send_count++;
  call->generation = call->flow->generation;
  call->rejected = false;
  wc_client_call_arm (client, call, now_us + wait_us);
  wc_client_send_packet (client, &packet);
}

/* Returns the attempt number of the next REQUEST. Attempts 0 and 1 go to the flow's owner, which recognizes a request
 * that it has already received. Later attempts go to the local owner of the instance that they reach, and are charged
 * to the budget. */
static uint32_t
choose_attempt (WcClient *client, WcClientCall *call)
{
  uint32_t attempt = call->attempt++;

  if (attempt < WC_CLIENT_ATTEMPT_LOCAL_OWNER)
    return attempt;
  if (client->reroute_credit_hundredths < 100)
    return WC_CLIENT_ATTEMPT_LOCAL_OWNER - 1;
  client->reroute_credit_hundredths -= 100;
  return attempt;
}

static void
start_poll (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  set_request_id (client, call, wc_client_generate_id (client));
  call->state = WC_CALL_WAITING_FOR_RESULT;
  call->poll_deadline_us = now_us + client->config.poll_wait_us;
  send_call (client, now_us, call);
}

static void
finish_at_deadline (WcClient *client, WcClientCall *call)
{
  if (call->parts)
    {
      wc_client_answer_release (client, call);
      if (call->kind == WC_CALL_ORDER)
        {
          wc_client_call_finish (client, call, WC_CLIENT_DONE_INCOMPLETE, "parts of the answer are missing");
          return;
        }
    }
  if (call->kind != WC_CALL_ORDER)
    wc_client_call_finish (client, call, WC_CLIENT_TIMED_OUT, "no answer within the deadline");
  else if (call->order_sent)
    wc_client_call_finish (client, call, WC_CLIENT_UNKNOWN, "no result within the deadline");
  else
    wc_client_call_finish (client, call, WC_CLIENT_NOT_RUN, "no ticket within the deadline, nothing was sent");
}

static void
handle_rejection (WcClient *client, uint64_t now_us, WcClientCall *call, const char *reason)
{
  if (call->rejected || call->order_sent)
    return;
  call->rejected = true;
  call->busy_count++;
  if (call->kind == WC_CALL_REQUEST && call->busy_count >= client->config.busy_limit)
    wc_client_call_finish (client, call, WC_CLIENT_BUSY, reason);
  else if (call->kind == WC_CALL_ORDER && call->busy_count >= client->config.busy_limit)
    wc_client_call_finish (client, call, WC_CLIENT_NOT_RUN, reason);
  else
    wc_client_call_arm (client, call,
                        now_us + wc_client_backoff (client, client->config.retransmit_us, call->busy_count - 1));
}

static void
handle_expired_token (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  if (call->state == WC_CALL_WAITING_FOR_FLOW)
    return;
  /* A result for a packet with an earlier token does not mean that the current token has expired. */
  if (call->generation == call->flow->generation)
    wc_client_flow_reopen (client, now_us, call->flow);
  if (call->state == WC_CALL_WAITING_FOR_PARTS)
    return;
  if (call->kind == WC_CALL_ORDER)
    wc_client_call_start (client, now_us, call);
  else
    wc_client_call_rerun (client, now_us, call);
}

static void
receive_result (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet)
{
  bool is_fetching = call->state == WC_CALL_WAITING_FOR_PARTS;

  switch (packet->result)
    {
    case WC__INSTANCE_PACKET__RESULT__DONE:
      if (call->kind != WC_CALL_ORDER || call->order_sent)
        wc_client_answer_receive (client, now_us, call, packet);
      break;
    case WC__INSTANCE_PACKET__RESULT__NOT_RUN:
      if (call->kind == WC_CALL_ORDER && !is_fetching)
        wc_client_call_finish (client, call, WC_CLIENT_NOT_RUN, packet->reason);
      break;
    case WC__INSTANCE_PACKET__RESULT__UNKNOWN:
    case WC__INSTANCE_PACKET__RESULT__BUSY:
      if (is_fetching)
        {
          /* Only a result from the answer's holder counts; instances may reject other attempts of the same request. */
          if (!packet->answer || !wc_client_answer_has_ref (call, packet->answer))
            break;
          if (call->kind == WC_CALL_ORDER)
            wc_client_call_finish (client, call, WC_CLIENT_DONE_INCOMPLETE, "the answer was lost with its holder");
          else
            wc_client_call_rerun (client, now_us, call);
        }
      else if (call->order_sent && packet->result == WC__INSTANCE_PACKET__RESULT__UNKNOWN)
        wc_client_call_finish (client, call, WC_CLIENT_UNKNOWN, packet->reason);
      else if (call->state != WC_CALL_WAITING_FOR_FLOW)
        handle_rejection (client, now_us, call, packet->reason);
      break;
    case WC__INSTANCE_PACKET__RESULT__INVALID:
      if (is_fetching || call->state == WC_CALL_WAITING_FOR_FLOW)
        break;
      /* INVALID does not cover other copies of an order, and an instance with an older register may send it for a
       * stream. Neither ends at the first INVALID. */
      if (call->kind != WC_CALL_REQUEST && ++call->invalid_count < client->config.busy_limit)
        break;
      wc_client_call_finish (client, call, call->order_sent ? WC_CLIENT_UNKNOWN : WC_CLIENT_INVALID, packet->reason);
      break;
    case WC__INSTANCE_PACKET__RESULT__EXPIRED_TOKEN:
      handle_expired_token (client, now_us, call);
      break;
    default:
      break;
    }
}

static uint32_t
remaining_ms (uint64_t now_us, uint64_t deadline_us)
{
  uint64_t left_ms;

  if (deadline_us <= now_us)
    return 1;
  left_ms = (deadline_us - now_us + 999) / 1000;
  return left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX;
}
