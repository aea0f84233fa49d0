#ifndef WC_EDGE_LATENCY_HISTOGRAM_H
#define WC_EDGE_LATENCY_HISTOGRAM_H

#include <stdint.h>

#include <glib.h>

/** struct WcLatencyHistogram - histogram of durations with fixed buckets from 1 ms to 10 s. */
typedef struct WcLatencyHistogram WcLatencyHistogram;

WcLatencyHistogram *wc_latency_histogram_new (void);
void                wc_latency_histogram_delete (WcLatencyHistogram *histogram);

/** wc_latency_histogram_add() - record a duration in microseconds. */
void wc_latency_histogram_add (WcLatencyHistogram *histogram, uint64_t duration_us);

/** wc_latency_histogram_print() - append the histogram to @text in the Prometheus text format, in seconds. */
void
wc_latency_histogram_print (const WcLatencyHistogram *histogram, const char *name, const char *help, GString *text);

#endif
