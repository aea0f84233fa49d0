#include "edge/packet_socket.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/socket_address.h"
#include "edge/udp_batch.h"
#include "packet_wire.h"

enum
{
  /* The loop polls every 100 ms, and a CPU quota can throttle the process for up to 90 ms of each 100 ms. */
  PAUSE_MIN_US = 250 * 1000
};

/*
 * @poll_us: when the loop last asked the kernel for events.
 * @empty_us: all packets that are read now arrived later than this.
 * @is_behind: packets of before the last poll may still be in the kernel.
 */
struct WcPacketSocket
{
  struct ev_loop        *loop;
  WcAddress              address;
  WcPacketSocketOps      ops;
  void                  *user_data;
  WcUdpBatch            *batch;
  ev_io                  readable;
  ev_check               polled;
  uint64_t               poll_us;
  uint64_t               empty_us;
  bool                   is_behind;
  uint64_t               now_us;
  uint64_t               last_received_us;
  WcPacketSocketCounters counters;
};

static void     loop_polled (struct ev_loop *loop, ev_check *watcher, int events);
static void     datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void     receive_datagram (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);
static uint64_t get_waited_us (const WcPacketSocket *sock);
static void     set_address (WcAddress *address, uint32_t ip, uint16_t port);

WcPacketSocket *
wc_packet_socket_new (struct ev_loop *loop, const WcAddress *address, const WcPacketSocketOps *ops, void *user_data,
                      WcError *error)
{
  WcPacketSocket *sock;
  int             fd;

  assert (loop != NULL && address != NULL);
  assert (ops != NULL && ops->received != NULL && ops->batch_received != NULL);

  fd = wc_socket_open_udp (address, false, error);
  if (fd < 0)
    return NULL;
  sock = g_new0 (WcPacketSocket, 1);
  sock->loop = loop;
  sock->address = *address;
  sock->ops = *ops;
  sock->user_data = user_data;
  sock->batch = wc_udp_batch_new (fd);
  ev_io_init (&sock->readable, datagrams_readable, fd, EV_READ);
  sock->readable.data = sock;
  /* Packets are read before timers act on what is known of their flows. */
  ev_set_priority (&sock->readable, EV_MAXPRI - 1);
  ev_check_init (&sock->polled, loop_polled);
  ev_set_priority (&sock->polled, EV_MAXPRI);
  sock->polled.data = sock;
  ev_check_start (loop, &sock->polled);
  sock->poll_us = wc_clock_monotonic_us ();
  sock->empty_us = sock->poll_us;
  sock->is_behind = true;
  /* Without timestamps, all packets of a batch count as the oldest possible. */
  (void)wc_udp_batch_enable_timestamps (sock->batch);
  return sock;
}

void
wc_packet_socket_delete (WcPacketSocket *sock)
{
  if (!sock)
    return;
  ev_io_stop (sock->loop, &sock->readable);
  ev_check_stop (sock->loop, &sock->polled);
  wc_udp_batch_delete (sock->batch);
  g_free (sock);
}

void
wc_packet_socket_start (WcPacketSocket *sock)
{
  ev_io_start (sock->loop, &sock->readable);
  /* Reads at once, which shows whether packets have been waiting. */
  ev_feed_event (sock->loop, &sock->readable, EV_READ);
}

void
wc_packet_socket_send_packet (WcPacketSocket *sock, const WcPacket *packet, const WcHost *host, uint32_t cookie)
{
  uint8_t data[WC_PACKET_WIRE_HOST_ID_BYTES + WC_PACKET_WIRE_MAX_BYTES];
  size_t  size_bytes = wc_packet_wire_encode_forwarded (packet, host->record.id, cookie, data);

  sock->counters.forwarded++;
  wc_udp_batch_send (sock->batch, &host->record.address, data, size_bytes);
}

/* Callers listen on the same port number as the instances. */
void
wc_packet_socket_send_reset (WcPacketSocket *sock, const WcFlowKey *key, uint32_t sequence)
{
  uint8_t   data[WC_PACKET_WIRE_HEADER_BYTES];
  WcAddress caller;

  sock->counters.resets++;
  set_address (&caller, key->caller_ip, sock->address.port);
  wc_udp_batch_send (sock->batch, &caller, data, wc_packet_wire_encode_reset (key, sequence, data));
}

void
wc_packet_socket_flush (WcPacketSocket *sock)
{
  wc_udp_batch_flush (sock->batch);
}

uint64_t
wc_packet_socket_get_last_received_us (const WcPacketSocket *sock)
{
  return sock->last_received_us;
}

const WcPacketSocketCounters *
wc_packet_socket_get_counters (const WcPacketSocket *sock)
{
  return &sock->counters;
}

/* local functions */

/*
 * What the socket contained at the last poll was read since then, unless a batch was full. The loop polls at least
 * every 100 ms while the process runs. A poll during which the process was stopped and continued returns without
 * events, which says nothing about the socket.
 */
static void
loop_polled (struct ev_loop *loop, ev_check *watcher, int events)
{
  WcPacketSocket *sock = watcher->data;
  uint64_t        now_us = wc_clock_monotonic_us ();

  (void)events;
  if (now_us - sock->poll_us > PAUSE_MIN_US)
    {
      sock->is_behind = true;
      if (ev_is_active (&sock->readable))
        ev_feed_event (loop, &sock->readable, EV_READ);
    }
  else if (!sock->is_behind)
    sock->empty_us = sock->poll_us;
  sock->poll_us = now_us;
}

static void
datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcPacketSocket *sock = watcher->data;

  (void)loop;
  (void)events;
  wc_udp_batch_mark_read (sock->batch);
  sock->now_us = wc_clock_monotonic_us ();
  sock->last_received_us = sock->now_us;
  sock->is_behind = wc_udp_batch_receive (sock->batch, receive_datagram, sock) == WC_UDP_BATCH_DATAGRAMS;
  sock->counters.full_batches += sock->is_behind;
  sock->ops.batch_received (sock->user_data, sock->now_us);
  wc_udp_batch_flush (sock->batch);
}

static void
receive_datagram (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  WcPacketSocket *sock = user_data;
  WcPacket        packet;

  (void)source;
  sock->counters.received++;
  if (!wc_packet_wire_decode (data, size_bytes, &packet))
    {
      sock->counters.malformed++;
      return;
    }
  packet.waited_us = packet.flags & WC_PACKET_SYN ? get_waited_us (sock) : 0;
  sock->ops.received (sock->user_data, &packet, sock->now_us);
}

/* Return: how long the datagram that is being received waited in the kernel, at most. */
static uint64_t
get_waited_us (const WcPacketSocket *sock)
{
  uint64_t limit_us = sock->now_us - sock->empty_us;
  uint64_t waited_us;

  /* The wall clock may have been set since the arrival; the limit does not depend on it. */
  return wc_udp_batch_get_waited_us (sock->batch, &waited_us) ? MIN (waited_us, limit_us) : limit_us;
}

static void
set_address (WcAddress *address, uint32_t ip, uint16_t port)
{
  memset (address, 0, sizeof *address);
  address->family = 4;
  address->port = port;
  for (int i = 0; i < 4; i++)
    address->ip[i] = (uint8_t)(ip >> (24 - 8 * i));
}
