#include "test_main.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/peer_endpoint.h"
#include "edge/socket_address.h"

/* Two peer ports on loopback. Each reports on a host under its own incarnation. */

typedef struct
{
  uint64_t        incarnation;
  struct ev_loop *loop;
  WcAddress       address;
  WcPeerTable    *peers;
  WcStoreReplica *replica;
  WcEventLog     *log;
  WcPeerEndpoint *port;
  uint32_t        questions;
  uint32_t        answers;
  WcGossip        last;
} Instance;

static void
describe (void *user_data, WcGossip *news)
{
  (void)user_data;
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
  const Instance *instance = user_data;

  news->hosts[news->host_count++] =
      (WcHostReport){ .host = host, .busy = (uint32_t)instance->incarnation, .life_age_ms = UINT32_MAX };
  news->hosts[news->host_count++] = (WcHostReport){ .host = host, .reporter = 99, .silent_requests = 1 };
}

static void
heard (void *user_data, const WcGossip *news)
{
  Instance *instance = user_data;

  if (news->asks)
    instance->questions++;
  else if (news->host_count > 0)
    instance->answers++;
  instance->last = *news;
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
  static const WcPeerEndpointOps ops = { describe, add_next_reports, report, heard };
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
  instance->replica = wc_store_replica_new (60 * 1000 * 1000, apply, instance);
  instance->port = wc_peer_endpoint_new (loop, &self.address, instance->peers, instance->replica, instance->log, &ops,
                                         instance, &error);
  ck_assert_msg (instance->port != NULL, "%s", error.message);
}

static void
finish (Instance *instance)
{
  wc_peer_endpoint_delete (instance->port);
  wc_store_replica_delete (instance->replica);
  wc_peer_table_delete (instance->peers);
  wc_event_log_delete (instance->log);
}

/* Runs the loop until @count is reached or a second has passed. */
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

/* Guards against a question about a silent host that nobody answers, or that is answered for ever. */
START_TEST (query_is_answered_once)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Instance        asker;
  Instance        witness;
  uint32_t        never = 0;

  start (&asker, loop, 1);
  start (&witness, loop, 2);
  wc_peer_table_set_seeds (asker.peers, &witness.address, 1);
  wc_peer_endpoint_send_gossip (asker.port, wc_clock_monotonic_us ());
  while (wc_peer_table_count_domain (asker.peers, wc_clock_monotonic_us ()) == 0)
    ev_run (loop, EVRUN_ONCE);
  wc_peer_endpoint_query_host (asker.port, 7, wc_clock_monotonic_us ());
  run_until (loop, &asker.answers, 1);
  ck_assert_uint_eq (witness.questions, 1);
  ck_assert_uint_eq (asker.answers, 1);
  ck_assert_uint_eq (asker.last.host_count, 2);
  ck_assert_uint_eq (asker.last.hosts[0].host, 7);
  ck_assert_uint_eq (asker.last.hosts[0].busy, 2);
  ck_assert_uint_eq (asker.last.hosts[1].reporter, 99);
  run_until (loop, &never, 1);
  ck_assert_uint_eq (witness.questions, 1);
  ck_assert_uint_eq (asker.answers, 1);
  finish (&asker);
  finish (&witness);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against datagrams from elsewhere that are dropped without a trace. */
START_TEST (malformed_datagrams_are_counted)
{
  struct ev_loop         *loop = ev_loop_new (EVFLAG_AUTO);
  Instance                instance;
  uint32_t                never = 0;
  struct sockaddr_storage target;
  socklen_t               size;
  int                     fd = socket (AF_INET, SOCK_DGRAM, 0);

  start (&instance, loop, 3);
  size = wc_socket_address_to_sockaddr (&instance.address, &target);
  ck_assert_int_eq (sendto (fd, "\xff\xff", 2, 0, (struct sockaddr *)&target, size), 2);
  run_until (loop, &never, 1);
  ck_assert_uint_eq (wc_peer_endpoint_get_malformed (instance.port), 1);
  close (fd);
  finish (&instance);
  ev_loop_destroy (loop);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, query_is_answered_once);
  tcase_add_test (tests, malformed_datagrams_are_counted);
}

int
main (void)
{
  return wc_test_run ("peer_port", add_tests);
}
