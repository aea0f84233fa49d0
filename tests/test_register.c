#include <check.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include <wigeoncart/name_id.h>
#include <wigeoncart/register.h>

#include "test_main.h"

#define SECRET "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
#define KEYS "\"keys\": [{\"epoch\": 1, \"secret\": \"" SECRET "\"}]"
#define HEAD                                                                                                           \
  "{\"revision\": 7, \"domains\": [\"d1\", \"d2\"], " KEYS ",\n\"services\": [{\"name\": \"a\"}, {\"name\": "          \
  "\"b\"}],\n"
#define TARGET(service, port) "{\"service\": \"" service "\", \"address\": \"127.0.0.1:" port "\"}"

/* Each case is an otherwise valid register with one error, which the message has to report with its line. */
typedef struct
{
  const char *text;
  WcStatus    status;
  const char *message;
} InvalidCase;

static const InvalidCase INVALID_CASES[] = {
  /* Syntax. */
  { "", WC_STATUS_PARSE, "r:1: not valid JSON: the text ends too early" },
  { "[]", WC_STATUS_PARSE, "r:1: the document must be an object" },
  { "{\n\"revision\": 1,\n}", WC_STATUS_PARSE, "r:3: not valid JSON: " },
  { "{\n\"revision\": 'x'}", WC_STATUS_PARSE, "r:2: not valid JSON: " },
  { "{}\n{}", WC_STATUS_PARSE, "r:2: not valid JSON: " },
  { "{\n/* open", WC_STATUS_PARSE, "r:2: comment is not closed" },
  { "{\"domains\": [[[[[[[[1]]]]]]]]}", WC_STATUS_PARSE, "r:1: not valid JSON: " },
  { "{\"domains\": [\"\xff\"]}", WC_STATUS_PARSE, "r:1: not valid JSON: " },
  /* Keys and types. */
  { HEAD "\"colour\": 1}", WC_STATUS_INVALID, "r:3: colour: unknown key" },
  { HEAD "\"hosts\": [], // a comment\n\"hosts\": {}}", WC_STATUS_INVALID, "r:4: hosts: duplicate key" },
  { HEAD "\"rules\": {\"leaving\": [],\n\"leaving\": []}}", WC_STATUS_INVALID, "r:4: leaving: duplicate key" },
  { HEAD "\"h\\u006fsts\": []}", WC_STATUS_INVALID, "r:3: document: escapes are not allowed in keys" },
  { HEAD "\"hosts\": null}", WC_STATUS_INVALID, "r:3: hosts: null is not allowed" },
  { HEAD "\"hosts\": {}}", WC_STATUS_INVALID, "r:3: hosts: must be an array" },
  { HEAD "\"hosts\": [1]}", WC_STATUS_INVALID, "r:3: hosts: must be an object" },
  { HEAD "\"rules\": []}", WC_STATUS_INVALID, "r:3: rules: must be an object" },
  { "{" KEYS ", \"domains\": [\"d\"]}", WC_STATUS_INVALID, "r:1: revision: missing" },
  { "{\"revision\": 0}", WC_STATUS_INVALID, "r:1: revision: must be 1 to 9007199254740991, is 0" },
  { "{\"revision\": -1}", WC_STATUS_INVALID, "r:1: revision: must be 1 to 9007199254740991, is -1" },
  { "{\"revision\": 99999999999999999999}", WC_STATUS_INVALID, "r:1: revision: must be 1 to 9007199254740991" },
  { "{\"revision\": 1.5}", WC_STATUS_INVALID, "r:1: revision: must be a whole number" },
  { "{\"revision\": \"1\"}", WC_STATUS_INVALID, "r:1: revision: must be a whole number" },
  /* Domains and services. */
  { "{\"revision\": 1, " KEYS "}", WC_STATUS_INVALID, "r:1: domains: needs at least 1 domain" },
  { "{\"revision\": 1, \"domains\": [\"d\",\n\"d\"]}", WC_STATUS_INVALID, "r:2: domains: duplicate name 'd'" },
  { "{\"revision\": 1, \"domains\": [\"d 1\"]}", WC_STATUS_INVALID, "r:1: domains: must be 1 to 63 letters" },
  { "{\"revision\": 1, \"domains\": [\"d\\u0000x\"]}", WC_STATUS_INVALID, "r:1: domains: zero byte in the string" },
  { "{\"revision\": 1, \"services\": [{\"name\": \"a\"},\n{\"name\": \"a\"}]}", WC_STATUS_INVALID,
    "r:2: services: duplicate name 'a'" },
  { "{\"revision\": 1, \"services\": [\n{}]}", WC_STATUS_INVALID, "r:2: name: missing" },
  { "{\"revision\": 1, \"services\": [{\"name\": \"a\",\n\"affinity\": \"host\"}]}", WC_STATUS_INVALID,
    "r:2: affinity: is not one of the allowed values" },
  { "{\"revision\": 1, \"services\": [{\"name\": \"a\",\n\"default_deadline\": 5}]}", WC_STATUS_INVALID,
    "r:2: default_deadline: unknown key; the key with its unit is 'default_deadline_ms'" },
  { "{\"revision\": 1, \"services\": [{\"name\": \"a\",\n\"answer_max_bytes\": 16777217}]}", WC_STATUS_INVALID,
    "r:2: answer_max_bytes: must be 1 to 16777216, is 16777217" },
  /* Hosts and targets. */
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d3\", \"targets\": []}]}", WC_STATUS_INVALID,
    "r:3: domain: unknown domain 'd3'" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\"}]}", WC_STATUS_INVALID, "r:3: targets: missing" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": []},\n"
         "{\"name\": \"h\", \"domain\": \"d2\", \"targets\": []}]}",
    WC_STATUS_INVALID, "r:4: hosts: duplicate name 'h'" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": [\n" TARGET ("c", "1") "]}]}",
    WC_STATUS_INVALID, "r:4: service: unknown service 'c'" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": [\n" TARGET ("a", "0") "]}]}",
    WC_STATUS_INVALID, "r:4: address: must have a port from 1 to 65535" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": [\n" TARGET ("a", "x") "]}]}",
    WC_STATUS_INVALID, "r:4: address: must be an IP address and a port" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": [\n"
         "{\"service\": \"a\", \"address\": \"0.0.0.0:80\"}]}]}",
    WC_STATUS_INVALID, "r:4: address: must be the address of one host" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": [\n" TARGET ("a", "1") ",\n" TARGET (
        "b", "1") "]}]}",
    WC_STATUS_INVALID, "r:5: address: 127.0.0.1:1 belongs to another target already" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": [\n"
         "{\"service\": \"a\", \"address\": \"127.0.0.1:1\",\n\"slots\": 0}]}]}",
    WC_STATUS_INVALID, "r:5: slots: must be 1 to 1024, is 0" },
  /* Customers and keys. */
  { HEAD "\"customers\": [{\"name\": \"c\"}]}", WC_STATUS_INVALID, "r:3: worth: missing" },
  { HEAD "\"customers\": [{\"name\": \"c\", \"worth\": 1},\n{\"name\": \"c\", \"worth\": 2}]}", WC_STATUS_INVALID,
    "r:4: customers: duplicate name 'c'" },
  { "{\"revision\": 1, \"domains\": [\"d\"]}", WC_STATUS_INVALID, "r:1: keys: needs at least 1 key" },
  { "{\"revision\": 1, \"domains\": [\"d\"], \"keys\": [{\"epoch\": 0, \"secret\": \"" SECRET "\"}]}",
    WC_STATUS_INVALID, "r:1: epoch: must be 1 to 4294967295, is 0" },
  { "{\"revision\": 1, \"keys\": [{\"epoch\": 1,\n\"secret\": \"AAAA\"}]}", WC_STATUS_INVALID,
    "r:2: secret: must be the base64 of exactly 32 bytes" },
  { "{\"revision\": 1, \"keys\": [{\"epoch\": 1,\n\"secret\": \"" SECRET "AAAA\"}]}", WC_STATUS_INVALID,
    "r:2: secret: must be the base64 of exactly 32 bytes" },
  { "{\"revision\": 1, \"keys\": [{\"epoch\": 1,\n\"secret\": \"!\"}]}", WC_STATUS_INVALID,
    "r:2: secret: must be the base64 of exactly 32 bytes" },
  { "{\"revision\": 1, \"domains\": [\"d\"], \"keys\": [{\"epoch\": 3, \"secret\": \"" SECRET "\"},\n"
    "{\"epoch\": 3, \"secret\": \"" SECRET "\"}]}",
    WC_STATUS_INVALID, "r:2: epoch: 3 is used twice" },
  /* Rules. */
  { HEAD "\"rules\": {\"separate\": [[\"a\",\n\"c\"]]}}", WC_STATUS_INVALID, "r:4: separate: unknown service 'c'" },
  { HEAD "\"rules\": {\"separate\": [\n[\"a\"]]}}", WC_STATUS_INVALID, "r:4: separate: needs at least 2 elements" },
  { HEAD "\"rules\": {\"separate\": [[\"a\",\n\"a\"]]}}", WC_STATUS_INVALID,
    "r:4: separate: service 'a' is listed twice" },
  { HEAD "\"rules\": {\"leaving\": [\"h\"]}}", WC_STATUS_INVALID, "r:3: leaving: unknown host 'h'" },
  { HEAD
    "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": []}], \"rules\": {\"leaving\": [\"h\",\n\"h\"]}}",
    WC_STATUS_INVALID, "r:4: leaving: host 'h' is listed twice" },
  { HEAD "\"rules\": {\"evacuated\": [\"d1\",\n\"d3\"]}}", WC_STATUS_INVALID, "r:4: evacuated: unknown domain 'd3'" },
  { HEAD "\"rules\": {\"evacuated\": [\"d1\",\n\"d1\"]}}", WC_STATUS_INVALID,
    "r:4: evacuated: domain 'd1' is listed twice" },
  { HEAD "\"rules\": {\"evacuated\": \"d1\"}}", WC_STATUS_INVALID, "r:3: evacuated: must be an array" },
  { HEAD "\"rules\": {\"weights\": {\n\"h\": 5}}}", WC_STATUS_INVALID, "r:4: weights: unknown host 'h'" },
  { HEAD "\"rules\": {\"weights\": {\n\"h\": 1001}}}", WC_STATUS_INVALID, "r:4: h: must be 0 to 1000, is 1001" },
  { HEAD "\"hosts\": [{\"name\": \"h\", \"domain\": \"d1\", \"targets\": [\n" TARGET ("a", "1") ",\n" TARGET (
        "b", "2") "]}], \"rules\": {\"separate\": [[\"a\", \"b\"]]}}",
    WC_STATUS_INVALID, "are kept separate but share host 'h'" },
};

static const char SMALL[] =
    "{ // a small register with every section\n"
    "\"revision\": 7,\n"
    "\"domains\": [\"d1\", \"d2\"],\n"
    "\"services\": [{\"name\": \"a\", \"affinity\": \"session\", \"default_deadline_ms\": 5,\n"
    "  \"answer_max_bytes\": 9}, {\"name\": \"b\"}],\n"
    "\"hosts\": [{\"name\": \"h1\", \"domain\": \"d1\", \"targets\": [\n"
    "  {\"service\": \"a\", \"address\": \"127.0.0.1:1\", \"slots\": 3, \"max_connections\": 4,\n"
    "   \"cold_start_ms\": 5}]},\n"
    "  {\"name\": \"h2\", \"domain\": \"d2\", \"targets\": [" TARGET (
        "a",
        "2") "]},\n"
             "  {\"name\": \"h3\", \"domain\": \"d2\", \"targets\": [" TARGET (
                 "b",
                 "3") "]}],\n"
                      "\"customers\": [{\"name\": \"c\", \"worth\": 5}], /* one */\n"
                      "\"keys\": [{\"epoch\": 2, \"secret\": \"" SECRET "\"},\n"
                      "  {\"epoch\": 1, \"secret\": \"" SECRET "\"}],\n"
                      "\"rules\": {\"separate\": [[\"a\", \"b\"]], \"leaving\": [\"h2\"], \"weights\": {\"h1\": 50}}\n"
                      "}\n";

/* Guards against accepting an invalid register, and against error messages without the line. */
START_TEST (test_invalid_registers)
{
  const InvalidCase *bad = &INVALID_CASES[_i];
  WcError            error;

  ck_assert_ptr_null (wc_register_parse ("r", bad->text, strlen (bad->text), &error));
  ck_assert_msg (strstr (error.message, bad->message), "'%s' is not in '%s'", bad->message, error.message);
  ck_assert_int_eq (error.status, bad->status);
}
END_TEST

/* Guards against fields of the register that are lost, changed defaults, and wrong lookups by id and domain. */
START_TEST (test_fields)
{
  WcError           error;
  WcRegister       *reg = wc_register_parse ("small", SMALL, strlen (SMALL), &error);
  const WcService  *service;
  const WcTarget   *targets;
  const WcCustomer *customer;
  size_t            count;

  ck_assert_msg (reg != NULL, "%s", error.message);
  ck_assert_uint_eq (wc_register_get_revision (reg), 7);
  service = wc_register_find_service (reg, wc_name_id32 ("a"));
  ck_assert_str_eq (service->name, "a");
  ck_assert_int_eq (service->affinity, WC_AFFINITY_SESSION);
  ck_assert_uint_eq (service->default_deadline_ms, 5);
  ck_assert_uint_eq (service->answer_max_bytes, 9);
  service = wc_register_find_service (reg, wc_name_id32 ("b"));
  ck_assert_int_eq (service->affinity, WC_AFFINITY_REQUEST);
  ck_assert_uint_eq (service->default_deadline_ms, 2000);
  ck_assert_uint_eq (service->answer_max_bytes, 65536);
  ck_assert_ptr_null (wc_register_find_service (reg, 1));

  targets = wc_register_get_service_targets (reg, wc_name_id32 ("a"), wc_name_id32 ("d1"), &count);
  ck_assert_uint_eq (count, 1);
  ck_assert_str_eq (targets[0].host, "h1");
  ck_assert_uint_eq (targets[0].id, wc_name_id32 ("a/h1/127.0.0.1:1"));
  ck_assert_uint_eq (targets[0].address.port, 1);
  ck_assert_uint_eq (targets[0].slots, 3);
  ck_assert_uint_eq (targets[0].max_connections, 4);
  ck_assert_uint_eq (targets[0].cold_start_ms, 5);
  ck_assert_uint_eq (targets[0].weight, 50);
  ck_assert (!targets[0].leaving);
  targets = wc_register_get_service_targets (reg, wc_name_id32 ("a"), wc_name_id32 ("d2"), &count);
  ck_assert_uint_eq (count, 1);
  ck_assert_uint_eq (targets[0].slots, 2);
  ck_assert_uint_eq (targets[0].weight, 100);
  ck_assert (targets[0].leaving);
  wc_register_get_service_targets (reg, wc_name_id32 ("a"), 0, &count);
  ck_assert_uint_eq (count, 2);
  wc_register_get_service_targets (reg, wc_name_id32 ("b"), wc_name_id32 ("d1"), &count);
  ck_assert_uint_eq (count, 0);

  customer = wc_register_find_customer (reg, wc_name_id32 ("c"));
  ck_assert_uint_eq (customer->worth, 5);
  ck_assert_ptr_null (wc_register_find_customer (reg, wc_name_id32 ("other")));
  ck_assert_uint_eq (wc_register_find_key (reg, 2)->epoch, 2);
  ck_assert_ptr_null (wc_register_find_key (reg, 3));
  ck_assert_uint_eq (wc_register_get_keys (reg, &count)[0].epoch, 1);
  ck_assert_uint_eq (count, 2);
  wc_register_get_domains (reg, &count);
  ck_assert_uint_eq (count, 2);
  wc_register_unref (reg);
}
END_TEST

/* Guards against crashes on truncated text, and against accepting it. */
START_TEST (test_truncated)
{
  size_t  size_bytes = strlen (SMALL);
  WcError error;

  for (size_t i = 0; i < size_bytes - 2; i++)
    {
      /* A copy of exactly this size lets AddressSanitizer detect a read past the end. */
      char *copy = g_memdup2 (SMALL, i);

      ck_assert_ptr_null (wc_register_parse ("r", copy, i, &error));
      ck_assert_int_eq (error.status, WC_STATUS_PARSE);
      g_free (copy);
    }
}
END_TEST

/* Guards against crashes on corrupted text: each byte is replaced by characters that have a meaning in JSON. */
START_TEST (test_corrupted)
{
  static const char replacements[] = { '"', '{', '}', '[', ']', ',', ':', '/', '\\', '\n', '0', '\0' };
  size_t            size_bytes = strlen (SMALL);

  for (size_t i = 0; i < size_bytes; i++)
    for (size_t j = 0; j < sizeof replacements; j++)
      {
        char       *copy = g_memdup2 (SMALL, size_bytes);
        WcRegister *reg;
        WcError     error = { WC_STATUS_OK, "" };

        copy[i] = replacements[j];
        reg = wc_register_parse ("r", copy, size_bytes, &error);
        ck_assert (reg != NULL || error.message[0] != '\0');
        wc_register_unref (reg);
        g_free (copy);
      }
}
END_TEST

/* Guards against accepting parts that are valid one by one but contradict each other. */
START_TEST (test_parts)
{
  WcRegisterPart parts[] = {
    { "p1", "{\"domains\": [\"d\"], " KEYS ", \"services\": [{\"name\": \"a\"}], \"rules\": {\"leaving\": [\"h\"]}}",
      0 },
    { "p2", "{\"hosts\": [\n{\"name\": \"h\", \"domain\": \"d\", \"targets\": [" TARGET ("a", "1") "]}]}", 0 },
    { "p3", "{\"hosts\": [\n\n{\"name\": \"h\", \"domain\": \"d\", \"targets\": []}]}", 0 },
    { "p4", "{\n\"revision\": 3}", 0 },
  };
  WcRegister *reg;
  WcError     error;
  size_t      count;

  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    parts[i].size_bytes = strlen (parts[i].text);
  reg = wc_register_parse_parts (9, parts, 2, &error);
  ck_assert_msg (reg != NULL, "%s", error.message);
  ck_assert_uint_eq (wc_register_get_revision (reg), 9);
  ck_assert (wc_register_get_targets (reg, &count)[0].leaving);
  wc_register_unref (reg);

  ck_assert_ptr_null (wc_register_parse_parts (9, parts, 1, &error));
  ck_assert_str_eq (error.message, "p1:1: leaving: unknown host 'h'");
  ck_assert_ptr_null (wc_register_parse_parts (9, parts, 3, &error));
  ck_assert_str_eq (error.message, "p3:3: hosts: duplicate name 'h'");
  parts[2] = parts[3];
  ck_assert_ptr_null (wc_register_parse_parts (9, parts, 3, &error));
  ck_assert_str_eq (error.message, "p4:2: revision: unknown key");
}
END_TEST

/*
 * Guards against targets of an evacuated domain that get new work, whether their host is leaving as well or not, and
 * against an evacuation that outlasts the revision with the rule.
 */
START_TEST (test_evacuated_domains)
{
  static const char hosts[] =
      "{\"name\": \"h1\", \"domain\": \"d1\", \"targets\": [{\"service\": \"a\", \"address\": \"127.0.0.1:1\"}]},"
      "{\"name\": \"h2\", \"domain\": \"d1\", \"targets\": [{\"service\": \"a\", \"address\": \"127.0.0.1:2\"}]},"
      "{\"name\": \"h3\", \"domain\": \"d2\", \"targets\": [{\"service\": \"a\", \"address\": \"127.0.0.1:3\"}]}";
  static const struct
  {
    const char *rules;
    bool        leaving[3];
  } cases[] = {
    { "{\"leaving\": [\"h1\"]}", { true, false, false } },
    { "{\"leaving\": [\"h1\"], \"evacuated\": [\"d1\"]}", { true, true, false } },
    { "{\"evacuated\": [\"d2\", \"d1\"]}", { true, true, true } },
    { "{\"evacuated\": []}", { false, false, false } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char           *text = g_strdup_printf (HEAD "\"hosts\": [%s], \"rules\": %s}", hosts, cases[i].rules);
      WcError         error;
      WcRegister     *reg = wc_register_parse ("r", text, strlen (text), &error);
      size_t          count;
      const WcTarget *targets;

      ck_assert_msg (reg != NULL, "%s", error.message);
      targets = wc_register_get_targets (reg, &count);
      ck_assert_uint_eq (count, 3);
      for (size_t t = 0; t < count; t++)
        ck_assert (targets[t].leaving == cases[i].leaving[targets[t].address.port - 1]);
      wc_register_unref (reg);
      g_free (text);
    }
}
END_TEST

/* Guards against limits that are checked in each part but not over all parts. */
START_TEST (test_too_many_over_parts)
{
  GString       *texts[2];
  WcRegisterPart parts[2] = { { "p1", NULL, 0 }, { "p2", NULL, 0 } };
  WcError        error;

  for (int i = 0; i < 2; i++)
    {
      texts[i] = g_string_new ("{\"domains\": [");
      for (int j = 0; j < 40; j++)
        g_string_append_printf (texts[i], "%s\"d%d\"", j > 0 ? ", " : "", 40 * i + j);
      g_string_append (texts[i], "]}");
      parts[i].text = texts[i]->str;
      parts[i].size_bytes = texts[i]->len;
    }
  ck_assert_ptr_null (wc_register_parse_parts (1, parts, 2, &error));
  ck_assert_str_eq (error.message, "p2:1: domains: has more than 64 elements over all parts");
  for (int i = 0; i < 2; i++)
    g_string_free (texts[i], TRUE);
}
END_TEST

/* Guards against unbounded memory use: texts above the size limits must not be parsed. */
START_TEST (test_too_large)
{
  char          *text = g_malloc (WC_REGISTER_MAX_BYTES + 1);
  WcRegisterPart part = { "p", text, WC_REGISTER_PART_MAX_BYTES + 1 };
  WcError        error;

  memset (text, ' ', WC_REGISTER_MAX_BYTES + 1);
  ck_assert_ptr_null (wc_register_parse ("r", text, WC_REGISTER_MAX_BYTES + 1, &error));
  ck_assert_int_eq (error.status, WC_STATUS_TOO_LARGE);
  ck_assert_str_eq (error.message, "r:1: the register has more than 4000000 bytes");
  ck_assert_ptr_null (wc_register_parse_parts (1, &part, 1, &error));
  ck_assert_int_eq (error.status, WC_STATUS_TOO_LARGE);
  ck_assert_str_eq (error.message, "p:1: the part has more than 1000000 bytes");
  g_free (text);
}
END_TEST

/* Guards against two services with the same identifier: packets of one would reach the other. */
START_TEST (test_collision)
{
  GHashTable *names = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  const char *other = NULL;
  char       *name = NULL;
  char       *text;
  WcError     error;

  /* By the birthday bound, a collision of 32-bit hashes is expected after about 2^16 names. The search is
   * deterministic. */
  for (int i = 0; !other && i < 1000000; i++)
    {
      name = g_strdup_printf ("n%d", i);
      other = g_hash_table_lookup (names, GUINT_TO_POINTER (wc_name_id32 (name)));
      if (!other)
        g_hash_table_insert (names, GUINT_TO_POINTER (wc_name_id32 (name)), name);
    }
  ck_assert_ptr_nonnull (other);
  text = g_strdup_printf ("{\"revision\": 1, \"domains\": [\"d\"], \"services\": [\n{\"name\": \"%s\"},\n"
                          "{\"name\": \"%s\"}], " KEYS "}",
                          other, name);
  ck_assert_ptr_null (wc_register_parse ("r", text, strlen (text), &error));
  ck_assert_ptr_nonnull (strstr (error.message, "r:3: services: identifier of "));
  ck_assert_ptr_nonnull (strstr (error.message, "collides"));
  g_free (text);
  g_free (name);
  g_hash_table_destroy (names);
}
END_TEST

/* Guards against lookups that do not find entries of a large register. */
START_TEST (test_large_register)
{
  GString *text = g_string_new ("{\"revision\": 1, \"domains\": [\"d0\", \"d1\", \"d2\"], " KEYS ", \"services\": [");
  WcRegister *reg;
  WcError     error;
  size_t      count;
  size_t      found = 0;
  char        name[32];

  for (int i = 0; i < 300; i++)
    g_string_append_printf (text, "%s{\"name\": \"s%d\"}", i > 0 ? "," : "", i);
  g_string_append (text, "], \"hosts\": [");
  for (int i = 0; i < 900; i++)
    g_string_append_printf (text,
                            "%s{\"name\": \"h%d\", \"domain\": \"d%d\", \"targets\": [{\"service\": \"s%d\", "
                            "\"address\": \"10.0.0.1:%d\"}]}",
                            i > 0 ? "," : "", i, i % 3, i / 3, i + 1);
  g_string_append (text, "]}");
  reg = wc_register_parse ("r", text->str, text->len, &error);
  ck_assert_msg (reg != NULL, "%s", error.message);
  wc_register_get_targets (reg, &count);
  ck_assert_uint_eq (count, 900);
  for (int i = 0; i < 300; i++)
    {
      g_snprintf (name, sizeof name, "s%d", i);
      ck_assert_str_eq (wc_register_find_service (reg, wc_name_id32 (name))->name, name);
      for (int j = 0; j < 3; j++)
        {
          const WcTarget *target;
          char            domain[8];

          g_snprintf (domain, sizeof domain, "d%d", j);
          target = wc_register_get_service_targets (reg, wc_name_id32 (name), wc_name_id32 (domain), &count);
          ck_assert_uint_eq (count, 1);
          ck_assert_ptr_eq (wc_register_find_target (reg, target->id), target);
          ck_assert_uint_eq (target->address.port, (unsigned)(3 * i + j + 1));
          found += count;
        }
    }
  ck_assert_uint_eq (found, 900);
  wc_register_unref (reg);
  g_string_free (text, TRUE);
}
END_TEST

/* Guards against sample registers that are invalid; operators copy them. */
START_TEST (test_samples)
{
  static const struct
  {
    const char *path;
    const char *feed;
  } samples[] = { { "samples/register-sinos.json", "pattern-delivery" },
                  { "samples/register-kavango.json", "cut-patterns" } };
  WcRegister *reg;
  WcError     error;
  char       *text;
  gsize       size_bytes;
  size_t      count;

  ck_assert (g_file_get_contents (samples[_i].path, &text, &size_bytes, NULL));
  reg = wc_register_parse (samples[_i].path, text, size_bytes, &error);
  ck_assert_msg (reg != NULL, "%s", error.message);
  wc_register_get_domains (reg, &count);
  ck_assert_uint_eq (count, 3);
  wc_register_get_services (reg, &count);
  ck_assert_uint_eq (count, 2);
  wc_register_get_service_targets (reg, wc_name_id32 (samples[_i].feed), 0, &count);
  ck_assert_uint_eq (count, 4);
  wc_register_get_targets (reg, &count);
  ck_assert_uint_eq (count, 14 + 4);
  wc_register_unref (reg);
  g_free (text);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("register");

  tcase_add_loop_test (cases, test_invalid_registers, 0, G_N_ELEMENTS (INVALID_CASES));
  tcase_add_test (cases, test_fields);
  tcase_add_test (cases, test_truncated);
  tcase_add_test (cases, test_corrupted);
  tcase_add_test (cases, test_parts);
  tcase_add_test (cases, test_evacuated_domains);
  tcase_add_test (cases, test_too_many_over_parts);
  tcase_add_test (cases, test_too_large);
  tcase_add_test (cases, test_collision);
  tcase_add_test (cases, test_large_register);
  tcase_add_loop_test (cases, test_samples, 0, 2);
  return wc_test_run_case ("register", cases);
}
