#ifndef WC_CORE_RELAY_PACKET_H
#define WC_CORE_RELAY_PACKET_H

#include <wigeoncart/address.h>
#include <wigeoncart/keyring.h>
#include <wigeoncart/node.h>

#include "core/arena.h"

enum
{
  WC_RELAY_MAX_BYTES = WC_DATAGRAM_MAX_BYTES + 64,
  WC_RELAY_MAX_HOPS = 2
};

/**
 * struct WcRelay - a caller's datagram that one worker relays to another.
 * @hops: number of relays so far, including this one.
 * @passed_from: domain of the owner that spilled the request, 0 when it was not spilled.
 * @packet: the datagram; after wc_relay_open(), it points into the arena.
 */
typedef struct
{
  WcAddress      caller;
  uint32_t       hops;
  uint32_t       passed_from;
  const uint8_t *packet;
  size_t         packet_bytes;
} WcRelay;

/** wc_relay_pack() - encode and add the MAC. Return: bytes written, 0 when the datagram is too large or has no key. */
size_t wc_relay_pack (const WcKeyring *keyring, const WcRelay *relay, uint8_t buffer[WC_RELAY_MAX_BYTES]);

/** wc_relay_open() - decode and check the MAC. Return: OK, PARSE, UNKNOWN_KEY, FORGED, or INVALID for a bad @hops. */
WcStatus
wc_relay_open (const WcKeyring *keyring, const uint8_t *data, size_t size_bytes, WcArena *arena, WcRelay *relay);

#endif
