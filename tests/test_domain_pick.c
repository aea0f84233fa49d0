#include <wigeoncart/ownership.h>

#include <string.h>

#include <glib.h>

#include <wigeoncart/name_id.h>

#include "test_main.h"

enum
{
  DRAWS = 4096,
  DOMAINS = 3
};

#define TARGET(service, port, slots)                                                                                   \
  "{\"service\": \"" service "\", \"address\": \"127.0.0.1:" port "\", \"slots\": " slots                              \
  ", \"max_connections\": 16, \"cold_start_ms\": 0}"
#define HOST(name, domain, targets) "{\"name\": \"" name "\", \"domain\": \"" domain "\", \"targets\": [" targets "]}"

/* Service s has 4 slots in a, 2 in b and 6 in c; service t has 2 in b. */
static const char REGISTER[] =
    "{\"revision\": 1, \"domains\": [\"a\", \"b\", \"c\"], \"services\": [{\"name\": \"s\"}, {\"name\": \"t\"}],"
    "\"hosts\": [" HOST ("h1", "a", TARGET ("s", "1", "2")) "," HOST ("h2", "a", TARGET ("s", "2", "2")) "," HOST (
        "h3", "b",
        TARGET ("s", "3",
                "2")) "," HOST ("h4", "c",
                                TARGET ("s", "4",
                                        "6")) "," HOST ("h5", "b",
                                                        TARGET (
                                                            "t", "5",
                                                            "2")) "],"
                                                                  "\"keys\": [{\"epoch\": 1, \"secret\": "
                                                                  "\"SW63tU1Uz7KkWdLvJkeBByKDa5L3md5wVLkdxb13VRk=\"}],"
                                                                  "\"rules\": {\"leaving\": [%s], \"weights\": {%s}}}";

static const char *const NAMES[DOMAINS] = { "a", "b", "c" };

static WcRegister *
make_register (const char *leaving, const char *weights)
{
  char       *text = g_strdup_printf (REGISTER, leaving, weights);
  WcError     error = { 0 };
  WcRegister *reg = wc_register_parse ("test", text, strlen (text), &error);

  ck_assert_msg (reg != NULL, "%s", error.message);
  g_free (text);
  return reg;
}

/* For each domain, as many live members as in @counts and one that is leaving. */
static WcMemberTable *
make_members (const unsigned counts[DOMAINS])
{
  WcMember members[32] = { 0 };
  size_t   count = 0;

  for (unsigned domain = 0; domain < DOMAINS; domain++)
    for (unsigned i = 0; i <= counts[domain]; i++, count++)
      members[count] = (WcMember){ .id = count + 1,
                                   .domain = wc_name_id32 (NAMES[domain]),
                                   .workers = 1,
                                   .state = i < counts[domain] ? WC_MEMBER_LIVE : WC_MEMBER_LEAVING };
  return wc_member_table_new (members, count);
}

static const WcDomainShare *
find_share (const WcDomainShares *shares, const char *domain)
{
  for (size_t i = 0; i < shares->count; i++)
    if (shares->shares[i].domain == wc_name_id32 (domain))
      return &shares->shares[i];
  ck_abort_msg ("domain %s has no share", domain);
  return NULL;
}

/* Computes the share of the requests arriving in @domain that each domain gets. */
static void
count_picks (const WcMemberTable *table, const WcRegister *reg, const char *service, const char *domain,
             double share[DOMAINS])
{
  memset (share, 0, DOMAINS * sizeof *share);
  for (uint32_t i = 0; i < DRAWS; i++)
    {
      uint32_t picked = wc_ownership_pick_domain (table, reg, wc_name_id32 (service), wc_name_id32 (domain),
                                                  (uint32_t)(((uint64_t)i << 32) / DRAWS));
      unsigned index = 0;

      while (index < DOMAINS && wc_name_id32 (NAMES[index]) != picked)
        index++;
      ck_assert_uint_lt (index, DOMAINS);
      share[index] += 1.0 / DRAWS;
    }
}

/* Guards against counting slots of other services or leaving hosts, ignoring weights, or counting members that are not
 * live. */
START_TEST (test_shares)
{
  static const unsigned COUNTS[DOMAINS] = { 3, 2, 0 };
  WcMemberTable        *table = make_members (COUNTS);
  WcRegister           *reg = make_register ("\"h2\"", "\"h4\": 50");
  WcDomainShares        shares;

  wc_ownership_shares_init (&shares, table, reg, wc_name_id32 ("s"));
  ck_assert_uint_eq (shares.count, DOMAINS);
  ck_assert_uint_eq (find_share (&shares, "a")->slots, 2 * 100);
  ck_assert_uint_eq (find_share (&shares, "b")->slots, 2 * 100);
  ck_assert_uint_eq (find_share (&shares, "c")->slots, 6 * 50);
  ck_assert_uint_eq (find_share (&shares, "a")->instances, 3);
  ck_assert_uint_eq (find_share (&shares, "c")->instances, 0);
  wc_ownership_shares_init (&shares, table, reg, wc_name_id32 ("t"));
  ck_assert_uint_eq (find_share (&shares, "a")->slots, 0);
  ck_assert_uint_eq (find_share (&shares, "b")->slots, 200);
  wc_register_unref (reg);
  wc_member_table_unref (table);
}
END_TEST

/* Guards against a domain that keeps more requests than its share of the slots, or sends away requests within it. */
START_TEST (test_picks_by_slots)
{
  static const unsigned COUNTS[DOMAINS] = { 2, 2, 2 };
  WcMemberTable        *table = make_members (COUNTS);
  WcRegister           *reg = make_register ("", "");
  double                share[DOMAINS];

  /* Each domain receives a third of the requests; of 12 slots, a has 4, b 2 and c 6. */
  count_picks (table, reg, "s", "a", share);
  ck_assert_double_eq_tol (share[0], 1, 1e-9);
  count_picks (table, reg, "s", "b", share);
  ck_assert_double_eq_tol (share[1], 0.5, 0.001);
  ck_assert_double_eq_tol (share[2], 0.5, 0.001);
  count_picks (table, reg, "s", "c", share);
  ck_assert_double_eq_tol (share[2], 1, 1e-9);
  wc_register_unref (reg);
  wc_member_table_unref (table);
}
END_TEST

/* Guards against keeping requests in a domain whose hosts are all leaving, or sending them to one without live
 * instances. */
START_TEST (test_domains_out_of_service)
{
  static const unsigned COUNTS[DOMAINS] = { 2, 2, 0 };
  WcMemberTable        *table = make_members (COUNTS);
  WcRegister           *reg = make_register ("\"h1\", \"h2\"", "");
  double                share[DOMAINS];

  count_picks (table, reg, "s", "a", share);
  ck_assert_double_eq_tol (share[1], 1, 1e-9);
  count_picks (table, reg, "t", "a", share);
  ck_assert_double_eq_tol (share[1], 1, 1e-9);
  count_picks (table, reg, "s", "b", share);
  ck_assert_double_eq_tol (share[1], 1, 1e-9);
  wc_register_unref (reg);
  wc_member_table_unref (table);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_shares);
  tcase_add_test (tests, test_picks_by_slots);
  tcase_add_test (tests, test_domains_out_of_service);
}

int
main (void)
{
  return wc_test_run ("domain_pick", add_tests);
}
