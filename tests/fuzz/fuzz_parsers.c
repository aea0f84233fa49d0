/* Fuzzing of all parsers of external input: datagrams, peer frames, register, store replies, gossip and settings. */
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include <wigeoncart/config_store.h>
#include <wigeoncart/name_id.h>
#include <wigeoncart/node.h>

#include "core/peer_session.h"
#include "core/relay_packet.h"
#include "config_wire.h"
#include "edge/settings.h"
#include "forward/gossip.h"
#include "fuzz/fuzz.h"
#include "host_wire.h"
#include "packet_wire.h"
#include "store_wire.h"

enum
{
  NOW_US = 1000 * 1000 * 1000
};

/* Kinds of input; the first byte selects one. */
enum
{
  KIND_DATAGRAM = 0,
  KIND_RELAYED_DATAGRAM,
  KIND_PACKET,
  KIND_RELAYED_PACKET,
  KIND_PEER_FRAMES,
  KIND_REGISTER,
  KIND_MODIFIED_REGISTER,
  KIND_HEAD,
  KIND_SETTINGS,
  KIND_FLOW_PACKET,
  KIND_GOSSIP,
  KIND_HOST_ENTRY,
  KIND_CONFIG,
  KIND_STORE_REPLY,
  KIND_COUNT
};

static const char REGISTER[] =
    "{\"revision\":1,\"domains\":[\"d\"],\"services\":[{\"name\":\"a\"}],\"hosts\":[{\"name\":\"h\",\"domain\":\"d\","
    "\"targets\":[{\"service\":\"a\",\"address\":\"127.0.0.1:9001\",\"slots\":2,\"max_connections\":4,"
    "\"cold_start_ms\":0}]}],\"keys\":[{\"epoch\":1,\"secret\":\"AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=\"}],"
    "\"rules\":{}}";
static const char SETTINGS[] =
    "{\"instance\":\"i\",\"domain\":\"d\",\"listen\":\"127.0.0.1:7001\",\"peer\":\"127.0.0.1:7101\","
    "\"operators\":\"127.0.0.1:7070\",\"platforms\":[\"127.0.0.1:7200\"],\"workers\":2,"
    "\"fleet_key\":\"AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=\"}";
static const char HEAD[] = "{\"revision\":2,\"parts\":[{\"key\":\"base\",\"digest\":\""
                           "0000000000000000000000000000000000000000000000000000000000000000\"}]}";

static const char HOST_ENTRY[] =
    "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,"
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"seq\":4,\"born\":5}";
static const char CONFIG[] = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\","
                             "\"kind\":\"safe\",\"priority\":2,\"traffic-split\":[{\"service\":\"x\",\"weight\":90}]}],"
                             "\"limits\":{\"idle-timeout-ms\":15000}}";
static const char WATCH_REPLY[] =
    "{\"events\":[{\"key\":\"a\",\"value\":\"bm9k\",\"mod-rev\":412},{\"key\":\"b\",\"mod-rev\":413,"
    "\"deleted\":true}],\"as-of\":413}";

static const WcAddress CALLER = { .ip = { 127, 0, 0, 1 }, .family = 4, .port = 5000 };

static uint64_t accepted[KIND_COUNT];

static void    ignore_datagram (void *user_data, const WcAddress *address, const uint8_t *data, size_t size_bytes);
static void    ignore_dispatch (void *user_data, const WcAttempt *attempt);
static void    ignore_cancel (void *user_data, uint64_t attempt_id);
static WcNode *make_node (WcCounters *counters, WcKeyring **keyring);
static void    feed_node (int kind, const uint8_t *data, size_t size_bytes);
static void    feed_packet (WcNode *node, const uint8_t *data, size_t size_bytes);
static void    feed_relay (WcNode *node, const WcKeyring *keyring, const uint8_t *data, size_t size_bytes);
static void    feed_session (const uint8_t *data, size_t size_bytes);
static void    feed_settings (const uint8_t *data, size_t size_bytes);
static void    feed_packet_wire (const uint8_t *data, size_t size_bytes);
static void    feed_gossip (const uint8_t *data, size_t size_bytes);
static void    feed_host_entry (const uint8_t *data, size_t size_bytes);
static void    feed_config (const uint8_t *data, size_t size_bytes);
static void    feed_store_reply (const uint8_t *data, size_t size_bytes);
static char   *mutate (const char *text, const uint8_t *data, size_t size_bytes, size_t *length);

static const WcNodeOps OPS = {
  .send = ignore_datagram,
  .relay = ignore_datagram,
  .dispatch = ignore_dispatch,
  .cancel = ignore_cancel,
};

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  char  *text;
  size_t length;
  int    kind;

  if (sodium_init () < 0 || size_bytes < 2)
    return 0;
  kind = data[0] % KIND_COUNT;
  data++;
  size_bytes--;
  fuzz_operations++;
  switch (kind)
    {
    case KIND_DATAGRAM:
    case KIND_RELAYED_DATAGRAM:
    case KIND_PACKET:
    case KIND_RELAYED_PACKET:
      feed_node (kind, data, size_bytes);
      break;
    case KIND_PEER_FRAMES:
      feed_session (data, size_bytes);
      break;
    case KIND_REGISTER:
    case KIND_MODIFIED_REGISTER:
      {
        WcRegister *reg;

        text = kind == KIND_REGISTER ? g_memdup2 (data, size_bytes) : mutate (REGISTER, data, size_bytes, &length);
        reg = wc_register_parse ("fuzz", text, kind == KIND_REGISTER ? size_bytes : length, NULL);
        accepted[kind] += reg != NULL;
        wc_register_unref (reg);
        g_free (text);
        break;
      }
    case KIND_HEAD:
      {
        WcConfigStore *store = wc_config_store_new ();

        text = mutate (HEAD, data, size_bytes, &length);
        accepted[kind] += wc_config_store_offer_head (store, text, length, NULL) == WC_STATUS_OK;
        wc_config_store_offer_part (store, data, size_bytes, NULL);
        wc_config_store_activate (store, NULL);
        wc_config_store_delete (store);
        g_free (text);
        break;
      }
    case KIND_FLOW_PACKET:
      feed_packet_wire (data, size_bytes);
      break;
    case KIND_GOSSIP:
      feed_gossip (data, size_bytes);
      break;
    case KIND_HOST_ENTRY:
      feed_host_entry (data, size_bytes);
      break;
    case KIND_CONFIG:
      feed_config (data, size_bytes);
      break;
    case KIND_STORE_REPLY:
      feed_store_reply (data, size_bytes);
      break;
    default:
      feed_settings (data, size_bytes);
      break;
    }
  return 0;
}

void
fuzz_print_summary (void)
{
  static const char *const NAMES[KIND_COUNT] = {
    [KIND_DATAGRAM] = "datagrams",
    [KIND_RELAYED_DATAGRAM] = "relayed datagrams",
    [KIND_PACKET] = "packets from fields",
    [KIND_RELAYED_PACKET] = "relayed packets",
    [KIND_PEER_FRAMES] = "peer frames",
    [KIND_REGISTER] = "registers",
    [KIND_MODIFIED_REGISTER] = "modified registers",
    [KIND_HEAD] = "heads",
    [KIND_SETTINGS] = "settings",
    [KIND_FLOW_PACKET] = "flow packets",
    [KIND_GOSSIP] = "gossip datagrams",
    [KIND_HOST_ENTRY] = "host entries",
    [KIND_CONFIG] = "configurations",
    [KIND_STORE_REPLY] = "store replies",
  };

  for (int i = 0; i < KIND_COUNT; i++)
    printf ("%s: accepted %" G_GUINT64_FORMAT "\n", NAMES[i], accepted[i]);
}

/* local functions */

static void
ignore_datagram (void *user_data, const WcAddress *address, const uint8_t *data, size_t size_bytes)
{
  uint64_t *sent = user_data;

  (void)address;
  (void)data;
  *sent += size_bytes > 0;
}

static void
ignore_dispatch (void *user_data, const WcAttempt *attempt)
{
  (void)user_data;
  (void)attempt;
}

static void
ignore_cancel (void *user_data, uint64_t attempt_id)
{
  (void)user_data;
  (void)attempt_id;
}

static WcNode *
make_node (WcCounters *counters, WcKeyring **keyring)
{
  static WcRegister *reg;
  static uint64_t    sent;
  WcMember           self = { .id = wc_name_id64 ("i"),
                              .incarnation = 1,
                              .domain = wc_name_id32 ("d"),
                              .workers = 1,
                              .state = WC_MEMBER_LIVE,
                              .address = CALLER };
  WcMember           members[2] = { self, self };
  WcMemberTable     *table;
  WcNodeConfig       config;
  WcNode            *node;
  WcView            *view;
  const WcKey       *keys;
  size_t             count;

  if (!reg)
    reg = wc_register_parse ("fuzz", REGISTER, strlen (REGISTER), NULL);
  g_assert (reg != NULL);
  keys = wc_register_get_keys (reg, &count);
  *keyring = wc_keyring_new (keys, count);
  members[1].id = wc_name_id64 ("other");
  table = wc_member_table_new (members, 2);
  wc_node_config_init (&config);
  config.instance = self.id;
  config.incarnation = 1;
  config.domain = self.domain;
  config.requests_max = 8;
  config.ledger_max_entries = 8;
  config.answers_max = 8;
  config.stream_max_waiters = 8;
  node = wc_node_new (&config, &OPS, &sent, counters);
  view = wc_view_new (reg, *keyring, table, WC_LIFECYCLE_SERVING, NOW_US);
  wc_node_set_view (node, NOW_US, view);
  wc_view_unref (view);
  wc_member_table_unref (table);
  return node;
}

/* Feeds raw bytes, or well-formed packets with fields, tokens and tickets from the input. */
static void
feed_node (int kind, const uint8_t *data, size_t size_bytes)
{
  WcCounters *counters = g_new0 (WcCounters, 1);
  WcKeyring  *keyring;
  WcNode     *node = make_node (counters, &keyring);

  switch (kind)
    {
    case KIND_DATAGRAM:
      wc_node_receive (node, NOW_US, &CALLER, data, size_bytes);
      break;
    case KIND_RELAYED_DATAGRAM:
      wc_node_receive_relay (node, NOW_US, data, size_bytes);
      feed_relay (node, keyring, data, size_bytes);
      break;
    default:
      feed_packet (node, data, size_bytes);
      if (kind == KIND_RELAYED_PACKET)
        feed_relay (node, keyring, data, size_bytes);
      break;
    }
  wc_node_tick (node, NOW_US + 10000);
  accepted[kind] += atomic_load (&counters->values[WC_COUNTER_PACKETS_MALFORMED]) == 0;
  wc_node_delete (node);
  wc_keyring_unref (keyring);
  g_free (counters);
}

static void
feed_packet (WcNode *node, const uint8_t *data, size_t size_bytes)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  Wc__AnswerRef    answer = WC__ANSWER_REF__INIT;
  uint8_t          buffer[2 * WC_DATAGRAM_MAX_BYTES];
  char             path[32];

  for (size_t at = 0; at + 6 <= size_bytes; at += 6)
    {
      const uint8_t *byte = data + at;
      size_t         size;

      packet.kind = byte[0] % 8;
      packet.service = byte[0] >= 224 ? byte[1] : wc_name_id32 ("a");
      packet.request_id = byte[1] % 4;
      packet.remaining_ms = byte[2];
      packet.cursor = byte[3] % 4;
      answer.instance = byte[4] % 2 ? wc_name_id64 ("i") : wc_name_id64 ("other");
      answer.incarnation = byte[4] / 2 % 2;
      answer.worker = byte[4] / 4 % 4 == 0 ? byte[5] : 0;
      answer.answer = byte[5];
      packet.answer = byte[4] >= 128 ? &answer : NULL;
      packet.first_part = byte[2] >= 250 ? UINT32_MAX - byte[3] : byte[2];
      packet.part_count = byte[3] >= 250 ? UINT32_MAX : byte[3];
      g_snprintf (path, sizeof path, "/%c", 1 + byte[5] % 127);
      packet.path = byte[4] % 8 == 7 ? path : (char *)"/x";
      packet.token = (ProtobufCBinaryData){ MIN (size_bytes - at, byte[2]), (uint8_t *)byte };
      packet.ticket = (ProtobufCBinaryData){ MIN (size_bytes - at, byte[3]), (uint8_t *)byte };
      size = wc__caller_packet__get_packed_size (&packet);
      if (size > sizeof buffer)
        continue;
      wc__caller_packet__pack (&packet, buffer);
      wc_node_receive (node, NOW_US, &CALLER, buffer, MIN (size, (size_t)WC_DATAGRAM_MAX_BYTES));
    }
}

static void
feed_relay (WcNode *node, const WcKeyring *keyring, const uint8_t *data, size_t size_bytes)
{
  uint8_t buffer[WC_RELAY_MAX_BYTES];
  WcRelay relay = { .caller = CALLER,
                    .hops = 1 + data[0] % 2,
                    .packet = data,
                    .packet_bytes = MIN (size_bytes, (size_t)WC_DATAGRAM_MAX_BYTES) };

  wc_node_receive_relay (node, NOW_US, buffer, wc_relay_pack (keyring, &relay, buffer));
}

/* Splits the input into frames. A valid HELLO of a peer may precede them. */
static void
feed_session (const uint8_t *data, size_t size_bytes)
{
  static const uint8_t FLEET_KEY[WC_KEY_BYTES];
  WcPeerSessionConfig  config = {
     .initiator = data[0] % 2 == 0, .instance = 1, .incarnation = 1, .domain = 1, .name = "i", .fleet_key = FLEET_KEY
  };
  WcPeerSession *session = wc_peer_session_new (&config);
  GByteArray    *out = g_byte_array_new ();
  size_t         at = 1;

  wc_peer_session_pack_hello (session, out);
  if (data[0] % 4 >= 2)
    {
      WcPeerSession *peer;
      GByteArray    *hello = g_byte_array_new ();
      Wc__PeerFrame *frame = NULL;

      config.initiator = !config.initiator;
      config.instance = 2;
      config.challenge[0] = 1;
      peer = wc_peer_session_new (&config);
      wc_peer_session_pack_hello (peer, hello);
      wc_peer_session_receive (session, hello->data + WC_PEER_LENGTH_BYTES, hello->len - WC_PEER_LENGTH_BYTES, &frame,
                               NULL);
      g_byte_array_unref (hello);
      wc_peer_session_delete (peer);
    }
  while (at < size_bytes)
    {
      size_t         length = MIN (data[at], size_bytes - at - 1);
      Wc__PeerFrame *frame = NULL;
      WcPeerStatus   status = wc_peer_session_receive (session, data + at + 1, length, &frame, NULL);

      accepted[KIND_PEER_FRAMES] += status == WC_PEER_OK;
      if (frame)
        wc__peer_frame__free_unpacked (frame, NULL);
      if (status != WC_PEER_OK)
        break;
      at += length + 1;
    }
  g_byte_array_unref (out);
  wc_peer_session_delete (session);
}

static void
feed_settings (const uint8_t *data, size_t size_bytes)
{
  size_t      length;
  char       *text = mutate (SETTINGS, data, size_bytes, &length);
  int         file = memfd_create ("settings", 0);
  char        path[64];
  WcSettings *settings;

  g_assert (file >= 0);
  g_assert (write (file, text, length) == (ssize_t)length);
  g_snprintf (path, sizeof path, "/proc/self/fd/%d", file);
  settings = wc_settings_load (path, NULL);
  accepted[KIND_SETTINGS] += settings != NULL;
  wc_settings_delete (settings);
  close (file);
  g_free (text);
}

/* Returns a copy of a valid text with up to 3 short pieces replaced, mostly by characters with a meaning in JSON. */
static char *
mutate (const char *text, const uint8_t *data, size_t size_bytes, size_t *length)
{
  static const char ALPHABET[] = "0123456789,:{}[]\"-.ae /*";
  GString          *out = g_string_new (text);

  for (size_t at = 0; at + 4 <= size_bytes && at < 4u * (data[0] % 4); at += 4)
    {
      size_t position = ((size_t)data[at] << 8 | data[at + 1]) % out->len;
      char   character = data[at + 2] >= 240 ? (char)data[at + 3] : ALPHABET[data[at + 3] % (sizeof ALPHABET - 1)];

      g_string_erase (out, (gssize)position, (gssize)MIN (out->len - position, (size_t)data[at + 2] % 4));
      if (data[at + 2] / 4 % 4 != 0)
        g_string_insert_len (out, (gssize)position, &character, 1);
      if (out->len == 0)
        break;
    }
  *length = out->len;
  return g_string_free (out, FALSE);
}

/* Feeds raw bytes, and the same bytes with a valid length and valid flags. */
static void
feed_packet_wire (const uint8_t *data, size_t size_bytes)
{
  uint8_t  out[WC_PACKET_WIRE_HOST_ID_BYTES + WC_PACKET_WIRE_MAX_BYTES];
  uint8_t  bytes[WC_PACKET_WIRE_MAX_BYTES] = { 0 };
  size_t   data_bytes = size_bytes % (WC_PACKET_WIRE_DATA_MAX_BYTES + 1);
  WcPacket packet;

  (void)wc_packet_wire_decode (data, size_bytes, &packet);
  memcpy (bytes, data, MIN (size_bytes, sizeof bytes));
  bytes[0] = (uint8_t)(data_bytes >> 8);
  bytes[1] = (uint8_t)data_bytes;
  bytes[18] &= 1 | 128 | 32 | 8 | 4;
  if (!wc_packet_wire_decode (bytes, WC_PACKET_WIRE_HEADER_BYTES + data_bytes, &packet))
    return;
  accepted[KIND_FLOW_PACKET]++;
  wc_packet_wire_encode_forwarded (&packet, 1, 2, out);
}

/* Feeds raw bytes, and a valid gossip datagram with up to 4 bytes changed. */
static void
feed_gossip (const uint8_t *data, size_t size_bytes)
{
  WcGossip     gossip = { .sender = { .address = CALLER, .incarnation = 1, .domain = g_quark_from_string ("d") },
                          .known_count = 1,
                          .host_count = 1,
                          .hosts = {
                              { .host = 7, .reporter = 8, .busy = 3, .silent_requests = 2, .silence_age_ms = 250 } } };
  uint8_t      packed[WC_GOSSIP_MAX_BYTES];
  size_t       packed_bytes;
  WcViewOrigin origin;
  WcStoreReply reply;

  gossip.known[0] = gossip.sender;
  packed_bytes = wc_gossip_pack (&gossip, packed);
  for (size_t i = 0; i + 1 < size_bytes && i < 8; i += 2)
    packed[data[i] % packed_bytes] = data[i + 1];
  accepted[KIND_GOSSIP] += wc_gossip_unpack (packed, packed_bytes, &gossip) == WC_STATUS_OK;
  (void)wc_gossip_unpack (data, size_bytes, &gossip);
  wc_store_reply_init (&reply);
  wc_view_changes_unpack (data, size_bytes, &reply, &origin);
  wc_store_reply_finish (&reply);
}

static void
feed_host_entry (const uint8_t *data, size_t size_bytes)
{
  size_t       length;
  char        *text = mutate (HOST_ENTRY, data, size_bytes, &length);
  WcHostRecord record;

  accepted[KIND_HOST_ENTRY] += wc_host_wire_decode ("servers/i-1", text, length, &record, NULL) == WC_STATUS_OK;
  wc_host_wire_decode ("servers/i-1", data, size_bytes, &record, NULL);
  g_free (text);
}

static void
feed_config (const uint8_t *data, size_t size_bytes)
{
  size_t        length;
  size_t        skipped;
  char         *text = mutate (CONFIG, data, size_bytes, &length);
  WcRouteTable *table = wc_config_wire_decode (text, length, &skipped, NULL);

  accepted[KIND_CONFIG] += table != NULL;
  wc_route_table_delete (table);
  wc_route_table_delete (wc_config_wire_decode (data, size_bytes, &skipped, NULL));
  g_free (text);
}

static void
feed_store_reply (const uint8_t *data, size_t size_bytes)
{
  size_t       length;
  char        *text = mutate (WATCH_REPLY, data, size_bytes, &length);
  WcStoreReply reply;

  wc_store_reply_init (&reply);
  accepted[KIND_STORE_REPLY] += wc_store_wire_decode (text, length, 1, &reply, NULL) == WC_STATUS_OK;
  wc_store_reply_finish (&reply);
  g_free (text);
}
