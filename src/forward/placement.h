#ifndef WC_FORWARD_PLACEMENT_H
#define WC_FORWARD_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/domain_balance.h"
#include "forward/host_table.h"
#include "forward/warm_up.h"

/*
 * Load pattern: after an outage of all instances the requests of a second or more arrive at once; and a domain that has
 * lost hosts, or receives a burst, gets more requests than its hosts can queue while hosts of other domains are idle.
 * Hosts refuse requests beyond their queue and callers retry, so an overloaded host causes additional load. A new flow
 * is therefore placed on the host with the shortest expected answer time, where a cost is added to hosts of other
 * domains: a fixed one, or the one that domain_balance.h determines.
 */

/** enum WcPlacementScope - hosts that are considered, relative to the domain of this instance. */
typedef enum
{
  WC_PLACEMENT_ALL_DOMAINS = 0,
  WC_PLACEMENT_OWN_DOMAIN,
  /* Hosts that have no requests of this instance or have answered recently are preferred. */
  WC_PLACEMENT_OTHER_DOMAINS
} WcPlacementScope;

/**
 * struct WcPlacementReason - expected times to the answer that the choice of another domain is based on, each with the
 * cost of the way.
 * @own_us: best usable host of the own domain; 0 when there is none or it was not considered.
 * @other_us: chosen host of another domain.
 */
typedef struct
{
  uint64_t own_us;
  uint64_t other_us;
} WcPlacementReason;

/**
 * struct WcPlacement - requirements of a new flow.
 * @service: quark of its service.
 * @domain: quark of the failure domain of this instance.
 * @domain_peers: other live instances of this domain.
 * @tie_breaker: hash of the flow, which orders hosts with equal estimates so that instances with the same information
 * do not all choose the same host.
 * @avoid: a host that refused the caller or did not answer this flow; chosen only when no other host is left. May be
 * NULL.
 * @service_max_us: a host whose requests take longer is too slow if they also take much longer than those of the
 * service's fastest host; it is chosen only when no other host is left. 0 for no limit.
 * @scope: hosts that are considered.
 * @warm_up: limit of new flows to cold hosts; NULL for none.
 * @is_diverted: set to whether the flow would have been placed on a cold host without that limit, also when no host is
 * left; may be NULL.
 * @balance: decides which flows leave the domain; NULL for a fixed cost.
 * @time_limit_us: with @balance, time limit of the route; 0 for none.
 * @reason: with @balance, where the reason for the choice is stored.
 */
typedef struct
{
  uint32_t      service;
  uint32_t      domain;
  uint32_t      domain_peers;
  uint64_t      tie_breaker;
  const WcHost *avoid;
  uint64_t      service_max_us;

  WcPlacementScope scope;
  const WcWarmUp  *warm_up;
  bool            *is_diverted;

  const WcDomainBalance *balance;
  uint64_t               time_limit_us;
  WcPlacementReason     *reason;
} WcPlacement;

/**
 * wc_placement_choose() - choose the host of a new flow.
 *
 * Return: NULL when no host of the service accepts new flows.
 */
WcHost *wc_placement_choose (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us);

/** enum WcHostVerdict - class of a host for a new flow, in order of preference, or why it receives none. */
typedef enum
{
  WC_HOST_VERDICT_USABLE = 0,
  /* Requests take too long for the latency target. */
  WC_HOST_VERDICT_SLOW,
  /* Fails part of its requests. */
  WC_HOST_VERDICT_FAILING,
  /* Does not answer. */
  WC_HOST_VERDICT_SUSPECTED,
  /* No longer published, but perhaps still running. */
  WC_HOST_VERDICT_IN_GRACE,
  /* Refused the caller or did not answer this flow; the last class that receives flows. */
  WC_HOST_VERDICT_AVOIDED,
  WC_HOST_VERDICT_DRAINING,
  WC_HOST_VERDICT_GONE,
  WC_HOST_VERDICT_EVACUATED,
  /* Cold, and this instance may not send it a flow now. */
  WC_HOST_VERDICT_COLD,
  /* Another host has the same cookie. */
  WC_HOST_VERDICT_AMBIGUOUS,
  WC_HOST_VERDICT_COUNT
} WcHostVerdict;

/** WC_HOST_VERDICT_STRINGS - name of each verdict for operators, indexed by WcHostVerdict. */
extern const char *const WC_HOST_VERDICT_STRINGS[WC_HOST_VERDICT_COUNT];

/** wc_placement_get_verdict() - how wc_placement_choose() would treat @host. */
WcHostVerdict
wc_placement_get_verdict (const WcHostTable *hosts, const WcHost *host, const WcPlacement *placement, uint64_t now_us);

/** wc_placement_allows() - whether @host may receive a new flow at all, regardless of its load. */
bool wc_placement_allows (const WcHost *host, const WcPlacement *placement, uint64_t now_us);

/**
 * wc_placement_estimate_us() - expected time until the first request of a new flow is answered by a host, plus the
 * fixed cost of another domain unless the placement has a domain balance.
 */
uint64_t wc_placement_estimate_us (const WcHost *host, const WcPlacement *placement, uint64_t now_us);

/**
 * wc_placement_has_room() - whether a new flow can be placed on @host, the best host available. A host of the own
 * domain must have a free slot, or the hosts of the domain must have so few requests per slot that a slot would soon be
 * idle. A host of another domain must have a free slot, and the hosts of all other domains must have few requests of
 * this domain per slot.
 *
 * The hosts of the own domain are considered together, because an instance that only knows its own requests sees either
 * none or all slots of a single host in use. The hosts of all other domains are considered together too: the requests
 * that this domain sends there must leave capacity for the callers of those domains.
 */
bool
wc_placement_has_room (const WcHostTable *hosts, const WcHost *host, const WcPlacement *placement, uint64_t now_us);

/**
 * struct WcPlacementCapacity - capacity of the hosts of a service that accept new flows and answer. Hosts that do not
 * answer are left out with the requests waiting at them, which would otherwise use up the capacity of the other hosts.
 * @busy: requests at these hosts, as estimated by wc_host_load_estimate().
 * @own_busy: requests of this instance at these hosts.
 * @served_per_s: number of requests that the hosts can answer a second.
 */
typedef struct
{
  uint64_t busy;
  uint64_t own_busy;
  uint64_t slots;
  uint64_t served_per_s;
} WcPlacementCapacity;

/** wc_placement_sum_capacity() - capacity of the hosts of a scope. Hosts that are too slow are left out. */
WcPlacementCapacity wc_placement_sum_capacity (const WcHostTable *hosts, const WcPlacement *placement,
                                               WcPlacementScope scope, uint64_t now_us);

/** wc_placement_sum_slots() - slots of the hosts of a group that accept new flows and are not suspected. */
uint64_t wc_placement_sum_slots (const WcHostGroup *group, uint64_t now_us);

/**
 * wc_placement_get_capacity() - number of requests that can be answered in @span_us by this instance's share of the
 * hosts of its domain that accept flows and answer; when there are none, by its share of those of all other domains.
 */
uint64_t
wc_placement_get_capacity (const WcHostTable *hosts, const WcPlacement *placement, uint64_t span_us, uint64_t now_us);

#endif
