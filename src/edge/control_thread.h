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

/**
 * struct WcControlThread - the thread that owns the control state of an instance.
 *
 * It runs the peer links and the platform client, and passes a new view (WcView) to the workers after each change.
 */
typedef struct WcControlThread WcControlThread;

/**
 * wc_control_thread_new() - bind the peer address and start the thread.
 * @settings, @workers: must outlive the thread.
 *
 * Return: the thread, or NULL with @error set when the address cannot be bound or the thread cannot be created.
 */
WcControlThread *wc_control_thread_new (const WcSettings *settings, uint64_t incarnation, WcWorker *const *workers,
                                        size_t worker_count, WcError *error);

/** wc_control_thread_delete() - stop the thread, wait for it and free everything. */
void wc_control_thread_delete (WcControlThread *thread);

/** wc_control_thread_terminate() - start a drain; a second call stops at once. May be called from any thread. */
void wc_control_thread_terminate (WcControlThread *thread);

/** wc_control_thread_is_stopped() - whether the instance has stopped, after its drain or a second terminate call. */
bool wc_control_thread_is_stopped (WcControlThread *thread);

/** wc_control_thread_is_ready() - whether the instance accepts new traffic; if not, @reason is set to the cause. */
bool wc_control_thread_is_ready (WcControlThread *thread, char reason[WC_READY_REASON_BYTES]);

/** wc_control_thread_copy_status() - status as JSON text; the caller frees it with g_free(). */
char *wc_control_thread_copy_status (WcControlThread *thread);

/** wc_control_thread_ref_register() - new reference to the active register, or NULL; may be called from any thread. */
WcRegister *wc_control_thread_ref_register (WcControlThread *thread);

/**
 * wc_control_thread_set_faults() - block the links to domains and the platform (fault injection).
 * @domains: names of the domains to block; replaces the previous list. The members of the blocked domains are also
 * removed from the views, so that the workers drop relayed packets.
 */
void
wc_control_thread_set_faults (WcControlThread *thread, const char *const *domains, size_t count, bool block_platform);

/* These functions may be called from any thread. */
const WcCounters  *wc_control_thread_get_counters (const WcControlThread *thread);
const WcEventRing *wc_control_thread_get_events (const WcControlThread *thread);
size_t             wc_control_thread_get_worker_count (const WcControlThread *thread);
const WcWorker    *wc_control_thread_get_worker (const WcControlThread *thread, size_t index);
const WcSettings  *wc_control_thread_get_settings (const WcControlThread *thread);

#endif
