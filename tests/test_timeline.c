#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "core/timeline.h"

#include "test_main.h"

static void
add (WcTimeline *timeline, const char *instance, int worker, uint64_t logical, uint64_t wall_us, WcEventKind kind,
     uint64_t request_id, const char *reason)
{
  WcEvent event = { 0 };

  event.logical = logical;
  event.wall_us = wall_us;
  event.kind = kind;
  event.request_id = request_id;
  event.reason = reason;
  wc_timeline_add (timeline, instance, worker, &event);
}

static void
assert_order (const GPtrArray *entries, const char *const *instances, size_t count)
{
  ck_assert_uint_eq (entries->len, count);
  for (size_t i = 0; i < count; i++)
    ck_assert_str_eq (((WcTimelineEntry *)entries->pdata[i])->instance, instances[i]);
}

/* Guards against an event that is sorted before its cause because the wall clock of its instance is behind. */
START_TEST (causal_order)
{
  static const char *const ORDER[] = { "a", "b", "c", "a" };
  WcTimelineFilter         filter = { .kind = WC_EVENT_COUNT };
  WcTimeline              *timeline = wc_timeline_new ();
  GPtrArray               *all;

  add (timeline, "c", 0, 3, 100, WC_EVENT_DISPATCHED, 7, NULL);
  add (timeline, "a", 0, 4, 5300, WC_EVENT_ANSWERED, 7, NULL);
  add (timeline, "b", 1, 2, 9000, WC_EVENT_RELAYED, 7, NULL);
  add (timeline, "a", 0, 1, 5000, WC_EVENT_FLOW_OPENED, 7, NULL);
  wc_timeline_sort (timeline);
  all = wc_timeline_select (timeline, &filter);
  assert_order (all, ORDER, 4);
  g_ptr_array_unref (all);
  wc_timeline_delete (timeline);
}
END_TEST

/* Guards against an order of concurrent events that depends on the order in which they were added. */
START_TEST (concurrent_events)
{
  static const char *const ORDER[] = { "b", "a", "b", "b" };
  WcTimelineFilter         filter = { .kind = WC_EVENT_COUNT };
  WcTimeline              *timeline = wc_timeline_new ();
  GPtrArray               *all;

  add (timeline, "b", 1, 5, 20, WC_EVENT_QUEUED, 1, NULL);
  add (timeline, "b", 0, 5, 20, WC_EVENT_QUEUED, 1, NULL);
  add (timeline, "a", 0, 5, 20, WC_EVENT_QUEUED, 1, NULL);
  add (timeline, "b", 0, 5, 10, WC_EVENT_QUEUED, 1, NULL);
  wc_timeline_sort (timeline);
  all = wc_timeline_select (timeline, &filter);
  assert_order (all, ORDER, 4);
  ck_assert_int_eq (((WcTimelineEntry *)all->pdata[2])->worker, 0);
  g_ptr_array_unref (all);
  wc_timeline_delete (timeline);
}
END_TEST

/* Guards against duplicates when the events of an instance are added twice. */
START_TEST (repeated_events)
{
  WcTimelineFilter filter = { .kind = WC_EVENT_COUNT };
  WcTimeline      *timeline = wc_timeline_new ();
  GPtrArray       *all;

  wc_timeline_sort (timeline);
  for (int round = 0; round < 3; round++)
    for (uint64_t i = 0; i < 5; i++)
      add (timeline, "a", 0, i + 1, 10 * i, WC_EVENT_QUEUED, i, "reason");
  wc_timeline_sort (timeline);
  all = wc_timeline_select (timeline, &filter);
  ck_assert_uint_eq (all->len, 5);
  g_ptr_array_unref (all);
  wc_timeline_delete (timeline);
}
END_TEST

/* Guards against filters that select other requests, kinds or instances. */
START_TEST (filters)
{
  WcTimelineFilter filter = { .kind = WC_EVENT_COUNT, .request_id = 2 };
  WcTimeline      *timeline = wc_timeline_new ();
  GPtrArray       *selected;

  add (timeline, "a", 0, 1, 0, WC_EVENT_QUEUED, 1, NULL);
  add (timeline, "a", 0, 2, 0, WC_EVENT_QUEUED, 2, NULL);
  add (timeline, "b", 0, 3, 0, WC_EVENT_DISPATCHED, 2, NULL);
  wc_timeline_sort (timeline);
  selected = wc_timeline_select (timeline, &filter);
  ck_assert_uint_eq (selected->len, 2);
  g_ptr_array_unref (selected);
  filter.instance = "b";
  selected = wc_timeline_select (timeline, &filter);
  ck_assert_uint_eq (selected->len, 1);
  g_ptr_array_unref (selected);
  filter.kind = WC_EVENT_QUEUED;
  selected = wc_timeline_select (timeline, &filter);
  ck_assert_uint_eq (selected->len, 0);
  g_ptr_array_unref (selected);
  wc_timeline_delete (timeline);
}
END_TEST

/* Guards against an explanation that lacks the reason of a refusal, or does not say that no outcome was recorded. */
START_TEST (explanation)
{
  WcTimelineFilter filter = { .kind = WC_EVENT_COUNT, .request_id = 9 };
  WcTimeline      *timeline = wc_timeline_new ();
  char            *text;

  add (timeline, "a", 0, 1, 0, WC_EVENT_TARGET_REFUSED, 9, "503");
  wc_timeline_sort (timeline);
  text = wc_timeline_explain (timeline, &filter);
  ck_assert_ptr_nonnull (strstr (text, "503"));
  ck_assert_ptr_nonnull (strstr (text, "No queried instance has recorded an outcome."));
  g_free (text);
  add (timeline, "a", 0, 2, 0, WC_EVENT_REFUSED_NOT_RUN, 9, "the queue is full");
  wc_timeline_sort (timeline);
  text = wc_timeline_explain (timeline, &filter);
  ck_assert_ptr_nonnull (strstr (text, "it did not run, and its ticket is invalid: the queue is full."));
  ck_assert_ptr_null (strstr (text, "No queried instance"));
  g_free (text);
  filter.request_id = 10;
  text = wc_timeline_explain (timeline, &filter);
  ck_assert_ptr_nonnull (strstr (text, "These instances have no event of it"));
  g_free (text);
  wc_timeline_delete (timeline);
}
END_TEST

/* Guards against kinds of events whose names the command line does not accept. */
START_TEST (kinds)
{
  WcEventKind kind;

  for (int i = 0; i < WC_EVENT_COUNT; i++)
    {
      ck_assert (wc_timeline_parse_kind (WC_EVENT_STRINGS[i], &kind));
      ck_assert_int_eq (kind, i);
    }
  ck_assert (wc_timeline_parse_kind ("refused-not-run", &kind));
  ck_assert_int_eq (kind, WC_EVENT_REFUSED_NOT_RUN);
  ck_assert (!wc_timeline_parse_kind ("refused-not", &kind));
  ck_assert (!wc_timeline_parse_kind ("", &kind));
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("timeline");

  tcase_add_test (cases, causal_order);
  tcase_add_test (cases, concurrent_events);
  tcase_add_test (cases, repeated_events);
  tcase_add_test (cases, filters);
  tcase_add_test (cases, explanation);
  tcase_add_test (cases, kinds);
  return wc_test_run_case ("timeline", cases);
}
