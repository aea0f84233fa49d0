#include <check.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include <wigeoncart/config_store.h>
#include <wigeoncart/register.h>
#include <wigeoncart/register_split.h>

#include "test_main.h"

#define SECRET "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

enum
{
  FULL_HOSTS = 7400,
  FULL_SERVICES = 3700,
  NO_EDIT = -1
};

static char            *make_register (int hosts, int services, int edited_host, bool reversed);
static WcRegisterSplit *split_text (const char *text);
static WcRegister      *join (const WcRegisterSplit *split);
static size_t           count_changed_parts (const WcRegisterSplit *a, const WcRegisterSplit *b, size_t *changed_bytes);
static void             assert_same (const WcRegister *a, const WcRegister *b);

/* Guards against entries that are lost or changed when a register is split and parsed again. */
START_TEST (test_samples)
{
  static const char *const paths[] = { "samples/register-sinos.json", "samples/register-kavango.json" };
  WcRegisterSplit         *split;
  WcRegister              *whole;
  WcRegister              *joined;
  WcError                  error;
  char                    *text;
  gsize                    size_bytes;

  ck_assert (g_file_get_contents (paths[_i], &text, &size_bytes, NULL));
  whole = wc_register_parse (paths[_i], text, size_bytes, &error);
  ck_assert_msg (whole != NULL, "%s", error.message);
  split = split_text (text);
  ck_assert_uint_eq (wc_register_split_get_revision (split), 1);
  ck_assert_uint_eq (wc_register_split_get_part_count (split), 2);
  joined = join (split);
  assert_same (whole, joined);
  wc_register_unref (whole);
  wc_register_unref (joined);
  wc_register_split_delete (split);
  g_free (text);
}
END_TEST

/* Guards against an evacuated domain that is lost, or begins to count as evacuated, when the register is exported. */
START_TEST (test_evacuated_domain)
{
  static const char text[] = "{\"revision\": 2, \"domains\": [\"d1\", \"d2\"], \"services\": [{\"name\": \"a\"}], "
                             "\"keys\": [{\"epoch\": 1, \"secret\": \"" SECRET "\"}], \"hosts\": ["
                             "{\"name\": \"h1\", \"domain\": \"d1\", \"targets\": [{\"service\": \"a\", "
                             "\"address\": \"127.0.0.1:1\"}]}, "
                             "{\"name\": \"h2\", \"domain\": \"d2\", \"targets\": [{\"service\": \"a\", "
                             "\"address\": \"127.0.0.1:2\"}]}], \"rules\": {\"evacuated\": [\"d2\"]}}";
  WcRegisterSplit  *split = split_text (text);
  WcRegister       *joined = join (split);
  size_t            count;
  const WcTarget   *targets = wc_register_get_targets (joined, &count);

  ck_assert_uint_eq (count, 2);
  for (size_t i = 0; i < count; i++)
    ck_assert (targets[i].leaving == (targets[i].address.port == 2));
  wc_register_unref (joined);
  wc_register_split_delete (split);
}
END_TEST

/* Guards against control traffic that is proportional to the register: an edit of one host must change one small
 * part. */
START_TEST (test_one_edit)
{
  char            *before = make_register (FULL_HOSTS, FULL_SERVICES, NO_EDIT, false);
  char            *after = make_register (FULL_HOSTS, FULL_SERVICES, 1234, false);
  WcRegisterSplit *a = split_text (before);
  WcRegisterSplit *b = split_text (after);
  size_t           changed_bytes;
  size_t           head_bytes;

  ck_assert_uint_eq (count_changed_parts (a, b, &changed_bytes), 1);
  wc_register_split_get_head (b, &head_bytes);
  /* 4,300 changes per day of 40 kB each make 2 kB/s, the limit on the control traffic of an instance. */
  ck_assert_uint_lt (changed_bytes, 16384);
  ck_assert_uint_lt (changed_bytes + head_bytes, 32768);
  wc_register_split_delete (a);
  wc_register_split_delete (b);
  g_free (before);
  g_free (after);
}
END_TEST

/* Guards against entries that are lost when a large register is split. */
START_TEST (test_large_register)
{
  char            *text = make_register (FULL_HOSTS, FULL_SERVICES, NO_EDIT, false);
  WcRegisterSplit *split = split_text (text);
  WcRegister      *whole;
  WcRegister      *joined = join (split);
  WcError          error;
  size_t           count;

  whole = wc_register_parse ("r", text, strlen (text), &error);
  ck_assert_msg (whole != NULL, "%s", error.message);
  assert_same (whole, joined);
  wc_register_get_targets (joined, &count);
  ck_assert_uint_eq (count, FULL_HOSTS);
  wc_register_get_services (joined, &count);
  ck_assert_uint_eq (count, FULL_SERVICES);
  wc_register_unref (whole);
  wc_register_unref (joined);
  wc_register_split_delete (split);
  g_free (text);
}
END_TEST

/* Guards against parts that change although only the order of the hosts in the exported register has changed. */
START_TEST (test_host_order)
{
  char            *forward = make_register (500, 10, NO_EDIT, false);
  char            *backward = make_register (500, 10, NO_EDIT, true);
  WcRegisterSplit *a = split_text (forward);
  WcRegisterSplit *b = split_text (backward);
  size_t           changed_bytes;

  ck_assert_uint_eq (count_changed_parts (a, b, &changed_bytes), 0);
  wc_register_split_delete (a);
  wc_register_split_delete (b);
  g_free (forward);
  g_free (backward);
}
END_TEST

/* Guards against splitting an invalid register. */
START_TEST (test_invalid)
{
  const char *text = "{\"revision\": 1,\n\"domains\": [\"d\"]}";
  WcError     error;

  ck_assert_ptr_null (wc_register_split_new ("r", text, strlen (text), &error));
  ck_assert_str_eq (error.message, "r:1: keys: needs at least 1 key");
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("register_split");

  tcase_add_loop_test (cases, test_samples, 0, 2);
  tcase_add_test (cases, test_evacuated_domain);
  tcase_add_test (cases, test_one_edit);
  tcase_add_test (cases, test_large_register);
  tcase_add_test (cases, test_host_order);
  tcase_add_test (cases, test_invalid);
  return wc_test_run_case ("register_split", cases);
}

/* local functions */

static char *
make_register (int hosts, int services, int edited_host, bool reversed)
{
  GString *text = g_string_new ("{\"revision\": 1, \"domains\": [\"d0\", \"d1\", \"d2\", \"d3\", \"d4\"],\n"
                                "\"keys\": [{\"epoch\": 1, \"secret\": \"" SECRET "\"}],\n\"services\": [\n");

  for (int i = 0; i < services; i++)
    g_string_append_printf (text,
                            "%s{\"name\": \"service-%d\", \"affinity\": \"session\", \"default_deadline_ms\": 2000, "
                            "\"answer_max_bytes\": 65536}",
                            i > 0 ? ",\n" : "", i);
  g_string_append (text, "],\n\"hosts\": [\n");
  for (int i = 0; i < hosts; i++)
    {
      int host = reversed ? hosts - 1 - i : i;

      g_string_append_printf (
          text,
          "%s{\"name\": \"host-%d\", \"domain\": \"d%d\", \"targets\": [{\"service\": \"service-%d\", "
          "\"address\": \"10.0.%d.%d:9000\", \"slots\": %d, \"max_connections\": 16, "
          "\"cold_start_ms\": 0}]}",
          i > 0 ? ",\n" : "", host, host % 5, host % services, host / 250, host % 250 + 1, host == edited_host ? 4 : 2);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static WcRegisterSplit *
split_text (const char *text)
{
  WcError          error;
  WcRegisterSplit *split = wc_register_split_new ("r", text, strlen (text), &error);

  ck_assert_msg (split != NULL, "%s", error.message);
  return split;
}

/* Parses the parts in the same way as an instance does. */
static WcRegister *
join (const WcRegisterSplit *split)
{
  WcConfigStore *store = wc_config_store_new ();
  WcRegister    *reg;
  WcError        error;
  const char    *key;
  size_t         size_bytes;
  const char    *head = wc_register_split_get_head (split, &size_bytes);

  ck_assert_int_eq (wc_config_store_offer_head (store, head, size_bytes, &error), WC_STATUS_OK);
  for (size_t i = 0; i < wc_register_split_get_part_count (split); i++)
    {
      const char *part = wc_register_split_get_part (split, i, &key, &size_bytes);

      ck_assert_int_eq (wc_config_store_offer_part (store, part, size_bytes, &error), WC_STATUS_OK);
    }
  ck_assert_msg (wc_config_store_activate (store, &error) == WC_STATUS_OK, "%s", error.message);
  reg = wc_register_ref (wc_config_store_get_register (store));
  wc_config_store_delete (store);
  return reg;
}

static size_t
count_changed_parts (const WcRegisterSplit *a, const WcRegisterSplit *b, size_t *changed_bytes)
{
  size_t count = wc_register_split_get_part_count (a);
  size_t changed = 0;

  *changed_bytes = 0;
  ck_assert_uint_eq (wc_register_split_get_part_count (b), count);
  for (size_t i = 0; i < count; i++)
    {
      const char *a_key;
      const char *b_key;
      size_t      a_bytes;
      size_t      b_bytes;
      const char *a_text = wc_register_split_get_part (a, i, &a_key, &a_bytes);
      const char *b_text = wc_register_split_get_part (b, i, &b_key, &b_bytes);

      ck_assert_str_eq (a_key, b_key);
      if (a_bytes == b_bytes && memcmp (a_text, b_text, a_bytes) == 0)
        continue;
      changed++;
      *changed_bytes += b_bytes;
    }
  return changed;
}

static void
assert_same (const WcRegister *a, const WcRegister *b)
{
  size_t           a_count;
  size_t           b_count;
  const WcTarget  *a_targets = wc_register_get_targets (a, &a_count);
  const WcTarget  *b_targets = wc_register_get_targets (b, &b_count);
  const WcService *a_services;
  const WcService *b_services;

  ck_assert_uint_eq (wc_register_get_revision (a), wc_register_get_revision (b));
  ck_assert_uint_eq (a_count, b_count);
  for (size_t i = 0; i < a_count; i++)
    {
      ck_assert_uint_eq (a_targets[i].id, b_targets[i].id);
      ck_assert_uint_eq (a_targets[i].service, b_targets[i].service);
      ck_assert_uint_eq (a_targets[i].domain, b_targets[i].domain);
      ck_assert_str_eq (a_targets[i].host, b_targets[i].host);
      ck_assert (wc_address_equal (&a_targets[i].address, &b_targets[i].address));
      ck_assert_uint_eq (a_targets[i].slots, b_targets[i].slots);
      ck_assert_uint_eq (a_targets[i].cold_start_ms, b_targets[i].cold_start_ms);
    }
  a_services = wc_register_get_services (a, &a_count);
  b_services = wc_register_get_services (b, &b_count);
  ck_assert_uint_eq (a_count, b_count);
  for (size_t i = 0; i < a_count; i++)
    {
      ck_assert_str_eq (a_services[i].name, b_services[i].name);
      ck_assert_int_eq (a_services[i].affinity, b_services[i].affinity);
      ck_assert_uint_eq (a_services[i].default_deadline_ms, b_services[i].default_deadline_ms);
      ck_assert_uint_eq (a_services[i].answer_max_bytes, b_services[i].answer_max_bytes);
    }
  wc_register_get_keys (a, &a_count);
  wc_register_get_keys (b, &b_count);
  ck_assert_uint_eq (a_count, b_count);
}
