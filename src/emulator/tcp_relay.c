#include "emulator/tcp_relay.h"

#include <assert.h>
#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "edge/socket.h"
#include "emulator/emulator_net.h"

enum
{
  CHUNK_BYTES = 16384
};

/* Delays a response, but by less than the time-outs of its reader. */
static const double DELAY_S = 0.3;

const char *const WC_RELAY_FAULT_STRINGS[WC_RELAY_FAULT_COUNT] = { "passes",       "delays", "silences",
                                                                   "cuts answers", "cuts",   "resets" };

/* One direction of a connection; @data: bytes read from @from and not yet sent to @to. */
typedef struct
{
  struct Connection *connection;
  int                from;
  int                to;
  bool               is_answer;
  GByteArray        *data;
  ev_io              read_watcher;
  ev_timer           delay_timer;
} Direction;

typedef struct Connection
{
  WcTcpRelay *relay;
  int         ends[2];
  bool        is_silent;
  Direction   directions[2];
} Connection;

struct WcTcpRelay
{
  struct ev_loop *loop;
  WcAddress       target;
  WcRelayFault    fault;
  int             listener;
  ev_io           accept_watcher;
  GPtrArray      *connections;
};

static void accept_connection (struct ev_loop *loop, ev_io *watcher, int events);
static void init_direction (Connection *connection, int index);
static void handle_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void delay_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void forward_data (Direction *direction);
static void close_connection (Connection *connection, bool with_reset);

WcTcpRelay *
wc_tcp_relay_new (struct ev_loop *loop, const WcAddress *listen, const WcAddress *target, WcError *error)
{
  WcTcpRelay *relay = g_new0 (WcTcpRelay, 1);

  assert (loop != NULL && listen != NULL && target != NULL);

  relay->loop = loop;
  relay->target = *target;
  relay->connections = g_ptr_array_new ();
  relay->listener = wc_net_bind (SOCK_STREAM, listen, error);
  if (relay->listener < 0)
    {
      g_ptr_array_free (relay->connections, TRUE);
      g_free (relay);
      return NULL;
    }
  ev_io_init (&relay->accept_watcher, accept_connection, relay->listener, EV_READ);
  relay->accept_watcher.data = relay;
  ev_io_start (loop, &relay->accept_watcher);
  return relay;
}

void
wc_tcp_relay_delete (WcTcpRelay *relay)
{
  if (!relay)
    return;
  for (guint i = relay->connections->len; i > 0; i--)
    close_connection (relay->connections->pdata[i - 1], false);
  ev_io_stop (relay->loop, &relay->accept_watcher);
  close (relay->listener);
  g_ptr_array_free (relay->connections, TRUE);
  g_free (relay);
}

void
wc_tcp_relay_get_address (const WcTcpRelay *relay, WcAddress *address)
{
  wc_net_get_local_address (relay->listener, address);
}

void
wc_tcp_relay_set_fault (WcTcpRelay *relay, WcRelayFault fault)
{
  assert (fault < WC_RELAY_FAULT_COUNT);

  relay->fault = fault;
  for (guint i = relay->connections->len; i > 0; i--)
    {
      Connection *connection = relay->connections->pdata[i - 1];

      if (fault == WC_RELAY_SILENCES)
        connection->is_silent = true;
      if (fault == WC_RELAY_RESETS)
        close_connection (connection, true);
    }
}

/* local functions */

static void
accept_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcTcpRelay *relay = watcher->data;
  Connection *connection;
  int         fd = accept4 (relay->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)loop;
  (void)events;
  if (fd < 0)
    return;
  connection = g_new0 (Connection, 1);
  connection->relay = relay;
  connection->ends[0] = fd;
  connection->ends[1] = wc_socket_connect (&relay->target);
  g_ptr_array_add (relay->connections, connection);
  for (int i = 0; i < 2; i++)
    init_direction (connection, i);
  if (connection->ends[1] < 0 || relay->fault == WC_RELAY_RESETS)
    close_connection (connection, true);
}

static void
init_direction (Connection *connection, int index)
{
  Direction *direction = &connection->directions[index];

  direction->connection = connection;
  direction->from = connection->ends[index];
  direction->to = connection->ends[1 - index];
  direction->is_answer = index == 1;
  direction->data = g_byte_array_new ();
  ev_io_init (&direction->read_watcher, handle_readable, direction->from, EV_READ);
  direction->read_watcher.data = direction;
  ev_timer_init (&direction->delay_timer, delay_expired, 0.0, 0.0);
  direction->delay_timer.data = direction;
  if (direction->from >= 0)
    ev_io_start (connection->relay->loop, &direction->read_watcher);
}

static void
handle_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Direction  *direction = watcher->data;
  Connection *connection = direction->connection;
  uint8_t     chunk[CHUNK_BYTES];
  ssize_t     size = read (direction->from, chunk, sizeof chunk);

  (void)events;
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0)
    {
      close_connection (connection, size < 0);
      return;
    }
  if (connection->is_silent || connection->relay->fault == WC_RELAY_CUTS ||
      (connection->relay->fault == WC_RELAY_CUTS_ANSWERS && direction->is_answer))
    return;
  g_byte_array_append (direction->data, chunk, (guint)size);
  if (ev_is_active (&direction->delay_timer))
    return;
  ev_timer_set (&direction->delay_timer, connection->relay->fault == WC_RELAY_DELAYS ? DELAY_S : 0.0, 0.0);
  ev_timer_start (loop, &direction->delay_timer);
}

static void
delay_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  forward_data (watcher->data);
}

/* Sends the buffered data; data that the socket does not accept yet is sent 5 ms later. */
static void
forward_data (Direction *direction)
{
  Connection *connection = direction->connection;
  ssize_t     size = send (direction->to, direction->data->data, direction->data->len, MSG_NOSIGNAL);

  if (size < 0 && errno != EAGAIN && errno != EINTR)
    {
      close_connection (connection, true);
      return;
    }
  if (size > 0)
    g_byte_array_remove_range (direction->data, 0, (guint)size);
  if (direction->data->len == 0)
    return;
  ev_timer_set (&direction->delay_timer, 0.005, 0.0);
  ev_timer_start (connection->relay->loop, &direction->delay_timer);
}

static void
close_connection (Connection *connection, bool with_reset)
{
  const struct linger reset_on_close = { 1, 0 };

  g_ptr_array_remove_fast (connection->relay->connections, connection);
  for (int i = 0; i < 2; i++)
    {
      Direction *direction = &connection->directions[i];

      ev_io_stop (connection->relay->loop, &direction->read_watcher);
      ev_timer_stop (connection->relay->loop, &direction->delay_timer);
      g_byte_array_free (direction->data, TRUE);
      if (connection->ends[i] < 0)
        continue;
      if (with_reset)
        (void)setsockopt (connection->ends[i], SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
      close (connection->ends[i]);
    }
  g_free (connection);
}
