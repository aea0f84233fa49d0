#ifndef WC_EMULATOR_EVENT_FEED_H
#define WC_EMULATOR_EVENT_FEED_H

#include <glib.h>
#include <stdint.h>

/** struct WcEventFeed - numbered events of a service; only the newest ones can be read. */
typedef struct WcEventFeed WcEventFeed;

/**
 * wc_event_feed_new() - create a feed without events.
 * @service: part of the text of each event.
 * @max_events: number of newest events that can be read.
 */
WcEventFeed *wc_event_feed_new (const char *service, uint32_t max_events);
void         wc_event_feed_delete (WcEventFeed *feed);

/** wc_event_feed_add() - add an event; the first one has number 1. */
void     wc_event_feed_add (WcEventFeed *feed);
uint64_t wc_event_feed_get_newest (const WcEventFeed *feed);

/**
 * wc_event_feed_read() - append the events after number @after to @text, one line "<number> <service> ..." each, as
 * long as @text stays within @max_bytes; an empty @text gets at least one. Events that can no longer be read are
 * skipped.
 *
 * Return: number of the last event in @text, or @after when there is none.
 */
uint64_t wc_event_feed_read (const WcEventFeed *feed, uint64_t after, size_t max_bytes, GString *text);

#endif
