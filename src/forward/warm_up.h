#ifndef WC_FORWARD_WARM_UP_H
#define WC_FORWARD_WARM_UP_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/host_table.h"
#include "forward/peer_table.h"
#include "forward/route_table.h"

/*
 * Load pattern: hosts that have just started, or that return from an evacuation, sustain a few requests per second
 * until their caches are filled, and they are the hosts with the fewest requests, so that all instances choose them at
 * the same moment. New flows to a cold host are therefore limited over the whole fleet, although instances that cannot
 * reach each other decide on their own: only the instance with the lease of the host (host_lease.h) sends to it, and it
 * uses half of the limit, so that two instances with different views together stay within it.
 */

/**
 * struct WcWarmUpSettings - limit of a deployment.
 * @domain: quark of the failure domain of this instance.
 * @overrun_milli: thousandths of the published rate that a cold host may get.
 * @slack: new flows in any sliding second that a cold host may get in addition.
 */
typedef struct
{
  uint32_t domain;
  uint64_t overrun_milli;
  uint64_t slack;
} WcWarmUpSettings;

/** struct WcWarmUp - limits new flows to cold hosts (slow start). */
typedef struct WcWarmUp WcWarmUp;

WcWarmUp *wc_warm_up_new (const WcWarmUpSettings *settings);
void      wc_warm_up_delete (WcWarmUp *warm_up);

/** wc_warm_up_set_routes() - take the published rates from @routes, which must stay valid until they are replaced. */
void wc_warm_up_set_routes (WcWarmUp *warm_up, const WcRouteTable *routes);

/** wc_warm_up_update_lease() - see wc_host_lease_update(). */
void wc_warm_up_update_lease (WcWarmUp *warm_up, WcPeerTable *peers, uint64_t now_us);

/** wc_warm_up_release_leases() - see wc_host_lease_release(). */
void wc_warm_up_release_leases (WcWarmUp *warm_up);

/**
 * wc_warm_up_evaluate() - decide again whether this instance holds the lease of a host; to be called when the host
 * or the routes change and several times a second. A host without a lease gets no new flows of this instance while it
 * is cold.
 *
 * Return: true when the host begins to be limited.
 */
bool wc_warm_up_evaluate (const WcWarmUp *warm_up, WcHost *host, uint64_t now_us);

/**
 * wc_warm_up_allows() - whether this instance may send a new flow to the host now. Constant time.
 * @warm_up: may be NULL; all hosts are allowed then.
 */
bool wc_warm_up_allows (const WcWarmUp *warm_up, const WcHost *host, uint64_t now_us);

/** wc_warm_up_record() - record that an opening is forwarded to the host, also if it was forwarded before. */
void wc_warm_up_record (WcHost *host, uint64_t now_us);

#endif
