#include "core/text_delta.h"

#include <string.h>

#include "core/config_head.h"
#include "test_main.h"

enum
{
  PARTS = 160,
  MAX_BYTES = 1 << 20
};

static char *
make_head (uint64_t revision, uint32_t changed)
{
  WcHeadPart parts[PARTS];

  memset (parts, 0, sizeof parts);
  for (uint32_t i = 0; i < PARTS; i++)
    {
      g_snprintf (parts[i].key, sizeof parts[i].key, "hosts-%02x", i);
      memset (parts[i].digest, (int)(i == changed ? i + 1 : i), sizeof parts[i].digest);
      parts[i].digest[0] = (uint8_t)(i == changed);
    }
  return wc_config_head_format (revision, parts, PARTS);
}

/* Guards against a delta for a change of one entry that is as long as the whole head, or yields another head. */
START_TEST (one_entry)
{
  char *old = make_head (7, PARTS);

  for (uint32_t changed = 0; changed < PARTS; changed++)
    {
      char       *text = make_head (8, changed);
      GBytes     *delta = wc_text_delta_make (old, strlen (old), text, strlen (text));
      GBytes     *result;
      gsize       size_bytes;
      const void *data;

      ck_assert_ptr_nonnull (delta);
      data = g_bytes_get_data (delta, &size_bytes);
      ck_assert_uint_lt (size_bytes, 400);
      result = wc_text_delta_apply (old, strlen (old), data, size_bytes, MAX_BYTES);
      ck_assert_ptr_nonnull (result);
      data = g_bytes_get_data (result, &size_bytes);
      ck_assert_uint_eq (size_bytes, strlen (text));
      ck_assert_int_eq (memcmp (data, text, size_bytes), 0);
      g_bytes_unref (result);
      /* A target whose length is exactly the limit is accepted, a longer one is rejected. */
      data = g_bytes_get_data (delta, &size_bytes);
      result = wc_text_delta_apply (old, strlen (old), data, size_bytes, strlen (text));
      ck_assert_ptr_nonnull (result);
      g_bytes_unref (result);
      ck_assert_ptr_null (wc_text_delta_apply (old, strlen (old), data, size_bytes, strlen (text) - 1));
      g_bytes_unref (delta);
      g_free (text);
    }
  g_free (old);
}
END_TEST

/* Guards against a delta that does not yield its target, when the texts are reordered, empty or dissimilar. */
START_TEST (random_deltas)
{
  GRand *random = g_rand_new_with_seed (41);

  for (int round = 0; round < 2000; round++)
    {
      GString *texts[2] = { g_string_new (NULL), g_string_new (NULL) };
      GBytes  *delta;

      for (int side = 0; side < 2; side++)
        for (int i = g_rand_int_range (random, 0, 40); i > 0; i--)
          g_string_append_printf (texts[side], "{\"name\": \"entry of the list %d\"}%s",
                                  g_rand_int_range (random, 0, 30), i % 2 ? "," : "");
      delta = wc_text_delta_make (texts[0]->str, texts[0]->len, texts[1]->str, texts[1]->len);
      if (delta)
        {
          gsize       size_bytes;
          const void *data = g_bytes_get_data (delta, &size_bytes);
          GBytes     *result = wc_text_delta_apply (texts[0]->str, texts[0]->len, data, size_bytes, MAX_BYTES);
          GBytes     *expected = g_bytes_new_static (texts[1]->str, texts[1]->len);

          ck_assert_ptr_nonnull (result);
          ck_assert (g_bytes_equal (result, expected));
          g_bytes_unref (expected);
          g_bytes_unref (result);
          g_bytes_unref (delta);
        }
      g_string_free (texts[0], TRUE);
      g_string_free (texts[1], TRUE);
    }
  g_rand_free (random);
}
END_TEST

/* Guards against reads and writes out of bounds when a malformed delta is applied, which the sanitizers detect. */
START_TEST (malformed)
{
  GRand  *random = g_rand_new_with_seed (42);
  char   *old = make_head (7, PARTS);
  char   *text = make_head (8, 80);
  GBytes *delta = wc_text_delta_make (old, strlen (old), text, strlen (text));
  gsize   size_bytes;
  uint8_t bytes[512];

  ck_assert_ptr_nonnull (delta);
  size_bytes = g_bytes_get_size (delta);
  ck_assert_uint_le (size_bytes, sizeof bytes);
  ck_assert_ptr_null (wc_text_delta_apply (old, strlen (old), "", 0, MAX_BYTES));
  for (gsize length = 0; length < 12; length++)
    ck_assert_ptr_null (wc_text_delta_apply (old, strlen (old), g_bytes_get_data (delta, NULL), length, MAX_BYTES));
  ck_assert_ptr_null (
      wc_text_delta_apply (old, strlen (old), g_bytes_get_data (delta, NULL), size_bytes - 1, MAX_BYTES));
  for (int round = 0; round < 20000; round++)
    {
      GBytes *result;

      memcpy (bytes, g_bytes_get_data (delta, NULL), size_bytes);
      bytes[g_rand_int_range (random, 0, (gint32)size_bytes)] = (uint8_t)g_rand_int (random);
      result = wc_text_delta_apply (old, strlen (old), bytes, size_bytes, MAX_BYTES);
      if (!result)
        continue;
      ck_assert_uint_le (g_bytes_get_size (result), MAX_BYTES);
      g_bytes_unref (result);
    }
  g_bytes_unref (delta);
  g_free (old);
  g_free (text);
  g_rand_free (random);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, one_entry);
  tcase_add_test (tests, random_deltas);
  tcase_add_test (tests, malformed);
}

int
main (void)
{
  return wc_test_run ("text_delta", add_tests);
}
