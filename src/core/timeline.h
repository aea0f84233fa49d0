#ifndef WC_CORE_TIMELINE_H
#define WC_CORE_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <wigeoncart/event.h>

/**
 * struct WcTimelineEntry - an event, and the instance and thread that recorded it.
 * @worker: index of the worker, or -1 for the control thread.
 * @event: a copy; unlike in event.h, its reason is allocated, and owned by the timeline.
 */
typedef struct
{
  char   *instance;
  int     worker;
  WcEvent event;
} WcTimelineEntry;

/**
 * struct WcTimelineFilter - conditions on the entries to select.
 * @flow, @request_id, @service, @instance: 0 or NULL matches every entry.
 * @kind: WC_EVENT_COUNT matches every entry.
 */
typedef struct
{
  uint64_t    flow;
  uint64_t    request_id;
  uint32_t    service;
  const char *instance;
  WcEventKind kind;
} WcTimelineFilter;

/** struct WcTimeline - merged events of several instances. */
typedef struct WcTimeline WcTimeline;

WcTimeline *wc_timeline_new (void);
void        wc_timeline_delete (WcTimeline *timeline);

/** wc_timeline_add() - add an event; all arguments are copied. */
void wc_timeline_add (WcTimeline *timeline, const char *instance, int worker, const WcEvent *event);

/**
 * wc_timeline_sort() - sort by Lamport timestamp, then wall-clock time, then instance and worker.
 *
 * An event that caused another one has a lower Lamport timestamp and comes first. The order of events without a causal
 * relation is an approximation. Duplicates are removed, so that the events of an instance may be added twice.
 */
void wc_timeline_sort (WcTimeline *timeline);

/** wc_timeline_select() - entries that match @filter, in order. Return: an array to be freed, whose elements belong to
 * @timeline. */
GPtrArray *wc_timeline_select (const WcTimeline *timeline, const WcTimelineFilter *filter);

/** wc_timeline_parse_kind() - kind by its name, with spaces or dashes between the words. Return: false when no kind has
 * the name. */
bool wc_timeline_parse_kind (const char *text, WcEventKind *kind);

/**
 * wc_timeline_explain() - explain why a request or flow was refused, retried or moved, in one line per event.
 * @filter: must have @flow or @request_id set; @kind and @instance are ignored.
 *
 * Return: text to be freed with g_free(); a sentence that says so when no event matches.
 */
char *wc_timeline_explain (const WcTimeline *timeline, const WcTimelineFilter *filter);

#endif
