#include "emulator/experiment_events.h"

#include <assert.h>
#include <glib.h>

struct WcExperimentEvents
{
  GArray  *heap;
  uint64_t sequence;
};

static bool comes_first (const WcExperimentEvent *a, const WcExperimentEvent *b);

WcExperimentEvents *
wc_experiment_events_new (void)
{
  WcExperimentEvents *events = g_new0 (WcExperimentEvents, 1);

  events->heap = g_array_new (FALSE, FALSE, sizeof (WcExperimentEvent));
  return events;
}

void
wc_experiment_events_delete (WcExperimentEvents *events)
{
  if (!events)
    return;
  g_array_unref (events->heap);
  g_free (events);
}

void
wc_experiment_events_add (WcExperimentEvents *events, const WcExperimentEvent *event)
{
  WcExperimentEvent *heap;
  WcExperimentEvent  added;
  guint              position;

  assert (events != NULL);
  assert (event != NULL);

  added = *event;
  added.sequence = events->sequence++;
  g_array_append_val (events->heap, added);
  heap = &g_array_index (events->heap, WcExperimentEvent, 0);
  for (position = events->heap->len - 1; position > 0; position = (position - 1) / 2)
    {
      if (!comes_first (&added, &heap[(position - 1) / 2]))
        break;
      heap[position] = heap[(position - 1) / 2];
    }
  heap[position] = added;
}

bool
wc_experiment_events_pop (WcExperimentEvents *events, WcExperimentEvent *event)
{
  WcExperimentEvent *heap;
  WcExperimentEvent  last;
  guint              length;
  guint              position = 0;

  assert (events != NULL);
  assert (event != NULL);

  if (events->heap->len == 0)
    return false;
  heap = &g_array_index (events->heap, WcExperimentEvent, 0);
  *event = heap[0];
  length = events->heap->len - 1;
  last = heap[length];
  for (;;)
    {
      guint child = 2 * position + 1;

      if (child >= length)
        break;
      if (child + 1 < length && comes_first (&heap[child + 1], &heap[child]))
        child++;
      if (!comes_first (&heap[child], &last))
        break;
      heap[position] = heap[child];
      position = child;
    }
  heap[position] = last;
  g_array_set_size (events->heap, length);
  return true;
}

/* local functions */

static bool
comes_first (const WcExperimentEvent *a, const WcExperimentEvent *b)
{
  if (a->time_us != b->time_us)
    return a->time_us < b->time_us;
  return a->sequence < b->sequence;
}
