#include "test_main.h"

#include <string.h>

#include "forward/opening_queue.h"

/* Guards against an opening whose bytes are overwritten by later packets before it is sent again. */
START_TEST (packets_are_copied)
{
  WcOpeningQueue *queue = wc_opening_queue_new ();
  uint8_t         bytes[31] = { 1, 2, 3 };
  WcPacket        packet = { .size_bytes = sizeof bytes, .bytes = bytes, .sequence = 9 };
  WcPacket        taken;
  bool            superseded;

  wc_opening_queue_add (queue, &packet, 100);
  memset (bytes, 0, sizeof bytes);
  ck_assert_uint_eq (wc_opening_queue_get_deadline_us (queue), 100);
  ck_assert (!wc_opening_queue_take (queue, 99, &taken, &superseded));
  ck_assert (wc_opening_queue_take (queue, 100, &taken, &superseded));
  ck_assert_uint_eq (taken.sequence, 9);
  ck_assert_uint_eq (taken.bytes[2], 3);
  ck_assert_uint_eq (wc_opening_queue_get_deadline_us (queue), UINT64_MAX);
  wc_opening_queue_delete (queue);
}
END_TEST

/* Guards against memory that grows with a flood of openings. */
START_TEST (queue_is_bounded)
{
  WcOpeningQueue *queue = wc_opening_queue_new ();
  uint8_t         bytes[100] = { 0 };
  WcPacket        packet = { .size_bytes = 31, .bytes = bytes };
  WcPacket        taken;
  bool            superseded;
  uint32_t        count = 0;

  for (uint32_t i = 0; i < 10000; i++)
    wc_opening_queue_add (queue, &packet, i);
  while (wc_opening_queue_take (queue, UINT64_MAX - 1, &taken, &superseded))
    count++;
  ck_assert_uint_ge (count, 100);
  ck_assert_uint_le (count, 1000);
  packet.size_bytes = sizeof bytes;
  wc_opening_queue_add (queue, &packet, 1);
  ck_assert (!wc_opening_queue_take (queue, 1, &taken, &superseded));
  wc_opening_queue_delete (queue);
}
END_TEST

/* Guards against a refused opening that is matched with another caller's, or with one to another route. */
START_TEST (new_opening_supersedes_previous)
{
  WcOpeningQueue *queue = wc_opening_queue_new ();
  uint8_t         bytes[31] = { 0 };
  WcPacket        packet = { .size_bytes = sizeof bytes, .bytes = bytes, .key = { 1, 2, 10, 443 } };
  WcFlowKey       key = { 1, 2, 12, 443 };
  WcFlowKey       refused;
  WcPacket        taken;
  bool            superseded;

  wc_opening_queue_add (queue, &packet, 100);
  packet.key.caller_port = 11;
  wc_opening_queue_add (queue, &packet, 100);
  key.route_port = 80;
  ck_assert (!wc_opening_queue_supersede (queue, &key, &refused));
  key.route_port = 443;
  ck_assert (wc_opening_queue_supersede (queue, &key, &refused));
  ck_assert_uint_eq (refused.caller_port, 11);
  ck_assert (wc_opening_queue_take (queue, 100, &taken, &superseded));
  ck_assert (!superseded);
  ck_assert (wc_opening_queue_take (queue, 100, &taken, &superseded));
  ck_assert (superseded);
  wc_opening_queue_delete (queue);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, packets_are_copied);
  tcase_add_test (tests, queue_is_bounded);
  tcase_add_test (tests, new_opening_supersedes_previous);
}

int
main (void)
{
  return wc_test_run ("opening_queue", add_tests);
}
