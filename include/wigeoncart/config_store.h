#ifndef WIGEONCART_CONFIG_STORE_H
#define WIGEONCART_CONFIG_STORE_H

#include <wigeoncart/register.h>

enum
{
  WC_DIGEST_BYTES = 32
};

/** struct WcConfigId - place of a revision in the total order: (revision, digest of the head). */
typedef struct
{
  uint64_t revision;
  uint8_t  digest[WC_DIGEST_BYTES];
} WcConfigId;

int wc_config_id_compare (const WcConfigId *a, const WcConfigId *b);

/**
 * struct WcConfigStore - revision in force, its parts, and newer revisions whose parts are being collected.
 *
 * What ends up in force depends on the contents that were offered, not on their order: the newest valid revision of
 * which all parts are there. A rejected or incomplete revision does not hold up an older one.
 */
typedef struct WcConfigStore WcConfigStore;

WcConfigStore *wc_config_store_new (void);
void           wc_config_store_delete (WcConfigStore *store);

/**
 * wc_config_store_offer_head() - offer a published head.
 *
 * Return: OK when the head is now collected (parts may be missing), STALE when it is not newer than the one in force,
 * collected already, rejected, or older than the few newest that are being collected; PARSE or INVALID when malformed,
 * which changes nothing.
 */
WcStatus wc_config_store_offer_head (WcConfigStore *store, const char *text, size_t size_bytes, WcError *error);

/**
 * wc_config_store_offer_part() - offer a part; it is kept only when a collected head names its digest.
 *
 * Return: OK when the part is held, MISMATCH when no head names it, TOO_LARGE.
 */
WcStatus wc_config_store_offer_part (WcConfigStore *store, const void *data, size_t size_bytes, WcError *error);

/** wc_config_store_get_missing() - key and digest of the @index-th missing part, those of the newest head first; false
 * when there is none. */
bool wc_config_store_get_missing (const WcConfigStore *store, size_t index, const char **key,
                                  uint8_t digest[WC_DIGEST_BYTES]);

/**
 * wc_config_store_activate() - put the newest collected revision in force of which all parts are there and valid.
 *
 * A revision that fails validation is rejected for good: its id is remembered with the reason and the register in
 * force stays.
 *
 * Return: OK when a new register is in force, NOT_FOUND when parts are missing or nothing is collected, INVALID or
 * PARSE when it was rejected now.
 */
WcStatus wc_config_store_activate (WcConfigStore *store, WcError *error);

/** wc_config_store_get_register() - register in force, or NULL; the store keeps its reference. */
WcRegister *wc_config_store_get_register (const WcConfigStore *store);

/** wc_config_store_get_id() - id in force; revision 0 when there is none. */
const WcConfigId *wc_config_store_get_id (const WcConfigStore *store);

/** wc_config_store_get_newest_id() - newest id seen, in force or not; never goes down. */
const WcConfigId *wc_config_store_get_newest_id (const WcConfigStore *store);

/** wc_config_store_get_rejection() - id and reason of the last rejected revision; NULL when there is none. */
const char *wc_config_store_get_rejection (const WcConfigStore *store, WcConfigId *id);

/** wc_config_store_get_head() - text of the head in force, for peers; of the newest collected one while there is none;
 * else NULL. */
const char *wc_config_store_get_head (const WcConfigStore *store, size_t *size_bytes);

/** wc_config_store_find_part() - held part by digest, for peers; NULL when not held. */
const void *
wc_config_store_find_part (const WcConfigStore *store, const uint8_t digest[WC_DIGEST_BYTES], size_t *size_bytes);

/** wc_config_store_find_head() - text of the head with that digest: the one in force or one of those that it replaced
 * last; NULL when there is none. */
const char *
wc_config_store_find_head (const WcConfigStore *store, const void *digest, size_t digest_bytes, size_t *size_bytes);

/**
 * wc_config_store_find_base_digest() - what the head of digest @head names under the key that the head in force has for
 * the part of digest @part.
 *
 * Return: false when @head is not held, or one of the two does not name the part.
 */
bool wc_config_store_find_base_digest (const WcConfigStore *store, const void *head, size_t head_bytes,
                                       const uint8_t part[WC_DIGEST_BYTES], uint8_t replaced[WC_DIGEST_BYTES]);

#endif
