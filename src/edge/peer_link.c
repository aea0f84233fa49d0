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
  /* Room for two answers to CONFIG_ASK, of 8 parts of up to 1 MB each. */
  SEND_BUFFER_MAX_BYTES = 16 * (WC_PEER_FRAME_MAX_BYTES + WC_PEER_LENGTH_BYTES),
  READ_BYTES = 65536,
  CONNECTIONS_MAX = 256,
  /* Limits unauthenticated connections, so that unknown clients cannot use up CONNECTIONS_MAX. */
  UNAUTHENTICATED_MAX = 64
};

static const double HANDSHAKE_TIMEOUT_S = 3.0;
/* Three of the longest heartbeat intervals, which are those between domains when a domain is large. */
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
  OutboundPeer  *outbound;
  WcPeerSession *session;
  GByteArray    *receive_buffer;
  GByteArray    *send_buffer;
  guint          sent_bytes;
  ev_io          read_watcher;
  ev_io          write_watcher;
  ev_timer       timeout_timer;
} Connection;

struct OutboundPeer
{
  WcPeerLinks *links;
  WcMember     member;
  Connection  *connection;
  ev_timer     retry_timer;
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
  GHashTable          *outbound_peers;
};

static void        accept_connections (struct ev_loop *loop, ev_io *watcher, int events);
static Connection *connection_new (WcPeerLinks *links, int descriptor, OutboundPeer *outbound);
static void        connection_close (Connection *connection, const char *reason);
static void        read_connection (struct ev_loop *loop, ev_io *watcher, int events);
static void        write_connection (struct ev_loop *loop, ev_io *watcher, int events);
static void        timeout_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void        retry_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void        schedule_retry (OutboundPeer *outbound);
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
      wc_error_set (error, WC_STATUS_INVALID, "cannot bind peer address %s: %s",
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
  links->outbound_peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, outbound_peer_free);
  ev_io_init (&links->accept_watcher, accept_connections, listener, EV_READ);
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
  g_hash_table_remove_all (links->outbound_peers);
  while (links->connections->len > 0)
    connection_close (g_ptr_array_index (links->connections, 0), NULL);
  g_hash_table_destroy (links->outbound_peers);
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
  OutboundPeer *outbound;

  assert (links != NULL);
  assert (member != NULL);

  outbound = g_new0 (OutboundPeer, 1);
  outbound->links = links;
  outbound->member = *member;
  outbound->retry_delay_s = RETRY_DELAY_MIN_S;
  ev_timer_init (&outbound->retry_timer, retry_timer_expired, 0.0, 0.0);
  outbound->retry_timer.data = outbound;
  g_hash_table_replace (links->outbound_peers, &outbound->member.id, outbound);
  ev_timer_start (links->loop, &outbound->retry_timer);
}

void
wc_peer_links_disconnect (WcPeerLinks *links, uint64_t peer)
{
  OutboundPeer *outbound;
  Connection   *connection;

  assert (links != NULL);

  outbound = g_hash_table_lookup (links->outbound_peers, &peer);
  if (!outbound)
    return;
  connection = outbound->connection;
  g_hash_table_remove (links->outbound_peers, &peer);
  /* The control state is the caller and must not be called back from here, so the event loop closes the connection. */
  if (connection)
    {
      connection->close_requested = true;
      ev_feed_event (links->loop, &connection->timeout_timer, EV_TIMER);
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
  before = connection->send_buffer->len;
  status = wc_peer_session_pack (connection->session, frame, connection->send_buffer);
  if (status != WC_PEER_OK)
    {
      wc_log_ratelimited (WC_LOG_ERROR, "peer", "A frame to a peer was not sent: %s.", WC_PEER_STATUS_STRINGS[status]);
      return false;
    }
  /* The caller may be iterating over its links, so the event loop closes a link whose send buffer is full. */
  if (connection->send_buffer->len - connection->sent_bytes > SEND_BUFFER_MAX_BYTES)
    {
      g_byte_array_set_size (connection->send_buffer, before);
      ev_feed_event (links->loop, &connection->timeout_timer, EV_TIMER);
      return false;
    }
  wc_counters_add (links->counters, WC_COUNTER_PEER_FRAMES_SENT, 1);
  ev_io_start (links->loop, &connection->write_watcher);
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
        connection_close (connection, "fault injection blocks the domain of the peer");
    }
}

/* local functions */

static void
accept_connections (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcPeerLinks *links = watcher->data;
  int          descriptor;

  (void)loop;
  (void)events;
  while ((descriptor = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      if (links->connections->len >= CONNECTIONS_MAX || count_unauthenticated (links) >= UNAUTHENTICATED_MAX)
        {
          wc_log_ratelimited (WC_LOG_WARNING, "peer", "Connection from a peer refused: too many connections.");
          close (descriptor);
          continue;
        }
      wc_socket_set_tcp_options (descriptor);
      connection_new (links, descriptor, NULL);
    }
}

static Connection *
connection_new (WcPeerLinks *links, int descriptor, OutboundPeer *outbound)
{
  Connection         *connection = g_new0 (Connection, 1);
  WcPeerSessionConfig config = { 0 };

  config.initiator = outbound != NULL;
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
  connection->initiator = outbound != NULL;
  connection->connecting = outbound != NULL;
  connection->outbound = outbound;
  connection->session = wc_peer_session_new (&config);
  connection->receive_buffer = g_byte_array_new ();
  connection->send_buffer = g_byte_array_new ();
  wc_peer_session_pack_hello (connection->session, connection->send_buffer);
  ev_io_init (&connection->read_watcher, read_connection, descriptor, EV_READ);
  ev_io_init (&connection->write_watcher, write_connection, descriptor, EV_WRITE);
  ev_timer_init (&connection->timeout_timer, timeout_expired, HANDSHAKE_TIMEOUT_S, 0.0);
  connection->read_watcher.data = connection;
  connection->write_watcher.data = connection;
  connection->timeout_timer.data = connection;
  ev_io_start (links->loop, &connection->read_watcher);
  ev_io_start (links->loop, &connection->write_watcher);
  ev_timer_start (links->loop, &connection->timeout_timer);
  g_ptr_array_add (links->connections, connection);
  if (outbound)
    outbound->connection = connection;
  return connection;
}

static void
connection_close (Connection *connection, const char *reason)
{
  WcPeerLinks  *links = connection->links;
  uint64_t      peer = wc_peer_session_get_peer (connection->session);
  bool          was_established = g_hash_table_lookup (links->established, &peer) == connection;
  OutboundPeer *outbound = g_hash_table_lookup (links->outbound_peers, &peer);

  if (reason)
    wc_log_ratelimited (connection->is_established ? WC_LOG_NOTICE : WC_LOG_DEBUG, "peer", "Link to %s is closed: %s.",
                        wc_peer_session_is_ready (connection->session)
                            ? wc_peer_session_get_peer_name (connection->session)
                            : "an unknown peer",
                        reason);
  /* The retry delay is reset only after the link was up for some time: a link that the peer closes right after the
   * handshake must not be reopened at the shortest delay each time. */
  if (outbound && connection->is_established && ev_now (links->loop) >= connection->established_s + RETRY_DELAY_MAX_S)
    outbound->retry_delay_s = RETRY_DELAY_MIN_S;
  ev_io_stop (links->loop, &connection->read_watcher);
  ev_io_stop (links->loop, &connection->write_watcher);
  ev_clear_pending (links->loop, &connection->timeout_timer);
  ev_timer_stop (links->loop, &connection->timeout_timer);
  close (connection->descriptor);
  if (was_established)
    g_hash_table_remove (links->established, &peer);
  g_ptr_array_remove_fast (links->connections, connection);
  if (connection->outbound)
    connection->outbound->connection = NULL;
  if (connection->outbound || (was_established && outbound && !outbound->connection))
    schedule_retry (connection->outbound ? connection->outbound : outbound);
  wc_peer_session_delete (connection->session);
  g_byte_array_free (connection->receive_buffer, TRUE);
  g_byte_array_free (connection->send_buffer, TRUE);
  g_free (connection);
  if (was_established)
    links->ops->down (links->user_data, peer);
}

static void
read_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  Connection *connection = watcher->data;
  guint       length = connection->receive_buffer->len;
  ssize_t     received_bytes;

  (void)loop;
  (void)events;
  g_byte_array_set_size (connection->receive_buffer, length + READ_BYTES);
  received_bytes = read (connection->descriptor, connection->receive_buffer->data + length, READ_BYTES);
  g_byte_array_set_size (connection->receive_buffer, length + (guint)MAX (received_bytes, 0));
  if (received_bytes < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received_bytes <= 0)
    {
      connection_close (connection, received_bytes == 0 ? "the peer closed the connection" : g_strerror (errno));
      return;
    }
  wc_counters_add (connection->links->counters, WC_COUNTER_PEER_BYTES_RECEIVED, (uint64_t)received_bytes);
  process_frames (connection);
}

static void
write_connection (struct ev_loop *loop, ev_io *watcher, int events)
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
    connection_close (connection, "the link is no longer needed");
  else if (connection->send_buffer->len - connection->sent_bytes > SEND_BUFFER_MAX_BYTES / 2)
    connection_close (connection, "too much unsent data in the send buffer");
  else
    connection_close (connection,
                      connection->is_established ? "no frame received within the idle timeout" : "handshake timeout");
}

static void
retry_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  OutboundPeer *outbound = watcher->data;
  WcPeerLinks  *links = outbound->links;
  int           descriptor;

  (void)loop;
  (void)events;
  if (outbound->connection || g_hash_table_contains (links->established, &outbound->member.id))
    return;
  if (links->ops->is_blocked (links->user_data, outbound->member.domain))
    {
      schedule_retry (outbound);
      return;
    }
  descriptor = wc_socket_connect (&outbound->member.address);
  if (descriptor < 0)
    {
      schedule_retry (outbound);
      return;
    }
  connection_new (links, descriptor, outbound);
}

/* Starts the retry timer. The delay doubles up to its maximum; a random factor of 0.5 to 1.5 keeps the instances of a
 * domain from reconnecting at the same time. */
static void
schedule_retry (OutboundPeer *outbound)
{
  double factor = 0.5 + (double)randombytes_uniform (1000) / 1000.0;

  ev_timer_stop (outbound->links->loop, &outbound->retry_timer);
  ev_timer_set (&outbound->retry_timer, outbound->retry_delay_s * factor, 0.0);
  ev_timer_start (outbound->links->loop, &outbound->retry_timer);
  outbound->retry_delay_s = MIN (outbound->retry_delay_s * 2.0, RETRY_DELAY_MAX_S);
}

static void
outbound_peer_free (gpointer data)
{
  OutboundPeer *outbound = data;

  ev_timer_stop (outbound->links->loop, &outbound->retry_timer);
  if (outbound->connection)
    outbound->connection->outbound = NULL;
  g_free (outbound);
}

/* Return: false when the connection was closed. */
static bool
process_frames (Connection *connection)
{
  guint offset = 0;

  while (connection->receive_buffer->len - offset >= WC_PEER_LENGTH_BYTES)
    {
      uint32_t length;

      memcpy (&length, connection->receive_buffer->data + offset, sizeof length);
      length = GUINT32_FROM_BE (length);
      if (length > wc_peer_session_get_max_frame_bytes (connection->session))
        {
          wc_counters_add (connection->links->counters, WC_COUNTER_PEER_FRAMES_REJECTED, 1);
          connection_close (connection, WC_PEER_STATUS_STRINGS[WC_PEER_TOO_LARGE]);
          return false;
        }
      if (connection->receive_buffer->len - offset - WC_PEER_LENGTH_BYTES < length)
        break;
      if (!process_frame (connection, connection->receive_buffer->data + offset + WC_PEER_LENGTH_BYTES, length))
        return false;
      offset += WC_PEER_LENGTH_BYTES + length;
    }
  if (offset > 0)
    g_byte_array_remove_range (connection->receive_buffer, 0, offset);
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
      wc_log_ratelimited (WC_LOG_WARNING, "peer", "Frame from a peer rejected: %s.", error.message);
      connection_close (connection, error.message);
      return false;
    }
  if (!was_ready)
    {
      /* The handshake is complete. An empty frame proves to the peer that this side has the session key. */
      Wc__PeerFrame key_proof = WC__PEER_FRAME__INIT;

      wc_peer_session_pack (connection->session, &key_proof, connection->send_buffer);
      ev_io_start (links->loop, &connection->write_watcher);
      return true;
    }
  peer = wc_peer_session_get_peer (connection->session);
  if (!connection->is_established && !establish (connection))
    {
      wc__peer_frame__free_unpacked (frame, NULL);
      return false;
    }
  ev_timer_stop (links->loop, &connection->timeout_timer);
  ev_timer_set (&connection->timeout_timer, IDLE_TIMEOUT_S, 0.0);
  ev_timer_start (links->loop, &connection->timeout_timer);
  wc_counters_add (links->counters, WC_COUNTER_PEER_FRAMES_RECEIVED, 1);
  if (frame->kind != WC__PEER_FRAME__KIND__NONE)
    links->ops->receive (links->user_data, peer, frame);
  wc__peer_frame__free_unpacked (frame, NULL);
  return true;
}

/*
 * Registers a link whose peer was authenticated. When there are two links to one incarnation, both sides keep the one
 * that the instance with the lower identifier opened; when one side opened both, the newer one.
 *
 * Return: false when the connection was closed.
 */
static bool
establish (Connection *connection)
{
  WcPeerLinks  *links = connection->links;
  uint64_t      peer = wc_peer_session_get_peer (connection->session);
  uint64_t      incarnation = wc_peer_session_get_peer_incarnation (connection->session);
  uint32_t      domain = wc_peer_session_get_peer_domain (connection->session);
  Connection   *previous = g_hash_table_lookup (links->established, &peer);
  OutboundPeer *outbound = g_hash_table_lookup (links->outbound_peers, &peer);
  uint64_t     *key;

  if (links->ops->is_blocked (links->user_data, domain))
    {
      connection_close (connection, "fault injection blocks the domain of the peer");
      return false;
    }
  if (connection->outbound && connection->outbound->member.id != peer)
    {
      connection_close (connection, "another instance answered at this address");
      return false;
    }
  if (previous && wc_peer_session_get_peer_incarnation (previous->session) == incarnation)
    {
      bool keep_own = links->config.instance < peer;

      if (previous->initiator != connection->initiator && connection->initiator != keep_own)
        {
          connection->outbound = NULL;
          if (outbound && outbound->connection == connection)
            outbound->connection = NULL;
          connection_close (connection, "duplicate link to the same peer");
          return false;
        }
    }
  connection->is_established = true;
  key = g_new (uint64_t, 1);
  *key = peer;
  g_hash_table_replace (links->established, key, connection);
  connection->established_s = ev_now (links->loop);
  if (previous)
    {
      if (previous->outbound && previous->outbound->connection == previous)
        previous->outbound->connection = NULL;
      previous->outbound = NULL;
      connection_close (previous, "replaced by a newer link");
    }
  wc_log (WC_LOG_INFO, "peer", "Link to %s is up, key epoch %u.", wc_peer_session_get_peer_name (connection->session),
          wc_peer_session_get_epoch (connection->session));
  links->ops->up (links->user_data, peer, incarnation, domain, wc_peer_session_get_peer_name (connection->session));
  return true;
}

static void
flush (Connection *connection)
{
  while (connection->sent_bytes < connection->send_buffer->len)
    {
      ssize_t sent = send (connection->descriptor, connection->send_buffer->data + connection->sent_bytes,
                           connection->send_buffer->len - connection->sent_bytes, MSG_NOSIGNAL);

      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        {
          if (connection->sent_bytes > READ_BYTES)
            {
              g_byte_array_remove_range (connection->send_buffer, 0, connection->sent_bytes);
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
  g_byte_array_set_size (connection->send_buffer, 0);
  connection->sent_bytes = 0;
  ev_io_stop (connection->links->loop, &connection->write_watcher);
}

static guint
count_unauthenticated (const WcPeerLinks *links)
{
  guint count = 0;

  for (guint i = 0; i < links->connections->len; i++)
    count += ((Connection *)g_ptr_array_index (links->connections, i))->is_established ? 0 : 1;
  return count;
}
