#include "core/timeline.h"

#include <assert.h>
#include <string.h>

struct WcTimeline
{
  GPtrArray *entries;
};

static void entry_free (gpointer data);
static int  compare_entries (gconstpointer a, gconstpointer b);
static bool matches (const WcTimelineEntry *entry, const WcTimelineFilter *filter);
static void explain_entry (GString *text, const WcTimelineEntry *entry);
static bool has_outcome (WcEventKind kind);
static bool equal_kinds (const char *a, const char *b);

WcTimeline *
wc_timeline_new (void)
{
  WcTimeline *timeline = g_new0 (WcTimeline, 1);

  timeline->entries = g_ptr_array_new_with_free_func (entry_free);
  return timeline;
}

void
wc_timeline_delete (WcTimeline *timeline)
{
  if (!timeline)
    return;
  g_ptr_array_unref (timeline->entries);
  g_free (timeline);
}

void
wc_timeline_add (WcTimeline *timeline, const char *instance, int worker, const WcEvent *event)
{
  WcTimelineEntry *entry;

  assert (timeline != NULL);
  assert (instance != NULL);
  assert (event != NULL);

  entry = g_new0 (WcTimelineEntry, 1);
  entry->instance = g_strdup (instance);
  entry->worker = worker;
  entry->event = *event;
  entry->event.reason = g_strdup (event->reason);
  g_ptr_array_add (timeline->entries, entry);
}

void
wc_timeline_sort (WcTimeline *timeline)
{
  guint kept = 0;

  assert (timeline != NULL);

  g_ptr_array_sort (timeline->entries, compare_entries);
  for (guint i = 1; i < timeline->entries->len; i++)
    {
      if (compare_entries (&timeline->entries->pdata[kept], &timeline->entries->pdata[i]) == 0)
        {
          entry_free (timeline->entries->pdata[i]);
          continue;
        }
      timeline->entries->pdata[++kept] = timeline->entries->pdata[i];
    }
  /* The elements past the end were moved or freed above, so the array must not free them. */
  if (timeline->entries->len > 0)
    {
      g_ptr_array_set_free_func (timeline->entries, NULL);
      g_ptr_array_set_size (timeline->entries, (gint)kept + 1);
      g_ptr_array_set_free_func (timeline->entries, entry_free);
    }
}

GPtrArray *
wc_timeline_select (const WcTimeline *timeline, const WcTimelineFilter *filter)
{
  GPtrArray *selected = g_ptr_array_new ();

  assert (timeline != NULL);
  assert (filter != NULL);

  for (guint i = 0; i < timeline->entries->len; i++)
    if (matches (timeline->entries->pdata[i], filter))
      g_ptr_array_add (selected, timeline->entries->pdata[i]);
  return selected;
}

bool
wc_timeline_parse_kind (const char *text, WcEventKind *kind)
{
  assert (text != NULL);
  assert (kind != NULL);

  for (int i = 0; i < WC_EVENT_COUNT; i++)
    if (equal_kinds (text, WC_EVENT_STRINGS[i]))
      {
        *kind = (WcEventKind)i;
        return true;
      }
  return false;
}

char *
wc_timeline_explain (const WcTimeline *timeline, const WcTimelineFilter *filter)
{
  GString         *text = g_string_new (NULL);
  WcTimelineFilter any_kind = *filter;
  GPtrArray       *entries;
  bool             outcome = false;

  assert (timeline != NULL);
  assert (filter->flow != 0 || filter->request_id != 0);

  any_kind.kind = WC_EVENT_COUNT;
  any_kind.instance = NULL;
  entries = wc_timeline_select (timeline, &any_kind);
  for (guint i = 0; i < entries->len; i++)
    {
      const WcTimelineEntry *entry = entries->pdata[i];

      explain_entry (text, entry);
      outcome = outcome || has_outcome (entry->event.kind);
    }
  if (entries->len == 0)
    g_string_append (text, "These instances have no event of it: it never arrived, or its events were overwritten.\n");
  else if (!outcome && filter->request_id != 0)
    g_string_append (text, "No queried instance has recorded an outcome.\n");
  g_ptr_array_unref (entries);
  return g_string_free (text, FALSE);
}

/* local functions */

static void
entry_free (gpointer data)
{
  WcTimelineEntry *entry = data;

  g_free (entry->instance);
  g_free ((char *)entry->event.reason);
  g_free (entry);
}

static int
compare_entries (gconstpointer a, gconstpointer b)
{
  const WcTimelineEntry *left = *(WcTimelineEntry *const *)a;
  const WcTimelineEntry *right = *(WcTimelineEntry *const *)b;
  int                    order;

  if (left->event.logical != right->event.logical)
    return left->event.logical < right->event.logical ? -1 : 1;
  if (left->event.wall_us != right->event.wall_us)
    return left->event.wall_us < right->event.wall_us ? -1 : 1;
  order = strcmp (left->instance, right->instance);
  return order != 0 ? order : left->worker - right->worker;
}

static bool
matches (const WcTimelineEntry *entry, const WcTimelineFilter *filter)
{
  return (filter->flow == 0 || entry->event.flow == filter->flow) &&
         (filter->request_id == 0 || entry->event.request_id == filter->request_id) &&
         (filter->service == 0 || entry->event.service == filter->service) &&
         (filter->kind == WC_EVENT_COUNT || entry->event.kind == filter->kind) &&
         (!filter->instance || strcmp (entry->instance, filter->instance) == 0);
}

static void
explain_entry (GString *text, const WcTimelineEntry *entry)
{
  const char *action = NULL;

  switch (entry->event.kind)
    {
    case WC_EVENT_FLOW_MOVED:
      action = "moved the flow to a new owner or target";
      break;
    case WC_EVENT_RELAYED:
      action = "relayed the packet to another worker or instance";
      break;
    case WC_EVENT_TARGET_REFUSED:
      action = "was refused by the target; this attempt did not run";
      break;
    case WC_EVENT_RETRIED:
      action = "sent another attempt";
      break;
    case WC_EVENT_ANSWERED:
      action = "answered the request";
      break;
    case WC_EVENT_REFUSED_BUSY:
      action = "refused the request, which may be sent again";
      break;
    case WC_EVENT_REFUSED_NOT_RUN:
      action = "refused the order: it did not run, and its ticket is invalid";
      break;
    case WC_EVENT_OUTCOME_UNKNOWN:
      action = "reported that the outcome of the order is unknown";
      break;
    case WC_EVENT_REJECTED_PACKET:
      action = "dropped or rejected a packet";
      break;
    default:
      return;
    }
  if (entry->worker >= 0)
    g_string_append_printf (text, "%s, worker %d, %s", entry->instance, entry->worker, action);
  else
    g_string_append_printf (text, "%s %s", entry->instance, action);
  if (entry->event.reason)
    g_string_append_printf (text, ": %s", entry->event.reason);
  g_string_append (text, ".\n");
}

static bool
has_outcome (WcEventKind kind)
{
  return kind == WC_EVENT_ANSWERED || kind == WC_EVENT_REFUSED_BUSY || kind == WC_EVENT_REFUSED_NOT_RUN ||
         kind == WC_EVENT_OUTCOME_UNKNOWN;
}

/* @a may have dashes in place of spaces, so that it needs no quotes on a command line. */
static bool
equal_kinds (const char *a, const char *b)
{
  for (; *a != '\0' && *b != '\0'; a++, b++)
    if ((*a == '-' ? ' ' : *a) != *b)
      return false;
  return *a == *b;
}
