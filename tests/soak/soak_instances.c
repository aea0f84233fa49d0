#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <json-c/json.h>

#include "soak.h"

#include "forward/flow_table.h"

enum
{
  PROBE_TIMEOUT_US = 400 * 1000,
  MISSED_PROBES_MAX = 2
};

static void probe_done (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                        const char *body, size_t size_bytes);
static void status_done (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                         const char *body, size_t size_bytes);
static void reap (SoakInstance *instance);

bool
soak_instances_start (Soak *soak)
{
  WcAddress store;
  WcError   error;

  wc_emulated_store_get_address (soak->store, &store);
  for (int i = 0; i < SOAK_INSTANCES; i++)
    {
      SoakInstance *instance = &soak->instances[i];
      WcAddress     listen = soak_address (soak, SOAK_SUBNET_INSTANCES, i, 0);
      WcAddress     ready = soak_address (soak, SOAK_SUBNET_INSTANCES, i, soak->port + SOAK_READY_PORT);
      WcAddress     operators = soak_address (soak, SOAK_SUBNET_INSTANCES, i, soak->port + SOAK_OPERATORS_PORT);

      instance->soak = soak;
      instance->number = i;
      instance->blocked_domain = -1;
      instance->packets = soak_address (soak, SOAK_SUBNET_INSTANCES, i, soak->port);
      instance->settings_path = g_strdup_printf ("%s/instance-%d.json", soak->directory, i);
      instance->store_relay = wc_tcp_relay_new (soak->loop, &listen, &store, &error);
      if (!instance->store_relay)
        {
          fprintf (stderr, "soak: %s\n", error.message);
          return false;
        }
      instance->probe = wc_platform_client_new (soak->loop, &ready, 1, probe_done, instance);
      wc_platform_client_set_response_timeout_us (instance->probe, PROBE_TIMEOUT_US);
      instance->status = wc_platform_client_new (soak->loop, &operators, 1, status_done, instance);
      wc_platform_client_set_response_timeout_us (instance->status, PROBE_TIMEOUT_US);
      soak_instance_write_settings (instance);
      soak_instance_start (instance);
    }
  return true;
}

void
soak_instance_write_settings (SoakInstance *instance)
{
  Soak     *soak = instance->soak;
  WcAddress addresses[] = {
    instance->packets,
    soak_address (soak, SOAK_SUBNET_INSTANCES, instance->number, soak->port + SOAK_READY_PORT),
    soak_address (soak, SOAK_SUBNET_INSTANCES, instance->number, soak->port + SOAK_PEERS_PORT),
    soak_address (soak, SOAK_SUBNET_INSTANCES, instance->number, soak->port + SOAK_OPERATORS_PORT),
    { .family = 0 },
    /* One seed is a random instance, one is an address that no process uses, and one is the next instance. */
    soak_address (soak, SOAK_SUBNET_INSTANCES, (int)(soak_random_range (soak, 0, SOAK_INSTANCES)),
                  soak->port + SOAK_PEERS_PORT),
    soak_address (soak, SOAK_SUBNET_INSTANCES, 77, soak->port + SOAK_PEERS_PORT),
    soak_address (soak, SOAK_SUBNET_INSTANCES, (instance->number + 1) % SOAK_INSTANCES, soak->port + SOAK_PEERS_PORT),
  };
  char  text[G_N_ELEMENTS (addresses)][WC_ADDRESS_TEXT_BYTES];
  char *settings;

  wc_tcp_relay_get_address (instance->store_relay, &addresses[4]);
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    wc_address_format (&addresses[i], text[i]);
  settings = g_strdup_printf ("{\"data_path\": \"packets\", \"instance\": \"instance-%d\", \"domain\": \"d%d\",\n"
                              " \"packets\": \"%s\", \"ready\": \"%s\", \"peers\": \"%s\", \"operators\": \"%s\",\n"
                              " \"store\": \"%s\", \"seeds\": [\"%s\", \"%s\", \"%s\"],\n"
                              " \"flow_life_s\": 60, \"stop_limit_s\": %d}\n",
                              instance->number, instance->number % SOAK_DOMAINS, text[0], text[1], text[2], text[3],
                              text[4], text[5], text[6], text[7], SOAK_STOP_MS / 1000);
  g_file_set_contents (instance->settings_path, settings, -1, NULL);
  g_free (settings);
}

void
soak_instance_start (SoakInstance *instance)
{
  Soak *soak = instance->soak;
  char *log = g_strdup_printf ("%s/instance-%d.log", soak->directory, instance->number);

  soak->counts.starts++;
  instance->restart_deadline_us = 0;
  instance->stop_deadline_us = 0;
  instance->shown_version = 0;
  memset (instance->shows_evacuation, 0, sizeof instance->shows_evacuation);
  instance->faults_end_us = MAX (instance->faults_end_us, soak->now_us);
  instance->pid = fork ();
  if (instance->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (soak->binary, soak->binary, "serve", "--settings", instance->settings_path, (char *)NULL);
      _exit (127);
    }
  g_free (log);
}

void
soak_instances_tick (Soak *soak)
{
  for (int i = 0; i < SOAK_INSTANCES; i++)
    {
      SoakInstance *instance = &soak->instances[i];

      reap (instance);
      if (instance->is_paused && soak->now_us >= instance->resume_deadline_us)
        {
          kill (instance->pid, SIGCONT);
          instance->is_paused = false;
          instance->faults_end_us = soak->now_us;
        }
      if (instance->restart_deadline_us > 0 && soak->now_us >= instance->restart_deadline_us)
        soak_instance_start (instance);
      if (instance->stop_deadline_us > 0 && soak->now_us >= instance->stop_deadline_us)
        {
          soak_report_violation (soak, "planned stop", "instance %d has not exited within %d ms", i, SOAK_STOP_MS);
          kill (instance->pid, SIGKILL);
          instance->stop_deadline_us = 0;
        }
      if (instance->relay_deadline_us > 0 && soak->now_us >= instance->relay_deadline_us)
        {
          wc_tcp_relay_set_fault (instance->store_relay, WC_RELAY_PASSES);
          instance->relay_deadline_us = 0;
        }
      if (soak->now_us >= instance->blocked_deadline_us)
        instance->blocked_domain = -1;
    }
}

void
soak_instances_probe (Soak *soak)
{
  for (int i = 0; i < SOAK_INSTANCES; i++)
    {
      wc_platform_client_get (soak->instances[i].probe, WC_PLATFORM_READ_STORE_ITEMS, "/ready", 0);
      wc_platform_client_get (soak->instances[i].status, WC_PLATFORM_READ_STORE_ITEMS, "/status", 0);
    }
}

bool
soak_instance_is_stable (const SoakInstance *instance)
{
  return !instance->is_paused && instance->stop_deadline_us == 0 && instance->restart_deadline_us == 0 &&
         instance->soak->now_us >= instance->faults_end_us + SOAK_STABLE_US;
}

SoakInstance *
soak_instance_find (Soak *soak, const WcAddress *address)
{
  for (int i = 0; i < SOAK_INSTANCES; i++)
    if (wc_address_equal (&soak->instances[i].packets, address))
      return &soak->instances[i];
  return NULL;
}

SoakInstance *
soak_instance_pick (Soak *soak, const WcFlowKey *key)
{
  SoakInstance *best = NULL;
  uint64_t      best_weight = 0;
  int           usable = 0;

  for (int i = 0; i < SOAK_INSTANCES; i++)
    usable += soak->instances[i].in_rotation;
  for (int i = 0; i < SOAK_INSTANCES; i++)
    {
      SoakInstance   *instance = &soak->instances[i];
      const WcFlowKey mixed = { key->caller_ip + (uint32_t)i * 7919, key->route_ip, key->caller_port, key->route_port };
      uint64_t        weight = wc_flow_key_hash (&mixed);

      if ((instance->in_rotation || usable * 2 < SOAK_INSTANCES) && (!best || weight > best_weight))
        {
          best = instance;
          best_weight = weight;
        }
    }
  return best;
}

void
soak_instances_stop (Soak *soak)
{
  for (int i = 0; i < SOAK_INSTANCES; i++)
    {
      SoakInstance *instance = &soak->instances[i];

      if (instance->pid > 0)
        {
          kill (instance->pid, SIGCONT);
          kill (instance->pid, SIGKILL);
          waitpid (instance->pid, NULL, 0);
        }
      wc_platform_client_delete (instance->probe);
      wc_platform_client_delete (instance->status);
      wc_tcp_relay_delete (instance->store_relay);
      g_free (instance->settings_path);
    }
}

/* local functions */

static void
probe_done (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
            size_t size_bytes)
{
  SoakInstance *instance = user_data;

  (void)read;
  (void)version;
  (void)body;
  (void)size_bytes;
  instance->missed_probes = result == WC_PLATFORM_RESULT_OK ? 0 : instance->missed_probes + 1;
  if (instance->missed_probes == 0)
    instance->in_rotation = true;
  else if (instance->missed_probes >= MISSED_PROBES_MAX)
    instance->in_rotation = false;
}

/*
 * An instance states the version that it has. Until the process ends, the version may not go back, whatever is stated
 * or seen of it.
 */
static void
status_done (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
             size_t size_bytes)
{
  SoakInstance        *instance = user_data;
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object  *status;
  struct json_object  *config;
  struct json_object  *revision;

  (void)read;
  (void)version;
  status = result == WC_PLATFORM_RESULT_OK ? json_tokener_parse_ex (tokener, body, (int)size_bytes) : NULL;
  json_tokener_free (tokener);
  if (status && json_object_object_get_ex (status, "config", &config) &&
      json_object_object_get_ex (config, "revision", &revision))
    {
      uint64_t stated = json_object_get_uint64 (revision);

      if (stated < instance->shown_version)
        soak_report_violation (instance->soak, "configuration",
                               "instance %d has version %" G_GUINT64_FORMAT " after version %" G_GUINT64_FORMAT,
                               instance->number, stated, instance->shown_version);
      else if (stated > instance->shown_version)
        {
          instance->shown_version = stated;
          instance->shown_us = instance->soak->now_us;
        }
    }
  json_object_put (status);
}

/* A process may exit by itself only after a planned stop was requested, and with status 0. */
static void
reap (SoakInstance *instance)
{
  Soak *soak = instance->soak;
  int   status;

  if (instance->pid <= 0 || waitpid (instance->pid, &status, WNOHANG) != instance->pid)
    return;
  instance->pid = 0;
  if (instance->stop_deadline_us > 0 && !(WIFEXITED (status) && WEXITSTATUS (status) == 0))
    soak_report_violation (soak, "planned stop", "instance %d exited with wait status %d", instance->number, status);
  if (instance->stop_deadline_us == 0 && instance->restart_deadline_us == 0)
    soak_report_violation (soak, "process exit", "instance %d exited without a stop request, wait status %d",
                           instance->number, status);
  instance->stop_deadline_us = 0;
  if (instance->restart_deadline_us == 0)
    instance->restart_deadline_us = soak->now_us + (uint64_t)soak_random_range (soak, 200e3, 800e3);
}
