#include "forward/forwarder_private.h"

#include <assert.h>

enum
{
  /*
   * A caller retransmits an opening for 1.4 s. One that arrives later after the flow was opened is a new flow from a
   * reused port.
   */
  RETRANSMITTED_OPENING_MAX_US = 1500 * 1000
};

static uint32_t mark_hosts (WcForwarder *forwarder, uint32_t domain, bool is_evacuated);

void
wc_forwarder_set_evacuated (WcForwarder *forwarder, uint32_t domain, bool is_evacuated, uint64_t revision,
                            uint64_t now_us)
{
  const WcEvacuatedDomain *known;
  WcDecision decision = { .kind = is_evacuated ? WC_DECISION_DOMAIN_EVACUATED : WC_DECISION_DOMAIN_RESTORED };

  assert (forwarder != NULL && domain != 0);

  forwarder->now_us = now_us;
  known = wc_evacuation_find (forwarder->evacuation, domain);
  decision.evidence_us = known ? known->since_us : 0;
  if (!wc_evacuation_set (forwarder->evacuation, domain, is_evacuated, revision, now_us))
    return;
  decision.domain = domain;
  decision.domain_revision = revision;
  decision.count = mark_hosts (forwarder, domain, is_evacuated);
  decision.version = forwarder->routes ? wc_route_table_get_version (forwarder->routes) : 0;
  forwarder->ops.decided (forwarder->user_data, &decision);
  if (is_evacuated)
    wc_forwarder_reject_unplaceable (forwarder);
  else
    wc_forwarder_assume_cold (forwarder, domain, now_us);
}

const WcEvacuation *
wc_forwarder_get_evacuation (const WcForwarder *forwarder)
{
  return forwarder->evacuation;
}

/*
 * An opening that was forwarded before the evacuation may have been answered, and its caller may continue through
 * another instance. It is reset only when the caller retransmits it, unless that retransmission was delayed.
 */
bool
wc_forwarder_stays_at_host (const WcForwarder *forwarder, const WcFlow *flow, const WcPacket *packet,
                            bool is_retransmitted)
{
  const WcHost *host = wc_host_table_find_cookie (forwarder->hosts, flow->cookie);

  if (!host || !host->evacuated)
    return false;
  if (!is_retransmitted)
    return true;
  return flow->state == WC_FLOW_OPEN && packet->acknowledged > 0 &&
         forwarder->now_us - flow->opened_us < RETRANSMITTED_OPENING_MAX_US;
}

/* local functions */

/* Return: number of known hosts of the domain, those that are gone included. */
static uint32_t
mark_hosts (WcForwarder *forwarder, uint32_t domain, bool is_evacuated)
{
  uint32_t count = 0;

  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    {
      WcHost *host = wc_host_table_get (forwarder->hosts, i);

      if (host->record.domain != domain)
        continue;
      host->evacuated = is_evacuated;
      count++;
    }
  return count;
}
