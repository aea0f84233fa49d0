#include "edge/peer_endpoint.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/http_server.h"
#include "edge/socket_address.h"
#include "edge/udp_batch.h"
#include "forward/flow_table.h"

enum
{
  /* Upper bound for the wait that a peer may request; peers request less. */
  LONG_POLL_MAX_MS = 5000,
  /* How long an encoded response is reused; the view age in a reused response is too low by up to this value. */
  RESPONSE_CACHE_LIFETIME_US = 50 * 1000,
  /* Half of the interval at which the store confirms the view. */
  CONFIRMATION_STEP_US = 500 * 1000
};

/*
 * Last encoded response with the changes after a version. Many peers wait for the same change, and a small instance
 * needs about 100 ms to encode a configuration of 450 kB.
 */
typedef struct
{
  WcStoreVersion after;
  WcStoreVersion version;
  uint64_t       confirmed_us;
  uint64_t       deadline_us;
  GBytes        *body;
} CachedResponse;

/* A peer that waits for changes after a version. @wants_direct: not if they come through another domain. */
typedef struct
{
  WcHttpExchange *exchange;
  WcStoreVersion  version;
  uint64_t        deadline_us;
  bool            wants_direct;
} Waiter;

struct WcPeerEndpoint
{
  struct ev_loop       *loop;
  WcPeerTable          *peers;
  const WcStoreReplica *replica;
  WcEventLog           *log;
  WcPeerEndpointOps     ops;
  void                 *user_data;
  WcUdpBatch           *udp_batch;
  WcHttpServer         *http_server;
  uint64_t              malformed;
  ev_io                 readable;
  GArray               *waiters;
  CachedResponse        cached;
  uint64_t              relayed_confirmation_us;
  bool                  is_indirect;
};

static void     datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void     receive_gossip (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);
static void     send_gossip (WcPeerEndpoint *endpoint, const WcAddress *destination, uint64_t now_us);
static void     query_peers (WcPeerEndpoint *endpoint, uint64_t host, bool failures_only, uint64_t now_us);
static void     add_host_reports (WcPeerEndpoint *endpoint, uint64_t host, bool failures_only, WcGossip *gossip);
static void     reply_to_query (WcPeerEndpoint *endpoint, const WcGossip *query);
static void     reply_to_flow_questions (WcPeerEndpoint *endpoint, const WcGossip *query);
static void     send_datagram (WcPeerEndpoint *endpoint, WcGossip *gossip, const WcAddress *destination);
static void     request_received (void *user_data, WcHttpExchange *exchange);
static void     request_aborted (void *user_data, WcHttpExchange *exchange);
static void     respond_to_waiters (WcPeerEndpoint *endpoint, WcStoreVersion version, uint64_t now_us);
static void     respond (WcPeerEndpoint *endpoint, WcHttpExchange *exchange, WcStoreVersion after);
static bool     encode_changes (WcPeerEndpoint *endpoint, WcStoreVersion after);
static uint64_t get_uint_parameter (const WcHttpExchange *exchange, const char *name);

WcPeerEndpoint *
wc_peer_endpoint_new (struct ev_loop *loop, const WcAddress *address, WcPeerTable *peers, const WcStoreReplica *replica,
                      WcEventLog *log, const WcPeerEndpointOps *ops, void *user_data, WcError *error)
{
  static const WcHttpServerOps server_ops = { .request = request_received, .aborted = request_aborted };
  int                          fd = wc_socket_open_udp (address, false, error);
  WcPeerEndpoint              *endpoint;

  assert (loop != NULL && peers != NULL && replica != NULL);
  assert (ops != NULL && ops->fill_own_state != NULL && ops->add_next_reports != NULL);
  assert (ops->add_host_reports != NULL && ops->gossip_received != NULL);
  assert (ops->answer_flow_note != NULL && ops->peer_joined != NULL);

  if (fd < 0)
    return NULL;
  endpoint = g_new0 (WcPeerEndpoint, 1);
  endpoint->loop = loop;
  endpoint->peers = peers;
  endpoint->replica = replica;
  endpoint->log = log;
  endpoint->ops = *ops;
  endpoint->user_data = user_data;
  endpoint->udp_batch = wc_udp_batch_new (fd);
  endpoint->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  ev_io_init (&endpoint->readable, datagrams_readable, fd, EV_READ);
  endpoint->readable.data = endpoint;
  ev_io_start (loop, &endpoint->readable);
  endpoint->http_server = wc_http_server_new (loop, address, &server_ops, endpoint, error);
  if (endpoint->http_server)
    return endpoint;
  wc_peer_endpoint_delete (endpoint);
  return NULL;
}

void
wc_peer_endpoint_delete (WcPeerEndpoint *endpoint)
{
  if (!endpoint)
    return;
  ev_io_stop (endpoint->loop, &endpoint->readable);
  wc_http_server_delete (endpoint->http_server);
  wc_udp_batch_delete (endpoint->udp_batch);
  g_array_free (endpoint->waiters, TRUE);
  g_bytes_unref (endpoint->cached.body);
  g_free (endpoint);
}

void
wc_peer_endpoint_send_gossip (WcPeerEndpoint *endpoint, uint64_t now_us)
{
  WcAddress destinations[WC_GOSSIP_FANOUT];
  size_t    count = wc_peer_table_pick_targets (endpoint->peers, now_us, destinations);

  for (size_t i = 0; i < count; i++)
    send_gossip (endpoint, &destinations[i], now_us);
  wc_udp_batch_flush (endpoint->udp_batch);
}

void
wc_peer_endpoint_query_peers (WcPeerEndpoint *endpoint, uint64_t host, uint64_t now_us)
{
  query_peers (endpoint, host, false, now_us);
}

void
wc_peer_endpoint_report_failures (WcPeerEndpoint *endpoint, uint64_t host, uint64_t now_us)
{
  query_peers (endpoint, host, true, now_us);
}

size_t
wc_peer_endpoint_send_flow_note (WcPeerEndpoint *endpoint, const WcFlowNote *note, uint64_t now_us)
{
  WcAddress destinations[WC_FLOW_HOLDERS];
  size_t    count;

  assert (endpoint != NULL && note != NULL);

  count = wc_peer_table_pick_flow_holders (endpoint->peers, wc_flow_key_hash (&note->key), now_us, destinations);
  for (size_t i = 0; i < count; i++)
    wc_peer_endpoint_send_flow_notes (endpoint, &destinations[i], note, 1);
  return count;
}

void
wc_peer_endpoint_send_flow_notes (WcPeerEndpoint *endpoint, const WcAddress *destination, const WcFlowNote *notes,
                                  size_t count)
{
  assert (endpoint != NULL && destination != NULL);

  for (size_t first = 0; first < count; first += WC_GOSSIP_MAX_FLOWS)
    {
      WcGossip gossip = { .flow_count = MIN (count - first, WC_GOSSIP_MAX_FLOWS) };

      memcpy (gossip.flows, &notes[first], gossip.flow_count * sizeof *notes);
      wc_peer_table_fill_sender (endpoint->peers, &gossip);
      send_datagram (endpoint, &gossip, destination);
    }
  wc_udp_batch_flush (endpoint->udp_batch);
}

uint64_t
wc_peer_endpoint_get_malformed (const WcPeerEndpoint *endpoint)
{
  return endpoint->malformed;
}

/*
 * A confirmation without changes is passed on as well: if each level of the tree answered only after its own wait, the
 * view would be older by up to a second at each of them. Instances that read from each other because the store is away
 * confirm nothing: the times differ by the delay of their answers, and must not make them answer in a loop.
 */
void
wc_peer_endpoint_view_changed (WcPeerEndpoint *endpoint)
{
  uint64_t confirmed_us = wc_store_replica_get_confirmed_us (endpoint->replica);
  bool     is_confirmed = confirmed_us >= endpoint->relayed_confirmation_us + CONFIRMATION_STEP_US;

  if (is_confirmed)
    endpoint->relayed_confirmation_us = confirmed_us;
  respond_to_waiters (endpoint, wc_store_replica_get_version (endpoint->replica), is_confirmed ? UINT64_MAX : 0);
}

void
wc_peer_endpoint_source_lost (WcPeerEndpoint *endpoint)
{
  while (endpoint->waiters->len > 0)
    {
      const Waiter waiter = g_array_index (endpoint->waiters, Waiter, endpoint->waiters->len - 1);

      g_array_set_size (endpoint->waiters, endpoint->waiters->len - 1);
      wc_http_exchange_respond (waiter.exchange, 503, NULL, NULL, 0);
    }
}

void
wc_peer_endpoint_set_indirect (WcPeerEndpoint *endpoint, bool is_indirect)
{
  if (endpoint->is_indirect == is_indirect)
    return;
  endpoint->is_indirect = is_indirect;
  endpoint->cached.deadline_us = 0;
  for (guint i = endpoint->waiters->len; is_indirect && i > 0; i--)
    {
      const Waiter waiter = g_array_index (endpoint->waiters, Waiter, i - 1);

      g_array_remove_index_fast (endpoint->waiters, i - 1);
      if (waiter.wants_direct)
        wc_http_exchange_respond (waiter.exchange, 409, NULL, NULL, 0);
      else
        respond (endpoint, waiter.exchange, waiter.version);
    }
}

void
wc_peer_endpoint_tick (WcPeerEndpoint *endpoint, uint64_t now_us)
{
  respond_to_waiters (endpoint, (WcStoreVersion){ 0 }, now_us);
}

/* local functions */

static void
datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcPeerEndpoint *endpoint = watcher->data;

  (void)loop;
  (void)events;
  wc_udp_batch_receive (endpoint->udp_batch, receive_gossip, endpoint);
  wc_udp_batch_flush (endpoint->udp_batch);
}

static void
receive_gossip (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  WcPeerEndpoint *endpoint = user_data;
  uint64_t        now_us = wc_clock_monotonic_us ();
  WcGossip        gossip;

  (void)source;
  if (wc_gossip_unpack (data, size_bytes, &gossip) != WC_STATUS_OK)
    {
      endpoint->malformed++;
      return;
    }
  if (wc_peer_table_receive (endpoint->peers, &gossip, now_us))
    {
      send_gossip (endpoint, &gossip.sender.address, now_us);
      endpoint->ops.peer_joined (endpoint->user_data, &gossip.sender);
    }
  wc_event_log_merge_logical_clock (endpoint->log, gossip.logical);
  endpoint->ops.gossip_received (endpoint->user_data, &gossip);
  if (gossip.asks)
    reply_to_query (endpoint, &gossip);
  reply_to_flow_questions (endpoint, &gossip);
}

static void
send_gossip (WcPeerEndpoint *endpoint, const WcAddress *destination, uint64_t now_us)
{
  WcGossip gossip = { 0 };

  wc_peer_table_fill_gossip (endpoint->peers, &gossip, now_us);
  endpoint->ops.add_next_reports (endpoint->user_data, &gossip);
  send_datagram (endpoint, &gossip, destination);
}

static void
query_peers (WcPeerEndpoint *endpoint, uint64_t host, bool failures_only, uint64_t now_us)
{
  WcGossip  gossip = { .asks = true };
  WcAddress destinations[WC_HOST_WITNESSES];
  size_t    count = wc_peer_table_pick_witnesses (endpoint->peers, host, now_us, destinations);

  wc_peer_table_fill_sender (endpoint->peers, &gossip);
  add_host_reports (endpoint, host, failures_only, &gossip);
  for (size_t i = 0; i < count; i++)
    send_datagram (endpoint, &gossip, &destinations[i]);
  wc_udp_batch_flush (endpoint->udp_batch);
}

static void
add_host_reports (WcPeerEndpoint *endpoint, uint64_t host, bool failures_only, WcGossip *gossip)
{
  size_t first = gossip->host_count;

  endpoint->ops.add_host_reports (endpoint->user_data, host, gossip);
  for (size_t i = first; i < gossip->host_count; i++)
    gossip->hosts[i].failures_only = failures_only;
}

/*
 * Responds for each host that the query contains. A query holds the sender's own report on each host (reporter 0)
 * followed by relayed reports, so the own reports identify the hosts.
 */
static void
reply_to_query (WcPeerEndpoint *endpoint, const WcGossip *query)
{
  WcGossip gossip = { 0 };

  wc_peer_table_fill_sender (endpoint->peers, &gossip);
  for (size_t i = 0; i < query->host_count; i++)
    if (query->hosts[i].reporter == 0)
      add_host_reports (endpoint, query->hosts[i].host, query->hosts[i].failures_only, &gossip);
  send_datagram (endpoint, &gossip, &query->sender.address);
}

static void
reply_to_flow_questions (WcPeerEndpoint *endpoint, const WcGossip *query)
{
  WcFlowNote answers[WC_GOSSIP_MAX_FLOWS];
  size_t     count = 0;

  for (size_t i = 0; i < query->flow_count; i++)
    if (query->flows[i].asks)
      answers[count++] = endpoint->ops.answer_flow_note (endpoint->user_data, &query->flows[i]);
  wc_peer_endpoint_send_flow_notes (endpoint, &query->sender.address, answers, count);
}

static void
send_datagram (WcPeerEndpoint *endpoint, WcGossip *gossip, const WcAddress *destination)
{
  uint8_t data[WC_GOSSIP_MAX_BYTES];
  size_t  size_bytes;

  gossip->logical = wc_event_log_get_logical_clock (endpoint->log);
  wc_peer_table_fill_echo (endpoint->peers, destination, gossip);
  endpoint->ops.fill_own_state (endpoint->user_data, gossip);
  size_bytes = wc_gossip_pack (gossip, data);
  if (size_bytes > 0)
    wc_udp_batch_send (endpoint->udp_batch, destination, data, size_bytes);
}

static void
request_received (void *user_data, WcHttpExchange *exchange)
{
  WcPeerEndpoint      *endpoint = user_data;
  const WcStoreVersion known = wc_store_replica_get_version (endpoint->replica);
  /* Instances of earlier releases send no era. */
  bool                 has_era = wc_http_exchange_get_query_parameter (exchange, "era") != NULL;
  const WcStoreVersion after = { has_era ? get_uint_parameter (exchange, "era") : known.era,
                                 get_uint_parameter (exchange, "after") };
  uint64_t     wait_ms = get_uint_parameter (exchange, "wait_ms");
  const Waiter waiter = { exchange, after, wc_clock_monotonic_us () + MIN (wait_ms, LONG_POLL_MAX_MS) * 1000,
                          get_uint_parameter (exchange, "direct") == 1 };

  if (strcmp (wc_http_exchange_get_path (exchange), "/changes") != 0)
    wc_http_exchange_respond (exchange, 404, NULL, NULL, 0);
  /* A peer that knows a later era should not wait until this instance learns of it. */
  else if (known.revision == 0 || after.era > known.era)
    wc_http_exchange_respond (exchange, 503, NULL, NULL, 0);
  else if (endpoint->is_indirect && waiter.wants_direct)
    wc_http_exchange_respond (exchange, 409, NULL, NULL, 0);
  else if (wait_ms == 0 || wc_store_version_compare (after, known) < 0)
    respond (endpoint, exchange, after);
  else
    g_array_append_val (endpoint->waiters, waiter);
}

static void
request_aborted (void *user_data, WcHttpExchange *exchange)
{
  WcPeerEndpoint *endpoint = user_data;

  for (guint i = 0; i < endpoint->waiters->len; i++)
    if (g_array_index (endpoint->waiters, Waiter, i).exchange == exchange)
      {
        g_array_remove_index_fast (endpoint->waiters, i);
        return;
      }
}

/* Responds to the waiters whose version is older than @version or whose deadline has expired at @now_us. */
static void
respond_to_waiters (WcPeerEndpoint *endpoint, WcStoreVersion version, uint64_t now_us)
{
  for (guint i = endpoint->waiters->len; i > 0; i--)
    {
      const Waiter waiter = g_array_index (endpoint->waiters, Waiter, i - 1);

      if (wc_store_version_compare (waiter.version, version) >= 0 && now_us < waiter.deadline_us)
        continue;
      g_array_remove_index_fast (endpoint->waiters, i - 1);
      respond (endpoint, waiter.exchange, waiter.version);
    }
}

static void
respond (WcPeerEndpoint *endpoint, WcHttpExchange *exchange, WcStoreVersion after)
{
  gsize       size_bytes;
  const void *data;

  if (!encode_changes (endpoint, after))
    {
      wc_http_exchange_respond (exchange, 410, NULL, NULL, 0);
      return;
    }
  data = g_bytes_get_data (endpoint->cached.body, &size_bytes);
  wc_http_exchange_respond (exchange, 200, NULL, data, size_bytes);
}

/* Fills endpoint->cached with the changes after @after. Return: false when these are no longer known. */
static bool
encode_changes (WcPeerEndpoint *endpoint, WcStoreVersion after)
{
  uint64_t             now_us = wc_clock_monotonic_us ();
  const WcStoreVersion version = wc_store_replica_get_version (endpoint->replica);
  uint64_t             confirmed_us = wc_store_replica_get_confirmed_us (endpoint->replica);
  uint64_t             age_us = now_us - confirmed_us;
  WcViewOrigin         origin = {
            /* Rounded up: relayed many times, a view must not seem newer than it is. */
            .age_ms = (uint32_t)MIN (age_us / 1000 + 1, UINT32_MAX),
            .logical = wc_event_log_get_logical_clock (endpoint->log),
            .is_indirect = endpoint->is_indirect,
  };
  WcStoreReply reply;
  bool         is_known;

  if (endpoint->cached.body && wc_store_version_compare (endpoint->cached.after, after) == 0 &&
      wc_store_version_compare (endpoint->cached.version, version) == 0 &&
      endpoint->cached.confirmed_us == confirmed_us && now_us < endpoint->cached.deadline_us)
    return true;
  wc_store_reply_init (&reply);
  is_known = wc_store_replica_get_changes (endpoint->replica, after, &reply);
  if (is_known)
    {
      g_bytes_unref (endpoint->cached.body);
      endpoint->cached = (CachedResponse){ after, version, confirmed_us, now_us + RESPONSE_CACHE_LIFETIME_US,
                                           wc_view_changes_pack (&reply, &origin) };
    }
  wc_store_reply_finish (&reply);
  return is_known;
}

static uint64_t
get_uint_parameter (const WcHttpExchange *exchange, const char *name)
{
  const char *text = wc_http_exchange_get_query_parameter (exchange, name);

  return text ? g_ascii_strtoull (text, NULL, 10) : 0;
}
