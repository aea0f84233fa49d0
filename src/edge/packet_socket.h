#ifndef WC_EDGE_PACKET_SOCKET_H
#define WC_EDGE_PACKET_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "forward/host_table.h"
#include "forward/packet.h"

/** struct WcPacketSocket - the socket that packets of callers come to, and that packets to hosts and resets leave from.
 */
typedef struct WcPacketSocket WcPacketSocket;

/**
 * struct WcPacketSocketCounters - datagrams so far.
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
} WcPacketSocketCounters;

/**
 * struct WcPacketSocketOps - what a port calls.
 * @received: a packet came.
 * @batch_received: after the packets of one read; what is sent by then goes out.
 */
typedef struct
{
  void (*received) (void *user_data, const WcPacket *packet, uint64_t now_us);
  void (*batch_received) (void *user_data, uint64_t now_us);
} WcPacketSocketOps;

/** wc_packet_socket_new() - bind @address; nothing is read before wc_packet_socket_start(). Return: NULL with @error
 * set.
 */
WcPacketSocket *wc_packet_socket_new (struct ev_loop *loop, const WcAddress *address, const WcPacketSocketOps *ops,
                                      void *user_data, WcError *error);
void            wc_packet_socket_delete (WcPacketSocket *port);

/** wc_packet_socket_start() - read packets; until then the kernel keeps them. */
void wc_packet_socket_start (WcPacketSocket *port);

/** wc_packet_socket_send_packet() - queue a packet for a host. */
void wc_packet_socket_send_packet (WcPacketSocket *port, const WcPacket *packet, const WcHost *host);

/** wc_packet_socket_send_reset() - queue a reset for the caller of a flow. */
void wc_packet_socket_send_reset (WcPacketSocket *port, const WcFlowKey *key, uint32_t sequence);

/** wc_packet_socket_flush() - send what is queued. */
void wc_packet_socket_flush (WcPacketSocket *port);

/** wc_packet_socket_get_last_received_us() - when the last packet came; 0 for never. */
uint64_t wc_packet_socket_get_last_received_us (const WcPacketSocket *port);

const WcPacketSocketCounters *wc_packet_socket_get_counters (const WcPacketSocket *port);

#endif
