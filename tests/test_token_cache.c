#include "core/token_cache.h"

#include <string.h>

#include "test_main.h"

static const WcToken TOKEN = {
  .service = 1,
  .customer = 2,
  .domain = 3,
  .target = 4,
  .owner = 5,
  .incarnation = 6,
  .worker = 7,
  .expiry_wall_s = 1000,
  .flow = 8,
};

static WcKeyring *
make_keyring (uint32_t epoch, uint8_t first)
{
  WcKey key = { .epoch = epoch, .secret = { first } };

  return wc_keyring_new (&key, 1);
}

/* Guards against a wrong token on a hit, against accepting expired tokens from the cache, and against returning the
 * entry of another token in the same slot. */
START_TEST (test_against_uncached)
{
  WcKeyring    *keyring = make_keyring (1, 1);
  WcTokenCache *cache = wc_token_cache_new (4);
  uint8_t       sealed[20][WC_TOKEN_MAX_BYTES];
  size_t        sizes[20];
  WcSealer      sealer;
  WcToken       token = TOKEN;

  wc_sealer_init (&sealer, 1);
  wc_token_cache_set_keyring (cache, keyring);
  for (unsigned i = 0; i < 20; i++)
    {
      token.flow = i;
      sizes[i] = wc_token_seal (&sealer, keyring, &token, sealed[i]);
    }
  for (unsigned pass = 0; pass < 4; pass++)
    for (unsigned i = 0; i < 20; i++)
      for (unsigned again = 0; again < 2; again++)
        {
          memset (&token, 0xaa, sizeof token);
          ck_assert_int_eq (wc_token_cache_open (cache, 999, sealed[i], sizes[i], &token), WC_STATUS_OK);
          ck_assert_uint_eq (token.flow, i);
          ck_assert_uint_eq (token.owner, TOKEN.owner);
          ck_assert_uint_eq (token.expiry_wall_s, TOKEN.expiry_wall_s);
        }
  ck_assert_int_eq (wc_token_cache_open (cache, 1000, sealed[19], sizes[19], &token), WC_STATUS_EXPIRED);
  ck_assert_int_eq (wc_token_cache_open (cache, 1000, sealed[0], sizes[0], &token), WC_STATUS_EXPIRED);
  wc_token_cache_delete (cache);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against accepting a modified or truncated copy of a cached token, and against caching a forged token. */
START_TEST (test_forged)
{
  WcKeyring    *keyring = make_keyring (1, 1);
  WcTokenCache *cache = wc_token_cache_new (1);
  uint8_t       sealed[WC_TOKEN_MAX_BYTES];
  WcSealer      sealer;
  WcToken       token;
  size_t        size;

  wc_sealer_init (&sealer, 1);
  wc_token_cache_set_keyring (cache, keyring);
  size = wc_token_seal (&sealer, keyring, &TOKEN, sealed);
  for (size_t bit = 0; bit < 8 * size; bit++)
    {
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token), WC_STATUS_OK);
      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
      for (unsigned again = 0; again < 2; again++)
        ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token),
                          bit < 32 ? WC_STATUS_UNKNOWN_KEY : WC_STATUS_FORGED);
      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
  for (size_t cut = 0; cut < size; cut++)
    {
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token), WC_STATUS_OK);
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, cut, &token), WC_STATUS_FORGED);
    }
  ck_assert_int_eq (wc_token_cache_open (cache, 0, NULL, 0, &token), WC_STATUS_FORGED);
  wc_token_cache_delete (cache);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against accepting cached tokens after their key was withdrawn or replaced by another key of the same epoch. */
START_TEST (test_keyring_changes)
{
  WcKeyring    *keyring = make_keyring (1, 1);
  WcKeyring    *withdrawn = make_keyring (2, 1);
  WcKeyring    *replaced = make_keyring (1, 2);
  WcTokenCache *cache = wc_token_cache_new (16);
  uint8_t       sealed[WC_TOKEN_MAX_BYTES];
  WcSealer      sealer;
  WcToken       token;
  size_t        size;

  wc_sealer_init (&sealer, 1);
  size = wc_token_seal (&sealer, keyring, &TOKEN, sealed);
  for (unsigned again = 0; again < 2; again++)
    {
      wc_token_cache_set_keyring (cache, keyring);
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token), WC_STATUS_OK);
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token), WC_STATUS_OK);
      wc_token_cache_set_keyring (cache, withdrawn);
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token), WC_STATUS_UNKNOWN_KEY);
      wc_token_cache_set_keyring (cache, replaced);
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token), WC_STATUS_FORGED);
    }
  wc_token_cache_delete (cache);
  wc_keyring_unref (keyring);
  wc_keyring_unref (withdrawn);
  wc_keyring_unref (replaced);
}
END_TEST

/* Guards against a buffer overflow by a token that is too long for a cache entry. */
START_TEST (test_max_token)
{
  static const WcToken MAX_TOKEN = {
    .service = UINT32_MAX,
    .customer = UINT32_MAX,
    .domain = UINT32_MAX,
    .target = UINT32_MAX,
    .owner = UINT64_MAX,
    .incarnation = UINT64_MAX,
    .worker = UINT32_MAX,
    .expiry_wall_s = UINT64_MAX,
    .flow = UINT64_MAX,
  };
  WcKeyring    *keyring = make_keyring (1, 1);
  WcTokenCache *cache = wc_token_cache_new (1);
  uint8_t       sealed[WC_TOKEN_MAX_BYTES];
  WcSealer      sealer;
  WcToken       token;
  size_t        size;

  wc_sealer_init (&sealer, 1);
  wc_token_cache_set_keyring (cache, keyring);
  size = wc_token_seal (&sealer, keyring, &MAX_TOKEN, sealed);
  for (unsigned again = 0; again < 2; again++)
    {
      memset (&token, 0, sizeof token);
      ck_assert_int_eq (wc_token_cache_open (cache, 0, sealed, size, &token), WC_STATUS_OK);
      ck_assert_uint_eq (token.owner, UINT64_MAX);
      ck_assert_uint_eq (token.flow, UINT64_MAX);
    }
  wc_token_cache_delete (cache);
  wc_keyring_unref (keyring);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_against_uncached);
  tcase_add_test (tests, test_forged);
  tcase_add_test (tests, test_keyring_changes);
  tcase_add_test (tests, test_max_token);
}

int
main (void)
{
  return wc_test_run ("token_cache", add_tests);
}
