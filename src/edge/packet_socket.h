#ifndef WC_EDGE_PACKET_PORT_H
#define WC_EDGE_PACKET_PORT_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "forward/host_table.h"
#include "forward/packet.h"

/** struct WcPacketPort - the socket that packets of callers come to, and that packets to hosts and resets leave from.
 */
typedef struct WcPacketPort WcPacketPort;

/**
 * struct WcPacketPortCounters - datagrams so far.
 * @malformed: received ones that are no packets.
 * @full_batches: reads that may have left datagrams behind.
 */
typedef struct
{
  uint64_t received;
  uint64_t forwarded;
  uint64_t resets;
  uint64_t malformed;
  uint64_t full_batches;
} WcPacketPortCounters;

/**
 * struct WcPacketPortOps - what a port calls.
 * @received: a packet came.
 * @received_all: after the packets of one read; what is sent by then goes out.
 */
typedef struct
{
  void (*received) (void *user_data, const WcPacket *packet, uint64_t now_us);
  void (*received_all) (void *user_data, uint64_t now_us);
} WcPacketPortOps;

/** wc_packet_port_new() - bind @address; nothing is read before wc_packet_port_start(). Return: NULL with @error set.
 */
WcPacketPort *wc_packet_port_new (struct ev_loop *loop, const WcAddress *address, const WcPacketPortOps *ops,
                                  void *user_data, WcError *error);
void          wc_packet_port_delete (WcPacketPort *port);

/** wc_packet_port_start() - read packets; until then the kernel keeps them. */
void wc_packet_port_start (WcPacketPort *port);

/** wc_packet_port_forward() - queue a packet for a host. */
void wc_packet_port_forward (WcPacketPort *port, const WcPacket *packet, const WcHost *host);

/** wc_packet_port_reset() - queue a reset for the caller of a flow. */
void wc_packet_port_reset (WcPacketPort *port, const WcFlowKey *key, uint32_t sequence);

/** wc_packet_port_flush() - send what is queued. */
void wc_packet_port_flush (WcPacketPort *port);

/** wc_packet_port_get_last_us() - when the last packet came; 0 for never. */
uint64_t wc_packet_port_get_last_us (const WcPacketPort *port);

const WcPacketPortCounters *wc_packet_port_get_counters (const WcPacketPort *port);

#endif
