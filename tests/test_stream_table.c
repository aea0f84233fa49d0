#include <wigeoncart/stream_table.h>

#include <glib.h>
#include <string.h>

#include "test_main.h"

static WcStreamWaiter
make_waiter (uint32_t service, uint64_t request_id, uint64_t cursor, uint64_t deadline_us)
{
  WcStreamWaiter waiter = {
    .service = service, .request_id = request_id, .cursor = cursor, .deadline_us = deadline_us
  };

  wc_address_parse ("127.0.0.1:4000", &waiter.caller);
  return waiter;
}

static WcStatus
add (WcStreamTable *table, uint32_t service, uint64_t request_id, uint64_t cursor, uint64_t deadline_us)
{
  WcStreamWaiter waiter = make_waiter (service, request_id, cursor, deadline_us);

  return wc_stream_table_add (table, &waiter);
}

/* Guards against returning waiters that already have the events, or waiters of another service. */
START_TEST (test_ready)
{
  WcStreamTable *table = wc_stream_table_new (8);
  WcStreamWaiter waiter;

  add (table, 1, 10, 5, 100);
  add (table, 1, 11, 3, 100);
  add (table, 1, 12, 7, 100);
  add (table, 2, 13, 0, 100);
  ck_assert (!wc_stream_table_take_ready (table, 1, 3, &waiter));
  ck_assert (wc_stream_table_take_ready (table, 1, 6, &waiter));
  ck_assert_uint_eq (waiter.request_id, 11);
  ck_assert_uint_eq (waiter.cursor, 3);
  ck_assert_uint_eq (waiter.deadline_us, 100);
  ck_assert (wc_stream_table_take_ready (table, 1, 6, &waiter));
  ck_assert_uint_eq (waiter.request_id, 10);
  ck_assert (!wc_stream_table_take_ready (table, 1, 6, &waiter));
  ck_assert (!wc_stream_table_take_ready (table, 3, UINT64_MAX, &waiter));
  ck_assert_uint_eq (wc_stream_table_get_count (table), 2);
  wc_stream_table_delete (table);
}
END_TEST

/* Guards against serving waiters with equal cursors in another order than that of arrival. */
START_TEST (test_equal_cursors)
{
  WcStreamTable *table = wc_stream_table_new (8);
  WcStreamWaiter waiter;

  for (uint64_t request_id = 1; request_id <= 8; request_id++)
    add (table, 1, request_id, 4, 100);
  for (uint64_t request_id = 1; request_id <= 8; request_id++)
    {
      ck_assert (wc_stream_table_take_ready (table, 1, 5, &waiter));
      ck_assert_uint_eq (waiter.request_id, request_id);
    }
  ck_assert (!wc_stream_table_take_ready (table, 1, 5, &waiter));
  wc_stream_table_delete (table);
}
END_TEST

/* Guards against missing deadlines that were not added in order. */
START_TEST (test_expired)
{
  static const uint64_t DEADLINES[] = { 50, 10, 40, 20, 30 };
  WcStreamTable        *table = wc_stream_table_new (8);
  WcStreamWaiter        waiter;

  for (uint32_t i = 0; i < 5; i++)
    add (table, i % 2, i, 0, DEADLINES[i]);
  ck_assert (!wc_stream_table_take_expired (table, 9, &waiter));
  for (uint64_t deadline_us = 10; deadline_us <= 50; deadline_us += 10)
    {
      ck_assert (!wc_stream_table_take_expired (table, deadline_us - 1, &waiter));
      ck_assert (wc_stream_table_take_expired (table, deadline_us, &waiter));
      ck_assert_uint_eq (waiter.deadline_us, deadline_us);
    }
  ck_assert (!wc_stream_table_take_expired (table, UINT64_MAX, &waiter));
  ck_assert_uint_eq (wc_stream_table_get_count (table), 0);
  wc_stream_table_delete (table);
}
END_TEST

/* Guards against exceeding the limit, and against a full table rejecting a repeated poll. */
START_TEST (test_full)
{
  WcStreamTable *table = wc_stream_table_new (2);
  WcStreamWaiter waiter;

  ck_assert_int_eq (add (table, 1, 1, 0, 100), WC_STATUS_OK);
  ck_assert_int_eq (add (table, 1, 2, 0, 100), WC_STATUS_OK);
  ck_assert_int_eq (add (table, 1, 3, 0, 100), WC_STATUS_NO_SPACE);
  ck_assert_int_eq (add (table, 1, 2, 0, 100), WC_STATUS_OK);
  ck_assert_uint_eq (wc_stream_table_get_count (table), 2);
  ck_assert (wc_stream_table_take_ready (table, 1, 1, &waiter));
  ck_assert_int_eq (add (table, 1, 3, 0, 100), WC_STATUS_OK);
  wc_stream_table_delete (table);
  table = wc_stream_table_new (0);
  ck_assert_int_eq (add (table, 1, 1, 0, 100), WC_STATUS_NO_SPACE);
  ck_assert (!wc_stream_table_take_expired (table, UINT64_MAX, &waiter));
  wc_stream_table_delete (table);
}
END_TEST

/* Guards against answering a repeated poll twice; the newer one replaces the older, also for another service. */
START_TEST (test_repeated_poll)
{
  WcStreamTable *table = wc_stream_table_new (8);
  WcStreamWaiter waiter;
  uint64_t       cursor;

  add (table, 1, 1, 5, 100);
  add (table, 2, 1, 9, 50);
  ck_assert_uint_eq (wc_stream_table_get_count (table), 1);
  ck_assert (!wc_stream_table_get_lowest_cursor (table, 1, &cursor));
  ck_assert (wc_stream_table_get_lowest_cursor (table, 2, &cursor));
  ck_assert_uint_eq (cursor, 9);
  ck_assert (wc_stream_table_take_expired (table, 50, &waiter));
  ck_assert_uint_eq (waiter.cursor, 9);
  ck_assert (!wc_stream_table_take_expired (table, 100, &waiter));
  wc_stream_table_delete (table);
}
END_TEST

/* Guards against a waiter being replaced by that of another caller with the same request id. */
START_TEST (test_same_id_of_different_callers)
{
  static const char *const CALLERS[] = { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.2:1", "[::1]:1", "[7f00:1::]:1" };
  WcStreamTable           *table = wc_stream_table_new (8);
  WcStreamWaiter           waiter = make_waiter (1, 1, 0, 100);

  for (int i = 0; i < 5; i++)
    {
      wc_address_parse (CALLERS[i], &waiter.caller);
      ck_assert_int_eq (wc_stream_table_add (table, &waiter), WC_STATUS_OK);
    }
  ck_assert_uint_eq (wc_stream_table_get_count (table), 5);
  /* Only the first four bytes of an IPv4 address are compared. */
  wc_address_parse (CALLERS[0], &waiter.caller);
  waiter.caller.ip[9] = 1;
  ck_assert_int_eq (wc_stream_table_add (table, &waiter), WC_STATUS_OK);
  ck_assert_uint_eq (wc_stream_table_get_count (table), 5);
  wc_stream_table_delete (table);
}
END_TEST

/* Guards against reading an event feed after too high a cursor, or without waiters. */
START_TEST (test_lowest_cursor)
{
  WcStreamTable *table = wc_stream_table_new (8);
  WcStreamWaiter waiter;
  uint64_t       cursor = 77;

  ck_assert (!wc_stream_table_get_lowest_cursor (table, 1, &cursor));
  add (table, 1, 1, 9, 10);
  add (table, 1, 2, 4, 20);
  add (table, 0, 3, 1, 30);
  ck_assert (wc_stream_table_get_lowest_cursor (table, 1, &cursor));
  ck_assert_uint_eq (cursor, 4);
  ck_assert (wc_stream_table_take_ready (table, 1, 5, &waiter));
  ck_assert (wc_stream_table_get_lowest_cursor (table, 1, &cursor));
  ck_assert_uint_eq (cursor, 9);
  ck_assert (wc_stream_table_take_expired (table, 10, &waiter));
  ck_assert (!wc_stream_table_get_lowest_cursor (table, 1, &cursor));
  ck_assert (wc_stream_table_get_lowest_cursor (table, 0, &cursor));
  ck_assert_uint_eq (cursor, 1);
  wc_stream_table_delete (table);
}
END_TEST

enum
{
  MODEL_IDS = 64,
  MODEL_MAX = 40
};

/* Checks that a waiter returned by the table has the lowest cursor or deadline in the model, and removes it there. */
static void
check_taken (WcStreamWaiter model[MODEL_IDS], bool used[MODEL_IDS], bool taken, const WcStreamWaiter *waiter,
             bool by_cursor, uint32_t service, uint64_t limit)
{
  uint64_t lowest = UINT64_MAX;

  for (int i = 0; i < MODEL_IDS; i++)
    if (used[i] && (!by_cursor || model[i].service == service))
      lowest = MIN (lowest, by_cursor ? model[i].cursor : model[i].deadline_us);
  ck_assert_int_eq (taken, by_cursor ? lowest < limit : lowest <= limit);
  if (!taken)
    return;
  ck_assert (used[waiter->request_id]);
  ck_assert_uint_eq (waiter->service, model[waiter->request_id].service);
  ck_assert_uint_eq (waiter->cursor, model[waiter->request_id].cursor);
  ck_assert_uint_eq (waiter->deadline_us, model[waiter->request_id].deadline_us);
  ck_assert_uint_eq (by_cursor ? waiter->cursor : waiter->deadline_us, lowest);
  used[waiter->request_id] = false;
}

/* Compares the table with a plain array over random operations. */
START_TEST (test_against_model)
{
  WcStreamWaiter model[MODEL_IDS];
  bool           used[MODEL_IDS] = { false };
  GRand         *random = g_rand_new_with_seed ((guint32)_i);
  WcStreamTable *table = wc_stream_table_new (MODEL_MAX);

  for (uint64_t step = 0; step < 20000; step++)
    {
      uint32_t       service = (uint32_t)g_rand_int_range (random, 0, 3);
      uint64_t       cursor = step / 4 + (uint64_t)g_rand_int_range (random, 0, 20);
      uint32_t       count = 0;
      WcStreamWaiter waiter;
      bool           taken;

      for (int i = 0; i < MODEL_IDS; i++)
        count += used[i];
      ck_assert_uint_eq (wc_stream_table_get_count (table), count);
      switch (g_rand_int_range (random, 0, 4))
        {
        case 0:
          taken = wc_stream_table_take_ready (table, service, cursor, &waiter);
          check_taken (model, used, taken, &waiter, true, service, cursor);
          break;
        case 1:
          taken = wc_stream_table_take_expired (table, step, &waiter);
          check_taken (model, used, taken, &waiter, false, 0, step);
          break;
        default:
          {
            uint64_t id = (uint64_t)g_rand_int_range (random, 0, MODEL_IDS);

            memset (&waiter, 0, sizeof waiter);
            waiter.service = service;
            waiter.request_id = id;
            waiter.cursor = cursor;
            waiter.deadline_us = step + (uint64_t)g_rand_int_range (random, 0, 200);
            ck_assert_int_eq (wc_stream_table_add (table, &waiter),
                              used[id] || count < MODEL_MAX ? WC_STATUS_OK : WC_STATUS_NO_SPACE);
            if (used[id] || count < MODEL_MAX)
              {
                model[id] = waiter;
                used[id] = true;
              }
          }
        }
    }
  wc_stream_table_delete (table);
  g_rand_free (random);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_ready);
  tcase_add_test (tests, test_equal_cursors);
  tcase_add_test (tests, test_expired);
  tcase_add_test (tests, test_full);
  tcase_add_test (tests, test_repeated_poll);
  tcase_add_test (tests, test_same_id_of_different_callers);
  tcase_add_test (tests, test_lowest_cursor);
  tcase_add_loop_test (tests, test_against_model, 1, 5);
}

int
main (void)
{
  return wc_test_run ("stream_table", add_tests);
}
