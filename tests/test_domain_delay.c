#include "core/domain_delay.h"

#include "test_main.h"

enum
{
  SECOND_US = 1000 * 1000
};

/* Guards against a delay of zero for a domain without a measurement, which would spill every request to it, and against
 * a measurement that changes the delay of another domain. The delay is half of the round-trip time. */
START_TEST (test_default)
{
  WcDomainDelays delays = { 0 };

  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 1), 5000);
  wc_domain_delays_add (&delays, SECOND_US, 2, 8000);
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 1), 5000);
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 2), 4000);
}
END_TEST

/* Guards against a report that was delayed, or was held longer than it states, and increases the estimated delay. */
START_TEST (test_minimum)
{
  WcDomainDelays delays = { 0 };

  wc_domain_delays_add (&delays, SECOND_US, 1, 60000);
  wc_domain_delays_add (&delays, 2 * SECOND_US, 1, 8000);
  wc_domain_delays_add (&delays, 3 * SECOND_US, 1, 90000);
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 1), 4000);
  wc_domain_delays_add (&delays, 4 * SECOND_US, 1, 10);
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 1), 1000);
}
END_TEST

/* Guards against an estimate that never increases after a link has become slower. */
START_TEST (test_window_expiry)
{
  WcDomainDelays delays = { 0 };

  wc_domain_delays_add (&delays, SECOND_US, 1, 8000);
  for (uint64_t second = 2; second < 22; second++)
    wc_domain_delays_add (&delays, second * SECOND_US, 1, 20000);
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 1), 10000);
  wc_domain_delays_add (&delays, 100 * SECOND_US, 1, 30000);
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 1), 15000);
}
END_TEST

/* Guards against writes beyond the table when there are more domains than entries. */
START_TEST (test_max_domains)
{
  WcDomainDelays delays = { 0 };

  for (uint32_t domain = 1; domain < 100; domain++)
    wc_domain_delays_add (&delays, SECOND_US, domain, 8000);
  ck_assert_uint_eq (delays.count, WC_SPILL_MAX_DOMAINS);
  ck_assert_uint_eq (wc_domain_delays_get_us (&delays, 99), 5000);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_default);
  tcase_add_test (tests, test_minimum);
  tcase_add_test (tests, test_window_expiry);
  tcase_add_test (tests, test_max_domains);
}

int
main (void)
{
  return wc_test_run ("domain_delay", add_tests);
}
