#include "client/client_socket.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <wigeoncart/node.h>

enum
{
  /* Holds the answers of many calls that arrive at once; the kernel reduces the size to its own limit. */
  RECEIVE_BUFFER_BYTES = 4 << 20,
  /* Number of datagrams handled before the timers are checked. */
  RECEIVE_BATCH = 256,
  WAIT_MAX_US = 60000000
};

struct WcClientSocket
{
  WcClient   *client;
  WcClientOps ops;
  void       *user_data;
  int         fd;
};

static void send_datagram (void *user_data, const uint8_t *data, size_t size_bytes);
static void forward_opened (void *user_data, uint64_t flow);
static void forward_finished (void *user_data, uint64_t call, const WcClientAnswer *answer);
static void forward_events (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes);
static int  connect_socket (const WcAddress *address);

WcClientSocket *
wc_client_socket_new (const WcAddress *fabric, const WcClientConfig *config, const WcClientOps *ops, void *user_data,
                      WcError *error)
{
  const WcClientOps callbacks = {
    .send = send_datagram, .opened = forward_opened, .finished = forward_finished, .events = forward_events
  };
  WcClientSocket *sock;
  uint32_t        seed[WC_CLIENT_SEED_WORDS];
  char            text[WC_ADDRESS_TEXT_BYTES];
  int             fd;

  assert (fabric != NULL);
  assert (ops != NULL);

  fd = connect_socket (fabric);
  if (fd < 0)
    {
      wc_error_set (error, WC_STATUS_INVALID, "cannot open a socket to %s: %s", wc_address_format (fabric, text),
                    g_strerror (errno));
      return NULL;
    }
  sock = g_new0 (WcClientSocket, 1);
  sock->fd = fd;
  sock->ops = *ops;
  sock->user_data = user_data;
  randombytes_buf (seed, sizeof seed);
  sock->client = wc_client_new (config, seed, &callbacks, sock);
  return sock;
}

void
wc_client_socket_delete (WcClientSocket *sock)
{
  if (!sock)
    return;
  wc_client_delete (sock->client);
  close (sock->fd);
  g_free (sock);
}

WcClient *
wc_client_socket_get_client (WcClientSocket *sock)
{
  assert (sock != NULL);

  return sock->client;
}

uint64_t
wc_client_socket_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

int
wc_client_socket_get_fd (const WcClientSocket *sock)
{
  assert (sock != NULL);

  return sock->fd;
}

void
wc_client_socket_handle (WcClientSocket *sock)
{
  uint8_t data[WC_DATAGRAM_MAX_BYTES + 1];

  assert (sock != NULL);

  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      ssize_t size = recv (sock->fd, data, sizeof data, MSG_DONTWAIT);

      /* The socket reports an ICMP error once; the datagrams in its queue can still be received. */
      if (size < 0 && errno == ECONNREFUSED)
        continue;
      if (size < 0)
        break;
      if (size <= WC_DATAGRAM_MAX_BYTES)
        wc_client_receive (sock->client, wc_client_socket_now_us (), data, (size_t)size);
    }
  wc_client_tick (sock->client, wc_client_socket_now_us ());
}

void
wc_client_socket_step (WcClientSocket *sock, uint64_t until_us)
{
  struct pollfd   poll_fd = { .events = POLLIN };
  struct timespec wait;
  uint64_t        due_us;
  uint64_t        now_us = wc_client_socket_now_us ();
  uint64_t        wait_us;

  assert (sock != NULL);

  due_us = MIN (wc_client_get_due_us (sock->client), until_us);
  wait_us = due_us > now_us ? MIN (due_us - now_us, WAIT_MAX_US) : 0;
  wait.tv_sec = (time_t)(wait_us / 1000000);
  wait.tv_nsec = (long)(wait_us % 1000000 * 1000);
  poll_fd.fd = sock->fd;
  (void)ppoll (&poll_fd, 1, &wait, NULL);
  wc_client_socket_handle (sock);
}

bool
wc_client_socket_run (WcClientSocket *sock, uint64_t until_us)
{
  assert (sock != NULL);

  while (wc_client_get_call_count (sock->client) > 0)
    {
      if (wc_client_socket_now_us () >= until_us)
        return false;
      wc_client_socket_step (sock, until_us);
    }
  return true;
}

/* local functions */

static void
send_datagram (void *user_data, const uint8_t *data, size_t size_bytes)
{
  const WcClientSocket *sock = user_data;

  /* A datagram that cannot be sent counts as lost: the client retransmits all packets but CANCEL. */
  (void)send (sock->fd, data, size_bytes, MSG_DONTWAIT);
}

static void
forward_opened (void *user_data, uint64_t flow)
{
  const WcClientSocket *sock = user_data;

  if (sock->ops.opened)
    sock->ops.opened (sock->user_data, flow);
}

static void
forward_finished (void *user_data, uint64_t call, const WcClientAnswer *answer)
{
  const WcClientSocket *sock = user_data;

  sock->ops.finished (sock->user_data, call, answer);
}

static void
forward_events (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes)
{
  const WcClientSocket *sock = user_data;

  if (sock->ops.events)
    sock->ops.events (sock->user_data, call, cursor, data, size_bytes);
}

static int
connect_socket (const WcAddress *address)
{
  struct sockaddr_in  v4 = { .sin_family = AF_INET, .sin_port = htons (address->port) };
  struct sockaddr_in6 v6 = { .sin6_family = AF_INET6, .sin6_port = htons (address->port) };
  bool                is_v6 = address->family == 6;
  int                 size = RECEIVE_BUFFER_BYTES;
  int                 result;
  int                 fd = socket (is_v6 ? AF_INET6 : AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  memcpy (&v4.sin_addr, address->ip, sizeof v4.sin_addr);
  memcpy (&v6.sin6_addr, address->ip, sizeof v6.sin6_addr);
  result = is_v6 ? connect (fd, (const struct sockaddr *)&v6, sizeof v6)
                 : connect (fd, (const struct sockaddr *)&v4, sizeof v4);
  if (result < 0)
    {
      int saved = errno;

      close (fd);
      errno = saved;
      return -1;
    }
  return fd;
}
