#include "edge/peer_link.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "core/peer_session.h"
#include "edge/log.h"
#include "edge/socket.h"

enum
{
  /* One answer to CONFIG_ASK (8 parts of at most 1 MB), twice. */
  SEND_BUFFER_MAX_BYTES = 16 * (WC_PEER_FRAME_MAX_BYTES + WC_PEER_LENGTH_BYTES),
  READ_BYTES = 65536,
  CONNECTIONS_MAX = 256,
  /* Connections of strangers must not keep peers out. */
  UNAUTHENTICATED_MAX = 64
};

static const double HANDSHAKE_TIMEOUT_S = 3.0;
/* Three heartbeats of the slowest kind: another domain's in a large domain. */
static const double IDLE_TIMEOUT_S = 12.0;
static const double RETRY_DELAY_MIN_S = 0.1;
static const double RETRY_DELAY_MAX_S = 2.0;

typedef struct OutboundPeer OutboundPeer;

typedef struct
{
  WcPeerLinks   *links;
  int            descriptor;
  bool           connecting;
  bool           initiator;
  bool           is_established;
  bool           close_requested;
  double         established_s;
  OutboundPeer  *target;
  WcPeerSession *session;
  GByteArray    *in;
  GByteArray    *out;
  guint          sent_bytes;
  ev_io          reader;
  ev_io          writer;
  ev_timer       limit;
} Connection;

struct OutboundPeer
{
  WcPeerLinks *links;
  WcMember     member;
  Connection  *connection;
  ev_timer     retry;
  double       retry_delay_s;
};

struct WcPeerLinks
{
  struct ev_loop      *loop;
  WcPeerLinkConfig     config;
  const WcPeerLinkOps *ops;
  void                *user_data;
  WcCounters          *counters;
  int                  listener;
  ev_io                accept_watcher;
  WcKeyring           *keyring;
  uint32_t            *epochs;
  size_t               epoch_count;
  GPtrArray           *connections;
  GHashTable          *established;
  GHashTable          *targets;
};

static void        accepted (struct ev_loop *loop, ev_io *watcher, int events);
static Connection *connection_new (WcPeerLinks *links, int descriptor, OutboundPeer *target);
static void        connection_close (Connection *connection, const char *reason);
static void        readable (struct ev_loop *loop, ev_io *watcher, int events);
static void        writable (struct ev_loop *loop, ev_io *watcher, int events);
static void        timeout_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void        retry (struct ev_loop *loop, ev_timer *watcher, int events);
static void        schedule_retry (OutboundPeer *target);
static void        outbound_peer_free (gpointer data);
static bool        process_frames (Connection *connection);
static bool        process_frame (Connection *connection, const uint8_t *data, size_t size_bytes);
static bool        establish (Connection *connection);
static void        flush (Connection *connection);
static guint       count_unauthenticated (const WcPeerLinks *links);

WcPeerLinks *
wc_peer_links_new (struct ev_loop *loop, const WcPeerLinkConfig *config, const WcPeerLinkOps *ops, void *user_data,
                   WcCounters *counters, WcError *error)
{
  WcPeerLinks *links;
  char         text[WC_ADDRESS_TEXT_BYTES];
  int          listener;

  assert (loop != NULL);
  assert (config != NULL);
  assert (ops != NULL);

  listener = wc_socket_listen (&config->address);
  if (listener < 0)
    {
      wc_error_set (error, WC_STATUS_INVALID, "peer address %s cannot be bound: %s",
                    wc_address_format (&config->address, text), g_strerror (errno));
      return NULL;
    }
  links = g_new0 (WcPeerLinks, 1);
  links->loop = loop;
  links->config = *config;
  links->ops = ops;
  links->user_data = user_data;
  links->counters = counters;
  links->listener = listener;
  links->connections = g_ptr_array_new ();
  links->established = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  links->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, outbound_peer_free);
  ev_io_init (&links->accept_watcher, accepted, listener, EV_READ);
  links->accept_watcher.data = links;
  ev_io_start (loop, &links->accept_watcher);
  return links;
}

void
wc_peer_links_delete (WcPeerLinks *links)
{
  if (!links)
    return;
  ev_io_stop (links->loop, &links->accept_watcher);
  close (links->listener);
  g_hash_table_remove_all (links->targets);
  while (links->connections->len > 0)
    connection_close (g_ptr_array_index (links->connections, 0), NULL);
  g_hash_table_destroy (links->targets);
  g_hash_table_destroy (links->established);
  g_ptr_array_free (links->connections, TRUE);
  if (links->keyring)
    wc_keyring_unref (links->keyring);
  g_free (links->epochs);
  g_free (links);
}

void
wc_peer_links_set_keys (WcPeerLinks *links, WcKeyring *keyring, const uint32_t *epochs, size_t count)
{
  assert (links != NULL);

  if (links->keyring)
    wc_keyring_unref (links->keyring);
  links->keyring = keyring ? wc_keyring_ref (keyring) : NULL;
  g_free (links->epochs);
  links->epochs = g_memdup2 (epochs, count * sizeof *epochs);
  links->epoch_count = count;
}

void
wc_peer_links_connect (WcPeerLinks *links, const WcMember *member)
{
  OutboundPeer *target;

  assert (links != NULL);
  assert (member != NULL);

  target = g_new0 (OutboundPeer, 1);
  target->links = links;
  target->member = *member;
  target->retry_delay_s = RETRY_DELAY_MIN_S;
  ev_timer_init (&target->retry, retry, 0.0, 0.0);
  target->retry.data = target;
  g_hash_table_replace (links->targets, &target->member.id, target);
  ev_timer_start (links->loop, &target->retry);
}

void
wc_peer_links_disconnect (WcPeerLinks *links, uint64_t peer)
{
  OutboundPeer *target;
  Connection   *connection;

  assert (links != NULL);

  target = g_hash_table_lookup (links->targets, &peer);
  if (!target)
    return;
  connection = target->connection;
  g_hash_table_remove (links->targets, &peer);
  /* The caller is inside the control state, which must not hear of the end yet. */
  if (connection)
    {
      connection->close_requested = true;
      ev_feed_event (links->loop, &connection->limit, EV_TIMER);
    }
}

bool
wc_peer_links_send (WcPeerLinks *links, uint64_t peer, Wc__PeerFrame *frame)
{
  Connection  *connection;
  WcPeerStatus status;
  guint        before;

  assert (links != NULL);

  connection = g_hash_table_lookup (links->established, &peer);
  if (!connection)
    return false;
  before = connection->out->len;
  status = wc_peer_session_pack (connection->session, frame, connection->out);
  if (status != WC_PEER_OK)
    {
      wc_log_ratelimited (WC_LOG_ERROR, "peer", "Frame was not sent: %s.", WC_PEER_STATUS_STRINGS[status]);
      return false;
    }
  /* The caller may be iterating over its links, so a full buffer closes the link from the event loop. */
  if (connection->out->len - connection->sent_bytes > SEND_BUFFER_MAX_BYTES)
    {
      g_byte_array_set_size (connection->out, before);
      ev_feed_event (links->loop, &connection->limit, EV_TIMER);
      return false;
    }
  wc_counters_add (links->counters, WC_COUNTER_PEER_FRAMES_SENT, 1);
  ev_io_start (links->loop, &connection->writer);
  return true;
}

void
wc_peer_links_close_blocked (WcPeerLinks *links)
{
  assert (links != NULL);

  for (guint i = links->connections->len; i > 0; i--)
    {
      Connection *connection = g_ptr_array_index (links->connections, i - 1);

      if (connection->session && wc_peer_session_is_ready (connection->session) &&
          links->ops->is_blocked (links->user_data, wc_peer_session_get_peer_domain (connection->session)))
        connection_close (connection, "links to its domain are cut by fault injection");
    }
}

/* local functions */

static void
accepted (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcPeerLinks *links = watcher->data;
  int          descriptor;

  (void)loop;
  (void)events;
  while ((descriptor = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      if (links->connections->len >= CONNECTIONS_MAX || count_unauthenticated (links) >= UNAUTHENTICATED_MAX)
        {
          wc_log_ratelimited (WC_LOG_WARNING, "peer", "Connection refused: too many connections.");
          close (descriptor);
          continue;
        }
      wc_socket_set_tcp_options (descriptor);
      connection_new (links, descriptor, NULL);
    }
}

static Connection *
connection_new (WcPeerLinks *links, int descriptor, OutboundPeer *target)
{
  Connection         *connection = g_new0 (Connection, 1);
  WcPeerSessionConfig config = { 0 };

  config.initiator = target != NULL;
  config.instance = links->config.instance;
  config.incarnation = links->config.incarnation;
  config.domain = links->config.domain;
  config.name = links->config.name;
  config.fleet_key = links->config.fleet_key;
  config.keyring = links->keyring;
  config.epochs = links->epochs;
  config.epoch_count = links->epoch_count;
  randombytes_buf (config.challenge, sizeof config.challenge);

  connection->links = links;
  connection->descriptor = descriptor;
  connection->initiator = target != NULL;
  connection->connecting = target != NULL;
  connection->target = target;
  connection->session = wc_peer_session_new (&config);
  connection->in = g_byte_array_new ();
  connection->out = g_byte_array_new ();
  wc_peer_session_pack_hello (connection->session, connection->out);
  ev_io_init (&connection->reader, readable, descriptor, EV_READ);
  ev_io_init (&connection->writer, writable, descriptor, EV_WRITE);
  ev_timer_init (&connection->limit, timeout_expired, HANDSHAKE_TIMEOUT_S, 0.0);
  connection->reader.data = connection;
  connection->writer.data = connection;
  connection->limit.data = connection;
  ev_io_start (links->loop, &connection->reader);
  ev_io_start (links->loop, &connection->writer);
  ev_timer_start (links->loop, &connection->limit);
  g_ptr_array_add (links->connections, connection);
  if (target)
    target->connection = connection;
  return connection;
}

static void
connection_close (Connection *connection, const char *reason)
{
  WcPeerLinks  *links = connection->links;
  uint64_t      peer = wc_peer_session_get_peer (connection->session);
  bool          down = g_hash_table_lookup (links->established, &peer) == connection;
  OutboundPeer *target = g_hash_table_lookup (links->targets, &peer);

  if (reason)
    wc_log_ratelimited (connection->is_established ? WC_LOG_NOTICE : WC_LOG_DEBUG, "peer", "Link to %s is closed: %s.",
                        wc_peer_session_is_ready (connection->session)
                            ? wc_peer_session_get_peer_name (connection->session)
                            : "an unknown peer",
                        reason);
  /* A link that the peer closes at once must not be opened again at the highest pace. */
  if (target && connection->is_established && ev_now (links->loop) >= connection->established_s + RETRY_DELAY_MAX_S)
    target->retry_delay_s = RETRY_DELAY_MIN_S;
  ev_io_stop (links->loop, &connection->reader);
  ev_io_stop (links->loop, &connection->writer);
  ev_clear_pending (links->loop, &connection->limit);
  ev_timer_stop (links->loop, &connection->limit);
  close (connection->descriptor);
  if (down)
    g_hash_table_remove (links->established, &peer);
  g_ptr_array_remove_fast (links->connections, connection);
  if (connection->target)
    connection->target->connection = NULL;
  if (connection->target || (down && target && !target->connection))
    schedule_retry (connection->target ? connection->target : target);
  wc_peer_session_delete (connection->session);
  g_byte_array_free (connection->in, TRUE);
  g_byte_array_free (connection->out, TRUE);
  g_free (connection);
  if (down)
    links->ops->down (links->user_data, peer);
}

static void
readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Connection *connection = watcher->data;
  guint       length = connection->in->len;
  ssize_t     got;

  (void)loop;
  (void)events;
  g_byte_array_set_size (connection->in, length + READ_BYTES);
  got = read (connection->descriptor, connection->in->data + length, READ_BYTES);
  g_byte_array_set_size (connection->in, length + (guint)MAX (got, 0));
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      connection_close (connection, got == 0 ? "the peer closed it" : g_strerror (errno));
      return;
    }
  wc_counters_add (connection->links->counters, WC_COUNTER_PEER_BYTES_RECEIVED, (uint64_t)got);
  process_frames (connection);
}

static void
writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Connection *connection = watcher->data;

  (void)loop;
  (void)events;
  if (connection->connecting)
    {
      int       error = 0;
      socklen_t length = sizeof error;

      getsockopt (connection->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0)
        {
          connection_close (connection, g_strerror (error));
          return;
        }
      connection->connecting = false;
    }
  flush (connection);
}

static void
timeout_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  Connection *connection = watcher->data;

  (void)loop;
  (void)events;
  if (connection->close_requested)
    connection_close (connection, "it is not needed any more");
  else if (connection->out->len - connection->sent_bytes > SEND_BUFFER_MAX_BYTES / 2)
    connection_close (connection, "too much data is waiting for the peer");
  else
    connection_close (connection, connection->is_established ? "the peer is silent" : "the handshake took too long");
}

static void
retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  OutboundPeer *target = watcher->data;
  WcPeerLinks  *links = target->links;
  int           descriptor;

  (void)loop;
  (void)events;
  if (target->connection || g_hash_table_contains (links->established, &target->member.id))
    return;
  if (links->ops->is_blocked (links->user_data, target->member.domain))
    {
      schedule_retry (target);
      return;
    }
  descriptor = wc_socket_connect (&target->member.address);
  if (descriptor < 0)
    {
      schedule_retry (target);
      return;
    }
  connection_new (links, descriptor, target);
}

/* The random factor keeps the instances of a domain from reconnecting in step. */
static void
schedule_retry (OutboundPeer *target)
{
  double factor = 0.5 + (double)randombytes_uniform (1000) / 1000.0;

  ev_timer_stop (target->links->loop, &target->retry);
  ev_timer_set (&target->retry, target->retry_delay_s * factor, 0.0);
  ev_timer_start (target->links->loop, &target->retry);
  target->retry_delay_s = MIN (target->retry_delay_s * 2.0, RETRY_DELAY_MAX_S);
}

static void
outbound_peer_free (gpointer data)
{
  OutboundPeer *target = data;

  ev_timer_stop (target->links->loop, &target->retry);
  if (target->connection)
    target->connection->target = NULL;
  g_free (target);
}

/* Return: false when the connection was closed. */
static bool
process_frames (Connection *connection)
{
  guint offset = 0;

  while (connection->in->len - offset >= WC_PEER_LENGTH_BYTES)
    {
      uint32_t length;

      memcpy (&length, connection->in->data + offset, sizeof length);
      length = GUINT32_FROM_BE (length);
      if (length > wc_peer_session_get_max_frame_bytes (connection->session))
        {
          wc_counters_add (connection->links->counters, WC_COUNTER_PEER_FRAMES_REJECTED, 1);
          connection_close (connection, WC_PEER_STATUS_STRINGS[WC_PEER_TOO_LARGE]);
          return false;
        }
      if (connection->in->len - offset - WC_PEER_LENGTH_BYTES < length)
        break;
      if (!process_frame (connection, connection->in->data + offset + WC_PEER_LENGTH_BYTES, length))
        return false;
      offset += WC_PEER_LENGTH_BYTES + length;
    }
  if (offset > 0)
    g_byte_array_remove_range (connection->in, 0, offset);
  return true;
}

/* Return: false when the connection was closed. */
static bool
process_frame (Connection *connection, const uint8_t *data, size_t size_bytes)
{
  WcPeerLinks   *links = connection->links;
  bool           was_ready = wc_peer_session_is_ready (connection->session);
  uint64_t       peer;
  Wc__PeerFrame *frame;
  WcError        error;

  if (wc_peer_session_receive (connection->session, data, size_bytes, &frame, &error) != WC_PEER_OK)
    {
      wc_counters_add (links->counters, WC_COUNTER_PEER_FRAMES_REJECTED, 1);
      wc_log_ratelimited (WC_LOG_WARNING, "peer", "Frame rejected: %s.", error.message);
      connection_close (connection, error.message);
      return false;
    }
  if (!was_ready)
    {
      /* An empty frame proves the key to the peer. */
      Wc__PeerFrame proof = WC__PEER_FRAME__INIT;

      wc_peer_session_pack (connection->session, &proof, connection->out);
      ev_io_start (links->loop, &connection->writer);
      return true;
    }
  peer = wc_peer_session_get_peer (connection->session);
  if (!connection->is_established && !establish (connection))
    {
      wc__peer_frame__free_unpacked (frame, NULL);
      return false;
    }
  ev_timer_stop (links->loop, &connection->limit);
  ev_timer_set (&connection->limit, IDLE_TIMEOUT_S, 0.0);
  ev_timer_start (links->loop, &connection->limit);
  wc_counters_add (links->counters, WC_COUNTER_PEER_FRAMES_RECEIVED, 1);
  if (frame->kind != WC__PEER_FRAME__KIND__NONE)
    links->ops->receive (links->user_data, peer, frame);
  wc__peer_frame__free_unpacked (frame, NULL);
  return true;
}

/* The peer is authentic. Of two links to one incarnation both sides keep the one that the lower id opened, or the later
 * one of the same side. Return: false when the connection was closed. */
static bool
establish (Connection *connection)
{
  WcPeerLinks  *links = connection->links;
  uint64_t      peer = wc_peer_session_get_peer (connection->session);
  uint64_t      incarnation = wc_peer_session_get_peer_incarnation (connection->session);
  uint32_t      domain = wc_peer_session_get_peer_domain (connection->session);
  Connection   *other = g_hash_table_lookup (links->established, &peer);
  OutboundPeer *target = g_hash_table_lookup (links->targets, &peer);
  uint64_t     *key;

  if (links->ops->is_blocked (links->user_data, domain))
    {
      connection_close (connection, "links to its domain are cut by fault injection");
      return false;
    }
  if (connection->target && connection->target->member.id != peer)
    {
      connection_close (connection, "another instance answered at this address");
      return false;
    }
  if (other && wc_peer_session_get_peer_incarnation (other->session) == incarnation)
    {
      bool keep_own = links->config.instance < peer;

      if (other->initiator != connection->initiator && connection->initiator != keep_own)
        {
          connection->target = NULL;
          if (target && target->connection == connection)
            target->connection = NULL;
          connection_close (connection, "a second link to the same peer");
          return false;
        }
    }
  connection->is_established = true;
  key = g_new (uint64_t, 1);
  *key = peer;
  g_hash_table_replace (links->established, key, connection);
  connection->established_s = ev_now (links->loop);
  if (other)
    {
      if (other->target && other->target->connection == other)
        other->target->connection = NULL;
      other->target = NULL;
      connection_close (other, "replaced by a later link");
    }
  wc_log (WC_LOG_INFO, "peer", "Link to %s is up, key epoch %u.", wc_peer_session_get_peer_name (connection->session),
          wc_peer_session_get_epoch (connection->session));
  links->ops->up (links->user_data, peer, incarnation, domain, wc_peer_session_get_peer_name (connection->session));
  return true;
}

static void
flush (Connection *connection)
{
  while (connection->sent_bytes < connection->out->len)
    {
      ssize_t sent = send (connection->descriptor, connection->out->data + connection->sent_bytes,
                           connection->out->len - connection->sent_bytes, MSG_NOSIGNAL);

      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        {
          if (connection->sent_bytes > READ_BYTES)
            {
              g_byte_array_remove_range (connection->out, 0, connection->sent_bytes);
              connection->sent_bytes = 0;
            }
          return;
        }
      if (sent < 0)
        {
          connection_close (connection, g_strerror (errno));
          return;
        }
      connection->sent_bytes += (guint)sent;
      wc_counters_add (connection->links->counters, WC_COUNTER_PEER_BYTES_SENT, (uint64_t)sent);
    }
  g_byte_array_set_size (connection->out, 0);
  connection->sent_bytes = 0;
  ev_io_stop (connection->links->loop, &connection->writer);
}

static guint
count_unauthenticated (const WcPeerLinks *links)
{
  guint count = 0;

  for (guint i = 0; i < links->connections->len; i++)
    count += ((Connection *)g_ptr_array_index (links->connections, i))->is_established ? 0 : 1;
  return count;
}
