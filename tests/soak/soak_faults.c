#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "route_versions.h"
#include "soak.h"

#include "edge/socket_address.h"

/*
 * Faults follow each other at random intervals and may overlap. Each seed selects which kinds of fault are enabled and
 * how long the intervals are: many guarantees hold only for parts that were free of faults for a while, and with all
 * kinds enabled hardly any part would be. A part under a fault does not count as stable until the fault has ended.
 */

/* Probability with which a seed enables a kind of fault. */
static const double ENABLED_SHARE = 0.35;

static void kill_one (Soak *soak);
static void kill_all (Soak *soak);
static void stop_one (Soak *soak);
static void pause_one (Soak *soak);
static void fail_store (Soak *soak);
static void expire_entries (Soak *soak);
static void drop_store_history (Soak *soak);
static void restore_store (Soak *soak);
static void disturb_store_connection (Soak *soak);
static void change_config (Soak *soak);
static void change_config_repeatedly (Soak *soak);
static void drain_host (Soak *soak);
static void silence_host (Soak *soak);
static void inject_malformed_data (Soak *soak);
static void change_settings (Soak *soak);
static void block_hosts (Soak *soak);
static void drop_packets (Soak *soak);

static const struct
{
  const char *name;
  void (*inject) (Soak *soak);
} FAULTS[] = {
  { "one instance is killed", kill_one },
  { "all instances are killed", kill_all },
  { "one instance is stopped", stop_one },
  { "one instance is stopped", stop_one },
  { "one instance is paused", pause_one },
  { "store fails", fail_store },
  { "host entries expire", expire_entries },
  { "store history is dropped", drop_store_history },
  { "store is restored from a copy", restore_store },
  { "store is restored from a copy", restore_store },
  { "store connections of an instance fail", disturb_store_connection },
  { "store connections of an instance fail", disturb_store_connection },
  { "configuration changes", change_config },
  { "configuration changes", change_config },
  { "burst of configuration changes", change_config_repeatedly },
  { "host drains", drain_host },
  { "host drains", drain_host },
  { "host becomes unresponsive", silence_host },
  { "malformed entries and packets", inject_malformed_data },
  { "settings change", change_settings },
  { "instance cannot reach the hosts of a domain", block_hosts },
  { "packets are lost", drop_packets },
  { "domain is evacuated", soak_evacuation_begin },
  { "domain is evacuated", soak_evacuation_begin },
};

static double        random_range (Soak *soak, double low, double high);
static SoakInstance *pick_instance (Soak *soak);
static SoakHost     *pick_host (Soak *soak);
static void          send_random_datagrams (Soak *soak, const WcAddress *address);

void
soak_faults_tick (Soak *soak)
{
  static uint64_t next_us;
  static bool     enabled[G_N_ELEMENTS (FAULTS)];
  static double   interval_us;
  size_t          number;

  if (soak->store_deadline_us > 0 && soak->now_us >= soak->store_deadline_us)
    {
      wc_emulated_store_set_mode (soak->store, WC_STORE_SERVES);
      soak->store_deadline_us = 0;
      for (int i = 0; soak->entries_expired && i < SOAK_HOSTS; i++)
        if (soak->hosts[i].state != SOAK_HOST_UNRESPONSIVE)
          soak_host_publish (&soak->hosts[i]);
      soak->entries_expired = false;
    }
  soak_restore_tick (soak);
  soak_evacuation_tick (soak);
  if (soak->loss_deadline_us > 0 && soak->now_us >= soak->loss_deadline_us)
    {
      soak->loss = 0.002;
      soak->loss_deadline_us = 0;
    }
  if (soak->recovery_start_us > 0 || soak->now_us < soak->start_us + 2000 * 1000 || soak->now_us < next_us)
    return;
  if (interval_us == 0)
    {
      interval_us = random_range (soak, 500e3, 3000e3);
      for (size_t i = 0; i < G_N_ELEMENTS (FAULTS); i++)
        {
          enabled[i] = random_range (soak, 0, 1) < ENABLED_SHARE;
          soak_trace (soak, "%s: %s", FAULTS[i].name, enabled[i] ? "enabled" : "disabled");
        }
    }
  number = (size_t)random_range (soak, 0, G_N_ELEMENTS (FAULTS));
  if (!enabled[number])
    return;
  next_us = soak->now_us + (uint64_t)random_range (soak, 0, 2 * interval_us);
  soak_trace (soak, "%s", FAULTS[number].name);
  soak->counts.faults++;
  FAULTS[number].inject (soak);
}

/* Ends all faults. After that the system must recover. */
void
soak_faults_end (Soak *soak)
{
  soak_trace (soak, "all faults end");
  soak->recovery_start_us = soak->now_us;
  soak->store_deadline_us = MIN (soak->store_deadline_us, soak->now_us);
  soak->restore.deadline_us = MIN (soak->restore.deadline_us, soak->now_us);
  soak_evacuation_recover (soak);
  soak->loss = 0.0;
  for (int i = 0; i < SOAK_INSTANCES; i++)
    {
      SoakInstance *instance = &soak->instances[i];

      instance->resume_deadline_us = soak->now_us;
      instance->blocked_deadline_us = soak->now_us;
      if (instance->relay_deadline_us > 0)
        instance->relay_deadline_us = soak->now_us;
    }
}

/* local functions */

/* Uses a separate generator, so that a seed gives the same faults whatever the packets do. */
static double
random_range (Soak *soak, double low, double high)
{
  return g_rand_double_range (soak->fault_random, low, high);
}

static SoakInstance *
pick_instance (Soak *soak)
{
  SoakInstance *instance = &soak->instances[(int)random_range (soak, 0, SOAK_INSTANCES)];

  return instance->pid > 0 && instance->stop_deadline_us == 0 && !instance->is_paused ? instance : NULL;
}

static SoakHost *
pick_host (Soak *soak)
{
  SoakHost *host = &soak->hosts[(int)random_range (soak, 0, SOAK_HOSTS)];
  int       ready = 0;

  /* At least two ready hosts of each service remain, so that flows can be placed. */
  for (int i = 0; i < SOAK_HOSTS; i++)
    ready += soak->hosts[i].service == host->service && soak->hosts[i].state == SOAK_HOST_READY;
  return host->state == SOAK_HOST_READY && ready > 2 ? host : NULL;
}

static void
kill_one (Soak *soak)
{
  SoakInstance *instance = pick_instance (soak);

  if (!instance)
    return;
  instance->restart_deadline_us = soak->now_us + (uint64_t)random_range (soak, 200e3, 1500e3);
  instance->faults_end_us = instance->restart_deadline_us;
  kill (instance->pid, SIGKILL);
}

static void
kill_all (Soak *soak)
{
  for (int i = 0; i < SOAK_INSTANCES; i++)
    if (soak->instances[i].pid > 0)
      {
        SoakInstance *instance = &soak->instances[i];

        instance->restart_deadline_us = soak->now_us + (uint64_t)random_range (soak, 500e3, 900e3);
        instance->faults_end_us = instance->restart_deadline_us;
        instance->stop_deadline_us = 0;
        instance->is_paused = false;
        kill (instance->pid, SIGKILL);
      }
}

static void
stop_one (Soak *soak)
{
  SoakInstance *instance = pick_instance (soak);

  if (!instance)
    return;
  instance->stop_deadline_us = soak->now_us + SOAK_STOP_MS * 1000;
  instance->faults_end_us = soak->now_us;
  kill (instance->pid, SIGTERM);
}

static void
pause_one (Soak *soak)
{
  SoakInstance *instance = pick_instance (soak);

  if (!instance)
    return;
  instance->is_paused = true;
  instance->resume_deadline_us = soak->now_us + (uint64_t)random_range (soak, 300e3, 3000e3);
  instance->faults_end_us = instance->resume_deadline_us;
  kill (instance->pid, SIGSTOP);
}

static void
fail_store (Soak *soak)
{
  WcStoreMode mode = (WcStoreMode)random_range (soak, WC_STORE_IS_BUSY, WC_STORE_MODE_COUNT);

  wc_emulated_store_set_mode (soak->store, mode);
  soak->store_deadline_us = soak->now_us + (uint64_t)random_range (soak, 300e3, 4000e3);
  soak_mark_unstable (soak, soak->store_deadline_us);
}

static void
expire_entries (Soak *soak)
{
  fail_store (soak);
  soak->entries_expired = true;
  for (int i = 0; i < SOAK_HOSTS; i++)
    soak_host_unpublish (soak, soak->hosts[i].id);
}

static void
drop_store_history (Soak *soak)
{
  wc_emulated_store_drop_history (soak->store);
  soak_mark_unstable (soak, soak->now_us);
}

static void
restore_store (Soak *soak)
{
  soak_restore_begin (soak);
}

static void
disturb_store_connection (Soak *soak)
{
  SoakInstance *instance = &soak->instances[(int)random_range (soak, 0, SOAK_INSTANCES)];
  WcRelayFault  fault = (WcRelayFault)random_range (soak, WC_RELAY_DELAYS, WC_RELAY_FAULT_COUNT);

  soak_trace (soak, "  instance %d: relay %s", instance->number, WC_RELAY_FAULT_STRINGS[fault]);
  wc_tcp_relay_set_fault (instance->store_relay, fault);
  instance->relay_deadline_us = soak->now_us + (uint64_t)random_range (soak, 500e3, 5000e3);
  /* Other instances may read the view from this instance. */
  soak_mark_unstable (soak, instance->relay_deadline_us);
}

static void
change_config (Soak *soak)
{
  SoakRoute *route = &soak->routes[(int)random_range (soak, 2, SOAK_ROUTES)];

  route->exists = !route->exists;
  route->changed_us = soak->now_us;
  soak_config_publish (soak);
  route->changed_version = soak->config_version;
  route_versions_record_change (&route->changes, soak->config_version);
}

static void
change_config_repeatedly (Soak *soak)
{
  for (int i = 0; i < 6; i++)
    change_config (soak);
}

static void
drain_host (Soak *soak)
{
  SoakHost *host = pick_host (soak);

  if (!host)
    return;
  host->state = SOAK_HOST_DRAINING;
  host->drain_start_us = soak->now_us;
  host->state_deadline_us = soak->now_us + SOAK_DRAIN_US + (uint64_t)random_range (soak, 500e3, 2500e3);
  soak_host_publish (host);
}

static void
silence_host (Soak *soak)
{
  SoakHost *host = pick_host (soak);

  if (!host)
    return;
  host->state = SOAK_HOST_UNRESPONSIVE;
  host->entry_expiry_us = soak->now_us + 2300 * 1000;
  host->state_deadline_us = soak->now_us + (uint64_t)random_range (soak, 4500e3, 7000e3);
}

static void
inject_malformed_data (Soak *soak)
{
  static const char *const values[] = {
    "",
    "[]",
    "{\"service\":7}",
    "\xff\xfe\x00",
    "{\"service\":\"service-0\",\"address\":\"127.0.0.1:9\",\"zone\":\"d0\","
    "\"slots\":2,\"state\":\"asleep\"}",
  };
  const char *value = values[(int)random_range (soak, 0, G_N_ELEMENTS (values))];

  wc_emulated_store_put (soak->store, "servers/i-00000000ff", value, strlen (value));
  wc_emulated_store_put (soak->store, "servers/", value, strlen (value));
  wc_emulated_store_put (soak->store, "other/key", value, strlen (value));
  for (int i = 0; i < SOAK_INSTANCES; i++)
    {
      WcAddress peers = soak_address (soak, SOAK_SUBNET_INSTANCES, i, soak->port + SOAK_PEERS_PORT);

      send_random_datagrams (soak, &soak->instances[i].packets);
      send_random_datagrams (soak, &peers);
    }
}

static void
send_random_datagrams (Soak *soak, const WcAddress *address)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);
  int                     fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  for (int i = 0; i < 20; i++)
    {
      uint8_t data[1600];
      size_t  size = (size_t)random_range (soak, 0, sizeof data);

      for (size_t b = 0; b < size; b++)
        data[b] = (uint8_t)g_rand_int (soak->fault_random);
      (void)sendto (fd, data, size, 0, (struct sockaddr *)&storage, length);
    }
  close (fd);
}

static void
change_settings (Soak *soak)
{
  SoakInstance *instance = pick_instance (soak);

  if (!instance)
    return;
  soak_instance_write_settings (instance);
  if (random_range (soak, 0, 1) < 0.5)
    kill (instance->pid, SIGHUP);
}

static void
block_hosts (Soak *soak)
{
  SoakInstance *instance = &soak->instances[(int)random_range (soak, 0, SOAK_INSTANCES)];

  instance->blocked_domain = (int)random_range (soak, 0, SOAK_DOMAINS);
  instance->blocked_deadline_us = soak->now_us + (uint64_t)random_range (soak, 500e3, 4000e3);
  instance->faults_end_us = MAX (instance->faults_end_us, instance->blocked_deadline_us);
}

static void
drop_packets (Soak *soak)
{
  soak->loss = random_range (soak, 0.01, 0.08);
  soak->loss_deadline_us = soak->now_us + (uint64_t)random_range (soak, 500e3, 3000e3);
  for (int i = 0; i < SOAK_INSTANCES; i++)
    soak->instances[i].faults_end_us = MAX (soak->instances[i].faults_end_us, soak->loss_deadline_us);
}
