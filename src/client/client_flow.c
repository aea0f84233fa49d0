#include <assert.h>
#include <string.h>

#include <wigeoncart/name_id.h>

#include "client/client_private.h"

static void send_open (WcClient *client, uint64_t now_us, WcClientFlow *flow);

WcClientFlow *
wc_client_flow_new (WcClient *client, const char *service, const char *customer)
{
  WcClientFlow *flow = g_new0 (WcClientFlow, 1);

  (void)client;
  flow->timer.is_flow = true;
  flow->service = wc_name_id32 (service);
  flow->customer = wc_name_id32 (customer);
  flow->calls = g_hash_table_new (NULL, NULL);
  return flow;
}

void
wc_client_flow_delete (WcClient *client, WcClientFlow *flow)
{
  assert (g_hash_table_size (flow->calls) == 0);

  wc_client_disarm (client, &flow->timer);
  if (flow->open_request_id != 0)
    g_hash_table_remove (client->openings, &flow->open_request_id);
  g_hash_table_destroy (flow->calls);
  g_free (flow);
}

void
wc_client_flow_reopen (WcClient *client, uint64_t now_us, WcClientFlow *flow)
{
  flow->is_open = false;
  flow->token_bytes = 0;
  flow->generation++;
  if (flow->open_request_id != 0)
    return;
  wc_client_disarm (client, &flow->timer);
  flow->open_request_id = wc_client_generate_id (client);
  flow->open_attempts = 0;
  g_hash_table_insert (client->openings, &flow->open_request_id, flow);
  send_open (client, now_us, flow);
}

void
wc_client_flow_timer_expired (WcClient *client, uint64_t now_us, WcClientFlow *flow)
{
  if (!flow->is_open)
    send_open (client, now_us, flow);
}

void
wc_client_flow_opened (WcClient *client, uint64_t now_us, WcClientFlow *flow, const Wc__InstancePacket *packet)
{
  uint64_t    flow_id = flow->id;
  bool        is_first = !flow->was_opened;
  GList      *calls;
  const char *reason = packet->reason;

  if (packet->kind == WC__INSTANCE_PACKET__KIND__RESULT && packet->result == WC__INSTANCE_PACKET__RESULT__INVALID)
    {
      /* The fleet does not know the service, perhaps not yet: the calls that wait end, the flow goes on trying. An
       * order that was sent waits until its deadline, since its result may still arrive. */
      calls = g_hash_table_get_keys (flow->calls);
      for (GList *item = calls; item; item = item->next)
        if (g_hash_table_lookup (client->flows, &flow_id) == flow && g_hash_table_contains (flow->calls, item->data) &&
            ((WcClientCall *)item->data)->state == WC_CALL_WAITING_FOR_FLOW &&
            !((WcClientCall *)item->data)->order_sent)
          wc_client_call_finish (client, item->data, WC_CLIENT_INVALID, reason);
      g_list_free (calls);
      return;
    }
  if (packet->kind != WC__INSTANCE_PACKET__KIND__OPENED || packet->token.len == 0 ||
      packet->token.len > WC_TOKEN_MAX_BYTES)
    return;

  wc_client_flow_set_token (flow, &packet->token);
  wc_client_disarm (client, &flow->timer);
  g_hash_table_remove (client->openings, &flow->open_request_id);
  flow->open_request_id = 0;
  flow->is_open = true;
  flow->was_opened = true;
  calls = g_hash_table_get_keys (flow->calls);
  for (GList *item = calls; item; item = item->next)
    {
      WcClientCall *call = item->data;

      if (call->state == WC_CALL_WAITING_FOR_FLOW)
        wc_client_call_start (client, now_us, call);
    }
  g_list_free (calls);
  if (is_first && client->ops.opened)
    client->ops.opened (client->user_data, flow_id);
}

void
wc_client_flow_set_token (WcClientFlow *flow, const ProtobufCBinaryData *token)
{
  if (token->len == 0 || token->len > WC_TOKEN_MAX_BYTES)
    return;
  memcpy (flow->token, token->data, token->len);
  flow->token_bytes = token->len;
}

/* local functions */

static void
send_open (WcClient *client, uint64_t now_us, WcClientFlow *flow)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  uint64_t         wait_us = wc_client_backoff (client, client->config.control_retransmit_us, flow->open_attempts);

  packet.kind = WC__CALLER_PACKET__KIND__OPEN;
  packet.service = flow->service;
  packet.customer = flow->customer;
  packet.request_id = flow->open_request_id;
  packet.attempt = flow->open_attempts++;
  packet.remaining_ms = (uint32_t)(wait_us / 1000);
  wc_client_arm (client, &flow->timer, now_us + wait_us);
  wc_client_send_packet (client, &packet);
}
