#include "fuzz/fleet.h"

#include <string.h>

enum
{
  CALLS_MAX = 6,
  /* With at most this many calls per caller, enough slots remain for every call during planned changes. */
  STRICT_CALLS_MAX = 2,
  DEADLINE_US = 4 * 1000 * 1000
};

static void client_send (void *user_data, const uint8_t *data, size_t size_bytes);
static void client_finished (void *user_data, uint64_t call, const WcClientAnswer *answer);
static void client_events (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes);
static void record_packet (FleetCaller *caller, const uint8_t *data, size_t size_bytes);
static void
add_credential (Fleet *fleet, FleetCredential *samples, uint32_t service_id, const ProtobufCBinaryData *sealed);
static void     send_raw (Fleet *fleet, const FleetCaller *caller, const Wc__CallerPacket *packet);
static uint64_t generate_id (Fleet *fleet);

void
fleet_callers_init (Fleet *fleet)
{
  static const WcClientOps OPS = { .send = client_send, .finished = client_finished, .events = client_events };

  for (uint32_t i = 0; i < FLEET_CALLERS; i++)
    {
      FleetCaller   *caller = &fleet->callers[i];
      WcClientConfig config;
      uint32_t       seed[WC_CLIENT_SEED_WORDS];

      for (int word = 0; word < WC_CLIENT_SEED_WORDS; word++)
        seed[word] = g_rand_int (fleet->random);
      wc_client_config_init (&config);
      caller->fleet = fleet;
      caller->index = i;
      caller->address = (WcAddress){ .ip = { 10, 9, 0, (uint8_t)i }, .family = 4, .port = 5000 };
      caller->client = wc_client_new (&config, seed, &OPS, caller);
      caller->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      for (int service = 0; service < FLEET_SERVICES; service++)
        caller->flows[service] = wc_client_open (caller->client, fleet->now_us, FLEET_SERVICE_NAMES[service],
                                                 i == 0 ? "dealer-1" : "dealer-2");
    }
}

void
fleet_callers_finish (Fleet *fleet)
{
  for (uint32_t i = 0; i < FLEET_CALLERS; i++)
    {
      wc_client_delete (fleet->callers[i].client);
      g_hash_table_unref (fleet->callers[i].calls);
    }
}

uint32_t
fleet_call (Fleet *fleet, uint32_t index, uint32_t service, bool order, size_t answer_bytes)
{
  FleetCaller    *caller = &fleet->callers[index];
  uint32_t        number = ++fleet->last_call_number;
  uint64_t        handle;
  char            path[64];
  WcClientRequest request = {
    .method = order ? "POST" : "GET",
    .path = path,
    .body = (const uint8_t *)"body",
    .body_bytes = order ? 4 : 0,
    .deadline_us = fleet->now_us + DEADLINE_US,
  };

  if (g_hash_table_size (caller->calls) >= (guint)(fleet->strict ? STRICT_CALLS_MAX : CALLS_MAX))
    return 0;
  g_snprintf (path, sizeof path, "/c/%u/%zu", number, answer_bytes);
  oracle_call_sent (fleet->oracle, number, order ? ORACLE_ORDER : ORACLE_REQUEST, service);
  handle = order ? wc_client_order (caller->client, fleet->now_us, caller->flows[service], &request, NULL)
                 : wc_client_request (caller->client, fleet->now_us, caller->flows[service], &request, NULL);
  g_assert (handle != 0);
  g_hash_table_insert (caller->calls, g_memdup2 (&handle, sizeof handle), GUINT_TO_POINTER (number));
  return number;
}

void
fleet_cancel (Fleet *fleet, uint32_t index, uint32_t choice)
{
  FleetCaller   *caller = &fleet->callers[index];
  uint32_t       count = g_hash_table_size (caller->calls);
  uint64_t       handle = UINT64_MAX;
  uint32_t       number;
  WcClientResult result;
  GHashTableIter iter;
  gpointer       key;

  if (count == 0)
    return;
  /* Cancel the oldest or the newest call. The iteration order of the hash table must not decide, because the input
   * alone must determine the run. */
  g_hash_table_iter_init (&iter, caller->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (handle == UINT64_MAX || (*(uint64_t *)key < handle) == (choice % 2 == 0))
      handle = *(uint64_t *)key;
  number = GPOINTER_TO_UINT (g_hash_table_lookup (caller->calls, &handle));
  g_hash_table_remove (caller->calls, &handle);
  result = wc_client_cancel (caller->client, fleet->now_us, handle);
  if (result == WC_CLIENT_NOT_RUN)
    oracle_call_ended (fleet->oracle, fleet->now_us, number, result, NULL, 0);
}

void
fleet_poll (Fleet *fleet, uint32_t index)
{
  FleetCaller *caller = &fleet->callers[index];

  if (caller->poll_handle == 0)
    caller->poll_handle =
        wc_client_poll (caller->client, fleet->now_us, caller->flows[FLEET_CATALOGUE], caller->poll_cursor, NULL);
}

/* Sends the packet of a misbehaving caller: its token or ticket was issued for another service than it names. */
void
fleet_send_mismatched (Fleet *fleet, uint32_t index, uint32_t choice, bool order)
{
  const FleetCredential *sample = &(order ? fleet->tickets : fleet->tokens)[choice % FLEET_CREDENTIALS_MAX];
  Wc__CallerPacket       packet = WC__CALLER_PACKET__INIT;
  uint32_t               number;
  char                   path[64];

  if (sample->size_bytes == 0)
    return;
  number = ++fleet->last_call_number;
  g_snprintf (path, sizeof path, "/c/%u/100", number);
  oracle_call_sent (fleet->oracle, number, order ? ORACLE_ORDER : ORACLE_REQUEST, sample->service);
  packet.kind = order ? WC__CALLER_PACKET__KIND__ORDER : WC__CALLER_PACKET__KIND__REQUEST;
  packet.service = wc_name_id32 (FLEET_SERVICE_NAMES[(sample->service + 1 + choice % 2) % FLEET_SERVICES]);
  packet.request_id = generate_id (fleet);
  packet.remaining_ms = 1000;
  packet.path = path;
  if (order)
    packet.ticket = (ProtobufCBinaryData){ sample->size_bytes, (uint8_t *)sample->data };
  else
    packet.token = (ProtobufCBinaryData){ sample->size_bytes, (uint8_t *)sample->data };
  send_raw (fleet, &fleet->callers[index], &packet);
}

/* Sends the last order again, with the same ticket and a new request ID. */
void
fleet_replay_order (Fleet *fleet)
{
  Wc__CallerPacket *packet;

  if (!fleet->last_order)
    return;
  packet = wc__caller_packet__unpack (NULL, fleet->last_order->size_bytes, fleet->last_order->data);
  packet->request_id = generate_id (fleet);
  send_raw (fleet, &fleet->callers[fleet->last_order->from], packet);
  wc__caller_packet__free_unpacked (packet, NULL);
}

/* local functions */

static void
client_send (void *user_data, const uint8_t *data, size_t size_bytes)
{
  FleetCaller *caller = user_data;

  record_packet (caller, data, size_bytes);
  fleet_send (caller->fleet, FLEET_TO_INSTANCE, caller->index, 0, &caller->address, data, size_bytes);
}

static void
client_finished (void *user_data, uint64_t call, const WcClientAnswer *answer)
{
  FleetCaller *caller = user_data;
  Fleet       *fleet = caller->fleet;
  uint32_t     number = GPOINTER_TO_UINT (g_hash_table_lookup (caller->calls, &call));

  fleet_log (fleet, "caller %u: call %u ended: %s, %zu bytes (%s)", caller->index, number,
             WC_CLIENT_RESULT_STRINGS[answer->result], answer->size_bytes, answer->reason);
  if (call == caller->poll_handle)
    {
      caller->poll_handle = 0;
      oracle_stream_refused (fleet->oracle, answer->reason);
      return;
    }
  g_hash_table_remove (caller->calls, &call);
  oracle_call_ended (fleet->oracle, fleet->now_us, number, answer->result, answer->data, answer->size_bytes);
}

static void
client_events (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes)
{
  FleetCaller *caller = user_data;

  (void)call;
  oracle_stream_events (caller->fleet->oracle, FLEET_CATALOGUE, caller->poll_cursor, cursor, data, size_bytes);
  caller->poll_cursor = cursor;
}

static void
record_packet (FleetCaller *caller, const uint8_t *data, size_t size_bytes)
{
  Fleet            *fleet = caller->fleet;
  Wc__CallerPacket *packet = wc__caller_packet__unpack (NULL, size_bytes, data);

  add_credential (fleet, fleet->tokens, packet->service, &packet->token);
  add_credential (fleet, fleet->tickets, packet->service, &packet->ticket);
  if (packet->kind == WC__CALLER_PACKET__KIND__ORDER)
    {
      if (fleet->last_order)
        fleet_message_free (fleet->last_order);
      fleet->last_order = g_new0 (FleetMessage, 1);
      fleet->last_order->from = caller->index;
      fleet->last_order->data = g_memdup2 (data, size_bytes);
      fleet->last_order->size_bytes = size_bytes;
    }
  wc__caller_packet__free_unpacked (packet, NULL);
}

static void
add_credential (Fleet *fleet, FleetCredential *samples, uint32_t service_id, const ProtobufCBinaryData *sealed)
{
  FleetCredential *sample = &samples[fleet->credential_count++ % FLEET_CREDENTIALS_MAX];

  if (sealed->len == 0 || sealed->len > sizeof sample->data)
    return;
  for (uint32_t i = 0; i < FLEET_SERVICES; i++)
    if (wc_name_id32 (FLEET_SERVICE_NAMES[i]) == service_id)
      sample->service = i;
  sample->size_bytes = sealed->len;
  memcpy (sample->data, sealed->data, sealed->len);
}

static void
send_raw (Fleet *fleet, const FleetCaller *caller, const Wc__CallerPacket *packet)
{
  uint8_t data[WC_DATAGRAM_MAX_BYTES];
  size_t  size_bytes = wc__caller_packet__get_packed_size (packet);

  g_assert (size_bytes <= sizeof data);
  wc__caller_packet__pack (packet, data);
  fleet_send (fleet, FLEET_TO_INSTANCE, caller->index, 0, &caller->address, data, size_bytes);
}

static uint64_t
generate_id (Fleet *fleet)
{
  return (uint64_t)g_rand_int (fleet->random) << 32 | g_rand_int (fleet->random);
}
