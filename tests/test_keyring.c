#include <wigeoncart/keyring.h>

#include <string.h>

#include "test_main.h"

static WcKey
make_key (uint32_t epoch, uint8_t fill)
{
  WcKey key = { .epoch = epoch };

  memset (key.secret, fill, sizeof key.secret);
  return key;
}

/* Guards against an empty keyring that returns a key. */
START_TEST (test_empty)
{
  WcKeyring *keyring = wc_keyring_new (NULL, 0);

  ck_assert_uint_eq (wc_keyring_get_newest_epoch (keyring), 0);
  ck_assert_ptr_null (wc_keyring_find (keyring, 0, WC_KEY_USE_TOKEN));
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against sealing with the key of an old epoch when keys are published out of order. */
START_TEST (test_newest_epoch)
{
  static const uint32_t ORDERS[][3] = { { 1, 2, 9 }, { 9, 2, 1 }, { 2, 9, 1 } };
  WcKey                 keys[3];
  WcKeyring            *keyring;

  for (int i = 0; i < 3; i++)
    keys[i] = make_key (ORDERS[_i][i], (uint8_t)ORDERS[_i][i]);
  keyring = wc_keyring_new (keys, 3);
  ck_assert_uint_eq (wc_keyring_get_newest_epoch (keyring), 9);
  for (int i = 0; i < 3; i++)
    {
      WcKeyring *single = wc_keyring_new (&keys[i], 1);

      ck_assert_mem_eq (wc_keyring_find (keyring, keys[i].epoch, WC_KEY_USE_RELAY),
                        wc_keyring_find (single, keys[i].epoch, WC_KEY_USE_RELAY), WC_KEY_BYTES);
      wc_keyring_unref (single);
    }
  ck_assert_ptr_null (wc_keyring_find (keyring, 0, WC_KEY_USE_TOKEN));
  ck_assert_ptr_null (wc_keyring_find (keyring, 3, WC_KEY_USE_TOKEN));
  ck_assert_ptr_null (wc_keyring_find (keyring, 10, WC_KEY_USE_TOKEN));
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against two uses with the same derived key, and against a derived key that equals the published secret. */
START_TEST (test_unique_keys)
{
  WcKey      key = make_key (1, 7);
  WcKeyring *keyring = wc_keyring_new (&key, 1);

  for (int a = 0; a < WC_KEY_USE_COUNT; a++)
    {
      ck_assert_mem_ne (wc_keyring_find (keyring, 1, a), key.secret, WC_KEY_BYTES);
      for (int b = 0; b < a; b++)
        ck_assert_mem_ne (wc_keyring_find (keyring, 1, a), wc_keyring_find (keyring, 1, b), WC_KEY_BYTES);
    }
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against instances that derive different keys from the same register, also from the fleet key of epoch 0. */
START_TEST (test_deterministic)
{
  WcKey      key = make_key (0, 3);
  WcKeyring *a = wc_keyring_new (&key, 1);
  WcKeyring *b = wc_keyring_new (&key, 1);

  ck_assert_uint_eq (wc_keyring_get_newest_epoch (a), 0);
  ck_assert_ptr_nonnull (wc_keyring_find (a, 0, WC_KEY_USE_PEER));
  ck_assert_mem_eq (wc_keyring_find (a, 0, WC_KEY_USE_PEER), wc_keyring_find (b, 0, WC_KEY_USE_PEER), WC_KEY_BYTES);
  wc_keyring_unref (a);
  wc_keyring_unref (b);
}
END_TEST

/* Guards against using another key than the first of several with the same epoch. */
START_TEST (test_duplicate_epoch)
{
  WcKey      keys[] = { make_key (1, 1), make_key (2, 2), make_key (1, 3) };
  WcKeyring *keyring = wc_keyring_new (keys, 3);
  WcKeyring *single = wc_keyring_new (keys, 1);

  ck_assert_mem_eq (wc_keyring_find (keyring, 1, WC_KEY_USE_TOKEN), wc_keyring_find (single, 1, WC_KEY_USE_TOKEN),
                    WC_KEY_BYTES);
  wc_keyring_unref (keyring);
  wc_keyring_unref (single);
}
END_TEST

/* Guards against a keyring that is freed while a snapshot of another thread still references it. */
START_TEST (test_references)
{
  WcKey      key = make_key (4, 4);
  WcKeyring *keyring = wc_keyring_new (&key, 1);

  ck_assert_ptr_eq (wc_keyring_ref (keyring), keyring);
  wc_keyring_unref (keyring);
  ck_assert_uint_eq (wc_keyring_get_newest_epoch (keyring), 4);
  wc_keyring_unref (keyring);
  wc_keyring_unref (NULL);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_empty);
  tcase_add_loop_test (tests, test_newest_epoch, 0, 3);
  tcase_add_test (tests, test_unique_keys);
  tcase_add_test (tests, test_deterministic);
  tcase_add_test (tests, test_duplicate_epoch);
  tcase_add_test (tests, test_references);
}

int
main (void)
{
  return wc_test_run ("keyring", add_tests);
}
