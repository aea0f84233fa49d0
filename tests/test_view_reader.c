#include "test_main.h"

#include "view_fixture.h"

/* Guards against lost pages of the initial read and against missed changes. */
START_TEST (reads_pages_and_changes)
{
  ViewFixture fixture;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  ck_assert_uint_eq (fixture.first.changes, 10);
  view_wait_for_revision (&fixture, &fixture.first, wc_emulated_store_put (fixture.store, "op/config", "{}", 2));
  ck_assert_str_eq (fixture.first.last_key, "op/config");
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against a view that never loads because pages of the store have the smaller size limit of register parts. */
START_TEST (large_pages_are_read)
{
  ViewFixture fixture;
  char       *value = g_strnfill (700 * 1000, 'x');

  view_fixture_init (&fixture);
  wc_emulated_store_put (fixture.store, "servers/i-0", value, 700 * 1000);
  wc_emulated_store_put (fixture.store, "servers/i-1", value, 700 * 1000);
  wc_view_reader_restart (fixture.first.reader);
  view_wait_for_revision (&fixture, &fixture.first, 12);
  ck_assert_uint_ge (fixture.first.changes, 10);
  g_free (value);
  view_fixture_finish (&fixture);
}
END_TEST

/* Runs the loop until one read of @instance has failed, for at most 20 s. */
static void
wait_for_failure (ViewFixture *fixture, const ViewInstance *instance)
{
  ev_timer poll_timer;

  ev_timer_init (&poll_timer, view_break_loop, 0.02, 0.02);
  ev_timer_start (fixture->loop, &poll_timer);
  for (int i = 0; i < 1000 && wc_view_reader_get_counters (instance->reader)->failures == 0; i++)
    ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &poll_timer);
  ck_assert_uint_eq (wc_view_reader_get_counters (instance->reader)->failures, 1);
}

/*
 * The store stops responding while its connections stay open. Guards against a retry that doubles the time until the
 * instance reads from its peers: a configuration was in force only 3.4 s after it was accepted.
 */
START_TEST (timed_out_store_read_is_not_retried)
{
  ViewFixture fixture;
  uint64_t    calls;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  view_wait_for_revision (&fixture, &fixture.first, wc_emulated_store_put (fixture.store, "op/config", "{}", 2));
  /* The next watch reuses the connection of the last one. */
  calls = wc_emulated_store_get_calls (fixture.store);
  while (wc_emulated_store_get_calls (fixture.store) == calls)
    ev_run (fixture.loop, EVRUN_ONCE);
  wc_emulated_store_set_mode (fixture.store, WC_STORE_IS_SILENT);
  calls = wc_emulated_store_get_calls (fixture.store);
  wait_for_failure (&fixture, &fixture.first);
  ck_assert_uint_eq (wc_emulated_store_get_calls (fixture.store), calls);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * The store stops responding to the first instance of a domain, which then reads through another domain. Guards against
 * the other instances of its domain trying the store one after the other, with a timeout of 1.5 s each: a configuration
 * was in force only after 5.2 s.
 */
START_TEST (followers_keep_source_that_reads_another_domain)
{
  ViewFixture fixture;
  WcAddress   store;
  uint64_t    revision;
  uint64_t    reads;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  wc_emulated_store_get_address (fixture.store, &store);
  view_start_follower (&fixture, &store);
  view_fixture_start (&fixture, &fixture.third, 3, "b", &store);
  view_wait_for_revision (&fixture, &fixture.third, 10);
  reads = wc_view_reader_get_counters (fixture.second.reader)->store_reads;
  view_add_peer (&fixture.first, &fixture.third);
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  revision = wc_emulated_store_put (fixture.store, "op/config", "{}", 2);
  wait_for_failure (&fixture, &fixture.first);
  view_wait_for_revision (&fixture, &fixture.second, revision);
  ck_assert_uint_eq (wc_view_reader_get_counters (fixture.second.reader)->failures, 0);
  ck_assert_uint_eq (wc_view_reader_get_counters (fixture.second.reader)->store_reads, reads);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * The store rejects the first instances of two domains at once; the second instance of one of them can read it. Guards
 * against domains that read through each other: a configuration was in force only after 3.8 s, when the view of the
 * second instance had become too old.
 */
START_TEST (domains_do_not_read_through_each_other)
{
  ViewFixture fixture;
  WcAddress   store;
  WcAddress   relay;
  uint64_t    revision;
  uint64_t    start_us;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  wc_emulated_store_get_address (fixture.store, &store);
  wc_tcp_relay_get_address (fixture.relay, &relay);
  view_start_follower (&fixture, &store);
  view_fixture_start (&fixture, &fixture.third, 3, "b", &relay);
  view_wait_for_revision (&fixture, &fixture.third, 10);
  view_add_peer (&fixture.first, &fixture.third);
  view_add_peer (&fixture.third, &fixture.first);
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  view_run_for (&fixture, 100);
  revision = wc_emulated_store_put (fixture.store, "op/config", "{}", 2);
  start_us = wc_clock_monotonic_us ();
  view_wait_for_revision (&fixture, &fixture.second, revision);
  ck_assert_uint_lt (wc_clock_monotonic_us () - start_us, 3000 * 1000);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * Four instances of the domain hang, and each is given up only after a timeout. Guards against a delay that grows with
 * their number: with two of them frozen, requests were handled by an old configuration for 3.5 s.
 */
START_TEST (hung_peers_do_not_delay_changes)
{
  int         sockets[4];
  ViewFixture fixture;
  WcAddress   store;
  uint64_t    revision;
  uint64_t    start_us;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  wc_emulated_store_get_address (fixture.store, &store);
  view_fixture_start (&fixture, &fixture.second, 2, "a", &store);
  view_wait_for_revision (&fixture, &fixture.second, 10);
  for (size_t i = 0; i < G_N_ELEMENTS (sockets); i++)
    sockets[i] = view_add_hung_peer (&fixture.second, 10 + i);
  /* The read of the store that is in progress ends, and the first of them is read from. */
  view_run_for (&fixture, 1200);
  revision = wc_emulated_store_put (fixture.store, "op/config", "{}", 2);
  start_us = wc_clock_monotonic_us ();
  view_wait_for_revision (&fixture, &fixture.second, revision);
  ck_assert_uint_lt (wc_clock_monotonic_us () - start_us, 3000 * 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (sockets); i++)
    close (sockets[i]);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * The first instance of the domain answers its peers, but its view is no longer updated. Guards against a valid answer
 * that is taken for a current one: a peer was given up only when its view was 3.5 s old, later than a configuration
 * must be in force.
 */
START_TEST (peer_with_old_view_does_not_delay_changes)
{
  ViewFixture fixture;
  WcAddress   store;
  uint64_t    revision;
  uint64_t    start_us;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  wc_emulated_store_get_address (fixture.store, &store);
  view_start_follower (&fixture, &store);
  wc_view_reader_delete (fixture.first.reader);
  fixture.first.reader = NULL;
  revision = wc_emulated_store_put (fixture.store, "op/config", "{}", 2);
  start_us = wc_clock_monotonic_us ();
  view_wait_for_revision (&fixture, &fixture.second, revision);
  ck_assert_uint_lt (wc_clock_monotonic_us () - start_us, 3000 * 1000);
  ck_assert_uint_eq (wc_peer_table_count_avoided (fixture.second.peers, wc_clock_monotonic_us ()), 1);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * The store is away. Guards against a call to it by each instance several times a second, because its view is overdue,
 * and against a source that is given up although no other has a newer view.
 */
START_TEST (overdue_view_is_not_checked_in_a_loop)
{
  ViewFixture fixture;
  WcAddress   nobody = view_unused_address ();

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  view_start_follower (&fixture, &nobody);
  wc_view_reader_delete (fixture.first.reader);
  fixture.first.reader = NULL;
  view_run_for (&fixture, 5000);
  ck_assert_uint_ge (wc_view_reader_get_counters (fixture.second.reader)->overdue, 1);
  ck_assert_uint_le (wc_view_reader_get_counters (fixture.second.reader)->overdue, 2);
  ck_assert_uint_eq (wc_peer_table_count_avoided (fixture.second.peers, wc_clock_monotonic_us ()), 0);
  view_fixture_finish (&fixture);
}
END_TEST

/*
 * Two instances have lost the store and read from each other. Guards against answers at once to each other's reads,
 * which take all processor time, and make an old view count as confirmed.
 */
START_TEST (instances_without_store_do_not_answer_in_a_loop)
{
  ViewFixture   fixture;
  WcAddress     nobody = view_unused_address ();
  ViewInstance *instances[] = { &fixture.first, &fixture.second };
  uint64_t      reads[2];

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  view_start_follower (&fixture, &nobody);
  view_add_peer (&fixture.first, &fixture.second);
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  view_run_for (&fixture, 2000);
  for (size_t i = 0; i < 2; i++)
    reads[i] = wc_view_reader_get_counters (instances[i]->reader)->peer_reads;
  view_run_for (&fixture, 2000);
  for (size_t i = 0; i < 2; i++)
    {
      ck_assert_uint_le (wc_view_reader_get_counters (instances[i]->reader)->peer_reads - reads[i], 20);
      ck_assert_uint_ge (wc_clock_monotonic_us () - wc_store_replica_get_confirmed_us (instances[i]->replica),
                         2500 * 1000);
    }
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against instances that keep waiting for changes from a peer that has lost the store. */
START_TEST (followers_are_rejected_when_store_is_lost)
{
  ViewFixture fixture;
  WcAddress   store;
  uint64_t    revision;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  wc_emulated_store_get_address (fixture.store, &store);
  view_start_follower (&fixture, &store);
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  revision = wc_emulated_store_put (fixture.store, "op/config", "{}", 2);
  wait_for_failure (&fixture, &fixture.first);
  /* 0.3 s, which is less than the remaining wait of a watch. */
  for (int i = 0; i < 30; i++)
    {
      ev_sleep (0.01);
      ev_run (fixture.loop, EVRUN_NOWAIT);
    }
  ck_assert_uint_eq (wc_store_replica_get_version (fixture.second.replica).revision, revision);
  view_fixture_finish (&fixture);
}
END_TEST

/* The hosts of a service start one by one within 400 ms. Guards against one call to the store for each of them. */
START_TEST (consecutive_changes_are_batched)
{
  ViewFixture fixture;
  uint64_t    calls;
  uint64_t    revision = 0;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  calls = wc_emulated_store_get_calls (fixture.store);
  for (int i = 0; i < 40; i++)
    {
      revision = wc_emulated_store_put (fixture.store, "servers/i-5", "{}", 2);
      for (int step = 0; step < 10; step++)
        {
          ev_sleep (0.001);
          ev_run (fixture.loop, EVRUN_NOWAIT);
        }
    }
  view_wait_for_revision (&fixture, &fixture.first, revision);
  ck_assert_uint_le (wc_emulated_store_get_calls (fixture.store) - calls, 20);
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against an instance that does not recover after one of the emulated faults of the store or the network. */
START_TEST (recovers_from_every_store_fault)
{
  ViewFixture fixture;
  uint64_t    revision = 0;

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  for (int mode = WC_STORE_IS_BUSY; mode < WC_STORE_MODE_COUNT; mode++)
    {
      wc_emulated_store_set_mode (fixture.store, (WcStoreMode)mode);
      revision = wc_emulated_store_put (fixture.store, "op/config", "x", 1);
      for (int i = 0; i < 10; i++)
        ev_run (fixture.loop, EVRUN_ONCE);
      wc_emulated_store_set_mode (fixture.store, WC_STORE_SERVES);
      view_wait_for_revision (&fixture, &fixture.first, revision);
    }
  for (int fault = WC_RELAY_DELAYS; fault < WC_RELAY_FAULT_COUNT; fault++)
    {
      wc_tcp_relay_set_fault (fixture.relay, (WcRelayFault)fault);
      revision = wc_emulated_store_put (fixture.store, "op/config", "y", 1);
      for (int i = 0; i < 10; i++)
        ev_run (fixture.loop, EVRUN_ONCE);
      /* A connection that was silenced stays silent after the fault has ended. */
      wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_PASSES);
      view_wait_for_revision (&fixture, &fixture.first, revision);
    }
  wc_emulated_store_put (fixture.store, "op/config", "z", 1);
  wc_emulated_store_remove (fixture.store, "servers/i-3");
  revision = wc_emulated_store_put (fixture.store, "servers/i-4", "[]", 2);
  wc_emulated_store_drop_history (fixture.store);
  view_wait_for_revision (&fixture, &fixture.first, revision);
  view_fixture_finish (&fixture);
}
END_TEST

/* Guards against an instance that has no view because the store refuses its connections while a peer can read it. */
START_TEST (reads_from_peer_when_store_refuses_connections)
{
  ViewFixture fixture;
  WcAddress   nobody = view_unused_address ();
  WcGossip    gossip = { .view_age_ms = 10 };

  view_fixture_init (&fixture);
  view_wait_for_revision (&fixture, &fixture.first, 10);
  view_fixture_start (&fixture, &fixture.second, 2, "b", &nobody);
  wc_peer_table_fill_gossip (fixture.first.peers, &gossip, 1);
  wc_peer_table_receive (fixture.second.peers, &gossip, wc_clock_monotonic_us ());
  view_wait_for_revision (&fixture, &fixture.second, 10);
  ck_assert_uint_eq (fixture.second.changes, 10);
  view_wait_for_revision (&fixture, &fixture.second, wc_emulated_store_put (fixture.store, "op/config", "{}", 2));
  ck_assert_uint_gt (wc_view_reader_get_counters (fixture.second.reader)->peer_reads, 0);
  view_fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, reads_pages_and_changes);
  tcase_add_test (tests, timed_out_store_read_is_not_retried);
  tcase_add_test (tests, followers_are_rejected_when_store_is_lost);
  tcase_add_test (tests, followers_keep_source_that_reads_another_domain);
  tcase_add_test (tests, domains_do_not_read_through_each_other);
  tcase_add_test (tests, hung_peers_do_not_delay_changes);
  tcase_add_test (tests, peer_with_old_view_does_not_delay_changes);
  tcase_add_test (tests, overdue_view_is_not_checked_in_a_loop);
  tcase_add_test (tests, instances_without_store_do_not_answer_in_a_loop);
  tcase_add_test (tests, large_pages_are_read);
  tcase_add_test (tests, consecutive_changes_are_batched);
  tcase_add_test (tests, recovers_from_every_store_fault);
  tcase_add_test (tests, reads_from_peer_when_store_refuses_connections);
}

int
main (void)
{
  return wc_test_run ("view_reader", add_tests);
}
