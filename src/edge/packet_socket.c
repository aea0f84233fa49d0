#include "edge/packet_socket.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/socket_address.h"
#include "edge/udp_batch.h"
#include "packet_wire.h"

struct WcPacketSocket
{
  struct ev_loop        *loop;
  WcAddress              address;
  WcPacketSocketOps      ops;
  void                  *user_data;
  WcUdpBatch            *batch;
  ev_io                  readable;
  uint64_t               now_us;
  uint64_t               last_received_us;
  WcPacketSocketCounters counters;
};

static void datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void receive (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);
static void set_address (WcAddress *address, uint32_t ip, uint16_t port);

WcPacketSocket *
wc_packet_socket_new (struct ev_loop *loop, const WcAddress *address, const WcPacketSocketOps *ops, void *user_data,
                      WcError *error)
{
  WcPacketSocket *port;
  int             fd;

  assert (loop != NULL && address != NULL);
  assert (ops != NULL && ops->received != NULL && ops->batch_received != NULL);

  fd = wc_socket_open_udp (address, false, error);
  if (fd < 0)
    return NULL;
  port = g_new0 (WcPacketSocket, 1);
  port->loop = loop;
  port->address = *address;
  port->ops = *ops;
  port->user_data = user_data;
  port->batch = wc_udp_batch_new (fd);
  ev_io_init (&port->readable, datagrams_readable, fd, EV_READ);
  port->readable.data = port;
  return port;
}

void
wc_packet_socket_delete (WcPacketSocket *port)
{
  if (!port)
    return;
  ev_io_stop (port->loop, &port->readable);
  wc_udp_batch_delete (port->batch);
  g_free (port);
}

void
wc_packet_socket_start (WcPacketSocket *port)
{
  ev_io_start (port->loop, &port->readable);
}

void
wc_packet_socket_send_packet (WcPacketSocket *port, const WcPacket *packet, const WcHost *host)
{
  uint8_t data[WC_PACKET_WIRE_HOST_ID_BYTES + WC_PACKET_WIRE_MAX_BYTES];
  size_t  size_bytes = wc_packet_wire_encode_forwarded (packet, host->record.id, host->cookie, data);

  port->counters.forwarded++;
  wc_udp_batch_send (port->batch, &host->record.address, data, size_bytes);
}

/* Callers listen on the port number that instances receive packets on. */
void
wc_packet_socket_send_reset (WcPacketSocket *port, const WcFlowKey *key, uint32_t sequence)
{
  uint8_t   data[WC_PACKET_WIRE_HEADER_BYTES];
  WcAddress caller;

  port->counters.resets++;
  set_address (&caller, key->caller_ip, port->address.port);
  wc_udp_batch_send (port->batch, &caller, data, wc_packet_wire_encode_reset (key, sequence, data));
}

void
wc_packet_socket_flush (WcPacketSocket *port)
{
  wc_udp_batch_flush (port->batch);
}

uint64_t
wc_packet_socket_get_last_received_us (const WcPacketSocket *port)
{
  return port->last_received_us;
}

const WcPacketSocketCounters *
wc_packet_socket_get_counters (const WcPacketSocket *port)
{
  return &port->counters;
}

/* local functions */

static void
datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcPacketSocket *port = watcher->data;

  (void)loop;
  (void)events;
  port->now_us = wc_clock_monotonic_us ();
  port->last_received_us = port->now_us;
  if (wc_udp_batch_receive (port->batch, receive, port) == WC_UDP_BATCH_DATAGRAMS)
    port->counters.full_batches++;
  port->ops.batch_received (port->user_data, port->now_us);
  wc_udp_batch_flush (port->batch);
}

static void
receive (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  WcPacketSocket *port = user_data;
  WcPacket        packet;

  (void)source;
  port->counters.received++;
  if (wc_packet_wire_decode (data, size_bytes, &packet))
    port->ops.received (port->user_data, &packet, port->now_us);
  else
    port->counters.malformed++;
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
