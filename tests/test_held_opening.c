#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "forward/held_opening.h"

#include "held_opening_fixture.h"

/* Guards against retransmitted openings that are treated as new although their callers have been waiting. */
START_TEST (sent_time_follows_retransmission_count)
{
  ck_assert_uint_eq (opening (&ROUTE, 1, 0).sent_us, NOW_US);
  ck_assert_uint_eq (opening (&ROUTE, 1, 1).sent_us, NOW_US - 200 * MS);
  ck_assert_uint_eq (opening (&ROUTE, 1, 2).sent_us, NOW_US - 600 * MS);
  ck_assert_uint_eq (opening (&ROUTE, 1, 77).sent_us, NOW_US - 600 * MS);
  ck_assert_uint_eq (opening (&ROUTE, 1, 1).target_deadline_us, NOW_US - 50 * MS);
}
END_TEST

/* Guards against openings that count as new although they waited in the socket of a paused process. */
START_TEST (sent_time_includes_wait_in_socket)
{
  const WcPacket packet = { .flags = WC_PACKET_SYN, .acknowledged = 1, .waited_us = 150 * MS };

  ck_assert_uint_eq (wc_opening_get_sent_us (&packet, NOW_US), NOW_US - 350 * MS);
}
END_TEST

/*
 * Guards against openings that are placed although their callers have sent them again or given them up, and against the
 * loss of openings after a pause that is too short for that.
 */
START_TEST (late_openings_are_recognized)
{
  static const struct
  {
    uint32_t retransmissions;
    uint64_t waited_us;
    bool     is_late;
  } cases[] = {
    { 0, 0, false },        { 0, 300 * MS, false }, { 0, 501 * MS, true },
    { 1, 500 * MS, false }, { 1, 501 * MS, true },  { 2, 799 * MS, false },
    { 2, 801 * MS, true },  { 9, 801 * MS, true },  { 0, UINT64_MAX, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const WcPacket packet = { .flags = WC_PACKET_SYN,
                                .acknowledged = cases[i].retransmissions,
                                .waited_us = cases[i].waited_us };

      ck_assert_msg (wc_opening_is_late (&packet) == cases[i].is_late, "case %zu", i);
    }
}
END_TEST

/*
 * Guards against openings that are held beyond the callers' time limit, or, on a route without a time limit, beyond the
 * time after which a caller gives up an opening.
 */
START_TEST (hold_deadline_follows_time_limit)
{
  const WcRoute       short_limit = { .target_latency_ms = 120, .time_limit_ms = 500 };
  const WcRoute       no_limit = { .target_latency_ms = 120 };
  const WcHeldOpening retransmitted = opening (&short_limit, 1, 1);
  const WcHeldOpening first = opening (&no_limit, 2, 0);

  ck_assert (!wc_held_opening_is_expired (&retransmitted, NOW_US + 279 * MS));
  ck_assert (wc_held_opening_is_expired (&retransmitted, NOW_US + 280 * MS));
  ck_assert (!wc_held_opening_is_expired (&first, NOW_US + 1199 * MS));
  ck_assert (wc_held_opening_is_expired (&first, NOW_US + 1200 * MS));
}
END_TEST

/* Guards against absurd or missing fields of a route that make an opening wait without end or never. */
START_TEST (absurd_routes_have_sane_deadlines)
{
  const WcRoute routes[] = {
    { .target_latency_ms = 0, .time_limit_ms = 0 },
    { .target_latency_ms = UINT32_MAX, .time_limit_ms = UINT32_MAX, .priority = UINT8_MAX },
    { .target_latency_ms = 1, .time_limit_ms = 1 },
    { .target_latency_ms = 5000, .time_limit_ms = 10 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    for (uint32_t retransmissions = 0; retransmissions < 4; retransmissions++)
      {
        const WcHeldOpening held = opening (&routes[i], 1, retransmissions);

        ck_assert_uint_le (held.hold_deadline_us, NOW_US + 1200 * MS);
        ck_assert_uint_ge (held.target_deadline_us, held.sent_us);
        ck_assert (wc_held_opening_is_expired (&held, NOW_US + 1200 * MS));
      }
}
END_TEST

/* Guards against openings that count as in time although the shortest answer would be late. */
START_TEST (in_time_includes_the_answer)
{
  WcHeldOpening held = opening (&ROUTE, 1, 0);

  held.answer_us = 50 * MS;
  ck_assert (wc_held_opening_can_be_in_time (&held, NOW_US + 100 * MS));
  ck_assert (!wc_held_opening_can_be_in_time (&held, NOW_US + 100 * MS + 1));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, sent_time_follows_retransmission_count);
  tcase_add_test (tests, sent_time_includes_wait_in_socket);
  tcase_add_test (tests, late_openings_are_recognized);
  tcase_add_test (tests, hold_deadline_follows_time_limit);
  tcase_add_test (tests, absurd_routes_have_sane_deadlines);
  tcase_add_test (tests, in_time_includes_the_answer);
}

int
main (void)
{
  return wc_test_run ("held_opening", add_tests);
}
