#include "core/node_private.h"

static void     route_to_owner (WcNode *node, WcNodePacket *packet, uint64_t flow);
static void     route_order (WcNode *node, WcNodePacket *packet);
static void     route_to_answer (WcNode *node, WcNodePacket *packet);
static void     handle_as_owner (WcNode *node, const WcNodePacket *packet, uint32_t shard);
static uint32_t choose_domain (WcNode *node, const WcNodePacket *packet);
static bool     key_is_newer (const WcNode *node, const uint8_t *sealed);
static void     relay_to_domain (WcNode *node, const WcNodePacket *packet, uint32_t domain);

void
wc_node_route (WcNode *node, WcNodePacket *packet)
{
  const Wc__CallerPacket *message = packet->message;

  switch (message->kind)
    {
    case WC__CALLER_PACKET__KIND__OPEN:
      route_to_owner (node, packet, message->request_id);
      break;
    case WC__CALLER_PACKET__KIND__REQUEST:
    case WC__CALLER_PACKET__KIND__TICKET:
      route_to_owner (node, packet, packet->token.flow);
      break;
    case WC__CALLER_PACKET__KIND__POLL:
      /* The owner of the first shard reads a service's event feed on behalf of all callers. */
      route_to_owner (node, packet, 0);
      break;
    case WC__CALLER_PACKET__KIND__ORDER:
      route_order (node, packet);
      break;
    case WC__CALLER_PACKET__KIND__FETCH:
      route_to_answer (node, packet);
      break;
    case WC__CALLER_PACKET__KIND__CANCEL:
      if (message->answer)
        route_to_answer (node, packet);
      else if (message->ticket.len > 0)
        route_order (node, packet);
      else
        route_to_owner (node, packet, packet->token.flow);
      break;
    default:
      wc_node_increment (node, WC_COUNTER_PACKETS_MALFORMED);
      break;
    }
}

void
wc_node_relay (WcNode *node, const WcNodePacket *packet, const WcMember *member, uint32_t worker)
{
  uint8_t   buffer[WC_RELAY_MAX_BYTES];
  WcAddress address = member->address;
  WcRelay   relay = {
      .caller = packet->caller,
      .hops = packet->hops + 1,
      .passed_from = packet->passed_from,
      .packet = packet->data,
      .packet_bytes = packet->size_bytes,
  };
  size_t size;

  if (relay.hops > WC_RELAY_MAX_HOPS || address.family == 0)
    {
      wc_node_increment (node, WC_COUNTER_RELAYS_REJECTED);
      return;
    }
  size = wc_relay_pack (node->view->keyring, &relay, buffer);
  if (size == 0)
    {
      wc_node_increment (node, WC_COUNTER_RELAYS_REJECTED);
      return;
    }
  address.port = (uint16_t)(address.port + worker);
  wc_node_increment (node, WC_COUNTER_PACKETS_RELAYED);
  node->ops->relay (node->user_data, &address, buffer, size);
}

/* local functions */

static void
route_to_owner (WcNode *node, WcNodePacket *packet, uint64_t flow)
{
  uint32_t service = packet->service->id;
  bool     draining = node->view->lifecycle >= WC_LIFECYCLE_DRAINING;
  WcRoute  route;
  uint32_t domain;
  uint32_t shard;

  /* The relaying worker has chosen the owner by its own view. Choosing again by this worker's view, which may differ,
   * could relay the packet in a loop. */
  if (packet->hops > 0 && !(draining && packet->hops < WC_RELAY_MAX_HOPS))
    {
      handle_as_owner (node, packet, wc_route_cache_find_shard (node->routes, service, node->config.domain, flow));
      return;
    }
  domain = packet->hops > 0 ? node->config.domain : choose_domain (node, packet);
  shard = wc_route_cache_find_shard (node->routes, service, domain, flow);
  route = wc_route_cache_find (node->routes, service, domain, shard);
  if (!route.owner)
    {
      handle_as_owner (node, packet, wc_route_cache_find_shard (node->routes, service, node->config.domain, flow));
      return;
    }
  if (route.owner->id == node->config.instance && route.worker == node->config.worker)
    handle_as_owner (node, packet, shard);
  else
    wc_node_relay (node, packet, route.owner, route.worker);
}

static void
route_order (WcNode *node, WcNodePacket *packet)
{
  const Wc__CallerPacket *message = packet->message;
  const WcMember         *owner;
  WcTicket                ticket;
  WcStatus                status;

  status = wc_ticket_open (node->view->keyring, message->ticket.data, message->ticket.len, &ticket);
  /* The ticket's key has been published but has not arrived at this instance yet. Any result would end the order at the
   * caller, so the packet is dropped; when the caller retransmits it, it may reach an instance that has the key. */
  if (status == WC_STATUS_UNKNOWN_KEY && key_is_newer (node, message->ticket.data))
    {
      wc_node_increment (node, WC_COUNTER_TICKETS_REJECTED);
      return;
    }
  if (status != WC_STATUS_OK || ticket.service != message->service)
    {
      wc_node_increment (node, status == WC_STATUS_OK ? WC_COUNTER_SERVICE_MISMATCHES : WC_COUNTER_TICKETS_REJECTED);
      /* With an unknown key the result is UNKNOWN: the order may have run before the key was withdrawn. */
      wc_node_reply_result (node, &packet->caller, message->request_id,
                            status == WC_STATUS_UNKNOWN_KEY ? WC__INSTANCE_PACKET__RESULT__UNKNOWN
                                                            : WC__INSTANCE_PACKET__RESULT__INVALID,
                            "the ticket is not valid for this service");
      return;
    }
  if (ticket.owner == node->config.instance &&
      (ticket.incarnation != node->config.incarnation || ticket.worker == node->config.worker))
    {
      if (message->kind == WC__CALLER_PACKET__KIND__CANCEL)
        wc_node_handle_cancel (node, packet, 0);
      else
        wc_node_handle_order (node, packet, &ticket);
      return;
    }
  owner = wc_member_table_find (node->view->members, ticket.owner);
  if (owner)
    wc_node_relay (node, packet, owner, ticket.worker);
  else
    relay_to_domain (node, packet, ticket.domain);
}

static void
route_to_answer (WcNode *node, WcNodePacket *packet)
{
  const Wc__AnswerRef *answer = packet->message->answer;
  const WcMember      *member;

  if (!answer)
    {
      wc_node_increment (node, WC_COUNTER_PACKETS_MALFORMED);
      return;
    }
  if (answer->instance == node->config.instance)
    {
      if (answer->incarnation != node->config.incarnation)
        return;
      if (answer->worker == node->config.worker)
        {
          if (packet->message->kind == WC__CALLER_PACKET__KIND__CANCEL)
            wc_node_handle_cancel (node, packet, 0);
          else
            wc_node_handle_fetch (node, packet);
          return;
        }
    }
  member = wc_member_table_find (node->view->members, answer->instance);
  if (member)
    wc_node_relay (node, packet, member, answer->worker);
  else
    relay_to_domain (node, packet, packet->token.domain);
}

static void
handle_as_owner (WcNode *node, const WcNodePacket *packet, uint32_t shard)
{
  /* In state CLOSING the process may exit at any time, so new work is dropped; the caller's next attempt reaches
   * another instance. */
  if (node->view->lifecycle >= WC_LIFECYCLE_CLOSING && packet->message->kind != WC__CALLER_PACKET__KIND__CANCEL)
    return;
  switch (packet->message->kind)
    {
    case WC__CALLER_PACKET__KIND__OPEN:
      wc_node_handle_open (node, packet, shard);
      break;
    case WC__CALLER_PACKET__KIND__TICKET:
      wc_node_handle_ticket (node, packet, shard);
      break;
    case WC__CALLER_PACKET__KIND__POLL:
      wc_node_handle_poll (node, packet);
      break;
    case WC__CALLER_PACKET__KIND__CANCEL:
      wc_node_handle_cancel (node, packet, shard);
      break;
    default:
      wc_node_handle_request (node, packet, shard);
      break;
    }
}

static uint32_t
choose_domain (WcNode *node, const WcNodePacket *packet)
{
  uint32_t service = packet->service->id;
  uint32_t own_domain = node->config.domain;
  bool     retried = packet->message->attempt >= WC_NODE_FIRST_LOCAL_ATTEMPT;
  bool     has_token = packet->message->kind != WC__CALLER_PACKET__KIND__OPEN;

  /* The previous attempt may have been relayed to a domain that is partitioned or to an owner that has crashed, so a
   * retry stays in this domain. */
  if (retried && wc_route_cache_has_targets (node->routes, service, own_domain))
    return own_domain;
  if (!retried && has_token && packet->service->affinity == WC_AFFINITY_SESSION &&
      wc_route_cache_has_targets (node->routes, service, packet->token.domain) &&
      wc_route_cache_find (node->routes, service, packet->token.domain, 0).owner)
    return packet->token.domain;
  return wc_route_cache_pick_domain (node->routes, service, own_domain, g_rand_int (node->random));
}

static bool
key_is_newer (const WcNode *node, const uint8_t *sealed)
{
  uint32_t epoch = (uint32_t)sealed[0] << 24 | (uint32_t)sealed[1] << 16 | (uint32_t)sealed[2] << 8 | sealed[3];

  return epoch > wc_keyring_get_newest_epoch (node->view->keyring);
}

/* Relays to any live member of @domain. An instance of another domain that has just joined is unknown here until the
 * next read of the platform's list, but the members of its own domain know it from its heartbeats. */
static void
relay_to_domain (WcNode *node, const WcNodePacket *packet, uint32_t domain)
{
  size_t          count;
  const WcMember *live = wc_member_table_get_live (node->view->members, domain, &count);
  const WcMember *member;

  if (domain == node->config.domain || count == 0)
    return;
  member = &live[g_rand_int (node->random) % count];
  wc_node_relay (node, packet, member, g_rand_int (node->random) % MAX (member->workers, 1));
}
