#include "forward/retry_cache.h"

#include <assert.h>
#include <stddef.h>

enum
{
  /* Callers come again within a round trip of 2 to 10 ms; a busy caller opens a flow for something else each 50 ms. */
  RETRY_US = 20 * 1000
};

void
wc_retry_cache_add (WcRetryCache *memory, const WcFlowKey *key, uint64_t sent_us, uint64_t now_us)
{
  assert (memory != NULL && key != NULL);

  memory->entries[memory->next] = (WcRetryEntry){ *key, sent_us, now_us + RETRY_US };
  memory->next = (memory->next + 1) % WC_RETRY_CACHE_SIZE;
}

uint64_t
wc_retry_cache_take (WcRetryCache *memory, const WcFlowKey *key, uint64_t now_us)
{
  assert (memory != NULL && key != NULL);

  for (size_t i = 0; i < WC_RETRY_CACHE_SIZE; i++)
    {
      WcRetryEntry *entry = &memory->entries[i];

      if (now_us >= entry->deadline_us || entry->key.caller_ip != key->caller_ip ||
          entry->key.route_ip != key->route_ip || entry->key.route_port != key->route_port ||
          entry->key.caller_port == key->caller_port)
        continue;
      entry->deadline_us = 0;
      return entry->sent_us;
    }
  return 0;
}
