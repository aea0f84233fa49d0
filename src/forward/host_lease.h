#ifndef WC_FORWARD_HOST_LEASE_H
#define WC_FORWARD_HOST_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/peer_table.h"

/*
 * Load pattern: a host that has just started, or that returns from an evacuation, sustains a few requests per second,
 * and all instances of its domain see it as idle at the same moment. Only one of them may send to it; which one is
 * decided by each instance from its peer table, without messages for this purpose.
 */

/**
 * struct WcHostLease - decides which hosts of the own domain this instance is responsible for.
 *
 * Instances are ranked by a hash of (host, instance). An instance holds the lease of a host while
 *
 * - it has run without a pause, and the last condition has held, for the observation time: 8 s, or 750 ms for each
 *   remembered instance of the domain, whichever is longer;
 * - no instance with a lower rank has been heard of in that time;
 * - it exchanges datagrams in both directions, as echoed heartbeats of the last three quarters of that time show, with
 *   so many instances that these and itself are more than a third of those that it, or one of its peers, remembers;
 *   when these are one or two but it has seeds, it must exchange datagrams with at least one instance of any domain.
 *
 * Instances that cannot reach each other therefore form at most two groups of which a member holds the lease, as long
 * as they remember each other. Memory: 32 bytes per instance of the domain, for 10 minutes after it was last heard of.
 */
typedef struct WcHostLease WcHostLease;

WcHostLease *wc_host_lease_new (void);
void         wc_host_lease_delete (WcHostLease *lease);

/**
 * wc_host_lease_update() - take over the state of the peer table, and tell it how many instances are remembered. To be
 * called several times a second; a gap of more than a second counts as a pause of this instance and ends all leases.
 */
void wc_host_lease_update (WcHostLease *lease, WcPeerTable *peers, uint64_t now_us);

/** wc_host_lease_release() - end all leases for good, because this instance is in a planned shutdown. */
void wc_host_lease_release (WcHostLease *lease);

/**
 * wc_host_lease_is_eligible() - whether this instance may hold leases at all. Constant time; false after a pause, also
 * before the next wc_host_lease_update().
 */
bool wc_host_lease_is_eligible (const WcHostLease *lease, uint64_t now_us);

/** wc_host_lease_holds() - whether this instance holds the lease of a host; compares all remembered instances. */
bool wc_host_lease_holds (const WcHostLease *lease, uint64_t host, uint64_t now_us);

#endif
