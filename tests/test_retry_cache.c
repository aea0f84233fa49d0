#include "test_main.h"

#include "forward/retry_cache.h"

enum
{
  MS = 1000
};

/* Guards against retries that are served before new callers. */
START_TEST (next_opening_of_rejected_caller_is_a_retry)
{
  WcRetryCache    cache = { 0 };
  const WcFlowKey rejected = { 1, 2, 100, 443 };
  const WcFlowKey retry = { 1, 2, 101, 443 };

  wc_retry_cache_add (&cache, &rejected, 300 * MS, 1000 * MS);
  ck_assert_uint_eq (wc_retry_cache_take (&cache, &rejected, 1002 * MS), 0);
  ck_assert_uint_eq (wc_retry_cache_take (&cache, &retry, 1002 * MS), 300 * MS);
  ck_assert_uint_eq (wc_retry_cache_take (&cache, &retry, 1003 * MS), 0);
}
END_TEST

/* Guards against new callers that count as late because of a rejection of another caller, route or time. */
START_TEST (other_openings_are_not_retries)
{
  WcRetryCache    cache = { 0 };
  const WcFlowKey rejected = { 1, 2, 100, 443 };
  const WcFlowKey others[] = { { 9, 2, 101, 443 }, { 1, 9, 101, 443 }, { 1, 2, 101, 80 } };
  const WcFlowKey later = { 1, 2, 101, 443 };

  wc_retry_cache_add (&cache, &rejected, 300 * MS, 1000 * MS);
  for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
    ck_assert_uint_eq (wc_retry_cache_take (&cache, &others[i], 1002 * MS), 0);
  ck_assert_uint_eq (wc_retry_cache_take (&cache, &later, 1020 * MS), 0);
}
END_TEST

/* Guards against a cache that grows with the number of rejections; the latest ones are kept. */
START_TEST (cache_is_bounded)
{
  WcRetryCache cache = { 0 };
  uint32_t     taken = 0;

  for (uint32_t caller = 1; caller <= 1000; caller++)
    wc_retry_cache_add (&cache, &(const WcFlowKey){ caller, 2, 100, 443 }, caller, 1000 * MS);
  for (uint32_t caller = 1; caller <= 1000; caller++)
    taken += wc_retry_cache_take (&cache, &(const WcFlowKey){ caller, 2, 101, 443 }, 1001 * MS) > 0;
  ck_assert_uint_eq (taken, WC_RETRY_CACHE_SIZE);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, next_opening_of_rejected_caller_is_a_retry);
  tcase_add_test (tests, other_openings_are_not_retries);
  tcase_add_test (tests, cache_is_bounded);
}

int
main (void)
{
  return wc_test_run ("retry_cache", add_tests);
}
