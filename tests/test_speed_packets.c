#include "emulator/speed_packets.h"

#include <wigeoncart/name_id.h>
#include <wigeoncart/token.h>

#include "core/relay_packet.h"
#include "test_main.h"
#include "wigeoncart.pb-c.h"

static WcKeyring *
make_keyring (uint8_t first)
{
  WcKey key = { .epoch = 1, .secret = { first } };

  return wc_keyring_new (&key, 1);
}

/* Guards against datagrams that an instance would refuse, which would measure the way to a refusal. */
START_TEST (test_requests_are_valid)
{
  WcSpeedPacketsConfig config = { .service = "s", .domain = "d", .flows = 300, .body_bytes = 50 };
  WcKeyring           *keyring = make_keyring (1);
  WcSpeedPackets      *packets = wc_speed_packets_new (&config, keyring);

  ck_assert_uint_eq (wc_speed_packets_get_count (packets), 300);
  for (uint32_t i = 0; i < 300; i++)
    {
      size_t            size;
      const uint8_t    *data = wc_speed_packets_get (packets, i, &size);
      Wc__CallerPacket *message = wc__caller_packet__unpack (NULL, size, data);
      WcToken           token;

      ck_assert_ptr_nonnull (message);
      ck_assert_int_eq (message->kind, WC__CALLER_PACKET__KIND__REQUEST);
      ck_assert_uint_eq (message->request_id, i + 1);
      ck_assert_uint_eq (message->body.len, 50);
      ck_assert_int_eq (wc_token_open (keyring, 0, message->token.data, message->token.len, &token), WC_STATUS_OK);
      ck_assert_uint_eq (token.flow, i + 1);
      ck_assert_uint_eq (token.service, wc_name_id32 ("s"));
      ck_assert_uint_eq (token.domain, wc_name_id32 ("d"));
      ck_assert_uint_eq (wc_speed_packets_find_id (keyring, data, size), i + 1);
      wc__caller_packet__free_unpacked (message, NULL);
    }
  wc_speed_packets_delete (packets);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against a sink that counts forged relays, refusals or anything else as arrivals. */
START_TEST (test_find_id)
{
  WcSpeedPacketsConfig config = { .kind = WC_SPEED_OPEN, .service = "s", .domain = "d", .flows = 1 };
  WcKeyring           *keyring = make_keyring (1);
  WcKeyring           *other = make_keyring (2);
  WcSpeedPackets      *packets = wc_speed_packets_new (&config, keyring);
  Wc__InstancePacket   reply = WC__INSTANCE_PACKET__INIT;
  uint8_t              buffer[WC_RELAY_MAX_BYTES];
  size_t               size;
  WcRelay              relay = { .caller = { .family = 4 }, .hops = 1 };

  relay.packet = wc_speed_packets_get (packets, 0, &relay.packet_bytes);
  size = wc_relay_pack (keyring, &relay, buffer);
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, buffer, size), 1);
  size = wc_relay_pack (other, &relay, buffer);
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, buffer, size), 0);

  reply.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  reply.result = WC__INSTANCE_PACKET__RESULT__DONE;
  reply.http_status = 200;
  reply.request_id = 9;
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, buffer, wc__instance_packet__pack (&reply, buffer)), 9);
  reply.http_status = 503;
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, buffer, wc__instance_packet__pack (&reply, buffer)), 0);
  reply.result = WC__INSTANCE_PACKET__RESULT__BUSY;
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, buffer, wc__instance_packet__pack (&reply, buffer)), 0);
  reply = (Wc__InstancePacket)WC__INSTANCE_PACKET__INIT;
  reply.kind = WC__INSTANCE_PACKET__KIND__OPENED;
  reply.request_id = 10;
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, buffer, wc__instance_packet__pack (&reply, buffer)), 10);
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, (const uint8_t *)"nothing", 7), 0);
  ck_assert_uint_eq (wc_speed_packets_find_id (keyring, NULL, 0), 0);
  wc_speed_packets_delete (packets);
  wc_keyring_unref (keyring);
  wc_keyring_unref (other);
}
END_TEST

/* Guards against a datagram that is longer than the protocol allows, and against tokens without a key. */
START_TEST (test_too_long_or_no_key)
{
  WcSpeedPacketsConfig config = { .service = "s", .domain = "d", .flows = 2, .body_bytes = 1400 };
  WcKeyring           *keyring = make_keyring (1);
  WcKeyring           *empty = wc_keyring_new (NULL, 0);

  ck_assert_ptr_null (wc_speed_packets_new (&config, keyring));
  config.body_bytes = 10;
  ck_assert_ptr_null (wc_speed_packets_new (&config, empty));
  wc_keyring_unref (keyring);
  wc_keyring_unref (empty);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_requests_are_valid);
  tcase_add_test (tests, test_find_id);
  tcase_add_test (tests, test_too_long_or_no_key);
}

int
main (void)
{
  return wc_test_run ("speed_packets", add_tests);
}
