#include <wigeoncart/ledger.h>

#include <glib.h>
#include <stdbool.h>

#include "test_main.h"

enum
{
  SECOND_US = 1000000
};

/* Guards against states without a name. */
START_TEST (test_strings)
{
  for (int state = 0; state < WC_LEDGER_STATE_COUNT; state++)
    ck_assert_ptr_nonnull (WC_LEDGER_STATE_STRINGS[state]);
  ck_assert_str_eq (WC_LEDGER_STATE_STRINGS[WC_LEDGER_NOT_RUN], "not run");
}
END_TEST

/* Guards against inserting the same serial twice, which would run an order twice. */
START_TEST (test_duplicate)
{
  WcLedger      *ledger = wc_ledger_new (8);
  WcLedgerEntry *entry = wc_ledger_insert (ledger, 5, 100);

  ck_assert_ptr_nonnull (entry);
  ck_assert_uint_eq (entry->serial, 5);
  ck_assert_uint_eq (entry->expiry_us, 100);
  ck_assert_int_eq (entry->state, WC_LEDGER_QUEUED);
  entry->state = WC_LEDGER_DONE;
  entry->answer = 9;
  ck_assert_ptr_null (wc_ledger_insert (ledger, 5, 200));
  ck_assert_ptr_eq (wc_ledger_find (ledger, 5), entry);
  ck_assert_int_eq (entry->state, WC_LEDGER_DONE);
  ck_assert_uint_eq (entry->answer, 9);
  ck_assert_uint_eq (wc_ledger_get_count (ledger), 1);
  wc_ledger_delete (ledger);
}
END_TEST

/* Guards against a full ledger evicting an entry to make room, and against stale fields in a reused record. */
START_TEST (test_full)
{
  WcLedger      *ledger = wc_ledger_new (3);
  WcLedgerEntry *entry;

  for (uint64_t serial = 0; serial < 3; serial++)
    {
      entry = wc_ledger_insert (ledger, serial, 100);
      entry->state = WC_LEDGER_DONE;
      entry->answer = 1;
      entry->request = 1;
    }
  ck_assert_ptr_null (wc_ledger_insert (ledger, 3, 100));
  for (uint64_t serial = 0; serial < 3; serial++)
    ck_assert_ptr_nonnull (wc_ledger_find (ledger, serial));
  ck_assert_ptr_null (wc_ledger_find (ledger, 3));
  ck_assert_uint_eq (wc_ledger_expire (ledger, 101), 3);
  entry = wc_ledger_insert (ledger, 3, 200);
  ck_assert_ptr_nonnull (entry);
  ck_assert_uint_eq (entry->answer, 0);
  ck_assert_uint_eq (entry->request, 0);
  ck_assert_int_eq (entry->state, WC_LEDGER_QUEUED);
  wc_ledger_delete (ledger);
}
END_TEST

/* Guards against a crash of a ledger with capacity 0, which rejects all orders. */
START_TEST (test_zero_capacity)
{
  WcLedger *ledger = wc_ledger_new (0);

  ck_assert_ptr_null (wc_ledger_insert (ledger, 1, 1));
  ck_assert_ptr_null (wc_ledger_find (ledger, 1));
  ck_assert_uint_eq (wc_ledger_expire (ledger, UINT64_MAX), 0);
  wc_ledger_delete (ledger);
}
END_TEST

/* Guards against removing the entry of a ticket that is still valid, by one microsecond at its expiry. */
START_TEST (test_expiry_boundary)
{
  WcLedger *ledger = wc_ledger_new (8);

  wc_ledger_insert (ledger, 1, 5 * SECOND_US)->state = WC_LEDGER_NOT_RUN;
  wc_ledger_insert (ledger, 2, 5 * SECOND_US + 1)->state = WC_LEDGER_UNKNOWN;
  ck_assert_uint_eq (wc_ledger_expire (ledger, 0), 0);
  ck_assert_uint_eq (wc_ledger_expire (ledger, 5 * SECOND_US), 0);
  ck_assert_uint_eq (wc_ledger_expire (ledger, 5 * SECOND_US + 1), 1);
  ck_assert_ptr_null (wc_ledger_find (ledger, 1));
  ck_assert_ptr_nonnull (wc_ledger_find (ledger, 2));
  ck_assert_uint_eq (wc_ledger_expire (ledger, 5 * SECOND_US + 2), 1);
  ck_assert_uint_eq (wc_ledger_get_count (ledger), 0);
  wc_ledger_delete (ledger);
}
END_TEST

/* Guards against removing expired entries of orders in progress, and against keeping them after the order has ended. */
START_TEST (test_expiry_in_progress)
{
  WcLedger      *ledger = wc_ledger_new (8);
  WcLedgerEntry *queued = wc_ledger_insert (ledger, 1, 10);
  WcLedgerEntry *dispatched = wc_ledger_insert (ledger, 2, 10);

  dispatched->state = WC_LEDGER_DISPATCHED;
  ck_assert_uint_eq (wc_ledger_expire (ledger, 100 * SECOND_US), 0);
  ck_assert_uint_eq (wc_ledger_expire (ledger, 100 * SECOND_US), 0);
  ck_assert_ptr_eq (wc_ledger_find (ledger, 1), queued);
  ck_assert_ptr_eq (wc_ledger_find (ledger, 2), dispatched);
  ck_assert_ptr_null (wc_ledger_insert (ledger, 2, 10));
  dispatched->state = WC_LEDGER_DONE;
  ck_assert_uint_eq (wc_ledger_expire (ledger, 100 * SECOND_US), 1);
  queued->state = WC_LEDGER_NOT_RUN;
  ck_assert_uint_eq (wc_ledger_expire (ledger, 100 * SECOND_US), 1);
  ck_assert_uint_eq (wc_ledger_get_count (ledger), 0);
  wc_ledger_delete (ledger);
}
END_TEST

/* Guards against entries that are never checked: expiry in the past, more than one turn ahead, or at the maximum. */
START_TEST (test_far_expiry)
{
  WcLedger *ledger = wc_ledger_new (8);
  uint64_t  now_us = 1000 * (uint64_t)SECOND_US;

  wc_ledger_expire (ledger, now_us);
  wc_ledger_insert (ledger, 1, 1)->state = WC_LEDGER_DONE;
  wc_ledger_insert (ledger, 2, now_us + 60 * SECOND_US)->state = WC_LEDGER_DONE;
  wc_ledger_insert (ledger, 3, UINT64_MAX)->state = WC_LEDGER_DONE;
  ck_assert_uint_eq (wc_ledger_expire (ledger, now_us), 1);
  ck_assert_ptr_null (wc_ledger_find (ledger, 1));
  for (uint64_t second = 1; second <= 60; second++)
    ck_assert_uint_eq (wc_ledger_expire (ledger, now_us + second * SECOND_US), 0);
  ck_assert_uint_eq (wc_ledger_expire (ledger, now_us + 60 * SECOND_US + 1), 1);
  /* A time earlier than that of the last call changes nothing. */
  ck_assert_uint_eq (wc_ledger_expire (ledger, now_us), 0);
  ck_assert_uint_eq (wc_ledger_expire (ledger, now_us + 5000 * (uint64_t)SECOND_US), 0);
  ck_assert_ptr_nonnull (wc_ledger_find (ledger, 3));
  wc_ledger_delete (ledger);
}
END_TEST

/* Guards against memory growth beyond the limit given by the capacity. */
START_TEST (test_bytes)
{
  WcLedger *ledger = wc_ledger_new (65536);
  size_t    before = wc_ledger_get_bytes (ledger);

  for (uint64_t serial = 0; serial < 65536; serial++)
    ck_assert_ptr_nonnull (wc_ledger_insert (ledger, serial, serial));
  ck_assert_uint_eq (wc_ledger_get_bytes (ledger), before);
  ck_assert_uint_le (before / 65536, 64);
  wc_ledger_delete (ledger);
}
END_TEST

typedef struct
{
  bool          used;
  uint64_t      expiry_us;
  WcLedgerState state;
} Model;

/* Compares the ledger with a plain table over random operations. */
START_TEST (test_against_model)
{
  enum
  {
    SERIALS = 300,
    MAX = 200,
    STEPS = 30000
  };
  Model     model[SERIALS] = { 0 };
  uint32_t  count = 0;
  uint64_t  now_us = 0;
  GRand    *random = g_rand_new_with_seed ((guint32)_i);
  WcLedger *ledger = wc_ledger_new (MAX);

  for (int step = 0; step < STEPS; step++)
    {
      uint64_t       serial = (uint64_t)g_rand_int_range (random, 0, SERIALS);
      Model         *expected = &model[serial];
      WcLedgerEntry *entry = wc_ledger_find (ledger, serial);

      ck_assert_int_eq (entry != NULL, expected->used);
      switch (g_rand_int_range (random, 0, 3))
        {
        case 0:
          {
            uint64_t expiry_us = now_us + (uint64_t)g_rand_int_range (random, 0, 40 * SECOND_US);
            bool     accepted = wc_ledger_insert (ledger, serial, expiry_us) != NULL;

            ck_assert_int_eq (accepted, !expected->used && count < MAX);
            if (accepted)
              {
                *expected = (Model){ true, expiry_us, WC_LEDGER_QUEUED };
                count++;
              }
            break;
          }
        case 1:
          if (entry)
            {
              ck_assert_int_eq (entry->state, expected->state);
              ck_assert_uint_eq (entry->expiry_us, expected->expiry_us);
              expected->state = entry->state = g_rand_int_range (random, 0, WC_LEDGER_STATE_COUNT);
            }
          break;
        default:
          {
            uint32_t dropped = 0;

            now_us += (uint64_t)g_rand_int_range (random, 0, g_rand_int_range (random, 0, 200) == 0 ? 30000000 : 20000);
            for (int i = 0; i < SERIALS; i++)
              if (model[i].used && model[i].expiry_us < now_us && model[i].state > WC_LEDGER_DISPATCHED)
                {
                  model[i].used = false;
                  dropped++;
                }
            count -= dropped;
            ck_assert_uint_eq (wc_ledger_expire (ledger, now_us), dropped);
          }
        }
      ck_assert_uint_eq (wc_ledger_get_count (ledger), count);
    }
  wc_ledger_delete (ledger);
  g_rand_free (random);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_strings);
  tcase_add_test (tests, test_duplicate);
  tcase_add_test (tests, test_full);
  tcase_add_test (tests, test_zero_capacity);
  tcase_add_test (tests, test_expiry_boundary);
  tcase_add_test (tests, test_expiry_in_progress);
  tcase_add_test (tests, test_far_expiry);
  tcase_add_test (tests, test_bytes);
  tcase_add_loop_test (tests, test_against_model, 1, 5);
}

int
main (void)
{
  return wc_test_run ("ledger", add_tests);
}
