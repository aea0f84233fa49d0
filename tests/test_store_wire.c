#include "test_main.h"

#include <glib.h>

#include "store_wire.h"

/* Guards against items, deletions and empty values of the store that are decoded wrongly. */
START_TEST (store_replies_are_decoded)
{
  static const char    range[] = "{\"items\":[{\"key\":\"my/leader\",\"value\":\"bm9kZS0x\",\"mod-rev\":412,"
                                 "\"create-rev\":412,\"lease\":77120}],\"has-more\":true,\"as-of\":530}";
  static const char    watch[] = "{\"events\":[{\"key\":\"my/old\",\"mod-rev\":413,\"deleted\":true},"
                                 "{\"key\":\"my/empty\",\"value\":\"\",\"mod-rev\":414}],\"as-of\":414}";
  const WcStoreChange *change;
  WcStoreReply         reply;

  wc_store_reply_init (&reply);
  ck_assert_int_eq (wc_store_wire_decode (range, strlen (range), 7, &reply, NULL), WC_STATUS_OK);
  ck_assert_uint_eq (reply.version.revision, 530);
  ck_assert_uint_eq (reply.version.era, 7);
  ck_assert (reply.has_more);
  change = &g_array_index (reply.changes, WcStoreChange, 0);
  ck_assert_str_eq (change->key, "my/leader");
  ck_assert_uint_eq (change->version.revision, 412);
  ck_assert_uint_eq (change->version.era, 7);
  ck_assert_uint_eq (g_bytes_get_size (change->value), 6);
  wc_store_reply_finish (&reply);

  wc_store_reply_init (&reply);
  ck_assert_int_eq (wc_store_wire_decode (watch, strlen (watch), 7, &reply, NULL), WC_STATUS_OK);
  ck_assert (!reply.has_more);
  ck_assert_ptr_null (g_array_index (reply.changes, WcStoreChange, 0).value);
  ck_assert_ptr_nonnull (g_array_index (reply.changes, WcStoreChange, 1).value);
  wc_store_reply_finish (&reply);
}
END_TEST

/* Guards against truncated or malformed responses that are accepted as complete. */
START_TEST (malformed_store_replies_are_rejected)
{
  static const char *const texts[] = {
    "",
    "[]",
    "{\"items\":[]}",
    "{\"as-of\":1}",
    "{\"items\":[1],\"as-of\":1}",
    "{\"items\":[{\"value\":\"\"}],\"as-of\":1}",
    "{\"events\":[{\"key\":\"a\",\"mod-rev\":-1}],\"as-of\":1}",
    "{\"items\":[{\"key\":\"a\",\"value\":\"bm9k\",\"mod-rev\":1}],\"as-",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      WcStoreReply reply;
      WcError      error;

      wc_store_reply_init (&reply);
      ck_assert_int_ne (wc_store_wire_decode (texts[i], strlen (texts[i]), 7, &reply, &error), WC_STATUS_OK);
      wc_store_reply_finish (&reply);
    }
}
END_TEST

/*
 * Guards against one odd item that hides the others of its response, so that the view is no longer updated, and against
 * a page that is read again and again because the key after which the next one begins is not known.
 */
START_TEST (odd_items_are_left_out)
{
  static const char    text[] = "{\"items\":[{\"key\":\"a\",\"value\":\"bm9k\",\"mod-rev\":1},7,null,"
                                "{\"key\":\"b\",\"value\":\"bm9k\",\"mod-rev\":99999999999999999999},"
                                "{\"key\":\"b\\u0000x\",\"value\":\"bm9k\",\"mod-rev\":2},"
                                "{\"key\":\"c\",\"value\":\"bm9k\",\"mod-rev\":3},"
                                "{\"key\":\"d\",\"value\":\"bm9k\"}],\"has-more\":true,\"as-of\":9}";
  const WcStoreChange *change;
  WcStoreReply         reply;
  WcError              error;

  wc_store_reply_init (&reply);
  ck_assert_int_eq (wc_store_wire_decode (text, strlen (text), 7, &reply, &error), WC_STATUS_OK);
  ck_assert_uint_eq (reply.changes->len, 2);
  change = &g_array_index (reply.changes, WcStoreChange, 1);
  ck_assert_str_eq (change->key, "c");
  ck_assert_uint_eq (reply.rejected, 5);
  ck_assert_str_eq (reply.last_key, "d");
  ck_assert_ptr_nonnull (strstr (error.message, "item d"));
  wc_store_reply_finish (&reply);
}
END_TEST

/* Guards against unescaped keys that truncate or extend the query of a request path. */
START_TEST (store_paths_escape_keys)
{
  char *first = wc_store_wire_range_path (NULL);
  char *next = wc_store_wire_range_path ("servers/i-1 &x=1");
  char *watch = wc_store_wire_watch_path (411, 1000);

  ck_assert_str_eq (first, "/v1/kv-range?prefix=");
  ck_assert_str_eq (next, "/v1/kv-range?prefix=&after=servers%2Fi-1%20%26x%3D1");
  ck_assert_str_eq (watch, "/v1/kv-watch?prefix=&after=411&wait-ms=1000");
  g_free (first);
  g_free (next);
  g_free (watch);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, store_replies_are_decoded);
  tcase_add_test (tests, malformed_store_replies_are_rejected);
  tcase_add_test (tests, odd_items_are_left_out);
  tcase_add_test (tests, store_paths_escape_keys);
}

int
main (void)
{
  return wc_test_run ("store_wire", add_tests);
}
