#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/json_doc.h"
#include "edge/settings.h"

#include "test_main.h"

/* Number of settings keys; the sample file must contain all of them. */
#define KEY_COUNT 26

#define REST                                                                                                           \
  "\"instance\": \"i\", \"domain\": \"d\", \"listen\": \"127.0.0.1:7001\", \"peer\": \"127.0.0.1:7101\", "             \
  "\"platforms\": [\"127.0.0.1:7200\"], \"fleet_key\": \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\""

/* Invalid settings, and the part of the error message that gives the line, the key and the reason. */
static const struct
{
  const char *text;
  const char *message;
} BAD_CASES[] = {
  { "{", ":1: not valid JSON: the text ends too early" },
  { "{" REST ",\n\"workers\": 2,,}", ":2: not valid JSON: " },
  { "{" REST ",\n\"worker\": 2}", ":2: worker: unknown key" },
  { "{" REST ",\n\"instance\": \"j\"}", ":2: instance: duplicate key" },
  { "{\n\"domain\": \"d\"}", ":1: instance: missing" },
  { "{" REST ",\n\"heartbeat\": 250}", ":2: heartbeat: unknown key; the key with its unit is 'heartbeat_ms'" },
  { "{" REST ",\n\"heartbeat_s\": 1}", ":2: heartbeat_s: unknown key; the key with its unit is 'heartbeat_ms'" },
  { "{" REST ",\n\"heartbeat_ms\": \"250\"}", ":2: heartbeat_ms: must be a whole number without quotes" },
  { "{" REST ",\n\"heartbeat_ms\": 9}", ":2: heartbeat_ms: must be 10 to 60000, is 9" },
  { "{" REST ",\n\"workers\": 0}", ":2: workers: must be 1 to 64, is 0" },
  { "{" REST ",\n\"workers\": 1.5}", ":2: workers: must be a whole number" },
  { "{" REST ",\n\"answers_max_bytes\": 4294967296}", ":2: answers_max_bytes: must be 65536 to 2147483648" },
  { "{" REST ",\n\"log_level\": \"loud\"}", ":2: log_level: is not one of the allowed values" },
  { "{" REST ",\n\"log_level\": null}", ":2: log_level: null is not allowed" },
  { "{" REST ",\n\"fault_injection\": 1}", ":2: fault_injection: must be true or false" },
  { "{" REST ",\n\"operators\": \"localhost:80\"}", ":2: operators: must be an IP address and a port" },
  { "{" REST ",\n\"operators\": \"127.0.0.1:0\"}", ":2: operators: must have a port from 1 to 65535" },
  { "{" REST ",\n\"operators\": \"0.0.0.0:7101\"}", ":2: operators: is the same address as peer" },
  { "{" REST ",\n\"heartbeat_ms\": 600}", ":1: suspect_after_ms: must be at least twice heartbeat_ms, which is 600" },
  { "{" REST ",\n\"drain_limit_ms\": 500}", ":2: drain_limit_ms: must be at least ticket_life_ms, which is 10000" },
  { "{\"listen\":\n\"127.0.0.1:7102\", \"instance\": \"i\", \"domain\": \"d\", \"peer\": \"127.0.0.1:7101\", "
    "\"platforms\": [\"127.0.0.1:7200\"], \"fleet_key\": \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"}",
    ":2: listen: overlaps the workers' relay ports 7101 to 7102" },
  { "{\"listen\": \"127.0.0.1:1\", \"instance\": \"i\", \"domain\": \"d\", \"peer\":\n\"127.0.0.1:65535\", "
    "\"platforms\": [\"127.0.0.1:7200\"], \"fleet_key\": \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"}",
    ":2: peer: needs one port for each of 2 workers from 65535 on" },
  { "{\"peer\":\n\"0.0.0.0:7101\"}", ":2: peer: must be the address of one host" },
  { "{\"platforms\":\n[]}", ":2: platforms: needs at least 1 element" },
  { "{\"instance\": \"i\", \"domain\": \"d\", \"listen\": \"127.0.0.1:7001\", \"peer\": \"127.0.0.1:7101\", "
    "\"platforms\": [\"127.0.0.1:7200\",\n7], \"fleet_key\": \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"}",
    ":2: platforms: must be a string with an address and a port" },
  { "{\"fleet_key\":\n\"AAAA\"}", ":2: fleet_key: must be the base64 of exactly 32 bytes" },
  { "{\"instance\":\n\"a b\"}", ":2: instance: must be 1 to 63 letters" },
};

static WcSettings *load_text (const char *text, WcError *error);

/* Guards against invalid settings that are accepted, and against messages without the right line, key and reason. */
START_TEST (test_invalid_settings)
{
  WcError error = { WC_STATUS_OK, "" };

  ck_assert_ptr_null (load_text (BAD_CASES[_i].text, &error));
  ck_assert_msg (strstr (error.message, BAD_CASES[_i].message), "'%s' is not in '%s'", BAD_CASES[_i].message,
                 error.message);
  ck_assert_ptr_nonnull (strstr (error.message, "wigeoncart-test-"));
}
END_TEST

/* Guards against default values that fail validation or change unintentionally. */
START_TEST (test_defaults)
{
  WcError     error;
  WcSettings *settings = load_text ("{" REST "}", &error);
  char        text[WC_ADDRESS_TEXT_BYTES];

  ck_assert_msg (settings != NULL, "%s", error.message);
  ck_assert_str_eq (settings->instance, "i");
  ck_assert_str_eq (settings->domain, "d");
  ck_assert_str_eq (wc_address_format (&settings->listen, text), "127.0.0.1:7001");
  ck_assert_str_eq (wc_address_format (&settings->peer, text), "127.0.0.1:7101");
  ck_assert_str_eq (wc_address_format (&settings->operators, text), "127.0.0.1:7070");
  ck_assert_uint_eq (settings->platform_count, 1);
  ck_assert_str_eq (wc_address_format (&settings->platforms[0], text), "127.0.0.1:7200");
  ck_assert_uint_eq (settings->workers, 2);
  ck_assert_uint_eq (settings->ticket_life_ms, 10000);
  ck_assert_uint_eq (settings->drain_limit_ms, 30000);
  ck_assert_uint_eq (settings->confirm_limit_ms, 2000);
  ck_assert_str_eq (settings->log_level, "notice");
  ck_assert (!settings->fault_injection);
  wc_settings_delete (settings);
}
END_TEST

/* Guards against a sample file that lacks a key, or whose value differs from the program's default. */
START_TEST (test_sample)
{
  WcError     error;
  WcSettings *sample = wc_settings_load ("samples/settings.json", &error);
  WcSettings *defaults;
  WcJsonDoc  *doc;
  char       *text;
  gsize       size_bytes;

  ck_assert_msg (sample != NULL, "%s", error.message);
  ck_assert (g_file_get_contents ("samples/settings.json", &text, &size_bytes, NULL));
  doc = wc_json_doc_new ("sample", text, size_bytes, &error);
  ck_assert_int_eq (json_object_object_length (wc_json_doc_get_root (doc)), KEY_COUNT);
  wc_json_doc_delete (doc);
  g_free (text);
  defaults = load_text ("{" REST "}", &error);
  ck_assert_ptr_nonnull (defaults);
  ck_assert_str_eq (sample->instance, "sinos-1");
  ck_assert_str_eq (sample->log_level, defaults->log_level);
  ck_assert (wc_address_equal (&sample->operators, &defaults->operators));
  ck_assert_uint_eq (sample->workers, defaults->workers);
  ck_assert (sample->fault_injection == defaults->fault_injection);
  ck_assert_mem_eq (&sample->ticket_life_ms, &defaults->ticket_life_ms,
                    offsetof (WcSettings, log_level) - offsetof (WcSettings, ticket_life_ms));
  wc_settings_delete (sample);
  wc_settings_delete (defaults);
}
END_TEST

/* Guards against a truncated file that is accepted or crashes the parser. */
START_TEST (test_truncated)
{
  static const char text[] = "{ // one\n" REST ", /* two */ \"workers\": 3}";

  for (size_t i = 0; i < sizeof text - 1; i++)
    {
      char   *prefix = g_strndup (text, i);
      WcError error;

      ck_assert_ptr_null (load_text (prefix, &error));
      ck_assert_int_eq (error.status, WC_STATUS_PARSE);
      g_free (prefix);
    }
}
END_TEST

/* Guards against a missing file that is treated as an empty one. */
START_TEST (test_missing_file)
{
  WcError error;

  ck_assert_ptr_null (wc_settings_load ("samples/no-such-file.json", &error));
  ck_assert_int_eq (error.status, WC_STATUS_NOT_FOUND);
  ck_assert_ptr_nonnull (strstr (error.message, "no-such-file.json"));
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("settings");

  tcase_add_loop_test (cases, test_invalid_settings, 0, G_N_ELEMENTS (BAD_CASES));
  tcase_add_test (cases, test_defaults);
  tcase_add_test (cases, test_sample);
  tcase_add_test (cases, test_truncated);
  tcase_add_test (cases, test_missing_file);
  return wc_test_run_case ("settings", cases);
}

/* local functions */

static WcSettings *
load_text (const char *text, WcError *error)
{
  WcSettings *settings;
  char       *path;
  int         file = g_file_open_tmp ("wigeoncart-test-XXXXXX", &path, NULL);

  ck_assert_int_ge (file, 0);
  close (file);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  settings = wc_settings_load (path, error);
  g_unlink (path);
  g_free (path);
  return settings;
}
