#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <wigeoncart/name_id.h>

#include "edge/instance_list.h"

#include "test_main.h"

static WcMember *
parse (const char *text, GHashTable *names, size_t *count)
{
  size_t  rejected;
  WcError error;

  return wc_instance_list_parse (text, strlen (text), names, count, &rejected, &error);
}

/* Guards against an entry that gets a wrong state, and against a malformed entry that hides the others. */
START_TEST (malformed_entries_are_skipped)
{
  GHashTable *names = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  size_t      count;
  WcMember   *members = parse ("{\"instances\": ["
                                 "{\"name\": \"a\", \"domain\": \"d\", \"address\": \"127.0.0.1:1\", \"workers\": 2, "
                                 "\"state\": \"live\"},"
                                 "{\"name\": \"b\", \"domain\": \"d\", \"address\": \"host:1\", \"workers\": 2, "
                                 "\"state\": \"live\"},"
                                 "{\"name\": \"c\", \"domain\": \"d\", \"address\": \"127.0.0.1:2\", \"workers\": 0, "
                                 "\"state\": \"live\"},"
                                 "{\"name\": \"d\", \"domain\": \"d\", \"address\": \"127.0.0.1:3\", \"workers\": 1, "
                                 "\"state\": \"gone\"},"
                                 "7, null, {\"name\": 5},"
                                 "{\"name\": \"e\", \"domain\": \"d\", \"address\": \"[::1]:4\", \"workers\": 1, "
                                 "\"state\": \"leaving\"}]}",
                               names, &count);

  ck_assert_ptr_nonnull (members);
  ck_assert_uint_eq (count, 2);
  ck_assert_uint_eq (members[0].id, wc_name_id64 ("a"));
  ck_assert_uint_eq (members[0].domain, wc_name_id32 ("d"));
  ck_assert_uint_eq (members[0].workers, 2);
  ck_assert_uint_eq (members[0].incarnation, 0);
  ck_assert_int_eq (members[0].state, WC_MEMBER_LISTED);
  ck_assert_int_eq (members[1].state, WC_MEMBER_LEAVING);
  ck_assert_uint_eq (members[1].address.port, 4);
  ck_assert_str_eq (g_hash_table_lookup (names, &members[1].id), "e");
  g_free (members);
  g_hash_table_destroy (names);
}
END_TEST

/* Guards against malformed text that is accepted as an empty list, which would remove all members. */
START_TEST (malformed_list_is_rejected)
{
  static const char *const TEXTS[] = {
    "", "{", "[]", "{}", "{\"instances\": {}}", "{\"instances\": null}", "\"instances\"", "<html>"
  };
  GHashTable *names = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  size_t      count;

  ck_assert_ptr_null (parse (TEXTS[_i], names, &count));
  g_hash_table_destroy (names);
}
END_TEST

#define ENTRY(name, more)                                                                                              \
  "{\"name\": \"" name "\", \"domain\": \"d\", \"address\": \"127.0.0.1:1\", \"workers\": 1, \"state\": \"live\"" more \
  "}"

/*
 * Guards against an entry that is nested too deeply for the decoder and hides the others, so that the instance no
 * longer follows the list, and against odd entries that are used; each is counted.
 */
START_TEST (odd_entries_are_left_out)
{
  static const char *const ENTRIES[] = {
    ENTRY ("x", ", \"address\": \"127.0.0.1:0\""),
    ENTRY ("x", ", \"address\": \"127.0.0.1:65536\""),
    ENTRY ("x", ", \"workers\": 99999999999999999999"),
    ENTRY ("x", ", \"workers\": \"1\""),
    ENTRY ("x\\u0000y", ""),
    NULL,
  };
  GHashTable *names = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  char       *open = g_strnfill (100000, '[');
  char       *close = g_strnfill (100000, ']');
  char       *odd =
      ENTRIES[_i] ? g_strdup (ENTRIES[_i]) : g_strdup_printf ("{\"x\": \"]}\\\"\", \"name\": %s%s}", open, close);
  char     *text = g_strdup_printf ("{\"instances\": [%s, %s, %s]}", ENTRY ("a", ""), odd, ENTRY ("b", ""));
  size_t    count;
  size_t    rejected;
  WcError   error;
  WcMember *members = wc_instance_list_parse (text, strlen (text), names, &count, &rejected, &error);

  ck_assert_ptr_nonnull (members);
  ck_assert_uint_eq (count, 2);
  ck_assert_uint_eq (members[0].id, wc_name_id64 ("a"));
  ck_assert_uint_eq (members[1].id, wc_name_id64 ("b"));
  ck_assert_uint_eq (rejected, 1);
  ck_assert_ptr_nonnull (strstr (error.message, "entry 2"));
  g_free (members);
  g_free (text);
  g_free (odd);
  g_free (close);
  g_free (open);
  g_hash_table_destroy (names);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("instance_list");

  tcase_add_test (cases, malformed_entries_are_skipped);
  tcase_add_loop_test (cases, odd_entries_are_left_out, 0, 6);
  tcase_add_loop_test (cases, malformed_list_is_rejected, 0, 8);
  return wc_test_run_case ("instance_list", cases);
}
