#include <assert.h>
#include <string.h>

#include <wigeoncart/answer_store.h>

#include "client/client_private.h"

static void start_reassembly (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet);
static void fetch_missing (WcClient *client, uint64_t now_us, WcClientCall *call, uint32_t from);
static void copy_ref (Wc__AnswerRef *copy, const Wc__AnswerRef *ref);

void
wc_client_answer_receive (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet)
{
  WcPartSet *parts;

  if (!call->parts)
    {
      if (packet->part_count == 0)
        {
          /* The result has no answer: the answer was too large to be stored, or it has been released. An order ends;
           * other calls ignore the result. An empty answer has one part. */
          call->http_status = packet->http_status;
          if (call->kind == WC_CALL_ORDER)
            wc_client_call_finish (client, call, WC_CLIENT_DONE_INCOMPLETE, packet->reason);
          return;
        }
      if (packet->part_count == 1)
        {
          if (packet->total_bytes != packet->data.len)
            return;
          call->http_status = packet->http_status;
          call->answer_cursor = packet->cursor;
          if (packet->data.len > call->answer_max_bytes)
            wc_client_call_finish (client, call, WC_CLIENT_DONE_INCOMPLETE, "the answer exceeds the limit");
          else
            wc_client_call_complete (client, now_us, call, packet->data.data, packet->data.len);
          return;
        }
      start_reassembly (client, now_us, call, packet);
    }
  /* Ignores parts of another answer: the request may have run on a second instance too. */
  else if (!packet->answer || !wc_client_answer_has_ref (call, packet->answer) ||
           packet->total_bytes != call->parts->total_bytes)
    return;
  /* start_reassembly() may have ended and freed the call, or ignored an invalid packet. */
  if (!g_hash_table_contains (client->requests, &packet->request_id) || !call->parts)
    return;

  parts = call->parts;
  if (!wc_part_set_add (parts, packet->part, packet->data.data, packet->data.len))
    return;
  call->last_part_us = now_us;
  call->send_count = 0;
  if (wc_part_set_is_complete (parts))
    {
      wc_client_answer_release (client, call);
      wc_client_call_complete (client, now_us, call, parts->data, parts->total_bytes);
      return;
    }
  if (call->window_end < parts->part_count)
    {
      uint32_t first;

      wc_part_set_find_missing (parts, 0, 1, &first);
      if (first >= call->window_end)
        {
          if (call->window < WC_CLIENT_FETCH_MAX_PARTS)
            call->window *= 2;
          fetch_missing (client, now_us, call, first);
          return;
        }
    }
  wc_client_call_arm (client, call, now_us + wc_client_backoff (client, client->config.fetch_retransmit_us, 0));
}

void
wc_client_answer_timer_expired (WcClient *client, uint64_t now_us, WcClientCall *call)
{
  if (call->kind != WC_CALL_ORDER && now_us - call->last_part_us >= client->config.holder_timeout_us)
    {
      call->attempt = WC_CLIENT_ATTEMPT_LOCAL_OWNER;
      wc_client_call_rerun (client, now_us, call);
      return;
    }
  if (call->window > WC_CLIENT_FETCH_MIN_PARTS)
    call->window /= 2;
  fetch_missing (client, now_us, call, 0);
}

void
wc_client_answer_release (WcClient *client, WcClientCall *call)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;

  wc_client_call_init_packet (call, &packet);
  packet.kind = WC__CALLER_PACKET__KIND__CANCEL;
  packet.answer = &call->answer_ref;
  wc_client_send_packet (client, &packet);
}

void
wc_client_answer_discard (WcClientCall *call)
{
  wc_part_set_delete (call->parts);
  call->parts = NULL;
}

bool
wc_client_answer_has_ref (const WcClientCall *call, const Wc__AnswerRef *ref)
{
  return call->answer_ref.instance == ref->instance && call->answer_ref.incarnation == ref->incarnation &&
         call->answer_ref.worker == ref->worker && call->answer_ref.answer == ref->answer;
}

/* local functions */

static void
start_reassembly (WcClient *client, uint64_t now_us, WcClientCall *call, const Wc__InstancePacket *packet)
{
  if (!packet->answer || packet->part >= packet->part_count)
    return;
  copy_ref (&call->answer_ref, packet->answer);
  call->http_status = packet->http_status;
  call->answer_cursor = packet->cursor;
  if (packet->total_bytes > call->answer_max_bytes)
    {
      wc_client_answer_release (client, call);
      wc_client_call_finish (client, call, WC_CLIENT_DONE_INCOMPLETE, "the answer exceeds the limit");
      return;
    }
  call->parts = wc_part_set_new (packet->total_bytes, packet->part_count);
  if (!call->parts)
    return;
  call->state = WC_CALL_WAITING_FOR_PARTS;
  call->send_count = 0;
  call->generation = call->flow->generation;
  call->last_part_us = now_us;
  call->window = WC_CLIENT_INITIAL_PARTS;
  call->window_end = MIN (WC_CLIENT_INITIAL_PARTS, packet->part_count);
  wc_client_call_arm (client, call, now_us + wc_client_backoff (client, client->config.fetch_retransmit_us, 0));
}

static void
fetch_missing (WcClient *client, uint64_t now_us, WcClientCall *call, uint32_t from)
{
  uint32_t parts_left = call->window;
  uint32_t count;
  uint32_t first;

  wc_client_call_arm (client, call,
                      now_us + wc_client_backoff (client, client->config.fetch_retransmit_us, call->send_count++));
  call->generation = call->flow->generation;
  /* There is no token while the flow is being reopened; the FETCH follows when the timer expires. */
  if (!call->flow->is_open)
    return;
  for (uint32_t i = 0; i < WC_CLIENT_FETCH_MAX_PACKETS && parts_left > 0; i++)
    {
      Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;

      count = wc_part_set_find_missing (call->parts, from, parts_left, &first);
      if (count == 0)
        break;
      wc_client_call_init_packet (call, &packet);
      packet.kind = WC__CALLER_PACKET__KIND__FETCH;
      packet.answer = &call->answer_ref;
      packet.first_part = first;
      packet.part_count = count;
      packet.remaining_ms = (uint32_t)(client->config.holder_timeout_us / 1000);
      wc_client_send_packet (client, &packet);
      parts_left -= count;
      from = first + count;
      call->window_end = MAX (call->window_end, from);
    }
}

static void
copy_ref (Wc__AnswerRef *copy, const Wc__AnswerRef *ref)
{
  wc__answer_ref__init (copy);
  copy->instance = ref->instance;
  copy->incarnation = ref->incarnation;
  copy->worker = ref->worker;
  copy->answer = ref->answer;
}
