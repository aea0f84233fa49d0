#include "edge/latency_histogram.h"

#include <assert.h>
#include <math.h>

#include <gsl/gsl_histogram.h>

/* Bucket bounds: steps of a factor of about 2, with the target latencies of current requests between the bounds. */
static const double BUCKET_BOUNDS_S[] = { 0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                          0.2, 0.5,   1.0,   2.0,   5.0,  10.0, 1e9 };

enum
{
  BUCKET_COUNT = sizeof BUCKET_BOUNDS_S / sizeof BUCKET_BOUNDS_S[0] - 1
};

struct WcLatencyHistogram
{
  gsl_histogram *counts;
  double         sum_s;
};

WcLatencyHistogram *
wc_latency_histogram_new (void)
{
  WcLatencyHistogram *histogram = g_new0 (WcLatencyHistogram, 1);

  histogram->counts = gsl_histogram_alloc (BUCKET_COUNT);
  gsl_histogram_set_ranges (histogram->counts, BUCKET_BOUNDS_S, BUCKET_COUNT + 1);
  return histogram;
}

void
wc_latency_histogram_delete (WcLatencyHistogram *histogram)
{
  if (!histogram)
    return;
  gsl_histogram_free (histogram->counts);
  g_free (histogram);
}

void
wc_latency_histogram_add (WcLatencyHistogram *histogram, uint64_t duration_us)
{
  double duration_s = (double)duration_us / 1e6;

  assert (histogram != NULL);

  gsl_histogram_increment (histogram->counts, duration_s);
  histogram->sum_s += duration_s;
}

void
wc_latency_histogram_print (const WcLatencyHistogram *histogram, const char *name, const char *help, GString *text)
{
  double total = 0;

  g_string_append_printf (text, "# HELP wigeoncart_%s %s\n# TYPE wigeoncart_%s histogram\n", name, help, name);
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    {
      total += gsl_histogram_get (histogram->counts, i);
      if (i + 1 < BUCKET_COUNT)
        g_string_append_printf (text, "wigeoncart_%s_bucket{le=\"%g\"} %.0f\n", name, BUCKET_BOUNDS_S[i + 1], total);
    }
  g_string_append_printf (text,
                          "wigeoncart_%s_bucket{le=\"+Inf\"} %.0f\nwigeoncart_%s_sum %.6f\nwigeoncart_%s_count %.0f\n",
                          name, total, name, histogram->sum_s, name, total);
}
