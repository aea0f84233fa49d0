#include "core/node_private.h"

#include <string.h>

static bool copy_http_request (WcRequest *request, const Wc__CallerPacket *message);
static void start_attempt (WcNode *node, uint64_t now_us, WcRequest *request, uint32_t target_id);
static void reject_request (WcNode *node, uint64_t now_us, WcRequest *request, WcRefusal refusal);
static void reply_answer (WcNode *node, uint64_t now_us, WcRequest *request);
static bool needs_new_target (const WcNode *node, const WcRequest *request);
static bool make_renewed_token (const WcNode *node, const WcRequest *request, WcToken *token);

void
wc_node_handle_request (WcNode *node, const WcNodePacket *packet, uint32_t shard)
{
  WcRequest *request = wc_request_table_find_by_id (node->requests, packet->message->request_id);

  if (request)
    {
      request->caller = packet->caller;
      return;
    }
  if (wc_node_spill_request (node, packet, shard))
    return;
  request = wc_node_accept_request (node, packet, WC_REQUEST_IDEMPOTENT, shard);
  if (!request)
    return;
  if (wc_node_submit_request (node, packet->now_us, request) == WC_REFUSAL_NONE)
    wc_node_run_dispatcher (node, packet->now_us, wc_node_get_shard (node, packet->now_us, request->service, shard));
}

void
wc_node_handle_cancel (WcNode *node, const WcNodePacket *packet, uint32_t shard)
{
  const Wc__CallerPacket *message = packet->message;
  WcRequest              *request;

  if (message->answer)
    {
      wc_answer_store_release (node->answers, message->answer->answer);
      return;
    }
  request = wc_request_table_find_by_id (node->requests, message->request_id);
  if (!request && wc_node_spill_cancel (node, packet, shard))
    return;
  if (!request || request->service != message->service)
    return;
  wc_node_stop_request (node, packet->now_us, request, "cancelled by the caller");
  wc_node_run_dispatchers (node, packet->now_us);
}

/* Ends a queued or running request. The outcome of an order is unknown if a byte of it may have been sent to a target.
 */
void
wc_node_stop_request (WcNode *node, uint64_t now_us, WcRequest *request, const char *reason)
{
  Wc__InstancePacket__Result result = WC__INSTANCE_PACKET__RESULT__BUSY;

  if (request->kind == WC_REQUEST_ORDER)
    result = request->state == WC_REQUEST_DISPATCHED && request->sent ? WC__INSTANCE_PACKET__RESULT__UNKNOWN
                                                                      : WC__INSTANCE_PACKET__RESULT__NOT_RUN;
  if (request->state == WC_REQUEST_DISPATCHED)
    {
      node->ops->cancel (node->user_data, request->handle);
      wc_node_end_attempt (node, now_us, request, WC_OUTCOME_CANCELLED);
    }
  else
    {
      wc_dispatcher_remove (wc_node_get_shard (node, now_us, request->service, request->shard)->dispatcher,
                            request->handle);
    }
  wc_node_finish_request (node, now_us, request, result, reason);
}

WcRequest *
wc_node_accept_request (WcNode *node, const WcNodePacket *packet, WcRequestKind kind, uint32_t shard)
{
  const Wc__CallerPacket *message = packet->message;
  uint32_t                remaining_ms = message->remaining_ms;
  WcRequest              *request = wc_request_table_add (node->requests, message->request_id);

  if (!request)
    {
      if (kind != WC_REQUEST_ORDER)
        wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__BUSY,
                              "too many requests");
      return NULL;
    }
  if (!copy_http_request (request, message))
    {
      wc_request_table_remove (node->requests, request);
      if (kind != WC_REQUEST_ORDER)
        wc_node_reply_result (node, &packet->caller, message->request_id, WC__INSTANCE_PACKET__RESULT__INVALID,
                              "method, path or body is malformed or too long");
      return NULL;
    }
  if (remaining_ms == 0)
    remaining_ms = packet->service->default_deadline_ms;
  remaining_ms = MIN (remaining_ms, WC_NODE_MAX_REMAINING_MS);
  request->kind = kind;
  request->caller = packet->caller;
  request->service = packet->service->id;
  request->shard = shard;
  request->customer = packet->token.customer;
  request->flow = packet->token.flow;
  request->cursor = message->cursor;
  request->token_domain = packet->token.domain;
  request->renew_token = packet->token_needs_renewal;
  request->spilled = packet->passed_from != 0;
  if (packet->service->affinity == WC_AFFINITY_SESSION && packet->token.domain == node->config.domain)
    request->preferred_target = packet->token.target;
  wc_request_table_set_deadline (node->requests, request, packet->now_us + (uint64_t)remaining_ms * 1000);
  request->start_deadline_us = request->deadline_us;
  return request;
}

WcRefusal
wc_node_submit_request (WcNode *node, uint64_t now_us, WcRequest *request)
{
  WcShardState     *state = wc_node_get_shard (node, now_us, request->service, request->shard);
  const WcCustomer *customer = wc_register_find_customer (node->view->reg, request->customer);
  WcDispatchRequest entry = {
    .request = request->handle,
    .deadline_us = request->start_deadline_us,
    .worth = customer ? customer->worth : WC_NODE_DEFAULT_WORTH,
    .preferred_target = request->preferred_target,
    .attempts = request->attempts,
    .flow_hash = (uint32_t)request->flow,
    .non_idempotent = request->kind == WC_REQUEST_ORDER,
  };
  WcRefusal refusal;

  request->state = WC_REQUEST_QUEUED;
  if (request->kind == WC_REQUEST_ORDER)
    wc_ledger_find (node->ledger, request->serial)->state = WC_LEDGER_QUEUED;
  refusal = wc_dispatcher_submit (state->dispatcher, now_us, &entry);
  if (refusal != WC_REFUSAL_NONE)
    reject_request (node, now_us, request, refusal);
  return refusal;
}

void
wc_node_finish_request (WcNode *node, uint64_t now_us, WcRequest *request, Wc__InstancePacket__Result result,
                        const char *reason)
{
  if (request->kind == WC_REQUEST_ORDER)
    wc_node_record_order_result (node, request, result);

  if (result == WC__INSTANCE_PACKET__RESULT__DONE)
    {
      wc_node_record_event (node, WC_EVENT_ANSWERED, request, NULL);
      reply_answer (node, now_us, request);
    }
  else
    {
      wc_answer_store_release (node->answers, request->answer);
      if (result == WC__INSTANCE_PACKET__RESULT__BUSY)
        {
          wc_node_increment (node, WC_COUNTER_REFUSED_BUSY);
          wc_node_record_event (node, WC_EVENT_REFUSED_BUSY, request, reason);
        }
      wc_node_reply_result (node, &request->caller, request->request_id, result, reason);
    }
  wc_request_table_remove (node->requests, request);
}

void
wc_node_run_dispatcher (WcNode *node, uint64_t now_us, WcShardState *state)
{
  WcDispatchDecision decision;

  if (!wc_node_may_dispatch (node, now_us))
    return;
  while (wc_dispatcher_next (state->dispatcher, now_us, &decision))
    {
      WcRequest *request = wc_request_table_find (node->requests, decision.request);

      if (!request)
        {
          if (decision.refusal == WC_REFUSAL_NONE)
            wc_dispatcher_end_attempt (state->dispatcher, now_us, decision.target, WC_OUTCOME_CANCELLED, 0);
          continue;
        }
      if (decision.refusal != WC_REFUSAL_NONE)
        reject_request (node, now_us, request, decision.refusal);
      else
        start_attempt (node, now_us, request, decision.target);
    }
}

void
wc_node_run_dispatchers (WcNode *node, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer       value;

  if (!wc_node_may_dispatch (node, now_us))
    return;
  g_hash_table_iter_init (&iter, node->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    wc_node_run_dispatcher (node, now_us, value);
}

void
wc_node_end_attempt (WcNode *node, uint64_t now_us, WcRequest *request, WcOutcome outcome)
{
  WcShardState *state;

  if (request->kind == WC_REQUEST_FEED)
    return;
  state = wc_node_get_shard (node, now_us, request->service, request->shard);
  wc_dispatcher_end_attempt (state->dispatcher, now_us, request->target, outcome, now_us - request->dispatched_us);
}

/* local functions */

static bool
copy_http_request (WcRequest *request, const Wc__CallerPacket *message)
{
  const char *method = message->method[0] != '\0' ? message->method : "GET";

  if (strlen (method) >= sizeof request->method || strlen (message->path) >= sizeof request->path ||
      message->body.len > sizeof request->body)
    return false;
  /* Method and path are copied into the HTTP request line, so only printable ASCII without blanks is accepted. */
  for (const char *c = method; *c != '\0'; c++)
    if (!g_ascii_isupper (*c))
      return false;
  for (const char *c = message->path; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c))
      return false;
  if (message->path[0] != '\0' && message->path[0] != '/')
    return false;

  g_strlcpy (request->method, method, sizeof request->method);
  g_strlcpy (request->path, message->path[0] != '\0' ? message->path : "/", sizeof request->path);
  request->body_bytes = (uint16_t)message->body.len;
  if (message->body.len > 0)
    memcpy (request->body, message->body.data, message->body.len);
  return true;
}

static void
start_attempt (WcNode *node, uint64_t now_us, WcRequest *request, uint32_t target_id)
{
  const WcTarget  *target = wc_register_find_target (node->view->reg, target_id);
  const WcService *service = wc_register_find_service (node->view->reg, request->service);
  WcAttempt        attempt;

  request->target = target_id;
  request->dispatched_us = now_us;
  request->state = WC_REQUEST_DISPATCHED;
  request->sent = false;
  request->answer = wc_node_random64 (node) | 1;
  if (!target || !service || target->service != request->service || now_us >= request->start_deadline_us ||
      wc_answer_store_begin (node->answers, now_us, request->answer, service->answer_max_bytes) != WC_STATUS_OK)
    {
      request->answer = 0;
      wc_node_end_attempt (node, now_us, request, WC_OUTCOME_CANCELLED);
      request->state = WC_REQUEST_QUEUED;
      reject_request (node, now_us, request, target && service ? WC_REFUSAL_QUEUE_FULL : WC_REFUSAL_NO_TARGET);
      return;
    }
  attempt = (WcAttempt){
    .id = request->handle,
    .target = target,
    .service_name = service->name,
    .method = request->method,
    .path = request->path,
    .body = request->body,
    .body_bytes = request->body_bytes,
    .request_id = request->request_id,
    .remaining_ms = (uint32_t)((request->deadline_us - now_us) / 1000),
    .idempotent = request->kind != WC_REQUEST_ORDER,
  };
  if (request->kind == WC_REQUEST_ORDER)
    {
      WcLedgerEntry *entry = wc_ledger_find (node->ledger, request->serial);

      entry->state = WC_LEDGER_DISPATCHED;
    }
  node->ops->dispatch (node->user_data, &attempt);
}

static void
reject_request (WcNode *node, uint64_t now_us, WcRequest *request, WcRefusal refusal)
{
  wc_node_finish_request (node, now_us, request,
                          request->kind == WC_REQUEST_ORDER ? WC__INSTANCE_PACKET__RESULT__NOT_RUN
                                                            : WC__INSTANCE_PACKET__RESULT__BUSY,
                          WC_REFUSAL_STRINGS[refusal]);
}

static void
reply_answer (WcNode *node, uint64_t now_us, WcRequest *request)
{
  uint32_t http_status;
  uint32_t total_bytes;
  uint32_t part_count = 0;
  WcToken  token;
  bool     has_token = make_renewed_token (node, request, &token);

  (void)now_us;
  if (has_token)
    {
      wc_node_increment (node, WC_COUNTER_FLOWS_MOVED);
      wc_node_record_event (node, WC_EVENT_FLOW_MOVED, request,
                            request->token_domain != node->config.domain ? "answered in another failure domain"
                            : needs_new_target (node, request)           ? "the preferred target is out of service"
                                                                         : "the token was due for renewal");
    }
  wc_node_reply_parts (node, &request->caller, request->request_id, request->answer, 0, WC_NODE_INITIAL_PARTS,
                       request->cursor, has_token ? &token : NULL);
  if (request->kind == WC_REQUEST_ORDER)
    return;
  /* If the only part of an answer is lost, the caller retransmits the idempotent request, so the answer need not be
   * stored.
   */
  if (wc_answer_store_get_info (node->answers, request->answer, &http_status, &total_bytes, &part_count) &&
      part_count <= 1)
    wc_answer_store_release (node->answers, request->answer);
}

/* Whether the flow needs another preferred target. A target that is only busy is kept: moving flows to whichever target
 * answered would undo the even spread of new flows. */
static bool
needs_new_target (const WcNode *node, const WcRequest *request)
{
  const WcTarget *target = wc_register_find_target (node->view->reg, request->preferred_target);

  return !target || target->leaving || target->weight == 0 || target->service != request->service ||
         target->domain != node->config.domain;
}

static bool
make_renewed_token (const WcNode *node, const WcRequest *request, WcToken *token)
{
  const WcService *service = wc_register_find_service (node->view->reg, request->service);
  bool             session = service && service->affinity == WC_AFFINITY_SESSION;

  if (request->kind == WC_REQUEST_ORDER || request->flow == 0)
    return false;
  /* A flow whose request was spilled keeps its domain and target, because the overload there is only temporary. */
  if (!request->renew_token && !(session && !request->spilled &&
                                 (request->token_domain != node->config.domain || needs_new_target (node, request))))
    return false;
  *token = (WcToken){
    .service = request->service,
    .customer = request->customer,
    .domain = node->config.domain,
    .target = request->token_domain != node->config.domain || needs_new_target (node, request)
                  ? request->target
                  : request->preferred_target,
    .owner = node->config.instance,
    .incarnation = node->config.incarnation,
    .worker = node->config.worker,
    .expiry_wall_s = node->wall_s + node->config.token_life_s,
    .flow = request->flow,
  };
  return true;
}
