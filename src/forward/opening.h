#ifndef WC_FORWARD_OPENING_H
#define WC_FORWARD_OPENING_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/packet.h"

enum
{
  /* Maximum size of an opening packet, which normally consists of a header of 31 bytes only. */
  WC_OPENING_BYTES = 64
};

/** struct WcOpening - copy of an opening packet (SYN) with its bytes. */
typedef struct
{
  WcPacket packet;
  uint8_t  bytes[WC_OPENING_BYTES];
} WcOpening;

/** wc_opening_set() - copy @packet. Return: false when it is longer than WC_OPENING_BYTES. */
bool wc_opening_set (WcOpening *opening, const WcPacket *packet);

/** wc_opening_get_packet() - the packet; refers to the bytes of @opening. */
WcPacket wc_opening_get_packet (const WcOpening *opening);

/**
 * wc_opening_get_sent_us() - time of the first transmission of an opening, derived from its number of retransmissions.
 */
uint64_t wc_opening_get_sent_us (const WcPacket *packet, uint64_t now_us);

/**
 * wc_opening_is_late() - whether an opening waited so long at this instance that its caller has sent it again, perhaps
 * through another instance, or has given it up.
 */
bool wc_opening_is_late (const WcPacket *packet);

#endif
