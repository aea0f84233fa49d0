#ifndef WC_EDGE_PACKET_SOCKET_H
#define WC_EDGE_PACKET_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "forward/host_table.h"
#include "forward/packet.h"

/**
 * struct WcPacketSocket - UDP socket for the packets of flows: receives packets from callers, and sends packets to
 * hosts and resets to callers.
 */
typedef struct WcPacketSocket WcPacketSocket;

/**
 * struct WcPacketSocketCounters - datagrams received and sent since the start.
 * @malformed: received datagrams that are not valid packets.
 * @full_batches: reads that filled a whole batch, so that more datagrams may be waiting in the kernel.
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
 * struct WcPacketSocketOps - callbacks of a packet socket.
 * @received: called for each valid packet.
 * @batch_received: called after the last packet of a batch; the packets queued by then are sent right afterwards.
 */
typedef struct
{
  void (*received) (void *user_data, const WcPacket *packet, uint64_t now_us);
  void (*batch_received) (void *user_data, uint64_t now_us);
} WcPacketSocketOps;

/**
 * wc_packet_socket_new() - bind @address. No packet is read before wc_packet_socket_start().
 *
 * Return: a new socket, or NULL with @error set.
 */
WcPacketSocket *wc_packet_socket_new (struct ev_loop *loop, const WcAddress *address, const WcPacketSocketOps *ops,
                                      void *user_data, WcError *error);
void            wc_packet_socket_delete (WcPacketSocket *sock);

/** wc_packet_socket_start() - start reading; packets that arrived earlier are still in the kernel's receive buffer. */
void wc_packet_socket_start (WcPacketSocket *sock);

/** wc_packet_socket_send_packet() - queue a packet for sending to a host, with @cookie in its header. */
void wc_packet_socket_send_packet (WcPacketSocket *sock, const WcPacket *packet, const WcHost *host, uint32_t cookie);

/** wc_packet_socket_send_reset() - queue a reset for sending to the caller of a flow. */
void wc_packet_socket_send_reset (WcPacketSocket *sock, const WcFlowKey *key, uint32_t sequence);

/** wc_packet_socket_flush() - send the queued packets. */
void wc_packet_socket_flush (WcPacketSocket *sock);

/** wc_packet_socket_get_last_received_us() - time of the last read from the socket; 0 before the first. */
uint64_t wc_packet_socket_get_last_received_us (const WcPacketSocket *sock);

const WcPacketSocketCounters *wc_packet_socket_get_counters (const WcPacketSocket *sock);

#endif
