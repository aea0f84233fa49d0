#include <wigeoncart/membership.h>

#include "test_main.h"

enum
{
  HERE = 1,
  ELSEWHERE = 2,
  SUSPECT_AFTER_US = 1000000
};

static WcMembership *
new_membership (void)
{
  WcMember self = { .id = 1, .incarnation = 11, .domain = HERE, .workers = 1, .state = WC_MEMBER_LIVE };

  return wc_membership_new (&self, SUSPECT_AFTER_US);
}

/* Return: state of a member, or WC_MEMBER_COUNT when it is not in the view. */
static WcMemberState
get_state (const WcMembership *membership, uint64_t id)
{
  WcMemberTable  *table = wc_membership_snapshot (membership);
  const WcMember *member = wc_member_table_find (table, id);
  WcMemberState   state = member ? member->state : WC_MEMBER_COUNT;

  wc_member_table_unref (table);
  return state;
}

static uint64_t
get_incarnation (const WcMembership *membership, uint64_t id)
{
  WcMemberTable  *table = wc_membership_snapshot (membership);
  const WcMember *member = wc_member_table_find (table, id);
  uint64_t        incarnation = member ? member->incarnation : 0;

  wc_member_table_unref (table);
  return incarnation;
}

static WcMember
member (uint64_t id, uint64_t incarnation, uint32_t domain, WcMemberState state)
{
  return (WcMember){ .id = id, .incarnation = incarnation, .domain = domain, .workers = 2, .state = state };
}

/* Guards against members of this domain that are live without a heartbeat, and against members of other domains that
 * are not live because no heartbeats arrive from them. */
START_TEST (test_listed_members)
{
  WcMembership *membership = new_membership ();
  WcMember      listed[] = { member (1, 0, HERE, WC_MEMBER_LISTED), member (2, 0, HERE, WC_MEMBER_LISTED),
                             member (3, 0, ELSEWHERE, WC_MEMBER_LISTED), member (4, 0, ELSEWHERE, WC_MEMBER_LEAVING) };

  wc_membership_apply_list (membership, 0, listed, 4);
  ck_assert_int_eq (get_state (membership, 1), WC_MEMBER_LIVE);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_LISTED);
  ck_assert_int_eq (get_state (membership, 3), WC_MEMBER_LIVE);
  ck_assert_int_eq (get_state (membership, 4), WC_MEMBER_LEAVING);
  wc_membership_delete (membership);
}
END_TEST

/* Guards against a member of this domain that stays live after its heartbeats have stopped. */
START_TEST (test_suspect_after_silence)
{
  WcMembership *membership = new_membership ();
  WcMember      listed = member (2, 0, HERE, WC_MEMBER_LISTED);
  WcMember      heartbeat = member (2, 21, HERE, WC_MEMBER_LIVE);
  uint64_t      generation;

  wc_membership_apply_list (membership, 0, &listed, 1);
  wc_membership_apply_heartbeat (membership, 10, &heartbeat);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_LIVE);
  ck_assert (!wc_membership_tick (membership, SUSPECT_AFTER_US + 9));
  generation = wc_membership_get_generation (membership);
  ck_assert (wc_membership_tick (membership, SUSPECT_AFTER_US + 10));
  ck_assert_uint_gt (wc_membership_get_generation (membership), generation);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_SUSPECT);
  wc_membership_apply_heartbeat (membership, SUSPECT_AFTER_US + 20, &heartbeat);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_LIVE);
  wc_membership_delete (membership);
}
END_TEST

/* Guards against a process that resumes after a pause and replaces the incarnation that was started in the meantime. */
START_TEST (test_replaced_incarnation)
{
  WcMembership *membership = new_membership ();
  WcMember      old = member (2, 21, HERE, WC_MEMBER_LIVE);
  WcMember new = member (2, 22, HERE, WC_MEMBER_LIVE);
  WcMember newest = member (2, 23, HERE, WC_MEMBER_LEAVING);

  wc_membership_apply_heartbeat (membership, 0, &old);
  wc_membership_apply_heartbeat (membership, 10, &new);
  wc_membership_apply_heartbeat (membership, 20, &newest);
  wc_membership_apply_heartbeat (membership, 30, &old);
  wc_membership_apply_heartbeat (membership, 40, &new);
  ck_assert_uint_eq (get_incarnation (membership, 2), 23);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_LEAVING);
  /* Heartbeats of replaced incarnations do not keep the newest one live either. */
  wc_membership_apply_heartbeat (membership, SUSPECT_AFTER_US + 19, &old);
  wc_membership_tick (membership, SUSPECT_AFTER_US + 20);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_COUNT);
  wc_membership_delete (membership);
}
END_TEST

/* Guards against a lagging list that removes a member whose heartbeats still arrive. */
START_TEST (test_live_member_not_listed)
{
  WcMembership *membership = new_membership ();
  WcMember      listed = member (2, 0, HERE, WC_MEMBER_LISTED);
  WcMember      heartbeat = member (2, 21, HERE, WC_MEMBER_LIVE);

  wc_membership_apply_list (membership, 0, &listed, 1);
  wc_membership_apply_heartbeat (membership, 10, &heartbeat);
  wc_membership_apply_list (membership, 20, NULL, 0);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_LIVE);
  wc_membership_apply_heartbeat (membership, SUSPECT_AFTER_US, &heartbeat);
  wc_membership_tick (membership, SUSPECT_AFTER_US + 100);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_LIVE);
  wc_membership_tick (membership, 2 * SUSPECT_AFTER_US);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_COUNT);
  wc_membership_delete (membership);
}
END_TEST

/* Guards against a lagging list that makes a leaving member live, or a restarted member leaving. */
START_TEST (test_heartbeat_precedes_list)
{
  WcMembership *membership = new_membership ();
  WcMember      listed[] = { member (2, 0, HERE, WC_MEMBER_LISTED), member (3, 0, ELSEWHERE, WC_MEMBER_LEAVING) };
  WcMember      leaving = member (2, 21, HERE, WC_MEMBER_LEAVING);
  WcMember      restarted = member (3, 32, ELSEWHERE, WC_MEMBER_LIVE);

  wc_membership_apply_heartbeat (membership, 0, &leaving);
  wc_membership_apply_heartbeat (membership, 0, &restarted);
  wc_membership_apply_list (membership, 10, listed, 2);
  ck_assert_int_eq (get_state (membership, 2), WC_MEMBER_LEAVING);
  ck_assert_int_eq (get_state (membership, 3), WC_MEMBER_LIVE);
  wc_membership_delete (membership);
}
END_TEST

/* Guards against a generation that increases without a change of the view, on which every worker would recompute the
 * owners. */
START_TEST (test_generation)
{
  WcMembership *membership = new_membership ();
  WcMember      listed = member (2, 0, HERE, WC_MEMBER_LISTED);
  WcMember      heartbeat = member (2, 21, HERE, WC_MEMBER_LIVE);
  uint64_t      generation;

  wc_membership_apply_list (membership, 0, &listed, 1);
  wc_membership_apply_heartbeat (membership, 0, &heartbeat);
  generation = wc_membership_get_generation (membership);
  wc_membership_apply_list (membership, 10, &listed, 1);
  wc_membership_apply_heartbeat (membership, 10, &heartbeat);
  ck_assert (!wc_membership_tick (membership, 20));
  wc_membership_set_self_state (membership, WC_MEMBER_LIVE);
  ck_assert_uint_eq (wc_membership_get_generation (membership), generation);
  wc_membership_set_self_state (membership, WC_MEMBER_LEAVING);
  ck_assert_uint_gt (wc_membership_get_generation (membership), generation);
  ck_assert_int_eq (get_state (membership, 1), WC_MEMBER_LEAVING);
  wc_membership_delete (membership);
}
END_TEST

/* Guards against a table that is not sorted, or mixes the live members of different domains. */
START_TEST (test_table)
{
  WcMember        members[] = { member (9, 0, ELSEWHERE, WC_MEMBER_LIVE), member (2, 0, HERE, WC_MEMBER_LIVE),
                                member (5, 0, HERE, WC_MEMBER_SUSPECT), member (1, 0, HERE, WC_MEMBER_LIVE) };
  WcMemberTable  *table = wc_member_table_new (members, 4);
  const WcMember *found;
  size_t          count;

  found = wc_member_table_get (table, &count);
  ck_assert_uint_eq (count, 4);
  for (size_t i = 1; i < count; i++)
    ck_assert_uint_lt (found[i - 1].id, found[i].id);
  found = wc_member_table_get_live (table, HERE, &count);
  ck_assert_uint_eq (count, 2);
  ck_assert_uint_eq (found[0].id, 1);
  ck_assert_uint_eq (found[1].id, 2);
  wc_member_table_get_live (table, 3, &count);
  ck_assert_uint_eq (count, 0);
  ck_assert_ptr_null (wc_member_table_find (table, 3));
  wc_member_table_unref (table);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("membership");

  tcase_add_test (cases, test_listed_members);
  tcase_add_test (cases, test_suspect_after_silence);
  tcase_add_test (cases, test_replaced_incarnation);
  tcase_add_test (cases, test_live_member_not_listed);
  tcase_add_test (cases, test_heartbeat_precedes_list);
  tcase_add_test (cases, test_generation);
  tcase_add_test (cases, test_table);
  return wc_test_run_case ("membership", cases);
}
