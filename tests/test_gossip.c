#include "test_main.h"

#include <string.h>

#include "forward/gossip.h"

static WcGossip
full_gossip (void)
{
  WcGossip gossip = {
    .sender = { .address = { .ip = { 10, 1, 2, 3 }, .family = 4, .port = 8166 },
                .incarnation = UINT64_MAX,
                .domain = g_quark_from_string ("a-failure-domain-with-a-rather-long-name"),
                .heartbeat = UINT64_MAX },
    .revision = UINT64_MAX,
    .view_age_ms = 1234,
    .stopping = true,
    .logical = 77,
    .echo_heartbeat = UINT64_MAX,
    .echo_incarnation = UINT32_MAX,
    .domain_instances = 1024,
    .known_count = WC_GOSSIP_MAX_PEERS,
    .host_count = WC_GOSSIP_MAX_HOSTS,
  };

  for (size_t i = 0; i < WC_GOSSIP_MAX_PEERS; i++)
    {
      gossip.known[i] = gossip.sender;
      gossip.known[i].address.ip[3] = (uint8_t)(10 + i);
    }
  for (size_t i = 0; i < WC_GOSSIP_MAX_HOSTS; i++)
    gossip.hosts[i] = (WcHostReport){
      .host = UINT64_MAX - i,
      .busy = (uint32_t)i,
      .life_age_ms = UINT32_MAX,
      .answered = 100,
      .failed = 50,
      .joined_answered = 10000,
      .joined_failed = 5000,
      .joined_age_ms = 1999,
      .joined_by = UINT64_MAX,
      .failures_only = true,
    };
  return gossip;
}

/* Guards against a datagram of maximum size that does not fit, and against fields lost in encoding. */
START_TEST (largest_message_round_trips)
{
  const WcGossip gossip = full_gossip ();
  uint8_t        data[WC_GOSSIP_MAX_BYTES];
  size_t         size_bytes = wc_gossip_pack (&gossip, data);
  WcGossip       copy;

  ck_assert_uint_gt (size_bytes, 0);
  ck_assert_int_eq (wc_gossip_unpack (data, size_bytes, &copy), WC_STATUS_OK);
  ck_assert_uint_eq (copy.sender.incarnation, gossip.sender.incarnation);
  ck_assert_uint_eq (copy.sender.domain, gossip.sender.domain);
  ck_assert_uint_eq (copy.revision, gossip.revision);
  ck_assert_uint_eq (copy.view_age_ms, 1234);
  ck_assert_uint_eq (copy.logical, 77);
  ck_assert_uint_eq (copy.echo_heartbeat, UINT64_MAX);
  ck_assert_uint_eq (copy.echo_incarnation, UINT32_MAX);
  ck_assert_uint_eq (copy.domain_instances, 1024);
  ck_assert (copy.stopping);
  ck_assert_uint_eq (copy.known_count, WC_GOSSIP_MAX_PEERS);
  ck_assert (wc_address_equal (&copy.known[3].address, &gossip.known[3].address));
  ck_assert_uint_eq (copy.host_count, WC_GOSSIP_MAX_HOSTS);
  ck_assert_uint_eq (copy.hosts[5].host, gossip.hosts[5].host);
  ck_assert_uint_eq (copy.hosts[5].busy, 5);
}
END_TEST

/* Guards against evidence on a host that is altered in encoding, or does not fit beside the sender's name. */
START_TEST (query_round_trips)
{
  WcGossip gossip = full_gossip ();
  uint8_t  data[WC_GOSSIP_MAX_BYTES];
  WcGossip copy;
  size_t   size_bytes;

  gossip.asks = true;
  gossip.known_count = 0;
  for (size_t i = 0; i < WC_GOSSIP_MAX_HOSTS; i++)
    gossip.hosts[i] =
        (WcHostReport){ UINT64_MAX, UINT64_MAX - i, 9, 1500, 7, 3, 420, 100, 50, 10000, 5000, 1999, 8, true };
  size_bytes = wc_gossip_pack (&gossip, data);
  ck_assert_uint_gt (size_bytes, 0);
  ck_assert_int_eq (wc_gossip_unpack (data, size_bytes, &copy), WC_STATUS_OK);
  ck_assert (copy.asks);
  ck_assert_uint_eq (copy.host_count, WC_GOSSIP_MAX_HOSTS);
  ck_assert_mem_eq (&copy.hosts[4], &gossip.hosts[4], sizeof gossip.hosts[4]);
}
END_TEST

/* Guards against crashes on datagrams that are truncated or not from an instance. */
START_TEST (malformed_messages_are_rejected)
{
  const WcGossip gossip = full_gossip ();
  uint8_t        data[WC_GOSSIP_MAX_BYTES];
  size_t         size_bytes = wc_gossip_pack (&gossip, data);
  WcGossip       copy;

  ck_assert_int_ne (wc_gossip_unpack (data, 0, &copy), WC_STATUS_OK);
  for (size_t size = 0; size < size_bytes; size++)
    if (wc_gossip_unpack (data, size, &copy) == WC_STATUS_OK)
      ck_assert_uint_le (copy.known_count, WC_GOSSIP_MAX_PEERS);
  memset (data, 0xff, sizeof data);
  ck_assert_int_ne (wc_gossip_unpack (data, sizeof data, &copy), WC_STATUS_OK);
}
END_TEST

/* Guards against values, deletions or the origin of store changes that are lost in encoding. */
START_TEST (store_changes_round_trip)
{
  const WcViewOrigin   origin = { 250, 99, true };
  WcViewOrigin         copy_origin;
  WcStoreReply         reply;
  WcStoreReply         copy;
  const WcStoreChange *change;
  GBytes              *packed;

  wc_store_reply_init (&reply);
  wc_store_reply_init (&copy);
  reply.version = (WcStoreVersion){ 3, 12 };
  wc_store_reply_add (&reply, "servers/i-1", g_bytes_new ("\0\xff{", 3), (WcStoreVersion){ 2, 11 });
  wc_store_reply_add (&reply, "servers/i-2", NULL, (WcStoreVersion){ 3, 12 });
  packed = wc_view_changes_pack (&reply, &origin);
  ck_assert_int_eq (
      wc_view_changes_unpack (g_bytes_get_data (packed, NULL), g_bytes_get_size (packed), &copy, &copy_origin),
      WC_STATUS_OK);
  ck_assert_uint_eq (copy.version.era, 3);
  ck_assert_uint_eq (copy.version.revision, 12);
  ck_assert_uint_eq (copy_origin.age_ms, 250);
  ck_assert_uint_eq (copy_origin.logical, 99);
  ck_assert (copy_origin.is_indirect);
  ck_assert_uint_eq (copy.changes->len, 2);
  change = &g_array_index (copy.changes, WcStoreChange, 0);
  ck_assert_str_eq (change->key, "servers/i-1");
  ck_assert_uint_eq (change->version.era, 2);
  ck_assert_uint_eq (change->version.revision, 11);
  ck_assert_mem_eq (g_bytes_get_data (change->value, NULL), "\0\xff{", 3);
  ck_assert_ptr_null (g_array_index (copy.changes, WcStoreChange, 1).value);
  g_bytes_unref (packed);
  wc_store_reply_finish (&reply);
  wc_store_reply_finish (&copy);
}
END_TEST

/*
 * Guards against a configuration of many routes that takes seconds over slow links, and against decompression bombs and
 * corrupt data.
 */
START_TEST (long_changes_are_compressed)
{
  const WcViewOrigin origin = { 250, 99, false };
  WcViewOrigin       copy_origin;
  WcStoreReply       reply;
  WcStoreReply       copy;
  GString           *config = g_string_new (NULL);
  GBytes            *packed;
  uint8_t           *broken;
  gsize              size_bytes;

  for (int i = 0; i < 1800; i++)
    g_string_append_printf (config,
                            "{\"name\":\"r-%d\",\"host\":\"198.18.0.%d\",\"prefix\":\"/%d/\",\"kind\":\"safe\"}", i,
                            i % 250, 1000 + i);
  wc_store_reply_init (&reply);
  wc_store_reply_init (&copy);
  reply.version = (WcStoreVersion){ 3, 12 };
  wc_store_reply_add (&reply, "op/config", g_bytes_new (config->str, config->len), (WcStoreVersion){ 3, 11 });
  packed = wc_view_changes_pack (&reply, &origin);
  size_bytes = g_bytes_get_size (packed);
  ck_assert_uint_lt (size_bytes, config->len / 4);
  ck_assert_int_eq (wc_view_changes_unpack (g_bytes_get_data (packed, NULL), size_bytes, &copy, &copy_origin),
                    WC_STATUS_OK);
  ck_assert_uint_eq (copy.version.era, 3);
  ck_assert_uint_eq (copy.version.revision, 12);
  ck_assert_uint_eq (copy_origin.age_ms, 250);
  ck_assert_mem_eq (g_bytes_get_data (g_array_index (copy.changes, WcStoreChange, 0).value, NULL), config->str,
                    config->len);
  wc_store_reply_finish (&copy);
  broken = g_memdup2 (g_bytes_get_data (packed, NULL), size_bytes);
  for (gsize i = 0; i < size_bytes; i += 97)
    {
      broken[i] ^= 0x55;
      wc_store_reply_init (&copy);
      (void)wc_view_changes_unpack (broken, size_bytes, &copy, &copy_origin);
      wc_store_reply_finish (&copy);
    }
  ck_assert_int_ne (wc_view_changes_unpack (broken, size_bytes / 2, &copy, &copy_origin), WC_STATUS_OK);
  g_free (broken);
  g_bytes_unref (packed);
  g_string_free (config, TRUE);
  wc_store_reply_finish (&reply);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, largest_message_round_trips);
  tcase_add_test (tests, query_round_trips);
  tcase_add_test (tests, malformed_messages_are_rejected);
  tcase_add_test (tests, store_changes_round_trip);
  tcase_add_test (tests, long_changes_are_compressed);
}

int
main (void)
{
  return wc_test_run ("gossip", add_tests);
}
