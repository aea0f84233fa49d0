#ifndef WC_FORWARD_PLACEMENT_H
#define WC_FORWARD_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/host_table.h"

/*
 * Load pattern: after an outage of all instances the requests of a second or more come back at once, and a domain that
 * lost hosts, or has a burst, gets more than its hosts can queue while those of other domains are idle. Hosts reject
 * what exceeds their queue, and callers come again, so that a full host makes more work. A new flow therefore goes to
 * the host that is expected to answer it first; another domain costs its delay.
 */

/**
 * struct WcPlacement - what a new flow needs.
 * @service: quark of its service.
 * @domain: quark of the failure domain of this instance.
 * @domain_peers: other live instances of this domain.
 * @tie_breaker: breaks ties, so that instances that know the same do not all choose the same host.
 * @avoid: a host that did not answer this flow; chosen only when no other one is left. May be NULL.
 * @other_domains_only: only hosts of other domains are wanted, those first that have answered lately.
 */
typedef struct
{
  uint32_t      service;
  uint32_t      domain;
  uint32_t      domain_peers;
  uint64_t      tie_breaker;
  const WcHost *avoid;
  bool          other_domains_only;
} WcPlacement;

/**
 * wc_placement_choose() - the host of a new flow.
 *
 * Return: NULL when no host of the service takes new flows.
 */
WcHost *wc_placement_choose (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us);

/** wc_placement_estimate_us() - time until a new flow's first request at a host would be answered. */
uint64_t wc_placement_estimate_us (const WcHost *host, const WcPlacement *placement, uint64_t now_us);

/**
 * wc_placement_has_room() - whether the slots at @host, the best host there is, have so little to do that they would be
 * idle soon.
 *
 * The hosts of the own domain are taken together, because an instance that knows only its own requests sees none or all
 * slots of a host taken. So are those of other domains, which must not get from here what their own callers need.
 */
bool
wc_placement_has_room (const WcHostTable *hosts, const WcHost *host, const WcPlacement *placement, uint64_t now_us);

/**
 * wc_placement_get_capacity() - requests that this instance's share of the hosts of its domain can answer in @span_us;
 * of all hosts when the domain has none.
 */
uint64_t
wc_placement_get_capacity (const WcHostTable *hosts, const WcPlacement *placement, uint64_t span_us, uint64_t now_us);

#endif
