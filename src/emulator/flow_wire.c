#include "emulator/flow_wire.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

enum
{
  HEAD_BYTES = 31,
  COOKIE_OFFSET = 2,
  FLAGS_OFFSET = 18,
  CHECKSUM_OFFSET = 19,
  CHECKSUM_BYTES = 4,
  RESET_BIT = 8
};

static const uint8_t KEY[crypto_shorthash_KEYBYTES] = { 'e', 'n', 'd', 's' };

static void    put_big_endian (uint8_t *bytes, unsigned count, uint64_t value);
static uint8_t encode_flags (uint8_t flags);
static void    compute_checksum (const uint8_t *bytes, size_t size_bytes, uint8_t checksum[CHECKSUM_BYTES]);

size_t
wc_flow_wire_write (const WcPacket *packet, const void *data, uint8_t out[WC_FLOW_WIRE_MAX_BYTES])
{
  size_t size_bytes = HEAD_BYTES + (size_t)packet->data_bytes;

  assert (size_bytes <= WC_FLOW_WIRE_MAX_BYTES);

  put_big_endian (out, 2, packet->data_bytes);
  put_big_endian (out + COOKIE_OFFSET, 4, packet->cookie);
  put_big_endian (out + 6, 2, packet->key.route_port);
  put_big_endian (out + 8, 2, packet->key.caller_port);
  put_big_endian (out + 10, 4, packet->key.route_ip);
  put_big_endian (out + 14, 4, packet->key.caller_ip);
  out[FLAGS_OFFSET] = encode_flags (packet->flags);
  put_big_endian (out + 23, 4, packet->sequence);
  put_big_endian (out + 27, 4, packet->acknowledged);
  if (packet->data_bytes > 0)
    memcpy (out + HEAD_BYTES, data, packet->data_bytes);
  compute_checksum (out, size_bytes, out + CHECKSUM_OFFSET);
  return size_bytes;
}

bool
wc_flow_wire_has_valid_checksum (const uint8_t *bytes, size_t size_bytes)
{
  uint8_t checksum[CHECKSUM_BYTES];

  if (size_bytes < HEAD_BYTES || size_bytes > WC_FLOW_WIRE_MAX_BYTES)
    return false;
  compute_checksum (bytes, size_bytes, checksum);
  return memcmp (checksum, bytes + CHECKSUM_OFFSET, CHECKSUM_BYTES) == 0;
}

bool
wc_flow_wire_is_system_reset (const uint8_t *bytes, size_t size_bytes)
{
  static const uint8_t none[CHECKSUM_BYTES];

  return size_bytes == HEAD_BYTES && bytes[FLAGS_OFFSET] == RESET_BIT &&
         memcmp (bytes + CHECKSUM_OFFSET, none, CHECKSUM_BYTES) == 0;
}

/* local functions */

static void
put_big_endian (uint8_t *bytes, unsigned count, uint64_t value)
{
  for (unsigned i = count; i > 0; i--, value >>= 8)
    bytes[i - 1] = (uint8_t)value;
}

static uint8_t
encode_flags (uint8_t flags)
{
  return (uint8_t)((flags & WC_PACKET_SYN ? 1 : 0) | (flags & WC_PACKET_ACK ? 128 : 0) |
                   (flags & WC_PACKET_FIN ? 32 : 0) | (flags & WC_PACKET_RST ? RESET_BIT : 0));
}

/* Covers the whole packet except the cookie and the checksum itself. */
static void
compute_checksum (const uint8_t *bytes, size_t size_bytes, uint8_t checksum[CHECKSUM_BYTES])
{
  uint8_t copy[WC_FLOW_WIRE_MAX_BYTES];
  uint8_t hash[crypto_shorthash_BYTES];

  memcpy (copy, bytes, size_bytes);
  memset (copy + COOKIE_OFFSET, 0, 4);
  memset (copy + CHECKSUM_OFFSET, 0, CHECKSUM_BYTES);
  crypto_shorthash (hash, copy, size_bytes, KEY);
  memcpy (checksum, hash, CHECKSUM_BYTES);
}
