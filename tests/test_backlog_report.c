#include "core/backlog_report.h"

#include <string.h>

#include "core/relay_packet.h"
#include "test_main.h"

static const WcBacklogReport REPORT = {
  .instance = UINT64_MAX,
  .incarnation = UINT64_MAX,
  .service = UINT32_MAX,
  .shard = UINT32_MAX,
  .sent_us = UINT64_MAX,
  .load = { .backlog_us = INT64_MIN, .step_us = UINT64_MAX },
  .echo_us = UINT64_MAX,
  .echo_held_us = UINT32_MAX,
  .echo_incarnation = UINT32_MAX,
  .active = true,
};

static WcKeyring *keyring;
static uint8_t    memory[8192];

static void
setup (void)
{
  WcKey key = { .epoch = UINT32_MAX };

  memset (key.secret, 1, sizeof key.secret);
  keyring = wc_keyring_new (&key, 1);
}

static void
teardown (void)
{
  wc_keyring_unref (keyring);
}

static WcStatus
open_report (const uint8_t *data, size_t size_bytes, WcBacklogReport *report)
{
  WcArena arena;

  wc_arena_init (&arena, memory, sizeof memory);
  return wc_backlog_report_open (keyring, data, size_bytes, &arena, report);
}

/* Guards against fields that are lost or changed by packing and opening, and a report of maximum length that does not
 * fit. */
START_TEST (test_round_trip)
{
  uint8_t         buffer[WC_BACKLOG_REPORT_MAX_BYTES];
  WcBacklogReport report;
  size_t          size = wc_backlog_report_pack (keyring, &REPORT, buffer);

  ck_assert_uint_gt (size, 0);
  ck_assert_int_eq (open_report (buffer, size, &report), WC_STATUS_OK);
  ck_assert_uint_eq (report.instance, REPORT.instance);
  ck_assert_uint_eq (report.incarnation, REPORT.incarnation);
  ck_assert_uint_eq (report.service, REPORT.service);
  ck_assert_uint_eq (report.shard, REPORT.shard);
  ck_assert_uint_eq (report.sent_us, REPORT.sent_us);
  ck_assert_int_eq (report.load.backlog_us, REPORT.load.backlog_us);
  ck_assert_uint_eq (report.load.step_us, REPORT.load.step_us);
  ck_assert_uint_eq (report.echo_us, REPORT.echo_us);
  ck_assert_uint_eq (report.echo_held_us, REPORT.echo_held_us);
  ck_assert_uint_eq (report.echo_incarnation, REPORT.echo_incarnation);
  ck_assert (report.active);
}
END_TEST

/* Guards against accepting a report that was modified or truncated in transit. */
START_TEST (test_forged)
{
  uint8_t         buffer[WC_BACKLOG_REPORT_MAX_BYTES];
  WcBacklogReport report;
  size_t          size = wc_backlog_report_pack (keyring, &REPORT, buffer);

  for (size_t i = 0; i < size; i++)
    for (unsigned bit = 0; bit < 8; bit++)
      {
        buffer[i] ^= (uint8_t)(1u << bit);
        ck_assert_int_ne (open_report (buffer, size, &report), WC_STATUS_OK);
        buffer[i] ^= (uint8_t)(1u << bit);
      }
  for (size_t i = 0; i < size; i++)
    ck_assert_int_ne (open_report (buffer, i, &report), WC_STATUS_OK);
  ck_assert_int_eq (open_report (buffer, size, &report), WC_STATUS_OK);
}
END_TEST

/* Guards against using one key for reports and relayed datagrams, and against mistaking one for the other. */
START_TEST (test_report_as_relay)
{
  static const uint8_t PACKET[] = { 1 };
  uint8_t              buffer[WC_RELAY_MAX_BYTES];
  WcRelay              relay = { .caller = { .family = 4, .port = 1 }, .hops = 1, .packet = PACKET, .packet_bytes = 1 };
  WcBacklogReport      report;
  WcArena              arena;
  size_t               size;

  ck_assert_mem_ne (wc_keyring_find (keyring, UINT32_MAX, WC_KEY_USE_REPORT),
                    wc_keyring_find (keyring, UINT32_MAX, WC_KEY_USE_RELAY), WC_KEY_BYTES);
  size = wc_relay_pack (keyring, &relay, buffer);
  ck_assert (!wc_backlog_report_matches (buffer, size));
  ck_assert_int_ne (open_report (buffer, size, &report), WC_STATUS_OK);
  size = wc_backlog_report_pack (keyring, &REPORT, buffer);
  ck_assert (wc_backlog_report_matches (buffer, size));
  wc_arena_init (&arena, memory, sizeof memory);
  ck_assert_int_ne (wc_relay_open (keyring, buffer, size, &arena, &relay), WC_STATUS_OK);
  ck_assert (!wc_backlog_report_matches (buffer, 0));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, test_round_trip);
  tcase_add_test (tests, test_forged);
  tcase_add_test (tests, test_report_as_relay);
}

int
main (void)
{
  return wc_test_run ("backlog_report", add_tests);
}
