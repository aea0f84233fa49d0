#ifndef WIGEONCART_CONFIG_STORE_H
#define WIGEONCART_CONFIG_STORE_H

#include <wigeoncart/register.h>

enum
{
  WC_DIGEST_BYTES = 32
};

/**
 * struct WcConfigId - identifies a configuration.
 * @revision: number that the operator assigned; 0 for no configuration.
 * @digest: digest of the head; the tie-breaker between two configurations with the same revision number.
 */
typedef struct
{
  uint64_t revision;
  uint8_t  digest[WC_DIGEST_BYTES];
} WcConfigId;

int wc_config_id_compare (const WcConfigId *a, const WcConfigId *b);

/**
 * struct WcConfigStore - configuration in force, its parts, and newer candidate revisions whose parts are being
 * fetched.
 *
 * The configuration in force is the newest valid revision whose parts are all stored, whatever the order in which heads
 * and parts arrived. The head of a revision lists the keys and digests of its parts. A rejected or incomplete revision
 * does not block an older one.
 */
typedef struct WcConfigStore WcConfigStore;

WcConfigStore *wc_config_store_new (void);
void           wc_config_store_delete (WcConfigStore *store);

/**
 * wc_config_store_offer_head() - add a published head as a candidate.
 *
 * Return: OK when the head is a candidate now (parts may be missing); STALE when it is not newer than the one in force,
 * is a candidate already, was rejected, or is older than all candidates while their number is at its maximum; PARSE or
 * INVALID when it is malformed, which changes nothing.
 */
WcStatus wc_config_store_offer_head (WcConfigStore *store, const char *text, size_t size_bytes, WcError *error);

/**
 * wc_config_store_offer_part() - store a part if a candidate lists its digest.
 *
 * Return: OK when the part is stored, MISMATCH when no candidate lists its digest, TOO_LARGE above
 * WC_REGISTER_PART_MAX_BYTES.
 */
WcStatus wc_config_store_offer_part (WcConfigStore *store, const void *data, size_t size_bytes, WcError *error);

/** wc_config_store_get_missing() - key and digest of the @index-th missing part, those of the newest candidate first.
 * Return: false when there is no such part. */
bool wc_config_store_get_missing (const WcConfigStore *store, size_t index, const char **key,
                                  uint8_t digest[WC_DIGEST_BYTES]);

/**
 * wc_config_store_activate() - put the newest complete and valid candidate in force.
 *
 * A candidate that fails validation is rejected, and the register in force does not change. The store keeps the ids of
 * the last MAX_REJECTED (config_store.c) rejected candidates, which are not fetched again, and the reason of the last
 * rejection.
 *
 * Return: OK when a new register is in force, NOT_FOUND when no candidate is complete, INVALID or PARSE when a
 * candidate was rejected and none was put in force.
 */
WcStatus wc_config_store_activate (WcConfigStore *store, WcError *error);

/** wc_config_store_get_register() - register in force, or NULL; the store owns the reference. */
WcRegister *wc_config_store_get_register (const WcConfigStore *store);

/** wc_config_store_get_id() - id in force; revision 0 when there is none. */
const WcConfigId *wc_config_store_get_id (const WcConfigStore *store);

/** wc_config_store_get_newest_id() - newest id of all well-formed heads offered so far; never decreases. */
const WcConfigId *wc_config_store_get_newest_id (const WcConfigStore *store);

/** wc_config_store_get_rejection() - id and reason of the last rejected revision; NULL when there is none. */
const char *wc_config_store_get_rejection (const WcConfigStore *store, WcConfigId *id);

/** wc_config_store_get_head() - text of the head in force, to be sent to peers; that of the newest candidate while none
 * is in force; NULL without candidates. */
const char *wc_config_store_get_head (const WcConfigStore *store, size_t *size_bytes);

/** wc_config_store_find_part() - stored part by digest, to be sent to peers; NULL when it is not stored. */
const void *
wc_config_store_find_part (const WcConfigStore *store, const uint8_t digest[WC_DIGEST_BYTES], size_t *size_bytes);

/** wc_config_store_find_head() - text of the head with the given digest, which is the one in force or one of the last
 * few before it; NULL when there is none. */
const char *
wc_config_store_find_head (const WcConfigStore *store, const void *digest, size_t digest_bytes, size_t *size_bytes);

/**
 * wc_config_store_find_base_digest() - find the earlier version of a part, as the base of a delta.
 * @head: digest of the head that lists the earlier version.
 * @part: digest of a part that the head in force lists.
 * @base_digest: set to the digest that @head lists under the same key.
 *
 * Return: false when @head is not stored, the head in force does not list @part, or @head does not list its key.
 */
bool wc_config_store_find_base_digest (const WcConfigStore *store, const void *head, size_t head_bytes,
                                       const uint8_t part[WC_DIGEST_BYTES], uint8_t base_digest[WC_DIGEST_BYTES]);

#endif
