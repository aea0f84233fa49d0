#include <string.h>

#include "soak.h"

/*
 * Operators evacuate domains, one or several at once, and end or repeat evacuations while other faults last. No new
 * flow may reach a host of an evacuated domain once the evacuation is in force.
 */

static double random_range (Soak *soak, double low, double high);
static char  *format_key (int domain);
static void   put (Soak *soak, int domain);
static void   end (Soak *soak, int domain);
static bool   has_host (const Soak *soak, int service);

void
soak_evacuation_begin (Soak *soak)
{
  int             domain = (int)random_range (soak, 0, SOAK_DOMAINS);
  SoakEvacuation *evacuation = &soak->evacuations[domain];

  soak_trace (soak, "  domain %d%s", domain, evacuation->is_active ? " again" : "");
  if (evacuation->is_active)
    end (soak, domain);
  put (soak, domain);
  evacuation->is_active = true;
  evacuation->since_us = soak->now_us;
  evacuation->deadline_us = soak->now_us + (uint64_t)random_range (soak, 1000e3, 10000e3);
  soak->counts.evacuations++;
}

void
soak_evacuation_tick (Soak *soak)
{
  for (int d = 0; d < SOAK_DOMAINS; d++)
    {
      const SoakEvacuation *evacuation = &soak->evacuations[d];

      if (evacuation->is_active && soak->now_us >= evacuation->deadline_us)
        end (soak, d);
      for (int i = 0; i < SOAK_INSTANCES && evacuation->is_active; i++)
        if (soak_is_stable (soak) && soak_instance_is_stable (&soak->instances[i]) &&
            soak->now_us > evacuation->since_us + SOAK_EVACUATE_US)
          soak->instances[i].shows_evacuation[d] = true;
    }
  for (int s = 0; s < SOAK_SERVICES; s++)
    if (!has_host (soak, s))
      soak->without_host_us[s] = soak->now_us;
}

/* One evacuation goes on, so that it is checked without other faults; the other domains serve its callers. */
void
soak_evacuation_recover (Soak *soak)
{
  bool is_one_left = false;

  for (int d = 0; d < SOAK_DOMAINS; d++)
    {
      if (!soak->evacuations[d].is_active)
        continue;
      soak->evacuations[d].deadline_us = is_one_left ? soak->now_us : soak->end_us;
      is_one_left = true;
    }
}

void
soak_evacuation_publish_again (Soak *soak)
{
  for (int d = 0; d < SOAK_DOMAINS; d++)
    if (soak->evacuations[d].is_active)
      put (soak, d);
    else
      end (soak, d);
}

void
soak_evacuation_check_opening (const SoakHost *host, const SoakInstance *instance)
{
  Soak                 *soak = host->soak;
  const SoakEvacuation *evacuation = &soak->evacuations[host->domain];

  for (int d = 0; d < SOAK_DOMAINS; d++)
    soak->counts.checked_evacuations += soak->evacuations[d].is_active && instance->shows_evacuation[d];
  if (evacuation->is_active && instance->shows_evacuation[host->domain])
    soak_report_violation (
        soak, "evacuation", "instance %d sent host %d of domain %d a new flow %.1f s after the domain was evacuated",
        instance->number, host->number, host->domain, (double)(soak->now_us - evacuation->since_us) / 1e6);
}

bool
soak_evacuation_may_reject (const Soak *soak, int service)
{
  /* An evacuation that began after the last tick may have reached an instance already. */
  if (!has_host (soak, service))
    return true;
  return soak->without_host_us[service] > 0 && soak->now_us <= soak->without_host_us[service] + SOAK_EVACUATE_US;
}

/* local functions */

static double
random_range (Soak *soak, double low, double high)
{
  return g_rand_double_range (soak->fault_random, low, high);
}

static char *
format_key (int domain)
{
  return g_strdup_printf ("op/evacuate/d%d", domain);
}

static void
put (Soak *soak, int domain)
{
  /* The value does not count. */
  static const char *const values[] = { "{}", "", "null" };
  const char              *value = values[soak->now_us % G_N_ELEMENTS (values)];
  char                    *key = format_key (domain);

  wc_emulated_store_put (soak->store, key, value, strlen (value));
  g_free (key);
}

static void
end (Soak *soak, int domain)
{
  char *key = format_key (domain);

  if (soak->evacuations[domain].is_active)
    soak_trace (soak, "evacuation of domain %d ends", domain);
  wc_emulated_store_remove (soak->store, key);
  soak->evacuations[domain].is_active = false;
  for (int i = 0; i < SOAK_INSTANCES; i++)
    soak->instances[i].shows_evacuation[domain] = false;
  g_free (key);
}

/* Whether a host of the service may receive new flows. */
static bool
has_host (const Soak *soak, int service)
{
  for (int i = 0; i < SOAK_HOSTS; i++)
    if (soak->hosts[i].service == service && soak->hosts[i].state == SOAK_HOST_READY &&
        !soak->evacuations[soak->hosts[i].domain].is_active)
      return true;
  return false;
}
