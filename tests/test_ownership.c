#include <wigeoncart/ownership.h>

#include "test_main.h"

#include <glib.h>
#include <string.h>

enum
{
  MEMBERS = 8,
  KEYS = 20000
};

static WcMemberTable *
new_table (uint64_t first_id, size_t count, uint64_t missing)
{
  WcMember members[64] = { 0 };
  size_t   used = 0;

  for (size_t i = 0; i < count; i++)
    if (first_id + i != missing)
      members[used++] = (WcMember){ .id = first_id + i, .domain = 7, .state = WC_MEMBER_LIVE };
  return wc_member_table_new (members, used);
}

/* Guards against changes of many owners when a member joins: a flow that gets a new owner loses its tickets. */
START_TEST (test_join)
{
  WcMemberTable *before = new_table (100, MEMBERS - 1, 0);
  WcMemberTable *after = new_table (100, MEMBERS, 0);
  uint32_t       moved = 0;

  for (uint32_t key = 1; key <= KEYS; key++)
    {
      const WcMember *old_owner = wc_ownership_find_owner (before, 7, key, 0);
      const WcMember *new_owner = wc_ownership_find_owner (after, 7, key, 0);

      if (old_owner->id == new_owner->id)
        continue;
      ck_assert_uint_eq (new_owner->id, 100 + MEMBERS - 1);
      moved++;
    }
  /* The expected 1/8 of the keys, plus three standard deviations. */
  ck_assert_uint_gt (moved, KEYS / MEMBERS - 141);
  ck_assert_uint_lt (moved, KEYS / MEMBERS + 141);
  wc_member_table_unref (before);
  wc_member_table_unref (after);
}
END_TEST

/* Guards against two instances with different views that disagree on more shards than those of the differing
 * members. */
START_TEST (test_differing_views)
{
  WcMemberTable *left = new_table (100, MEMBERS, 103);
  WcMemberTable *right = new_table (100, MEMBERS, 105);

  for (uint32_t key = 1; key <= KEYS; key++)
    {
      const WcMember *a = wc_ownership_find_owner (left, 7, key, 0);
      const WcMember *b = wc_ownership_find_owner (right, 7, key, 0);

      if (a->id != b->id)
        ck_assert (a->id == 105 || b->id == 103);
    }
  wc_member_table_unref (left);
  wc_member_table_unref (right);
}
END_TEST

/* Guards against a member that owns much more than its share of the services or shards. */
START_TEST (test_even_distribution)
{
  WcMemberTable *table = new_table (100, MEMBERS, 0);
  uint32_t       owned[MEMBERS] = { 0 };

  for (uint32_t service = 1; service <= KEYS / 10; service++)
    for (uint32_t shard = 0; shard < 10; shard++)
      owned[wc_ownership_find_owner (table, 7, service, shard)->id - 100]++;
  for (size_t i = 0; i < MEMBERS; i++)
    {
      ck_assert_uint_gt (owned[i], KEYS / MEMBERS - 141);
      ck_assert_uint_lt (owned[i], KEYS / MEMBERS + 141);
    }
  wc_member_table_unref (table);
}
END_TEST

/* Guards against an owner that is leaving, suspect, only listed, or in another domain. */
START_TEST (test_eligible_states)
{
  WcMember members[] = {
    { .id = 1, .domain = 7, .state = WC_MEMBER_LEAVING }, { .id = 2, .domain = 7, .state = WC_MEMBER_SUSPECT },
    { .id = 3, .domain = 7, .state = WC_MEMBER_LISTED },  { .id = 4, .domain = 7, .state = WC_MEMBER_LIVE },
    { .id = 5, .domain = 8, .state = WC_MEMBER_LIVE },
  };
  WcMemberTable *table = wc_member_table_new (members, G_N_ELEMENTS (members));

  for (uint32_t service = 1; service <= 100; service++)
    {
      ck_assert_uint_eq (wc_ownership_find_owner (table, 7, service, 0)->id, 4);
      ck_assert_uint_eq (wc_ownership_find_owner (table, 8, service, 0)->id, 5);
      ck_assert_ptr_null (wc_ownership_find_owner (table, 9, service, 0));
    }
  wc_member_table_unref (table);
}
END_TEST

/* Guards against a domain without readers, or with so many that the platform's limit on reads is reached. */
START_TEST (test_readers)
{
  for (size_t count = 1; count <= MEMBERS; count++)
    {
      WcMemberTable *table = new_table (100, count, 0);
      size_t         readers = 0;

      for (size_t i = 0; i < count; i++)
        readers += wc_ownership_is_reader (table, 100 + i, 7);
      ck_assert_uint_eq (readers, count < WC_READERS_PER_DOMAIN ? count : WC_READERS_PER_DOMAIN);
      ck_assert (!wc_ownership_is_reader (table, 99, 7));
      ck_assert (!wc_ownership_is_reader (table, 100, 8));
      wc_member_table_unref (table);
    }
}
END_TEST

/* Guards against shards with more than WC_TARGETS_PER_SHARD targets. */
START_TEST (test_shards_and_workers)
{
  ck_assert_uint_eq (wc_ownership_get_shard_count (0), 1);
  ck_assert_uint_eq (wc_ownership_get_shard_count (16), 1);
  ck_assert_uint_eq (wc_ownership_get_shard_count (17), 2);
  ck_assert_uint_eq (wc_ownership_get_shard_count (33), 3);
  for (uint32_t service = 1; service < 1000; service++)
    ck_assert_uint_lt (wc_ownership_get_worker (service, 0, 3), 3);
}
END_TEST

static void
count_picks (const WcDomainShares *shares, uint32_t domain, double part[4])
{
  memset (part, 0, 4 * sizeof *part);
  for (uint32_t i = 0; i < KEYS; i++)
    part[wc_ownership_shares_pick (shares, domain, (uint32_t)(((uint64_t)i << 32) / KEYS))] += 1.0 / KEYS;
}

/* Guards against domains that keep more requests than their slots can serve, and against unnecessary transfers. */
START_TEST (test_shares_follow_slots)
{
  /* 3, 3, 2 instances and 10, 10, 8 slots: domains 1 and 2 receive 3/8 of the requests and can serve 10/28. */
  WcDomainShares shares = { { { 1, 10, 3 }, { 2, 10, 3 }, { 3, 8, 2 } }, 3 };
  double         part[4];

  count_picks (&shares, 1, part);
  ck_assert_double_eq_tol (part[1], 10.0 / 28 / (3.0 / 8), 0.001);
  ck_assert_double_eq_tol (part[2], 0, 1e-9);
  ck_assert_double_eq_tol (part[3], 1 - 10.0 / 28 / (3.0 / 8), 0.001);
  count_picks (&shares, 3, part);
  ck_assert_double_eq_tol (part[3], 1, 1e-9);
}
END_TEST

/* Guards against requests that stay in a domain without targets or without an owner, or are sent to a domain without an
 * owner. */
START_TEST (test_shares_empty_domains)
{
  WcDomainShares no_targets = { { { 1, 0, 3 }, { 2, 10, 3 }, { 3, 30, 2 } }, 3 };
  WcDomainShares no_instances = { { { 1, 10, 0 }, { 2, 10, 1 }, { 3, 30, 3 } }, 3 };
  WcDomainShares nothing = { { { 1, 0, 1 }, { 2, 0, 1 } }, 2 };
  double         part[4];

  count_picks (&no_targets, 1, part);
  ck_assert_double_eq_tol (part[1], 0, 1e-9);
  ck_assert_double_eq_tol (part[2] + part[3], 1, 1e-9);
  ck_assert_double_gt (part[3], part[2]);
  /* No domain has a surplus, because the slots of the others are proportional to their instances; requests are then
   * distributed by slots. */
  count_picks (&no_instances, 1, part);
  ck_assert_double_eq_tol (part[1], 0, 1e-9);
  ck_assert_double_eq_tol (part[3], 0.75, 0.001);
  count_picks (&no_instances, 2, part);
  ck_assert_double_eq_tol (part[2], 1, 1e-9);
  ck_assert_uint_eq (wc_ownership_shares_pick (&nothing, 1, 5), 1);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("ownership");

  tcase_add_test (cases, test_join);
  tcase_add_test (cases, test_differing_views);
  tcase_add_test (cases, test_even_distribution);
  tcase_add_test (cases, test_eligible_states);
  tcase_add_test (cases, test_readers);
  tcase_add_test (cases, test_shards_and_workers);
  tcase_add_test (cases, test_shares_follow_slots);
  tcase_add_test (cases, test_shares_empty_domains);
  return wc_test_run_case ("ownership", cases);
}
