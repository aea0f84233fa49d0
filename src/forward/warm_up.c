#include "forward/warm_up.h"

#include <assert.h>

#include <glib.h>

#include "forward/host_lease.h"

enum
{
  /* The instances that may hold the lease of a host at the same time; see host_lease.h. */
  HOLDERS_MAX = 2,
  MILLI = 1000
};

/* @routes: active configuration, or NULL. */
struct WcWarmUp
{
  WcWarmUpSettings    settings;
  WcHostLease        *lease;
  const WcRouteTable *routes;
};

static uint32_t get_per_s_milli (const WcWarmUp *warm_up, uint32_t service);
static uint32_t get_limit (const WcWarmUp *warm_up, uint32_t service);
static bool     is_limited (const WcHost *host, uint64_t now_us);

WcWarmUp *
wc_warm_up_new (const WcWarmUpSettings *settings)
{
  WcWarmUp *warm_up = g_new0 (WcWarmUp, 1);

  assert (settings != NULL && settings->overrun_milli > 0);

  warm_up->settings = *settings;
  warm_up->lease = wc_host_lease_new ();
  return warm_up;
}

void
wc_warm_up_delete (WcWarmUp *warm_up)
{
  if (!warm_up)
    return;
  wc_host_lease_delete (warm_up->lease);
  g_free (warm_up);
}

void
wc_warm_up_set_routes (WcWarmUp *warm_up, const WcRouteTable *routes)
{
  warm_up->routes = routes;
}

void
wc_warm_up_update_lease (WcWarmUp *warm_up, WcPeerTable *peers, uint64_t now_us)
{
  wc_host_lease_update (warm_up->lease, peers, now_us);
}

void
wc_warm_up_release_leases (WcWarmUp *warm_up)
{
  wc_host_lease_release (warm_up->lease);
}

bool
wc_warm_up_evaluate (const WcWarmUp *warm_up, WcHost *host, uint64_t now_us)
{
  bool was_limited;

  assert (warm_up != NULL && host != NULL);

  was_limited = host->warm_up.is_limited;
  host->warm_up.is_limited = wc_host_is_cold (host, now_us) && get_per_s_milli (warm_up, host->record.service) > 0;
  host->warm_up.limit = host->warm_up.is_limited ? get_limit (warm_up, host->record.service) : 0;
  host->warm_up.has_lease = host->warm_up.is_limited && host->record.domain == warm_up->settings.domain &&
                            wc_host_lease_holds (warm_up->lease, host->record.id, now_us);
  return host->warm_up.is_limited && !was_limited;
}

bool
wc_warm_up_allows (const WcWarmUp *warm_up, const WcHost *host, uint64_t now_us)
{
  assert (host != NULL);

  if (!warm_up || !is_limited (host, now_us))
    return true;
  /* The lease was evaluated at the latest tick; it does not count any more when this instance was paused since. */
  return host->warm_up.has_lease && wc_host_lease_is_eligible (warm_up->lease, now_us) &&
         wc_second_window_count (&host->warm_up.flows, now_us) < host->warm_up.limit;
}

void
wc_warm_up_record (WcHost *host, uint64_t now_us)
{
  assert (host != NULL);

  /* Also without a limit, which a new configuration may set within the second. */
  if (wc_host_is_cold (host, now_us))
    wc_second_window_record (&host->warm_up.flows, now_us);
}

/* local functions */

static uint32_t
get_per_s_milli (const WcWarmUp *warm_up, uint32_t service)
{
  return warm_up->routes ? wc_route_table_get_warm_up_per_s_milli (warm_up->routes, service) : 0;
}

static uint32_t
get_limit (const WcWarmUp *warm_up, uint32_t service)
{
  uint64_t total_milli =
      get_per_s_milli (warm_up, service) * warm_up->settings.overrun_milli / MILLI + warm_up->settings.slack * MILLI;

  return (uint32_t)(total_milli / MILLI / HOLDERS_MAX);
}

/* Does not look up the service, because it is called for each host that an opening may go to. */
static bool
is_limited (const WcHost *host, uint64_t now_us)
{
  return host->warm_up.is_limited && wc_host_is_cold (host, now_us);
}
