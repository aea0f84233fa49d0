#ifndef WC_CLI_LOAD_REPORT_H
#define WC_CLI_LOAD_REPORT_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include <wigeoncart/client.h>

#include "cli/load.h"

/* X (name, key in the JSON report) */
#define WC_LOAD_COUNT_LIST(X)                                                                                          \
  X (SESSIONS, "sessions")                                                                                             \
  X (REQUESTS, "requests")                                                                                             \
  X (REQUESTS_DONE, "requests_done")                                                                                   \
  X (REQUESTS_BUSY, "requests_busy")                                                                                   \
  X (REQUESTS_TIMED_OUT, "requests_timed_out")                                                                         \
  X (REQUESTS_FAILED, "requests_failed")                                                                               \
  X (ORDERS, "orders")                                                                                                 \
  X (ORDERS_DONE, "orders_done")                                                                                       \
  X (ORDERS_FAILED, "orders_failed")                                                                                   \
  X (ORDERS_NOT_RUN, "orders_not_run")                                                                                 \
  X (ORDERS_UNKNOWN, "orders_unknown")                                                                                 \
  X (INCOMPLETE_ANSWERS, "incomplete_answers")                                                                         \
  X (WRONG_ANSWERS, "wrong_answers")                                                                                   \
  X (BROKEN_FLOWS, "broken_flows")                                                                                     \
  X (BROKEN_SESSIONS, "broken_sessions")                                                                               \
  X (BROKEN_STREAMS, "broken_streams")                                                                                 \
  X (DOWNLOADS, "downloads")                                                                                           \
  X (LARGE_ANSWERS, "large_answers")                                                                                   \
  X (LARGE_ANSWERS_FAILED, "large_answers_failed")                                                                     \
  X (STREAMS, "streams")                                                                                               \
  X (STREAM_POLLS, "stream_polls")                                                                                     \
  X (STREAM_EVENTS, "stream_events")                                                                                   \
  X (STREAM_GAPS, "stream_gaps")                                                                                       \
  X (STREAM_REPEATS, "stream_repeats")                                                                                 \
  X (STREAMS_REFUSED, "streams_refused")

typedef enum
{
#define WC_LOAD_COUNT_ENUM(name, key) WC_LOAD_COUNT_##name,
  WC_LOAD_COUNT_LIST (WC_LOAD_COUNT_ENUM)
#undef WC_LOAD_COUNT_ENUM
      WC_LOAD_COUNT_COUNT
} WcLoadCount;

/**
 * struct WcLoadReport - counts and latencies of a load.
 * @latencies_us: by WcLoadKind, latencies of the successful calls (uint32_t).
 * @customers: counts of calls by customer.
 */
typedef struct
{
  uint64_t    counts[WC_LOAD_COUNT_COUNT];
  GArray     *latencies_us[WC_LOAD_KIND_COUNT];
  GHashTable *customers;
} WcLoadReport;

void wc_load_report_init (WcLoadReport *report);
void wc_load_report_finish (WcLoadReport *report);

/**
 * wc_load_report_count() - count a finished call of @customer.
 * @on_time: whether the call was DONE within its deadline, with an HTTP status below 400 and the expected answer.
 * @latency_us: recorded only if @on_time.
 */
void
wc_load_report_count (WcLoadReport *report, WcLoadKind kind, const char *customer, bool on_time, uint64_t latency_us);

/** wc_load_report_print() - print the report as one line of JSON. */
void wc_load_report_print (WcLoadReport *report, FILE *stream, double seconds);

#endif
