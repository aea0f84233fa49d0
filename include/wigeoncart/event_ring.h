#ifndef WIGEONCART_EVENT_RING_H
#define WIGEONCART_EVENT_RING_H

#include <stddef.h>

#include <wigeoncart/event.h>

/**
 * struct WcEventRing - bounded ring of events; the oldest are overwritten.
 *
 * One thread writes, any thread copies; both without a lock. A copy skips entries that are overwritten meanwhile.
 */
typedef struct WcEventRing WcEventRing;

/** wc_event_ring_new() - @capacity is rounded up to a power of two. */
WcEventRing *wc_event_ring_new (uint32_t capacity);
void         wc_event_ring_delete (WcEventRing *ring);

/** wc_event_ring_add() - store a copy of an event; its @logical is one more than the last. Writer thread only. */
void wc_event_ring_add (WcEventRing *ring, const WcEvent *event);

/** wc_event_ring_observe() - raise the logical clock to at least @logical; from any thread. */
void wc_event_ring_observe (WcEventRing *ring, uint64_t logical);

/** wc_event_ring_get_logical() - logical clock now. */
uint64_t wc_event_ring_get_logical (const WcEventRing *ring);

/** wc_event_ring_copy() - copy up to @max of the newest events, oldest first. Return: how many. */
size_t wc_event_ring_copy (const WcEventRing *ring, WcEvent *events, size_t max);

#endif
