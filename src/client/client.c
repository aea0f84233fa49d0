#include <wigeoncart/client.h>

#include <assert.h>
#include <string.h>

#include "client/client_private.h"

const char *const WC_CLIENT_RESULT_STRINGS[WC_CLIENT_RESULT_COUNT] = {
  [WC_CLIENT_DONE] = "done",           [WC_CLIENT_DONE_INCOMPLETE] = "done_incomplete",
  [WC_CLIENT_NOT_RUN] = "not_run",     [WC_CLIENT_UNKNOWN] = "unknown",
  [WC_CLIENT_BUSY] = "busy",           [WC_CLIENT_INVALID] = "invalid",
  [WC_CLIENT_TIMED_OUT] = "timed_out",
};

static int      compare_timers (const void *a, const void *b, void *unused);
static uint64_t next_handle (WcClient *client);
static uint64_t start_call (WcClient *client, uint64_t now_us, uint64_t flow_id, const WcClientRequest *request,
                            WcCallKind kind, WcError *error);
static void     free_flow (void *flow);

void
wc_client_config_init (WcClientConfig *config)
{
  assert (config != NULL);

  *config = (WcClientConfig){
    .control_retransmit_us = 100000,
    .retransmit_us = 250000,
    .fetch_retransmit_us = 60000,
    .retransmit_max_us = 1000000,
    .holder_timeout_us = 1500000,
    .poll_wait_us = 2000000,
    .poll_retransmit_us = 700000,
    .answer_max_bytes = 8 << 20,
    .reroute_budget = 30,
    .reroute_percent = 20,
    .busy_limit = 4,
  };
}

WcClient *
wc_client_new (const WcClientConfig *config, const uint32_t seed[WC_CLIENT_SEED_WORDS], const WcClientOps *ops,
               void *user_data)
{
  WcClient *client = g_new0 (WcClient, 1);

  assert (config != NULL);
  assert (ops != NULL && ops->send != NULL && ops->finished != NULL);

  client->config = *config;
  client->ops = *ops;
  client->user_data = user_data;
  client->reroute_credit_hundredths = (uint64_t)config->reroute_budget * 100;
  client->random = g_rand_new_with_seed_array (seed, WC_CLIENT_SEED_WORDS);
  client->timers = g_tree_new_full (compare_timers, NULL, NULL, NULL);
  client->flows = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  client->openings = g_hash_table_new (g_int64_hash, g_int64_equal);
  return client;
}

void
wc_client_delete (WcClient *client)
{
  GHashTableIter iter;
  void          *value;

  if (!client)
    return;
  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_hash_table_iter_steal (&iter);
      wc_client_call_delete (client, value);
    }
  g_hash_table_iter_init (&iter, client->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_hash_table_iter_steal (&iter);
      free_flow (value);
    }
  g_hash_table_destroy (client->openings);
  g_hash_table_destroy (client->requests);
  g_hash_table_destroy (client->calls);
  g_hash_table_destroy (client->flows);
  g_tree_destroy (client->timers);
  g_rand_free (client->random);
  g_free (client);
}

void
wc_client_receive (WcClient *client, uint64_t now_us, const uint8_t *data, size_t size_bytes)
{
  Wc__InstancePacket *packet;
  WcClientFlow       *flow;
  WcClientCall       *call;

  assert (client != NULL);

  packet = wc__instance_packet__unpack (NULL, size_bytes, data);
  if (!packet)
    return;
  flow = g_hash_table_lookup (client->openings, &packet->request_id);
  call = g_hash_table_lookup (client->requests, &packet->request_id);
  if (flow)
    wc_client_flow_opened (client, now_us, flow, packet);
  else if (call)
    wc_client_call_receive (client, now_us, call, packet);
  wc__instance_packet__free_unpacked (packet, NULL);
}

uint64_t
wc_client_get_due_us (const WcClient *client)
{
  GTreeNode *node;

  assert (client != NULL);

  node = g_tree_node_first (client->timers);
  return node ? ((const WcClientTimer *)g_tree_node_key (node))->due_us : UINT64_MAX;
}

void
wc_client_tick (WcClient *client, uint64_t now_us)
{
  GTreeNode *node;

  assert (client != NULL);

  while ((node = g_tree_node_first (client->timers)) != NULL)
    {
      WcClientTimer *timer = g_tree_node_key (node);

      if (timer->due_us > now_us)
        return;
      wc_client_disarm (client, timer);
      if (timer->is_flow)
        wc_client_flow_timer_expired (client, now_us, (WcClientFlow *)timer);
      else
        wc_client_call_timer_expired (client, now_us, (WcClientCall *)timer);
    }
}

uint64_t
wc_client_open (WcClient *client, uint64_t now_us, const char *service, const char *customer)
{
  WcClientFlow *flow;

  assert (client != NULL);
  assert (service != NULL && customer != NULL);

  flow = wc_client_flow_new (client, service, customer);
  flow->id = next_handle (client);
  g_hash_table_insert (client->flows, &flow->id, flow);
  wc_client_flow_reopen (client, now_us, flow);
  return flow->id;
}

void
wc_client_close (WcClient *client, uint64_t now_us, uint64_t flow_id)
{
  WcClientFlow  *flow;
  GHashTableIter iter;
  void          *call;

  assert (client != NULL);
  (void)now_us;

  flow = g_hash_table_lookup (client->flows, &flow_id);
  if (!flow)
    return;
  g_hash_table_iter_init (&iter, flow->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      wc_client_call_cancel (client, call);
      g_hash_table_iter_init (&iter, flow->calls);
    }
  g_hash_table_remove (client->flows, &flow_id);
  wc_client_flow_delete (client, flow);
}

uint64_t
wc_client_request (WcClient *client, uint64_t now_us, uint64_t flow, const WcClientRequest *request, WcError *error)
{
  return start_call (client, now_us, flow, request, WC_CALL_REQUEST, error);
}

uint64_t
wc_client_order (WcClient *client, uint64_t now_us, uint64_t flow, const WcClientRequest *request, WcError *error)
{
  return start_call (client, now_us, flow, request, WC_CALL_ORDER, error);
}

uint64_t
wc_client_poll (WcClient *client, uint64_t now_us, uint64_t flow_id, uint64_t cursor, WcError *error)
{
  WcClientFlow *flow;
  WcClientCall *call;

  assert (client != NULL);

  flow = g_hash_table_lookup (client->flows, &flow_id);
  if (!flow)
    {
      wc_error_set (error, WC_STATUS_NOT_FOUND, "the flow does not exist");
      return 0;
    }
  call = wc_client_call_new (client, flow, WC_CALL_POLL);
  call->id = next_handle (client);
  call->cursor = cursor;
  call->deadline_us = UINT64_MAX;
  call->answer_max_bytes = client->config.answer_max_bytes;
  g_hash_table_insert (client->calls, &call->id, call);
  wc_client_call_start (client, now_us, call);
  return call->id;
}

WcClientResult
wc_client_cancel (WcClient *client, uint64_t now_us, uint64_t call_id)
{
  WcClientCall *call;

  assert (client != NULL);
  (void)now_us;

  call = g_hash_table_lookup (client->calls, &call_id);
  return call ? wc_client_call_cancel (client, call) : WC_CLIENT_TIMED_OUT;
}

uint64_t
wc_client_get_request_id (const WcClient *client, uint64_t call_id)
{
  const WcClientCall *call;

  assert (client != NULL);

  call = g_hash_table_lookup (client->calls, &call_id);
  return call ? call->request_id : 0;
}

size_t
wc_client_get_call_count (const WcClient *client)
{
  assert (client != NULL);

  return g_hash_table_size (client->calls);
}

uint64_t
wc_client_generate_id (WcClient *client)
{
  uint64_t id;

  do
    id = (uint64_t)g_rand_int (client->random) << 32 | g_rand_int (client->random);
  while (id == 0 || g_hash_table_contains (client->requests, &id) || g_hash_table_contains (client->openings, &id));
  return id;
}

void
wc_client_arm (WcClient *client, WcClientTimer *timer, uint64_t due_us)
{
  wc_client_disarm (client, timer);
  timer->due_us = due_us;
  timer->serial = ++client->last_serial;
  timer->armed = true;
  g_tree_insert (client->timers, timer, timer);
}

void
wc_client_disarm (WcClient *client, WcClientTimer *timer)
{
  if (!timer->armed)
    return;
  g_tree_remove (client->timers, timer);
  timer->armed = false;
}

uint64_t
wc_client_backoff (WcClient *client, uint64_t first_us, uint32_t send_count)
{
  uint64_t wait_us = first_us;

  for (uint32_t i = 0; i < send_count && wait_us < client->config.retransmit_max_us; i++)
    wait_us *= 2;
  if (wait_us > client->config.retransmit_max_us)
    wait_us = client->config.retransmit_max_us;
  /* The jitter spreads the retransmissions of callers that lost packets at the same moment. */
  return (uint64_t)((double)wait_us * g_rand_double_range (client->random, 0.75, 1.25));
}

void
wc_client_send_packet (WcClient *client, const Wc__CallerPacket *packet)
{
  uint8_t data[WC_DATAGRAM_MAX_BYTES];
  size_t  size_bytes = wc__caller_packet__get_packed_size (packet);

  assert (size_bytes <= sizeof data);

  wc__caller_packet__pack (packet, data);
  client->ops.send (client->user_data, data, size_bytes);
}

/* local functions */

static int
compare_timers (const void *a, const void *b, void *unused)
{
  const WcClientTimer *x = a;
  const WcClientTimer *y = b;

  (void)unused;
  if (x->due_us != y->due_us)
    return x->due_us < y->due_us ? -1 : 1;
  if (x->serial != y->serial)
    return x->serial < y->serial ? -1 : 1;
  return 0;
}

static uint64_t
next_handle (WcClient *client)
{
  return ++client->last_handle;
}

static uint64_t
start_call (WcClient *client, uint64_t now_us, uint64_t flow_id, const WcClientRequest *request, WcCallKind kind,
            WcError *error)
{
  WcClientFlow *flow;
  WcClientCall *call;

  assert (client != NULL);
  assert (request != NULL && request->method != NULL && request->path != NULL);

  flow = g_hash_table_lookup (client->flows, &flow_id);
  if (!flow)
    {
      wc_error_set (error, WC_STATUS_NOT_FOUND, "the flow does not exist");
      return 0;
    }
  call = wc_client_call_new (client, flow, kind);
  call->method = g_strdup (request->method);
  call->path = g_strdup (request->path);
  call->body = g_memdup2 (request->body, request->body_bytes);
  call->body_bytes = request->body_bytes;
  call->deadline_us = request->deadline_us;
  call->answer_max_bytes = request->answer_max_bytes ? request->answer_max_bytes : client->config.answer_max_bytes;
  if (!wc_client_call_fits (call))
    {
      wc_client_call_delete (client, call);
      wc_error_set (error, WC_STATUS_TOO_LARGE, "method, path and body do not fit into a datagram of %d bytes",
                    WC_DATAGRAM_MAX_BYTES);
      return 0;
    }
  call->id = next_handle (client);
  g_hash_table_insert (client->calls, &call->id, call);
  wc_client_call_start (client, now_us, call);
  return call->id;
}

static void
free_flow (void *data)
{
  WcClientFlow *flow = data;

  g_hash_table_destroy (flow->calls);
  g_free (flow);
}
