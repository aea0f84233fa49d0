#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "edge/forward_metrics.h"
#include "forward_fixture.h"

static char *
format_metrics (const WcForwardMetrics *metrics, const WcForwarder *forwarder)
{
  const WcViewReaderCounters   reader = { 1, 2, 3, 4, 5, 6, 7 };
  const WcStoreViewCounters    view = { 1, 2, 3 };
  const WcPacketSocketCounters packets = { 4, 5, 6, 7, 8 };
  const WcForwardGauges        gauges = {
           .forwarder = forwarder, .packets = &packets, .reader = &reader, .view = &view, .view_age_us = 1500000
  };

  return wc_forward_metrics_format (metrics, &gauges);
}

/* Guards against histogram buckets that are not cumulative: dashboards show them as negative rates. */
START_TEST (histograms_are_cumulative)
{
  static ForwardFixture fixture;
  WcForwardMetrics      metrics;
  char                 *text;

  fixture_init (&fixture);
  wc_forward_metrics_init (&metrics);
  wc_latency_histogram_add (metrics.answer, 500);
  wc_latency_histogram_add (metrics.answer, 22 * 1000);
  wc_latency_histogram_add (metrics.answer, 30 * 1000 * 1000);
  text = format_metrics (&metrics, fixture.forwarder);
  ck_assert_ptr_nonnull (strstr (text, "wigeoncart_answer_seconds_bucket{le=\"0.001\"} 1\n"));
  ck_assert_ptr_nonnull (strstr (text, "wigeoncart_answer_seconds_bucket{le=\"0.05\"} 2\n"));
  ck_assert_ptr_nonnull (strstr (text, "wigeoncart_answer_seconds_bucket{le=\"10\"} 2\n"));
  ck_assert_ptr_nonnull (strstr (text, "wigeoncart_answer_seconds_bucket{le=\"+Inf\"} 3\n"));
  ck_assert_ptr_nonnull (strstr (text, "wigeoncart_answer_seconds_count 3\n"));
  ck_assert_ptr_nonnull (strstr (text, "wigeoncart_view_age_seconds 1.5\n"));
  g_free (text);
  wc_forward_metrics_finish (&metrics);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against metrics and decisions that are missing from the documentation for operators. */
START_TEST (metrics_and_decisions_are_documented)
{
  static ForwardFixture fixture;
  WcForwardMetrics      metrics;
  char                 *text;
  char                 *page;
  char                 *operations;
  char                **lines;

  fixture_init (&fixture);
  wc_forward_metrics_init (&metrics);
  text = format_metrics (&metrics, fixture.forwarder);
  ck_assert (g_file_get_contents ("docs/metrics.md", &page, NULL, NULL));
  ck_assert (g_file_get_contents ("docs/OPERATIONS.md", &operations, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line; line++)
    if (g_str_has_prefix (*line, "# TYPE "))
      {
        char **words = g_strsplit (*line, " ", -1);
        char  *name = g_strdup_printf ("`%s`", words[2]);

        ck_assert_msg (strstr (page, name) != NULL, "%s", name);
        g_free (name);
        g_strfreev (words);
      }
  for (int kind = 0; kind < WC_DECISION_COUNT; kind++)
    {
      char *name = g_strdup_printf ("`%s`", wc_decision_get_name ((WcDecisionKind)kind));

      ck_assert_msg (strstr (operations, name) != NULL, "%s", name);
      g_free (name);
    }
  g_strfreev (lines);
  g_free (page);
  g_free (operations);
  g_free (text);
  wc_forward_metrics_finish (&metrics);
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, histograms_are_cumulative);
  tcase_add_test (tests, metrics_and_decisions_are_documented);
}

int
main (void)
{
  return wc_test_run ("forward_metrics", add_tests);
}
