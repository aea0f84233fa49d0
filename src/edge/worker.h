#ifndef WC_EDGE_WORKER_H
#define WC_EDGE_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <wigeoncart/counters.h>
#include <wigeoncart/event_ring.h>
#include <wigeoncart/node.h>
#include <wigeoncart/view.h>

#include "edge/settings.h"

/** struct WcWorker - a thread that handles traffic: its UDP sockets, connections to targets, and one WcNode. */
typedef struct WcWorker WcWorker;

/**
 * wc_worker_new() - bind the sockets of worker @index and start its thread.
 * @incarnation: incarnation of this process, not 0.
 *
 * Return: NULL with @error set when an address cannot be bound.
 */
WcWorker *wc_worker_new (const WcSettings *settings, uint64_t incarnation, uint16_t index, WcError *error);

/** wc_worker_delete() - stop the thread, wait for it and free everything. */
void wc_worker_delete (WcWorker *worker);

/** wc_worker_set_view() - publish a new snapshot to the worker, which takes a reference. Control thread only. */
void wc_worker_set_view (WcWorker *worker, WcView *view);

/** wc_worker_is_idle() - whether a draining worker has no work left that a stop would interrupt. */
bool wc_worker_is_idle (const WcWorker *worker);

/* These functions may be called from any thread until the worker is deleted. */
const WcCounters  *wc_worker_get_counters (const WcWorker *worker);
const WcEventRing *wc_worker_get_events (const WcWorker *worker);
void               wc_worker_get_stats (const WcWorker *worker, WcNodeStats *stats);

#endif
