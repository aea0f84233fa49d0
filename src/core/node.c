#include "core/node_private.h"

#include <assert.h>
#include <string.h>

#include <wigeoncart/ownership.h>

#include "core/arena.h"

enum
{
  ARENA_BYTES = 4096,
  VIEW_CONFIRM_TIMEOUT_US = 2 * 1000 * 1000,
  /* wc_node_tick() is called every 10 ms, so a gap of this length means that the process was paused. */
  PAUSE_THRESHOLD_US = 1000 * 1000
};

const char *const WC_ATTEMPT_END_STRINGS[WC_ATTEMPT_END_COUNT] = {
  [WC_ATTEMPT_NOT_SENT] = "not sent",
  [WC_ATTEMPT_REFUSED] = "refused",
  [WC_ATTEMPT_BROKEN] = "broken",
};

static void     update_clock (WcNode *node, uint64_t now_us);
static void     handle_datagram (WcNode *node, WcNodePacket *packet);
static bool     check_token (WcNode *node, WcNodePacket *packet);
static void     expire_requests (WcNode *node, uint64_t now_us);
static void     answer_all_waiters (WcNode *node);
static bool     target_accepts_work (const WcNode *node, const WcRequest *request);
static gboolean shard_key_equal (gconstpointer a, gconstpointer b);
static guint    shard_key_hash (gconstpointer key);

void
wc_node_config_init (WcNodeConfig *config)
{
  assert (config != NULL);

  memset (config, 0, sizeof *config);
  config->worker_count = 1;
  config->ticket_lifetime_us = 10 * 1000 * 1000;
  config->answer_lifetime_us = 10 * 1000 * 1000;
  config->token_life_s = 24 * 60 * 60;
  config->ledger_max_entries = 65536;
  config->requests_max = 4096;
  config->queue_max_requests = 1024;
  config->answers_max = 16384;
  config->answers_max_bytes = 64 * 1024 * 1024;
  config->stream_max_waiters = 65536;
  config->retry_budget_percent = 20;
  config->policy = wc_policy_find ("product");
}

WcNode *
wc_node_new (const WcNodeConfig *config, const WcNodeOps *ops, void *user_data, WcCounters *counters)
{
  WcNode *node = g_new0 (WcNode, 1);

  assert (config != NULL);
  assert (config->incarnation != 0);
  assert (config->policy != NULL);
  assert (ops != NULL);
  assert (counters != NULL);

  node->config = *config;
  node->ops = ops;
  node->user_data = user_data;
  node->counters = counters;
  node->random = g_rand_new_with_seed (config->seed);
  wc_sealer_init (&node->sealer, config->nonce_prefix);
  node->ledger = wc_ledger_new (config->ledger_max_entries);
  node->answers = wc_answer_store_new (config->answers_max_bytes, config->answers_max);
  node->streams = wc_stream_table_new (config->stream_max_waiters);
  node->routes = wc_route_cache_new ();
  node->tokens = wc_token_cache_new (WC_NODE_TOKEN_CACHE_ENTRIES);
  node->requests = wc_request_table_new (config->requests_max);
  node->shards = g_hash_table_new_full (shard_key_hash, shard_key_equal, NULL, (GDestroyNotify)wc_shard_state_delete);
  wc_ticket_window_init (&node->tickets, config->ticket_lifetime_us, config->ledger_max_entries);
  node->next_serial = 1;
  return node;
}

void
wc_node_delete (WcNode *node)
{
  if (!node)
    return;
  g_hash_table_destroy (node->shards);
  wc_request_table_delete (node->requests);
  wc_stream_table_delete (node->streams);
  wc_answer_store_delete (node->answers);
  wc_ledger_delete (node->ledger);
  wc_route_cache_delete (node->routes);
  wc_token_cache_delete (node->tokens);
  wc_view_unref (node->view);
  g_rand_free (node->random);
  g_free (node);
}

void
wc_node_set_view (WcNode *node, uint64_t now_us, WcView *view)
{
  WcView        *old_view = node->view;
  WcLifecycle    old_lifecycle = old_view ? old_view->lifecycle : WC_LIFECYCLE_JOINING;
  bool           register_changed = !old_view || old_view->reg != view->reg;
  GHashTableIter iter;
  gpointer       value;

  assert (view != NULL);

  update_clock (node, now_us);
  node->view = wc_view_ref (view);
  /* Both views are referenced at this point, so equal pointers mean the same keyring. */
  if (!old_view || old_view->keyring != view->keyring)
    wc_token_cache_set_keyring (node->tokens, view->keyring);
  wc_route_cache_set_view (node->routes, view);
  wc_view_unref (old_view);
  if (register_changed && view->reg)
    {
      g_hash_table_iter_init (&iter, node->shards);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        wc_shard_state_update_targets (value, now_us, view->reg, node->config.domain);
      wc_node_feed_apply_view (node, now_us);
    }
  g_hash_table_iter_init (&iter, node->shards);
  while (view->reg && g_hash_table_iter_next (&iter, NULL, &value))
    wc_node_spill_apply_view (node, value);
  if (view->lifecycle >= WC_LIFECYCLE_DRAINING && old_lifecycle < WC_LIFECYCLE_DRAINING)
    answer_all_waiters (node);
  wc_node_run_dispatchers (node, now_us);
}

void
wc_node_set_wall_clock (WcNode *node, uint64_t wall_s)
{
  node->wall_s = wall_s;
}

void
wc_node_receive (WcNode *node, uint64_t now_us, const WcAddress *caller, const uint8_t *data, size_t size_bytes)
{
  WcNodePacket packet = { .now_us = now_us, .caller = *caller, .data = data, .size_bytes = size_bytes };

  wc_node_increment (node, WC_COUNTER_PACKETS_RECEIVED);
  update_clock (node, now_us);
  handle_datagram (node, &packet);
}

void
wc_node_receive_relay (WcNode *node, uint64_t now_us, const uint8_t *data, size_t size_bytes)
{
  WcNodePacket packet = { .now_us = now_us };
  uint8_t      arena_buffer[ARENA_BYTES];
  WcArena      arena;
  WcRelay      relay;

  update_clock (node, now_us);
  if (wc_backlog_report_matches (data, size_bytes))
    {
      wc_node_handle_report (node, now_us, data, size_bytes);
      return;
    }
  wc_node_increment (node, WC_COUNTER_RELAYS_RECEIVED);
  if (!node->view || !node->view->keyring)
    return;
  wc_arena_init (&arena, arena_buffer, sizeof arena_buffer);
  if (wc_relay_open (node->view->keyring, data, size_bytes, &arena, &relay) != WC_STATUS_OK)
    {
      wc_node_increment (node, WC_COUNTER_RELAYS_REJECTED);
      return;
    }
  packet.caller = relay.caller;
  packet.hops = relay.hops;
  packet.passed_from = relay.passed_from;
  packet.data = relay.packet;
  packet.size_bytes = relay.packet_bytes;
  handle_datagram (node, &packet);
}

bool
wc_node_attempt_sending (WcNode *node, uint64_t now_us, uint64_t attempt_id)
{
  WcRequest *request = wc_request_table_find (node->requests, attempt_id);

  update_clock (node, now_us);
  if (!request || request->state != WC_REQUEST_DISPATCHED)
    return false;
  if (!wc_node_may_dispatch (node, now_us) || now_us >= request->start_deadline_us ||
      !target_accepts_work (node, request))
    return false;
  request->sent = true;
  wc_node_increment (node, WC_COUNTER_REQUESTS_DISPATCHED);
  wc_node_record_event (node, WC_EVENT_DISPATCHED, request, NULL);
  return true;
}

bool
wc_node_attempt_data (WcNode *node, uint64_t now_us, uint64_t attempt_id, const uint8_t *data, size_t size_bytes)
{
  WcRequest *request = wc_request_table_find (node->requests, attempt_id);
  WcStatus   status;

  update_clock (node, now_us);
  if (!request || request->state != WC_REQUEST_DISPATCHED)
    return false;
  if (request->answer_dropped)
    return true;
  status = wc_answer_store_append (node->answers, request->answer, data, size_bytes);
  if (status == WC_STATUS_OK)
    return true;

  wc_node_increment (node, status == WC_STATUS_TOO_LARGE ? WC_COUNTER_ANSWERS_TOO_LARGE : WC_COUNTER_ANSWERS_NO_SPACE);
  if (request->kind == WC_REQUEST_ORDER)
    {
      /* The order is running and its status still has to be reported; only the body of the answer is discarded. */
      request->answer_dropped = true;
      return true;
    }
  wc_node_end_attempt (node, now_us, request, WC_OUTCOME_CANCELLED);
  if (request->kind == WC_REQUEST_FEED)
    wc_node_feed_ended (node, now_us, request);
  else
    wc_node_finish_request (node, now_us, request, WC__INSTANCE_PACKET__RESULT__BUSY,
                            status == WC_STATUS_TOO_LARGE ? "the answer is too large" : "no memory for the answer");
  wc_node_run_dispatchers (node, now_us);
  return false;
}

void
wc_node_attempt_done (WcNode *node, uint64_t now_us, uint64_t attempt_id, uint32_t http_status, uint32_t load_running,
                      uint64_t cursor)
{
  WcRequest    *request = wc_request_table_find (node->requests, attempt_id);
  WcShardState *state;
  uint64_t      expiry_us;

  update_clock (node, now_us);
  if (!request || request->state != WC_REQUEST_DISPATCHED)
    return;
  if (request->answer_dropped)
    {
      wc_answer_store_release (node->answers, request->answer);
      request->answer = 0;
    }
  expiry_us = MAX (now_us + node->config.answer_lifetime_us, request->start_deadline_us);
  if (request->kind != WC_REQUEST_ORDER)
    expiry_us = now_us + node->config.answer_lifetime_us;
  if (request->answer != 0)
    wc_answer_store_finish (node->answers, request->answer, http_status, expiry_us);

  if (request->kind == WC_REQUEST_FEED)
    {
      wc_node_feed_done (node, now_us, request, http_status, cursor);
      wc_node_run_dispatchers (node, now_us);
      return;
    }
  state = wc_node_get_shard (node, now_us, request->service, request->shard);
  if (load_running != UINT32_MAX)
    wc_dispatcher_set_reported_load (state->dispatcher, now_us, request->target, load_running);
  wc_node_end_attempt (node, now_us, request, WC_OUTCOME_DONE);
  wc_node_increment (node, WC_COUNTER_REQUESTS_DONE);
  if (request->kind == WC_REQUEST_POLL)
    wc_node_feed_done (node, now_us, request, http_status, cursor);
  else
    wc_node_finish_request (node, now_us, request, WC__INSTANCE_PACKET__RESULT__DONE, NULL);
  wc_node_run_dispatcher (node, now_us, state);
}

void
wc_node_attempt_ended (WcNode *node, uint64_t now_us, uint64_t attempt_id, WcAttemptEnd end)
{
  WcRequest *request = wc_request_table_find (node->requests, attempt_id);
  WcOutcome  outcome = end == WC_ATTEMPT_REFUSED ? WC_OUTCOME_REFUSED : WC_OUTCOME_FAILED;
  WcRefusal  refusal;

  assert (end < WC_ATTEMPT_END_COUNT);

  update_clock (node, now_us);
  if (!request || request->state != WC_REQUEST_DISPATCHED)
    return;
  wc_node_increment (node, end == WC_ATTEMPT_REFUSED ? WC_COUNTER_TARGET_REFUSALS : WC_COUNTER_TARGET_FAILURES);
  wc_node_record_event (node, end == WC_ATTEMPT_REFUSED ? WC_EVENT_TARGET_REFUSED : WC_EVENT_RETRIED, request,
                        WC_ATTEMPT_END_STRINGS[end]);
  if (request->kind == WC_REQUEST_FEED)
    {
      wc_node_feed_ended (node, now_us, request);
      return;
    }
  /* An attempt that was abandoned because the view changed does not count as a failure of the target. */
  if (end == WC_ATTEMPT_NOT_SENT && !target_accepts_work (node, request))
    outcome = WC_OUTCOME_CANCELLED;
  wc_node_end_attempt (node, now_us, request, outcome);
  if (end == WC_ATTEMPT_BROKEN && request->kind == WC_REQUEST_ORDER)
    {
      wc_node_finish_request (node, now_us, request, WC__INSTANCE_PACKET__RESULT__UNKNOWN,
                              "the target broke off the attempt");
    }
  else
    {
      wc_answer_store_release (node->answers, request->answer);
      request->answer = 0;
      request->sent = false;
      request->attempts++;
      wc_request_table_renew_handle (node->requests, request);
      refusal = wc_node_submit_request (node, now_us, request);
      if (refusal == WC_REFUSAL_NONE)
        wc_node_increment (node, WC_COUNTER_REQUESTS_RETRIED);
    }
  wc_node_run_dispatchers (node, now_us);
}

void
wc_node_tick (WcNode *node, uint64_t now_us)
{
  WcStreamWaiter waiter;

  update_clock (node, now_us);
  expire_requests (node, now_us);
  while (wc_stream_table_take_expired (node->streams, now_us, &waiter))
    wc_node_reply_parts (node, &waiter.caller, waiter.request_id, 0, 0, 1, waiter.cursor, NULL);
  wc_ledger_expire (node->ledger, now_us);
  wc_answer_store_expire (node->answers, now_us);
  wc_node_run_dispatchers (node, now_us);
  wc_node_feed_tick (node, now_us);
  wc_node_spill_tick (node, now_us);
}

bool
wc_node_is_idle (const WcNode *node, uint64_t now_us)
{
  return wc_request_table_get_count (node->requests) == 0 && wc_stream_table_get_count (node->streams) == 0 &&
         wc_answer_store_get_count (node->answers) == 0 && now_us >= node->tickets.last_expiry_us;
}

void
wc_node_get_stats (const WcNode *node, WcNodeStats *stats)
{
  GHashTableIter iter;
  gpointer       value;

  stats->requests = wc_request_table_get_count (node->requests);
  stats->queued = 0;
  g_hash_table_iter_init (&iter, node->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    stats->queued += (uint32_t)wc_dispatcher_get_queue_length (((WcShardState *)value)->dispatcher);
  stats->ledger_entries = wc_ledger_get_count (node->ledger);
  stats->answers = wc_answer_store_get_count (node->answers);
  stats->answer_bytes = wc_answer_store_get_bytes (node->answers);
  stats->waiters = wc_stream_table_get_count (node->streams);
}

WcShardState *
wc_node_get_shard (WcNode *node, uint64_t now_us, uint32_t service, uint32_t shard)
{
  WcShardState  key = { .service = service, .shard = shard };
  WcShardState *state = g_hash_table_lookup (node->shards, &key);

  if (state)
    return state;
  state = wc_shard_state_new (service, shard, &node->config, node->random);
  wc_shard_state_update_targets (state, now_us, node->view->reg, node->config.domain);
  g_hash_table_insert (node->shards, state, state);
  wc_node_spill_apply_view (node, state);
  return state;
}

void
wc_node_increment (WcNode *node, WcCounter counter)
{
  wc_counters_add (node->counters, counter, 1);
}

void
wc_node_record_event (WcNode *node, WcEventKind kind, const WcRequest *request, const char *reason)
{
  WcEvent event = { .kind = kind, .reason = reason };

  if (!node->ops->record)
    return;
  if (request)
    {
      event.service = request->service;
      event.target = request->target;
      event.flow = request->flow;
      event.request_id = request->request_id;
      event.value = request->attempts;
    }
  node->ops->record (node->user_data, &event);
}

uint64_t
wc_node_random64 (WcNode *node)
{
  return (uint64_t)g_rand_int (node->random) << 32 | g_rand_int (node->random);
}

bool
wc_node_may_dispatch (const WcNode *node, uint64_t now_us)
{
  if (!node->view || !node->view->reg)
    return false;
  if (node->view->lifecycle < WC_LIFECYCLE_SERVING || node->view->lifecycle == WC_LIFECYCLE_RECONFIRMING)
    return false;
  return node->resumed_us == 0 || node->view->confirmed_us > node->resumed_us ||
         now_us >= node->resumed_us + VIEW_CONFIRM_TIMEOUT_US;
}

/* local functions */

static void
update_clock (WcNode *node, uint64_t now_us)
{
  uint64_t last_us = node->last_clock_us;

  node->last_clock_us = MAX (last_us, now_us);
  if (last_us != 0 && now_us > last_us + PAUSE_THRESHOLD_US)
    {
      node->resumed_us = now_us;
      wc_node_increment (node, WC_COUNTER_PAUSES_DETECTED);
      wc_node_record_event (node, WC_EVENT_PAUSE_DETECTED, NULL,
                            "the process was paused for more than 1 s; requests wait until the view is confirmed");
    }
}

static void
handle_datagram (WcNode *node, WcNodePacket *packet)
{
  uint8_t           arena_buffer[ARENA_BYTES];
  WcArena           arena;
  Wc__CallerPacket *message;

  if (!node->view || !node->view->reg || !node->view->keyring || node->view->lifecycle == WC_LIFECYCLE_JOINING)
    return;
  wc_arena_init (&arena, arena_buffer, sizeof arena_buffer);
  message = wc__caller_packet__unpack (wc_arena_get_allocator (&arena), packet->size_bytes, packet->data);
  if (!message)
    {
      wc_node_increment (node, WC_COUNTER_PACKETS_MALFORMED);
      return;
    }
  packet->message = message;
  packet->service = wc_register_find_service (node->view->reg, message->service);
  if (!packet->service)
    {
      wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__INVALID,
                            "unknown service");
      return;
    }
  if (check_token (node, packet))
    wc_node_route (node, packet);
}

static bool
check_token (WcNode *node, WcNodePacket *packet)
{
  const Wc__CallerPacket *message = packet->message;
  const uint8_t          *sealed = message->token.data;
  WcStatus                status;
  uint32_t                epoch;

  /* OPEN has no token yet, and ORDER is authorized by its ticket. */
  if (message->kind == WC__CALLER_PACKET__KIND__OPEN || message->kind == WC__CALLER_PACKET__KIND__ORDER)
    return true;

  status = wc_token_cache_open (node->tokens, node->wall_s, sealed, message->token.len, &packet->token);
  if (status != WC_STATUS_OK)
    {
      wc_node_increment (node, WC_COUNTER_TOKENS_REJECTED);
      wc_node_reply_result (node, &packet->caller, message->request_id,
                            status == WC_STATUS_EXPIRED || status == WC_STATUS_UNKNOWN_KEY
                                ? WC__INSTANCE_PACKET__RESULT__EXPIRED_TOKEN
                                : WC__INSTANCE_PACKET__RESULT__INVALID,
                            "the token is not valid");
      return false;
    }
  if (packet->token.service != message->service)
    {
      wc_node_increment (node, WC_COUNTER_SERVICE_MISMATCHES);
      wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__INVALID,
                            "the token belongs to another service");
      return false;
    }
  epoch = (uint32_t)sealed[0] << 24 | (uint32_t)sealed[1] << 16 | (uint32_t)sealed[2] << 8 | sealed[3];
  packet->token_needs_renewal = epoch != wc_keyring_get_newest_epoch (node->view->keyring) ||
                                packet->token.expiry_wall_s < node->wall_s + node->config.token_life_s / 2;
  return true;
}

static void
expire_requests (WcNode *node, uint64_t now_us)
{
  WcRequest *request;

  while ((request = wc_request_table_next_expired (node->requests, now_us)) != NULL)
    if (request->kind == WC_REQUEST_FEED)
      {
        node->ops->cancel (node->user_data, request->handle);
        wc_node_feed_ended (node, now_us, request);
      }
    else
      {
        wc_node_stop_request (node, now_us, request, "the deadline has passed");
      }
}

/* Answers all waiters without events, so that the callers poll again and reach another instance. */
static void
answer_all_waiters (WcNode *node)
{
  WcStreamWaiter waiter;

  while (wc_stream_table_take_expired (node->streams, UINT64_MAX, &waiter))
    wc_node_reply_parts (node, &waiter.caller, waiter.request_id, 0, 0, 1, waiter.cursor, NULL);
}

static bool
target_accepts_work (const WcNode *node, const WcRequest *request)
{
  const WcTarget *target = node->view->reg ? wc_register_find_target (node->view->reg, request->target) : NULL;

  return target && !target->leaving && target->service == request->service;
}

static gboolean
shard_key_equal (gconstpointer a, gconstpointer b)
{
  const WcShardState *key_a = a;
  const WcShardState *key_b = b;

  return key_a->service == key_b->service && key_a->shard == key_b->shard;
}

static guint
shard_key_hash (gconstpointer key)
{
  const WcShardState *state = key;

  return state->service * 2654435761u + state->shard;
}
