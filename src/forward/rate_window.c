#include "forward/rate_window.h"

#include <assert.h>

#include <glib.h>

enum
{
  SPAN_MIN_US = 100 * 1000,
  SECOND_US = 1000 * 1000
};

static bool is_over (const WcRateWindow *window, uint64_t interval);
static void advance (WcRateWindow *window, uint64_t interval);

void
wc_rate_window_record (WcRateWindow *window, uint64_t now_us)
{
  uint64_t interval = now_us / WC_RATE_WINDOW_BUCKET_US;

  assert (window != NULL);

  if (window->since_us == 0 || is_over (window, interval))
    *window = (WcRateWindow){ .interval = interval, .since_us = now_us };
  advance (window, interval);
  window->buckets[interval % WC_RATE_WINDOW_BUCKETS]++;
}

uint64_t
wc_rate_window_get_per_s (const WcRateWindow *window, uint64_t now_us)
{
  uint64_t     interval = now_us / WC_RATE_WINDOW_BUCKET_US;
  WcRateWindow current;
  uint64_t     from_us = 0;
  uint64_t     sum = 0;

  assert (window != NULL);

  if (window->since_us == 0 || is_over (window, interval))
    return 0;
  current = *window;
  advance (&current, interval);
  for (int i = 0; i < WC_RATE_WINDOW_BUCKETS; i++)
    sum += current.buckets[i];
  if (interval >= WC_RATE_WINDOW_BUCKETS)
    from_us = (interval - WC_RATE_WINDOW_BUCKETS + 1) * WC_RATE_WINDOW_BUCKET_US;
  from_us = MAX (from_us, window->since_us);
  return sum * SECOND_US / MAX (now_us - from_us, SPAN_MIN_US);
}

/* local functions */

static bool
is_over (const WcRateWindow *window, uint64_t interval)
{
  return interval >= window->interval + WC_RATE_WINDOW_BUCKETS;
}

/* Empties the buckets of the intervals that have begun since the latest event. */
static void
advance (WcRateWindow *window, uint64_t interval)
{
  for (; window->interval < interval; window->interval++)
    window->buckets[(window->interval + 1) % WC_RATE_WINDOW_BUCKETS] = 0;
}
