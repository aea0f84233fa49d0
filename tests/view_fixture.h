#ifndef WC_TESTS_VIEW_FIXTURE_H
#define WC_TESTS_VIEW_FIXTURE_H

#include <string.h>
#include <unistd.h>

#include <check.h>
#include <glib.h>

#include "edge/clock.h"
#include "edge/peer_endpoint.h"
#include "edge/socket.h"
#include "edge/store_view.h"
#include "edge/view_reader.h"
#include "emulator/emulated_store.h"
#include "emulator/tcp_relay.h"

/*
 * The parts of an instance that read an emulated store over real sockets, and serve its changes to peers.
 * @values: applied value of each key, as GBytes.
 */
typedef struct
{
  WcStoreReplica *replica;
  WcPeerTable    *peers;
  WcPeerEndpoint *endpoint;
  WcViewReader   *reader;
  WcEventLog     *log;
  GHashTable     *values;
  ev_timer        tick;
  char            last_key[64];
  uint32_t        changes;
} ViewInstance;

typedef struct
{
  struct ev_loop  *loop;
  WcEmulatedStore *store;
  WcTcpRelay      *relay;
  ViewInstance     first;
  ViewInstance     second;
  ViewInstance     third;
} ViewFixture;

static inline void
view_apply (void *user_data, const WcStoreChange *change)
{
  ViewInstance *instance = user_data;

  g_strlcpy (instance->last_key, change->key, sizeof instance->last_key);
  instance->changes++;
  if (change->value)
    g_hash_table_replace (instance->values, g_strdup (change->key), g_bytes_ref (change->value));
  else
    g_hash_table_remove (instance->values, change->key);
}

static inline void
view_was_updated (void *user_data)
{
  wc_peer_endpoint_view_changed (((ViewInstance *)user_data)->endpoint);
}

static inline void
view_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  wc_peer_endpoint_tick (((ViewInstance *)watcher->data)->endpoint, wc_clock_monotonic_us ());
}

static inline void
view_source_lost (void *user_data)
{
  wc_peer_endpoint_source_lost (((ViewInstance *)user_data)->endpoint);
}

static inline void
view_indirect_changed (void *user_data, bool is_indirect)
{
  wc_peer_endpoint_set_indirect (((ViewInstance *)user_data)->endpoint, is_indirect);
}

static inline void
view_fill_own_state (void *user_data, WcGossip *gossip)
{
  ViewInstance *instance = user_data;

  gossip->revision = wc_store_replica_get_version (instance->replica).revision;
  gossip->view_age_ms = 100;
}

static inline void
view_add_next_reports (void *user_data, WcGossip *gossip)
{
  (void)user_data;
  (void)gossip;
}

static inline void
view_add_host_reports (void *user_data, uint64_t host, WcGossip *gossip)
{
  (void)user_data;
  (void)host;
  (void)gossip;
}

static inline WcFlowNote
view_answer_flow_note (void *user_data, const WcFlowNote *question)
{
  (void)user_data;
  return (WcFlowNote){ .key = question->key, .sequence = question->sequence };
}

static inline void
view_peer_joined (void *user_data, const WcPeerEntry *peer)
{
  (void)user_data;
  (void)peer;
}

static inline void
view_gossip_received (void *user_data, const WcGossip *gossip)
{
  (void)user_data;
  (void)gossip;
}

/*
 * Return: an unused address of this process. Each process has its own loopback address, because the kernel gives
 * connections of other programs ephemeral ports of 127.0.0.1.
 */
static inline WcAddress
view_unused_address (void)
{
  static uint16_t next_port = 20000;
  const uint32_t  pid = (uint32_t)getpid ();

  return (WcAddress){
    .ip = { 127, (uint8_t)(64 + (pid >> 16) % 128), (uint8_t)(pid >> 8), (uint8_t)pid },
    .family = 4,
    .port = next_port++,
  };
}

static inline void
view_fixture_start (ViewFixture *fixture, ViewInstance *instance, uint64_t incarnation, const char *domain,
                    const WcAddress *store)
{
  WcPeerEntry                    self = { .address = view_unused_address (),
                                          .incarnation = incarnation,
                                          .domain = g_quark_from_string (domain) };
  static const WcPeerEndpointOps peer_ops = { view_fill_own_state,  view_add_next_reports, view_add_host_reports,
                                              view_gossip_received, view_answer_flow_note, view_peer_joined };
  static const WcStoreReplicaOps replica_ops = { .apply = view_apply, .compare = wc_store_view_compare };
  static const WcViewReaderOps   ops = { .view_updated = view_was_updated,
                                         .source_lost = view_source_lost,
                                         .indirect_changed = view_indirect_changed };
  WcError                        error;

  instance->log = wc_event_log_new (fixture->loop, STDERR_FILENO, domain);
  instance->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
  instance->replica = wc_store_replica_new (60 * 1000 * 1000, &replica_ops, instance);
  instance->peers = wc_peer_table_new (&self);
  instance->endpoint = wc_peer_endpoint_new (fixture->loop, &self.address, instance->peers, instance->replica,
                                             instance->log, &peer_ops, instance, &error);
  ck_assert_msg (instance->endpoint != NULL, "%s", error.message);
  instance->reader =
      wc_view_reader_new (fixture->loop, store, instance->replica, instance->peers, instance->log, &ops, instance);
  ev_timer_init (&instance->tick, view_tick, 0.05, 0.05);
  instance->tick.data = instance;
  ev_timer_start (fixture->loop, &instance->tick);
}

static inline void
view_fixture_init (ViewFixture *fixture)
{
  const WcAddress any = { .ip = { 127, 0, 0, 1 }, .family = 4 };
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
  view_fixture_start (fixture, &fixture->first, 1, "a", &address);
}

static inline void
view_fixture_stop (ViewFixture *fixture, ViewInstance *instance)
{
  ev_timer_stop (fixture->loop, &instance->tick);
  wc_view_reader_delete (instance->reader);
  wc_peer_endpoint_delete (instance->endpoint);
  wc_peer_table_delete (instance->peers);
  wc_store_replica_delete (instance->replica);
  wc_event_log_delete (instance->log);
  g_hash_table_destroy (instance->values);
}

static inline void
view_fixture_finish (ViewFixture *fixture)
{
  view_fixture_stop (fixture, &fixture->first);
  if (fixture->second.reader)
    view_fixture_stop (fixture, &fixture->second);
  if (fixture->third.reader)
    view_fixture_stop (fixture, &fixture->third);
  wc_tcp_relay_delete (fixture->relay);
  wc_emulated_store_delete (fixture->store);
  ev_loop_destroy (fixture->loop);
}

static inline void
view_break_loop (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

/* Runs the loop until @instance knows @revision, for at most 20 s, which only a failing test takes. */
static inline void
view_wait_for_revision (ViewFixture *fixture, const ViewInstance *instance, uint64_t revision)
{
  ev_timer poll_timer;

  ev_timer_init (&poll_timer, view_break_loop, 0.02, 0.02);
  ev_timer_start (fixture->loop, &poll_timer);
  for (int i = 0; i < 1000 && wc_store_replica_get_version (instance->replica).revision < revision; i++)
    ev_run (fixture->loop, 0);
  ev_timer_stop (fixture->loop, &poll_timer);
  ck_assert_uint_ge (wc_store_replica_get_version (instance->replica).revision, revision);
}

/* Runs the loop for @duration_ms. */
static inline void
view_run_for (ViewFixture *fixture, uint32_t duration_ms)
{
  const uint64_t deadline_us = wc_clock_monotonic_us () + (uint64_t)duration_ms * 1000;

  while (wc_clock_monotonic_us () < deadline_us)
    {
      ev_sleep (0.005);
      ev_run (fixture->loop, EVRUN_NOWAIT);
    }
}

/* Return: @instance has applied the text @value for @key; NULL for no value. */
static inline bool
view_has_value (const ViewInstance *instance, const char *key, const char *value)
{
  GBytes     *known = g_hash_table_lookup (instance->values, key);
  gsize       size_bytes = 0;
  const char *text = known ? g_bytes_get_data (known, &size_bytes) : NULL;

  if (!known || !value)
    return !known && !value;
  return size_bytes == strlen (value) && memcmp (text, value, size_bytes) == 0;
}

/* Runs the loop until @instance has applied @value for @key, for at most 20 s, which only a failing test takes. */
static inline void
view_wait_for_value (ViewFixture *fixture, const ViewInstance *instance, const char *key, const char *value)
{
  for (int i = 0; i < 2000 && !view_has_value (instance, key, value); i++)
    view_run_for (fixture, 10);
  ck_assert_msg (view_has_value (instance, key, value), "%s is not %s", key, value ? value : "deleted");
}

/* Runs the loop until @instance has a complete view of @era, for at most 20 s, which only a failing test takes. */
static inline void
view_wait_for_era (ViewFixture *fixture, const ViewInstance *instance, uint64_t era)
{
  for (int i = 0; i < 2000 && wc_store_replica_get_version (instance->replica).era < era; i++)
    view_run_for (fixture, 10);
  ck_assert_uint_eq (wc_store_replica_get_version (instance->replica).era, era);
}

/* Adds @peer, with an up-to-date view, to the peer table of @instance. */
static inline void
view_add_peer (const ViewInstance *instance, const ViewInstance *peer)
{
  WcGossip gossip = { .view_age_ms = 10 };

  wc_peer_table_fill_gossip (peer->peers, &gossip, 1);
  wc_peer_table_receive (instance->peers, &gossip, wc_clock_monotonic_us ());
}

/*
 * Adds an instance to the domain of @instance and before it in the peer order, so that it is read from. It accepts
 * connections and never answers, as a frozen process does. Return: its socket, which the caller closes.
 */
static inline int
view_add_hung_peer (const ViewInstance *instance, uint64_t incarnation)
{
  const WcPeerEntry *self = wc_peer_table_get_self (instance->peers);
  WcGossip           gossip = { .sender = { .incarnation = incarnation, .heartbeat = 1, .domain = self->domain } };
  int                fd;

  do
    gossip.sender.address = view_unused_address ();
  while (wc_peer_rank (&gossip.sender.address) > wc_peer_rank (&self->address));
  fd = wc_socket_listen (&gossip.sender.address);
  ck_assert_int_ge (fd, 0);
  wc_peer_table_receive (instance->peers, &gossip, wc_clock_monotonic_us ());
  return fd;
}

/* Starts the second instance in the domain of the first and after it in the peer order, so that it reads through it. */
static inline void
view_start_follower (ViewFixture *fixture, const WcAddress *store)
{
  do
    {
      if (fixture->second.reader)
        view_fixture_stop (fixture, &fixture->second);
      view_fixture_start (fixture, &fixture->second, 2, "a", store);
    }
  while (wc_peer_rank (&wc_peer_table_get_self (fixture->second.peers)->address) <
         wc_peer_rank (&wc_peer_table_get_self (fixture->first.peers)->address));
  view_add_peer (&fixture->second, &fixture->first);
  view_wait_for_revision (fixture, &fixture->second, 10);
  for (int i = 0; i < 100 && wc_view_reader_get_counters (fixture->second.reader)->peer_reads == 0; i++)
    ev_run (fixture->loop, EVRUN_ONCE);
}

#endif
