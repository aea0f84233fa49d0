#include "test_main.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/peer_endpoint.h"
#include "edge/view_reader.h"
#include "emulator/emulated_store.h"
#include "emulator/tcp_relay.h"

/* An instance's view of an emulated store, on real sockets: replica, peers, reader and the port for peers. */
typedef struct
{
  WcStoreReplica *replica;
  WcPeerTable    *peers;
  WcPeerEndpoint *port;
  WcViewReader   *reader;
  WcEventLog     *log;
  ev_timer        tick;
  char            last_key[64];
  uint32_t        changes;
} Instance;

typedef struct
{
  struct ev_loop  *loop;
  WcEmulatedStore *store;
  WcTcpRelay      *relay;
  Instance         first;
  Instance         second;
  Instance         third;
} Fixture;

static void
apply (void *user_data, const WcStoreChange *change)
{
  Instance *instance = user_data;

  g_strlcpy (instance->last_key, change->key, sizeof instance->last_key);
  instance->changes++;
}

static void
updated (void *user_data)
{
  wc_peer_endpoint_view_changed (((Instance *)user_data)->port);
}

static void
tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  wc_peer_endpoint_tick (((Instance *)watcher->data)->port, wc_clock_monotonic_us ());
}

static void
lost (void *user_data)
{
  wc_peer_endpoint_source_lost (((Instance *)user_data)->port);
}

static void
describe (void *user_data, WcGossip *news)
{
  Instance *instance = user_data;

  news->revision = wc_store_replica_get_revision (instance->replica);
  news->view_age_ms = 100;
}

static void
add_next_reports (void *user_data, WcGossip *news)
{
  (void)user_data;
  (void)news;
}

static void
report (void *user_data, uint64_t host, WcGossip *news)
{
  (void)user_data;
  (void)host;
  (void)news;
}

static void
heard (void *user_data, const WcGossip *news)
{
  (void)user_data;
  (void)news;
}

static WcAddress
loopback (uint16_t port)
{
  return (WcAddress){ .ip = { 127, 0, 0, 1 }, .family = 4, .port = port };
}

/* A port that is free for TCP and UDP now. */
static uint16_t
free_port (void)
{
  static uint16_t next;

  if (next == 0)
    next = (uint16_t)(20000 + getpid () % 20000);
  return next++;
}

static void
start (Fixture *fixture, Instance *instance, uint64_t incarnation, const char *domain, const WcAddress *store)
{
  WcPeerEntry                    self = { .address = loopback (free_port ()),
                                          .incarnation = incarnation,
                                          .domain = g_quark_from_string (domain) };
  static const WcPeerEndpointOps peer_ops = { describe, add_next_reports, report, heard };
  static const WcViewReaderOps   ops = { .updated = updated, .lost = lost };
  WcError                        error;

  instance->log = wc_event_log_new (fixture->loop, STDERR_FILENO, domain);
  instance->replica = wc_store_replica_new (60 * 1000 * 1000, apply, instance);
  instance->peers = wc_peer_table_new (&self);
  instance->port = wc_peer_endpoint_new (fixture->loop, &self.address, instance->peers, instance->replica,
                                         instance->log, &peer_ops, instance, &error);
  ck_assert_msg (instance->port != NULL, "%s", error.message);
  instance->reader =
      wc_view_reader_new (fixture->loop, store, instance->replica, instance->peers, instance->log, &ops, instance);
  ev_timer_init (&instance->tick, tick, 0.05, 0.05);
  instance->tick.data = instance;
  ev_timer_start (fixture->loop, &instance->tick);
}

static void
init (Fixture *fixture)
{
  const WcAddress any = loopback (0);
  WcAddress       address;
  WcError         error;

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (0);
  fixture->store = wc_emulated_store_new (fixture->loop, &any, 3, &error);
  ck_assert_ptr_nonnull (fixture->store);
  for (int i = 0; i < 10; i++)
    {
      char *key = g_strdup_printf ("servers/i-%d", i);

      wc_emulated_store_put (fixture->store, key, "{}", 2);
      g_free (key);
    }
  wc_emulated_store_get_address (fixture->store, &address);
  fixture->relay = wc_tcp_relay_new (fixture->loop, &any, &address, &error);
  ck_assert_ptr_nonnull (fixture->relay);
  wc_tcp_relay_get_address (fixture->relay, &address);
  start (fixture, &fixture->first, 1, "a", &address);
}

static void
stop (Fixture *fixture, Instance *instance)
{
  ev_timer_stop (fixture->loop, &instance->tick);
  wc_view_reader_delete (instance->reader);
  wc_peer_endpoint_delete (instance->port);
  wc_peer_table_delete (instance->peers);
  wc_store_replica_delete (instance->replica);
  wc_event_log_delete (instance->log);
}

static void
finish (Fixture *fixture)
{
  stop (fixture, &fixture->first);
  if (fixture->second.reader)
    stop (fixture, &fixture->second);
  if (fixture->third.reader)
    stop (fixture, &fixture->third);
  wc_tcp_relay_delete (fixture->relay);
  wc_emulated_store_delete (fixture->store);
  ev_loop_destroy (fixture->loop);
}

static void
end_wait (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

/* Runs the loop until @instance knows @revision; the limit only ends a test that fails. */
static void
wait_for (Fixture *fixture, const Instance *instance, uint64_t revision)
{
  ev_timer pulse;

  ev_timer_init (&pulse, end_wait, 0.02, 0.02);
  ev_timer_start (fixture->loop, &pulse);
  for (int i = 0; i < 1000 && wc_store_replica_get_revision (instance->replica) < revision; i++)
    ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &pulse);
  ck_assert_uint_ge (wc_store_replica_get_revision (instance->replica), revision);
}

/* Guards against pages that are lost and against changes that are not seen. */
START_TEST (reads_pages_and_changes)
{
  Fixture fixture;

  init (&fixture);
  wait_for (&fixture, &fixture.first, 10);
  ck_assert_uint_eq (fixture.first.changes, 10);
  wait_for (&fixture, &fixture.first, wc_emulated_store_put (fixture.store, "op/config", "{}", 2));
  ck_assert_str_eq (fixture.first.last_key, "op/config");
  finish (&fixture);
}
END_TEST

/* Guards against a view that never loads because a page is longer than a register's part, which had the same limit. */
START_TEST (large_pages_are_read)
{
  Fixture fixture;
  char   *value = g_strnfill (700 * 1000, 'x');

  init (&fixture);
  wc_emulated_store_put (fixture.store, "servers/i-0", value, 700 * 1000);
  wc_emulated_store_put (fixture.store, "servers/i-1", value, 700 * 1000);
  wc_view_reader_restart (fixture.first.reader);
  wait_for (&fixture, &fixture.first, 12);
  ck_assert_uint_ge (fixture.first.changes, 10);
  g_free (value);
  finish (&fixture);
}
END_TEST

/* Runs the loop until a read of @instance has failed. */
static void
wait_for_failure (Fixture *fixture, const Instance *instance)
{
  ev_timer pulse;

  ev_timer_init (&pulse, end_wait, 0.02, 0.02);
  ev_timer_start (fixture->loop, &pulse);
  for (int i = 0; i < 1000 && wc_view_reader_get_counters (instance->reader)->failures == 0; i++)
    ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &pulse);
  ck_assert_uint_eq (wc_view_reader_get_counters (instance->reader)->failures, 1);
}

/*
 * Replays a store that no longer answers one instance while its connections stay open. Guards against a second try that
 * doubles the time until the instance asks its peers: a configuration was in force 3.4 s after it was accepted.
 */
START_TEST (timed_out_store_read_is_not_retried)
{
  Fixture  fixture;
  uint64_t calls;

  init (&fixture);
  wait_for (&fixture, &fixture.first, 10);
  wait_for (&fixture, &fixture.first, wc_emulated_store_put (fixture.store, "op/config", "{}", 2));
  /* The next wait for changes goes over the connection that served the last one. */
  calls = wc_emulated_store_get_calls (fixture.store);
  while (wc_emulated_store_get_calls (fixture.store) == calls)
    ev_run (fixture.loop, EVRUN_ONCE);
  wc_emulated_store_set_mode (fixture.store, WC_STORE_IS_SILENT);
  calls = wc_emulated_store_get_calls (fixture.store);
  wait_for_failure (&fixture, &fixture.first);
  ck_assert_uint_eq (wc_emulated_store_get_calls (fixture.store), calls);
  finish (&fixture);
}
END_TEST

/* Tells @instance of @peer, whose view is new. */
static void
introduce (const Instance *instance, const Instance *peer)
{
  WcGossip news = { .view_age_ms = 10 };

  wc_peer_table_fill_gossip (peer->peers, &news, 1);
  wc_peer_table_receive (instance->peers, &news, wc_clock_monotonic_us ());
}

/* Starts the second instance in the domain of the first, so that it reads through the first. */
static void
start_follower (Fixture *fixture, const WcAddress *store)
{
  do
    {
      if (fixture->second.reader)
        stop (fixture, &fixture->second);
      start (fixture, &fixture->second, 2, "a", store);
    }
  while (wc_peer_rank (&wc_peer_table_get_self (fixture->second.peers)->address) <
         wc_peer_rank (&wc_peer_table_get_self (fixture->first.peers)->address));
  introduce (&fixture->second, &fixture->first);
  wait_for (fixture, &fixture->second, 10);
  for (int i = 0; i < 100 && wc_view_reader_get_counters (fixture->second.reader)->peer_reads == 0; i++)
    ev_run (fixture->loop, EVRUN_ONCE);
}

/*
 * Replays a store that stops to answer some instances, the first of a domain among them. Guards against the others of
 * the domain trying the store one after the other, each for 1.5 s: a configuration was in force after 5.2 s.
 */
START_TEST (followers_keep_source_that_reads_another_domain)
{
  Fixture   fixture;
  WcAddress store;
  uint64_t  revision;
  uint64_t  reads;

  init (&fixture);
  wait_for (&fixture, &fixture.first, 10);
  wc_emulated_store_get_address (fixture.store, &store);
  start_follower (&fixture, &store);
  start (&fixture, &fixture.third, 3, "b", &store);
  wait_for (&fixture, &fixture.third, 10);
  reads = wc_view_reader_get_counters (fixture.second.reader)->store_reads;
  introduce (&fixture.first, &fixture.third);
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  revision = wc_emulated_store_put (fixture.store, "op/config", "{}", 2);
  wait_for_failure (&fixture, &fixture.first);
  wait_for (&fixture, &fixture.second, revision);
  ck_assert_uint_eq (wc_view_reader_get_counters (fixture.second.reader)->failures, 0);
  ck_assert_uint_eq (wc_view_reader_get_counters (fixture.second.reader)->store_reads, reads);
  finish (&fixture);
}
END_TEST

/* Guards against instances that go on waiting for the one before them when it has lost the store. */
START_TEST (followers_are_rejected_when_store_is_lost)
{
  Fixture   fixture;
  WcAddress store;
  uint64_t  revision;

  init (&fixture);
  wait_for (&fixture, &fixture.first, 10);
  wc_emulated_store_get_address (fixture.store, &store);
  start_follower (&fixture, &store);
  wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_CUTS);
  revision = wc_emulated_store_put (fixture.store, "op/config", "{}", 2);
  wait_for_failure (&fixture, &fixture.first);
  /* Less than what is left of a wait for changes. */
  for (int i = 0; i < 30; i++)
    {
      ev_sleep (0.01);
      ev_run (fixture.loop, EVRUN_NOWAIT);
    }
  ck_assert_uint_eq (wc_store_replica_get_revision (fixture.second.replica), revision);
  finish (&fixture);
}
END_TEST

/* Replays a service whose hosts start one by one within 400 ms. Guards against a call to the store for each of them. */
START_TEST (consecutive_changes_are_batched)
{
  Fixture  fixture;
  uint64_t calls;
  uint64_t revision = 0;

  init (&fixture);
  wait_for (&fixture, &fixture.first, 10);
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
  wait_for (&fixture, &fixture.first, revision);
  ck_assert_uint_le (wc_emulated_store_get_calls (fixture.store) - calls, 20);
  finish (&fixture);
}
END_TEST

/* Guards against an instance that never recovers from one way in which the store fails. */
START_TEST (recovers_from_every_store_fault)
{
  Fixture  fixture;
  uint64_t revision = 0;

  init (&fixture);
  wait_for (&fixture, &fixture.first, 10);
  for (int mode = WC_STORE_IS_BUSY; mode < WC_STORE_MODE_COUNT; mode++)
    {
      wc_emulated_store_set_mode (fixture.store, (WcStoreMode)mode);
      revision = wc_emulated_store_put (fixture.store, "op/config", "x", 1);
      for (int i = 0; i < 10; i++)
        ev_run (fixture.loop, EVRUN_ONCE);
      wc_emulated_store_set_mode (fixture.store, WC_STORE_SERVES);
      wait_for (&fixture, &fixture.first, revision);
    }
  for (int fault = WC_RELAY_DELAYS; fault < WC_RELAY_FAULT_COUNT; fault++)
    {
      wc_tcp_relay_set_fault (fixture.relay, (WcRelayFault)fault);
      revision = wc_emulated_store_put (fixture.store, "op/config", "y", 1);
      for (int i = 0; i < 10; i++)
        ev_run (fixture.loop, EVRUN_ONCE);
      /* A silenced connection stays silent when the fault has ended. */
      wc_tcp_relay_set_fault (fixture.relay, WC_RELAY_PASSES);
      wait_for (&fixture, &fixture.first, revision);
    }
  wc_emulated_store_put (fixture.store, "op/config", "z", 1);
  wc_emulated_store_remove (fixture.store, "servers/i-3");
  revision = wc_emulated_store_put (fixture.store, "servers/i-4", "[]", 2);
  wc_emulated_store_drop_history (fixture.store);
  wait_for (&fixture, &fixture.first, revision);
  finish (&fixture);
}
END_TEST

/* Guards against an instance that the store turns away, and that stays blind beside a peer that can read. */
START_TEST (reads_from_peer_when_store_refuses_connections)
{
  Fixture   fixture;
  WcAddress nobody = loopback (free_port ());
  WcGossip  news = { .view_age_ms = 10 };

  init (&fixture);
  wait_for (&fixture, &fixture.first, 10);
  start (&fixture, &fixture.second, 2, "b", &nobody);
  wc_peer_table_fill_gossip (fixture.first.peers, &news, 1);
  wc_peer_table_receive (fixture.second.peers, &news, wc_clock_monotonic_us ());
  wait_for (&fixture, &fixture.second, 10);
  ck_assert_uint_eq (fixture.second.changes, 10);
  wait_for (&fixture, &fixture.second, wc_emulated_store_put (fixture.store, "op/config", "{}", 2));
  ck_assert_uint_gt (wc_view_reader_get_counters (fixture.second.reader)->peer_reads, 0);
  finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, reads_pages_and_changes);
  tcase_add_test (tests, timed_out_store_read_is_not_retried);
  tcase_add_test (tests, followers_are_rejected_when_store_is_lost);
  tcase_add_test (tests, followers_keep_source_that_reads_another_domain);
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
