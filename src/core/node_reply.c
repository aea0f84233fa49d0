#include "core/node_private.h"

#include <assert.h>

void
wc_node_handle_open (WcNode *node, const WcNodePacket *packet, uint32_t shard)
{
  const Wc__CallerPacket *message = packet->message;
  Wc__InstancePacket      reply = WC__INSTANCE_PACKET__INIT;
  WcShardState           *state = wc_node_get_shard (node, packet->now_us, message->service, shard);
  uint8_t                 sealed[WC_TOKEN_MAX_BYTES];
  WcToken                 token = {
                    .service = message->service,
                    .customer = message->customer,
                    .domain = node->config.domain,
                    .target = wc_dispatcher_assign_flow (state->dispatcher, packet->now_us),
                    .owner = node->config.instance,
                    .incarnation = node->config.incarnation,
                    .worker = node->config.worker,
                    .expiry_wall_s = node->wall_s + node->config.token_life_s,
                    .flow = message->request_id,
  };
  WcRequest opened = { .service = token.service, .target = token.target, .flow = token.flow };

  reply.kind = WC__INSTANCE_PACKET__KIND__OPENED;
  reply.request_id = message->request_id;
  reply.token.data = sealed;
  reply.token.len = wc_token_seal (&node->sealer, node->view->keyring, &token, sealed);
  wc_node_increment (node, WC_COUNTER_FLOWS_OPENED);
  wc_node_record_event (node, WC_EVENT_FLOW_OPENED, &opened, NULL);
  wc_node_reply (node, &packet->caller, &reply);
}

void
wc_node_handle_fetch (WcNode *node, const WcNodePacket *packet)
{
  const Wc__CallerPacket *message = packet->message;
  uint32_t                count = MIN (message->part_count, WC_NODE_FETCH_MAX_PARTS);
  uint32_t                http_status;
  uint32_t                total_bytes;
  uint32_t                stored_parts;

  if (!wc_answer_store_get_info (node->answers, message->answer->answer, &http_status, &total_bytes, &stored_parts))
    return;
  wc_counters_add (node->counters, WC_COUNTER_ANSWER_PARTS_REPEATED, count);
  wc_node_reply_parts (node, &packet->caller, message->request_id, message->answer->answer, message->first_part, count,
                       message->cursor, NULL);
}

void
wc_node_reply (WcNode *node, const WcAddress *caller, const Wc__InstancePacket *message)
{
  uint8_t buffer[WC_DATAGRAM_MAX_BYTES];
  size_t  size = wc__instance_packet__get_packed_size (message);

  assert (size <= sizeof buffer);

  wc__instance_packet__pack (message, buffer);
  node->ops->send (node->user_data, caller, buffer, size);
}

void
wc_node_reply_result (WcNode *node, const WcAddress *caller, uint64_t request_id, Wc__InstancePacket__Result result,
                      const char *reason)
{
  Wc__InstancePacket reply = WC__INSTANCE_PACKET__INIT;

  reply.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  reply.result = result;
  reply.request_id = request_id;
  if (reason)
    reply.reason = (char *)reason;
  wc_node_reply (node, caller, &reply);
}

/*
 * Sends parts of the answer to a request that is done. If no answer is stored, a poll is answered with one empty part;
 * for an order whose answer was discarded or has expired, a part count of 0 means that no answer can be fetched.
 */
void
wc_node_reply_parts (WcNode *node, const WcAddress *caller, uint64_t request_id, uint64_t answer, uint32_t first_part,
                     uint32_t part_count, uint64_t cursor, const WcToken *renewed_token)
{
  Wc__InstancePacket reply = WC__INSTANCE_PACKET__INIT;
  Wc__AnswerRef      reference = WC__ANSWER_REF__INIT;
  uint8_t            sealed[WC_TOKEN_MAX_BYTES];
  uint32_t           end_part;

  reply.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  reply.result = WC__INSTANCE_PACKET__RESULT__DONE;
  reply.request_id = request_id;
  reply.cursor = cursor;
  if (renewed_token)
    {
      reply.token.data = sealed;
      reply.token.len = wc_token_seal (&node->sealer, node->view->keyring, renewed_token, sealed);
    }
  if (!wc_answer_store_get_info (node->answers, answer, &reply.http_status, &reply.total_bytes, &reply.part_count))
    {
      reply.part_count = cursor != 0 || part_count == 1 ? 1 : 0;
      if (reply.part_count == 0)
        reply.reason = (char *)"the answer is not held any more";
      wc_node_reply (node, caller, &reply);
      return;
    }
  reference.instance = node->config.instance;
  reference.incarnation = node->config.incarnation;
  reference.worker = node->config.worker;
  reference.answer = answer;
  reply.answer = &reference;
  end_part = MIN ((uint64_t)first_part + part_count, reply.part_count);
  for (uint32_t part = first_part; part < end_part; part++)
    {
      size_t size = 0;

      reply.part = part;
      reply.data.data = (uint8_t *)wc_answer_store_get_part (node->answers, answer, part, &size);
      reply.data.len = size;
      wc_node_increment (node, WC_COUNTER_ANSWER_PARTS_SENT);
      wc_node_reply (node, caller, &reply);
      /* Only the first datagram carries the token, to keep the others small. */
      reply.token.len = 0;
    }
}
