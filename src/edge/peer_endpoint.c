#include "edge/peer_endpoint.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/http_server.h"
#include "edge/socket_address.h"
#include "edge/udp_batch.h"

enum
{
  /* Longer than any peer waits. */
  LONG_POLL_MAX_MS = 5000,
  /* How long an encoded answer is used again; the age of the view in it is off by that much. */
  RESPONSE_CACHE_LIFETIME_US = 50 * 1000
};

/*
 * Changes after a revision as they were last encoded. Peers wait for the same change, and a configuration of 450 kB
 * takes a small instance some 100 ms to encode.
 */
typedef struct
{
  uint64_t after;
  uint64_t revision;
  uint64_t deadline_us;
  GBytes  *body;
} CachedResponse;

/* A peer that waits for changes after a revision. */
typedef struct
{
  WcHttpExchange *exchange;
  uint64_t        revision;
  uint64_t        deadline_us;
} Waiter;

struct WcPeerEndpoint
{
  struct ev_loop       *loop;
  WcPeerTable          *peers;
  const WcStoreReplica *replica;
  WcEventLog           *log;
  WcPeerEndpointOps     ops;
  void                 *user_data;
  WcUdpBatch           *datagrams;
  WcHttpServer         *server;
  uint64_t              malformed;
  ev_io                 readable;
  GArray               *waiters;
  CachedResponse        encoded;
};

static void     datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void     receive_gossip (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);
static void     send_gossip (WcPeerEndpoint *port, const WcAddress *target, uint64_t now_us);
static void     reply_to_query (WcPeerEndpoint *port, const WcGossip *question);
static void     send_datagram (WcPeerEndpoint *port, WcGossip *news, const WcAddress *target);
static void     request_received (void *user_data, WcHttpExchange *exchange);
static void     request_aborted (void *user_data, WcHttpExchange *exchange);
static void     respond_to_waiters (WcPeerEndpoint *port, uint64_t revision, uint64_t now_us);
static void     answer (WcPeerEndpoint *port, WcHttpExchange *exchange, uint64_t revision);
static bool     encode (WcPeerEndpoint *port, uint64_t after);
static uint64_t get_number (const WcHttpExchange *exchange, const char *name);

WcPeerEndpoint *
wc_peer_endpoint_new (struct ev_loop *loop, const WcAddress *address, WcPeerTable *peers, const WcStoreReplica *replica,
                      WcEventLog *log, const WcPeerEndpointOps *ops, void *user_data, WcError *error)
{
  static const WcHttpServerOps server_ops = { .request = request_received, .aborted = request_aborted };
  int                          fd = wc_socket_open_udp (address, false, error);
  WcPeerEndpoint              *port;

  assert (loop != NULL && peers != NULL && replica != NULL);
  assert (ops != NULL && ops->describe != NULL && ops->add_next_reports != NULL);
  assert (ops->report != NULL && ops->heard != NULL);

  if (fd < 0)
    return NULL;
  port = g_new0 (WcPeerEndpoint, 1);
  port->loop = loop;
  port->peers = peers;
  port->replica = replica;
  port->log = log;
  port->ops = *ops;
  port->user_data = user_data;
  port->datagrams = wc_udp_batch_new (fd);
  port->waiters = g_array_new (FALSE, FALSE, sizeof (Waiter));
  ev_io_init (&port->readable, datagrams_readable, fd, EV_READ);
  port->readable.data = port;
  ev_io_start (loop, &port->readable);
  port->server = wc_http_server_new (loop, address, &server_ops, port, error);
  if (port->server)
    return port;
  wc_peer_endpoint_delete (port);
  return NULL;
}

void
wc_peer_endpoint_delete (WcPeerEndpoint *port)
{
  if (!port)
    return;
  ev_io_stop (port->loop, &port->readable);
  wc_http_server_delete (port->server);
  wc_udp_batch_delete (port->datagrams);
  g_array_free (port->waiters, TRUE);
  g_bytes_unref (port->encoded.body);
  g_free (port);
}

void
wc_peer_endpoint_send_gossip (WcPeerEndpoint *port, uint64_t now_us)
{
  WcAddress targets[WC_GOSSIP_FANOUT];
  size_t    count = wc_peer_table_pick_targets (port->peers, now_us, targets);

  for (size_t i = 0; i < count; i++)
    send_gossip (port, &targets[i], now_us);
  wc_udp_batch_flush (port->datagrams);
}

void
wc_peer_endpoint_query_host (WcPeerEndpoint *port, uint64_t host, uint64_t now_us)
{
  WcGossip  news = { .asks = true };
  WcAddress targets[WC_HOST_WITNESSES];
  size_t    count = wc_peer_table_pick_witnesses (port->peers, host, now_us, targets);

  wc_peer_table_fill_sender (port->peers, &news);
  port->ops.report (port->user_data, host, &news);
  for (size_t i = 0; i < count; i++)
    send_datagram (port, &news, &targets[i]);
  wc_udp_batch_flush (port->datagrams);
}

uint64_t
wc_peer_endpoint_get_malformed (const WcPeerEndpoint *port)
{
  return port->malformed;
}

void
wc_peer_endpoint_view_changed (WcPeerEndpoint *port)
{
  respond_to_waiters (port, wc_store_replica_get_revision (port->replica), 0);
}

void
wc_peer_endpoint_source_lost (WcPeerEndpoint *port)
{
  while (port->waiters->len > 0)
    {
      const Waiter waiter = g_array_index (port->waiters, Waiter, port->waiters->len - 1);

      g_array_set_size (port->waiters, port->waiters->len - 1);
      wc_http_exchange_respond (waiter.exchange, 503, NULL, NULL, 0);
    }
}

void
wc_peer_endpoint_tick (WcPeerEndpoint *port, uint64_t now_us)
{
  respond_to_waiters (port, 0, now_us);
}

/* local functions */

static void
datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcPeerEndpoint *port = watcher->data;

  (void)loop;
  (void)events;
  wc_udp_batch_receive (port->datagrams, receive_gossip, port);
  wc_udp_batch_flush (port->datagrams);
}

static void
receive_gossip (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  WcPeerEndpoint *port = user_data;
  uint64_t        now_us = wc_clock_monotonic_us ();
  WcGossip        news;

  (void)source;
  if (wc_gossip_unpack (data, size_bytes, &news) != WC_STATUS_OK)
    {
      port->malformed++;
      return;
    }
  if (wc_peer_table_receive (port->peers, &news, now_us))
    send_gossip (port, &news.sender.address, now_us);
  wc_event_log_merge_logical_clock (port->log, news.logical);
  port->ops.heard (port->user_data, &news);
  if (news.asks)
    reply_to_query (port, &news);
}

static void
send_gossip (WcPeerEndpoint *port, const WcAddress *target, uint64_t now_us)
{
  WcGossip news = { 0 };

  wc_peer_table_fill_gossip (port->peers, &news, now_us);
  port->ops.add_next_reports (port->user_data, &news);
  send_datagram (port, &news, target);
}

/* The sender's own reports on a host come before those it passes on, so that the hosts asked about are told apart. */
static void
reply_to_query (WcPeerEndpoint *port, const WcGossip *question)
{
  WcGossip news = { 0 };

  wc_peer_table_fill_sender (port->peers, &news);
  for (size_t i = 0; i < question->host_count; i++)
    if (question->hosts[i].reporter == 0)
      port->ops.report (port->user_data, question->hosts[i].host, &news);
  send_datagram (port, &news, &question->sender.address);
}

static void
send_datagram (WcPeerEndpoint *port, WcGossip *news, const WcAddress *target)
{
  uint8_t data[WC_GOSSIP_MAX_BYTES];
  size_t  size_bytes;

  news->logical = wc_event_log_get_logical_clock (port->log);
  port->ops.describe (port->user_data, news);
  size_bytes = wc_gossip_pack (news, data);
  if (size_bytes > 0)
    wc_udp_batch_send (port->datagrams, target, data, size_bytes);
}

static void
request_received (void *user_data, WcHttpExchange *exchange)
{
  WcPeerEndpoint *port = user_data;
  uint64_t        revision = get_number (exchange, "after");
  uint64_t        wait_ms = get_number (exchange, "wait_ms");
  const Waiter    waiter = { exchange, revision, wc_clock_monotonic_us () + MIN (wait_ms, LONG_POLL_MAX_MS) * 1000 };

  if (strcmp (wc_http_exchange_get_path (exchange), "/changes") != 0)
    wc_http_exchange_respond (exchange, 404, NULL, NULL, 0);
  else if (wc_store_replica_get_revision (port->replica) == 0)
    wc_http_exchange_respond (exchange, 503, NULL, NULL, 0);
  else if (wait_ms == 0 || revision < wc_store_replica_get_revision (port->replica))
    answer (port, exchange, revision);
  else
    g_array_append_val (port->waiters, waiter);
}

static void
request_aborted (void *user_data, WcHttpExchange *exchange)
{
  WcPeerEndpoint *port = user_data;

  for (guint i = 0; i < port->waiters->len; i++)
    if (g_array_index (port->waiters, Waiter, i).exchange == exchange)
      {
        g_array_remove_index_fast (port->waiters, i);
        return;
      }
}

/* Answers those that wait for changes after an older revision than @revision, or whose time is over at @now_us. */
static void
respond_to_waiters (WcPeerEndpoint *port, uint64_t revision, uint64_t now_us)
{
  for (guint i = port->waiters->len; i > 0; i--)
    {
      const Waiter waiter = g_array_index (port->waiters, Waiter, i - 1);

      if (waiter.revision >= revision && now_us < waiter.deadline_us)
        continue;
      g_array_remove_index_fast (port->waiters, i - 1);
      answer (port, waiter.exchange, waiter.revision);
    }
}

static void
answer (WcPeerEndpoint *port, WcHttpExchange *exchange, uint64_t revision)
{
  gsize       size_bytes;
  const void *data;

  if (!encode (port, revision))
    {
      wc_http_exchange_respond (exchange, 410, NULL, NULL, 0);
      return;
    }
  data = g_bytes_get_data (port->encoded.body, &size_bytes);
  wc_http_exchange_respond (exchange, 200, NULL, data, size_bytes);
}

/* Return: false when the changes after @after are no longer known. */
static bool
encode (WcPeerEndpoint *port, uint64_t after)
{
  uint64_t     now_us = wc_clock_monotonic_us ();
  uint64_t     revision = wc_store_replica_get_revision (port->replica);
  uint64_t     age_us = now_us - wc_store_replica_get_confirmed_us (port->replica);
  WcViewOrigin origin = {
    .age_ms = (uint32_t)MIN (age_us / 1000, UINT32_MAX),
    .logical = wc_event_log_get_logical_clock (port->log),
  };
  WcStoreReply reply;
  bool         is_known;

  if (port->encoded.body && port->encoded.after == after && port->encoded.revision == revision &&
      now_us < port->encoded.deadline_us)
    return true;
  wc_store_reply_init (&reply);
  is_known = wc_store_replica_get_changes (port->replica, after, &reply);
  if (is_known)
    {
      g_bytes_unref (port->encoded.body);
      port->encoded = (CachedResponse){ after, revision, now_us + RESPONSE_CACHE_LIFETIME_US,
                                        wc_view_changes_pack (&reply, &origin) };
    }
  wc_store_reply_finish (&reply);
  return is_known;
}

static uint64_t
get_number (const WcHttpExchange *exchange, const char *name)
{
  const char *text = wc_http_exchange_get_query_parameter (exchange, name);

  return text ? g_ascii_strtoull (text, NULL, 10) : 0;
}
