#include "core/node_private.h"

#include <string.h>

static void            start_feed_poll (WcNode *node, uint64_t now_us, WcShardState *state, uint64_t after);
static const WcTarget *choose_feed_target (WcNode *node, uint32_t service);
static void            add_waiter (WcNode *node, const WcRequest *request);
static void answer_waiters (WcNode *node, uint64_t now_us, WcShardState *state, const WcRequest *feed, uint64_t cursor);
static void submit_poll (WcNode *node, uint64_t now_us, const WcStreamWaiter *waiter);
static void set_poll_path (WcRequest *request);

void
wc_node_handle_poll (WcNode *node, const WcNodePacket *packet)
{
  const Wc__CallerPacket *message = packet->message;
  WcShardState           *state = wc_node_get_shard (node, packet->now_us, message->service, 0);
  WcRequest              *request = wc_request_table_find_by_id (node->requests, message->request_id);

  if (request)
    {
      request->caller = packet->caller;
      return;
    }
  if (node->view->lifecycle >= WC_LIFECYCLE_DRAINING)
    {
      wc_node_reply_parts (node, &packet->caller, message->request_id, 0, 0, 1, message->cursor, NULL);
      return;
    }
  request = wc_node_accept_request (node, packet, WC_REQUEST_POLL, 0);
  if (!request)
    return;
  set_poll_path (request);
  if (state->feed_cursor != 0 && message->cursor >= state->feed_cursor)
    {
      add_waiter (node, request);
      wc_request_table_remove (node->requests, request);
      return;
    }
  if (wc_node_submit_request (node, packet->now_us, request) == WC_REFUSAL_NONE)
    wc_node_run_dispatcher (node, packet->now_us, state);
}

void
wc_node_feed_tick (WcNode *node, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer       value;
  uint64_t       after;

  if (!wc_node_may_dispatch (node, now_us) || node->view->lifecycle >= WC_LIFECYCLE_DRAINING)
    return;
  g_hash_table_iter_init (&iter, node->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      WcShardState *state = value;

      if (state->shard != 0 || state->feed_handle != 0 || now_us < state->feed_retry_us)
        continue;
      if (wc_stream_table_get_lowest_cursor (node->streams, state->service, &after))
        start_feed_poll (node, now_us, state, MAX (after, state->feed_cursor));
    }
}

/* Handles the complete answer to the node's long poll of the event feed (FEED) or to the poll of one caller (POLL). */
void
wc_node_feed_done (WcNode *node, uint64_t now_us, WcRequest *request, uint32_t http_status, uint64_t cursor)
{
  WcShardState *state = wc_node_get_shard (node, now_us, request->service, request->shard);

  if (request->kind == WC_REQUEST_POLL)
    {
      if (http_status == 200 && cursor > request->cursor)
        {
          request->cursor = cursor;
          wc_node_finish_request (node, now_us, request, WC__INSTANCE_PACKET__RESULT__DONE, NULL);
          return;
        }
      if (http_status != 200)
        {
          wc_node_finish_request (node, now_us, request, WC__INSTANCE_PACKET__RESULT__BUSY, "the event feed failed");
          return;
        }
      state->feed_cursor = MAX (state->feed_cursor, cursor);
      add_waiter (node, request);
      wc_answer_store_release (node->answers, request->answer);
      wc_request_table_remove (node->requests, request);
      return;
    }
  if (http_status != 200)
    {
      wc_node_feed_ended (node, now_us, request);
      return;
    }
  state->feed_handle = 0;
  if (cursor > state->feed_cursor)
    {
      state->feed_cursor = cursor;
      answer_waiters (node, now_us, state, request, cursor);
    }
  else
    {
      wc_answer_store_release (node->answers, request->answer);
    }
  wc_request_table_remove (node->requests, request);
}

void
wc_node_feed_ended (WcNode *node, uint64_t now_us, WcRequest *request)
{
  WcShardState *state = wc_node_get_shard (node, now_us, request->service, request->shard);

  wc_answer_store_release (node->answers, request->answer);
  state->feed_handle = 0;
  state->feed_retry_us = now_us + WC_NODE_FEED_RETRY_US;
  wc_request_table_remove (node->requests, request);
}

/* Ends the long polls at targets that are leaving, so that they restart at another target. */
void
wc_node_feed_apply_view (WcNode *node, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer       value;

  g_hash_table_iter_init (&iter, node->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      WcShardState   *state = value;
      WcRequest      *request = wc_request_table_find (node->requests, state->feed_handle);
      const WcTarget *target;

      if (!request)
        continue;
      target = wc_register_find_target (node->view->reg, request->target);
      if (target && !target->leaving)
        continue;
      node->ops->cancel (node->user_data, request->handle);
      wc_node_feed_ended (node, now_us, request);
      state->feed_retry_us = now_us;
    }
}

/* local functions */

static void
start_feed_poll (WcNode *node, uint64_t now_us, WcShardState *state, uint64_t after)
{
  const WcTarget  *target = choose_feed_target (node, state->service);
  const WcService *service = wc_register_find_service (node->view->reg, state->service);
  WcRequest       *request;
  WcAttempt        attempt;

  state->feed_retry_us = now_us + WC_NODE_FEED_RETRY_US;
  if (!target || !service)
    return;
  request = wc_request_table_add (node->requests, 0);
  if (!request)
    return;
  request->kind = WC_REQUEST_FEED;
  request->service = state->service;
  request->shard = state->shard;
  request->target = target->id;
  request->cursor = after;
  request->state = WC_REQUEST_DISPATCHED;
  request->dispatched_us = now_us;
  request->answer = wc_node_random64 (node) | 1;
  g_strlcpy (request->method, "GET", sizeof request->method);
  g_snprintf (request->path, sizeof request->path, "/events?after=%" G_GUINT64_FORMAT "&wait_ms=%u", after,
              WC_NODE_FEED_WAIT_MS);
  wc_request_table_set_deadline (node->requests, request, now_us + 2 * (uint64_t)WC_NODE_FEED_WAIT_MS * 1000);
  request->start_deadline_us = request->deadline_us;
  if (wc_answer_store_begin (node->answers, now_us, request->answer, service->answer_max_bytes) != WC_STATUS_OK)
    {
      wc_request_table_remove (node->requests, request);
      return;
    }
  state->feed_handle = request->handle;
  state->feed_after = after;
  state->feed_retry_us = now_us;
  attempt = (WcAttempt){
    .id = request->handle,
    .target = target,
    .service_name = service->name,
    .method = request->method,
    .path = request->path,
    .remaining_ms = 2 * WC_NODE_FEED_WAIT_MS,
    .idempotent = true,
  };
  node->ops->dispatch (node->user_data, &attempt);
}

static const WcTarget *
choose_feed_target (WcNode *node, uint32_t service)
{
  size_t          count;
  const WcTarget *targets = wc_register_get_service_targets (node->view->reg, service, node->config.domain, &count);
  size_t          start;

  if (count == 0)
    return NULL;
  start = g_rand_int (node->random) % count;
  for (size_t i = 0; i < count; i++)
    if (!targets[(start + i) % count].leaving)
      return &targets[(start + i) % count];
  return NULL;
}

static void
add_waiter (WcNode *node, const WcRequest *request)
{
  WcStreamWaiter waiter = {
    .service = request->service,
    .request_id = request->request_id,
    .cursor = request->cursor,
    .deadline_us = request->deadline_us,
    .caller = request->caller,
  };

  if (wc_stream_table_add (node->streams, &waiter) != WC_STATUS_OK)
    wc_node_reply_result (node, &request->caller, request->request_id, WC__INSTANCE_PACKET__RESULT__BUSY,
                          "too many waiting callers");
}

static void
answer_waiters (WcNode *node, uint64_t now_us, WcShardState *state, const WcRequest *feed, uint64_t cursor)
{
  WcStreamWaiter waiter;

  while (wc_stream_table_take_ready (node->streams, state->service, cursor, &waiter))
    {
      if (waiter.cursor == feed->cursor)
        wc_node_reply_parts (node, &waiter.caller, waiter.request_id, feed->answer, 0, WC_NODE_INITIAL_PARTS, cursor,
                             NULL);
      else
        submit_poll (node, now_us, &waiter);
    }
}

/* Polls the target for a caller whose cursor is older than that of the long poll. */
static void
submit_poll (WcNode *node, uint64_t now_us, const WcStreamWaiter *waiter)
{
  WcRequest *request = wc_request_table_add (node->requests, waiter->request_id);

  if (!request)
    {
      wc_node_reply_result (node, &waiter->caller, waiter->request_id, WC__INSTANCE_PACKET__RESULT__BUSY,
                            "too many requests");
      return;
    }
  request->kind = WC_REQUEST_POLL;
  request->caller = waiter->caller;
  request->service = waiter->service;
  request->cursor = waiter->cursor;
  request->token_domain = node->config.domain;
  wc_request_table_set_deadline (node->requests, request, waiter->deadline_us);
  request->start_deadline_us = waiter->deadline_us;
  set_poll_path (request);
  wc_node_submit_request (node, now_us, request);
}

static void
set_poll_path (WcRequest *request)
{
  g_strlcpy (request->method, "GET", sizeof request->method);
  g_snprintf (request->path, sizeof request->path, "/events?after=%" G_GUINT64_FORMAT "&wait_ms=0", request->cursor);
  request->body_bytes = 0;
}
