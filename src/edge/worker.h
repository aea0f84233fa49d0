#ifndef WC_EDGE_WORKER_H
#define WC_EDGE_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <wigeoncart/counters.h>
#include <wigeoncart/event_ring.h>
#include <wigeoncart/node.h>
#include <wigeoncart/view.h>

#include "edge/settings.h"

/** struct WcWorker - a traffic thread: sockets, connections to targets, and one WcNode. */
typedef struct WcWorker WcWorker;

/**
 * wc_worker_new() - bind the sockets of worker @index and start its thread.
 * @incarnation: of this process, never 0.
 *
 * Return: NULL with @error set when an address cannot be bound.
 */
WcWorker *wc_worker_new (const WcSettings *settings, uint64_t incarnation, uint16_t index, WcError *error);

/** wc_worker_delete() - stop the thread, wait for it and free everything. */
void wc_worker_delete (WcWorker *worker);

/** wc_worker_set_view() - hand over a new snapshot; takes a reference; called by the control thread only. */
void wc_worker_set_view (WcWorker *worker, WcView *view);

/** wc_worker_is_idle() - a draining worker has nothing left that a stop would cut off. */
bool wc_worker_is_idle (const WcWorker *worker);

/* Readable from any thread while the worker lives. */
const WcCounters  *wc_worker_get_counters (const WcWorker *worker);
const WcEventRing *wc_worker_get_events (const WcWorker *worker);
void               wc_worker_get_stats (const WcWorker *worker, WcNodeStats *stats);

#endif
