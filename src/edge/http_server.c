#include "edge/http_server.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "edge/socket.h"
#include "edge/socket_address.h"

enum
{
  READ_BYTES = 65536,
  /* Maximum size of a request; the connection of a larger one is closed. A part of a register has at most 1 MB. */
  REQUEST_MAX_BYTES = 16 << 20
};

/*
 * The current request of a connection; a connection handles one request at a time.
 * @has_header_value: a value, possibly empty, was received for @header_name.
 */
struct WcHttpExchange
{
  struct HttpConnection *connection;
  GString               *url;
  char                  *path;
  GHashTable            *parameters;
  GHashTable            *headers;
  GString               *header_name;
  GString               *header_value;
  bool                   has_header_value;
  GByteArray            *body;
  bool                   keep_alive;
  void                  *data;
};

/*
 * @awaits_response: a complete request was reported and has no response yet.
 * @request_parsed: set by the parser at the end of a request.
 * @in_process_input: process_input() is running and will process further input itself.
 */
typedef struct HttpConnection
{
  WcHttpServer  *server;
  int            fd;
  ev_io          read_watcher;
  ev_io          write_watcher;
  http_parser    parser;
  GByteArray    *input;
  GByteArray    *output;
  size_t         output_sent;
  WcHttpExchange exchange;
  bool           awaits_response;
  bool           request_parsed;
  bool           close_after_output;
  bool           is_closed;
  bool           in_process_input;
} HttpConnection;

struct WcHttpServer
{
  struct ev_loop *loop;
  int             fd;
  ev_io           accept_watcher;
  WcHttpServerOps ops;
  void           *user_data;
  GHashTable     *connections;
  GPtrArray      *closed;
  ev_prepare      free_watcher;
};

static void accept_connections (struct ev_loop *loop, ev_io *watcher, int events);
static void read_connection (struct ev_loop *loop, ev_io *watcher, int events);
static void write_connection (struct ev_loop *loop, ev_io *watcher, int events);
static void process_input (HttpConnection *connection);
static void flush_output (HttpConnection *connection);
static void close_connection (HttpConnection *connection);
static void free_closed (struct ev_loop *loop, ev_prepare *watcher, int events);
static void free_connection (void *data);
static void clear_exchange (WcHttpExchange *exchange);
static int  on_message_begin (http_parser *parser);
static int  on_url (http_parser *parser, const char *data, size_t size);
static int  on_header_field (http_parser *parser, const char *data, size_t size);
static int  on_header_value (http_parser *parser, const char *data, size_t size);
static int  on_headers_complete (http_parser *parser);
static int  on_body (http_parser *parser, const char *data, size_t size);
static int  on_message_complete (http_parser *parser);
static void store_header (WcHttpExchange *exchange);

static const http_parser_settings PARSER_SETTINGS = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

WcHttpServer *
wc_http_server_new (struct ev_loop *loop, const WcAddress *address, const WcHttpServerOps *ops, void *user_data,
                    WcError *error)
{
  WcHttpServer *server;
  int           fd;

  assert (ops != NULL && ops->request != NULL);

  fd = wc_socket_listen (address);
  if (fd < 0)
    {
      char text[WC_ADDRESS_TEXT_BYTES];

      wc_error_set (error, WC_STATUS_INVALID, "cannot listen on %s: %s", wc_address_format (address, text),
                    g_strerror (errno));
      return NULL;
    }
  server = g_new0 (WcHttpServer, 1);
  server->loop = loop;
  server->fd = fd;
  server->ops = *ops;
  server->user_data = user_data;
  server->connections = g_hash_table_new (NULL, NULL);
  server->closed = g_ptr_array_new_with_free_func (free_connection);
  ev_prepare_init (&server->free_watcher, free_closed);
  server->free_watcher.data = server;
  ev_prepare_start (loop, &server->free_watcher);
  ev_io_init (&server->accept_watcher, accept_connections, fd, EV_READ);
  server->accept_watcher.data = server;
  ev_io_start (loop, &server->accept_watcher);
  return server;
}

void
wc_http_server_delete (WcHttpServer *server)
{
  if (!server)
    return;
  ev_io_stop (server->loop, &server->accept_watcher);
  close (server->fd);
  wc_http_server_close_connections (server);
  ev_prepare_stop (server->loop, &server->free_watcher);
  g_ptr_array_free (server->closed, TRUE);
  g_hash_table_destroy (server->connections);
  g_free (server);
}

void
wc_http_server_get_address (const WcHttpServer *server, WcAddress *address)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t               length = sizeof storage;

  assert (server != NULL);

  getsockname (server->fd, (struct sockaddr *)&storage, &length);
  (void)wc_socket_address_from_sockaddr (&storage, address);
}

size_t
wc_http_server_get_connection_count (const WcHttpServer *server)
{
  assert (server != NULL);

  return g_hash_table_size (server->connections);
}

void
wc_http_server_close_connections (WcHttpServer *server)
{
  GList *connections;

  assert (server != NULL);

  connections = g_hash_table_get_keys (server->connections);
  /* The aborted callback of one connection may close another, so only connections still in the table are closed. */
  for (GList *item = connections; item; item = item->next)
    if (g_hash_table_contains (server->connections, item->data))
      close_connection (item->data);
  g_list_free (connections);
}

const char *
wc_http_exchange_get_method (const WcHttpExchange *exchange)
{
  return http_method_str ((enum http_method)exchange->connection->parser.method);
}

const char *
wc_http_exchange_get_path (const WcHttpExchange *exchange)
{
  return exchange->path;
}

const char *
wc_http_exchange_get_query_parameter (const WcHttpExchange *exchange, const char *name)
{
  return exchange->parameters ? g_hash_table_lookup (exchange->parameters, name) : NULL;
}

const char *
wc_http_exchange_get_header (const WcHttpExchange *exchange, const char *name)
{
  return g_hash_table_lookup (exchange->headers, name);
}

const char *
wc_http_exchange_get_body (const WcHttpExchange *exchange, size_t *size_bytes)
{
  if (size_bytes)
    *size_bytes = exchange->body->len - 1;
  return (const char *)exchange->body->data;
}

void
wc_http_exchange_set_data (WcHttpExchange *exchange, void *data)
{
  exchange->data = data;
}

void *
wc_http_exchange_get_data (const WcHttpExchange *exchange)
{
  return exchange->data;
}

void
wc_http_exchange_respond (WcHttpExchange *exchange, int status, const char *headers, const void *body,
                          size_t size_bytes)
{
  HttpConnection *connection = exchange->connection;
  GString        *head = g_string_new (NULL);
  bool            is_last = !exchange->keep_alive || (headers && strstr (headers, "Connection: close"));

  assert (connection->awaits_response);

  g_string_append_printf (head, "HTTP/1.1 %d %s\r\n", status, http_status_str ((enum http_status)status));
  /* Responses 204 and 304 have no content and must not have a Content-Length header. */
  if (status != 204 && status != 304)
    g_string_append_printf (head, "Content-Length: %zu\r\n", size_bytes);
  if (headers)
    g_string_append (head, headers);
  if (is_last && !(headers && strstr (headers, "Connection: close")))
    g_string_append (head, "Connection: close\r\n");
  g_string_append (head, "\r\n");

  g_byte_array_append (connection->output, (const guint8 *)head->str, (guint)head->len);
  if (size_bytes > 0)
    g_byte_array_append (connection->output, body, (guint)size_bytes);
  g_string_free (head, TRUE);
  clear_exchange (exchange);
  connection->awaits_response = false;
  connection->close_after_output = is_last;
  flush_output (connection);
  /* When the request callback responds directly, process_input() is already running. */
  if (!connection->in_process_input)
    process_input (connection);
}

void
wc_http_exchange_abort (WcHttpExchange *exchange)
{
  HttpConnection *connection = exchange->connection;

  connection->awaits_response = false;
  close_connection (connection);
}

/* local functions */

static void
accept_connections (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcHttpServer *server = watcher->data;
  int           on = 1;
  int           fd;

  (void)events;
  while ((fd = accept4 (server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      HttpConnection *connection;

      if (server->ops.accepted && !server->ops.accepted (server->user_data))
        {
          close (fd);
          continue;
        }
      (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = g_new0 (HttpConnection, 1);
      connection->server = server;
      connection->fd = fd;
      connection->input = g_byte_array_new ();
      connection->output = g_byte_array_new ();
      connection->exchange.connection = connection;
      http_parser_init (&connection->parser, HTTP_REQUEST);
      connection->parser.data = connection;
      ev_io_init (&connection->read_watcher, read_connection, fd, EV_READ);
      ev_io_init (&connection->write_watcher, write_connection, fd, EV_WRITE);
      connection->read_watcher.data = connection;
      connection->write_watcher.data = connection;
      ev_io_start (loop, &connection->read_watcher);
      g_hash_table_add (server->connections, connection);
    }
}

static void
read_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  HttpConnection *connection = watcher->data;
  uint8_t         data[READ_BYTES];
  ssize_t         size = read (connection->fd, data, sizeof data);

  (void)loop;
  (void)events;
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0 || connection->input->len + (size_t)size > REQUEST_MAX_BYTES)
    close_connection (connection);
  else
    {
      g_byte_array_append (connection->input, data, (guint)size);
      process_input (connection);
    }
}

static void
write_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  HttpConnection *connection = watcher->data;

  (void)loop;
  (void)events;
  flush_output (connection);
}

/* Parses input up to the end of a request. Pipelined input stays buffered until the response was sent. */
static void
process_input (HttpConnection *connection)
{
  connection->in_process_input = true;
  while (!connection->is_closed && !connection->awaits_response && !connection->close_after_output &&
         connection->input->len > 0)
    {
      size_t          parsed_bytes = http_parser_execute (&connection->parser, &PARSER_SETTINGS,
                                                          (const char *)connection->input->data, connection->input->len);
      enum http_errno error = HTTP_PARSER_ERRNO (&connection->parser);

      if (error != HPE_OK && error != HPE_PAUSED)
        {
          close_connection (connection);
          break;
        }
      g_byte_array_remove_range (connection->input, 0, (guint)parsed_bytes);
      if (!connection->request_parsed)
        break;
      connection->request_parsed = false;
      connection->awaits_response = true;
      http_parser_pause (&connection->parser, 0);
      connection->server->ops.request (connection->server->user_data, &connection->exchange);
    }
  connection->in_process_input = false;
}

static void
flush_output (HttpConnection *connection)
{
  while (connection->output_sent < connection->output->len)
    {
      ssize_t size = send (connection->fd, connection->output->data + connection->output_sent,
                           connection->output->len - connection->output_sent, MSG_NOSIGNAL);

      if (size < 0 && errno == EINTR)
        continue;
      if (size < 0 && errno == EAGAIN)
        {
          ev_io_start (connection->server->loop, &connection->write_watcher);
          return;
        }
      if (size < 0)
        {
          close_connection (connection);
          return;
        }
      connection->output_sent += (size_t)size;
    }
  ev_io_stop (connection->server->loop, &connection->write_watcher);
  g_byte_array_set_size (connection->output, 0);
  connection->output_sent = 0;
  if (connection->close_after_output)
    close_connection (connection);
}

static void
close_connection (HttpConnection *connection)
{
  if (connection->is_closed)
    return;
  connection->is_closed = true;
  ev_io_stop (connection->server->loop, &connection->read_watcher);
  ev_io_stop (connection->server->loop, &connection->write_watcher);
  g_hash_table_remove (connection->server->connections, connection);
  if (connection->awaits_response && connection->server->ops.aborted)
    connection->server->ops.aborted (connection->server->user_data, &connection->exchange);
  connection->awaits_response = false;
  close (connection->fd);
  g_ptr_array_add (connection->server->closed, connection);
}

/* Frees closed connections. At this point of the loop no function that uses a connection is on the call stack. */
static void
free_closed (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  WcHttpServer *server = watcher->data;

  (void)loop;
  (void)events;
  g_ptr_array_set_size (server->closed, 0);
}

static void
free_connection (void *data)
{
  HttpConnection *connection = data;

  clear_exchange (&connection->exchange);
  g_byte_array_free (connection->input, TRUE);
  g_byte_array_free (connection->output, TRUE);
  g_free (connection);
}

static void
clear_exchange (WcHttpExchange *exchange)
{
  if (!exchange->url)
    return;
  g_string_free (exchange->url, TRUE);
  g_string_free (exchange->header_name, TRUE);
  g_string_free (exchange->header_value, TRUE);
  g_hash_table_destroy (exchange->headers);
  if (exchange->parameters)
    g_hash_table_destroy (exchange->parameters);
  exchange->parameters = NULL;
  g_byte_array_free (exchange->body, TRUE);
  g_free (exchange->path);
  exchange->path = NULL;
  exchange->url = NULL;
  exchange->data = NULL;
}

static int
on_message_begin (http_parser *parser)
{
  HttpConnection *connection = parser->data;
  WcHttpExchange *exchange = &connection->exchange;

  clear_exchange (exchange);
  exchange->url = g_string_new (NULL);
  exchange->header_name = g_string_new (NULL);
  exchange->header_value = g_string_new (NULL);
  exchange->headers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  exchange->body = g_byte_array_new ();
  return 0;
}

static int
on_url (http_parser *parser, const char *data, size_t size)
{
  HttpConnection *connection = parser->data;

  g_string_append_len (connection->exchange.url, data, (gssize)size);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *data, size_t size)
{
  HttpConnection *connection = parser->data;

  if (connection->exchange.has_header_value)
    store_header (&connection->exchange);
  g_string_append_len (connection->exchange.header_name, data, (gssize)size);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *data, size_t size)
{
  HttpConnection *connection = parser->data;

  connection->exchange.has_header_value = true;
  g_string_append_len (connection->exchange.header_value, data, (gssize)size);
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  HttpConnection *connection = parser->data;

  store_header (&connection->exchange);
  return 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  HttpConnection *connection = parser->data;

  if (connection->exchange.body->len + size > REQUEST_MAX_BYTES)
    return 1;
  g_byte_array_append (connection->exchange.body, (const guint8 *)data, (guint)size);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  HttpConnection *connection = parser->data;
  WcHttpExchange *exchange = &connection->exchange;
  const char     *query = strchr (exchange->url->str, '?');

  exchange->path =
      query ? g_strndup (exchange->url->str, (gsize)(query - exchange->url->str)) : g_strdup (exchange->url->str);
  if (query)
    exchange->parameters = g_uri_parse_params (query + 1, -1, "&", G_URI_PARAMS_NONE, NULL);
  /* Zero byte after the body, see wc_http_exchange_get_body(). */
  g_byte_array_append (exchange->body, (const guint8 *)"", 1);
  exchange->keep_alive = http_should_keep_alive (parser) != 0;
  connection->request_parsed = true;
  http_parser_pause (parser, 1);
  return 0;
}

static void
store_header (WcHttpExchange *exchange)
{
  if (!exchange->has_header_value)
    return;
  exchange->has_header_value = false;
  g_hash_table_replace (exchange->headers, g_ascii_strdown (exchange->header_name->str, -1),
                        g_strdup (exchange->header_value->str));
  g_string_truncate (exchange->header_name, 0);
  g_string_truncate (exchange->header_value, 0);
}
