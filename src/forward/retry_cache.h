#ifndef WC_FORWARD_RETRY_CACHE_H
#define WC_FORWARD_RETRY_CACHE_H

#include <stdint.h>

#include "forward/packet.h"

/*
 * Load pattern: in an overload, rejected callers retry at once from another port and are indistinguishable from new
 * callers. Treated as new, they take half of the hosts' capacity and are late nevertheless.
 */

enum
{
  /* Covers rejections of 20 ms at 1,000 a second on an instance, with reserve for a burst. */
  WC_RETRY_CACHE_SIZE = 64
};

/**
 * struct WcRetryEntry - a caller that was rejected.
 * @sent_us: first transmission of the rejected opening.
 * @deadline_us: until then the caller's next opening counts as a retry; 0 for an unused entry.
 */
typedef struct
{
  WcFlowKey key;
  uint64_t  sent_us;
  uint64_t  deadline_us;
} WcRetryEntry;

/** struct WcRetryCache - callers that were rejected recently. */
typedef struct
{
  WcRetryEntry entries[WC_RETRY_CACHE_SIZE];
  uint32_t     next;
} WcRetryCache;

/** wc_retry_cache_add() - record that the opening @key, first sent at @sent_us, is rejected. */
void wc_retry_cache_add (WcRetryCache *cache, const WcFlowKey *key, uint64_t sent_us, uint64_t now_us);

/**
 * wc_retry_cache_take() - match a new opening with a rejected one of the same caller, and remove that entry.
 *
 * Return: first transmission of the rejected opening; 0 when there is none.
 */
uint64_t wc_retry_cache_take (WcRetryCache *cache, const WcFlowKey *key, uint64_t now_us);

#endif
