#include "test_main.h"

#include <glib.h>
#include <json-c/json.h>

#include "host_wire.h"

/* Guards against members of a host entry that are ignored or decoded with a wrong value. */
START_TEST (host_entry_is_decoded)
{
  static const char text[] = "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":\"caxias-a\","
                             "\"version\":\"v1\",\"slots\":2,\"state\":\"draining\",\"warmup-left-ms\":1500,\"seq\":4,"
                             "\"born\":1790000000123,\"later\":{}}";
  WcHostRecord      record;
  uint64_t          id = wc_host_wire_id_from_key ("servers/i-7f3a91c2");

  ck_assert_uint_eq (id, 0x7f3a91c2);
  ck_assert_int_eq (wc_host_wire_decode ("servers/i-7f3a91c2", text, strlen (text), &record, NULL), WC_STATUS_OK);
  ck_assert_uint_eq (record.id, id);
  ck_assert_str_eq (record.name, "i-7f3a91c2");
  ck_assert_str_eq (g_quark_to_string (record.service), "huvo11a");
  ck_assert_str_eq (g_quark_to_string (record.domain), "caxias-a");
  ck_assert_int_eq (record.state, WC_HOST_DRAINING);
  ck_assert_uint_eq (record.slots, 2);
  ck_assert_uint_eq (record.warm_up_left_ms, 1500);
  ck_assert_uint_eq (record.started_ms, 1790000000123);
  ck_assert_uint_eq (record.address.port, 8080);
}
END_TEST

/* An entry, with a member in place of the one of the same name. */
#define ENTRY_WITH(member)                                                                                             \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","  \
  "\"warmup-left-ms\":0,\"seq\":4," member "}"

/*
 * Guards against an entry of another writer, with a member missing, that is taken for that of a host, so that flows of
 * one service reach a host of another (case 6 of the second review).
 */
START_TEST (entry_with_missing_member_is_rejected)
{
  static const char *const members[] = { "service", "address", "zone",           "version",
                                         "slots",   "state",   "warmup-left-ms", "seq" };
  const char              *text = ENTRY_WITH ("\"born\":1790000000123");
  WcHostRecord             record;
  WcError                  error;

  ck_assert_int_eq (wc_host_wire_decode ("servers/i-1", text, strlen (text), &record, &error), WC_STATUS_OK);
  text = ENTRY_WITH ("\"later\":1");
  ck_assert_int_eq (wc_host_wire_decode ("servers/i-1", text, strlen (text), &record, &error), WC_STATUS_OK);
  ck_assert_uint_eq (record.started_ms, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      struct json_object *entry = json_tokener_parse (text);
      const char         *partial;

      json_object_object_del (entry, members[i]);
      partial = json_object_to_json_string (entry);
      ck_assert_int_eq (wc_host_wire_decode ("servers/i-1", partial, strlen (partial), &record, &error),
                        WC_STATUS_INVALID);
      ck_assert_ptr_nonnull (strstr (error.message, members[i]));
      json_object_put (entry);
    }
}
END_TEST

/* Guards against invalid entries and keys, written by other programs, that are accepted or crash the decoder. */
START_TEST (invalid_host_entries_are_rejected)
{
  static const char *const texts[] = {
    "",
    "[]",
    "{",
    "\xff\xfe",
    ENTRY_WITH ("\"service\":1"),
    ENTRY_WITH ("\"service\":\"\""),
    ENTRY_WITH ("\"address\":\"10.0.0.1\""),
    ENTRY_WITH ("\"address\":\"[::1]:80\""),
    ENTRY_WITH ("\"slots\":\"2\""),
    ENTRY_WITH ("\"slots\":0"),
    ENTRY_WITH ("\"state\":\"asleep\""),
    ENTRY_WITH ("\"zone\":\"\""),
    ENTRY_WITH ("\"version\":1"),
    ENTRY_WITH ("\"warmup-left-ms\":\"0\""),
    ENTRY_WITH ("\"warmup-left-ms\":null"),
    ENTRY_WITH ("\"seq\":\"4\""),
    ENTRY_WITH ("\"seq\":null"),
    ENTRY_WITH ("\"seq\":-1"),
    ENTRY_WITH ("\"born\":\"now\""),
  };
  WcHostRecord record;
  WcError      error;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    ck_assert_int_ne (wc_host_wire_decode ("servers/i-1", texts[i], strlen (texts[i]), &record, &error), WC_STATUS_OK);
  ck_assert_uint_eq (wc_host_wire_id_from_key ("servers/"), 0);
  ck_assert_uint_eq (wc_host_wire_id_from_key ("servers/i-"), 0);
  ck_assert_uint_eq (wc_host_wire_id_from_key ("servers/i-xyz"), 0);
  ck_assert_uint_eq (wc_host_wire_id_from_key ("servers/i-0"), 0);
  ck_assert_uint_eq (wc_host_wire_id_from_key ("servers/i-11112222333344445"), 0);
  ck_assert_uint_eq (wc_host_wire_id_from_key ("op/config"), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, host_entry_is_decoded);
  tcase_add_test (tests, entry_with_missing_member_is_rejected);
  tcase_add_test (tests, invalid_host_entries_are_rejected);
}

int
main (void)
{
  return wc_test_run ("host_wire", add_tests);
}
