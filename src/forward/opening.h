#ifndef WC_FORWARD_OPENING_H
#define WC_FORWARD_OPENING_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/packet.h"

enum
{
  /* An opening packet has a head only. */
  WC_OPENING_BYTES = 64
};

/** struct WcOpening - copy of an opening packet and its bytes. */
typedef struct
{
  WcPacket packet;
  uint8_t  bytes[WC_OPENING_BYTES];
} WcOpening;

/** wc_opening_set() - copy @packet. Return: false when it is longer than an opening. */
bool wc_opening_set (WcOpening *opening, const WcPacket *packet);

/** wc_opening_get_packet() - the packet; refers to the bytes of @opening. */
WcPacket wc_opening_get_packet (const WcOpening *opening);

/** wc_opening_get_sent_us() - when the caller sent an opening first, told by how often it was sent before. */
uint64_t wc_opening_get_sent_us (const WcPacket *packet, uint64_t now_us);

#endif
