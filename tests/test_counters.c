#include <wigeoncart/counters.h>

#include <ctype.h>
#include <string.h>

#include <glib.h>

#include "test_main.h"

/* Guards against names that are invalid in the Prometheus text format, and against counters without a help text. */
START_TEST (test_metric_names)
{
  const char *name = wc_counters_get_name (_i);

  ck_assert_ptr_nonnull (name);
  ck_assert_uint_gt (strlen (wc_counters_get_help (_i)), 0);
  for (size_t i = 0; name[i] != '\0'; i++)
    ck_assert (islower ((unsigned char)name[i]) || name[i] == '_');
  ck_assert_uint_gt (strlen (name), strlen ("_total"));
  ck_assert_str_eq (name + strlen (name) - strlen ("_total"), "_total");
}
END_TEST

/* Guards against two counters with the same name. */
START_TEST (test_unique_names)
{
  for (int other = 0; other < _i; other++)
    ck_assert_str_ne (wc_counters_get_name (_i), wc_counters_get_name (other));
}
END_TEST

/* Guards against tables of names and help texts that are not in the order of the enumeration. */
START_TEST (test_table_order)
{
  ck_assert_str_eq (wc_counters_get_name (WC_COUNTER_PACKETS_RECEIVED), "packets_received_total");
  ck_assert_str_eq (wc_counters_get_name (WC_COUNTER_EVENTS_RECORDED), "events_recorded_total");
  ck_assert_str_eq (wc_counters_get_help (WC_COUNTER_OUTCOME_UNKNOWN), "Orders with unknown outcome.");
}
END_TEST

/* Guards against an increment that changes the value of another counter. */
START_TEST (test_add)
{
  static WcCounters counters;

  wc_counters_add (&counters, _i, 2);
  wc_counters_add (&counters, _i, 3);
  for (int counter = 0; counter < WC_COUNTER_COUNT; counter++)
    ck_assert_uint_eq (wc_counters_get (&counters, counter), counter == _i ? 5 : 0);
}
END_TEST

/* Guards against counters that are missing from the documentation. */
START_TEST (test_documented)
{
  char *page;
  char *name = g_strdup_printf ("`wigeoncart_%s`", wc_counters_get_name (_i));

  ck_assert (g_file_get_contents ("docs/metrics.md", &page, NULL, NULL));
  ck_assert_msg (strstr (page, name) != NULL, "docs/metrics.md lacks %s", name);
  g_free (name);
  g_free (page);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, test_metric_names, 0, WC_COUNTER_COUNT);
  tcase_add_loop_test (tests, test_documented, 0, WC_COUNTER_COUNT);
  tcase_add_loop_test (tests, test_unique_names, 0, WC_COUNTER_COUNT);
  tcase_add_test (tests, test_table_order);
  tcase_add_loop_test (tests, test_add, 0, WC_COUNTER_COUNT);
}

int
main (void)
{
  return wc_test_run ("counters", add_tests);
}
