#include "core/relay_packet.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "wigeoncart.pb-c.h"

static uint64_t compute_mac (const uint8_t *key, const Wc__RelayPacket *message);

size_t
wc_relay_pack (const WcKeyring *keyring, const WcRelay *relay, uint8_t buffer[WC_RELAY_MAX_BYTES])
{
  Wc__RelayPacket message = WC__RELAY_PACKET__INIT;
  const uint8_t  *key;

  assert (keyring != NULL);
  assert (relay != NULL);

  message.epoch = wc_keyring_get_newest_epoch (keyring);
  key = wc_keyring_find (keyring, message.epoch, WC_KEY_USE_RELAY);
  if (!key || relay->packet_bytes > WC_DATAGRAM_MAX_BYTES)
    return 0;

  message.caller_ip.data = (uint8_t *)relay->caller.ip;
  message.caller_ip.len = relay->caller.family == 6 ? 16 : 4;
  message.caller_port = relay->caller.port;
  message.hops = relay->hops;
  message.passed_from = relay->passed_from;
  message.packet.data = (uint8_t *)relay->packet;
  message.packet.len = relay->packet_bytes;
  message.mac = compute_mac (key, &message);
  return wc__relay_packet__pack (&message, buffer);
}

WcStatus
wc_relay_open (const WcKeyring *keyring, const uint8_t *data, size_t size_bytes, WcArena *arena, WcRelay *relay)
{
  Wc__RelayPacket *message;
  const uint8_t   *key;

  assert (keyring != NULL);
  assert (relay != NULL);

  message = wc__relay_packet__unpack (wc_arena_get_allocator (arena), size_bytes, data);
  if (!message || (message->caller_ip.len != 4 && message->caller_ip.len != 16) || message->caller_port > UINT16_MAX ||
      message->packet.len == 0 || message->packet.len > WC_DATAGRAM_MAX_BYTES)
    return WC_STATUS_PARSE;
  key = wc_keyring_find (keyring, message->epoch, WC_KEY_USE_RELAY);
  if (!key)
    return WC_STATUS_UNKNOWN_KEY;
  if (compute_mac (key, message) != message->mac)
    return WC_STATUS_FORGED;
  if (message->hops == 0 || message->hops > WC_RELAY_MAX_HOPS)
    return WC_STATUS_INVALID;

  memset (&relay->caller, 0, sizeof relay->caller);
  memcpy (relay->caller.ip, message->caller_ip.data, message->caller_ip.len);
  relay->caller.family = message->caller_ip.len == 16 ? 6 : 4;
  relay->caller.port = (uint16_t)message->caller_port;
  relay->hops = message->hops;
  relay->passed_from = message->passed_from;
  relay->packet = message->packet.data;
  relay->packet_bytes = message->packet.len;
  return WC_STATUS_OK;
}

/* local functions */

static uint64_t
compute_mac (const uint8_t *key, const Wc__RelayPacket *message)
{
  uint8_t  input[16 + 3 * sizeof (uint32_t) + WC_DATAGRAM_MAX_BYTES];
  size_t   input_bytes = message->caller_ip.len;
  uint64_t mac;

  _Static_assert(crypto_shorthash_BYTES == sizeof mac, "the MAC is one 64-bit word");
  _Static_assert(crypto_shorthash_KEYBYTES <= WC_KEY_BYTES, "a derived key is long enough");

  memcpy (input, message->caller_ip.data, input_bytes);
  memcpy (input + input_bytes, &message->caller_port, sizeof message->caller_port);
  input_bytes += sizeof message->caller_port;
  memcpy (input + input_bytes, &message->hops, sizeof message->hops);
  input_bytes += sizeof message->hops;
  memcpy (input + input_bytes, &message->passed_from, sizeof message->passed_from);
  input_bytes += sizeof message->passed_from;
  memcpy (input + input_bytes, message->packet.data, message->packet.len);
  input_bytes += message->packet.len;
  crypto_shorthash ((unsigned char *)&mac, input, input_bytes, key);
  return mac;
}
