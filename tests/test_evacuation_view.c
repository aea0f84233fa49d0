#include "test_main.h"

#include <string.h>
#include <unistd.h>

#include "edge/store_view.h"
#include "forward/store_replica.h"
#include "forward_fixture.h"

/*
 * Evacuations that reach an instance through its replica of the store, without a network. Hosts are of domains "a", the
 * instance's own, and "b".
 */

static const char EVACUATE_A[] = "op/evacuate/a";
static const char EVACUATE_B[] = "op/evacuate/b";

enum
{
  SECOND_US = 1000 * 1000,
  /* Longer than the time after which a restored store is taken at its word, see store_replica.c. */
  SETTLED_US = 3500 * 1000,
  TOMBSTONE_LIFETIME_US = 60 * 1000 * 1000
};

typedef struct
{
  ForwardFixture  fixture;
  WcStoreReplica *replica;
  WcEventLog     *log;
  struct ev_loop *loop;
  uint16_t        caller;
} Instance;

static void
apply (void *user_data, const WcStoreChange *change)
{
  Instance *instance = user_data;

  WcStoreViewCounters counters = { 0 };

  wc_store_view_apply (instance->fixture.forwarder, instance->log, change, instance->fixture.now_us, &counters);
}

static void
init (Instance *instance)
{
  static const WcStoreReplicaOps ops = { .apply = apply, .compare = wc_store_view_compare };

  fixture_init (&instance->fixture);
  instance->loop = ev_loop_new (0);
  instance->log = wc_event_log_new (instance->loop, STDERR_FILENO, "test");
  instance->replica = wc_store_replica_new (TOMBSTONE_LIFETIME_US, &ops, instance);
  instance->caller = 100;
  fixture_put_host (&instance->fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&instance->fixture, 2, "b", WC_HOST_READY);
}

static void
finish (Instance *instance)
{
  wc_store_replica_delete (instance->replica);
  wc_event_log_delete (instance->log);
  ev_loop_destroy (instance->loop);
  fixture_finish (&instance->fixture);
}

/* A reply at @version; @items is a list of key and revision, "-KEY" for a deletion, that ends with NULL. */
static void
fill (WcStoreReply *reply, WcStoreVersion version, const char *const *items)
{
  wc_store_reply_init (reply);
  reply->version = version;
  for (; *items; items += 2)
    {
      bool                 is_deleted = (*items)[0] == '-';
      const WcStoreVersion written = { version.era, g_ascii_strtoull (items[1], NULL, 10) };

      wc_store_reply_add (reply, *items + is_deleted, is_deleted ? NULL : g_bytes_new_static ("{}", 2), written);
    }
}

static void
read_changes (Instance *instance, WcStoreVersion version, const char *const *items)
{
  WcStoreReply reply;

  fill (&reply, version, items);
  wc_store_replica_add_changes (instance->replica, &reply, 0, instance->fixture.now_us);
  wc_store_reply_finish (&reply);
}

static void
read_all (Instance *instance, WcStoreVersion version, const char *const *items)
{
  WcStoreReply reply;

  fill (&reply, version, items);
  wc_store_replica_begin_full_read (instance->replica);
  ck_assert (wc_store_replica_add_page (instance->replica, &reply, 0, instance->fixture.now_us));
  wc_store_reply_finish (&reply);
}

/* The source confirms the view without a change. */
static void
confirm (Instance *instance)
{
  static const char *const nothing[] = { NULL };

  read_changes (instance, wc_store_replica_get_version (instance->replica), nothing);
}

/* @instance, which has just started, reads the whole view of @peer. */
static void
read_peer (Instance *instance, const Instance *peer)
{
  WcStoreReply reply;

  wc_store_reply_init (&reply);
  ck_assert (wc_store_replica_get_changes (peer->replica, (WcStoreVersion){ 0 }, &reply));
  wc_store_replica_begin_full_read (instance->replica);
  ck_assert (wc_store_replica_add_page (instance->replica, &reply, 0, instance->fixture.now_us));
  wc_store_reply_finish (&reply);
}

/* Whether new flows go to the host of the own domain, which is preferred. */
static bool
uses_own_domain (Instance *instance)
{
  uint64_t host;

  fixture_syn (&instance->fixture, instance->caller++, FIXTURE_ROUTE_PORT, 0);
  host = fixture_last_host (&instance->fixture);
  wc_forwarder_discard_evidence (instance->fixture.forwarder, instance->fixture.now_us);
  return host == 1;
}

static uint32_t
count_evacuated (const Instance *instance)
{
  return (uint32_t)wc_evacuation_get_count (wc_forwarder_get_evacuation (instance->fixture.forwarder));
}

#define LIST(...)                                                                                                      \
  (const char *const[])                                                                                                \
  {                                                                                                                    \
    __VA_ARGS__, NULL                                                                                                  \
  }
#define EMPTY                                                                                                          \
  (const char *const[])                                                                                                \
  {                                                                                                                    \
    NULL                                                                                                               \
  }

/* Guards against a value that decides, and against an evacuation that does not end with its key. */
START_TEST (key_alone_counts)
{
  static const char *const values[] = { "", "null", "[]", "{\"evacuate\":false}", "\xff" };
  static Instance          instance;

  init (&instance);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      GBytes             *value = g_bytes_new (values[i], strlen (values[i]));
      const WcStoreChange put = { (char *)EVACUATE_A, value, { 1, 2 * i + 1 } };
      const WcStoreChange removal = { (char *)EVACUATE_A, NULL, { 1, 2 * i + 2 } };

      apply (&instance, &put);
      ck_assert (!uses_own_domain (&instance));
      apply (&instance, &removal);
      ck_assert (uses_own_domain (&instance));
      g_bytes_unref (value);
    }
  finish (&instance);
}
END_TEST

/* Guards against a domain that is restored with another one, and against flows while the service has no domain left. */
START_TEST (two_domains_at_once)
{
  static Instance instance;

  init (&instance);
  read_all (&instance, (WcStoreVersion){ 1, 10 }, LIST (EVACUATE_A, "4", EVACUATE_B, "5"));
  ck_assert_uint_eq (count_evacuated (&instance), 2);
  fixture_syn (&instance.fixture, 50, FIXTURE_ROUTE_PORT, 0);
  ck_assert_uint_eq (instance.fixture.forward_count, 0);
  ck_assert_uint_eq (instance.fixture.reset_count, 1);
  read_changes (&instance, (WcStoreVersion){ 1, 11 }, LIST ("-op/evacuate/b", "11"));
  ck_assert (!uses_own_domain (&instance));
  ck_assert_uint_eq (fixture_last_host (&instance.fixture), 2);
  finish (&instance);
}
END_TEST

/* Guards against a second evacuation in one reply that is taken for the first, or is ended by its removal. */
START_TEST (twice_in_a_row)
{
  static Instance instance;

  init (&instance);
  read_all (&instance, (WcStoreVersion){ 1, 10 }, EMPTY);
  read_changes (&instance, (WcStoreVersion){ 1, 13 },
                LIST (EVACUATE_A, "11", "-op/evacuate/a", "12", EVACUATE_A, "13"));
  ck_assert (!uses_own_domain (&instance));
  ck_assert_uint_eq (instance.fixture.decisions[WC_DECISION_DOMAIN_EVACUATED], 2);
  ck_assert_uint_eq (instance.fixture.decisions[WC_DECISION_DOMAIN_RESTORED], 1);
  read_changes (&instance, (WcStoreVersion){ 1, 14 }, LIST ("-op/evacuate/a", "14"));
  ck_assert (uses_own_domain (&instance));
  finish (&instance);
}
END_TEST

/* The source has forgotten the changes. Guards against an end or a begin that only the full read shows. */
START_TEST (history_forgotten)
{
  static Instance instance;

  init (&instance);
  read_all (&instance, (WcStoreVersion){ 1, 10 }, LIST (EVACUATE_A, "10"));
  ck_assert (!uses_own_domain (&instance));
  read_all (&instance, (WcStoreVersion){ 1, 20 }, LIST (EVACUATE_B, "15"));
  ck_assert (uses_own_domain (&instance));
  ck_assert_uint_eq (count_evacuated (&instance), 1);
  read_all (&instance, (WcStoreVersion){ 1, 30 }, LIST (EVACUATE_A, "25", EVACUATE_B, "15"));
  ck_assert_uint_eq (count_evacuated (&instance), 2);
  ck_assert_uint_eq (instance.fixture.decisions[WC_DECISION_DOMAIN_EVACUATED], 3);
  finish (&instance);
}
END_TEST

/*
 * The store is restored from a copy of before the evacuation, whose key is written again later. Guards against an
 * evacuation that is lifted meanwhile, on the instance and on one that starts then and reads from it.
 */
START_TEST (restore_does_not_lift_early)
{
  static Instance instance;
  static Instance started;

  init (&instance);
  init (&started);
  read_all (&instance, (WcStoreVersion){ 1, 10 }, EMPTY);
  read_changes (&instance, (WcStoreVersion){ 1, 11 }, LIST (EVACUATE_A, "11"));
  read_all (&instance, (WcStoreVersion){ 2, 10 }, EMPTY);
  instance.fixture.now_us += SECOND_US;
  confirm (&instance);
  ck_assert (!uses_own_domain (&instance));
  started.fixture.now_us = instance.fixture.now_us;
  read_peer (&started, &instance);
  ck_assert (!uses_own_domain (&started));
  read_changes (&instance, (WcStoreVersion){ 2, 11 }, LIST (EVACUATE_A, "11"));
  instance.fixture.now_us += SETTLED_US;
  confirm (&instance);
  ck_assert (!uses_own_domain (&instance));
  ck_assert_uint_eq (instance.fixture.decisions[WC_DECISION_DOMAIN_EVACUATED], 1);
  ck_assert_uint_eq (instance.fixture.decisions[WC_DECISION_DOMAIN_RESTORED], 0);
  read_changes (&instance, (WcStoreVersion){ 2, 12 }, LIST ("-op/evacuate/a", "12"));
  ck_assert (uses_own_domain (&instance));
  finish (&started);
  finish (&instance);
}
END_TEST

/* The key is not written again after the restore. Guards against an evacuation that never ends. */
START_TEST (restore_lifts_after_confirmation)
{
  static Instance instance;

  init (&instance);
  read_all (&instance, (WcStoreVersion){ 1, 10 }, LIST (EVACUATE_A, "10"));
  read_all (&instance, (WcStoreVersion){ 2, 9 }, EMPTY);
  /* An instance that is cut off from the store and its peers keeps its last known state. */
  instance.fixture.now_us += 10 * (uint64_t)SECOND_US;
  fixture_advance (&instance.fixture, SECOND_US);
  ck_assert (!uses_own_domain (&instance));
  confirm (&instance);
  ck_assert (uses_own_domain (&instance));
  finish (&instance);
}
END_TEST

/*
 * The store is restored from a copy of during an evacuation that has ended. Guards against an evacuation that begins
 * again, on the instance and on one that starts then and reads from it.
 */
START_TEST (restore_does_not_reinstate)
{
  static Instance instance;
  static Instance started;

  init (&instance);
  init (&started);
  read_all (&instance, (WcStoreVersion){ 1, 10 }, LIST (EVACUATE_A, "10"));
  read_changes (&instance, (WcStoreVersion){ 1, 11 }, LIST ("-op/evacuate/a", "11"));
  read_all (&instance, (WcStoreVersion){ 2, 10 }, LIST (EVACUATE_A, "10"));
  instance.fixture.now_us += SECOND_US;
  confirm (&instance);
  ck_assert (uses_own_domain (&instance));
  started.fixture.now_us = instance.fixture.now_us;
  read_peer (&started, &instance);
  ck_assert (uses_own_domain (&started));
  read_changes (&instance, (WcStoreVersion){ 2, 11 }, LIST ("-op/evacuate/a", "11"));
  instance.fixture.now_us += SETTLED_US;
  confirm (&instance);
  ck_assert (uses_own_domain (&instance));
  ck_assert_uint_eq (instance.fixture.decisions[WC_DECISION_DOMAIN_EVACUATED], 1);
  finish (&started);
  finish (&instance);
}
END_TEST

/* Guards against an evacuation that stays out of force although the restored store keeps it. */
START_TEST (restore_reinstates_after_confirmation)
{
  static Instance instance;

  init (&instance);
  read_all (&instance, (WcStoreVersion){ 1, 10 }, LIST (EVACUATE_A, "10"));
  read_changes (&instance, (WcStoreVersion){ 1, 11 }, LIST ("-op/evacuate/a", "11"));
  read_all (&instance, (WcStoreVersion){ 2, 10 }, LIST (EVACUATE_A, "10"));
  instance.fixture.now_us += SETTLED_US;
  ck_assert (uses_own_domain (&instance));
  confirm (&instance);
  ck_assert (!uses_own_domain (&instance));
  finish (&instance);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, key_alone_counts);
  tcase_add_test (tests, two_domains_at_once);
  tcase_add_test (tests, twice_in_a_row);
  tcase_add_test (tests, history_forgotten);
  tcase_add_test (tests, restore_does_not_lift_early);
  tcase_add_test (tests, restore_lifts_after_confirmation);
  tcase_add_test (tests, restore_does_not_reinstate);
  tcase_add_test (tests, restore_reinstates_after_confirmation);
}

int
main (void)
{
  return wc_test_run ("evacuation_view", add_tests);
}
