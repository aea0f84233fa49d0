#include <wigeoncart/seal.h>

#include <assert.h>
#include <sodium.h>
#include <string.h>

enum
{
  EPOCH_BYTES = 4,
  HEADER_BYTES = EPOCH_BYTES + WC_SEAL_NONCE_BYTES
};

_Static_assert(WC_SEAL_NONCE_BYTES == crypto_aead_chacha20poly1305_ietf_NPUBBYTES, "nonce length of the cipher");
_Static_assert(WC_SEAL_OVERHEAD_BYTES == HEADER_BYTES + crypto_aead_chacha20poly1305_ietf_ABYTES,
               "header and tag of a sealed text");
_Static_assert(WC_KEY_BYTES == crypto_aead_chacha20poly1305_ietf_KEYBYTES, "key length of the cipher");

static void     next_nonce (WcSealer *sealer, uint8_t nonce[WC_SEAL_NONCE_BYTES]);
static void     write_epoch (uint8_t bytes[EPOCH_BYTES], uint32_t epoch);
static uint32_t read_epoch (const uint8_t bytes[EPOCH_BYTES]);

void
wc_sealer_init (WcSealer *sealer, uint64_t prefix)
{
  assert (sealer != NULL);

  sealer->prefix = prefix;
  sealer->counter = 0;
}

size_t
wc_seal (WcSealer *sealer, const WcKeyring *keyring, WcKeyUse use, const uint8_t *plain, size_t plain_bytes,
         uint8_t *sealed, size_t capacity)
{
  uint32_t           epoch;
  const uint8_t     *key;
  uint8_t           *nonce = sealed + EPOCH_BYTES;
  unsigned long long cipher_bytes;

  assert (sealer != NULL);
  assert (keyring != NULL);
  assert (plain != NULL || plain_bytes == 0);
  assert (sealed != NULL);

  epoch = wc_keyring_get_newest_epoch (keyring);
  key = wc_keyring_find (keyring, epoch, use);
  if (!key || capacity < WC_SEAL_OVERHEAD_BYTES || plain_bytes > capacity - WC_SEAL_OVERHEAD_BYTES)
    return 0;
  write_epoch (sealed, epoch);
  next_nonce (sealer, nonce);
  /* The epoch is authenticated as well, so that two epochs that are published with the same secret remain distinct. */
  crypto_aead_chacha20poly1305_ietf_encrypt (sealed + HEADER_BYTES, &cipher_bytes, plain, plain_bytes, sealed,
                                             EPOCH_BYTES, NULL, nonce, key);
  return HEADER_BYTES + (size_t)cipher_bytes;
}

WcStatus
wc_seal_open (const WcKeyring *keyring, WcKeyUse use, const uint8_t *sealed, size_t sealed_bytes, uint8_t *plain,
              size_t capacity, size_t *plain_bytes)
{
  const uint8_t     *key;
  unsigned long long opened_bytes;

  assert (keyring != NULL);
  assert (sealed != NULL || sealed_bytes == 0);
  assert (plain != NULL || capacity == 0);
  assert (plain_bytes != NULL);

  if (sealed_bytes < WC_SEAL_OVERHEAD_BYTES)
    return WC_STATUS_FORGED;
  key = wc_keyring_find (keyring, read_epoch (sealed), use);
  if (!key)
    return WC_STATUS_UNKNOWN_KEY;
  if (sealed_bytes - WC_SEAL_OVERHEAD_BYTES > capacity)
    return WC_STATUS_TOO_LARGE;
  if (crypto_aead_chacha20poly1305_ietf_decrypt (plain, &opened_bytes, NULL, sealed + HEADER_BYTES,
                                                 sealed_bytes - HEADER_BYTES, sealed, EPOCH_BYTES, sealed + EPOCH_BYTES,
                                                 key) != 0)
    return WC_STATUS_FORGED;
  *plain_bytes = (size_t)opened_bytes;
  return WC_STATUS_OK;
}

/* local functions */

/*
 * A nonce must not be used twice with one key: that would reveal the plaintexts and allow forgeries. When the counter
 * wraps after 2^32 seals, the prefix is replaced by its hash, because the core has no random source. The hash is as
 * unlikely to be equal to the prefix of another worker as a random number.
 */
static void
next_nonce (WcSealer *sealer, uint8_t nonce[WC_SEAL_NONCE_BYTES])
{
  memcpy (nonce, &sealer->prefix, sizeof sealer->prefix);
  memcpy (nonce + sizeof sealer->prefix, &sealer->counter, sizeof sealer->counter);
  sealer->counter++;
  if (sealer->counter == 0)
    {
      uint8_t digest[crypto_generichash_BYTES];

      crypto_generichash (digest, sizeof digest, (const uint8_t *)&sealer->prefix, sizeof sealer->prefix, NULL, 0);
      memcpy (&sealer->prefix, digest, sizeof sealer->prefix);
    }
}

static void
write_epoch (uint8_t bytes[EPOCH_BYTES], uint32_t epoch)
{
  for (int i = EPOCH_BYTES - 1; i >= 0; i--, epoch >>= 8)
    bytes[i] = (uint8_t)epoch;
}

static uint32_t
read_epoch (const uint8_t bytes[EPOCH_BYTES])
{
  uint32_t epoch = 0;

  for (int i = 0; i < EPOCH_BYTES; i++)
    epoch = epoch << 8 | bytes[i];
  return epoch;
}
