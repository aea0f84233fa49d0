#ifndef WC_CORE_TIMELINE_H
#define WC_CORE_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <wigeoncart/event.h>

/**
 * struct WcTimelineEntry - an event and where it was recorded.
 * @worker: index of the worker, or -1 for the control thread.
 * @event: its @reason belongs to the timeline.
 */
typedef struct
{
  char   *instance;
  int     worker;
  WcEvent event;
} WcTimelineEntry;

/**
 * struct WcTimelineFilter - what to select; zero and NULL select everything.
 * @kind: WC_EVENT_COUNT for every kind.
 */
typedef struct
{
  uint64_t    flow;
  uint64_t    request_id;
  uint32_t    service;
  const char *instance;
  WcEventKind kind;
} WcTimelineFilter;

/** struct WcTimeline - events of several instances, merged. */
typedef struct WcTimeline WcTimeline;

WcTimeline *wc_timeline_new (void);
void        wc_timeline_delete (WcTimeline *timeline);

/** wc_timeline_add() - copies everything. */
void wc_timeline_add (WcTimeline *timeline, const char *instance, int worker, const WcEvent *event);

/**
 * wc_timeline_sort() - order by logical clock, then wall-clock time, then instance and worker.
 *
 * An event that caused another one has a lower logical clock, so it comes first; the order of the others is only
 * plausible. Equal entries are dropped, so that an instance may be asked twice.
 */
void wc_timeline_sort (WcTimeline *timeline);

/** wc_timeline_select() - entries that match, in order; free the array only. */
GPtrArray *wc_timeline_select (const WcTimeline *timeline, const WcTimelineFilter *filter);

/** wc_timeline_parse_kind() - kind by its name, with spaces or dashes; false when there is none. */
bool wc_timeline_parse_kind (const char *text, WcEventKind *kind);

/**
 * wc_timeline_explain() - why a request or flow was refused, retried or moved, in sentences of one line each.
 * @filter: its @flow or @request_id is set.
 *
 * Return: text to be freed with g_free(); says so when nothing is known.
 */
char *wc_timeline_explain (const WcTimeline *timeline, const WcTimelineFilter *filter);

#endif
