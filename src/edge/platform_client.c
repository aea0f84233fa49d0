#include "edge/platform_client.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <http_parser.h>

#include <wigeoncart/register.h>

#include "edge/log.h"
#include "edge/socket.h"

enum
{
  BUFFER_BYTES = 16384,
  HEADER_MAX_BYTES = 64
};

static const char DEFAULT_VERSION_HEADER[] = "X-Version";

/* Default time for one server to respond, in addition to the requested wait of a watch. */
static const double RESPONSE_TIMEOUT_S = 2.0;

/* Delay after which a read fails while the client is blocked. */
static const double BLOCKED_DELAY_S = 0.05;

/* Time from the first part of a body to its end. The platform allows at most 5 s until a configuration is in force. */
static const double BODY_TIMEOUT_S = 5.0;

/*
 * A page of the store holds up to 1 MB of values, a third more in base64, plus keys. A peer sends all items in one
 * response: 2 MB of entries at the planned size and a configuration of up to 1 MB.
 */
static const size_t BODY_MAX_BYTES[WC_PLATFORM_READ_COUNT] = {
  [WC_PLATFORM_READ_CONFIG_HEAD] = WC_REGISTER_PART_MAX_BYTES,
  [WC_PLATFORM_READ_CONFIG_PART] = WC_REGISTER_PART_MAX_BYTES,
  [WC_PLATFORM_READ_INSTANCES] = WC_REGISTER_PART_MAX_BYTES,
  [WC_PLATFORM_READ_STORE_ITEMS] = 8 << 20,
  [WC_PLATFORM_READ_STORE_CHANGES] = 8 << 20,
};

/* State of one kind of read, with its connection. */
typedef struct
{
  WcPlatformClient *client;
  WcPlatformRead    kind;
  bool              active;
  /* An attempt is in progress: its request is being sent, or its response is awaited. */
  bool     in_progress;
  char    *path;
  uint32_t wait_ms;
  size_t   attempts;
  size_t   address_index;
  int      descriptor;
  /* The connection was kept from an earlier read; the server may have closed it in the meantime. */
  bool is_reused;
  /* Part of the response was received, or the attempt timed out: it is not repeated on a new connection. */
  bool        no_reconnect;
  bool        connecting;
  bool        is_complete;
  bool        has_excess;
  bool        is_too_large;
  char       *request;
  size_t      request_sent;
  GByteArray *body;
  uint64_t    version;
  char        header_name[HEADER_MAX_BYTES];
  char        header_value[HEADER_MAX_BYTES];
  bool        in_header_value;
  /* On the clock of the event loop: the body must be complete by then. */
  double      body_deadline_s;
  http_parser parser;
  ev_io       io;
  ev_timer    timer;
} ReadState;

struct WcPlatformClient
{
  struct ev_loop    *loop;
  WcAddress         *addresses;
  size_t             count;
  size_t             preferred;
  bool               blocked;
  double             response_timeout_s;
  WcPlatformCallback callback;
  void              *user_data;
  const char        *version_header;
  ReadState          reads[WC_PLATFORM_READ_COUNT];
};

static void start_attempt (ReadState *read);
static void attempt_failed (ReadState *read, const char *reason);
static void finish_read (ReadState *read, WcPlatformResult result);
static void start_response_timer (ReadState *read, uint32_t wait_ms);
static void restart_body_timer (ReadState *read);
static void keep_connection (ReadState *read);
static void close_connection (ReadState *read);
static void io_ready (struct ev_loop *loop, ev_io *watcher, int events);
static void timer_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void watch_io (ReadState *read, int events);
static bool send_request (ReadState *read);
static void receive_response (ReadState *read);
static void header_complete (ReadState *read);
static int  on_header_field (http_parser *parser, const char *data, size_t size_bytes);
static int  on_header_value (http_parser *parser, const char *data, size_t size_bytes);
static int  on_headers_complete (http_parser *parser);
static int  on_body (http_parser *parser, const char *data, size_t size_bytes);
static int  on_message_complete (http_parser *parser);

static const http_parser_settings PARSER_SETTINGS = {
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

WcPlatformClient *
wc_platform_client_new (struct ev_loop *loop, const WcAddress *addresses, size_t count, WcPlatformCallback callback,
                        void *user_data)
{
  WcPlatformClient *client;

  assert (loop != NULL);
  assert (count > 0);
  assert (callback != NULL);

  client = g_new0 (WcPlatformClient, 1);
  client->loop = loop;
  client->addresses = g_memdup2 (addresses, count * sizeof *addresses);
  client->count = count;
  client->response_timeout_s = RESPONSE_TIMEOUT_S;
  client->callback = callback;
  client->user_data = user_data;
  client->version_header = DEFAULT_VERSION_HEADER;
  for (int i = 0; i < WC_PLATFORM_READ_COUNT; i++)
    {
      ReadState *read = &client->reads[i];

      read->client = client;
      read->kind = (WcPlatformRead)i;
      read->descriptor = -1;
      read->body = g_byte_array_new ();
      ev_init (&read->io, io_ready);
      ev_init (&read->timer, timer_expired);
      read->io.data = read;
      read->timer.data = read;
    }
  return client;
}

void
wc_platform_client_delete (WcPlatformClient *client)
{
  if (!client)
    return;
  for (int i = 0; i < WC_PLATFORM_READ_COUNT; i++)
    {
      wc_platform_client_cancel (client, (WcPlatformRead)i);
      close_connection (&client->reads[i]);
      g_byte_array_free (client->reads[i].body, TRUE);
      g_free (client->reads[i].path);
      g_free (client->reads[i].request);
    }
  g_free (client->addresses);
  g_free (client);
}

void
wc_platform_client_set_response_timeout_us (WcPlatformClient *client, uint64_t limit_us)
{
  assert (client != NULL && limit_us > 0);

  client->response_timeout_s = (double)limit_us / 1e6;
}

void
wc_platform_client_set_version_header (WcPlatformClient *client, const char *name)
{
  assert (client != NULL && name != NULL);

  client->version_header = name;
}

void
wc_platform_client_get (WcPlatformClient *client, WcPlatformRead kind, const char *path, uint32_t wait_ms)
{
  ReadState *read;

  assert (client != NULL);
  assert (kind < WC_PLATFORM_READ_COUNT);
  assert (path != NULL);

  wc_platform_client_cancel (client, kind);
  read = &client->reads[kind];
  g_free (read->path);
  read->path = g_strdup (path);
  read->wait_ms = wait_ms;
  read->attempts = 0;
  read->active = true;
  ev_timer_set (&read->timer, client->blocked ? BLOCKED_DELAY_S : 0.0, 0.0);
  ev_timer_start (client->loop, &read->timer);
}

void
wc_platform_client_cancel (WcPlatformClient *client, WcPlatformRead kind)
{
  ReadState *read;

  assert (client != NULL);

  read = &client->reads[kind];
  if (read->active)
    close_connection (read);
  ev_timer_stop (client->loop, &read->timer);
  read->active = false;
}

bool
wc_platform_client_is_receiving (const WcPlatformClient *client)
{
  assert (client != NULL);

  for (size_t i = 0; i < WC_PLATFORM_READ_COUNT; i++)
    if (client->reads[i].active && client->reads[i].in_progress && client->reads[i].body &&
        client->reads[i].body->len > 0)
      return true;
  return false;
}

void
wc_platform_client_set_blocked (WcPlatformClient *client, bool blocked)
{
  assert (client != NULL);

  client->blocked = blocked;
  if (!blocked)
    return;
  for (int i = 0; i < WC_PLATFORM_READ_COUNT; i++)
    if (client->reads[i].active)
      {
        close_connection (&client->reads[i]);
        ev_timer_stop (client->loop, &client->reads[i].timer);
        ev_timer_set (&client->reads[i].timer, BLOCKED_DELAY_S, 0.0);
        ev_timer_start (client->loop, &client->reads[i].timer);
      }
}

/* local functions */

static void
start_attempt (ReadState *read)
{
  WcPlatformClient *client = read->client;
  char              host[WC_ADDRESS_TEXT_BYTES];

  if (client->blocked)
    {
      finish_read (read, WC_PLATFORM_RESULT_FAILED);
      return;
    }
  read->is_reused = read->descriptor >= 0 && read->address_index == client->preferred && read->attempts == 0 &&
                    wc_socket_is_silent (read->descriptor);
  if (!read->is_reused)
    {
      close_connection (read);
      read->address_index = (client->preferred + read->attempts) % client->count;
      read->descriptor = wc_socket_connect (&client->addresses[read->address_index]);
    }
  read->attempts++;
  read->no_reconnect = false;
  if (read->descriptor < 0)
    {
      attempt_failed (read, g_strerror (errno));
      return;
    }
  g_free (read->request);
  read->request = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", read->path,
                                   wc_address_format (&client->addresses[read->address_index], host));
  read->request_sent = 0;
  read->connecting = !read->is_reused;
  read->is_complete = false;
  read->has_excess = false;
  read->is_too_large = false;
  read->version = 0;
  read->header_name[0] = '\0';
  read->header_value[0] = '\0';
  read->in_header_value = false;
  g_byte_array_set_size (read->body, 0);
  http_parser_init (&read->parser, HTTP_RESPONSE);
  read->parser.data = read;
  read->in_progress = true;
  watch_io (read, EV_WRITE);
  start_response_timer (read, read->connecting ? 0 : read->wait_ms);
}

/* Tries the next server, or finishes the read as failed when all were tried. */
static void
attempt_failed (ReadState *read, const char *reason)
{
  WcPlatformClient *client = read->client;
  char              text[WC_ADDRESS_TEXT_BYTES];

  wc_log_ratelimited (WC_LOG_NOTICE, "platform", "Read of %s from %s failed: %s.", read->path,
                      wc_address_format (&client->addresses[read->address_index], text), reason);
  close_connection (read);
  ev_timer_stop (client->loop, &read->timer);
  /* The server may have closed a kept connection, so the same server is tried again on a new one. */
  if (read->is_reused && !read->no_reconnect)
    read->attempts--;
  else if (read->attempts >= client->count)
    {
      finish_read (read, WC_PLATFORM_RESULT_FAILED);
      return;
    }
  ev_timer_set (&read->timer, 0.0, 0.0);
  ev_timer_start (client->loop, &read->timer);
}

/* The callback may start the next read of this kind, so the body is detached from the read first. */
static void
finish_read (ReadState *read, WcPlatformResult result)
{
  WcPlatformClient *client = read->client;
  GByteArray       *body = read->body;

  if (result != WC_PLATFORM_RESULT_FAILED)
    keep_connection (read);
  else
    close_connection (read);
  ev_timer_stop (client->loop, &read->timer);
  read->active = false;
  if (result != WC_PLATFORM_RESULT_FAILED)
    client->preferred = read->address_index;
  read->body = g_byte_array_new ();
  client->callback (client->user_data, read->kind, result, read->version, (const char *)body->data,
                    result == WC_PLATFORM_RESULT_OK ? body->len : 0);
  g_byte_array_free (body, TRUE);
}

static void
start_response_timer (ReadState *read, uint32_t wait_ms)
{
  ev_timer_stop (read->client->loop, &read->timer);
  ev_timer_set (&read->timer, read->client->response_timeout_s + (double)wait_ms / 1000.0, 0.0);
  ev_timer_start (read->client->loop, &read->timer);
}

/*
 * A configuration of 450 kB sent to eight peers at once takes 3 s over a link of 10 Mbit/s. A broken connection is
 * therefore detected by a pause between two parts of the body; the whole body must arrive within BODY_TIMEOUT_S.
 */
static void
restart_body_timer (ReadState *read)
{
  double now_s = ev_now (read->client->loop);

  if (read->body->len == 0)
    read->body_deadline_s = now_s + BODY_TIMEOUT_S;
  ev_timer_stop (read->client->loop, &read->timer);
  ev_timer_set (&read->timer, CLAMP (read->body_deadline_s - now_s, 0.0, read->client->response_timeout_s), 0.0);
  ev_timer_start (read->client->loop, &read->timer);
}

static void
keep_connection (ReadState *read)
{
  read->in_progress = false;
  /* What follows a response, such as a second copy of it, must not be taken for the response to the next request. */
  if (http_should_keep_alive (&read->parser) && !read->has_excess)
    ev_io_stop (read->client->loop, &read->io);
  else
    close_connection (read);
}

static void
close_connection (ReadState *read)
{
  read->in_progress = false;
  ev_io_stop (read->client->loop, &read->io);
  if (read->descriptor >= 0)
    close (read->descriptor);
  read->descriptor = -1;
}

static void
timer_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  ReadState *read = watcher->data;

  (void)loop;
  (void)events;
  if (read->in_progress)
    {
      /* Another attempt on the same server would double the time until the failure is reported. */
      read->no_reconnect = true;
      attempt_failed (read, "timed out");
    }
  else
    start_attempt (read);
}

static void
io_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  ReadState *read = watcher->data;

  (void)loop;
  if (events & EV_WRITE)
    {
      if (!send_request (read))
        return;
    }
  if (events & EV_READ)
    receive_response (read);
}

static void
watch_io (ReadState *read, int events)
{
  ev_io_stop (read->client->loop, &read->io);
  ev_io_set (&read->io, read->descriptor, events);
  ev_io_start (read->client->loop, &read->io);
}

/* Return: false when the attempt has failed. */
static bool
send_request (ReadState *read)
{
  size_t  left;
  ssize_t sent;

  if (read->connecting)
    {
      int       error = 0;
      socklen_t length = sizeof error;

      getsockopt (read->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0)
        {
          attempt_failed (read, g_strerror (error));
          return false;
        }
      read->connecting = false;
      start_response_timer (read, read->wait_ms);
    }
  left = strlen (read->request) - read->request_sent;
  sent = send (read->descriptor, read->request + read->request_sent, left, MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN && errno != EINTR)
    {
      attempt_failed (read, g_strerror (errno));
      return false;
    }
  if (sent > 0)
    read->request_sent += (size_t)sent;
  if (read->request_sent == strlen (read->request))
    watch_io (read, EV_READ);
  return true;
}

static void
receive_response (ReadState *read)
{
  char    buffer[BUFFER_BYTES];
  ssize_t received = recv (read->descriptor, buffer, sizeof buffer, 0);
  size_t  parsed;

  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received < 0)
    {
      attempt_failed (read, g_strerror (errno));
      return;
    }
  read->no_reconnect = read->no_reconnect || received > 0;
  parsed = http_parser_execute (&read->parser, &PARSER_SETTINGS, buffer, (size_t)received);
  read->has_excess = read->is_complete && parsed != (size_t)received;
  if (read->is_too_large)
    attempt_failed (read, "response body exceeds the size limit");
  /* A response without a length ends with the connection, as does one of a server that crashes in between. */
  else if (received == 0)
    attempt_failed (read, "connection was closed before the end of the response");
  else if (read->is_complete && read->parser.status_code == 200)
    finish_read (read, WC_PLATFORM_RESULT_OK);
  else if (read->is_complete && read->parser.status_code == 304)
    finish_read (read, WC_PLATFORM_RESULT_UNCHANGED);
  else if (read->is_complete && read->parser.status_code == 410)
    finish_read (read, WC_PLATFORM_RESULT_EXPIRED);
  else if (read->is_complete && read->parser.status_code == 409)
    finish_read (read, WC_PLATFORM_RESULT_DECLINED);
  else if (read->is_complete)
    attempt_failed (read, "response status is not 200, 304, 409 or 410");
  else if (parsed != (size_t)received)
    attempt_failed (read, "response is malformed");
}

static void
header_complete (ReadState *read)
{
  if (strcasecmp (read->header_name, read->client->version_header) == 0)
    read->version = g_ascii_strtoull (read->header_value, NULL, 10);
  read->header_name[0] = '\0';
  read->header_value[0] = '\0';
}

static int
on_header_field (http_parser *parser, const char *data, size_t size_bytes)
{
  ReadState *read = parser->data;

  if (read->in_header_value)
    header_complete (read);
  read->in_header_value = false;
  for (size_t used = strlen (read->header_name); size_bytes > 0 && used + 1 < sizeof read->header_name;
       used++, size_bytes--)
    {
      read->header_name[used] = *data++;
      read->header_name[used + 1] = '\0';
    }
  return 0;
}

static int
on_header_value (http_parser *parser, const char *data, size_t size_bytes)
{
  ReadState *read = parser->data;

  read->in_header_value = true;
  for (size_t used = strlen (read->header_value); size_bytes > 0 && used + 1 < sizeof read->header_value;
       used++, size_bytes--)
    {
      read->header_value[used] = *data++;
      read->header_value[used + 1] = '\0';
    }
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  ReadState *read = parser->data;

  if (read->in_header_value)
    header_complete (read);
  return 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size_bytes)
{
  ReadState *read = parser->data;

  if (read->body->len + size_bytes > BODY_MAX_BYTES[read->kind])
    {
      read->is_too_large = true;
      return 1;
    }
  restart_body_timer (read);
  g_byte_array_append (read->body, (const guint8 *)data, (guint)size_bytes);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  ReadState *read = parser->data;

  read->is_complete = true;
  http_parser_pause (parser, 1);
  return 0;
}
