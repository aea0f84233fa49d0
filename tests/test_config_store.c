#include <check.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include <wigeoncart/config_store.h>

#include "core/config_head.h"
#include "test_main.h"

#define KEYS "\"keys\": [{\"epoch\": 1, \"secret\": \"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"}]"

/* Parts of a register; BASE is valid together with HOSTS_1 or HOSTS_2. */
#define BASE "{\"domains\": [\"d\"], \"services\": [{\"name\": \"a\"}], " KEYS "}"
#define HOSTS_1 "{\"hosts\": [{\"name\": \"h1\", \"domain\": \"d\", \"targets\": []}]}"
#define HOSTS_2 "{\"hosts\": [{\"name\": \"h2\", \"domain\": \"d\", \"targets\": []}]}"
#define INVALID_HOSTS "{\"hosts\": [\n{\"name\": \"h1\", \"domain\": \"elsewhere\", \"targets\": []}]}"

static char    *make_head (uint64_t revision, const char *base, const char *hosts);
static WcStatus offer (WcConfigStore *store, const char *head);
static WcStatus offer_part (WcConfigStore *store, const char *part);
static WcStatus publish (WcConfigStore *store, uint64_t revision, const char *base, const char *hosts);
static size_t   count_missing (const WcConfigStore *store);

/* Guards against a register that is put in force before all of its parts are stored. */
START_TEST (test_activate_when_complete)
{
  WcConfigStore *store = wc_config_store_new ();
  char          *head = make_head (3, BASE, HOSTS_1);
  uint8_t        digest[WC_DIGEST_BYTES];
  const char    *key;
  size_t         size_bytes;
  WcError        error;

  ck_assert_ptr_null (wc_config_store_get_register (store));
  ck_assert_uint_eq (wc_config_store_get_id (store)->revision, 0);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_NOT_FOUND);
  ck_assert_ptr_null (wc_config_store_get_head (store, &size_bytes));

  ck_assert_int_eq (offer (store, head), WC_STATUS_OK);
  ck_assert_uint_eq (count_missing (store), 2);
  ck_assert (wc_config_store_get_missing (store, 0, &key, digest));
  ck_assert_str_eq (key, "base");
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_NOT_FOUND);
  ck_assert_int_eq (offer_part (store, HOSTS_1), WC_STATUS_OK);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_NOT_FOUND);
  ck_assert_int_eq (offer_part (store, BASE), WC_STATUS_OK);
  ck_assert_uint_eq (count_missing (store), 0);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_OK);
  ck_assert_uint_eq (wc_register_get_revision (wc_config_store_get_register (store)), 3);
  ck_assert_uint_eq (wc_config_store_get_id (store)->revision, 3);
  ck_assert_mem_eq (wc_config_store_get_head (store, &size_bytes), head, strlen (head));
  ck_assert_uint_eq (size_bytes, strlen (head));
  ck_assert_mem_eq (wc_config_store_find_part (store, digest, &size_bytes), BASE, strlen (BASE));
  g_free (head);
  wc_config_store_delete (store);
}
END_TEST

/* Guards against unchanged parts that are fetched again, and against parts that are never freed. */
START_TEST (test_unchanged_parts_kept)
{
  WcConfigStore *store = wc_config_store_new ();
  char          *head;
  uint8_t        digest[WC_DIGEST_BYTES];
  uint8_t        old_digest[WC_DIGEST_BYTES];
  const char    *key;
  size_t         size_bytes;
  WcError        error;

  head = make_head (1, BASE, HOSTS_1);
  ck_assert_int_eq (offer (store, head), WC_STATUS_OK);
  g_free (head);
  ck_assert (wc_config_store_get_missing (store, 1, &key, old_digest));
  ck_assert_int_eq (offer_part (store, BASE), WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, HOSTS_1), WC_STATUS_OK);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_OK);

  head = make_head (2, BASE, HOSTS_2);
  ck_assert_int_eq (offer (store, head), WC_STATUS_OK);
  ck_assert_uint_eq (count_missing (store), 1);
  ck_assert (wc_config_store_get_missing (store, 0, &key, digest));
  ck_assert_str_eq (key, "hosts");
  ck_assert_ptr_nonnull (wc_config_store_find_part (store, old_digest, &size_bytes));
  ck_assert_int_eq (offer_part (store, HOSTS_2), WC_STATUS_OK);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_OK);
  ck_assert_ptr_nonnull (wc_config_store_find_part (store, digest, &size_bytes));
  g_free (head);

  /* The part of an earlier head is kept for peers that still have it in force, until two newer heads were replaced. */
  ck_assert_ptr_nonnull (wc_config_store_find_part (store, old_digest, &size_bytes));
  ck_assert_int_eq (publish (store, 3, BASE, HOSTS_2), WC_STATUS_OK);
  ck_assert_ptr_nonnull (wc_config_store_find_part (store, old_digest, &size_bytes));
  ck_assert_int_eq (publish (store, 4, BASE, HOSTS_2), WC_STATUS_OK);
  ck_assert_ptr_null (wc_config_store_find_part (store, old_digest, &size_bytes));
  ck_assert_ptr_nonnull (wc_config_store_find_part (store, digest, &size_bytes));
  wc_config_store_delete (store);
}
END_TEST

/* Guards against a delta whose base is a part with another key, or belongs to a head that is not stored. */
START_TEST (test_base_digest)
{
  WcConfigStore *store = wc_config_store_new ();
  WcConfigId     first;
  uint8_t        hosts_1[WC_DIGEST_BYTES];
  uint8_t        hosts_2[WC_DIGEST_BYTES];
  uint8_t        base[WC_DIGEST_BYTES];
  uint8_t        found[WC_DIGEST_BYTES];
  size_t         size_bytes;

  wc_config_digest (BASE, strlen (BASE), base);
  wc_config_digest (HOSTS_1, strlen (HOSTS_1), hosts_1);
  wc_config_digest (HOSTS_2, strlen (HOSTS_2), hosts_2);
  ck_assert_int_eq (publish (store, 1, BASE, HOSTS_1), WC_STATUS_OK);
  first = *wc_config_store_get_id (store);
  ck_assert_int_eq (publish (store, 2, BASE, HOSTS_2), WC_STATUS_OK);
  ck_assert (wc_config_store_find_base_digest (store, first.digest, WC_DIGEST_BYTES, hosts_2, found));
  ck_assert_mem_eq (found, hosts_1, WC_DIGEST_BYTES);
  ck_assert (wc_config_store_find_base_digest (store, first.digest, WC_DIGEST_BYTES, base, found));
  ck_assert_mem_eq (found, base, WC_DIGEST_BYTES);
  /* A part that the head in force does not list, and heads that are not stored. */
  ck_assert (!wc_config_store_find_base_digest (store, first.digest, WC_DIGEST_BYTES, hosts_1, found));
  ck_assert (!wc_config_store_find_base_digest (store, base, WC_DIGEST_BYTES, hosts_2, found));
  ck_assert (!wc_config_store_find_base_digest (store, first.digest, 3, hosts_2, found));
  ck_assert_ptr_nonnull (wc_config_store_find_head (store, first.digest, WC_DIGEST_BYTES, &size_bytes));
  ck_assert_ptr_null (wc_config_store_find_head (store, base, WC_DIGEST_BYTES, &size_bytes));
  ck_assert_int_eq (publish (store, 3, BASE, HOSTS_1), WC_STATUS_OK);
  ck_assert_int_eq (publish (store, 4, BASE, HOSTS_2), WC_STATUS_OK);
  ck_assert_ptr_null (wc_config_store_find_head (store, first.digest, WC_DIGEST_BYTES, &size_bytes));
  wc_config_store_delete (store);
}
END_TEST

/* Guards against a configuration that reverts when an older head arrives late. */
START_TEST (test_late_old_head)
{
  WcConfigStore *store = wc_config_store_new ();
  char          *same = make_head (5, BASE, HOSTS_1);
  char          *older = make_head (4, BASE, HOSTS_2);
  WcError        error;

  ck_assert_int_eq (publish (store, 5, BASE, HOSTS_1), WC_STATUS_OK);
  ck_assert_int_eq (offer (store, same), WC_STATUS_STALE);
  ck_assert_int_eq (offer (store, older), WC_STATUS_STALE);
  ck_assert_uint_eq (count_missing (store), 0);
  ck_assert_int_eq (offer_part (store, HOSTS_2), WC_STATUS_MISMATCH);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_NOT_FOUND);
  ck_assert_uint_eq (wc_config_store_get_id (store)->revision, 5);
  ck_assert_uint_eq (wc_config_store_get_newest_id (store)->revision, 5);
  g_free (same);
  g_free (older);
  wc_config_store_delete (store);
}
END_TEST

/* Guards against instances with different configurations after two were published with the same revision number. */
START_TEST (test_same_revision)
{
  static const char *const hosts[] = { HOSTS_1, HOSTS_2 };
  WcConfigStore           *stores[2];
  WcStatus                 second[2];

  for (int i = 0; i < 2; i++)
    {
      stores[i] = wc_config_store_new ();
      ck_assert_int_eq (publish (stores[i], 6, BASE, hosts[i]), WC_STATUS_OK);
      second[i] = publish (stores[i], 6, BASE, hosts[1 - i]);
    }
  ck_assert_int_eq (wc_config_id_compare (wc_config_store_get_id (stores[0]), wc_config_store_get_id (stores[1])), 0);
  /* One store replaced its configuration by that of the higher digest, which the other had already. */
  ck_assert (second[0] != second[1]);
  ck_assert_int_eq (second[0] + second[1], WC_STATUS_OK + WC_STATUS_STALE);
  for (int i = 0; i < 2; i++)
    wc_config_store_delete (stores[i]);
}
END_TEST

/* Guards against an invalid revision that replaces a valid one, or blocks the corrected revision after it. */
START_TEST (test_rejected_then_valid)
{
  WcConfigStore *store = wc_config_store_new ();
  char          *invalid = make_head (2, BASE, INVALID_HOSTS);
  WcRegister    *reg;
  WcConfigId     id;

  ck_assert_ptr_null (wc_config_store_get_rejection (store, &id));
  ck_assert_int_eq (publish (store, 1, BASE, HOSTS_1), WC_STATUS_OK);
  reg = wc_config_store_get_register (store);
  ck_assert_int_eq (publish (store, 2, BASE, INVALID_HOSTS), WC_STATUS_INVALID);
  ck_assert_ptr_eq (wc_config_store_get_register (store), reg);
  ck_assert_uint_eq (wc_config_store_get_id (store)->revision, 1);
  ck_assert_uint_eq (wc_config_store_get_newest_id (store)->revision, 2);
  ck_assert_str_eq (wc_config_store_get_rejection (store, &id), "hosts:2: domain: unknown domain 'elsewhere'");
  ck_assert_uint_eq (id.revision, 2);
  ck_assert_int_eq (offer (store, invalid), WC_STATUS_STALE);
  ck_assert_uint_eq (count_missing (store), 0);

  ck_assert_int_eq (publish (store, 3, BASE, HOSTS_2), WC_STATUS_OK);
  ck_assert_uint_eq (wc_config_store_get_id (store)->revision, 3);
  ck_assert_int_eq (offer (store, invalid), WC_STATUS_STALE);
  g_free (invalid);
  wc_config_store_delete (store);
}
END_TEST

/* Guards against an older complete revision that is not put in force when a newer one is rejected at the same time. */
START_TEST (test_rejected_with_older_complete)
{
  WcConfigStore *store = wc_config_store_new ();
  char          *valid = make_head (1, BASE, HOSTS_1);
  char          *invalid = make_head (2, BASE, INVALID_HOSTS);
  WcConfigId     id;
  WcError        error;

  ck_assert_int_eq (offer (store, valid), WC_STATUS_OK);
  ck_assert_int_eq (offer (store, invalid), WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, HOSTS_1), WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, INVALID_HOSTS), WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, BASE), WC_STATUS_OK);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_OK);
  ck_assert_uint_eq (wc_config_store_get_id (store)->revision, 1);
  ck_assert_ptr_nonnull (wc_config_store_get_rejection (store, &id));
  ck_assert_uint_eq (id.revision, 2);
  g_free (valid);
  g_free (invalid);
  wc_config_store_delete (store);
}
END_TEST

/* Guards against a configuration that depends on the order in which heads arrive. */
START_TEST (test_any_order)
{
  /* Revision 3 is invalid and the parts of revision 4 are missing, so revision 2 is the newest valid one. */
  static const struct
  {
    uint64_t    revision;
    const char *hosts;
  } steps[] = { { 1, HOSTS_1 }, { 2, HOSTS_2 }, { 3, INVALID_HOSTS }, { 4, NULL } };
  static const uint8_t orders[][4] = { { 0, 1, 2, 3 }, { 3, 2, 1, 0 }, { 2, 0, 3, 1 }, { 1, 3, 0, 2 }, { 3, 1, 2, 0 } };
  WcConfigStore       *store = wc_config_store_new ();

  for (int i = 0; i < 4; i++)
    {
      uint64_t    revision = steps[orders[_i][i]].revision;
      const char *hosts = steps[orders[_i][i]].hosts;
      uint64_t    before = wc_config_store_get_id (store)->revision;

      if (hosts)
        publish (store, revision, BASE, hosts);
      else
        {
          char *head = make_head (revision, BASE, "{\"hosts\": []}");

          offer (store, head);
          g_free (head);
        }
      ck_assert_uint_ge (wc_config_store_get_id (store)->revision, before);
    }
  ck_assert_uint_eq (wc_config_store_get_id (store)->revision, 2);
  ck_assert_uint_eq (wc_config_store_get_newest_id (store)->revision, 4);
  wc_config_store_delete (store);
}
END_TEST

/* Guards against accepting a part that was modified in transit or published with the wrong digest. */
START_TEST (test_wrong_digest)
{
  WcConfigStore *store = wc_config_store_new ();
  char          *head = make_head (1, BASE, HOSTS_1);
  char          *large = g_malloc0 (WC_REGISTER_PART_MAX_BYTES + 1);
  WcError        error;

  ck_assert_int_eq (offer (store, head), WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, BASE), WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, HOSTS_2), WC_STATUS_MISMATCH);
  ck_assert_int_eq (offer_part (store, HOSTS_1 " "), WC_STATUS_MISMATCH);
  ck_assert_int_eq (wc_config_store_offer_part (store, large, WC_REGISTER_PART_MAX_BYTES + 1, &error),
                    WC_STATUS_TOO_LARGE);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_NOT_FOUND);
  ck_assert_uint_eq (count_missing (store), 1);
  ck_assert_int_eq (offer_part (store, HOSTS_1), WC_STATUS_OK);
  ck_assert_int_eq (wc_config_store_activate (store, &error), WC_STATUS_OK);
  g_free (head);
  g_free (large);
  wc_config_store_delete (store);
}
END_TEST

/* Guards against a revision with a malformed part that is fetched repeatedly. */
START_TEST (test_malformed_part)
{
  WcConfigStore *store = wc_config_store_new ();

  ck_assert_int_eq (publish (store, 1, BASE, "{\"hosts\":"), WC_STATUS_PARSE);
  ck_assert_int_eq (publish (store, 1, BASE, "{\"hosts\":"), WC_STATUS_STALE);
  ck_assert_ptr_null (wc_config_store_get_register (store));
  wc_config_store_delete (store);
}
END_TEST

#define DIGEST "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const struct
{
  const char *text;
  WcStatus    status;
  const char *message;
} MALFORMED_HEADS[] = {
  { "", WC_STATUS_PARSE, "head:1: not valid JSON" },
  { "{\"revision\": 1, \"parts\": [", WC_STATUS_PARSE, "head:1: not valid JSON" },
  { "{\"parts\": [{\"key\": \"a\", \"digest\": \"" DIGEST "\"}]}", WC_STATUS_INVALID, "head:1: revision: missing" },
  { "{\"revision\": 1}", WC_STATUS_INVALID, "head:1: parts: missing" },
  { "{\"revision\": 1, \"parts\": []}", WC_STATUS_INVALID, "head:1: parts: needs at least 1 element" },
  { "{\"revision\": 1, \"parts\": [7]}", WC_STATUS_INVALID, "head:1: parts: must be an object" },
  { "{\"revision\": 0, \"parts\": []}", WC_STATUS_INVALID, "head:1: revision: must be 1 to" },
  { "{\"revision\": 1, \"parts\": [{\"key\": \"a/b\", \"digest\": \"" DIGEST "\"}]}", WC_STATUS_INVALID,
    "head:1: key: must be 1 to 63 letters" },
  { "{\"revision\": 1, \"parts\": [{\"key\": \"head\", \"digest\": \"" DIGEST "\"}]}", WC_STATUS_INVALID,
    "head:1: key: 'head' is reserved" },
  { "{\"revision\": 1, \"parts\": [{\"key\": \"a\", \"digest\": \"" DIGEST
    "\"},\n{\"key\": \"a\", \"digest\": \"" DIGEST "\"}]}",
    WC_STATUS_INVALID, "head:2: key: 'a' is used twice" },
  { "{\"revision\": 1, \"parts\": [{\"key\": \"a\", \"digest\": \"0123\"}]}", WC_STATUS_INVALID,
    "head:1: digest: must be 64 lower-case hexadecimal digits" },
};

/* Guards against a malformed head that changes the configuration in force or the candidates. */
START_TEST (test_malformed_head)
{
  WcConfigStore *store = wc_config_store_new ();
  const char    *text = MALFORMED_HEADS[_i].text;
  WcError        error;

  ck_assert_int_eq (wc_config_store_offer_head (store, text, strlen (text), &error), MALFORMED_HEADS[_i].status);
  ck_assert_msg (strstr (error.message, MALFORMED_HEADS[_i].message), "'%s' is not in '%s'",
                 MALFORMED_HEADS[_i].message, error.message);
  ck_assert_int_eq (wc_config_store_offer_head (store, text, strlen (text), NULL), MALFORMED_HEADS[_i].status);
  ck_assert_uint_eq (wc_config_store_get_newest_id (store)->revision, 0);
  ck_assert_uint_eq (count_missing (store), 0);
  wc_config_store_delete (store);
}
END_TEST

/* Guards against unbounded memory use when many heads arrive without their parts. */
START_TEST (test_max_candidates)
{
  WcConfigStore *store = wc_config_store_new ();

  for (uint64_t revision = 1; revision <= 100; revision++)
    {
      char *hosts =
          g_strdup_printf ("{\"hosts\": [], \"customers\": [{\"name\": \"c%d\", \"worth\": 1}]}", (int)revision);
      char *head = make_head (revision, BASE, hosts);

      ck_assert_int_eq (offer (store, head), WC_STATUS_OK);
      ck_assert_uint_le (count_missing (store), 5);
      g_free (head);
      g_free (hosts);
    }
  ck_assert_int_eq (publish (store, 1, BASE, HOSTS_1), WC_STATUS_STALE);
  ck_assert_int_eq (publish (store, 101, BASE, HOSTS_1), WC_STATUS_OK);
  ck_assert_uint_eq (count_missing (store), 0);
  wc_config_store_delete (store);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("config_store");

  tcase_add_test (cases, test_activate_when_complete);
  tcase_add_test (cases, test_unchanged_parts_kept);
  tcase_add_test (cases, test_base_digest);
  tcase_add_test (cases, test_late_old_head);
  tcase_add_test (cases, test_same_revision);
  tcase_add_test (cases, test_rejected_then_valid);
  tcase_add_test (cases, test_rejected_with_older_complete);
  tcase_add_loop_test (cases, test_any_order, 0, 5);
  tcase_add_test (cases, test_wrong_digest);
  tcase_add_test (cases, test_malformed_part);
  tcase_add_loop_test (cases, test_malformed_head, 0, G_N_ELEMENTS (MALFORMED_HEADS));
  tcase_add_test (cases, test_max_candidates);
  return wc_test_run_case ("config_store", cases);
}

/* local functions */

static char *
make_head (uint64_t revision, const char *base, const char *hosts)
{
  const char *texts[] = { base, hosts };
  char        digests[2][2 * WC_DIGEST_BYTES + 1];

  for (int i = 0; i < 2; i++)
    {
      uint8_t digest[WC_DIGEST_BYTES];

      crypto_generichash (digest, sizeof digest, (const uint8_t *)texts[i], strlen (texts[i]), NULL, 0);
      sodium_bin2hex (digests[i], sizeof digests[i], digest, sizeof digest);
    }
  return g_strdup_printf ("{\"revision\": %" G_GUINT64_FORMAT ", \"parts\": [{\"key\": \"base\", \"digest\": \"%s\"}, "
                          "{\"key\": \"hosts\", \"digest\": \"%s\"}]}",
                          revision, digests[0], digests[1]);
}

static WcStatus
offer (WcConfigStore *store, const char *head)
{
  WcError error;

  return wc_config_store_offer_head (store, head, strlen (head), &error);
}

static WcStatus
offer_part (WcConfigStore *store, const char *part)
{
  WcError error;

  return wc_config_store_offer_part (store, part, strlen (part), &error);
}

/* Offers a head and its parts, and activates the newest candidate. Return: STALE, or the status of the activation. */
static WcStatus
publish (WcConfigStore *store, uint64_t revision, const char *base, const char *hosts)
{
  char    *head = make_head (revision, base, hosts);
  WcStatus status = offer (store, head);
  WcError  error;

  g_free (head);
  if (status == WC_STATUS_STALE)
    return status;
  ck_assert_int_eq (status, WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, base), WC_STATUS_OK);
  ck_assert_int_eq (offer_part (store, hosts), WC_STATUS_OK);
  return wc_config_store_activate (store, &error);
}

static size_t
count_missing (const WcConfigStore *store)
{
  uint8_t     digest[WC_DIGEST_BYTES];
  const char *key;
  size_t      count = 0;

  while (wc_config_store_get_missing (store, count, &key, digest))
    count++;
  return count;
}
