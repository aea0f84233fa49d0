#include "forward/forwarder_private.h"

#include <assert.h>

#include <glib.h>

enum
{
  /* Entries are written about every 770 ms and arrive up to one second late; most are known after this time. */
  ASSUMED_COLD_US = 1500 * 1000
};

static void remember_domain (WcForwarder *forwarder, uint32_t domain);

void
wc_forwarder_update_leases (WcForwarder *forwarder, WcPeerTable *peers, uint64_t now_us)
{
  assert (forwarder != NULL && peers != NULL);

  forwarder->now_us = now_us;
  if (forwarder->warm_up)
    wc_warm_up_update_lease (forwarder->warm_up, peers, now_us);
}

void
wc_forwarder_release_leases (WcForwarder *forwarder, uint64_t now_us)
{
  assert (forwarder != NULL);

  forwarder->now_us = now_us;
  if (forwarder->warm_up)
    wc_warm_up_release_leases (forwarder->warm_up);
}

void
wc_forwarder_assume_cold (WcForwarder *forwarder, uint32_t domain, uint64_t now_us)
{
  assert (forwarder != NULL && domain != 0);

  forwarder->now_us = now_us;
  remember_domain (forwarder, domain);
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    if (wc_host_table_get (forwarder->hosts, i)->record.domain == domain)
      wc_forwarder_evaluate_warm_up (forwarder, wc_host_table_get (forwarder->hosts, i));
}

WcForwarderWarmUp
wc_forwarder_get_warm_up (const WcForwarder *forwarder)
{
  WcForwarderWarmUp state = { .flows_diverted = forwarder->flows_diverted };

  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    {
      const WcHost *host = wc_host_table_get (forwarder->hosts, i);

      state.limited_hosts += host->warm_up.is_limited;
      state.leases += host->warm_up.has_lease;
    }
  return state;
}

void
wc_forwarder_evaluate_warm_up (WcForwarder *forwarder, WcHost *host)
{
  WcDecision decision = { .kind = WC_DECISION_HOST_WARMING, .host = host };

  for (size_t i = 0; i < WC_ASSUMED_COLD_DOMAINS; i++)
    if (forwarder->assumed_cold[i].domain == host->record.domain)
      host->assumed_cold_deadline_us = forwarder->assumed_cold[i].deadline_us;
  if (!forwarder->warm_up || !wc_warm_up_evaluate (forwarder->warm_up, host, forwarder->now_us))
    return;
  decision.version = forwarder->routes ? wc_route_table_get_version (forwarder->routes) : 0;
  decision.forwards_per_s = host->warm_up.limit;
  forwarder->ops.decided (forwarder->user_data, &decision);
}

/* local functions */

/* Hosts of the domain that are added later are marked too. The entry that expires first is replaced. */
static void
remember_domain (WcForwarder *forwarder, uint32_t domain)
{
  WcAssumedCold *entry = &forwarder->assumed_cold[0];

  for (size_t i = 0; i < WC_ASSUMED_COLD_DOMAINS && entry->domain != domain; i++)
    if (forwarder->assumed_cold[i].domain == domain || forwarder->assumed_cold[i].deadline_us < entry->deadline_us)
      entry = &forwarder->assumed_cold[i];
  *entry = (WcAssumedCold){ domain, forwarder->now_us + ASSUMED_COLD_US };
}
