#include "fuzz/fleet.h"

#include <stdarg.h>
#include <stdio.h>

enum
{
  START_US = 1000 * 1000 * 1000,
  STARTUP_US = 4 * 1000 * 1000,
  CHECK_INTERVAL_US = 100 * 1000
};

Fleet *
fleet_new (bool strict, uint32_t seed)
{
  Fleet *fleet = g_new0 (Fleet, 1);

  fleet->oracle = oracle_new (strict);
  fleet->random = g_rand_new_with_seed (seed);
  fleet->now_us = START_US;
  fleet->strict = strict;
  fleet->trace = g_getenv ("FUZZ_TRACE") != NULL;
  fleet->messages = g_ptr_array_new_with_free_func (fleet_message_free);
  fleet->attempts = g_ptr_array_new_with_free_func (fleet_attempt_free);
  fleet->revisions = g_ptr_array_new_with_free_func (fleet_revision_free);
  fleet->first_epoch = fleet->last_epoch = 1;
  for (uint32_t i = 0; i < FLEET_HOSTS; i++)
    {
      /* Each domain has two hosts for the catalogue, two for orders and one for pattern delivery. */
      fleet->hosts[i] = (FleetHost){
        .service = i % FLEET_HOSTS_PER_DOMAIN / 2,
        .domain = i / FLEET_HOSTS_PER_DOMAIN,
        .address = { .ip = { 10, 1, 0, (uint8_t)(i + 1) }, .family = 4, .port = 8000 },
        .generation = 1,
      };
      fleet->weights[i] = 100;
    }
  oracle_reachability_changed (fleet->oracle, fleet->now_us, true);
  fleet_publish (fleet, false);
  fleet_callers_init (fleet);
  for (uint32_t i = 0; i < 2 * FLEET_DOMAINS; i++)
    fleet_instance_start (fleet, i);
  fleet_run (fleet, STARTUP_US);
  return fleet;
}

void
fleet_delete (Fleet *fleet)
{
  fleet_callers_finish (fleet);
  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    if (fleet->instances[i].running)
      fleet_instance_kill (fleet, i);
  g_ptr_array_unref (fleet->messages);
  g_ptr_array_unref (fleet->attempts);
  g_ptr_array_unref (fleet->revisions);
  if (fleet->last_order)
    fleet_message_free (fleet->last_order);
  g_rand_free (fleet->random);
  oracle_delete (fleet->oracle);
  g_free (fleet);
}

void
fleet_run (Fleet *fleet, uint64_t duration_us)
{
  uint64_t end_us = fleet->now_us + duration_us;

  while (fleet->now_us < end_us)
    {
      fleet->now_us += FLEET_STEP_US;
      fleet_deliver_due (fleet);
      fleet_targets_step (fleet);
      fleet_links_step (fleet);
      for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
        {
          FleetInstance *instance = &fleet->instances[i];

          if (instance->running && !instance->paused)
            {
              fleet_platform_step (fleet, instance);
              fleet_instance_step (fleet, instance);
            }
        }
      for (uint32_t i = 0; i < FLEET_CALLERS; i++)
        wc_client_tick (fleet->callers[i].client, fleet->now_us);
      if (fleet->now_us / FLEET_STEP_US % (CHECK_INTERVAL_US / FLEET_STEP_US) == 0)
        oracle_check_config (fleet->oracle, fleet->now_us);
    }
}

double
fleet_get_elapsed_s (const Fleet *fleet)
{
  return (double)(fleet->now_us - START_US) / 1e6;
}

void
fleet_log (Fleet *fleet, const char *format, ...)
{
  char   *line = fleet->log[fleet->log_count++ % FLEET_LOG_LINES_MAX];
  va_list arguments;
  int     used = g_snprintf (line, sizeof fleet->log[0], "%8.3f s ", fleet_get_elapsed_s (fleet));

  va_start (arguments, format);
  g_vsnprintf (line + used, sizeof fleet->log[0] - (size_t)used, format, arguments);
  va_end (arguments);
  if (fleet->trace)
    fprintf (stderr, "%s\n", line);
}
