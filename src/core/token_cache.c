#include "core/token_cache.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

enum
{
  /* Fits tokens with usual values; longer ones are not cached. */
  CACHED_MAX_BYTES = 104
};

/* An entry is valid if its generation is that of the cache, which is never 0 once a keyring is set. */
typedef struct
{
  uint32_t generation;
  uint32_t sealed_bytes;
  uint8_t  sealed[CACHED_MAX_BYTES];
  WcToken  token;
} Entry;

struct WcTokenCache
{
  const WcKeyring *keyring;
  Entry           *entries;
  uint32_t         mask;
  uint32_t         generation;
};

WcTokenCache *
wc_token_cache_new (uint32_t entries)
{
  WcTokenCache *cache = g_new0 (WcTokenCache, 1);

  assert (entries > 0);
  assert ((entries & (entries - 1)) == 0);

  cache->entries = g_new0 (Entry, entries);
  cache->mask = entries - 1;
  return cache;
}

void
wc_token_cache_delete (WcTokenCache *cache)
{
  if (!cache)
    return;
  g_free (cache->entries);
  g_free (cache);
}

void
wc_token_cache_set_keyring (WcTokenCache *cache, const WcKeyring *keyring)
{
  assert (cache != NULL);

  cache->keyring = keyring;
  cache->generation++;
  /* The generation has wrapped around after 2^32 keyrings: entries of the first ones would become valid again. */
  if (cache->generation == 0)
    {
      memset (cache->entries, 0, ((size_t)cache->mask + 1) * sizeof *cache->entries);
      cache->generation = 1;
    }
}

WcStatus
wc_token_cache_open (WcTokenCache *cache, uint64_t wall_s, const uint8_t *sealed, size_t sealed_bytes, WcToken *token)
{
  Entry   *entry;
  uint32_t slot;
  WcStatus status;

  assert (cache != NULL);
  assert (cache->keyring != NULL);
  assert (token != NULL);

  if (sealed_bytes < WC_SEAL_OVERHEAD_BYTES || sealed_bytes > CACHED_MAX_BYTES)
    return wc_token_open (cache->keyring, wall_s, sealed, sealed_bytes, token);
  /* The sealed token ends with its authentication tag, which serves as the hash. A sender that chooses the tag can only
   * evict entries. */
  memcpy (&slot, sealed + sealed_bytes - sizeof slot, sizeof slot);
  entry = &cache->entries[slot & cache->mask];
  if (entry->generation == cache->generation && entry->sealed_bytes == sealed_bytes &&
      memcmp (entry->sealed, sealed, sealed_bytes) == 0)
    {
      *token = entry->token;
      return wall_s >= token->expiry_wall_s ? WC_STATUS_EXPIRED : WC_STATUS_OK;
    }
  status = wc_token_open (cache->keyring, wall_s, sealed, sealed_bytes, token);
  if (status == WC_STATUS_OK)
    {
      entry->generation = cache->generation;
      entry->sealed_bytes = (uint32_t)sealed_bytes;
      memcpy (entry->sealed, sealed, sealed_bytes);
      entry->token = *token;
    }
  return status;
}
