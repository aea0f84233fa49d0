#include "test_main.h"

#include <glib.h>

#include "forward/readiness.h"

enum
{
  START_US = 1000 * 1000 * 1000
};

static WcPeerEntry
entry_of (uint8_t number)
{
  return (WcPeerEntry){
    .address = { .ip = { 10, 1, 0, number }, .family = 4, .port = 8166 },
    .incarnation = number,
    .domain = g_quark_from_string ("a"),
  };
}

static WcPeerTable *
new_peers (uint8_t seed)
{
  const WcPeerEntry self = entry_of (1);
  const WcAddress   address = entry_of (seed).address;
  WcPeerTable      *peers = wc_peer_table_new (&self);

  wc_peer_table_set_seeds (peers, &address, 1);
  return peers;
}

static void
hear (WcPeerTable *peers, uint64_t now_us)
{
  WcGossip gossip = { .sender = entry_of (2) };

  gossip.sender.heartbeat = now_us;
  wc_peer_table_receive (peers, &gossip, now_us);
}

/*
 * Guards against an instance that takes flows before it has anybody to ask for their hosts (case 8 of the second
 * review), and against one that never takes any because it is the only one.
 */
START_TEST (waits_for_first_peer)
{
  WcReadinessInput input = { .view_age_us = 0 };
  WcPeerTable     *peers = new_peers (2);

  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, START_US), WC_READINESS_NO_VIEW);
  input.is_view_loaded = true;
  input.peers_deadline_us = START_US + WC_READINESS_PEERS_WAIT_US;
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, START_US), WC_READINESS_NO_PEER);
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, input.peers_deadline_us - 1), WC_READINESS_NO_PEER);
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, input.peers_deadline_us), WC_READINESS_READY);
  hear (peers, START_US + 1);
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, START_US + 1), WC_READINESS_READY);
  wc_peer_table_delete (peers);
}
END_TEST

/* Guards against a wait for peers where the settings name none. */
START_TEST (instance_without_seeds_does_not_wait)
{
  const WcReadinessInput input = { .is_view_loaded = true, .peers_deadline_us = START_US + 1 };
  WcPeerTable           *peers = new_peers (1);

  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, START_US), WC_READINESS_READY);
  wc_peer_table_delete (peers);
}
END_TEST

/* Guards against flows for an instance that stops, or whose knowledge of hosts is old while no peer is heard. */
START_TEST (stopping_and_isolated_instances_are_not_ready)
{
  WcReadinessInput input = { .is_view_loaded = true };
  WcPeerTable     *peers = new_peers (2);
  const uint64_t   later_us = START_US + 4 * 1000 * 1000;

  hear (peers, START_US);
  input.view_age_us = UINT64_MAX;
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, later_us), WC_READINESS_ISOLATED);
  input.view_age_us = 1000;
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, later_us), WC_READINESS_READY);
  input.view_age_us = UINT64_MAX;
  hear (peers, later_us);
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, later_us), WC_READINESS_READY);
  input.is_stopping = true;
  ck_assert_int_eq (wc_readiness_evaluate (&input, peers, later_us), WC_READINESS_STOPPING);
  wc_peer_table_delete (peers);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, waits_for_first_peer);
  tcase_add_test (tests, instance_without_seeds_does_not_wait);
  tcase_add_test (tests, stopping_and_isolated_instances_are_not_ready);
}

int
main (void)
{
  return wc_test_run ("readiness", add_tests);
}
