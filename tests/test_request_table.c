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

/* Guards against taking the end of an earlier attempt for the end of the current one. */
START_TEST (test_stale_handles)
{
  WcRequest *request = wc_request_table_add (table, 7);
  uint64_t   handle = request->handle;

  wc_request_table_renew_handle (table, request);
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

/* Guards against a corrupt index when two requests have the same id: the key is stored in the request that is removed
 * first. */
START_TEST (test_duplicate_request_id)
{
  WcRequest *first = wc_request_table_add (table, 7);
  WcRequest *second = wc_request_table_add (table, 7);
  WcRequest *third;

  wc_request_table_remove (table, first);
  third = wc_request_table_add (table, 8);
  ck_assert_ptr_eq (wc_request_table_find_by_id (table, 7), second);
  ck_assert_ptr_eq (wc_request_table_find_by_id (table, 8), third);
  wc_request_table_remove (table, second);
  ck_assert_ptr_null (wc_request_table_find_by_id (table, 7));
}
END_TEST

/* Guards against a full table overwriting requests. */
START_TEST (test_full_table)
{
  for (uint64_t id = 1; id <= 4; id++)
    ck_assert_ptr_nonnull (wc_request_table_add (table, id));
  ck_assert_ptr_null (wc_request_table_add (table, 5));
  ck_assert_uint_eq (wc_request_table_get_count (table), 4);
}
END_TEST

/* Guards against missing an expired request, and against returning a removed one. */
START_TEST (test_expired_requests)
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

static WcRequest *
add_with_deadline (WcRequestTable *big_table, uint64_t id, uint64_t deadline_us)
{
  WcRequest *request = wc_request_table_add (big_table, id);

  ck_assert_ptr_nonnull (request);
  wc_request_table_set_deadline (big_table, request, deadline_us);
  return request;
}

/* Compares the search for expired requests with a plain array, over random additions, removals and deadline changes. */
START_TEST (test_expiry_against_model)
{
  enum
  {
    ENTRIES = 32
  };
  WcRequestTable *big_table = wc_request_table_new (ENTRIES);
  WcRequest      *requests[ENTRIES] = { 0 };
  uint64_t        state = 1;
  uint64_t        next_id = 1;

  for (uint64_t now = 0; now < 20000; now++)
    {
      unsigned   index;
      uint64_t   deadline;
      WcRequest *found;

      state = state * 6364136223846793005u + 1442695040888963407u;
      index = (unsigned)(state >> 33) % ENTRIES;
      deadline = now + (state >> 40) % 200;
      if (!requests[index])
        requests[index] = add_with_deadline (big_table, next_id++, deadline);
      else if (state >> 63)
        wc_request_table_set_deadline (big_table, requests[index], deadline);
      else
        {
          wc_request_table_remove (big_table, requests[index]);
          requests[index] = NULL;
        }
      while ((found = wc_request_table_next_expired (big_table, now)) != NULL)
        {
          ck_assert_uint_le (found->deadline_us, now);
          for (index = 0; requests[index] != found; index++)
            ck_assert_uint_lt (index, ENTRIES - 1);
          wc_request_table_remove (big_table, found);
          requests[index] = NULL;
        }
      for (index = 0; index < ENTRIES; index++)
        ck_assert (!requests[index] || requests[index]->deadline_us > now);
    }
  wc_request_table_delete (big_table);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_expiry_against_model);
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, test_stale_handles);
  tcase_add_test (tests, test_duplicate_request_id);
  tcase_add_test (tests, test_full_table);
  tcase_add_test (tests, test_expired_requests);
}

int
main (void)
{
  return wc_test_run ("request_table", add_tests);
}
