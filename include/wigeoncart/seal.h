#ifndef WIGEONCART_SEAL_H
#define WIGEONCART_SEAL_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/keyring.h>

enum
{
  WC_SEAL_NONCE_BYTES = 12,
  WC_SEAL_OVERHEAD_BYTES = 4 + WC_SEAL_NONCE_BYTES + 16
};

/**
 * struct WcSealer - nonce generator of one worker.
 * @prefix: random number drawn at start, so that no two workers use the same nonce; replaced by its hash when @counter
 * wraps around.
 */
typedef struct
{
  uint64_t prefix;
  uint32_t counter;
} WcSealer;

/** wc_sealer_init() - initialize a nonce generator; @prefix must come from a secure random source. */
void wc_sealer_init (WcSealer *sealer, uint64_t prefix);

/**
 * wc_seal() - encrypt and authenticate @plain with the newest key of @use (ChaCha20-Poly1305, IETF).
 *
 * Layout: epoch (4 bytes, big endian), nonce, ciphertext, tag.
 *
 * Return: number of bytes written to @sealed; 0 when @capacity is too small or the keyring is empty.
 */
size_t wc_seal (WcSealer *sealer, const WcKeyring *keyring, WcKeyUse use, const uint8_t *plain, size_t plain_bytes,
                uint8_t *sealed, size_t capacity);

/**
 * wc_seal_open() - authenticate and decrypt; does not allocate memory.
 * @sealed: may be NULL when @sealed_bytes is 0.
 *
 * Return: OK, UNKNOWN_KEY, FORGED, or TOO_LARGE when @capacity is too small.
 */
WcStatus wc_seal_open (const WcKeyring *keyring, WcKeyUse use, const uint8_t *sealed, size_t sealed_bytes,
                       uint8_t *plain, size_t capacity, size_t *plain_bytes);

#endif
