#include "emulator/state_size.h"

#include <stdbool.h>

#include "test_main.h"

/* Guards against sizes without the memory that is allocated while a table fills, or smaller than its contents. */
START_TEST (test_sizes)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  /* The sanitizers' allocators do not maintain mallinfo2() counters; the tables are only created and deleted. */
  const bool counted = false;
#else
  const bool counted = true;
#endif
  WcStateSize size;

  wc_state_size_tickets (1000, &size);
  ck_assert_uint_eq (size.count, 1000);
  ck_assert (!counted || size.full_bytes >= 1000 * sizeof (uint64_t));
  /* The ledger allocates no memory after its creation. */
  ck_assert_uint_eq (size.full_bytes, size.empty_bytes);
  wc_state_size_waiters (1000, &size);
  ck_assert (!counted || size.full_bytes > 1000 * sizeof (uint64_t));
  wc_state_size_requests (1000, &size);
  ck_assert (!counted || size.full_bytes > 1000 * 1200);
  /* After creation, only the hash tables that find a request by its id and by its handle grow. */
  ck_assert_uint_lt (size.full_bytes, size.empty_bytes + 1000 * 100);
  wc_state_size_connections (50, &size);
  ck_assert (!counted || size.full_bytes > 50 * 2048);
  wc_state_size_answers (100, 3000, &size);
  ck_assert (!counted || size.full_bytes > size.empty_bytes + 100 * 3000);
  ck_assert (!counted || size.full_bytes < size.empty_bytes + 100 * 6000);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_sizes);
}

int
main (void)
{
  return wc_test_run ("state_size", add_tests);
}
