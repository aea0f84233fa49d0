#include "emulator/flow_wire.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

enum
{
  HEAD_BYTES = 31,
  AT_COOKIE = 2,
  AT_FLAGS = 18,
  AT_SUM = 19,
  SUM_BYTES = 4,
  RESET_BIT = 8
};

static const uint8_t KEY[crypto_shorthash_KEYBYTES] = { 'e', 'n', 'd', 's' };

static void    put (uint8_t *bytes, unsigned count, uint64_t value);
static uint8_t flag_bits (uint8_t flags);
static void    compute_sum (const uint8_t *bytes, size_t size_bytes, uint8_t sum[SUM_BYTES]);

size_t
wc_flow_wire_write (const WcPacket *packet, const void *data, uint8_t out[WC_FLOW_WIRE_MAX_BYTES])
{
  size_t size_bytes = HEAD_BYTES + (size_t)packet->data_bytes;

  assert (size_bytes <= WC_FLOW_WIRE_MAX_BYTES);

  put (out, 2, packet->data_bytes);
  put (out + AT_COOKIE, 4, packet->cookie);
  put (out + 6, 2, packet->key.route_port);
  put (out + 8, 2, packet->key.caller_port);
  put (out + 10, 4, packet->key.route_ip);
  put (out + 14, 4, packet->key.caller_ip);
  out[AT_FLAGS] = flag_bits (packet->flags);
  put (out + 23, 4, packet->sequence);
  put (out + 27, 4, packet->acknowledged);
  if (packet->data_bytes > 0)
    memcpy (out + HEAD_BYTES, data, packet->data_bytes);
  compute_sum (out, size_bytes, out + AT_SUM);
  return size_bytes;
}

bool
wc_flow_wire_is_genuine (const uint8_t *bytes, size_t size_bytes)
{
  uint8_t sum[SUM_BYTES];

  if (size_bytes < HEAD_BYTES || size_bytes > WC_FLOW_WIRE_MAX_BYTES)
    return false;
  compute_sum (bytes, size_bytes, sum);
  return memcmp (sum, bytes + AT_SUM, SUM_BYTES) == 0;
}

bool
wc_flow_wire_is_system_reset (const uint8_t *bytes, size_t size_bytes)
{
  static const uint8_t none[SUM_BYTES];

  return size_bytes == HEAD_BYTES && bytes[AT_FLAGS] == RESET_BIT && memcmp (bytes + AT_SUM, none, SUM_BYTES) == 0;
}

/* local functions */

static void
put (uint8_t *bytes, unsigned count, uint64_t value)
{
  for (unsigned i = count; i > 0; i--, value >>= 8)
    bytes[i - 1] = (uint8_t)value;
}

static uint8_t
flag_bits (uint8_t flags)
{
  return (uint8_t)((flags & WC_PACKET_SYN ? 1 : 0) | (flags & WC_PACKET_ACK ? 128 : 0) |
                   (flags & WC_PACKET_FIN ? 32 : 0) | (flags & WC_PACKET_RST ? RESET_BIT : 0));
}

/* Covers the whole packet except the cookie and the checksum itself. */
static void
compute_sum (const uint8_t *bytes, size_t size_bytes, uint8_t sum[SUM_BYTES])
{
  uint8_t copy[WC_FLOW_WIRE_MAX_BYTES];
  uint8_t hash[crypto_shorthash_BYTES];

  memcpy (copy, bytes, size_bytes);
  memset (copy + AT_COOKIE, 0, 4);
  memset (copy + AT_SUM, 0, SUM_BYTES);
  crypto_shorthash (hash, copy, size_bytes, KEY);
  memcpy (sum, hash, SUM_BYTES);
}
