#include <stdlib.h>

#include "control_fleet.h"

#include "test_main.h"

/* Guards against an instance that cannot join while the platform is down, although its peers have the configuration. */
START_TEST (join_with_platform_down)
{
  ControlFleet *fleet = fleet_new (4, 2, 1);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet->platforms[0].up = false;
  fleet_kill (fleet, 0);
  fleet_run (fleet, 2000);
  fleet_start (fleet, 0);
  fleet_run (fleet, 5000);
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_SERVING);
  fleet_assert_revision (fleet, 5);
  /* The instance knows the other domain's members from a peer's list. */
  ck_assert_int_eq (fleet_member_state (fleet, 0, 1), WC_MEMBER_LIVE);
  ck_assert_int_eq (fleet_member_state (fleet, 2, 0), WC_MEMBER_LIVE);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a restarted instance that serves an older revision from a stale platform. */
START_TEST (stale_platform_after_restart)
{
  ControlFleet *fleet = fleet_new (4, 2, 2);

  fleet_publish (fleet, 0, 3, 3, true);
  fleet_start_all (fleet);
  fleet_publish (fleet, 0, 5, 5, true);
  fleet_run (fleet, 3000);
  fleet_assert_revision (fleet, 5);
  fleet_publish (fleet, 0, 3, 3, true);
  fleet_run (fleet, 3000);
  fleet_assert_revision (fleet, 5);
  fleet_kill (fleet, 1);
  fleet_start (fleet, 1);
  while (fleet_lifecycle (fleet, 1) != WC_LIFECYCLE_SERVING && fleet->now_us < 60000000)
    fleet_step (fleet);
  ck_assert_uint_eq (fleet_id (fleet, 1)->revision, 5);
  fleet_delete (fleet);
}
END_TEST

/* Guards against instances that restart at the same time, read an old configuration from a stale platform and confirm
 * it to each other, before they are connected to the peer that has a newer one. */
START_TEST (join_together_with_stale_platform)
{
  ControlFleet *fleet = fleet_new (3, 1, 23);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet_publish (fleet, 0, 3, 3, true);
  fleet_kill (fleet, 0);
  fleet_kill (fleet, 1);
  fleet_cut (fleet, 0, 2, true);
  fleet_cut (fleet, 1, 2, true);
  fleet_start (fleet, 0);
  fleet_start (fleet, 1);
  fleet_run (fleet, 1500);
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_JOINING);
  fleet_cut (fleet, 0, 2, false);
  fleet_cut (fleet, 1, 2, false);
  for (int round = 0; round < 300; round++)
    {
      fleet_step (fleet);
      for (guint i = 0; i < 2; i++)
        ck_assert (!fleet->nodes[i].published_states[WC_LIFECYCLE_SERVING] || fleet_id (fleet, i)->revision == 5);
    }
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_SERVING);
  ck_assert_int_eq (fleet_lifecycle (fleet, 1), WC_LIFECYCLE_SERVING);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a joining instance that never serves when it has no peers. */
START_TEST (join_alone)
{
  ControlFleet *fleet = fleet_new (1, 1, 3);

  fleet_publish (fleet, 0, 4, 4, true);
  fleet_start (fleet, 0);
  fleet_run (fleet, 1000);
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_JOINING);
  fleet_run (fleet, 4000);
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_SERVING);
  ck_assert_uint_eq (fleet_id (fleet, 0)->revision, 4);
  fleet_delete (fleet);
}
END_TEST

/* Guards against an invalid revision that replaces the one in force, or blocks a later valid one. */
START_TEST (rejected_revision)
{
  ControlFleet *fleet = fleet_new (6, 2, 4);
  WcConfigId    rejected;

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet_publish (fleet, 0, 6, 6, false);
  fleet_run (fleet, 3000);
  fleet_assert_revision (fleet, 5);
  for (guint i = 0; i < fleet->count; i++)
    if (wc_control_is_reader (fleet->nodes[i].control))
      {
        ck_assert_ptr_nonnull (
            wc_config_store_get_rejection (wc_control_get_store (fleet->nodes[i].control), &rejected));
        ck_assert_uint_eq (rejected.revision, 6);
      }
  /* A joining instance reads the invalid revision from the platform and must still get the one that its peers have. */
  fleet_kill (fleet, 2);
  fleet_start (fleet, 2);
  fleet_run (fleet, 5000);
  ck_assert_int_eq (fleet_lifecycle (fleet, 2), WC_LIFECYCLE_SERVING);
  fleet_assert_revision (fleet, 5);
  fleet_publish (fleet, 0, 7, 7, true);
  fleet_run (fleet, 3000);
  fleet_assert_revision (fleet, 7);
  fleet_delete (fleet);
}
END_TEST

/* Guards against an instance that keeps an old revision because the announcement of a newer one was lost. */
START_TEST (lost_announcement)
{
  ControlFleet *fleet = fleet_new (6, 1, 5);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet->drop_heartbeats = true;
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 300);
  fleet->drop_heartbeats = false;
  fleet_run (fleet, 4000);
  fleet_assert_revision (fleet, 6);
  fleet_delete (fleet);
}
END_TEST

/* Guards against an instance that does not read the platform itself although no peer confirms its configuration. */
START_TEST (unconfirmed_reads_platform)
{
  ControlFleet *fleet = fleet_new (5, 1, 24);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet->drop_config = true;
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 1000);
  for (guint i = 0; i < fleet->count; i++)
    ck_assert_int_eq (fleet_id (fleet, i)->revision == 6, wc_control_is_reader (fleet->nodes[i].control));
  fleet_run (fleet, 12000);
  fleet_assert_revision (fleet, 6);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a domain that keeps an old revision while only another domain can reach the platform. */
START_TEST (update_through_other_domain)
{
  ControlFleet *fleet = fleet_new (6, 2, 6);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  for (guint i = 1; i < fleet->count; i += 2)
    fleet->nodes[i].cut_platform = true;
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 5000);
  fleet_assert_revision (fleet, 6);
  fleet_delete (fleet);
}
END_TEST

/* Guards against an instance that resumes after a pause and accepts frames from before the pause as a confirmation of
 * its configuration. */
START_TEST (pause_and_reconfirm)
{
  ControlFleet *fleet = fleet_new (3, 1, 7);
  FleetNode    *node = &fleet->nodes[0];

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  node->paused = true;
  fleet_run (fleet, 400);
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 2600);
  ck_assert_uint_gt (g_queue_get_length (node->inbox), 0);
  memset (node->published_states, 0, sizeof node->published_states);
  node->paused = false;
  node->view_count = 0;
  /* The first event after the pause must publish a view that stops the workers from dispatching. */
  fleet_deliver (fleet, node);
  ck_assert_uint_gt (node->view_count, 0);
  ck_assert_int_eq (node->published, WC_LIFECYCLE_RECONFIRMING);
  while (node->published != WC_LIFECYCLE_SERVING && fleet->now_us < 60000000)
    {
      ck_assert (!node->published_states[WC_LIFECYCLE_SERVING]);
      fleet_step (fleet);
    }
  ck_assert_uint_eq (node->published_id.revision, 6);
  fleet_run (fleet, 2000);
  ck_assert_int_eq (fleet_member_state (fleet, 0, 1), WC_MEMBER_LIVE);
  ck_assert_int_eq (fleet_member_state (fleet, 1, 0), WC_MEMBER_LIVE);
  fleet_delete (fleet);
}
END_TEST

/* Guards against an instance that resumes after a pause, spends its time limit on queries to unresponsive peers, and
 * then serves an old revision although it could read the newest from the platform. */
START_TEST (pause_with_unresponsive_peers)
{
  ControlFleet *fleet = fleet_new (3, 1, 9);
  FleetNode    *node = &fleet->nodes[0];

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  node->paused = true;
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 3000);
  fleet->nodes[1].paused = true;
  fleet->nodes[2].paused = true;
  fleet_publish (fleet, 0, 7, 7, true);
  fleet_run (fleet, 1000);
  node->paused = false;
  fleet_deliver (fleet, node);
  while (node->published != WC_LIFECYCLE_SERVING && fleet->now_us < 60000000)
    fleet_step (fleet);
  ck_assert_uint_eq (node->published_id.revision, 7);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a joining instance that is paused and then serves the configuration that its peers had before. */
START_TEST (pause_while_joining)
{
  ControlFleet *fleet = fleet_new (3, 1, 10);
  FleetNode    *node = &fleet->nodes[0];

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet_kill (fleet, 0);
  fleet_run (fleet, 3000);
  /* Without a link to one peer, the instance waits for two heartbeat intervals after the announcement of the other. */
  fleet->nodes[2].paused = true;
  fleet_start (fleet, 0);
  while (fleet_id (fleet, 0)->revision == 0)
    fleet_step (fleet);
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_JOINING);
  node->paused = true;
  fleet_run (fleet, 600);
  for (uint64_t revision = 6; revision < 12; revision++)
    {
      fleet_publish (fleet, 0, revision, (uint32_t)revision, true);
      fleet_run (fleet, 1000);
    }
  node->paused = false;
  while (fleet_lifecycle (fleet, 0) != WC_LIFECYCLE_SERVING && fleet->now_us < 60000000)
    {
      fleet_deliver (fleet, node);
      fleet_step (fleet);
    }
  ck_assert_uint_eq (fleet_id (fleet, 0)->revision, 11);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a backoff that delays a revision by more than 5 s after the platform has recovered. */
START_TEST (platform_recovery)
{
  ControlFleet *fleet = fleet_new (2, 1, 11);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet->platforms[0].up = false;
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 60000);
  fleet_assert_revision (fleet, 5);
  fleet->platforms[0].up = true;
  fleet_run (fleet, 5000);
  fleet_assert_revision (fleet, 6);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a domain without a reader: after both readers have failed, other instances, down to the last one, must
 * read the platform. */
START_TEST (reader_takeover)
{
  ControlFleet *fleet = fleet_new (4, 1, 12);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  for (guint i = 0; i < 4; i++)
    if (wc_control_is_reader (fleet->nodes[i].control))
      fleet_kill (fleet, i);
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 5000);
  fleet_assert_revision (fleet, 6);
  fleet_delete (fleet);
}
END_TEST

/* Guards against an instance that resumes after a pause and considers its peers suspect, or remains suspect to them. */
START_TEST (pause_keeps_members)
{
  ControlFleet *fleet = fleet_new (5, 1, 8);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet->nodes[0].paused = true;
  fleet_run (fleet, 3000);
  ck_assert_int_ne (fleet_member_state (fleet, 1, 0), WC_MEMBER_LIVE);
  fleet->nodes[0].paused = false;
  /* The platform's list, on which members without a recent heartbeat expire, arrives before any heartbeat. */
  fleet->nodes[0].list_requested = true;
  fleet_answer_reads (fleet, &fleet->nodes[0]);
  for (guint i = 1; i < fleet->count; i++)
    ck_assert_int_eq (fleet_member_state (fleet, 0, i), WC_MEMBER_LIVE);
  fleet_run (fleet, 1000);
  for (guint i = 1; i < fleet->count; i++)
    ck_assert_int_eq (fleet_member_state (fleet, i, 0), WC_MEMBER_LIVE);
  fleet_delete (fleet);
}
END_TEST

/* Guards against an instance that never serves again when it resumes after a pause without a connection to its peers
 * and the platform. */
START_TEST (reconfirm_in_partition)
{
  ControlFleet *fleet = fleet_new (4, 2, 9);
  FleetNode    *node = &fleet->nodes[0];

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  node->paused = true;
  fleet_run (fleet, 1500);
  fleet_isolate (fleet, 0, true);
  node->paused = false;
  fleet_run (fleet, 1000);
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_RECONFIRMING);
  fleet_run (fleet, 1500);
  ck_assert_int_eq (fleet_lifecycle (fleet, 0), WC_LIFECYCLE_SERVING);
  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 3000);
  ck_assert_uint_eq (fleet_id (fleet, 0)->revision, 5);
  fleet_isolate (fleet, 0, false);
  fleet_run (fleet, 5000);
  fleet_assert_revision (fleet, 6);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a planned stop that aborts work, is not announced to the peers, or never ends. */
START_TEST (drain)
{
  ControlFleet *fleet = fleet_new (3, 1, 10);
  FleetNode    *node = &fleet->nodes[0];

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  node->workers_idle = false;
  wc_control_terminate (node->control, fleet->now_us);
  ck_assert_int_eq (node->published, WC_LIFECYCLE_DRAINING);
  fleet_run (fleet, 1000);
  ck_assert (node->running);
  ck_assert_int_eq (fleet_member_state (fleet, 1, 0), WC_MEMBER_LEAVING);
  ck_assert_int_eq (fleet_member_state (fleet, 0, 0), WC_MEMBER_LEAVING);
  node->workers_idle = true;
  fleet_step (fleet);
  /* A worker may have accepted work after it reported itself idle, so it is asked again after the CLOSING view. */
  ck_assert (node->running);
  ck_assert_int_eq (node->published, WC_LIFECYCLE_CLOSING);
  node->workers_idle = false;
  fleet_run (fleet, 1000);
  ck_assert (node->running);
  node->workers_idle = true;
  fleet_step (fleet);
  ck_assert (!node->running);
  ck_assert_int_eq (node->published, WC_LIFECYCLE_STOPPED);

  /* A drain whose work does not end is stopped at the limit of 30 s. */
  fleet->nodes[1].workers_idle = false;
  wc_control_terminate (fleet->nodes[1].control, fleet->now_us);
  fleet_run (fleet, 29000);
  ck_assert (fleet->nodes[1].running);
  fleet_run (fleet, 2000);
  ck_assert (!fleet->nodes[1].running);

  /* A second request to terminate stops the instance at once. */
  fleet->nodes[2].workers_idle = false;
  wc_control_terminate (fleet->nodes[2].control, fleet->now_us);
  wc_control_terminate (fleet->nodes[2].control, fleet->now_us);
  ck_assert (fleet->nodes[2].stopped);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a pause during a drain after which the drain is cancelled, or the workers dispatch on an unconfirmed
 * view. */
START_TEST (pause_while_draining)
{
  ControlFleet *fleet = fleet_new (3, 1, 11);
  FleetNode    *node = &fleet->nodes[0];

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  node->workers_idle = false;
  wc_control_terminate (node->control, fleet->now_us);
  fleet_run (fleet, 300);
  node->paused = true;
  fleet_run (fleet, 2000);
  node->paused = false;
  fleet_deliver (fleet, node);
  ck_assert_int_eq (node->published, WC_LIFECYCLE_RECONFIRMING);
  fleet_run (fleet, 500);
  ck_assert_int_eq (node->published, WC_LIFECYCLE_DRAINING);
  fleet_delete (fleet);
}
END_TEST

/* Guards against two registers that were published with the same revision number and stay in force on different
 * instances. */
START_TEST (same_revision_twice)
{
  ControlFleet     *fleet = fleet_new (6, 2, 12 + (uint32_t)_i);
  const WcConfigId *first;

  for (guint i = 1; i < fleet->count; i += 2)
    fleet->nodes[i].platform = 1;
  fleet_publish (fleet, 0, 5, 5, true);
  fleet_publish (fleet, 1, 5, 5, true);
  fleet_start_all (fleet);
  fleet_publish (fleet, 0, 6, 100 + _i, true);
  fleet_publish (fleet, 1, 6, 200 + _i, true);
  fleet_run (fleet, 5000);
  fleet_assert_revision (fleet, 6);
  first = fleet_id (fleet, 0);
  for (guint i = 1; i < fleet->count; i++)
    ck_assert_int_eq (wc_config_id_compare (first, fleet_id (fleet, i)), 0);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a sequence of faults after which the configuration of an instance reverts, or does not reach the
 * newest revision. The faults are random; the fleet compares each published view with the previous one. */
START_TEST (config_never_reverts)
{
  ControlFleet *fleet = fleet_new (8, 2, 1000 + (uint32_t)_i);
  GRand        *random = g_rand_new_with_seed (2000 + (uint32_t)_i);
  uint64_t      revision = 10;
  uint64_t      valid = 10;

  fleet_publish (fleet, 0, revision, 1, true);
  fleet_start_all (fleet);
  for (int round = 0; round < 60; round++)
    {
      guint node = (guint)g_rand_int_range (random, 0, 8);
      guint other = (guint)g_rand_int_range (random, 0, 8);

      switch (g_rand_int_range (random, 0, 9))
        {
        case 0:
          fleet_publish (fleet, 0, ++revision, round, true);
          valid = revision;
          break;
        case 1:
          fleet_publish (fleet, 0, ++revision, round, false);
          break;
        case 2:
          /* The platform reverts to an older revision; a later step publishes a newer one. */
          fleet_publish (fleet, 0, valid - MIN (valid - 1, 3), round, true);
          break;
        case 3:
          fleet->platforms[0].up = !fleet->platforms[0].up;
          break;
        case 4:
          fleet_kill (fleet, node);
          break;
        case 5:
          if (!fleet->nodes[node].running)
            fleet_start (fleet, node);
          break;
        case 6:
          fleet->nodes[node].paused = !fleet->nodes[node].paused && fleet->nodes[node].running;
          break;
        case 7:
          if (node != other)
            fleet_cut (fleet, node, other, !fleet->nodes[node].cut[other]);
          break;
        default:
          fleet->nodes[node].cut_platform = !fleet->nodes[node].cut_platform;
          break;
        }
      fleet_run (fleet, (uint64_t)g_rand_int_range (random, 10, 1500));
    }

  for (guint i = 0; i < fleet->count; i++)
    {
      fleet_isolate (fleet, i, false);
      fleet->nodes[i].paused = false;
      if (!fleet->nodes[i].running)
        fleet_start (fleet, i);
    }
  fleet->platforms[0].up = true;
  fleet_publish (fleet, 0, ++revision, 999, true);
  /* The backoff after the faults takes at most 19 s. */
  fleet_run (fleet, 25000);
  fleet_assert_revision (fleet, revision);
  for (guint i = 0; i < fleet->count; i++)
    ck_assert_int_eq (fleet_lifecycle (fleet, i), WC_LIFECYCLE_SERVING);
  g_rand_free (random);
  fleet_delete (fleet);
}
END_TEST

/* Guards against a member that stays live in the view of some instances after it was killed, or does not become live
 * again after its restart. */
START_TEST (restart_detected)
{
  ControlFleet *fleet = fleet_new (7, 1, 20);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet_kill (fleet, 3);
  fleet_run (fleet, 2500);
  for (guint i = 0; i < fleet->count; i++)
    if (i != 3)
      ck_assert_int_eq (fleet_member_state (fleet, i, 3), WC_MEMBER_SUSPECT);
  fleet_start (fleet, 3);
  fleet_run (fleet, 4000);
  for (guint i = 0; i < fleet->count; i++)
    ck_assert_int_eq (fleet_member_state (fleet, i, 3), WC_MEMBER_LIVE);
  fleet_delete (fleet);
}
END_TEST

/* Guards against two members that alternate between live and suspect because the link between them is cut. */
START_TEST (one_cut_link)
{
  ControlFleet *fleet = fleet_new (5, 1, 21);

  fleet_publish (fleet, 0, 5, 5, true);
  fleet_start_all (fleet);
  fleet_cut (fleet, 0, 1, true);
  fleet_run (fleet, 5000);
  for (int round = 0; round < 500; round++)
    {
      fleet_step (fleet);
      ck_assert_int_eq (fleet_member_state (fleet, 2, 0), WC_MEMBER_LIVE);
      ck_assert_int_eq (fleet_member_state (fleet, 2, 1), WC_MEMBER_LIVE);
      ck_assert_int_eq (fleet_member_state (fleet, 0, 1), WC_MEMBER_LIVE);
      ck_assert_int_eq (fleet_member_state (fleet, 1, 0), WC_MEMBER_LIVE);
    }
  fleet_delete (fleet);
}
END_TEST

/* Return: mean number of bytes that a node has sent since the last call. */
static uint64_t
take_mean_bytes (ControlFleet *fleet)
{
  uint64_t total = 0;

  for (guint i = 0; i < fleet->count; i++)
    {
      total += fleet->nodes[i].bytes_sent;
      fleet->nodes[i].bytes_sent = 0;
    }
  return total / fleet->count;
}

/* Guards against control traffic above 2 KB/s per node at 240 nodes per domain, lost changes of membership in a domain
 * that is not a full mesh, and a revision that does not reach the whole domain within 5 s. */
START_TEST (large_domain)
{
  ControlFleet *fleet = fleet_new (240, 1, 22);
  uint64_t      mean_per_s;
  uint64_t      change_bytes;
  uint64_t      restart_bytes;
  uint64_t      most = 0;
  uint64_t      reads = 0;

  fleet->step_us = 50000;
  fleet_publish (fleet, 0, 5, 5, true);
  for (guint i = 0; i < fleet->count; i++)
    fleet_start (fleet, i);
  fleet_run (fleet, 10000);
  for (guint i = 0; i < fleet->count; i++)
    {
      ck_assert_int_eq (fleet_lifecycle (fleet, i), WC_LIFECYCLE_SERVING);
      for (guint j = 0; j < fleet->count; j++)
        ck_assert_int_eq (fleet_member_state (fleet, i, j), WC_MEMBER_LIVE);
      fleet->nodes[i].bytes_sent = 0;
      fleet->nodes[i].head_reads = 0;
    }
  fleet_run (fleet, 10000);
  for (guint i = 0; i < fleet->count; i++)
    {
      most = MAX (most, fleet->nodes[i].bytes_sent);
      reads += fleet->nodes[i].head_reads;
    }
  mean_per_s = take_mean_bytes (fleet) / 10;
  printf ("control bytes sent per second and node, with TCP/IP headers: mean %" G_GUINT64_FORMAT
          ", highest %" G_GUINT64_FORMAT "; head reads %" G_GUINT64_FORMAT " in 10 s\n",
          mean_per_s, most / 10, reads);
  ck_assert_uint_lt (most / 10, 2000);
  ck_assert_uint_lt (reads, 10);

  fleet_publish (fleet, 0, 6, 6, true);
  fleet_run (fleet, 5000);
  fleet_assert_revision (fleet, 6);
  change_bytes = take_mean_bytes (fleet) - 5 * mean_per_s;
  printf ("bytes sent by a node for a change of the configuration, without its parts: %" G_GUINT64_FORMAT "\n",
          change_bytes);
  ck_assert_uint_lt (change_bytes, 2500);
  fleet_kill (fleet, 100);
  fleet_run (fleet, 8000);
  for (guint i = 0; i < fleet->count; i++)
    if (i != 100)
      ck_assert_int_eq (fleet_member_state (fleet, i, 100), WC_MEMBER_SUSPECT);
  fleet_start (fleet, 100);
  fleet_run (fleet, 8000);
  for (guint i = 0; i < fleet->count; i++)
    ck_assert_int_eq (fleet_member_state (fleet, i, 100), WC_MEMBER_LIVE);
  restart_bytes = take_mean_bytes (fleet) - 16 * mean_per_s;
  printf ("bytes sent by a node for a member that was killed and restarted: %" G_GUINT64_FORMAT "\n", restart_bytes);
  /* More traffic would mean that live members are repeatedly reported as suspect. */
  ck_assert_uint_lt (restart_bytes, 30000);

  /* 24 nodes fail at once, and a new revision is published immediately. */
  for (guint i = 20; i < 44; i++)
    fleet_kill (fleet, i);
  fleet_publish (fleet, 0, 7, 7, true);
  fleet_run (fleet, 5000);
  fleet_assert_revision (fleet, 7);
  fleet_run (fleet, 5000);
  for (guint i = 44; i < fleet->count; i++)
    for (guint j = 0; j < fleet->count; j++)
      ck_assert_int_eq (fleet_member_state (fleet, i, j), j >= 20 && j < 44 ? WC_MEMBER_SUSPECT : WC_MEMBER_LIVE);
  fleet_delete (fleet);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("control");

  tcase_add_test (cases, join_with_platform_down);
  tcase_add_test (cases, stale_platform_after_restart);
  tcase_add_test (cases, join_together_with_stale_platform);
  tcase_add_test (cases, join_alone);
  tcase_add_test (cases, rejected_revision);
  tcase_add_test (cases, lost_announcement);
  tcase_add_test (cases, unconfirmed_reads_platform);
  tcase_add_test (cases, update_through_other_domain);
  tcase_add_test (cases, pause_and_reconfirm);
  tcase_add_test (cases, pause_with_unresponsive_peers);
  tcase_add_test (cases, pause_while_joining);
  tcase_add_test (cases, platform_recovery);
  tcase_add_test (cases, reader_takeover);
  tcase_add_test (cases, pause_keeps_members);
  tcase_add_test (cases, reconfirm_in_partition);
  tcase_add_test (cases, drain);
  tcase_add_test (cases, pause_while_draining);
  tcase_add_loop_test (cases, same_revision_twice, 0, 4);
  tcase_add_loop_test (cases, config_never_reverts, 0, 20);
  tcase_add_test (cases, restart_detected);
  tcase_add_test (cases, one_cut_link);
  tcase_add_test (cases, large_domain);
  return wc_test_run_case ("control", cases);
}
