#ifndef WIGEONCART_EVENT_RING_H
#define WIGEONCART_EVENT_RING_H

#include <stddef.h>

#include <wigeoncart/event.h>

/**
 * struct WcEventRing - ring buffer of events; a new event overwrites the oldest one when the ring is full.
 *
 * One thread writes and any thread copies, both without a lock. A copy skips entries that are overwritten while it
 * runs.
 */
typedef struct WcEventRing WcEventRing;

/** wc_event_ring_new() - new ring; @capacity, in events, is rounded up to a power of two. */
WcEventRing *wc_event_ring_new (uint32_t capacity);
void         wc_event_ring_delete (WcEventRing *ring);

/** wc_event_ring_add() - advance the Lamport clock by one and store a copy of @event with the new time. To be called by
 * the writer thread only. */
void wc_event_ring_add (WcEventRing *ring, const WcEvent *event);

/** wc_event_ring_observe() - advance the Lamport clock to at least @logical, the time in a received message; from any
 * thread. */
void wc_event_ring_observe (WcEventRing *ring, uint64_t logical);

/** wc_event_ring_get_logical() - current time of the Lamport clock. */
uint64_t wc_event_ring_get_logical (const WcEventRing *ring);

/** wc_event_ring_copy() - copy up to @max of the newest events, oldest first. Return: number of events copied. */
size_t wc_event_ring_copy (const WcEventRing *ring, WcEvent *events, size_t max);

#endif
