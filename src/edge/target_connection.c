#include "edge/target_connection.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "edge/socket.h"
#include "edge/socket_address.h"

enum
{
  READ_BYTES = 65536
};

const char *const WC_CONNECTION_STATE_STRINGS[WC_CONNECTION_STATE_COUNT] = {
  [WC_CONNECTION_CONNECTING] = "connecting",
  [WC_CONNECTION_CONFIRMING] = "confirming",
  [WC_CONNECTION_IDLE] = "idle",
  [WC_CONNECTION_SENDING] = "sending",
  [WC_CONNECTION_RECEIVING] = "receiving",
  [WC_CONNECTION_FAILED] = "failed",
};

static void on_io (struct ev_loop *loop, ev_io *io, int events);
static void on_connected (WcTargetConnection *connection);
static void on_readable (WcTargetConnection *connection);
static void on_complete (WcTargetConnection *connection);
static void write_request (WcTargetConnection *connection);
static void set_watched_events (WcTargetConnection *connection, int events);
static void close_connection (WcTargetConnection *connection, WcAttemptEnd end);
static void reset_parser (WcTargetConnection *connection);
static bool is_refusal (unsigned http_status);
static bool is_earlier_request (const WcTargetConnection *connection, uint64_t request_id);
static void process_header (WcTargetConnection *connection);
static int  on_header_field (http_parser *parser, const char *text, size_t length);
static int  on_header_value (http_parser *parser, const char *text, size_t length);
static int  on_headers_complete (http_parser *parser);
static int  on_body (http_parser *parser, const char *text, size_t length);
static int  on_message_complete (http_parser *parser);

static const http_parser_settings PARSER_SETTINGS = {
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

WcTargetConnection *
wc_target_connection_new (struct ev_loop *loop, const WcTarget *target, const char *service_name,
                          const WcConnectionOps *ops, void *user_data)
{
  WcTargetConnection     *connection = g_new0 (WcTargetConnection, 1);
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (&target->address, &storage);
  int                     on = 1;

  connection->loop = loop;
  connection->ops = ops;
  connection->user_data = user_data;
  connection->target = target->id;
  connection->state = WC_CONNECTION_CONNECTING;
  g_strlcpy (connection->service_name, service_name, sizeof connection->service_name);
  connection->fd =
      socket (target->address.family == 6 ? AF_INET6 : AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  ev_io_init (&connection->io, on_io, connection->fd, EV_WRITE);
  connection->io.data = connection;
  if (connection->fd >= 0)
    setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connection->fd >= 0 &&
      (connect (connection->fd, (struct sockaddr *)&storage, length) == 0 || errno == EINPROGRESS))
    {
      ev_io_start (loop, &connection->io);
    }
  else
    {
      connection->state = WC_CONNECTION_FAILED;
      ev_feed_event (loop, &connection->io, EV_WRITE);
    }
  return connection;
}

void
wc_target_connection_delete (WcTargetConnection *connection)
{
  if (!connection)
    return;
  ev_clear_pending (connection->loop, &connection->io);
  ev_io_stop (connection->loop, &connection->io);
  if (connection->fd >= 0)
    close (connection->fd);
  g_free (connection);
}

bool
wc_target_connection_start (WcTargetConnection *connection, const WcAttempt *attempt)
{
  int length;

  assert (connection->attempt == 0);

  length = g_snprintf (connection->request, sizeof connection->request,
                       "%s %s HTTP/1.1\r\n"
                       "Host: %s\r\n"
                       "X-Request-Id: %016" G_GINT64_MODIFIER "x\r\n"
                       "X-Request-Deadline-Ms: %u\r\n"
                       "Content-Length: %zu\r\n"
                       "\r\n",
                       attempt->method, attempt->path, attempt->service_name, attempt->request_id,
                       attempt->remaining_ms, attempt->body_bytes);
  if (length < 0 || (size_t)length + attempt->body_bytes > sizeof connection->request)
    return false;
  if (attempt->body_bytes > 0)
    memcpy (connection->request + length, attempt->body, attempt->body_bytes);
  connection->request_bytes = (size_t)length + attempt->body_bytes;
  connection->request_ids[++connection->request_count % WC_CONNECTION_REQUEST_IDS] = attempt->request_id;
  connection->written_bytes = 0;
  connection->attempt = attempt->id;
  if (connection->state == WC_CONNECTION_IDLE)
    {
      connection->state = WC_CONNECTION_SENDING;
      ev_feed_event (connection->loop, &connection->io, EV_WRITE);
    }
  return true;
}

/* local functions */

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  WcTargetConnection *connection = io->data;

  (void)loop;
  switch (connection->state)
    {
    case WC_CONNECTION_FAILED:
      close_connection (connection, WC_ATTEMPT_NOT_SENT);
      break;
    case WC_CONNECTION_CONNECTING:
      on_connected (connection);
      break;
    case WC_CONNECTION_SENDING:
      /* Input before the first byte was written means that the target closed the idle connection. */
      if ((events & EV_READ) && connection->written_bytes == 0)
        close_connection (connection, WC_ATTEMPT_NOT_SENT);
      else
        write_request (connection);
      break;
    default:
      on_readable (connection);
      break;
    }
}

static void
on_connected (WcTargetConnection *connection)
{
  char      text[256];
  int       error = 0;
  socklen_t length = sizeof error;
  int       size;

  if (getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &length) < 0 || error != 0)
    {
      close_connection (connection, WC_ATTEMPT_NOT_SENT);
      return;
    }
  size = g_snprintf (text, sizeof text, "OPTIONS * HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
                     connection->service_name);
  if (size >= (int)sizeof text || send (connection->fd, text, (size_t)size, MSG_NOSIGNAL) != size)
    {
      close_connection (connection, WC_ATTEMPT_NOT_SENT);
      return;
    }
  connection->state = WC_CONNECTION_CONFIRMING;
  reset_parser (connection);
  set_watched_events (connection, EV_READ);
}

static void
write_request (WcTargetConnection *connection)
{
  ssize_t sent;

  if (connection->written_bytes == 0 &&
      (!wc_socket_is_silent (connection->fd) || !connection->ops->sending (connection->user_data, connection->attempt)))
    {
      close_connection (connection, WC_ATTEMPT_NOT_SENT);
      return;
    }
  sent = send (connection->fd, connection->request + connection->written_bytes,
               connection->request_bytes - connection->written_bytes, MSG_NOSIGNAL);
  if (sent < 0 && (errno == EAGAIN || errno == EINTR))
    {
      set_watched_events (connection, EV_WRITE);
      return;
    }
  if (sent < 0)
    {
      close_connection (connection, connection->written_bytes == 0 ? WC_ATTEMPT_NOT_SENT : WC_ATTEMPT_BROKEN);
      return;
    }
  connection->written_bytes += (size_t)sent;
  if (connection->written_bytes < connection->request_bytes)
    {
      set_watched_events (connection, EV_WRITE);
      return;
    }
  connection->state = WC_CONNECTION_RECEIVING;
  reset_parser (connection);
  set_watched_events (connection, EV_READ);
}

static void
on_readable (WcTargetConnection *connection)
{
  static _Thread_local char buffer[READ_BYTES];
  ssize_t                   size = recv (connection->fd, buffer, sizeof buffer, 0);
  size_t                    parsed;

  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (connection->state == WC_CONNECTION_IDLE || size < 0)
    {
      close_connection (connection,
                        connection->state == WC_CONNECTION_RECEIVING ? WC_ATTEMPT_BROKEN : WC_ATTEMPT_NOT_SENT);
      return;
    }
  parsed = http_parser_execute (&connection->parser, &PARSER_SETTINGS, buffer, (size_t)size);
  if (connection->cancelled)
    {
      connection->attempt = 0;
      close_connection (connection, WC_ATTEMPT_BROKEN);
      return;
    }
  /*
   * At the end of file the parser completes an answer that announces no length. It is not known to be whole, because
   * the connection of a target that crashes ends in the same way.
   */
  if (connection->complete && size > 0)
    {
      if (parsed != (size_t)size)
        connection->parser.flags &= ~(unsigned)F_CONNECTION_KEEP_ALIVE;
      on_complete (connection);
      return;
    }
  if (size == 0 || parsed != (size_t)size)
    close_connection (connection,
                      connection->state == WC_CONNECTION_RECEIVING ? WC_ATTEMPT_BROKEN : WC_ATTEMPT_NOT_SENT);
}

static void
on_complete (WcTargetConnection *connection)
{
  unsigned http_status = connection->parser.status_code;
  bool     reusable = http_should_keep_alive (&connection->parser) != 0;
  uint64_t attempt = connection->attempt;

  if (connection->state == WC_CONNECTION_CONFIRMING)
    {
      if (http_status < 200 || http_status > 299 || !reusable)
        {
          if (http_status == 421)
            connection->ops->misdirected (connection->user_data, connection);
          close_connection (connection, is_refusal (http_status) ? WC_ATTEMPT_REFUSED : WC_ATTEMPT_NOT_SENT);
          return;
        }
      connection->state = attempt != 0 ? WC_CONNECTION_SENDING : WC_CONNECTION_IDLE;
      if (attempt != 0)
        write_request (connection);
      return;
    }

  if (is_refusal (http_status))
    {
      close_connection (connection, WC_ATTEMPT_REFUSED);
      return;
    }
  connection->attempt = 0;
  if (reusable)
    connection->state = WC_CONNECTION_IDLE;
  else
    connection->state = WC_CONNECTION_FAILED;
  connection->ops->done (connection->user_data, attempt, http_status, connection->load_running, connection->cursor);
  if (!reusable)
    close_connection (connection, WC_ATTEMPT_NOT_SENT);
}

static void
set_watched_events (WcTargetConnection *connection, int events)
{
  ev_io_stop (connection->loop, &connection->io);
  ev_io_set (&connection->io, connection->fd, events);
  ev_io_start (connection->loop, &connection->io);
}

static void
close_connection (WcTargetConnection *connection, WcAttemptEnd end)
{
  uint64_t attempt = connection->attempt;

  connection->attempt = 0;
  connection->state = WC_CONNECTION_FAILED;
  ev_clear_pending (connection->loop, &connection->io);
  ev_io_stop (connection->loop, &connection->io);
  if (attempt != 0)
    connection->ops->ended (connection->user_data, attempt, end);
  connection->ops->closed (connection->user_data, connection);
}

static void
reset_parser (WcTargetConnection *connection)
{
  http_parser_init (&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  connection->complete = false;
  connection->cancelled = false;
  connection->is_earlier = false;
  connection->load_running = UINT32_MAX;
  connection->cursor = 0;
  connection->header_name[0] = '\0';
  connection->header_value[0] = '\0';
  connection->has_header_value = false;
}

static bool
is_refusal (unsigned http_status)
{
  return http_status == 421 || http_status == 429 || http_status == 503;
}

/* Targets may send identifiers of their own, so only those of this connection's earlier requests are recognised. */
static bool
is_earlier_request (const WcTargetConnection *connection, uint64_t request_id)
{
  if (request_id == 0 || request_id == connection->request_ids[connection->request_count % WC_CONNECTION_REQUEST_IDS])
    return false;
  for (int i = 0; i < WC_CONNECTION_REQUEST_IDS; i++)
    if (connection->request_ids[i] == request_id)
      return true;
  return false;
}

static void
process_header (WcTargetConnection *connection)
{
  if (strcasecmp (connection->header_name, "X-Load") == 0)
    connection->load_running = (uint32_t)strtoul (connection->header_value, NULL, 10);
  else if (strcasecmp (connection->header_name, "X-Cursor") == 0)
    connection->cursor = strtoull (connection->header_value, NULL, 10);
  else if (strcasecmp (connection->header_name, "X-Request-Id") == 0)
    connection->is_earlier = is_earlier_request (connection, strtoull (connection->header_value, NULL, 16));
}

static int
on_header_field (http_parser *parser, const char *text, size_t length)
{
  WcTargetConnection *connection = parser->data;
  size_t              used_bytes;

  if (connection->has_header_value)
    {
      process_header (connection);
      connection->header_name[0] = '\0';
      connection->header_value[0] = '\0';
      connection->has_header_value = false;
    }
  used_bytes = strlen (connection->header_name);
  g_strlcpy (connection->header_name + used_bytes, text, MIN (sizeof connection->header_name - used_bytes, length + 1));
  return 0;
}

static int
on_header_value (http_parser *parser, const char *text, size_t length)
{
  WcTargetConnection *connection = parser->data;
  size_t              used_bytes = strlen (connection->header_value);

  connection->has_header_value = true;
  g_strlcpy (connection->header_value + used_bytes, text,
             MIN (sizeof connection->header_value - used_bytes, length + 1));
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  WcTargetConnection *connection = parser->data;

  if (connection->has_header_value)
    process_header (connection);
  /* A late second copy of the answer to an earlier request; the parser fails, and the connection is closed. */
  return connection->is_earlier ? -1 : 0;
}

static int
on_body (http_parser *parser, const char *text, size_t length)
{
  WcTargetConnection *connection = parser->data;

  if (connection->state != WC_CONNECTION_RECEIVING || is_refusal (parser->status_code))
    return 0;
  if (connection->ops->data (connection->user_data, connection->attempt, (const uint8_t *)text, length))
    return 0;
  connection->cancelled = true;
  return 1;
}

static int
on_message_complete (http_parser *parser)
{
  WcTargetConnection *connection = parser->data;

  connection->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}
