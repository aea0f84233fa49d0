#include "test_main.h"

#include <glib.h>

#include "forward/cookie.h"
#include "forward/opening_copies.h"

enum
{
  START_US = 1000 * 1000,
  VISITS_MAX = 8
};

typedef struct
{
  size_t   count;
  uint32_t cookies[VISITS_MAX];
  uint32_t sequence;
} Visits;

static void
visit (void *user_data, const WcPacket *opening, uint32_t cookie)
{
  Visits *visits = user_data;

  ck_assert_uint_lt (visits->count, VISITS_MAX);
  visits->cookies[visits->count++] = cookie;
  visits->sequence = opening->sequence;
}

static WcPacket
opening_of (uint16_t caller, uint32_t sequence)
{
  static const uint8_t bytes[31];

  return (WcPacket){ .key = { 0x64400007, 0xc6120001, caller, 443 },
                     .sequence = sequence,
                     .flags = WC_PACKET_SYN,
                     .size_bytes = sizeof bytes,
                     .bytes = bytes };
}

static void
add (WcOpeningCopies *copies, uint16_t caller, uint32_t sequence, uint32_t cookie, uint64_t now_us)
{
  const WcPacket opening = opening_of (caller, sequence);

  wc_opening_copies_add (copies, &opening, cookie, now_us);
}

static Visits
visit_others (WcOpeningCopies *copies, uint16_t caller, uint32_t chosen)
{
  const WcPacket opening = opening_of (caller, 0);
  Visits         visits = { 0 };

  wc_opening_copies_visit_others (copies, &opening.key, chosen, START_US, visit, &visits);
  return visits;
}

static bool
has (const WcOpeningCopies *copies, uint16_t caller, uint32_t sequence)
{
  const WcPacket packet = opening_of (caller, sequence);

  return wc_opening_copies_has (copies, &packet);
}

/* Guards against a host that keeps the wrong cookie because it was not recorded, or is visited although it was chosen.
 */
START_TEST (others_are_visited)
{
  WcOpeningCopies *copies = wc_opening_copies_new ();
  Visits           visits;

  add (copies, 1, 1000, 11, START_US);
  add (copies, 1, 1000, 12, START_US);
  add (copies, 1, 1000, 11, START_US);
  visits = visit_others (copies, 1, 12);
  ck_assert_uint_eq (visits.count, 1);
  ck_assert_uint_eq (visits.cookies[0], 11);
  ck_assert_uint_eq (visits.sequence, 1000);
  ck_assert_uint_eq (visit_others (copies, 1, 13).count, 2);
  ck_assert (has (copies, 1, 1001));
  wc_opening_copies_delete (copies);
}
END_TEST

/* Guards against memory for each opening of the last seconds: with one host there is nothing to correct later. */
START_TEST (only_host_is_forgotten)
{
  WcOpeningCopies *copies = wc_opening_copies_new ();

  add (copies, 1, 1000, 11, START_US);
  ck_assert (has (copies, 1, 1001));
  ck_assert (!has (copies, 1, 1000));
  ck_assert_uint_eq (visit_others (copies, 1, 11).count, 0);
  ck_assert (!has (copies, 1, 1001));
  wc_opening_copies_delete (copies);
}
END_TEST

/* Guards against the hosts of an earlier flow of the same port. */
START_TEST (next_flow_replaces_opening)
{
  WcOpeningCopies *copies = wc_opening_copies_new ();
  Visits           visits;

  add (copies, 1, 1000, 11, START_US);
  add (copies, 1, 900 * 1000, 12, START_US);
  visits = visit_others (copies, 1, 13);
  ck_assert_uint_eq (visits.count, 1);
  ck_assert_uint_eq (visits.cookies[0], 12);
  wc_opening_copies_delete (copies);
}
END_TEST

/* Guards against unbounded memory under a flood of openings, and against records that outlive their use. */
START_TEST (number_and_time_are_bounded)
{
  WcOpeningCopies *copies = wc_opening_copies_new ();
  size_t           kept = 0;

  for (uint16_t caller = 0; caller < 1000; caller++)
    add (copies, caller, 1000, 11, START_US);
  for (uint16_t caller = 0; caller < 1000; caller++)
    kept += has (copies, caller, 1001);
  ck_assert_uint_eq (kept, 256);
  ck_assert (has (copies, 999, 1001));
  add (copies, 2000, 1000, 11, START_US + 11 * 1000 * 1000);
  ck_assert (!has (copies, 999, 1001));
  ck_assert (has (copies, 2000, 1001));
  wc_opening_copies_remove (copies, &(WcFlowKey){ 0x64400007, 0xc6120001, 2000, 443 });
  ck_assert (!has (copies, 2000, 1001));
  wc_opening_copies_delete (copies);
}
END_TEST

/* Guards against a copy of the opening to a host whose cookie the caller does not have, and against one per packet. */
START_TEST (sender_of_cookie_is_visited)
{
  WcOpeningCopies *copies = wc_opening_copies_new ();
  const WcPacket   opening = opening_of (1, 1000);
  WcPacket         packet = { .key = opening.key, .sequence = 1200, .flags = WC_PACKET_ACK };
  Visits           visits = { 0 };

  for (uint32_t cookie = 11; cookie <= 13; cookie++)
    wc_opening_copies_add (copies, &opening, cookie, START_US);
  packet.cookie = wc_cookie_for_opening (12, &opening);
  wc_opening_copies_visit_sender (copies, &packet, 11, START_US, visit, &visits);
  wc_opening_copies_visit_sender (copies, &packet, 11, START_US + 100 * 1000, visit, &visits);
  ck_assert_uint_eq (visits.count, 1);
  ck_assert_uint_eq (visits.cookies[0], 12);
  packet.cookie = wc_cookie_for_opening (13, &opening);
  wc_opening_copies_visit_sender (copies, &packet, 11, START_US + 200 * 1000, visit, &visits);
  ck_assert_uint_eq (visits.count, 2);
  ck_assert_uint_eq (visits.cookies[1], 13);
  packet.cookie = wc_cookie_for_opening (11, &opening);
  wc_opening_copies_visit_sender (copies, &packet, 11, START_US + 500 * 1000, visit, &visits);
  packet.cookie = 12;
  wc_opening_copies_visit_sender (copies, &packet, 11, START_US + 600 * 1000, visit, &visits);
  ck_assert_uint_eq (visits.count, 2);
  wc_opening_copies_delete (copies);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, others_are_visited);
  tcase_add_test (tests, only_host_is_forgotten);
  tcase_add_test (tests, next_flow_replaces_opening);
  tcase_add_test (tests, number_and_time_are_bounded);
  tcase_add_test (tests, sender_of_cookie_is_visited);
}

int
main (void)
{
  return wc_test_run ("opening_copies", add_tests);
}
