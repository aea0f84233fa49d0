#ifndef WC_FORWARD_PLACEMENT_H
#define WC_FORWARD_PLACEMENT_H

#include <stdint.h>

#include "forward/host_table.h"

/**
 * struct WcPlacement - what a new flow needs.
 * @service: quark of its service.
 * @domain: quark of the failure domain of this instance; its hosts come first.
 * @draw: breaks ties, so that instances that know the same do not all choose the same host.
 * @avoid: a host that did not answer this flow; chosen only when no other one is left. May be NULL.
 */
typedef struct
{
  uint32_t      service;
  uint32_t      domain;
  uint64_t      draw;
  const WcHost *avoid;
} WcPlacement;

/**
 * wc_placement_choose() - the host of a new flow.
 *
 * Return: NULL when no host of the service takes new flows.
 */
WcHost *wc_placement_choose (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us);

#endif
