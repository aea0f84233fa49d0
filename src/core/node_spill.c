#include "core/node_private.h"

#include <wigeoncart/ownership.h>

enum
{
  REPORT_CHECK_INTERVAL_US = 100 * 1000,
  /* Minimum interval between the reports to an owner whose spilled requests have to wait at this instance. */
  FEEDBACK_INTERVAL_US = 50 * 1000,
  /* Limit for the backlog reports of an instance, divided equally among its workers; its other control traffic is 1.6
   * to 1.9 KB/s. */
  REPORT_BYTES_PER_SECOND = 1000,
  /* IPv4 and UDP headers of a datagram. */
  UDP_IP_HEADER_BYTES = 28
};

static bool               is_owner (WcNode *node, uint32_t service, uint32_t shard);
static uint32_t           get_shard_count (const WcNode *node, uint32_t service, uint32_t domain);
static uint32_t           choose_domain (WcNode *node, const WcNodePacket *packet, WcShardState *state);
static bool               spill_to (WcNode *node, const WcNodePacket *packet, uint32_t shard, uint32_t domain);
static void               send_report (WcNode *node, uint64_t now_us, WcShardState *state, WcReportPeer *peer);
static bool               send_due_reports (WcNode *node, uint64_t now_us, WcShardState *state);
static void               refill_report_budget (WcNode *node, uint64_t now_us);
static const WcSpillLoad *measure_load (const WcShardState *state, uint64_t now_us, WcSpillLoad *load);

void
wc_node_spill_apply_view (WcNode *node, WcShardState *state)
{
  WcReportPeer    peers[WC_SPILL_MAX_DOMAINS] = { 0 };
  const WcDomain *domains;
  size_t          domain_count;
  size_t          count = 0;

  domains = wc_register_get_domains (node->view->reg, &domain_count);
  for (size_t i = 0; i < domain_count && count < WC_SPILL_MAX_DOMAINS; i++)
    {
      uint32_t domain = domains[i].id;
      WcRoute  route;

      /* If the domain has another number of shards, a flow may belong to a shard there whose load is unknown. */
      if (domain == node->config.domain || !is_owner (node, state->service, state->shard) ||
          !wc_route_cache_has_targets (node->routes, state->service, domain) ||
          get_shard_count (node, state->service, domain) != get_shard_count (node, state->service, node->config.domain))
        continue;
      route = wc_route_cache_find (node->routes, state->service, domain, state->shard);
      if (!route.owner || route.owner->address.family == 0)
        continue;
      peers[count].domain = domain;
      peers[count].instance = route.owner->id;
      count++;
    }
  wc_report_exchange_set_peers (&state->exchange, peers, count, &node->delays);
}

void
wc_node_spill_tick (WcNode *node, uint64_t now_us)
{
  uint32_t first_index = node->next_report_index;

  if (now_us < node->last_report_check_us + REPORT_CHECK_INTERVAL_US)
    return;
  refill_report_budget (node, now_us);
  node->last_report_check_us = now_us;
  if (!node->view || !node->view->reg || !node->view->keyring || node->view->lifecycle != WC_LIFECYCLE_SERVING)
    return;
  /* If the budget does not suffice for all shards, the next check starts with the first shard left out. */
  for (int pass = 0; pass < 2; pass++)
    {
      GHashTableIter iter;
      gpointer       value;
      uint32_t       index = 0;

      g_hash_table_iter_init (&iter, node->shards);
      for (; g_hash_table_iter_next (&iter, NULL, &value); index++)
        if ((index >= first_index) == (pass == 0) && !send_due_reports (node, now_us, value))
          {
            node->next_report_index = index;
            return;
          }
    }
}

void
wc_node_handle_report (WcNode *node, uint64_t now_us, const uint8_t *data, size_t size_bytes)
{
  uint8_t         arena_buffer[WC_NODE_REPORT_ARENA_BYTES];
  WcArena         arena;
  WcBacklogReport report;
  WcShardState   *state;

  wc_node_increment (node, WC_COUNTER_REPORTS_RECEIVED);
  if (!node->view || !node->view->reg || !node->view->keyring)
    return;
  wc_arena_init (&arena, arena_buffer, sizeof arena_buffer);
  if (wc_backlog_report_open (node->view->keyring, data, size_bytes, &arena, &report) != WC_STATUS_OK ||
      !wc_register_find_service (node->view->reg, report.service) ||
      report.shard >= get_shard_count (node, report.service, node->config.domain) ||
      !is_owner (node, report.service, report.shard))
    {
      wc_node_increment (node, WC_COUNTER_REPORTS_REJECTED);
      return;
    }
  state = wc_node_get_shard (node, now_us, report.service, report.shard);
  if (!wc_report_exchange_accept (&state->exchange, now_us, node->config.incarnation, &report, &node->delays))
    wc_node_increment (node, WC_COUNTER_REPORTS_REJECTED);
}

bool
wc_node_spill_request (WcNode *node, const WcNodePacket *packet, uint32_t shard)
{
  WcShardState *state = wc_node_get_shard (node, packet->now_us, packet->service->id, shard);
  WcReportPeer *peer;
  WcSpillLoad   load;
  uint32_t      domain;

  if (packet->passed_from != 0)
    {
      peer = wc_report_exchange_find (&state->exchange, packet->passed_from);
      if (peer && node->view->lifecycle == WC_LIFECYCLE_SERVING &&
          packet->now_us >= peer->sent_us + FEEDBACK_INTERVAL_US &&
          measure_load (state, packet->now_us, &load)->backlog_us > 0)
        send_report (node, packet->now_us, state, peer);
      return false;
    }
  state->exchange.last_request_us = packet->now_us;
  if (packet->hops >= WC_RELAY_MAX_HOPS || packet->message->attempt >= WC_NODE_FIRST_LOCAL_ATTEMPT ||
      node->view->lifecycle != WC_LIFECYCLE_SERVING)
    return false;
  domain = choose_domain (node, packet, state);
  return domain != 0 && spill_to (node, packet, shard, domain);
}

bool
wc_node_spill_cancel (WcNode *node, const WcNodePacket *packet, uint32_t shard)
{
  uint32_t domain = wc_spill_table_find (&node->spill_table, packet->now_us, packet->message->request_id);

  /* A CANCEL with a ticket is routed to the owner named in the ticket. */
  if (domain == 0 || packet->message->ticket.len > 0 || packet->passed_from != 0 || packet->hops >= WC_RELAY_MAX_HOPS)
    return false;
  return spill_to (node, packet, shard, domain);
}

/* local functions */

static bool
is_owner (WcNode *node, uint32_t service, uint32_t shard)
{
  WcRoute route = wc_route_cache_find (node->routes, service, node->config.domain, shard);

  return route.owner && route.owner->id == node->config.instance && route.worker == node->config.worker;
}

static uint32_t
get_shard_count (const WcNode *node, uint32_t service, uint32_t domain)
{
  size_t count;

  wc_register_get_service_targets (node->view->reg, service, domain, &count);
  return wc_ownership_get_shard_count (count);
}

static uint32_t
choose_domain (WcNode *node, const WcNodePacket *packet, WcShardState *state)
{
  const WcCustomer *customer;
  uint64_t          wait_us;
  uint32_t          domain = wc_spill_table_find (&node->spill_table, packet->now_us, packet->message->request_id);

  /* A retransmitted datagram goes to the same domain as the first one, because only the owner there recognizes it as a
   * duplicate. */
  if (domain != 0)
    return domain;
  customer = wc_register_find_customer (node->view->reg, packet->token.customer);
  wait_us = wc_dispatcher_get_expected_wait_us (state->dispatcher, packet->now_us,
                                                customer ? customer->worth : WC_NODE_DEFAULT_WORTH);
  return wc_spill_choose_domain (&state->exchange.spill, packet->now_us, wait_us);
}

static bool
spill_to (WcNode *node, const WcNodePacket *packet, uint32_t shard, uint32_t domain)
{
  WcRoute      route = wc_route_cache_find (node->routes, packet->service->id, domain, shard);
  WcNodePacket spilled_packet = *packet;

  if (!route.owner)
    return false;
  spilled_packet.passed_from = node->config.domain;
  wc_spill_table_add (&node->spill_table, packet->now_us, packet->message->request_id, domain);
  wc_node_increment (node, WC_COUNTER_PACKETS_PASSED_ON);
  wc_node_relay (node, &spilled_packet, route.owner, route.worker);
  return true;
}

static void
send_report (WcNode *node, uint64_t now_us, WcShardState *state, WcReportPeer *peer)
{
  WcRoute         route = wc_route_cache_find (node->routes, state->service, peer->domain, state->shard);
  uint8_t         buffer[WC_BACKLOG_REPORT_MAX_BYTES];
  WcBacklogReport report = {
    .instance = node->config.instance,
    .incarnation = node->config.incarnation,
    .service = state->service,
    .shard = state->shard,
  };
  WcAddress address;
  size_t    size;

  if (!route.owner || route.owner->id != peer->instance)
    return;
  measure_load (state, now_us, &report.load);
  wc_report_exchange_fill (&state->exchange, now_us, peer, &report);
  size = wc_backlog_report_pack (node->view->keyring, &report, buffer);
  if (size == 0)
    return;
  address = route.owner->address;
  address.port = (uint16_t)(address.port + route.worker);
  node->report_budget_bytes -= (int64_t)size + UDP_IP_HEADER_BYTES;
  wc_node_increment (node, WC_COUNTER_REPORTS_SENT);
  wc_counters_add (node->counters, WC_COUNTER_REPORT_BYTES_SENT, size + UDP_IP_HEADER_BYTES);
  node->ops->relay (node->user_data, &address, buffer, size);
}

/* Return: false when the budget is used up; the shard was then not checked and must be checked first next time. */
static bool
send_due_reports (WcNode *node, uint64_t now_us, WcShardState *state)
{
  WcSpillLoad load;

  if (state->exchange.count == 0 || !wc_report_exchange_is_needed (&state->exchange, now_us))
    return true;
  if (node->report_budget_bytes <= 0)
    return false;
  if (!wc_spill_record_due_report (&state->exchange.spill, now_us, measure_load (state, now_us, &load)))
    return true;
  for (size_t i = 0; i < state->exchange.count; i++)
    send_report (node, now_us, state, &state->exchange.peers[i]);
  return true;
}

static void
refill_report_budget (WcNode *node, uint64_t now_us)
{
  int64_t budget_bytes = REPORT_BYTES_PER_SECOND / MAX (node->config.worker_count, 1);
  int64_t elapsed_us = (int64_t)MIN (now_us - node->last_report_check_us, 1000 * 1000);

  node->report_budget_bytes = MIN (node->report_budget_bytes + budget_bytes * elapsed_us / (1000 * 1000), budget_bytes);
}

static const WcSpillLoad *
measure_load (const WcShardState *state, uint64_t now_us, WcSpillLoad *load)
{
  wc_spill_measure_load (state->dispatcher, now_us, load);
  return load;
}
