#ifndef WIGEONCART_CORE_TOKEN_CACHE_H
#define WIGEONCART_CORE_TOKEN_CACHE_H

#include <wigeoncart/token.h>

/**
 * struct WcTokenCache - cache of the tokens that one worker has verified, in bounded memory.
 *
 * The cache holds no state of flows: entries depend only on the sealed bytes and the keys, and may be evicted any time.
 */
typedef struct WcTokenCache WcTokenCache;

/** wc_token_cache_new() - @entries: a power of two. Unused entries occupy only untouched virtual memory. */
WcTokenCache *wc_token_cache_new (uint32_t entries);
void          wc_token_cache_delete (WcTokenCache *cache);

/** wc_token_cache_set_keyring() - invalidate all entries and use new keys; @keyring must stay valid until the next
 * call.
 */
void wc_token_cache_set_keyring (WcTokenCache *cache, const WcKeyring *keyring);

/**
 * wc_token_cache_open() - same result as wc_token_open() with the current keyring.
 *
 * All bytes of the sealed token are compared and the expiry is checked on each call.
 */
WcStatus
wc_token_cache_open (WcTokenCache *cache, uint64_t wall_s, const uint8_t *sealed, size_t sealed_bytes, WcToken *token);

#endif
