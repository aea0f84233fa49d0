#ifndef WC_EDGE_METRICS_H
#define WC_EDGE_METRICS_H

#include "edge/control_thread.h"

/** wc_metrics_text() - counters summed over workers and control, in the Prometheus text format; g_free() it. */
char *wc_metrics_text (const WcControlThread *thread);

/**
 * wc_events_json() - newest events of all workers and control as JSON, oldest first; g_free() it.
 * @after: only events with a higher logical clock.
 *
 * Events carry identifiers; the object "names" translates those of services and targets that the register in force has.
 */
char *wc_events_json (WcControlThread *thread, uint64_t after, size_t max);

#endif
