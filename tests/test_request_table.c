#include "core/request_table.h"

#include "test_main.h"

static WcRequestTable *table;

static void
setup (void)
{
  table = wc_request_table_new (4);
}

static void
teardown (void)
{
  wc_request_table_delete (table);
}

/* Failure: the end of an earlier attempt is taken for the end of the present one. */
START_TEST (test_old_handles_are_not_found)
{
  WcRequest *request = wc_request_table_add (table, 7);
  uint64_t   handle = request->handle;

  wc_request_table_renew (table, request);
  ck_assert_ptr_null (wc_request_table_find (table, handle));
  handle = request->handle;
  ck_assert_ptr_eq (wc_request_table_find (table, handle), request);
  wc_request_table_remove (table, request);
  ck_assert_ptr_null (wc_request_table_find (table, handle));
  request = wc_request_table_add (table, 8);
  ck_assert_uint_ne (request->handle, handle);
  ck_assert_ptr_null (wc_request_table_find (table, 0));
}
END_TEST

/* Failure: two requests with one id corrupted the index, whose key lay in the request that was removed first. */
START_TEST (test_two_requests_may_have_one_id)
{
  WcRequest *first = wc_request_table_add (table, 7);
  WcRequest *second = wc_request_table_add (table, 7);
  WcRequest *third;

  wc_request_table_remove (table, first);
  third = wc_request_table_add (table, 8);
  ck_assert_ptr_eq (wc_request_table_find_id (table, 7), second);
  ck_assert_ptr_eq (wc_request_table_find_id (table, 8), third);
  wc_request_table_remove (table, second);
  ck_assert_ptr_null (wc_request_table_find_id (table, 7));
}
END_TEST

/* Failure: more requests than places overwrite one another. */
START_TEST (test_a_full_table_accepts_nothing)
{
  for (uint64_t id = 1; id <= 4; id++)
    ck_assert_ptr_nonnull (wc_request_table_add (table, id));
  ck_assert_ptr_null (wc_request_table_add (table, 5));
  ck_assert_uint_eq (wc_request_table_get_count (table), 4);
}
END_TEST

/* Failure: a request outlives its deadline, or a removed one is reported as expired. */
START_TEST (test_expired_requests_are_found)
{
  WcRequest *early = wc_request_table_add (table, 1);
  WcRequest *late = wc_request_table_add (table, 2);

  wc_request_table_set_deadline (table, early, 100);
  wc_request_table_set_deadline (table, late, 200);
  ck_assert_ptr_null (wc_request_table_next_expired (table, 99));
  ck_assert_ptr_eq (wc_request_table_next_expired (table, 100), early);
  wc_request_table_remove (table, early);
  ck_assert_ptr_null (wc_request_table_next_expired (table, 199));
  ck_assert_ptr_eq (wc_request_table_next_expired (table, 200), late);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, test_old_handles_are_not_found);
  tcase_add_test (tests, test_two_requests_may_have_one_id);
  tcase_add_test (tests, test_a_full_table_accepts_nothing);
  tcase_add_test (tests, test_expired_requests_are_found);
}

int
main (void)
{
  return wc_test_run ("request_table", add_tests);
}
