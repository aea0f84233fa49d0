#include "forward/retry_cache.h"

#include <assert.h>
#include <stddef.h>

enum
{
  /* Callers retry within a round trip of 2 to 10 ms; a busy caller opens a flow for another request every 50 ms. */
  RETRY_WINDOW_US = 20 * 1000
};

void
wc_retry_cache_add (WcRetryCache *cache, const WcFlowKey *key, uint64_t sent_us, uint64_t now_us)
{
  assert (cache != NULL && key != NULL);

  cache->entries[cache->next] = (WcRetryEntry){ *key, sent_us, now_us + RETRY_WINDOW_US };
  cache->next = (cache->next + 1) % WC_RETRY_CACHE_SIZE;
}

uint64_t
wc_retry_cache_take (WcRetryCache *cache, const WcFlowKey *key, uint64_t now_us)
{
  assert (cache != NULL && key != NULL);

  for (size_t i = 0; i < WC_RETRY_CACHE_SIZE; i++)
    {
      WcRetryEntry *entry = &cache->entries[i];

      if (now_us >= entry->deadline_us || entry->key.caller_ip != key->caller_ip ||
          entry->key.route_ip != key->route_ip || entry->key.route_port != key->route_port ||
          entry->key.caller_port == key->caller_port)
        continue;
      entry->deadline_us = 0;
      return entry->sent_us;
    }
  return 0;
}
