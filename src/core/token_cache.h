#ifndef WIGEONCART_CORE_TOKEN_CACHE_H
#define WIGEONCART_CORE_TOKEN_CACHE_H

#include <wigeoncart/token.h>

/**
 * struct WcTokenCache - tokens that one worker has verified, in bounded memory.
 *
 * It holds no state of flows: what it says follows from the sealed bytes and the keys, and any entry may be lost.
 */
typedef struct WcTokenCache WcTokenCache;

/** wc_token_cache_new() - @entries: a power of two; memory is touched only where entries are used. */
WcTokenCache *wc_token_cache_new (uint32_t entries);
void          wc_token_cache_delete (WcTokenCache *cache);

/** wc_token_cache_set_keyring() - drop everything and use other keys; @keyring must live until the next call. */
void wc_token_cache_set_keyring (WcTokenCache *cache, const WcKeyring *keyring);

/**
 * wc_token_cache_open() - as wc_token_open() with the ring that was set.
 *
 * The whole sealed token is compared, and its expiry is checked each time.
 */
WcStatus
wc_token_cache_open (WcTokenCache *cache, uint64_t wall_s, const uint8_t *sealed, size_t sealed_bytes, WcToken *token);

#endif
