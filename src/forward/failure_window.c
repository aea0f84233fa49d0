#include "forward/failure_window.h"

#include <assert.h>

#include <glib.h>

static void advance (WcFailureWindow *window, uint64_t now_us);

void
wc_failure_window_record_answered (WcFailureWindow *window, uint64_t now_us)
{
  uint16_t *bucket;

  assert (window != NULL);

  advance (window, now_us);
  bucket = &window->answered[window->interval % WC_FAILURE_WINDOW_BUCKETS];
  *bucket += *bucket < UINT16_MAX;
}

void
wc_failure_window_record_failed (WcFailureWindow *window, uint64_t now_us)
{
  uint16_t *bucket;

  assert (window != NULL);

  advance (window, now_us);
  bucket = &window->failed[window->interval % WC_FAILURE_WINDOW_BUCKETS];
  *bucket += *bucket < UINT16_MAX;
}

WcFailureCounts
wc_failure_window_get (const WcFailureWindow *window, uint64_t now_us)
{
  uint64_t        interval = now_us / WC_FAILURE_WINDOW_BUCKET_US;
  WcFailureCounts counts = { 0 };

  assert (window != NULL);

  /* The ring holds the intervals from @interval back; those that have left the window are skipped. */
  for (uint64_t i = 0; i < WC_FAILURE_WINDOW_BUCKETS && i <= window->interval; i++)
    {
      uint64_t bucket = window->interval - i;

      if (bucket + WC_FAILURE_WINDOW_BUCKETS <= interval)
        break;
      counts.answered += window->answered[bucket % WC_FAILURE_WINDOW_BUCKETS];
      counts.failed += window->failed[bucket % WC_FAILURE_WINDOW_BUCKETS];
    }
  return counts;
}

/* local functions */

/* Empties the buckets of the intervals that have begun since the latest event. */
static void
advance (WcFailureWindow *window, uint64_t now_us)
{
  uint64_t interval = now_us / WC_FAILURE_WINDOW_BUCKET_US;
  uint64_t first = window->interval + 1;

  if (interval >= first + WC_FAILURE_WINDOW_BUCKETS)
    first = interval - WC_FAILURE_WINDOW_BUCKETS + 1;
  for (uint64_t i = first; i <= interval; i++)
    window->answered[i % WC_FAILURE_WINDOW_BUCKETS] = window->failed[i % WC_FAILURE_WINDOW_BUCKETS] = 0;
  window->interval = MAX (window->interval, interval);
}
