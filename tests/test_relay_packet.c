#include "core/relay_packet.h"

#include <string.h>

#include "test_main.h"

static WcKeyring *keyring;
static uint8_t    memory[8192];

static WcKeyring *
make_keyring (uint32_t epoch, uint8_t fill)
{
  WcKey key = { .epoch = epoch };

  memset (key.secret, fill, sizeof key.secret);
  return wc_keyring_new (&key, 1);
}

static void
setup (void)
{
  keyring = make_keyring (1, 1);
}

static void
teardown (void)
{
  wc_keyring_unref (keyring);
}

static size_t
pack (uint8_t family, uint32_t hops, size_t packet_bytes, uint8_t buffer[WC_RELAY_MAX_BYTES])
{
  static uint8_t packet[WC_DATAGRAM_MAX_BYTES + 1];
  WcRelay        relay = { .caller = { .ip = { 1, 2, 3, 4 }, .family = family, .port = 65535 },
                           .hops = hops,
                           .packet = packet,
                           .packet_bytes = packet_bytes };

  memset (packet, 'p', sizeof packet);
  return wc_relay_pack (keyring, &relay, buffer);
}

static WcStatus
open_relay (const WcKeyring *keys, const uint8_t *data, size_t size_bytes, WcRelay *relay)
{
  WcArena arena;

  wc_arena_init (&arena, memory, sizeof memory);
  return wc_relay_open (keys, data, size_bytes, &arena, relay);
}

/* Guards against changing the caller's address or datagram by packing and opening, and a datagram of maximum length
 * that does not fit. */
START_TEST (test_round_trip)
{
  static const uint8_t FAMILIES[] = { 4, 6 };
  uint8_t              buffer[WC_RELAY_MAX_BYTES];
  WcRelay              relay;

  for (size_t i = 0; i < 2; i++)
    {
      size_t size_bytes = pack (FAMILIES[i], 2, WC_DATAGRAM_MAX_BYTES, buffer);

      ck_assert_uint_gt (size_bytes, 0);
      ck_assert_int_eq (open_relay (keyring, buffer, size_bytes, &relay), WC_STATUS_OK);
      ck_assert_uint_eq (relay.caller.family, FAMILIES[i]);
      ck_assert_uint_eq (relay.caller.ip[3], 4);
      ck_assert_uint_eq (relay.caller.port, 65535);
      ck_assert_uint_eq (relay.hops, 2);
      ck_assert_uint_eq (relay.packet_bytes, WC_DATAGRAM_MAX_BYTES);
      ck_assert_uint_eq (relay.packet[WC_DATAGRAM_MAX_BYTES - 1], 'p');
    }
  ck_assert_uint_eq (pack (4, 1, WC_DATAGRAM_MAX_BYTES + 1, buffer), 0);
}
END_TEST

/* Guards against accepting a datagram that was modified in transit or whose MAC was computed with another key. */
START_TEST (test_forged)
{
  uint8_t    buffer[WC_RELAY_MAX_BYTES];
  size_t     size_bytes = pack (4, 1, 40, buffer);
  WcKeyring *other = make_keyring (1, 2);
  WcKeyring *newer = make_keyring (2, 1);
  WcRelay    relay;

  ck_assert_int_eq (open_relay (other, buffer, size_bytes, &relay), WC_STATUS_FORGED);
  ck_assert_int_eq (open_relay (newer, buffer, size_bytes, &relay), WC_STATUS_UNKNOWN_KEY);
  for (size_t bit = 0; bit < 8 * size_bytes; bit++)
    {
      buffer[bit / 8] ^= (uint8_t)(1 << bit % 8);
      ck_assert_int_ne (open_relay (keyring, buffer, size_bytes, &relay), WC_STATUS_OK);
      buffer[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
  wc_keyring_unref (other);
  wc_keyring_unref (newer);
}
END_TEST

/* Guards against relay loops between instances. */
START_TEST (test_hop_limit)
{
  uint8_t buffer[WC_RELAY_MAX_BYTES];
  size_t  size_bytes = pack (4, WC_RELAY_MAX_HOPS + 1, 40, buffer);
  WcRelay relay;

  ck_assert_int_eq (open_relay (keyring, buffer, size_bytes, &relay), WC_STATUS_INVALID);
  size_bytes = pack (4, 0, 40, buffer);
  ck_assert_int_eq (open_relay (keyring, buffer, size_bytes, &relay), WC_STATUS_INVALID);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, test_round_trip);
  tcase_add_test (tests, test_forged);
  tcase_add_test (tests, test_hop_limit);
}

int
main (void)
{
  return wc_test_run ("relay_packet", add_tests);
}
