#ifndef WC_FORWARD_SLIDING_COUNT_H
#define WC_FORWARD_SLIDING_COUNT_H

#include <stdint.h>

/**
 * struct WcSlidingCount - events of the latest span of time, for rates that are too low for a WcRateWindow. The span is
 * an argument of each call and must not change.
 * @interval: number of the span of the latest event, counted from time 0.
 * @current, @previous: events of that span and of the one before it.
 */
typedef struct
{
  uint64_t interval;
  uint32_t current;
  uint32_t previous;
} WcSlidingCount;

void wc_sliding_count_record (WcSlidingCount *count, uint64_t span_us, uint64_t now_us);

/** wc_sliding_count_get() - events of the last @span_us; those of the previous span count as evenly distributed. */
uint64_t wc_sliding_count_get (const WcSlidingCount *count, uint64_t span_us, uint64_t now_us);

/** wc_sliding_count_get_previous() - events of the last complete span. */
uint64_t wc_sliding_count_get_previous (const WcSlidingCount *count, uint64_t span_us, uint64_t now_us);

#endif
