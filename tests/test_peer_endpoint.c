#include "test_main.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/peer_endpoint.h"
#include "edge/platform_client.h"
#include "edge/store_view.h"
#include "edge/socket_address.h"

/* Peer endpoints on loopback. Each one puts its incarnation into its host reports, which shows their origin. */

typedef struct
{
  uint64_t        incarnation;
  struct ev_loop *loop;
  WcAddress       address;
  WcPeerTable    *peers;
  WcStoreReplica *replica;
  WcEventLog     *log;
  WcPeerEndpoint *endpoint;
  uint32_t        queries;
  uint32_t        replies;
  uint32_t        joined;
  uint32_t        flow_answers;
  WcGossip        last_gossip;
} Instance;

static void
fill_own_state (void *user_data, WcGossip *gossip)
{
  (void)user_data;
  gossip->view_age_ms = 100;
}

static void
add_next_reports (void *user_data, WcGossip *gossip)
{
  (void)user_data;
  (void)gossip;
}

static void
add_host_reports (void *user_data, uint64_t host, WcGossip *gossip)
{
  const Instance *instance = user_data;

  gossip->hosts[gossip->host_count++] =
      (WcHostReport){ .host = host, .busy = (uint32_t)instance->incarnation, .life_age_ms = UINT32_MAX };
  gossip->hosts[gossip->host_count++] = (WcHostReport){ .host = host, .reporter = 99, .silent_requests = 1 };
}

static void
gossip_received (void *user_data, const WcGossip *gossip)
{
  Instance *instance = user_data;

  if (gossip->asks)
    instance->queries++;
  else if (gossip->host_count > 0)
    instance->replies++;
  if (gossip->flow_count > 0 && !gossip->flows[0].asks)
    instance->flow_answers++;
  instance->last_gossip = *gossip;
}

/* Knows every flow, at the host with its own incarnation as cookie. */
static WcFlowNote
answer_flow_note (void *user_data, const WcFlowNote *question)
{
  const Instance *instance = user_data;

  return (WcFlowNote){
    .key = question->key, .sequence = question->sequence, .cookie = (uint32_t)instance->incarnation, .age_ms = 1500
  };
}

static void
peer_joined (void *user_data, const WcPeerEntry *peer)
{
  (void)peer;
  ((Instance *)user_data)->joined++;
}

static void
apply (void *user_data, const WcStoreChange *change)
{
  (void)user_data;
  (void)change;
}

static void
start (Instance *instance, struct ev_loop *loop, uint64_t incarnation)
{
  static const WcStoreReplicaOps replica_ops = { .apply = apply, .compare = wc_store_view_compare };
  static const WcPeerEndpointOps ops = { fill_own_state,  add_next_reports, add_host_reports,
                                         gossip_received, answer_flow_note, peer_joined };
  const WcPeerEntry              self = {
                 .address = { .ip = { 127, 0, 0, 1 },
                              .family = 4,
                              .port = (uint16_t)(20000 + (getpid () * 2 + (int)incarnation) % 20000) },
                 .incarnation = incarnation,
                 .domain = g_quark_from_string ("a"),
  };
  WcError error;

  memset (instance, 0, sizeof *instance);
  instance->incarnation = incarnation;
  instance->loop = loop;
  instance->address = self.address;
  instance->log = wc_event_log_new (loop, STDERR_FILENO, "test");
  instance->peers = wc_peer_table_new (&self);
  instance->replica = wc_store_replica_new (60 * 1000 * 1000, &replica_ops, instance);
  instance->endpoint = wc_peer_endpoint_new (loop, &self.address, instance->peers, instance->replica, instance->log,
                                             &ops, instance, &error);
  ck_assert_msg (instance->endpoint != NULL, "%s", error.message);
}

static void
finish (Instance *instance)
{
  wc_peer_endpoint_delete (instance->endpoint);
  wc_store_replica_delete (instance->replica);
  wc_peer_table_delete (instance->peers);
  wc_event_log_delete (instance->log);
}

/* Runs the loop until @count reaches @target, for at most one second. A count that never rises gives a full second. */
static void
run_until (struct ev_loop *loop, const uint32_t *count, uint32_t target)
{
  uint64_t deadline_us = wc_clock_monotonic_us () + 1000 * 1000;

  while (*count < target && wc_clock_monotonic_us () < deadline_us)
    {
      ev_run (loop, EVRUN_NOWAIT);
      g_usleep (1000);
    }
}

/* Guards against a query about a host that gets no reply, or whose reply triggers further replies without end. */
START_TEST (query_is_answered_once)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Instance        asker;
  Instance        witness;
  uint32_t        unreached = 0;

  start (&asker, loop, 1);
  start (&witness, loop, 2);
  wc_peer_table_set_seeds (asker.peers, &witness.address, 1);
  wc_peer_endpoint_send_gossip (asker.endpoint, wc_clock_monotonic_us ());
  while (wc_peer_table_count_domain (asker.peers, wc_clock_monotonic_us ()) == 0)
    ev_run (loop, EVRUN_ONCE);
  wc_peer_endpoint_query_peers (asker.endpoint, 7, wc_clock_monotonic_us ());
  run_until (loop, &asker.replies, 1);
  ck_assert_uint_eq (witness.queries, 1);
  ck_assert_uint_eq (asker.replies, 1);
  ck_assert_uint_eq (asker.last_gossip.host_count, 2);
  ck_assert_uint_eq (asker.last_gossip.hosts[0].host, 7);
  ck_assert_uint_eq (asker.last_gossip.hosts[0].busy, 2);
  ck_assert_uint_eq (asker.last_gossip.hosts[1].reporter, 99);
  run_until (loop, &unreached, 1);
  ck_assert_uint_eq (witness.queries, 1);
  ck_assert_uint_eq (asker.replies, 1);
  finish (&asker);
  finish (&witness);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against load taken from reports that are sent because a request failed, and from the replies to them. */
START_TEST (failure_reports_are_marked)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Instance        reporter;
  Instance        joining;

  start (&reporter, loop, 1);
  start (&joining, loop, 2);
  wc_peer_table_set_seeds (reporter.peers, &joining.address, 1);
  wc_peer_endpoint_send_gossip (reporter.endpoint, wc_clock_monotonic_us ());
  while (wc_peer_table_count_domain (reporter.peers, wc_clock_monotonic_us ()) == 0)
    ev_run (loop, EVRUN_ONCE);
  wc_peer_endpoint_report_failures (reporter.endpoint, 7, wc_clock_monotonic_us ());
  run_until (loop, &reporter.replies, 1);
  ck_assert_uint_eq (reporter.replies, 1);
  ck_assert (joining.last_gossip.asks && joining.last_gossip.hosts[0].failures_only);
  ck_assert (reporter.last_gossip.hosts[0].failures_only);
  wc_peer_endpoint_query_peers (reporter.endpoint, 7, wc_clock_monotonic_us ());
  run_until (loop, &reporter.replies, 2);
  ck_assert (!reporter.last_gossip.hosts[0].failures_only);
  finish (&reporter);
  finish (&joining);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against malformed datagrams that are dropped without being counted. */
START_TEST (malformed_datagrams_are_counted)
{
  struct ev_loop         *loop = ev_loop_new (EVFLAG_AUTO);
  Instance                instance;
  uint32_t                unreached = 0;
  struct sockaddr_storage target;
  socklen_t               size;
  int                     fd = socket (AF_INET, SOCK_DGRAM, 0);

  start (&instance, loop, 3);
  size = wc_socket_address_to_sockaddr (&instance.address, &target);
  ck_assert_int_eq (sendto (fd, "\xff\xff", 2, 0, (struct sockaddr *)&target, size), 2);
  run_until (loop, &unreached, 1);
  ck_assert_uint_eq (wc_peer_endpoint_get_malformed (instance.endpoint), 1);
  close (fd);
  finish (&instance);
  ev_loop_destroy (loop);
}
END_TEST

typedef struct
{
  uint32_t         calls;
  WcPlatformResult result;
} ReadResult;

static void
read_finished (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
               size_t size_bytes)
{
  ReadResult *finished = user_data;

  (void)read;
  (void)version;
  (void)body;
  (void)size_bytes;
  finished->calls++;
  finished->result = result;
}

/*
 * Guards against instances of earlier releases, which send no era, that read the whole view in a loop; and against a
 * reader that gets changes of another era.
 */
START_TEST (reads_are_answered_by_era)
{
  static const struct
  {
    const char      *path;
    WcPlatformResult result;
  } cases[] = {
    { "/changes?after=5&wait_ms=0", WC_PLATFORM_RESULT_OK },
    { "/changes?era=3&after=5&wait_ms=0", WC_PLATFORM_RESULT_OK },
    { "/changes?era=2&after=5&wait_ms=1000", WC_PLATFORM_RESULT_EXPIRED },
    { "/changes?era=2&after=0&wait_ms=0", WC_PLATFORM_RESULT_OK },
    { "/changes?era=4&after=1&wait_ms=1000", WC_PLATFORM_RESULT_FAILED },
  };
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  Instance          instance;
  WcPlatformClient *client;
  WcStoreReply      reply;
  ReadResult        finished = { 0 };

  start (&instance, loop, 4);
  wc_store_reply_init (&reply);
  reply.version = (WcStoreVersion){ 3, 5 };
  wc_store_replica_begin_full_read (instance.replica);
  wc_store_replica_add_page (instance.replica, &reply, 0, wc_clock_monotonic_us ());
  wc_store_reply_finish (&reply);
  client = wc_platform_client_new (loop, &instance.address, 1, read_finished, &finished);
  for (uint32_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      wc_platform_client_get (client, WC_PLATFORM_READ_STORE_CHANGES, cases[i].path, 0);
      run_until (loop, &finished.calls, i + 1);
      ck_assert_uint_eq (finished.calls, i + 1);
      ck_assert_int_eq (finished.result, cases[i].result);
    }
  wc_platform_client_delete (client);
  finish (&instance);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against questions about the hosts of flows that are not answered, and peers that are not told of flows. */
START_TEST (flow_question_is_answered)
{
  struct ev_loop  *loop = ev_loop_new (0);
  const WcFlowNote question = { .key = { 0x64400007, 0xc6120001, 40001, 443 }, .sequence = 77, .asks = true };
  Instance         a;
  Instance         b;

  start (&a, loop, 1);
  start (&b, loop, 2);
  wc_peer_table_set_seeds (a.peers, &b.address, 1);
  wc_peer_endpoint_send_gossip (a.endpoint, wc_clock_monotonic_us ());
  run_until (loop, &a.joined, 1);
  ck_assert_uint_eq (a.joined, 1);
  ck_assert_uint_eq (b.joined, 1);
  ck_assert_uint_eq (wc_peer_endpoint_send_flow_note (a.endpoint, &question, wc_clock_monotonic_us ()), 1);
  run_until (loop, &a.flow_answers, 1);
  ck_assert_uint_eq (a.flow_answers, 1);
  ck_assert_uint_eq (a.last_gossip.flows[0].cookie, 2);
  ck_assert_uint_eq (a.last_gossip.flows[0].sequence, 77);
  ck_assert_uint_eq (a.last_gossip.flows[0].age_ms, 1500);
  ck_assert_uint_eq (a.last_gossip.flows[0].key.caller_port, 40001);
  finish (&a);
  finish (&b);
  ev_loop_destroy (loop);
}
END_TEST

static void
confirm (Instance *instance, uint64_t age_us)
{
  WcStoreReply reply;

  wc_store_reply_init (&reply);
  reply.version = (WcStoreVersion){ 1, 7 };
  wc_store_replica_add_changes (instance->replica, &reply, age_us, wc_clock_monotonic_us ());
  wc_peer_endpoint_view_changed (instance->endpoint);
  wc_store_reply_finish (&reply);
}

static void
count_answer (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
              size_t size_bytes)
{
  (void)read;
  (void)version;
  (void)body;
  (void)size_bytes;
  ck_assert_int_eq (result, WC_PLATFORM_RESULT_OK);
  ++*(uint32_t *)user_data;
}

/*
 * A peer waits for changes. Guards against a confirmation by the store that is not passed on, and against an answer to
 * a confirmation that is only a few milliseconds newer, with which two instances would answer each other in a loop.
 */
START_TEST (confirmations_are_passed_on)
{
  struct ev_loop   *loop = ev_loop_new (0);
  uint32_t          answers = 0;
  uint32_t          never = 0;
  Instance          a;
  WcPlatformClient *client;

  start (&a, loop, 1);
  confirm (&a, 2000 * 1000);
  client = wc_platform_client_new (loop, &a.address, 1, count_answer, &answers);
  wc_platform_client_get (client, WC_PLATFORM_READ_STORE_CHANGES, "/changes?era=1&after=7&wait_ms=5000", 5000);
  run_until (loop, &never, 1);
  confirm (&a, 2900 * 1000);
  confirm (&a, 2800 * 1000);
  run_until (loop, &never, 1);
  ck_assert_uint_eq (answers, 0);
  confirm (&a, 0);
  run_until (loop, &answers, 1);
  ck_assert_uint_eq (answers, 1);
  wc_platform_client_delete (client);
  finish (&a);
  ev_loop_destroy (loop);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, flow_question_is_answered);
  tcase_add_test (tests, confirmations_are_passed_on);
  tcase_add_test (tests, query_is_answered_once);
  tcase_add_test (tests, failure_reports_are_marked);
  tcase_add_test (tests, malformed_datagrams_are_counted);
  tcase_add_test (tests, reads_are_answered_by_era);
}

int
main (void)
{
  return wc_test_run ("peer_endpoint", add_tests);
}
