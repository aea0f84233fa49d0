#ifndef WC_EMULATOR_FLOW_WIRE_H
#define WC_EMULATOR_FLOW_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/packet.h"

enum
{
  /* Header and maximum size of the data. */
  WC_FLOW_WIRE_MAX_BYTES = 31 + 1200
};

/*
 * Packets as the endpoints of a flow write them. Each carries a checksum with a key that only the endpoints use, so
 * that a packet which an instance between them generated or changed is detected.
 */

/** wc_flow_wire_write() - encode a packet header followed by @data. Return: bytes written. */
size_t wc_flow_wire_write (const WcPacket *packet, const void *data, uint8_t out[WC_FLOW_WIRE_MAX_BYTES]);

/** wc_flow_wire_has_valid_checksum() - whether the checksum is that of an endpoint; it does not cover the cookie. */
bool wc_flow_wire_has_valid_checksum (const uint8_t *bytes, size_t size_bytes);

/** wc_flow_wire_is_system_reset() - whether the packet is a reset without a checksum, which only an instance sends. */
bool wc_flow_wire_is_system_reset (const uint8_t *bytes, size_t size_bytes);

#endif
