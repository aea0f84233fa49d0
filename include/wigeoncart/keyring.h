#ifndef WIGEONCART_KEYRING_H
#define WIGEONCART_KEYRING_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/register.h>

/** enum WcKeyUse - purpose of a derived key; a separate key is derived for each. */
typedef enum
{
  WC_KEY_USE_TOKEN = 0,
  WC_KEY_USE_TICKET,
  WC_KEY_USE_RELAY,
  WC_KEY_USE_PEER,
  WC_KEY_USE_REPORT,
  WC_KEY_USE_COUNT
} WcKeyUse;

/** struct WcKeyring - derived keys by epoch; immutable, with an atomic reference count. */
typedef struct WcKeyring WcKeyring;

/**
 * wc_keyring_new() - derive the keys of all uses from @keys; the key of the highest epoch is used for sealing.
 *
 * Of several keys with the same epoch, the first is kept.
 */
WcKeyring *wc_keyring_new (const WcKey *keys, size_t count);
WcKeyring *wc_keyring_ref (WcKeyring *keyring);
void       wc_keyring_unref (WcKeyring *keyring);

/**
 * wc_keyring_get_newest_epoch() - epoch of the key that is used for sealing; 0 when the keyring is empty.
 *
 * Epoch 0 is also a valid epoch (the fleet key): wc_keyring_find() returns NULL for it when the keyring is empty.
 */
uint32_t wc_keyring_get_newest_epoch (const WcKeyring *keyring);

/** wc_keyring_find() - derived key of WC_KEY_BYTES bytes; NULL when the keyring has no key of @epoch. */
const uint8_t *wc_keyring_find (const WcKeyring *keyring, uint32_t epoch, WcKeyUse use);

#endif
