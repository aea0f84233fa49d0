#include "forward/forwarder_private.h"

#include <assert.h>

#include <glib.h>

#include "forward/gossip.h"

enum
{
  MILLI = 1000
};

static bool     is_in_group (const WcHostGroup *group, uint64_t id, const WcForwarder *forwarder);
static uint64_t estimate_busy (const WcForwarder *forwarder, const WcHostGroup *group, uint32_t instances,
                               const WcHostReport *reports, size_t count);

void
wc_forwarder_apply_domain_load (WcForwarder *forwarder, uint32_t domain, uint32_t instances,
                                const WcHostReport *reports, size_t count, uint64_t now_us)
{
  uint32_t service;

  assert (forwarder != NULL && (reports != NULL || count == 0));

  forwarder->now_us = now_us;
  if (!forwarder->balance || domain == forwarder->settings.domain)
    return;
  for (size_t i = 0; (service = wc_domain_balance_get_service (forwarder->balance, i)) != 0; i++)
    {
      WcHostGroup group;

      for (size_t cursor = 0; wc_host_table_next_group (forwarder->hosts, service, &cursor, &group);)
        if (group.domain == domain)
          wc_domain_balance_record_report (forwarder->balance, service, domain,
                                           estimate_busy (forwarder, &group, instances, reports, count), now_us);
    }
}

void
wc_forwarder_update_balance (WcForwarder *forwarder)
{
  uint32_t service;

  if (!forwarder->balance)
    return;
  for (size_t i = 0; (service = wc_domain_balance_get_service (forwarder->balance, i)) != 0; i++)
    {
      WcHostGroup group;

      for (size_t cursor = 0; wc_host_table_next_group (forwarder->hosts, service, &cursor, &group);)
        if (group.domain != forwarder->settings.domain)
          wc_domain_balance_set_capacity (forwarder->balance, service, group.domain,
                                          wc_placement_sum_slots (&group, forwarder->now_us),
                                          forwarder->domain_peers + 1, forwarder->now_us);
    }
}

void
wc_forwarder_record_placed (WcForwarder *forwarder, const WcFlowKey *key, const WcHost *host,
                            const WcPlacementReason *reason)
{
  const WcFlow *flow;
  WcDecision    decision = {
       .kind = WC_DECISION_PLACED_AWAY,
       .key = key,
       .host = host,
       .version = forwarder->routes ? wc_route_table_get_version (forwarder->routes) : 0,
  };

  if (!forwarder->balance || host->record.domain == forwarder->settings.domain)
    return;
  flow = wc_flow_table_find (forwarder->flows, key);
  decision.request_id = flow ? flow->request_id : 0;
  decision.own_expected_us = reason->own_us;
  decision.other_expected_us = reason->other_us;
  decision.away_rate_milli =
      wc_domain_balance_get_rate_milli (forwarder->balance, host->record.service, host->record.domain);
  wc_domain_balance_record_sent (forwarder->balance, host->record.service, host->record.domain, forwarder->now_us);
  forwarder->ops.decided (forwarder->user_data, &decision);
}

void
wc_forwarder_record_lost (WcForwarder *forwarder, const WcHost *host)
{
  /* Losses on the link of this instance say nothing about the links between domains. */
  if (forwarder->balance && !wc_link_quality_is_lossy (&forwarder->link, forwarder->now_us))
    wc_domain_balance_record_unanswered (forwarder->balance, host->record.service, host->record.domain,
                                         forwarder->now_us);
}

/* local functions */

/*
 * Requests of all callers of a domain at its hosts, if each of its @instances has as many there as the reporting one. A
 * full datagram holds a part of the sender's reports, so the hosts that it leaves out count like the others.
 */
static uint64_t
estimate_busy (const WcForwarder *forwarder, const WcHostGroup *group, uint32_t instances, const WcHostReport *reports,
               size_t count)
{
  uint64_t busy = 0;
  uint64_t listed = 0;

  for (size_t i = 0; i < count; i++)
    if (reports[i].reporter == 0 && is_in_group (group, reports[i].host, forwarder))
      {
        busy += reports[i].busy;
        listed++;
      }
  if (count == WC_GOSSIP_MAX_HOSTS && listed > 0)
    busy = busy * (group->count - group->gone) / listed;
  return busy * MAX (instances, 1);
}

static bool
is_in_group (const WcHostGroup *group, uint64_t id, const WcForwarder *forwarder)
{
  const WcHost *host = wc_host_table_find (forwarder->hosts, id);

  return host && host->record.service == group->service && host->record.domain == group->domain;
}
