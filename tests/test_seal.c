#include <wigeoncart/seal.h>

#include <string.h>

#include "test_main.h"

static const uint8_t PLAIN[] = "order of twelve bells";

enum
{
  SEALED_BYTES = sizeof PLAIN + WC_SEAL_OVERHEAD_BYTES
};

static WcKeyring *
make_keyring (uint32_t first_epoch, uint32_t last_epoch)
{
  WcKey  keys[8] = { 0 };
  size_t count = 0;

  for (uint32_t epoch = first_epoch; epoch <= last_epoch; epoch++, count++)
    {
      keys[count].epoch = epoch;
      /* All epochs have the same secret, so that keys of different epochs differ in the epoch only. */
      memset (keys[count].secret, 5, WC_KEY_BYTES);
    }
  return wc_keyring_new (keys, count);
}

static WcStatus
open_seal (const WcKeyring *keyring, WcKeyUse use, const uint8_t *sealed, size_t sealed_bytes)
{
  uint8_t plain[sizeof PLAIN];
  size_t  plain_bytes = 0;

  return wc_seal_open (keyring, use, sealed, sealed_bytes, plain, sizeof plain, &plain_bytes);
}

/* Guards against a plaintext that is changed by sealing and opening, at every length. */
START_TEST (test_round_trip)
{
  WcKeyring *keyring = make_keyring (1, 2);
  uint8_t    sealed[SEALED_BYTES];
  uint8_t    plain[sizeof PLAIN];
  size_t     plain_bytes = 99;
  WcSealer   sealer;

  wc_sealer_init (&sealer, 1);
  ck_assert_uint_eq (
      wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, (size_t)_i, sealed, (size_t)_i + WC_SEAL_OVERHEAD_BYTES),
      (size_t)_i + WC_SEAL_OVERHEAD_BYTES);
  ck_assert_int_eq (wc_seal_open (keyring, WC_KEY_USE_TOKEN, sealed, (size_t)_i + WC_SEAL_OVERHEAD_BYTES, plain,
                                  (size_t)_i, &plain_bytes),
                    WC_STATUS_OK);
  ck_assert_uint_eq (plain_bytes, (size_t)_i);
  ck_assert_int_eq (memcmp (plain, PLAIN, (size_t)_i), 0);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against opening a sealed text in which any one bit was flipped. */
START_TEST (test_bit_flips)
{
  WcKeyring *keyring = make_keyring (1, 3);
  uint8_t    sealed[SEALED_BYTES];
  WcSealer   sealer;

  wc_sealer_init (&sealer, 1);
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
  for (size_t bit = 0; bit < 8 * sizeof sealed; bit++)
    {
      WcStatus status;

      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
      status = open_seal (keyring, WC_KEY_USE_TOKEN, sealed, sizeof sealed);
      ck_assert (status == WC_STATUS_FORGED || (bit < 32 && status == WC_STATUS_UNKNOWN_KEY));
      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
  ck_assert_int_eq (open_seal (keyring, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_OK);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against reads past the end of a truncated or empty sealed text, and against opening one with appended
 * bytes. */
START_TEST (test_truncated)
{
  WcKeyring *keyring = make_keyring (1, 1);
  uint8_t    sealed[SEALED_BYTES + 1] = { 0 };
  uint8_t    plain[sizeof PLAIN + 1];
  size_t     plain_bytes;
  WcSealer   sealer;

  wc_sealer_init (&sealer, 1);
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
  for (size_t size = 0; size < SEALED_BYTES; size++)
    {
      /* A copy of exactly this size lets AddressSanitizer detect a read past the end. */
      uint8_t *copy = malloc (size);

      memcpy (copy, sealed, size);
      ck_assert_int_eq (open_seal (keyring, WC_KEY_USE_TOKEN, copy, size), WC_STATUS_FORGED);
      free (copy);
    }
  ck_assert_int_eq (open_seal (keyring, WC_KEY_USE_TOKEN, NULL, 0), WC_STATUS_FORGED);
  ck_assert_int_eq (
      wc_seal_open (keyring, WC_KEY_USE_TOKEN, sealed, SEALED_BYTES + 1, plain, sizeof plain, &plain_bytes),
      WC_STATUS_FORGED);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against opening a text that was sealed for another use. */
START_TEST (test_wrong_use)
{
  WcKeyring *keyring = make_keyring (1, 1);
  uint8_t    sealed[SEALED_BYTES];
  WcSealer   sealer;

  wc_sealer_init (&sealer, 1);
  for (int sealed_use = 0; sealed_use < WC_KEY_USE_COUNT; sealed_use++)
    {
      wc_seal (&sealer, keyring, sealed_use, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
      for (int use = 0; use < WC_KEY_USE_COUNT; use++)
        ck_assert_int_eq (open_seal (keyring, use, sealed, sizeof sealed),
                          use == sealed_use ? WC_STATUS_OK : WC_STATUS_FORGED);
    }
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against a sealed text that cannot be opened while its epoch is published, or can be opened after the epoch was
 * removed. */
START_TEST (test_epochs)
{
  WcKeyring *oldest = make_keyring (1, 1);
  WcKeyring *both = make_keyring (1, 2);
  WcKeyring *newest = make_keyring (2, 2);
  uint8_t    sealed[SEALED_BYTES];
  WcSealer   sealer;

  wc_sealer_init (&sealer, 1);
  wc_seal (&sealer, oldest, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
  ck_assert_int_eq (open_seal (both, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_OK);
  ck_assert_int_eq (open_seal (newest, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_UNKNOWN_KEY);
  wc_seal (&sealer, both, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
  ck_assert_int_eq (open_seal (newest, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_OK);
  ck_assert_int_eq (open_seal (oldest, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_UNKNOWN_KEY);
  /* The secret is the same in both epochs, so the change is detected only because the epoch is authenticated. */
  sealed[3] = 1;
  ck_assert_int_eq (open_seal (both, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_FORGED);
  wc_keyring_unref (oldest);
  wc_keyring_unref (both);
  wc_keyring_unref (newest);
}
END_TEST

/* Guards against writes past the end of a buffer that is too small, in sealing and opening. */
START_TEST (test_capacity)
{
  WcKeyring *keyring = make_keyring (1, 1);
  uint8_t    sealed[SEALED_BYTES];
  uint8_t    plain[sizeof PLAIN];
  size_t     plain_bytes;
  WcSealer   sealer;

  wc_sealer_init (&sealer, 1);
  for (size_t capacity = 0; capacity < SEALED_BYTES; capacity++)
    {
      uint8_t *buffer = malloc (capacity + 1);

      ck_assert_uint_eq (wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, buffer, capacity), 0);
      free (buffer);
    }
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
  ck_assert_int_eq (
      wc_seal_open (keyring, WC_KEY_USE_TOKEN, sealed, sizeof sealed, plain, sizeof plain - 1, &plain_bytes),
      WC_STATUS_TOO_LARGE);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against sealing without a key, while an instance has no configuration. */
START_TEST (test_empty_ring)
{
  WcKeyring *keyring = wc_keyring_new (NULL, 0);
  uint8_t    sealed[SEALED_BYTES] = { 0 };
  WcSealer   sealer;

  wc_sealer_init (&sealer, 1);
  ck_assert_uint_eq (wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed), 0);
  ck_assert_int_eq (open_seal (keyring, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_UNKNOWN_KEY);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against a nonce that is used again after the counter has wrapped around. */
START_TEST (test_counter_wraps)
{
  WcKeyring *keyring = make_keyring (1, 1);
  uint8_t    first[SEALED_BYTES];
  uint8_t    sealed[SEALED_BYTES];
  WcSealer   sealer;

  wc_sealer_init (&sealer, 6);
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, first, sizeof first);
  sealer.counter = UINT32_MAX;
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
  ck_assert_mem_ne (sealed + 4, first + 4, WC_SEAL_NONCE_BYTES);
  ck_assert_uint_eq (sealer.counter, 0);
  ck_assert_uint_ne (sealer.prefix, 6);
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed, sizeof sealed);
  ck_assert_mem_ne (sealed + 4, first + 4, WC_SEAL_NONCE_BYTES);
  ck_assert_int_eq (open_seal (keyring, WC_KEY_USE_TOKEN, sealed, sizeof sealed), WC_STATUS_OK);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against sealing the same plaintext twice with the same nonce. */
START_TEST (test_unique_nonces)
{
  WcKeyring *keyring = make_keyring (1, 1);
  uint8_t    sealed[3][SEALED_BYTES];
  WcSealer   sealer;
  WcSealer   other;

  wc_sealer_init (&sealer, 1);
  wc_sealer_init (&other, 2);
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed[0], SEALED_BYTES);
  wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed[1], SEALED_BYTES);
  wc_seal (&other, keyring, WC_KEY_USE_TOKEN, PLAIN, sizeof PLAIN, sealed[2], SEALED_BYTES);
  for (int a = 0; a < 3; a++)
    for (int b = 0; b < a; b++)
      ck_assert_mem_ne (sealed[a] + 4, sealed[b] + 4, WC_SEAL_NONCE_BYTES);
  wc_keyring_unref (keyring);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, test_round_trip, 0, sizeof PLAIN + 1);
  tcase_add_test (tests, test_bit_flips);
  tcase_add_test (tests, test_truncated);
  tcase_add_test (tests, test_wrong_use);
  tcase_add_test (tests, test_epochs);
  tcase_add_test (tests, test_capacity);
  tcase_add_test (tests, test_empty_ring);
  tcase_add_test (tests, test_counter_wraps);
  tcase_add_test (tests, test_unique_nonces);
}

int
main (void)
{
  return wc_test_run ("seal", add_tests);
}
