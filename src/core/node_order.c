#include "core/node_private.h"

#include <assert.h>

static void handle_repeated_order (WcNode *node, const WcNodePacket *packet, const WcLedgerEntry *entry);

void
wc_node_handle_ticket (WcNode *node, const WcNodePacket *packet, uint32_t shard)
{
  const Wc__CallerPacket *message = packet->message;
  Wc__InstancePacket      reply = WC__INSTANCE_PACKET__INIT;
  uint8_t                 sealed[WC_TICKET_MAX_BYTES];
  WcTicket                ticket = {
                   .service = message->service,
                   .customer = packet->token.customer,
                   .domain = node->config.domain,
                   .owner = node->config.instance,
                   .incarnation = node->config.incarnation,
                   .worker = node->config.worker,
                   .flow = packet->token.flow,
                   .expiry_us = packet->now_us + node->config.ticket_lifetime_us,
  };

  /* A ticket issued while draining would delay the stop by another ticket lifetime. An instance that is reconfirming
   * its view may be draining as well. */
  if (node->view->lifecycle != WC_LIFECYCLE_SERVING)
    return;
  /* An order runs in the domain that issued its ticket, so the domain has to be chosen here. */
  if (wc_node_spill_request (node, packet, shard))
    return;
  if (!wc_ticket_window_issue (&node->tickets, packet->now_us))
    {
      wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__BUSY,
                            "too many tickets are in use");
      return;
    }
  ticket.serial = node->next_serial++;
  reply.kind = WC__INSTANCE_PACKET__KIND__TICKET_ISSUED;
  reply.request_id = message->request_id;
  reply.ticket.data = sealed;
  reply.ticket.len = wc_ticket_seal (&node->sealer, node->view->keyring, &ticket, sealed);
  wc_node_increment (node, WC_COUNTER_TICKETS_ISSUED);
  wc_node_reply (node, &packet->caller, &reply);
}

void
wc_node_handle_order (WcNode *node, const WcNodePacket *packet, const WcTicket *ticket)
{
  const Wc__CallerPacket *message = packet->message;
  WcNodePacket            order = *packet;
  WcRequest              *request;
  WcLedgerEntry          *entry;
  uint32_t                shard;

  assert (ticket->owner == node->config.instance);

  if (ticket->incarnation != node->config.incarnation)
    {
      wc_node_increment (node, WC_COUNTER_OUTCOME_UNKNOWN);
      wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__UNKNOWN,
                            "the instance that issued the ticket has restarted");
      return;
    }
  entry = wc_ledger_find (node->ledger, ticket->serial);
  if (entry)
    {
      handle_repeated_order (node, packet, entry);
      return;
    }
  /* The entry of an expired ticket may have been removed from the ledger, so its order may have run. */
  if (packet->now_us >= ticket->expiry_us)
    {
      wc_node_increment (node, WC_COUNTER_OUTCOME_UNKNOWN);
      wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__UNKNOWN,
                            "the ticket has expired");
      return;
    }
  entry = wc_ledger_insert (node->ledger, ticket->serial, ticket->expiry_us);
  if (!entry)
    return;

  order.token.customer = ticket->customer;
  order.token.domain = node->config.domain;
  order.token.flow = ticket->flow;
  shard = wc_route_cache_find_shard (node->routes, message->service, node->config.domain, ticket->flow);
  request = wc_node_accept_request (node, &order, WC_REQUEST_ORDER, shard);
  if (!request)
    {
      entry->state = WC_LEDGER_NOT_RUN;
      wc_node_increment (node, WC_COUNTER_REFUSED_NOT_RUN);
      wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__NOT_RUN,
                            "too many requests, or the request is malformed");
      return;
    }
  request->serial = ticket->serial;
  request->preferred_target = 0;
  request->start_deadline_us = MIN (request->deadline_us, ticket->expiry_us);
  entry->request = request->handle;
  if (wc_node_submit_request (node, packet->now_us, request) == WC_REFUSAL_NONE)
    wc_node_run_dispatcher (node, packet->now_us, wc_node_get_shard (node, packet->now_us, message->service, shard));
}

void
wc_node_record_order_result (WcNode *node, WcRequest *request, Wc__InstancePacket__Result result)
{
  WcLedgerEntry *entry = wc_ledger_find (node->ledger, request->serial);

  assert (entry != NULL);

  entry->request = 0;
  switch (result)
    {
    case WC__INSTANCE_PACKET__RESULT__DONE:
      entry->state = WC_LEDGER_DONE;
      entry->answer = request->answer;
      break;
    case WC__INSTANCE_PACKET__RESULT__NOT_RUN:
      entry->state = WC_LEDGER_NOT_RUN;
      wc_node_increment (node, WC_COUNTER_REFUSED_NOT_RUN);
      wc_node_record_event (node, WC_EVENT_REFUSED_NOT_RUN, request,
                            "no attempt was sent, or the targets refused all attempts");
      break;
    default:
      entry->state = WC_LEDGER_UNKNOWN;
      wc_node_increment (node, WC_COUNTER_OUTCOME_UNKNOWN);
      wc_node_record_event (node, WC_EVENT_OUTCOME_UNKNOWN, request,
                            "an attempt was sent, but no complete answer was received");
      break;
    }
}

/* local functions */

static void
handle_repeated_order (WcNode *node, const WcNodePacket *packet, const WcLedgerEntry *entry)
{
  const Wc__CallerPacket    *message = packet->message;
  Wc__InstancePacket__Result result = WC__INSTANCE_PACKET__RESULT__UNKNOWN;
  WcRequest                 *request;

  wc_node_increment (node, WC_COUNTER_TICKETS_REPEATED);
  switch (entry->state)
    {
    case WC_LEDGER_QUEUED:
    case WC_LEDGER_DISPATCHED:
      request = wc_request_table_find_by_id (node->requests, message->request_id);
      if (request && request->kind == WC_REQUEST_ORDER && request->serial == entry->serial)
        request->caller = packet->caller;
      return;
    case WC_LEDGER_DONE:
      wc_node_reply_parts (node, &packet->caller, message->request_id, entry->answer, 0, WC_NODE_INITIAL_PARTS, 0,
                           NULL);
      return;
    case WC_LEDGER_NOT_RUN:
      result = WC__INSTANCE_PACKET__RESULT__NOT_RUN;
      break;
    default:
      break;
    }
  wc_node_reply_result (node, &packet->caller, message->request_id, result, "this ticket was used before");
}
