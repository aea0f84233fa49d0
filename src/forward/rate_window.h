#ifndef WC_FORWARD_RATE_WINDOW_H
#define WC_FORWARD_RATE_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WC_RATE_WINDOW_BUCKETS = 8,
  WC_RATE_WINDOW_BUCKET_US = 32 * 1000
};

/**
 * struct WcRateWindow - events of the last quarter of a second.
 * @buckets: events of the latest intervals of WC_RATE_WINDOW_BUCKET_US, as a ring.
 * @interval: number of the latest interval with an event, counted from time 0.
 * @since_us: first event after a quarter of a second without any; 0 before the first.
 */
typedef struct
{
  uint32_t buckets[WC_RATE_WINDOW_BUCKETS];
  uint64_t interval;
  uint64_t since_us;
} WcRateWindow;

void wc_rate_window_record (WcRateWindow *window, uint64_t now_us);

/**
 * wc_rate_window_get_per_s() - mean rate over the window, or since @since_us if that is later; the first events are not
 * extrapolated from less than 100 ms.
 */
uint64_t wc_rate_window_get_per_s (const WcRateWindow *window, uint64_t now_us);

#endif
