#ifndef WC_FORWARD_SECOND_WINDOW_H
#define WC_FORWARD_SECOND_WINDOW_H

#include <stdint.h>

enum
{
  /* 32 complete intervals are longer than a second; the current one is the 33rd. */
  WC_SECOND_WINDOW_BUCKETS = 33,
  WC_SECOND_WINDOW_BUCKET_US = 32 * 1000
};

/**
 * struct WcSecondWindow - events of at least the last second.
 * @buckets: events of the latest intervals of WC_SECOND_WINDOW_BUCKET_US, as a ring.
 * @interval: number of the latest interval with an event, counted from time 0.
 *
 * A limit that is compared with the count before each event holds in any sliding second, because no event is forgotten
 * earlier than 1.024 s after it. The intervals make it up to 6% stricter. Constant size, whatever the rate.
 */
typedef struct
{
  uint16_t buckets[WC_SECOND_WINDOW_BUCKETS];
  uint64_t interval;
} WcSecondWindow;

void wc_second_window_record (WcSecondWindow *window, uint64_t now_us);

/** wc_second_window_count() - number of events in the window, at least those of the last second. */
uint32_t wc_second_window_count (const WcSecondWindow *window, uint64_t now_us);

#endif
