#include "emulator/speed_packets.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include <wigeoncart/name_id.h>
#include <wigeoncart/node.h>
#include <wigeoncart/token.h>

#include "core/arena.h"
#include "core/relay_packet.h"
#include "wigeoncart.pb-c.h"

enum
{
  ARENA_BYTES = 8192,
  /* Long enough that no token is replaced because of its age during a measurement. */
  TOKEN_LIFETIME_S = 7 * 24 * 60 * 60,
  REMAINING_MS = 2000
};

struct WcSpeedPackets
{
  uint32_t  count;
  uint16_t *sizes;
  uint8_t  *data;
  size_t    stride;
};

static size_t   make_packet (const WcSpeedPacketsConfig *config, const WcKeyring *keyring, WcSealer *sealer,
                             uint32_t index, const uint8_t *body, uint8_t buffer[WC_DATAGRAM_MAX_BYTES]);
static uint64_t find_caller_id (const uint8_t *data, size_t size_bytes);

WcSpeedPackets *
wc_speed_packets_new (const WcSpeedPacketsConfig *config, const WcKeyring *keyring)
{
  WcSpeedPackets *packets = g_new0 (WcSpeedPackets, 1);
  uint8_t         buffer[WC_DATAGRAM_MAX_BYTES];
  uint8_t        *body;
  WcSealer        sealer;

  assert (config != NULL);
  assert (config->flows > 0);
  assert (keyring != NULL);

  wc_sealer_init (&sealer, (uint64_t)g_get_real_time ());
  body = g_malloc0 (config->body_bytes + 1);
  packets->count = config->flows;
  packets->sizes = g_new0 (uint16_t, config->flows);
  for (uint32_t i = 0; i < config->flows; i++)
    {
      size_t size = make_packet (config, keyring, &sealer, i, body, buffer);

      if (size == 0)
        {
          wc_speed_packets_delete (packets);
          g_free (body);
          return NULL;
        }
      /* All datagrams have the length of the first, except for the varint lengths of numbers. */
      if (!packets->data)
        {
          packets->stride = MIN (size + 32, (size_t)WC_DATAGRAM_MAX_BYTES);
          packets->data = g_malloc (packets->stride * config->flows);
        }
      assert (size <= packets->stride);
      memcpy (packets->data + packets->stride * i, buffer, size);
      packets->sizes[i] = (uint16_t)size;
    }
  g_free (body);
  return packets;
}

void
wc_speed_packets_delete (WcSpeedPackets *packets)
{
  if (!packets)
    return;
  g_free (packets->sizes);
  g_free (packets->data);
  g_free (packets);
}

uint32_t
wc_speed_packets_get_count (const WcSpeedPackets *packets)
{
  return packets->count;
}

const uint8_t *
wc_speed_packets_get (const WcSpeedPackets *packets, uint32_t index, size_t *size_bytes)
{
  assert (packets != NULL);
  assert (index < packets->count);

  *size_bytes = packets->sizes[index];
  return packets->data + packets->stride * index;
}

uint64_t
wc_speed_packets_find_id (const WcKeyring *keyring, const uint8_t *data, size_t size_bytes)
{
  uint8_t  memory[ARENA_BYTES];
  WcArena  arena;
  WcRelay  relay;
  uint64_t id;

  wc_arena_init (&arena, memory, sizeof memory);
  if (wc_relay_open (keyring, data, size_bytes, &arena, &relay) == WC_STATUS_OK)
    return find_caller_id (relay.packet, relay.packet_bytes);
  id = find_caller_id (data, size_bytes);
  if (id == 0)
    {
      Wc__InstancePacket *reply;

      wc_arena_reset (&arena);
      reply = wc__instance_packet__unpack (wc_arena_get_allocator (&arena), size_bytes, data);
      /* A measurement must not count rejections as answers. */
      if (reply && (reply->kind == WC__INSTANCE_PACKET__KIND__OPENED ||
                    (reply->kind == WC__INSTANCE_PACKET__KIND__RESULT &&
                     reply->result == WC__INSTANCE_PACKET__RESULT__DONE && reply->http_status == 200)))
        id = reply->request_id;
    }
  return id;
}

/* local functions */

static size_t
make_packet (const WcSpeedPacketsConfig *config, const WcKeyring *keyring, WcSealer *sealer, uint32_t index,
             const uint8_t *body, uint8_t buffer[WC_DATAGRAM_MAX_BYTES])
{
  Wc__CallerPacket message = WC__CALLER_PACKET__INIT;
  uint8_t          sealed[WC_TOKEN_MAX_BYTES];
  WcToken          token = {
             .service = wc_name_id32 (config->service),
             .customer = wc_name_id32 ("dealer"),
             .domain = wc_name_id32 (config->domain),
             .owner = wc_name_id64 ("sink"),
             .incarnation = 1,
             .target = 1,
             .expiry_wall_s = (uint64_t)(g_get_real_time () / G_USEC_PER_SEC) + TOKEN_LIFETIME_S,
             .flow = index + 1,
  };

  message.service = token.service;
  message.request_id = index + 1;
  message.customer = token.customer;
  if (config->kind == WC_SPEED_OPEN)
    {
      message.kind = WC__CALLER_PACKET__KIND__OPEN;
    }
  else
    {
      message.kind = WC__CALLER_PACKET__KIND__REQUEST;
      message.token.data = sealed;
      message.token.len = wc_token_seal (sealer, keyring, &token, sealed);
      if (message.token.len == 0)
        return 0;
      message.remaining_ms = REMAINING_MS;
      message.method = (char *)"GET";
      message.path = (char *)"/catalogue/bells";
      message.body.data = (uint8_t *)body;
      message.body.len = config->body_bytes;
    }
  if (wc__caller_packet__get_packed_size (&message) > WC_DATAGRAM_MAX_BYTES)
    return 0;
  return wc__caller_packet__pack (&message, buffer);
}

static uint64_t
find_caller_id (const uint8_t *data, size_t size_bytes)
{
  uint8_t           memory[ARENA_BYTES];
  WcArena           arena;
  Wc__CallerPacket *message;

  wc_arena_init (&arena, memory, sizeof memory);
  message = wc__caller_packet__unpack (wc_arena_get_allocator (&arena), size_bytes, data);
  if (!message || message->service == 0)
    return 0;
  return message->request_id;
}
