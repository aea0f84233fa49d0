#ifndef WC_EDGE_METRICS_H
#define WC_EDGE_METRICS_H

#include "edge/control_thread.h"

/**
 * wc_metrics_text() - metrics in the Prometheus text format; the caller frees them with g_free().
 *
 * Counters are summed over the workers and the control thread; gauges over the workers.
 */
char *wc_metrics_text (const WcControlThread *thread);

/**
 * wc_events_json() - newest events of the workers and the control thread as JSON, oldest first; freed with g_free().
 * @after: only events with a logical clock above this value are included.
 * @max: number of events at most.
 *
 * Events carry identifiers; the object "names" maps those of services and targets to their names in the active
 * register.
 */
char *wc_events_json (WcControlThread *thread, uint64_t after, size_t max);

#endif
