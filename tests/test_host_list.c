#include "test_main.h"

#include <string.h>
#include <unistd.h>

#include "edge/clock.h"
#include "edge/store_view.h"
#include "edge/view_reader.h"
#include "emulator/emulated_store.h"
#include "forward_fixture.h"

/* The list of hosts in an emulated store, with entries of another writer, read by the reader of an instance. */

#define HOST_WITH(address, more)                                                                                       \
  "{\"service\":\"desk\",\"address\":\"" address "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,"                   \
  "\"state\":\"ready\",\"warmup-left-ms\":0,\"seq\":4" more "}"
#define HOST(address) HOST_WITH (address, "")

typedef struct
{
  ForwardFixture      fixture;
  struct ev_loop     *loop;
  WcEmulatedStore    *store;
  WcEventLog         *log;
  WcStoreReplica     *replica;
  WcPeerTable        *peers;
  WcViewReader       *reader;
  WcStoreViewCounters counters;
} Instance;

static void
apply (void *user_data, const WcStoreChange *change)
{
  Instance *instance = user_data;

  wc_store_view_apply (instance->fixture.forwarder, instance->log, change, instance->fixture.now_us,
                       &instance->counters);
}

static void
ignore_update (void *user_data)
{
  (void)user_data;
}

static void
put (Instance *instance, const char *key, const char *text)
{
  wc_emulated_store_put (instance->store, key, text, strlen (text));
}

/* Two sound entries, before and after the others in the order of keys. */
static void
init (Instance *instance)
{
  const WcAddress any = { .ip = { 127, 0, 0, 1 }, .family = 4 };
  WcError         error;

  memset (instance, 0, sizeof *instance);
  fixture_init (&instance->fixture);
  instance->loop = ev_loop_new (0);
  instance->store = wc_emulated_store_new (instance->loop, &any, 3, &error);
  ck_assert_ptr_nonnull (instance->store);
  put (instance, "servers/i-1", HOST ("10.0.0.1:8080"));
  put (instance, "servers/z-2", HOST ("10.0.0.2:8080"));
}

static void
start (Instance *instance)
{
  static const WcStoreReplicaOps replica_ops = { .apply = apply, .compare = wc_store_view_compare };
  static const WcViewReaderOps   ops = { .view_updated = ignore_update, .source_lost = ignore_update };
  const WcPeerEntry              self = { .address = { .ip = { 127, 0, 0, 1 }, .family = 4, .port = 9 },
                                          .incarnation = 1,
                                          .domain = g_quark_from_string ("a") };
  WcAddress                      address;

  instance->log = wc_event_log_new (instance->loop, STDERR_FILENO, "test");
  instance->replica = wc_store_replica_new (60 * 1000 * 1000, &replica_ops, instance);
  instance->peers = wc_peer_table_new (&self);
  wc_emulated_store_get_address (instance->store, &address);
  instance->reader =
      wc_view_reader_new (instance->loop, &address, instance->replica, instance->peers, instance->log, &ops, instance);
}

static void
finish (Instance *instance)
{
  wc_view_reader_delete (instance->reader);
  wc_peer_table_delete (instance->peers);
  wc_store_replica_delete (instance->replica);
  wc_event_log_delete (instance->log);
  wc_emulated_store_delete (instance->store);
  ev_loop_destroy (instance->loop);
  fixture_finish (&instance->fixture);
}

static bool
is_in_use (const Instance *instance, uint64_t id)
{
  const WcHost *host = fixture_find_host (&instance->fixture, id);

  return host && host->record.state == WC_HOST_READY;
}

static void
break_loop (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ONE);
}

/* Runs the loop until a host that is added now is in use, for at most 20 s: the instance still follows the list. */
static void
follow (Instance *instance, uint64_t id)
{
  char    *key = g_strdup_printf ("servers/i-%x", (unsigned)id);
  ev_timer timer;

  put (instance, key, HOST ("10.0.0.9:8080"));
  g_free (key);
  ev_timer_init (&timer, break_loop, 0.02, 0.02);
  ev_timer_start (instance->loop, &timer);
  for (int i = 0; i < 1000 && !is_in_use (instance, id); i++)
    ev_run (instance->loop, 0);
  ev_timer_stop (instance->loop, &timer);
  ck_assert (is_in_use (instance, id));
}

static char *
nested (uint32_t depth)
{
  GString *text = g_string_new ("{\"service\":\"desk\",\"address\":\"10.0.0.7:80\",\"zone\":\"a\",\"version\":\"v1\","
                                "\"slots\":2,\"state\":\"ready\",\"warmup-left-ms\":0,\"seq\":4,\"more\":");

  for (uint32_t i = 0; i < depth; i++)
    g_string_append_c (text, '[');
  for (uint32_t i = 0; i < depth; i++)
    g_string_append_c (text, ']');
  return g_string_free (g_string_append_c (text, '}'), FALSE);
}

static const char *const ODD_ENTRIES[] = {
  HOST ("10.0.0.7:0"),
  HOST ("10.0.0.7:65536"),
  HOST ("10.0.0.7:99999999999999999999"),
  HOST ("10.0.0.7:80\\u0000"),
  HOST_WITH ("10.0.0.7:80", ",\"born\":1e400"),
  HOST_WITH ("10.0.0.7:80", ",\"born\":99999999999999999999"),
  HOST_WITH ("10.0.0.7:80", ",\"born\":\"now\""),
  HOST_WITH ("10.0.0.7:80", ",\"warmup-left-ms\":99999999999999999999"),
  HOST_WITH ("10.0.0.7:80", ",\"warmup-left-ms\":\"0\""),
  HOST_WITH ("10.0.0.7:80", ",\"seq\":-1"),
  HOST_WITH ("10.0.0.7:80", ",\"slots\":99999999999999999999"),
  HOST_WITH ("10.0.0.7:80", ",\"slots\":1e9"),
  HOST_WITH ("10.0.0.7:80", ",\"slots\":null"),
  HOST_WITH ("10.0.0.7:80", ",\"service\":\"\""),
  HOST_WITH ("10.0.0.7:80", ",\"zone\":\"\""),
  HOST_WITH ("10.0.0.7:80", ",\"state\":\"asleep\""),
  HOST_WITH ("10.0.0.7:80", ",\"version\":2"),
  HOST_WITH ("10.0.0.7:80", ",\"seq\":null"),
  /* Without version, warmup-left-ms and seq. */
  "{\"service\":\"desk\",\"address\":\"10.0.0.7:80\",\"zone\":\"a\",\"slots\":2,\"state\":\"ready\"}",
  HOST ("10.0.0.7:80") " and more",
  HOST ("10.0.0.7:80") HOST ("10.0.0.7:81"),
  "",
  "null",
  "[[[[",
  "\xff\xfe\x00",
};

/*
 * One entry of the list is odd, from the start or later. Guards against an instance that ends, stops following the
 * list, uses the odd entry or gives up a sound one; the entry is counted.
 */
START_TEST (odd_entry_leaves_others_in_use)
{
  static Instance instance;

  init (&instance);
  put (&instance, "servers/j-7", ODD_ENTRIES[_i]);
  start (&instance);
  follow (&instance, 3);
  ck_assert (is_in_use (&instance, 1) && is_in_use (&instance, 2));
  ck_assert (!is_in_use (&instance, 7));
  ck_assert_uint_eq (instance.counters.hosts_rejected, 1);
  put (&instance, "servers/j-8", ODD_ENTRIES[_i]);
  follow (&instance, 4);
  ck_assert (is_in_use (&instance, 1) && is_in_use (&instance, 2) && is_in_use (&instance, 3));
  ck_assert (!is_in_use (&instance, 8));
  ck_assert_uint_eq (instance.counters.hosts_rejected, 2);
  finish (&instance);
}
END_TEST

/* The same for entries that are nested too deeply for the decoder, or for the stack of a recursive one. */
START_TEST (nested_entry_leaves_others_in_use)
{
  static const uint32_t depths[] = { 32, 1000, 100000 };
  static Instance       instance;
  char                 *text = nested (depths[_i]);

  init (&instance);
  put (&instance, "servers/j-7", text);
  start (&instance);
  follow (&instance, 3);
  ck_assert (is_in_use (&instance, 1) && is_in_use (&instance, 2));
  ck_assert (!is_in_use (&instance, 7));
  ck_assert_uint_eq (instance.counters.hosts_rejected, 1);
  g_free (text);
  finish (&instance);
}
END_TEST

/*
 * The key of an odd entry ends in the identifier of a host that serves. Guards against a sound host that is given up,
 * or replaced, because of an entry that is not its own.
 */
START_TEST (other_key_does_not_remove_host)
{
  static Instance instance;

  init (&instance);
  start (&instance);
  follow (&instance, 3);
  put (&instance, "servers/old-1", "{}");
  put (&instance, "servers/old-2", HOST ("10.0.0.7:80"));
  follow (&instance, 4);
  ck_assert (is_in_use (&instance, 1) && is_in_use (&instance, 2));
  ck_assert_uint_eq (fixture_find_host (&instance.fixture, 2)->record.address.ip[3], 2);
  ck_assert_uint_eq (instance.counters.hosts_rejected, 2);
  wc_emulated_store_remove (instance.store, "servers/old-2");
  follow (&instance, 5);
  ck_assert (is_in_use (&instance, 2));
  finish (&instance);
}
END_TEST

/* Guards against keys that crash the instance or hide other entries. */
START_TEST (odd_keys_are_ignored)
{
  static const char *const keys[] = {
    "servers/", "servers/-", "servers/i-", "servers/\xff\xfe", "servers/i-0", "servers/i-123456789012345678", ""
  };
  static Instance instance;

  init (&instance);
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    put (&instance, keys[i], HOST ("10.0.0.7:80"));
  start (&instance);
  follow (&instance, 3);
  ck_assert (is_in_use (&instance, 1) && is_in_use (&instance, 2));
  finish (&instance);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, odd_entry_leaves_others_in_use, 0, (int)G_N_ELEMENTS (ODD_ENTRIES));
  tcase_add_loop_test (tests, nested_entry_leaves_others_in_use, 0, 3);
  tcase_add_test (tests, other_key_does_not_remove_host);
  tcase_add_test (tests, odd_keys_are_ignored);
}

int
main (void)
{
  return wc_test_run ("host_list", add_tests);
}
