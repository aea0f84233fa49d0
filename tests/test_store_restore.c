#include "test_main.h"

#include "view_fixture.h"

/* The store is restored from an older copy: writes are lost, and their revisions are given out again. */

static const char CONFIG_KEY[] = "op/config";
static const char HOST_KEY[] = "servers/i-a1";
static const char CONFIG_1[] = "{\"version\":1,\"routes\":[]}";
static const char CONFIG_2[] = "{\"version\":2,\"routes\":[]}";
static const char CONFIG_3[] = "{\"version\":3,\"routes\":[]}";

/* Entries of a host: after its start, when it drains, and those of its next start under the same identifier. */
#define HOST_ENTRY(state, sequence, started)                                                                           \
  "{\"service\":\"a\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,\"warmup-left-ms\":0," \
  "\"state\":\"" state "\",\"seq\":" sequence ",\"born\":" started "}"
static const char HOST_READY[] = HOST_ENTRY ("ready", "1", "1000");
static const char HOST_DRAINING[] = HOST_ENTRY ("draining", "9", "1000");
static const char HOST_RESTARTED[] = HOST_ENTRY ("ready", "1", "5000");

/* Longer than the time after which the store is taken at its word, see store_replica.c. */
static const uint32_t SETTLED_MS = 4500;

static uint64_t
put (ViewFixture *fixture, const char *key, const char *value)
{
  return wc_emulated_store_put (fixture->store, key, value, strlen (value));
}

/* The first instance has loaded its view. */
static void
init_loaded (ViewFixture *fixture)
{
  view_fixture_init (fixture);
  view_wait_for_revision (fixture, &fixture->first, 10);
}

/* The first instance has loaded a view with configuration 1, of which the store has a copy. */
static void
init_with_copy (ViewFixture *fixture)
{
  init_loaded (fixture);
  put (fixture, CONFIG_KEY, CONFIG_1);
  view_wait_for_value (fixture, &fixture->first, CONFIG_KEY, CONFIG_1);
  wc_emulated_store_save_copy (fixture->store);
}

/*
 * Guards against a change that gets a revision which the instance has seen before the restore: it was never applied,
 * and the configuration in force was older than an acknowledged one.
 */
START_TEST (change_with_reused_revision_is_applied)
{
  ViewFixture fixture;

  init_with_copy (&fixture);
  put (&fixture, CONFIG_KEY, CONFIG_2);
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_2);
  wc_emulated_store_restore_copy (fixture.store);
  view_run_for (&fixture, 300);
  put (&fixture, CONFIG_KEY, CONFIG_3);
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_3);
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against reads in a loop without a pause, because the store does not know the revision of the old view. */
START_TEST (restored_store_is_not_read_in_a_loop)
{
  ViewFixture fixture;
  uint64_t    calls;

  init_with_copy (&fixture);
  put (&fixture, CONFIG_KEY, CONFIG_2);
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_2);
  wc_emulated_store_restore_copy (fixture.store);
  calls = wc_emulated_store_get_calls (fixture.store);
  view_run_for (&fixture, 2000);
  /* Four pages of the range, a watch each second, and what was in progress. */
  ck_assert_uint_le (wc_emulated_store_get_calls (fixture.store) - calls, 12);
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against followers that wait for a revision above their own while their peer has gone back to a lower one. */
START_TEST (follower_learns_of_restore)
{
  ViewFixture fixture;
  WcAddress   store;

  init_with_copy (&fixture);
  wc_emulated_store_get_address (fixture.store, &store);
  view_start_follower (&fixture, &store);
  put (&fixture, CONFIG_KEY, CONFIG_2);
  put (&fixture, "other", "x");
  view_wait_for_value (&fixture, &fixture.second, "other", "x");
  wc_emulated_store_restore_copy (fixture.store);
  put (&fixture, CONFIG_KEY, CONFIG_3);
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_3);
  view_wait_for_value (&fixture, &fixture.second, CONFIG_KEY, CONFIG_3);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * The instance is cut off from the store while it is restored, and the revisions have passed those of its view when it
 * is back. Guards against a watch that continues in the new history and misses the changes before its revision.
 */
START_TEST (restore_during_cut_is_detected)
{
  ViewFixture fixture;

  init_with_copy (&fixture);
  put (&fixture, "lost", "x");
  view_wait_for_value (&fixture, &fixture.first, "lost", "x");
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  wc_emulated_store_restore_copy (fixture.store);
  put (&fixture, CONFIG_KEY, CONFIG_2);
  wc_emulated_store_remove (fixture.store, "servers/i-3");
  put (&fixture, "other", "y");
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_PASSES);
  view_wait_for_value (&fixture, &fixture.first, "other", "y");
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_2);
  view_wait_for_value (&fixture, &fixture.first, "lost", NULL);
  view_wait_for_value (&fixture, &fixture.first, "servers/i-3", NULL);
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against an older configuration of the copy that replaces a newer one until that is written again. */
START_TEST (older_configuration_of_copy_is_not_applied)
{
  ViewFixture fixture;

  init_with_copy (&fixture);
  put (&fixture, CONFIG_KEY, CONFIG_2);
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_2);
  wc_emulated_store_restore_copy (fixture.store);
  put (&fixture, "other", "x");
  view_wait_for_value (&fixture, &fixture.first, "other", "x");
  view_run_for (&fixture, 300);
  ck_assert (view_has_value (&fixture.first, CONFIG_KEY, CONFIG_2));
  put (&fixture, CONFIG_KEY, CONFIG_3);
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_3);
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against a host that drains, or has left, in use again because the copy has its entry from before. */
START_TEST (older_host_entry_of_copy_is_not_applied)
{
  ViewFixture fixture;

  init_loaded (&fixture);
  put (&fixture, HOST_KEY, HOST_READY);
  put (&fixture, "servers/i-b2", HOST_READY);
  wc_emulated_store_save_copy (fixture.store);
  view_wait_for_value (&fixture, &fixture.first, "servers/i-b2", HOST_READY);
  put (&fixture, HOST_KEY, HOST_DRAINING);
  view_wait_for_value (&fixture, &fixture.first, HOST_KEY, HOST_DRAINING);
  wc_emulated_store_remove (fixture.store, "servers/i-b2");
  view_wait_for_value (&fixture, &fixture.first, "servers/i-b2", NULL);
  wc_emulated_store_restore_copy (fixture.store);
  put (&fixture, "other", "x");
  view_wait_for_value (&fixture, &fixture.first, "other", "x");
  for (int i = 0; i < 20; i++)
    {
      view_run_for (&fixture, 50);
      ck_assert (view_has_value (&fixture.first, HOST_KEY, HOST_DRAINING));
      ck_assert (view_has_value (&fixture.first, "servers/i-b2", NULL));
    }
  put (&fixture, HOST_KEY, HOST_RESTARTED);
  put (&fixture, "servers/i-b2", HOST_RESTARTED);
  view_wait_for_value (&fixture, &fixture.first, HOST_KEY, HOST_RESTARTED);
  view_wait_for_value (&fixture, &fixture.first, "servers/i-b2", HOST_RESTARTED);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * A host that registered after the copy is missing until it registers again. Guards against its removal meanwhile, and
 * against a host that is kept although it does not register again.
 */
START_TEST (host_missing_from_copy_is_kept_for_a_while)
{
  ViewFixture fixture;

  init_with_copy (&fixture);
  put (&fixture, HOST_KEY, HOST_READY);
  put (&fixture, "servers/i-b2", HOST_READY);
  view_wait_for_value (&fixture, &fixture.first, "servers/i-b2", HOST_READY);
  wc_emulated_store_restore_copy (fixture.store);
  put (&fixture, "other", "x");
  view_wait_for_value (&fixture, &fixture.first, "other", "x");
  for (int i = 0; i < 20; i++)
    {
      view_run_for (&fixture, 50);
      ck_assert (view_has_value (&fixture.first, HOST_KEY, HOST_READY));
      ck_assert (view_has_value (&fixture.first, "servers/i-b2", HOST_READY));
    }
  put (&fixture, HOST_KEY, HOST_READY);
  view_run_for (&fixture, SETTLED_MS);
  ck_assert (view_has_value (&fixture.first, HOST_KEY, HOST_READY));
  ck_assert (view_has_value (&fixture.first, "servers/i-b2", NULL));
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * A host whose entry had expired is registered in the copy and lives, so that it has no reason to register again.
 * Guards against a host that is never used again.
 */
START_TEST (host_that_stays_in_copy_is_used_again)
{
  ViewFixture fixture;

  init_loaded (&fixture);
  put (&fixture, HOST_KEY, HOST_READY);
  wc_emulated_store_save_copy (fixture.store);
  view_wait_for_value (&fixture, &fixture.first, HOST_KEY, HOST_READY);
  wc_emulated_store_remove (fixture.store, HOST_KEY);
  put (&fixture, "other", "x");
  view_wait_for_value (&fixture, &fixture.first, "other", "x");
  wc_emulated_store_restore_copy (fixture.store);
  view_wait_for_value (&fixture, &fixture.first, HOST_KEY, HOST_READY);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * An instance starts after the restore and reads from a peer. Guards against entries of the copy that it takes for
 * current although its peer knows newer ones.
 */
START_TEST (restarted_instance_gets_newer_state_from_peer)
{
  ViewFixture fixture;
  WcAddress   nobody = view_unused_address ();

  init_with_copy (&fixture);
  put (&fixture, HOST_KEY, HOST_READY);
  put (&fixture, "servers/i-b2", HOST_READY);
  wc_emulated_store_save_copy (fixture.store);
  view_wait_for_value (&fixture, &fixture.first, "servers/i-b2", HOST_READY);
  put (&fixture, CONFIG_KEY, CONFIG_2);
  put (&fixture, HOST_KEY, HOST_DRAINING);
  wc_emulated_store_remove (fixture.store, "servers/i-b2");
  view_wait_for_value (&fixture, &fixture.first, CONFIG_KEY, CONFIG_2);
  view_wait_for_value (&fixture, &fixture.first, "servers/i-b2", NULL);
  wc_emulated_store_restore_copy (fixture.store);
  put (&fixture, "other", "x");
  view_wait_for_era (&fixture, &fixture.first, 2);
  view_fixture_start (&fixture, &fixture.second, 2, "b", &nobody);
  view_add_peer (&fixture.second, &fixture.first);
  view_wait_for_value (&fixture, &fixture.second, "other", "x");
  ck_assert (view_has_value (&fixture.second, CONFIG_KEY, CONFIG_2));
  ck_assert (view_has_value (&fixture.second, HOST_KEY, HOST_DRAINING));
  ck_assert (view_has_value (&fixture.second, "servers/i-b2", NULL));
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * The second instance has read the restored store; its peer is cut off and still has the old history. Guards against a
 * wait for a peer that has not noticed, and against its old changes.
 */
START_TEST (peer_with_old_history_is_not_read)
{
  ViewFixture fixture;
  WcAddress   store;

  init_with_copy (&fixture);
  put (&fixture, CONFIG_KEY, CONFIG_2);
  put (&fixture, "other", "x");
  view_wait_for_value (&fixture, &fixture.first, "other", "x");
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  wc_emulated_store_restore_copy (fixture.store);
  put (&fixture, CONFIG_KEY, CONFIG_3);
  wc_emulated_store_get_address (fixture.store, &store);
  do
    {
      if (fixture.second.reader)
        view_fixture_stop (&fixture, &fixture.second);
      view_fixture_start (&fixture, &fixture.second, 2, "a", &store);
    }
  while (wc_peer_rank (&wc_peer_table_get_self (fixture.second.peers)->address) <
         wc_peer_rank (&wc_peer_table_get_self (fixture.first.peers)->address));
  view_wait_for_era (&fixture, &fixture.second, 2);
  ck_assert (view_has_value (&fixture.second, CONFIG_KEY, CONFIG_3));
  view_add_peer (&fixture.second, &fixture.first);
  put (&fixture, "later", "y");
  /* The watch of the store ends after one second; a wait for the peer would take as long again. */
  view_run_for (&fixture, 1500);
  ck_assert (view_has_value (&fixture.second, "later", "y"));
  ck_assert (view_has_value (&fixture.second, CONFIG_KEY, CONFIG_3));
  ck_assert (view_has_value (&fixture.second, "other", NULL));
  view_fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, change_with_reused_revision_is_applied);
  tcase_add_test (tests, restored_store_is_not_read_in_a_loop);
  tcase_add_test (tests, follower_learns_of_restore);
  tcase_add_test (tests, restore_during_cut_is_detected);
  tcase_add_test (tests, older_configuration_of_copy_is_not_applied);
  tcase_add_test (tests, older_host_entry_of_copy_is_not_applied);
  tcase_add_test (tests, host_missing_from_copy_is_kept_for_a_while);
  tcase_add_test (tests, host_that_stays_in_copy_is_used_again);
  tcase_add_test (tests, restarted_instance_gets_newer_state_from_peer);
  tcase_add_test (tests, peer_with_old_history_is_not_read);
}

int
main (void)
{
  return wc_test_run ("store_restore", add_tests);
}
