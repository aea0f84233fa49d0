#include "emulator/event_feed.h"

#include <assert.h>

struct WcEventFeed
{
  char    *service;
  uint32_t max_events;
  uint64_t newest;
};

WcEventFeed *
wc_event_feed_new (const char *service, uint32_t max_events)
{
  WcEventFeed *feed = g_new0 (WcEventFeed, 1);

  feed->service = g_strdup (service);
  feed->max_events = max_events;
  return feed;
}

void
wc_event_feed_delete (WcEventFeed *feed)
{
  if (!feed)
    return;
  g_free (feed->service);
  g_free (feed);
}

void
wc_event_feed_add (WcEventFeed *feed)
{
  assert (feed != NULL);

  feed->newest++;
}

uint64_t
wc_event_feed_get_newest (const WcEventFeed *feed)
{
  assert (feed != NULL);

  return feed->newest;
}

uint64_t
wc_event_feed_read (const WcEventFeed *feed, uint64_t after, size_t max_bytes, GString *text)
{
  uint64_t event;

  assert (feed != NULL);
  assert (text != NULL);

  if (after >= feed->newest)
    return after;
  event = feed->newest - after > feed->max_events ? feed->newest - feed->max_events : after;
  while (event < feed->newest)
    {
      char *line = g_strdup_printf ("%" G_GUINT64_FORMAT " %s stock update\n", event + 1, feed->service);

      if (text->len > 0 && text->len + strlen (line) > max_bytes)
        {
          g_free (line);
          break;
        }
      g_string_append (text, line);
      g_free (line);
      event++;
    }
  return event;
}
