#ifndef WC_FORWARD_FAILURE_WINDOW_H
#define WC_FORWARD_FAILURE_WINDOW_H

#include <stdint.h>

enum
{
  /* The counts cover the last 1.75 to 2 s. With 4 s, answers from before a fault hid it for 3.5 s. */
  WC_FAILURE_WINDOW_BUCKETS = 8,
  WC_FAILURE_WINDOW_BUCKET_US = 250 * 1000
};

/** struct WcFailureCounts - requests of the sliding window. */
typedef struct
{
  uint32_t answered;
  uint32_t failed;
} WcFailureCounts;

/**
 * struct WcFailureWindow - requests of this instance at one host. All zero at the start.
 * @answered, @failed: requests by interval, as a ring.
 * @interval: number of the latest interval with an event, counted from time 0.
 */
typedef struct
{
  uint16_t answered[WC_FAILURE_WINDOW_BUCKETS];
  uint16_t failed[WC_FAILURE_WINDOW_BUCKETS];
  uint64_t interval;
} WcFailureWindow;

void wc_failure_window_record_answered (WcFailureWindow *window, uint64_t now_us);
void wc_failure_window_record_failed (WcFailureWindow *window, uint64_t now_us);

/** wc_failure_window_get() - the counts at @now_us. */
WcFailureCounts wc_failure_window_get (const WcFailureWindow *window, uint64_t now_us);

#endif
