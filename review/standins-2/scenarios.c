#include <signal.h>
#include <string.h>

#include "rig2.h"

/* A small deployment: two zones with two instances each, and four hosts of each service. */
static void
small_deployment (void)
{
  for (int i = 0; i < 4; i++)
    rig_add_instance (i / 2);
  for (int service = 0; service < SERVICE_COUNT; service++)
    for (int i = 0; i < 4; i++)
      rig_add_host (service, i % 2);
  rig.seeds[0] = 0;
  rig.seeds[1] = 2;
  rig.seeds[2] = 3;
}

/* ---- partial-entry: an entry of another writer with fields missing ---- */

static void
partial_entry_taken (Host *host, Instance *instance, const WcPacket *packet)
{
  int service = packet->key.route_port - ROUTE_PORT;

  if (service != host->service)
    rig_broken ("host %d of %s takes the opening of a flow for %s from instance %d, %.0f ms after the foreign entry",
                host->number, SERVICES[host->service], SERVICES[service], instance ? instance->number : -1,
                (double)(rig.now_us - host->foreign_us) / 1e3);
}

static void
partial_entry_setup (void)
{
  small_deployment ();
  for (int zone = 0; zone < 2; zone++)
    for (int service = 0; service < SERVICE_COUNT; service++)
      rig_add_users (zone, service, 12, 1, 150);
  rig.opening_taken = partial_entry_taken;
}

static void
partial_entry_step (double now_s)
{
  static int written;
  Host      *host = &rig.hosts[4];
  char       address[WC_ADDRESS_TEXT_BYTES];
  char      *value;

  if (now_s < 5.0 + 3.0 * written || written == 3)
    return;
  written++;
  if (!rig.trouble)
    return;
  /* Without version, warmup-left-ms and seq. */
  value = g_strdup_printf ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":2,\"state\":\"ready\"}",
                           SERVICES[1 - host->service], wc_address_format (&host->address, address), ZONES[host->zone]);
  rig_write_foreign (host, value);
  g_free (value);
}

/* ---- stale-seeds: planned restarts, with seeds that are down for the first 3 s of each process ---- */

static bool
is_open_at (const Host *host, const WcFlowKey *key)
{
  const HostFlow *flow = g_hash_table_lookup (host->flows, key);

  return flow && flow->is_open;
}

static void
roll_reset (User *user, Host *host, Instance *instance)
{
  if (host == user->host || !user->host || !is_open_at (user->host, &user->key))
    return;
  rig_broken ("caller port %u: open flow of host %d gets a reset from %s %d; last packet through instance %d",
              user->key.caller_port, user->host->number, host ? "host" : "instance",
              host       ? host->number
              : instance ? instance->number
                         : -1,
              user->through ? user->through->number : -1);
}

/* A deployment like that of the site: eight instances in three zones, and 18 hosts. */
static void
site_deployment (void)
{
  static const int zones[] = { 0, 0, 0, 1, 1, 1, 2, 2 };

  for (size_t i = 0; i < G_N_ELEMENTS (zones); i++)
    rig_add_instance (zones[i]);
  for (int i = 0; i < 14; i++)
    rig_add_host (0, i % 3);
  for (int i = 0; i < 4; i++)
    rig_add_host (1, i % 3);
  rig.seeds[0] = 0;
  rig.seeds[1] = 3;
  rig.seeds[2] = 6;
  /* The share of datagrams that the site's network loses. */
  rig.loss = 0.0015;
}

static void
roll_setup (void)
{
  site_deployment ();
  for (int zone = 0; zone < 3; zone++)
    rig_add_users (zone, 0, 2600, 4, 1500);
  rig.work_ms = 3;
  rig.reset_received = roll_reset;
}

/* The settings name the right seeds again SEED_LAG_US after the start. */
static void
correct_seeds (void)
{
  static const int seeds[SEEDS] = { 0, 3, 6 };
  static uint64_t  corrected_us[INSTANCES_MAX];

  for (int i = 0; i < rig.instance_count; i++)
    {
      Instance *instance = &rig.instances[i];

      if (instance->pid <= 0 || corrected_us[i] == instance->started_us ||
          rig.now_us < instance->started_us + SEED_LAG_US)
        continue;
      corrected_us[i] = instance->started_us;
      rig_change_seeds (instance, seeds);
    }
}

/* One instance at a time, at most one every 1.3 s: the next is stopped when the previous one is in rotation again. */
static void
roll_step (double now_s)
{
  static int      next;
  static uint64_t due_us;
  Instance       *last = &rig.instances[(next + 7) % 8];

  if (rig.trouble && now_s > 4)
    {
      for (int i = 0; i < SEEDS; i++)
        rig.seeds[i] = 70 + i;
      correct_seeds ();
    }
  if (now_s < 5 || now_s > rig.scenario->length_s - 4 || rig.now_us < due_us)
    return;
  if (next > 0 && (last->pid == 0 || last->asked_to_end || !last->in_rotation))
    return;
  due_us = rig.now_us + 1300 * 1000;
  rig_signal (&rig.instances[next++ % 8], SIGTERM);
}

/* ---- kill-all: all instances are killed at the same moment ---- */

static void
kill_all_reset (User *user, Host *host, Instance *instance)
{
  if (host == user->host || !user->host || !is_open_at (user->host, &user->key))
    return;
  if (!user->through || !rig_in_touch (user->through) || (instance && !rig_in_touch (instance)))
    {
      rig_record (
          "not counted, because the instance is not in touch: caller port %u, open flow of host %d reset by %s %d",
          user->key.caller_port, user->host->number, host ? "host" : "instance",
          host ? host->number : instance->number);
      return;
    }
  rig_broken ("caller port %u: open flow of host %d, %.1f s old, gets a reset from %s %d; last packet through instance "
              "%d, which has been running for %.1f s",
              user->key.caller_port, user->host->number, (double)(rig.now_us - user->opened_us) / 1e6,
              host ? "host" : "instance", host ? host->number : instance->number, user->through->number,
              (double)(rig.now_us - user->through->started_us) / 1e6);
}

static void
kill_all_setup (void)
{
  site_deployment ();
  for (int zone = 0; zone < 3; zone++)
    rig_add_users (zone, 0, 3000, 3, 6000);
  rig.work_ms = 5;
  rig.reset_received = kill_all_reset;
}

static void
kill_all_step (double now_s)
{
  static int kills;

  if (!rig.trouble || now_s < 12 + 14 * kills || now_s > rig.scenario->length_s - 12)
    return;
  kills++;
  for (int i = 0; i < rig.instance_count; i++)
    rig_signal (&rig.instances[i], SIGKILL);
}

const Scenario SCENARIOS[] = {
  { "partial-entry", 16, partial_entry_setup, partial_entry_step },
  { "stale-seeds", 95, roll_setup, roll_step },
  { "kill-all", 100, kill_all_setup, kill_all_step },
  { 0 },
};
