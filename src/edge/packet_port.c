#include "edge/packet_port.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/socket_address.h"
#include "edge/udp_batch.h"
#include "packet_wire.h"

struct WcPacketPort
{
  struct ev_loop      *loop;
  WcAddress            address;
  WcPacketPortOps      ops;
  void                *user_data;
  WcUdpBatch          *batch;
  ev_io                readable;
  uint64_t             now_us;
  uint64_t             last_us;
  WcPacketPortCounters counters;
};

static void datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void receive (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);
static void set_address (WcAddress *address, uint32_t ip, uint16_t port);

WcPacketPort *
wc_packet_port_new (struct ev_loop *loop, const WcAddress *address, const WcPacketPortOps *ops, void *user_data,
                    WcError *error)
{
  WcPacketPort *port;
  int           fd;

  assert (loop != NULL && address != NULL);
  assert (ops != NULL && ops->received != NULL && ops->received_all != NULL);

  fd = wc_socket_open_udp (address, false, error);
  if (fd < 0)
    return NULL;
  port = g_new0 (WcPacketPort, 1);
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
wc_packet_port_delete (WcPacketPort *port)
{
  if (!port)
    return;
  ev_io_stop (port->loop, &port->readable);
  wc_udp_batch_delete (port->batch);
  g_free (port);
}

void
wc_packet_port_start (WcPacketPort *port)
{
  ev_io_start (port->loop, &port->readable);
}

void
wc_packet_port_forward (WcPacketPort *port, const WcPacket *packet, const WcHost *host)
{
  uint8_t data[WC_PACKET_WIRE_HOST_BYTES + WC_PACKET_WIRE_MAX_BYTES];
  size_t  size_bytes = wc_packet_wire_write_forwarded (packet, host->record.id, host->cookie, data);

  port->counters.forwarded++;
  wc_udp_batch_send (port->batch, &host->record.address, data, size_bytes);
}

/* Callers listen on the same port number as the instances. */
void
wc_packet_port_reset (WcPacketPort *port, const WcFlowKey *key, uint32_t sequence)
{
  uint8_t   data[WC_PACKET_WIRE_HEAD_BYTES];
  WcAddress caller;

  port->counters.resets++;
  set_address (&caller, key->caller_ip, port->address.port);
  wc_udp_batch_send (port->batch, &caller, data, wc_packet_wire_write_reset (key, sequence, data));
}

void
wc_packet_port_flush (WcPacketPort *port)
{
  wc_udp_batch_flush (port->batch);
}

uint64_t
wc_packet_port_get_last_us (const WcPacketPort *port)
{
  return port->last_us;
}

const WcPacketPortCounters *
wc_packet_port_get_counters (const WcPacketPort *port)
{
  return &port->counters;
}

/* local functions */

static void
datagrams_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcPacketPort *port = watcher->data;

  (void)loop;
  (void)events;
  port->now_us = wc_clock_monotonic_us ();
  port->last_us = port->now_us;
  if (wc_udp_batch_receive (port->batch, receive, port) == WC_UDP_BATCH_DATAGRAMS)
    port->counters.full_batches++;
  port->ops.received_all (port->user_data, port->now_us);
  wc_udp_batch_flush (port->batch);
}

static void
receive (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  WcPacketPort *port = user_data;
  WcPacket      packet;

  (void)source;
  port->counters.received++;
  if (wc_packet_wire_read (data, size_bytes, &packet))
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
