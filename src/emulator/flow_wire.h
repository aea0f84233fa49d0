#ifndef WC_EMULATOR_FLOW_WIRE_H
#define WC_EMULATOR_FLOW_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/packet.h"

enum
{
  WC_FLOW_WIRE_MAX_BYTES = 31 + 1200
};

/*
 * Packets as the ends of a flow write them. The system in between can neither make nor change one, because each carries
 * a checksum with a key of the ends.
 */

/** wc_flow_wire_write() - encode a packet with @data behind the head. Return: bytes written. */
size_t wc_flow_wire_write (const WcPacket *packet, const void *data, uint8_t out[WC_FLOW_WIRE_MAX_BYTES]);

/** wc_flow_wire_has_valid_checksum() - whether the bytes are as an end of a flow wrote them, but for the cookie. */
bool wc_flow_wire_has_valid_checksum (const uint8_t *bytes, size_t size_bytes);

/** wc_flow_wire_is_system_reset() - whether it is a reset without a checksum, which only the system sends. */
bool wc_flow_wire_is_system_reset (const uint8_t *bytes, size_t size_bytes);

#endif
