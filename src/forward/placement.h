#ifndef WC_FORWARD_PLACEMENT_H
#define WC_FORWARD_PLACEMENT_H

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
 * @draw: breaks ties, so that instances that know the same do not all choose the same host.
 * @avoid: a host that did not answer this flow; chosen only when no other one is left. May be NULL.
 */
typedef struct
{
  uint32_t      service;
  uint32_t      domain;
  uint32_t      domain_peers;
  uint64_t      draw;
  const WcHost *avoid;
} WcPlacement;

/**
 * wc_placement_choose() - the host of a new flow.
 *
 * Return: NULL when no host of the service takes new flows.
 */
WcHost *wc_placement_choose (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us);

/** wc_placement_expect_us() - time until a new flow's first request at a host would be answered. */
uint64_t wc_placement_expect_us (const WcHost *host, const WcPlacement *placement, uint64_t now_us);

#endif
