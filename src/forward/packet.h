#ifndef WC_FORWARD_PACKET_H
#define WC_FORWARD_PACKET_H

#include <stdint.h>

/** enum WcPacketFlag - flags of a packet, combined with "or". */
typedef enum
{
  WC_PACKET_SYN = 1 << 0,
  WC_PACKET_ACK = 1 << 1,
  WC_PACKET_FIN = 1 << 2,
  WC_PACKET_RST = 1 << 3,
  /* Set by the network on a packet that came back because its destination could not take it. */
  WC_PACKET_BOUNCED = 1 << 4
} WcPacketFlag;

/**
 * struct WcFlowKey - the ends of a flow as a caller's packets name them; addresses and ports in host byte order.
 */
typedef struct
{
  uint32_t caller_ip;
  uint32_t route_ip;
  uint16_t caller_port;
  uint16_t route_port;
} WcFlowKey;

/**
 * struct WcPacket - head of a packet from a caller, and where its bytes are.
 * @cookie: what the caller's end of the flow received last in this field; names the host. 0 on a SYN.
 * @acknowledged: next byte that the caller expects; on a SYN, how often it was sent before.
 * @data_bytes: length of the data behind the head.
 * @flags: WcPacketFlag, combined.
 * @request_id: identifier of the request that begins in the data; 0 when none does. For logs only.
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
  const uint8_t *bytes;
} WcPacket;

#endif
