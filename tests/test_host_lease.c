#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "core/mix.h"
#include "forward/warm_up.h"

/*
 * Runs instances with real peer tables over a simulated network. Every instance sends a flow to every cold host as
 * often as its limit allows, and the flows of all instances together are counted.
 */

enum
{
  STEP_US = 50 * 1000,
  ROUND_US = 500 * 1000,
  SECOND_US = 1000 * 1000,
  START_US = 1000 * 1000 * 1000,
  INSTANCES_MAX = 48,
  HOSTS = 3,
  DATAGRAMS_MAX = 4096,
  FLOWS_MAX = 512,
  PER_S_MILLI = 20000,
  /* 20 a second times 1.5, and 5. */
  LIMIT = 35
};

typedef struct
{
  uint32_t from;
  uint32_t to;
  uint64_t due_us;
  WcGossip gossip;
} Datagram;

typedef struct
{
  WcPeerTable *peers;
  WcWarmUp    *warm_up;
  WcHost       hosts[HOSTS];
  uint64_t     round_us;
  uint64_t     pause_end_us;
} Instance;

typedef struct
{
  uint32_t      count;
  uint32_t      domains;
  uint64_t      random;
  uint64_t      now_us;
  uint64_t      delay_max_us;
  uint64_t      incarnations;
  Instance      instances[INSTANCES_MAX];
  bool          is_cut[INSTANCES_MAX][INSTANCES_MAX];
  size_t        datagram_count;
  Datagram      datagrams[DATAGRAMS_MAX];
  WcRouteTable *routes;
  uint64_t      flow_counts[HOSTS];
  uint64_t      flows[HOSTS][FLOWS_MAX];
  uint32_t      most;
} Fleet;

static uint64_t
next_random (Fleet *fleet, uint64_t bound)
{
  return wc_mix64 (++fleet->random) % bound;
}

static uint32_t
domain_of (const Fleet *fleet, uint32_t number)
{
  return g_quark_from_string (number % fleet->domains == 0 ? "a" : "b");
}

static WcAddress
address_of (uint32_t number)
{
  return (WcAddress){ .ip = { 10, 1, 0, (uint8_t)(number + 1) }, .family = 4, .port = 8166 };
}

static void
stop_instance (Fleet *fleet, uint32_t number)
{
  Instance *instance = &fleet->instances[number];

  wc_peer_table_delete (instance->peers);
  wc_warm_up_delete (instance->warm_up);
  memset (instance, 0, sizeof *instance);
}

static void
start_instance (Fleet *fleet, uint32_t number)
{
  Instance              *instance = &fleet->instances[number];
  const WcPeerEntry      self = { address_of (number), ++fleet->incarnations, domain_of (fleet, number), 0 };
  const WcWarmUpSettings settings = { .domain = self.domain, .overrun_milli = 1500, .slack = 5 };
  const WcAddress        seeds[] = { address_of (0), address_of (fleet->count / 2), address_of (fleet->count - 1) };

  stop_instance (fleet, number);
  instance->peers = wc_peer_table_new (&self);
  wc_peer_table_set_seeds (instance->peers, seeds, G_N_ELEMENTS (seeds));
  instance->warm_up = wc_warm_up_new (&settings);
  wc_warm_up_set_routes (instance->warm_up, fleet->routes);
  instance->round_us = fleet->now_us + next_random (fleet, ROUND_US);
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      instance->hosts[i].record.id = 1000 + i;
      instance->hosts[i].record.domain = g_quark_from_string ("a");
      instance->hosts[i].record.service = g_quark_from_string ("desk");
      instance->hosts[i].warm_up_deadline_us = UINT64_MAX;
      (void)wc_warm_up_evaluate (instance->warm_up, &instance->hosts[i], fleet->now_us);
    }
}

static Fleet *
new_fleet (uint32_t count, uint32_t domains, uint64_t seed)
{
  Fleet *fleet = g_new0 (Fleet, 1);

  fleet->count = count;
  fleet->domains = domains;
  fleet->random = seed << 32;
  fleet->now_us = START_US;
  fleet->delay_max_us = 20 * 1000;
  fleet->routes = wc_route_table_new (1);
  wc_route_table_set_warm_up_per_s_milli (fleet->routes, g_quark_from_string ("desk"), PER_S_MILLI);
  for (uint32_t i = 0; i < count; i++)
    start_instance (fleet, i);
  return fleet;
}

static void
delete_fleet (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    stop_instance (fleet, i);
  wc_route_table_delete (fleet->routes);
  g_free (fleet);
}

static void
send_gossip (Fleet *fleet, uint32_t from, const WcAddress *destination)
{
  Datagram *datagram = &fleet->datagrams[fleet->datagram_count];
  uint32_t  to = destination->ip[3] - 1u;

  ck_assert_uint_lt (fleet->datagram_count, DATAGRAMS_MAX);
  memset (datagram, 0, sizeof *datagram);
  wc_peer_table_fill_gossip (fleet->instances[from].peers, &datagram->gossip, fleet->now_us);
  wc_peer_table_fill_echo (fleet->instances[from].peers, destination, &datagram->gossip);
  if (to >= fleet->count || fleet->is_cut[from][to])
    return;
  datagram->from = from;
  datagram->to = to;
  datagram->due_us = fleet->now_us + next_random (fleet, fleet->delay_max_us);
  fleet->datagram_count++;
}

/* Datagrams to a paused instance wait in its socket, those to one that does not run are lost. */
static void
deliver_gossip (Fleet *fleet)
{
  for (size_t i = fleet->datagram_count; i > 0; i--)
    {
      const Datagram datagram = fleet->datagrams[i - 1];
      Instance      *receiver = &fleet->instances[datagram.to];

      if (fleet->now_us < datagram.due_us || (receiver->peers && fleet->now_us < receiver->pause_end_us))
        continue;
      fleet->datagrams[i - 1] = fleet->datagrams[--fleet->datagram_count];
      if (!receiver->peers)
        continue;
      if (wc_peer_table_receive (receiver->peers, &datagram.gossip, fleet->now_us))
        send_gossip (fleet, datagram.to, &datagram.gossip.sender.address);
      wc_warm_up_update_lease (receiver->warm_up, receiver->peers, fleet->now_us);
    }
}

/* Sends flows as long as they are allowed, and checks the sum of the last second over all instances. */
static uint32_t
send_flows (Fleet *fleet, uint32_t number)
{
  Instance *instance = &fleet->instances[number];
  uint32_t  sent = 0;

  for (uint32_t h = 0; h < HOSTS; h++)
    while (wc_warm_up_allows (instance->warm_up, &instance->hosts[h], fleet->now_us))
      {
        uint32_t in_second = 0;

        wc_warm_up_record (&instance->hosts[h], fleet->now_us);
        fleet->flows[h][fleet->flow_counts[h]++ % FLOWS_MAX] = fleet->now_us;
        for (uint64_t i = 0; i < MIN (fleet->flow_counts[h], FLOWS_MAX); i++)
          in_second += fleet->now_us - fleet->flows[h][i] <= SECOND_US;
        fleet->most = MAX (fleet->most, in_second);
        sent++;
      }
  return sent;
}

static void
run_instance (Fleet *fleet, uint32_t number)
{
  Instance *instance = &fleet->instances[number];
  WcAddress targets[WC_GOSSIP_FANOUT];

  /* Flows come first, so that those which waited in the socket during a pause meet the state from before it. */
  send_flows (fleet, number);
  wc_warm_up_update_lease (instance->warm_up, instance->peers, fleet->now_us);
  for (uint32_t h = 0; h < HOSTS; h++)
    wc_warm_up_evaluate (instance->warm_up, &instance->hosts[h], fleet->now_us);
  send_flows (fleet, number);
  if (fleet->now_us < instance->round_us)
    return;
  instance->round_us = fleet->now_us + ROUND_US;
  wc_peer_table_evict (instance->peers, fleet->now_us);
  for (size_t i = wc_peer_table_pick_targets (instance->peers, fleet->now_us, targets); i > 0; i--)
    send_gossip (fleet, number, &targets[i - 1]);
}

static void
run_fleet (Fleet *fleet, uint64_t span_us)
{
  for (uint64_t end_us = fleet->now_us + span_us; fleet->now_us < end_us; fleet->now_us += STEP_US)
    {
      deliver_gossip (fleet);
      for (uint32_t i = 0; i < fleet->count; i++)
        if (fleet->instances[i].peers && fleet->now_us >= fleet->instances[i].pause_end_us)
          run_instance (fleet, i);
    }
}

static uint32_t
count_holders (const Fleet *fleet, uint32_t host)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < fleet->count; i++)
    count += fleet->instances[i].peers && fleet->instances[i].hosts[host].warm_up.has_lease;
  return count;
}

static void
mend_network (Fleet *fleet)
{
  memset (fleet->is_cut, 0, sizeof fleet->is_cut);
  fleet->delay_max_us = 20 * 1000;
}

/* Splits the instances into groups at random; a one-way cut drops only what goes to a group of lower number. */
static void
split_network (Fleet *fleet, uint32_t groups, bool is_one_way)
{
  uint32_t group_of[INSTANCES_MAX];

  for (uint32_t i = 0; i < fleet->count; i++)
    group_of[i] = (uint32_t)next_random (fleet, groups);
  for (uint32_t from = 0; from < fleet->count; from++)
    for (uint32_t to = 0; to < fleet->count; to++)
      fleet->is_cut[from][to] = is_one_way ? group_of[from] < group_of[to] : group_of[from] != group_of[to];
}

static void
apply_random_event (Fleet *fleet)
{
  uint32_t number = (uint32_t)next_random (fleet, fleet->count);

  switch (next_random (fleet, 10))
    {
    case 0:
      mend_network (fleet);
      break;
    case 1:
      split_network (fleet, 2 + (uint32_t)next_random (fleet, 4), false);
      break;
    case 2:
      split_network (fleet, 2, true);
      break;
    case 3:
      for (uint32_t i = 0; i < fleet->count; i++)
        fleet->is_cut[number][i] = true;
      break;
    case 4:
      for (uint32_t i = 0; i < fleet->count; i++)
        fleet->is_cut[i][number] = true;
      break;
    case 5:
      for (uint32_t i = 0; i < fleet->count; i++)
        fleet->is_cut[next_random (fleet, fleet->count)][next_random (fleet, fleet->count)] = true;
      break;
    case 6:
      fleet->delay_max_us = 1000 + next_random (fleet, 1500 * 1000);
      break;
    case 7:
      stop_instance (fleet, number);
      break;
    case 8:
      start_instance (fleet, number);
      break;
    default:
      if (fleet->instances[number].peers)
        fleet->instances[number].pause_end_us = fleet->now_us + next_random (fleet, 20 * SECOND_US);
      break;
    }
}

static void
play_random_faults (uint64_t seed)
{
  Fleet *fleet = new_fleet (6 + (uint32_t)(seed % 10), 1 + (uint32_t)(seed % 2), seed);

  for (int event = 0; event < 120; event++)
    {
      run_fleet (fleet, (1 + next_random (fleet, 15)) * SECOND_US);
      ck_assert_msg (fleet->most <= LIMIT, "seed %u, event %d: %u flows in a second", (unsigned)seed, event,
                     fleet->most);
      apply_random_event (fleet);
    }
  mend_network (fleet);
  for (uint32_t i = 0; i < fleet->count; i++)
    if (!fleet->instances[i].peers)
      start_instance (fleet, i);
  run_fleet (fleet, 60 * SECOND_US);
  for (uint32_t h = 0; h < HOSTS; h++)
    ck_assert_msg (count_holders (fleet, h) == 1, "seed %u: %u holders of host %u after calm", (unsigned)seed,
                   count_holders (fleet, h), h);
  ck_assert_uint_le (fleet->most, LIMIT);
  delete_fleet (fleet);
}

/*
 * Guards against more flows to a cold host than it sustains while instances have different views of each other: random
 * partitions, one-way links, delays, stops, starts, restarts at the same address and pauses. The listed seeds found
 * faults in earlier versions. WC_LEASE_SEED plays a single one.
 */
START_TEST (limit_holds_under_random_faults)
{
  static const uint64_t seeds[] = { 50, 186, 193, 214, 296, 543, 648, 829, 1173, 1201, 1552, 1553, 1833 };
  const char           *text = g_getenv ("WC_LEASE_SEED");

  if (text)
    play_random_faults (g_ascii_strtoull (text, NULL, 10));
  for (uint64_t seed = 1; !text && seed <= 24; seed++)
    play_random_faults (seed);
  for (size_t i = 0; !text && i < G_N_ELEMENTS (seeds); i++)
    play_random_faults (seeds[i]);
}
END_TEST

/*
 * Guards against times that are too short for the gossip of a large domain: several instances that do not know of each
 * other hold a lease, or it is lost and acquired again, without any fault.
 */
START_TEST (calm_domain_has_one_holder_for_each_host)
{
  Fleet *fleet = new_fleet (INSTANCES_MAX, 2, 5);

  run_fleet (fleet, 40 * SECOND_US);
  for (int second = 0; second < 120; second++)
    {
      run_fleet (fleet, SECOND_US);
      for (uint32_t h = 0; h < HOSTS; h++)
        ck_assert_uint_eq (count_holders (fleet, h), 1);
    }
  ck_assert_uint_le (fleet->most, LIMIT / 2);
  delete_fleet (fleet);
}
END_TEST

/* Guards against a domain that is split in two, of which only one side serves its cold hosts, or both more than W. */
START_TEST (both_sides_of_a_partition_progress)
{
  Fleet *fleet = new_fleet (8, 1, 9);

  run_fleet (fleet, 30 * SECOND_US);
  ck_assert_uint_gt (fleet->most, 0);
  ck_assert_uint_le (fleet->most, LIMIT / 2);
  for (uint32_t from = 0; from < 8; from++)
    for (uint32_t to = 0; to < 8; to++)
      fleet->is_cut[from][to] = from % 2 != to % 2;
  run_fleet (fleet, 30 * SECOND_US);
  for (uint32_t h = 0; h < HOSTS; h++)
    ck_assert_uint_eq (count_holders (fleet, h), 2);
  ck_assert_uint_le (fleet->most, LIMIT);
  delete_fleet (fleet);
}
END_TEST

/* Guards against an instance that holds leases although the others, which do not hear of it, acquire them as well. */
START_TEST (instance_that_is_not_heard_loses_its_leases)
{
  Fleet   *fleet = new_fleet (8, 1, 9);
  uint32_t number = 0;

  run_fleet (fleet, 30 * SECOND_US);
  while (!fleet->instances[number].hosts[0].warm_up.has_lease)
    number++;
  for (uint32_t to = 0; to < 8; to++)
    fleet->is_cut[number][to] = true;
  run_fleet (fleet, 8 * SECOND_US);
  ck_assert (!fleet->instances[number].hosts[0].warm_up.has_lease);
  run_fleet (fleet, 10 * SECOND_US);
  ck_assert_uint_eq (count_holders (fleet, 0), 1);
  delete_fleet (fleet);
}
END_TEST

/* Guards against an echo of an earlier instance at the same address that counts for the present one. */
START_TEST (echo_of_an_earlier_incarnation_is_ignored)
{
  const WcPeerEntry self = { address_of (0), 8, g_quark_from_string ("a"), 0 };
  WcPeerTable      *peers = wc_peer_table_new (&self);
  const WcPeer     *peer;
  WcGossip          own = { 0 };
  WcGossip gossip = { .sender = { address_of (1), 5, self.domain, 1 }, .echo_heartbeat = 1, .echo_incarnation = 7 };

  wc_peer_table_fill_gossip (peers, &own, START_US);
  wc_peer_table_receive (peers, &gossip, START_US + 1);
  peer = wc_peer_table_find (peers, &gossip.sender.address);
  ck_assert_uint_eq (peer->echoed_us, 0);
  gossip.echo_incarnation = 8;
  wc_peer_table_receive (peers, &gossip, START_US + 2);
  ck_assert_uint_eq (peer->echoed_us, START_US);
  wc_peer_table_delete (peers);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, limit_holds_under_random_faults);
  tcase_add_test (tests, calm_domain_has_one_holder_for_each_host);
  tcase_add_test (tests, both_sides_of_a_partition_progress);
  tcase_add_test (tests, instance_that_is_not_heard_loses_its_leases);
  tcase_add_test (tests, echo_of_an_earlier_incarnation_is_ignored);
}

int
main (void)
{
  return wc_test_run ("host_lease", add_tests);
}
