#include "forward/second_window.h"

#include <assert.h>

#include <glib.h>

void
wc_second_window_record (WcSecondWindow *window, uint64_t now_us)
{
  uint64_t  interval = now_us / WC_SECOND_WINDOW_BUCKET_US;
  uint64_t  first;
  uint16_t *bucket;

  assert (window != NULL);

  /* Empties the buckets of the intervals that have begun since the latest event. */
  first = interval >= window->interval + WC_SECOND_WINDOW_BUCKETS ? interval - WC_SECOND_WINDOW_BUCKETS + 1
                                                                  : window->interval + 1;
  for (uint64_t i = first; i <= interval; i++)
    window->buckets[i % WC_SECOND_WINDOW_BUCKETS] = 0;
  window->interval = MAX (window->interval, interval);
  bucket = &window->buckets[window->interval % WC_SECOND_WINDOW_BUCKETS];
  if (*bucket < UINT16_MAX)
    ++*bucket;
}

uint32_t
wc_second_window_count (const WcSecondWindow *window, uint64_t now_us)
{
  uint64_t interval = now_us / WC_SECOND_WINDOW_BUCKET_US;
  uint32_t sum = 0;

  assert (window != NULL);

  for (uint64_t i = 0; i < WC_SECOND_WINDOW_BUCKETS && i <= window->interval; i++)
    if (window->interval - i + WC_SECOND_WINDOW_BUCKETS > interval)
      sum += window->buckets[(window->interval - i) % WC_SECOND_WINDOW_BUCKETS];
  return sum;
}
