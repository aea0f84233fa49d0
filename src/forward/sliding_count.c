#include "forward/sliding_count.h"

#include <assert.h>
#include <stddef.h>

static WcSlidingCount advance (const WcSlidingCount *count, uint64_t interval);

void
wc_sliding_count_record (WcSlidingCount *count, uint64_t span_us, uint64_t now_us)
{
  assert (count != NULL && span_us > 0);

  *count = advance (count, now_us / span_us);
  count->current++;
}

uint64_t
wc_sliding_count_get (const WcSlidingCount *count, uint64_t span_us, uint64_t now_us)
{
  WcSlidingCount now;

  assert (count != NULL && span_us > 0);

  now = advance (count, now_us / span_us);
  return now.current + now.previous * (span_us - now_us % span_us) / span_us;
}

uint64_t
wc_sliding_count_get_previous (const WcSlidingCount *count, uint64_t span_us, uint64_t now_us)
{
  assert (count != NULL && span_us > 0);

  return advance (count, now_us / span_us).previous;
}

/* local functions */

static WcSlidingCount
advance (const WcSlidingCount *count, uint64_t interval)
{
  if (interval <= count->interval)
    return *count;
  return (WcSlidingCount){ .interval = interval, .previous = interval == count->interval + 1 ? count->current : 0 };
}
