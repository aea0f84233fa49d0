#ifndef WC_FORWARD_PACKET_H
#define WC_FORWARD_PACKET_H

#include <stdint.h>

/** enum WcPacketFlag - bit flags of a packet. */
typedef enum
{
  WC_PACKET_SYN = 1 << 0,
  WC_PACKET_ACK = 1 << 1,
  WC_PACKET_FIN = 1 << 2,
  WC_PACKET_RST = 1 << 3,
  /* Set by the network on a packet that was returned because its destination could not accept it. */
  WC_PACKET_BOUNCED = 1 << 4
} WcPacketFlag;

/** struct WcFlowKey - caller and route address of a flow; addresses and ports in host byte order. */
typedef struct
{
  uint32_t caller_ip;
  uint32_t route_ip;
  uint16_t caller_port;
  uint16_t route_port;
} WcFlowKey;

/**
 * struct WcPacket - parsed header of a caller's packet, and its bytes.
 * @cookie: identifies the host, see cookie.h; the caller echoes the value that it last received in this field. 0 on a
 * SYN.
 * @acknowledged: acknowledgement number, the next byte that the caller expects; on a SYN, the number of
 * retransmissions.
 * @data_bytes: length of the data after the header.
 * @flags: combination of WcPacketFlag.
 * @request_id: identifier of the request that begins in the data; 0 for none. For logs only.
 * @size_bytes: length of the whole packet.
 * @waited_us: for an opening, how long it waited in the socket of this instance, at most.
 * @bytes: the whole packet as received.
 */
typedef struct
{
  WcFlowKey      key;
  uint32_t       cookie;
  uint32_t       sequence;
  uint32_t       acknowledged;
  uint16_t       data_bytes;
  uint8_t        flags;
  uint64_t       request_id;
  uint16_t       size_bytes;
  uint64_t       waited_us;
  const uint8_t *bytes;
} WcPacket;

#endif
