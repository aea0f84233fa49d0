#ifndef WC_FORWARD_RETRY_CACHE_H
#define WC_FORWARD_RETRY_CACHE_H

#include <stdint.h>

#include "forward/packet.h"

/*
 * Load pattern: in an overload, callers that are rejected come again at once from another port, and look like callers
 * that have just begun. Taken for these they get half of what the hosts can serve, and are late all the same.
 */

enum
{
  /* Rejections of 20 ms at 1,000 a second on an instance, with room for a burst. */
  WC_RETRY_CACHE_SIZE = 64
};

/**
 * struct WcRetryEntry - a caller that was rejected.
 * @sent_us: when it sent the rejected opening first.
 * @deadline_us: until then the caller's next opening is taken for a retry; 0 for an unused entry.
 */
typedef struct
{
  WcFlowKey key;
  uint64_t  sent_us;
  uint64_t  deadline_us;
} WcRetryEntry;

/** struct WcRetryCache - callers that were rejected lately. */
typedef struct
{
  WcRetryEntry entries[WC_RETRY_CACHE_SIZE];
  uint32_t     next;
} WcRetryCache;

/** wc_retry_cache_add() - the opening @key, sent first at @sent_us, is rejected. */
void wc_retry_cache_add (WcRetryCache *memory, const WcFlowKey *key, uint64_t sent_us, uint64_t now_us);

/**
 * wc_retry_cache_take() - whether a new opening is the retry of a rejected one, which is then forgotten.
 *
 * Return: when the rejected one was sent first; 0 when there is none.
 */
uint64_t wc_retry_cache_take (WcRetryCache *memory, const WcFlowKey *key, uint64_t now_us);

#endif
