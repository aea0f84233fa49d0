#include <wigeoncart/keyring.h>

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

typedef struct
{
  uint32_t epoch;
  uint8_t  derived[WC_KEY_USE_COUNT][WC_KEY_BYTES];
} Epoch;

/* Sorted by epoch, newest first, because almost all tokens have the newest epoch. */
struct WcKeyring
{
  gint   references;
  size_t count;
  Epoch  epochs[];
};

/* Contexts of the key derivation. A change would invalidate all tokens and tickets of the fleet. */
static const char CONTEXTS[WC_KEY_USE_COUNT][crypto_kdf_CONTEXTBYTES + 1] = {
  [WC_KEY_USE_TOKEN] = "wc-token", [WC_KEY_USE_TICKET] = "wc-tickt", [WC_KEY_USE_RELAY] = "wc-relay",
  [WC_KEY_USE_PEER] = "wc-peers",  [WC_KEY_USE_REPORT] = "wc-reprt",
};

_Static_assert(WC_KEY_BYTES == crypto_kdf_KEYBYTES, "published keys are the master keys of the key derivation");

static size_t get_size (size_t count);
static void   insert_key (WcKeyring *keyring, const WcKey *key);

WcKeyring *
wc_keyring_new (const WcKey *keys, size_t count)
{
  WcKeyring *keyring;

  assert (keys != NULL || count == 0);

  keyring = g_malloc0 (get_size (count));
  keyring->references = 1;
  for (size_t i = 0; i < count; i++)
    insert_key (keyring, &keys[i]);
  return keyring;
}

WcKeyring *
wc_keyring_ref (WcKeyring *keyring)
{
  assert (keyring != NULL);

  g_atomic_int_inc (&keyring->references);
  return keyring;
}

void
wc_keyring_unref (WcKeyring *keyring)
{
  if (!keyring || !g_atomic_int_dec_and_test (&keyring->references))
    return;
  sodium_memzero (keyring, get_size (keyring->count));
  g_free (keyring);
}

uint32_t
wc_keyring_get_newest_epoch (const WcKeyring *keyring)
{
  assert (keyring != NULL);

  return keyring->count > 0 ? keyring->epochs[0].epoch : 0;
}

const uint8_t *
wc_keyring_find (const WcKeyring *keyring, uint32_t epoch, WcKeyUse use)
{
  assert (keyring != NULL);
  assert (use < WC_KEY_USE_COUNT);

  for (size_t i = 0; i < keyring->count && keyring->epochs[i].epoch >= epoch; i++)
    if (keyring->epochs[i].epoch == epoch)
      return keyring->epochs[i].derived[use];
  return NULL;
}

/* local functions */

static size_t
get_size (size_t count)
{
  return sizeof (WcKeyring) + count * sizeof (Epoch);
}

static void
insert_key (WcKeyring *keyring, const WcKey *key)
{
  size_t position = 0;
  Epoch *epoch;

  while (position < keyring->count && keyring->epochs[position].epoch > key->epoch)
    position++;
  epoch = &keyring->epochs[position];
  if (position < keyring->count && epoch->epoch == key->epoch)
    return;
  memmove (epoch + 1, epoch, (keyring->count - position) * sizeof *epoch);
  keyring->count++;
  epoch->epoch = key->epoch;
  for (int use = 0; use < WC_KEY_USE_COUNT; use++)
    crypto_kdf_derive_from_key (epoch->derived[use], WC_KEY_BYTES, 0, CONTEXTS[use], key->secret);
}
