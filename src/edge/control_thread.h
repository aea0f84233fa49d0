#ifndef WC_EDGE_CONTROL_THREAD_H
#define WC_EDGE_CONTROL_THREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/counters.h>
#include <wigeoncart/event_ring.h>

#include "edge/settings.h"
#include "edge/worker.h"

enum
{
  WC_READY_REASON_BYTES = 120
};

/** struct WcControlThread - the thread that owns all control state and hands snapshots to the workers. */
typedef struct WcControlThread WcControlThread;

/**
 * wc_control_thread_new() - bind the peer address and start the thread.
 * @workers: outlive the thread.
 *
 * Return: NULL with @error set when the address cannot be bound.
 */
WcControlThread *wc_control_thread_new (const WcSettings *settings, uint64_t incarnation, WcWorker *const *workers,
                                        size_t worker_count, WcError *error);

/** wc_control_thread_delete() - stop the thread, wait for it and free everything. */
void wc_control_thread_delete (WcControlThread *thread);

/** wc_control_thread_terminate() - ask for a drain; a second call stops at once. Any thread. */
void wc_control_thread_terminate (WcControlThread *thread);

/** wc_control_thread_is_stopped() - drained, or stopped at once. */
bool wc_control_thread_is_stopped (WcControlThread *thread);

/** wc_control_thread_is_ready() - whether new traffic should be sent here; otherwise @reason says why not. */
bool wc_control_thread_is_ready (WcControlThread *thread, char reason[WC_READY_REASON_BYTES]);

/** wc_control_thread_copy_status() - status as JSON, to be freed with g_free(). */
char *wc_control_thread_copy_status (WcControlThread *thread);

/** wc_control_thread_ref_register() - register in force with a reference of its own, or NULL; from any thread. */
WcRegister *wc_control_thread_ref_register (WcControlThread *thread);

/**
 * wc_control_thread_set_faults() - cut links to domains and the platform (fault injection).
 * @domains: names of the domains; their members are also left out of the snapshots, so that workers drop relays.
 */
void
wc_control_thread_set_faults (WcControlThread *thread, const char *const *domains, size_t count, bool block_platform);

/* Readable from any thread. */
const WcCounters  *wc_control_thread_get_counters (const WcControlThread *thread);
const WcEventRing *wc_control_thread_get_events (const WcControlThread *thread);
size_t             wc_control_thread_get_worker_count (const WcControlThread *thread);
const WcWorker    *wc_control_thread_get_worker (const WcControlThread *thread, size_t index);
const WcSettings  *wc_control_thread_get_settings (const WcControlThread *thread);

#endif
