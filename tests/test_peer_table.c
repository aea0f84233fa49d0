#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "forward/peer_table.h"
#include "forward/view_source.h"

enum
{
  ROUND_US = 500 * 1000,
  INSTANCES = 40,
  DOMAINS = 4
};

typedef struct
{
  WcPeerTable *tables[INSTANCES];
  bool         down[INSTANCES];
  uint64_t     now_us;
} Fleet;

static WcPeerEntry
entry_of (uint32_t number, uint64_t incarnation)
{
  char domain[8];

  g_snprintf (domain, sizeof domain, "d%u", number % DOMAINS);
  return (WcPeerEntry){
    .address = { .ip = { 10, 1, 0, (uint8_t)(number + 1) }, .family = 4, .port = 8166 },
    .incarnation = incarnation,
    .domain = g_quark_from_string (domain),
  };
}

static void
start (Fleet *fleet, uint32_t number, uint64_t incarnation, const uint32_t *seeds, size_t seed_count)
{
  const WcPeerEntry self = entry_of (number, incarnation);
  WcAddress         addresses[4];

  for (size_t i = 0; i < seed_count; i++)
    addresses[i] = entry_of (seeds[i], 1).address;
  wc_peer_table_delete (fleet->tables[number]);
  fleet->tables[number] = wc_peer_table_new (&self);
  wc_peer_table_set_seeds (fleet->tables[number], addresses, seed_count);
}

static void
deliver (Fleet *fleet, uint32_t from, const WcAddress *to)
{
  WcGossip gossip = { 0 };
  uint32_t target = (uint32_t)to->ip[3] - 1;

  wc_peer_table_fill_gossip (fleet->tables[from], &gossip, fleet->now_us);
  if (target < INSTANCES && !fleet->down[target] &&
      wc_peer_table_receive (fleet->tables[target], &gossip, fleet->now_us))
    {
      memset (&gossip, 0, sizeof gossip);
      wc_peer_table_fill_gossip (fleet->tables[target], &gossip, fleet->now_us);
      wc_peer_table_receive (fleet->tables[from], &gossip, fleet->now_us);
    }
}

static void
run_rounds (Fleet *fleet, int rounds)
{
  for (int round = 0; round < rounds; round++, fleet->now_us += ROUND_US)
    for (uint32_t i = 0; i < INSTANCES; i++)
      {
        WcAddress targets[WC_GOSSIP_FANOUT];
        size_t    count;

        if (fleet->down[i])
          continue;
        count = wc_peer_table_pick_targets (fleet->tables[i], fleet->now_us, targets);
        for (size_t t = 0; t < count; t++)
          deliver (fleet, i, &targets[t]);
        wc_peer_table_evict (fleet->tables[i], fleet->now_us);
      }
}

static void
init_fleet (Fleet *fleet)
{
  static const uint32_t seeds[] = { 0, 17, 250 };

  memset (fleet, 0, sizeof *fleet);
  fleet->now_us = 1000 * 1000 * 1000;
  for (uint32_t i = 0; i < INSTANCES; i++)
    start (fleet, i, 100 + i, seeds, G_N_ELEMENTS (seeds));
}

static void
finish_fleet (Fleet *fleet)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    wc_peer_table_delete (fleet->tables[i]);
}

/*
 * Checks that every instance knows its whole domain, and some instances of other domains, which it needs while the
 * store is unavailable.
 */
static void
check_known (Fleet *fleet, uint32_t down)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      uint32_t domain = wc_peer_table_count_domain (fleet->tables[i], fleet->now_us);
      bool     misses = down < INSTANCES && down % DOMAINS == i % DOMAINS;

      if (i == down)
        continue;
      ck_assert_uint_eq (domain, INSTANCES / DOMAINS - 1 - misses);
      ck_assert_uint_ge (wc_peer_table_count_live (fleet->tables[i], fleet->now_us), domain + DOMAINS);
    }
}

/*
 * Guards against instances that do not discover each other when one seed is stale and another is the instance itself.
 */
START_TEST (fleet_is_discovered_through_seeds)
{
  Fleet fleet;

  init_fleet (&fleet);
  run_rounds (&fleet, 30);
  check_known (&fleet, INSTANCES);
  finish_fleet (&fleet);
}
END_TEST

/* Guards against dead instances that count as live, and against a restarted instance that is not accepted. */
START_TEST (dead_and_restarted_instances_are_detected)
{
  Fleet    fleet;
  uint32_t seed = 0;

  init_fleet (&fleet);
  run_rounds (&fleet, 30);
  fleet.down[5] = true;
  run_rounds (&fleet, 30);
  check_known (&fleet, 5);
  fleet.down[5] = false;
  start (&fleet, 5, 999, &seed, 1);
  run_rounds (&fleet, 30);
  check_known (&fleet, INSTANCES);
  finish_fleet (&fleet);
}
END_TEST

/* An instance tells all others that it stops, and is started again with seeds of which none is there. */
static void
restart_with_stale_seeds (Fleet *fleet, uint32_t number, uint32_t instances)
{
  static const uint32_t seeds[] = { 250, 251, 252 };

  for (uint32_t i = 0; i < instances; i++)
    {
      WcGossip gossip = { .stopping = true };

      wc_peer_table_fill_sender (fleet->tables[number], &gossip);
      wc_peer_table_receive (fleet->tables[i], &gossip, fleet->now_us);
    }
  fleet->down[number] = true;
  run_rounds (fleet, 4);
  fleet->down[number] = false;
  start (fleet, number, 999, seeds, G_N_ELEMENTS (seeds));
}

/*
 * Guards against an instance that has nobody to ask after a planned restart (case 8 of the second review): others know
 * its address, but do not send to one that has announced its stop.
 */
START_TEST (restarted_instance_is_found_without_seeds)
{
  enum
  {
    SMALL_FLEET = 3 * DOMAINS
  };
  Fleet fleet;

  init_fleet (&fleet);
  for (uint32_t i = SMALL_FLEET; i < INSTANCES; i++)
    fleet.down[i] = true;
  run_rounds (&fleet, 30);
  for (uint32_t number = 1; number < SMALL_FLEET; number++)
    {
      restart_with_stale_seeds (&fleet, number, SMALL_FLEET);
      ck_assert (!wc_peer_table_has_heard (fleet.tables[number]));
      run_rounds (&fleet, 2);
      ck_assert (wc_peer_table_has_heard (fleet.tables[number]));
      run_rounds (&fleet, 8);
      ck_assert_uint_eq (wc_peer_table_count_live (fleet.tables[number], fleet.now_us), SMALL_FLEET - 1);
    }
  finish_fleet (&fleet);
}
END_TEST

/* Guards against discovery that depends on one seed of several, and against datagrams beyond the fan-out. */
START_TEST (seeds_are_tried_in_turn)
{
  static const uint32_t seeds[] = { 250, 251, 252 };
  static Fleet          fleet;
  bool                  tried[3] = { false };

  start (&fleet, 0, 100, seeds, G_N_ELEMENTS (seeds));
  for (int round = 0; round < 2; round++)
    {
      WcAddress targets[WC_GOSSIP_FANOUT];
      size_t    count = wc_peer_table_pick_targets (fleet.tables[0], ROUND_US, targets);

      ck_assert_uint_eq (count, WC_GOSSIP_FANOUT);
      for (size_t i = 0; i < count; i++)
        tried[targets[i].ip[3] - 251] = true;
    }
  ck_assert (tried[0] && tried[1] && tried[2]);
  finish_fleet (&fleet);
}
END_TEST

/* Guards against a domain in which every instance reads the store, or none does. */
START_TEST (one_instance_of_a_domain_reads_the_store)
{
  Fleet    fleet;
  uint32_t readers = 0;

  init_fleet (&fleet);
  run_rounds (&fleet, 30);
  for (uint32_t i = 0; i < INSTANCES; i++)
    readers += wc_view_source_choose (fleet.tables[i], &(WcViewState){ 0 }, fleet.now_us).kind == WC_VIEW_SOURCE_STORE;
  ck_assert_uint_eq (readers, DOMAINS);
  finish_fleet (&fleet);
}
END_TEST

/*
 * Guards against a first instance that serves a large domain alone, and against cycles in which no instance reads the
 * store.
 */
START_TEST (readers_form_a_tree)
{
  enum
  {
    MEMBERS = 240
  };
  static WcPeerTable *tables[MEMBERS];
  static uint32_t     children[MEMBERS];
  static uint32_t     parents[MEMBERS];
  uint64_t            now_us = 1000 * 1000 * 1000;
  uint32_t            roots = 0;

  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      WcPeerEntry self = entry_of (0, 100 + i);

      self.address.ip[3] = (uint8_t)(i + 1);
      tables[i] = wc_peer_table_new (&self);
      for (uint32_t p = 0; p < MEMBERS; p++)
        {
          WcGossip gossip = { .sender = self };

          gossip.sender.address.ip[3] = (uint8_t)(p + 1);
          gossip.sender.incarnation = 100 + p;
          wc_peer_table_receive (tables[i], &gossip, now_us);
        }
    }
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      const WcViewSource source = wc_view_source_choose (tables[i], &(WcViewState){ 0 }, now_us);

      roots += source.kind == WC_VIEW_SOURCE_STORE;
      parents[i] = source.kind == WC_VIEW_SOURCE_STORE ? i : (uint32_t)source.peer.ip[3] - 1;
      children[parents[i]] += parents[i] != i;
    }
  ck_assert_uint_eq (roots, 1);
  for (uint32_t i = 0; i < MEMBERS; i++)
    {
      uint32_t at = i;
      int      depth = 0;

      for (; parents[at] != at; at = parents[at])
        ck_assert_int_lt (depth++, 4);
      ck_assert_uint_le (children[i], 8);
      wc_peer_table_delete (tables[i]);
    }
}
END_TEST

/* Guards against a domain without a current view because its reader is dead or cannot read the store. */
START_TEST (failed_reader_is_skipped)
{
  Fleet        fleet;
  WcViewSource source;

  init_fleet (&fleet);
  run_rounds (&fleet, 30);
  source = wc_view_source_choose (fleet.tables[1], &(WcViewState){ 0 }, fleet.now_us);
  for (int i = 0; i < INSTANCES && source.kind == WC_VIEW_SOURCE_PEER; i++)
    {
      wc_peer_table_avoid (fleet.tables[1], &source.peer, fleet.now_us + 1000);
      source = wc_view_source_choose (fleet.tables[1], &(WcViewState){ 0 }, fleet.now_us);
    }
  ck_assert_int_eq (source.kind, WC_VIEW_SOURCE_STORE);
  finish_fleet (&fleet);
}
END_TEST

/*
 * A read from the first instance of the domain failed; heartbeats of it keep arriving through others. Guards against an
 * avoid deadline that is lost with the peer's entry, so that the failed source is read from again at once.
 */
START_TEST (failed_source_is_avoided_until_deadline)
{
  Fleet        fleet;
  WcViewSource failed;
  WcViewSource source;
  uint64_t     deadline_us;

  init_fleet (&fleet);
  run_rounds (&fleet, 30);
  failed = wc_view_source_choose (fleet.tables[1], &(WcViewState){ 0 }, fleet.now_us);
  ck_assert_int_eq (failed.kind, WC_VIEW_SOURCE_PEER);
  deadline_us = fleet.now_us + 2000 * 1000;
  wc_peer_table_avoid (fleet.tables[1], &failed.peer, deadline_us);
  while (fleet.now_us < deadline_us)
    {
      source = wc_view_source_choose (fleet.tables[1], &(WcViewState){ 0 }, fleet.now_us);
      ck_assert (source.kind != WC_VIEW_SOURCE_PEER || !wc_address_equal (&source.peer, &failed.peer));
      ck_assert_uint_eq (wc_peer_table_count_avoided (fleet.tables[1], fleet.now_us), 1);
      run_rounds (&fleet, 1);
    }
  source = wc_view_source_choose (fleet.tables[1], &(WcViewState){ 0 }, fleet.now_us);
  ck_assert (source.kind == WC_VIEW_SOURCE_PEER && wc_address_equal (&source.peer, &failed.peer));
  finish_fleet (&fleet);
}
END_TEST

/*
 * A read from an instance failed, and another one relays the heartbeat that is known of it already. Guards against a
 * failed source that counts as live again without a sign of life.
 */
START_TEST (relayed_heartbeat_does_not_revive_failed_source)
{
  const WcPeerEntry self = entry_of (0, 1);
  const WcPeerEntry failed = entry_of (4, 2);
  WcPeerTable      *table = wc_peer_table_new (&self);
  WcGossip          gossip = { .sender = failed };
  uint64_t          now_us = 1000 * 1000 * 1000;

  gossip.sender.heartbeat = 7;
  wc_peer_table_receive (table, &gossip, now_us);
  wc_peer_table_avoid (table, &failed.address, now_us);
  wc_peer_table_evict (table, now_us);
  gossip.known[0] = gossip.sender;
  gossip.known_count = 1;
  gossip.sender = entry_of (8, 3);
  wc_peer_table_receive (table, &gossip, now_us);
  ck_assert_uint_eq (wc_peer_table_count_domain (table, now_us), 1);
  gossip.known[0].heartbeat++;
  wc_peer_table_receive (table, &gossip, now_us);
  ck_assert_uint_eq (wc_peer_table_count_domain (table, now_us), 2);
  wc_peer_table_delete (table);
}
END_TEST

/*
 * No peer confirms the view, whatever the cause. Guards against an instance that depends on its peers for longer than a
 * change may take, against all levels of a domain reading the store at once, and against retries in a loop.
 */
START_TEST (overdue_view_is_read_from_store)
{
  Fleet    fleet;
  uint64_t checks_us[INSTANCES] = { 0 };
  uint64_t confirmed_us;

  init_fleet (&fleet);
  run_rounds (&fleet, 30);
  confirmed_us = fleet.now_us;
  for (uint64_t now_us = confirmed_us; now_us < confirmed_us + 3000 * 1000; now_us += 50 * 1000)
    for (uint32_t i = 0; i < INSTANCES; i++)
      {
        const WcViewState  view = { .confirmed_us = confirmed_us };
        const WcViewSource source = wc_view_source_choose (fleet.tables[i], &view, now_us);

        ck_assert (!source.is_check || source.kind == WC_VIEW_SOURCE_STORE);
        if (source.is_check && checks_us[i] == 0)
          checks_us[i] = now_us - confirmed_us;
      }
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      const WcViewState  avoided = { .confirmed_us = confirmed_us,
                                     .check_avoid_deadline_us = confirmed_us + 9000 * 1000 };
      const WcViewSource source = wc_view_source_choose (fleet.tables[i], &avoided, confirmed_us + 5000 * 1000);

      ck_assert (checks_us[i] == 0 || (checks_us[i] >= 2000 * 1000 && checks_us[i] < 2500 * 1000));
      ck_assert (!source.is_check);
      ck_assert (source.kind == WC_VIEW_SOURCE_STORE || source.deadline_us == avoided.check_avoid_deadline_us);
    }
  finish_fleet (&fleet);
}
END_TEST

/*
 * Guards against a source that is kept although a newer view is known, and against sources that are given up one after
 * the other while the store is away from all.
 */
START_TEST (source_with_old_view_is_behind_newer_ones)
{
  const WcPeerEntry self = entry_of (0, 1);
  WcPeerTable      *table = wc_peer_table_new (&self);
  WcGossip          gossip = { .sender = entry_of (4, 2), .view_age_ms = 4000 };
  uint64_t          now_us = 1000 * 1000 * 1000;
  uint64_t          old_us = now_us - 4000 * 1000;

  wc_peer_table_receive (table, &gossip, now_us);
  ck_assert (!wc_view_source_is_behind (table, old_us, old_us, now_us));
  ck_assert (wc_view_source_is_behind (table, old_us, now_us, now_us));
  ck_assert (!wc_view_source_is_behind (table, now_us - 1000 * 1000, now_us, now_us));
  gossip.sender = entry_of (5, 3);
  gossip.view_age_ms = 300;
  wc_peer_table_receive (table, &gossip, now_us);
  ck_assert (wc_view_source_is_behind (table, old_us, old_us, now_us));
  wc_peer_table_delete (table);
}
END_TEST

/* Guards against an instance that cannot read the store and does not read from peers either. */
START_TEST (most_recent_peer_view_is_read_without_store)
{
  const WcPeerEntry self = entry_of (0, 1);
  WcPeerTable      *table = wc_peer_table_new (&self);
  WcGossip          gossip = { .sender = entry_of (1, 2), .view_age_ms = 4000 };
  uint64_t          now_us = 1000 * 1000 * 1000;
  WcViewSource      source;

  ck_assert_int_eq (
      wc_view_source_choose (table, &(WcViewState){ .store_avoid_deadline_us = now_us + 1000 }, now_us).kind,
      WC_VIEW_SOURCE_NONE);
  wc_peer_table_receive (table, &gossip, now_us);
  gossip.sender = entry_of (2, 3);
  gossip.view_age_ms = 100;
  wc_peer_table_receive (table, &gossip, now_us);
  gossip.sender = entry_of (3, 4);
  gossip.view_age_ms = UINT32_MAX;
  wc_peer_table_receive (table, &gossip, now_us);
  source = wc_view_source_choose (table, &(WcViewState){ .store_avoid_deadline_us = now_us + 1000 }, now_us);
  ck_assert_int_eq (source.kind, WC_VIEW_SOURCE_PEER);
  ck_assert_uint_eq (source.peer.ip[3], 3);
  ck_assert_int_eq (wc_view_source_choose (table, &(WcViewState){ .store_avoid_deadline_us = now_us }, now_us).kind,
                    WC_VIEW_SOURCE_STORE);
  wc_peer_table_delete (table);
}
END_TEST

/*
 * The store refuses the reads of the first instance of a domain, whose other instances know the view that it relayed a
 * moment ago. Guards against a cycle in which they read from each other, which delayed a configuration by 5.2 s.
 */
START_TEST (other_domain_is_read_without_store)
{
  const WcPeerEntry self = entry_of (0, 1);
  WcPeerTable      *table = wc_peer_table_new (&self);
  WcGossip          gossip = { .view_age_ms = 900 };
  uint64_t          now_us = 1000 * 1000 * 1000;
  WcViewSource      source;

  gossip.sender = entry_of (1, 2);
  wc_peer_table_receive (table, &gossip, now_us);
  gossip.view_age_ms = 0;
  for (uint32_t number = DOMAINS; number < INSTANCES; number += DOMAINS)
    {
      gossip.sender = entry_of (number, 10 + number);
      if (wc_peer_rank (&gossip.sender.address) > wc_peer_rank (&self.address))
        wc_peer_table_receive (table, &gossip, now_us);
    }
  source = wc_view_source_choose (table, &(WcViewState){ .store_avoid_deadline_us = now_us + 1000 }, now_us);
  ck_assert_int_eq (source.kind, WC_VIEW_SOURCE_PEER);
  ck_assert_uint_eq (source.peer.ip[3], 2);
  ck_assert (source.is_other_domain);
  /* An old view of the other domain is no better than the view of the own domain. */
  now_us += 3000 * 1000;
  source = wc_view_source_choose (table, &(WcViewState){ .store_avoid_deadline_us = now_us + 1000 }, now_us);
  ck_assert_int_eq (source.kind, WC_VIEW_SOURCE_PEER);
  ck_assert (!source.is_other_domain);
  wc_peer_table_delete (table);
}
END_TEST

/*
 * Guards against an instance that counts as isolated when it has never had a peer, or when only one peer is
 * unresponsive.
 */
START_TEST (isolated_when_all_peers_are_silent)
{
  const WcPeerEntry self = entry_of (0, 1);
  WcPeerTable      *table = wc_peer_table_new (&self);
  WcGossip          gossip = { .sender = entry_of (1, 2) };
  uint64_t          now_us = 1000 * 1000 * 1000;

  ck_assert (!wc_peer_table_is_isolated (table, 1000, now_us));
  wc_peer_table_receive (table, &gossip, now_us);
  gossip.sender = entry_of (2, 3);
  wc_peer_table_receive (table, &gossip, now_us + 900);
  ck_assert (!wc_peer_table_is_isolated (table, 1000, now_us + 1500));
  ck_assert (wc_peer_table_is_isolated (table, 1000, now_us + 2000));
  wc_peer_table_delete (table);
}
END_TEST

/* Guards against evidence on a host that is split over instances which do not learn of each other's. */
START_TEST (instances_pick_same_witnesses)
{
  static Fleet   fleet;
  const uint32_t seeds[] = { 0, 1, 2, 3 };

  fleet = (Fleet){ .now_us = 1000 * 1000 };
  for (uint32_t i = 0; i < INSTANCES; i++)
    start (&fleet, i, 1000 + i, seeds, 4);
  run_rounds (&fleet, 60);
  for (uint64_t host = 1; host <= 20; host++)
    {
      WcAddress all[3][WC_HOST_WITNESSES];
      uint32_t  shared = 0;

      for (uint32_t i = 0; i < 3; i++)
        {
          size_t count = wc_peer_table_pick_witnesses (fleet.tables[i * DOMAINS], host, fleet.now_us, all[i]);

          ck_assert_uint_eq (count, WC_HOST_WITNESSES);
          for (size_t w = 0; w < count; w++)
            ck_assert_uint_eq ((all[i][w].ip[3] - 1) % DOMAINS, 0);
        }
      /* An instance does not query itself, so the choices of two instances differ by at most one. */
      for (int a = 0; a < WC_HOST_WITNESSES; a++)
        for (int b = 0; b < WC_HOST_WITNESSES; b++)
          shared += wc_address_equal (&all[0][a], &all[1][b]);
      ck_assert_uint_ge (shared, WC_HOST_WITNESSES - 2);
    }
  for (uint32_t i = 0; i < INSTANCES; i++)
    wc_peer_table_delete (fleet.tables[i]);
}
END_TEST

/*
 * Guards against instances that ask others for the host of a flow than those that were told, and against a flow whose
 * host is known in one domain only.
 */
START_TEST (instances_pick_same_flow_holders)
{
  Fleet     fleet;
  WcAddress first[WC_FLOW_HOLDERS];
  WcAddress second[WC_FLOW_HOLDERS];
  size_t    first_count;
  size_t    second_count;
  uint32_t  shared = 0;

  init_fleet (&fleet);
  run_rounds (&fleet, 30);
  first_count = wc_peer_table_pick_flow_holders (fleet.tables[0], 12345, fleet.now_us, first);
  second_count = wc_peer_table_pick_flow_holders (fleet.tables[DOMAINS], 12345, fleet.now_us, second);
  ck_assert_uint_eq (first_count, WC_HOST_WITNESSES + DOMAINS - 1);
  ck_assert_uint_eq (second_count, WC_HOST_WITNESSES + DOMAINS - 1);
  for (size_t i = 0; i < WC_HOST_WITNESSES; i++)
    for (size_t k = 0; k < WC_HOST_WITNESSES; k++)
      shared += wc_address_equal (&first[i], &second[k]);
  ck_assert_uint_ge (shared, WC_HOST_WITNESSES - 2);
  finish_fleet (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, fleet_is_discovered_through_seeds);
  tcase_add_test (tests, dead_and_restarted_instances_are_detected);
  tcase_add_test (tests, restarted_instance_is_found_without_seeds);
  tcase_add_test (tests, seeds_are_tried_in_turn);
  tcase_add_test (tests, one_instance_of_a_domain_reads_the_store);
  tcase_add_test (tests, readers_form_a_tree);
  tcase_add_test (tests, failed_reader_is_skipped);
  tcase_add_test (tests, instances_pick_same_flow_holders);
  tcase_add_test (tests, failed_source_is_avoided_until_deadline);
  tcase_add_test (tests, overdue_view_is_read_from_store);
  tcase_add_test (tests, source_with_old_view_is_behind_newer_ones);
  tcase_add_test (tests, relayed_heartbeat_does_not_revive_failed_source);
  tcase_add_test (tests, most_recent_peer_view_is_read_without_store);
  tcase_add_test (tests, other_domain_is_read_without_store);
  tcase_add_test (tests, isolated_when_all_peers_are_silent);
  tcase_add_test (tests, instances_pick_same_witnesses);
}

int
main (void)
{
  return wc_test_run ("peer_table", add_tests);
}
