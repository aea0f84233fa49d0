#ifndef WIGEONCART_OWNERSHIP_H
#define WIGEONCART_OWNERSHIP_H

#include <wigeoncart/membership.h>
#include <wigeoncart/register.h>

enum
{
  WC_TARGETS_PER_SHARD = 16,
  WC_READERS_PER_DOMAIN = 2,
  WC_SHARES_MAX_DOMAINS = 32
};

/**
 * struct WcDomainShare - capacity of a domain for one service.
 * @slots: slots of the targets that are not leaving, scaled by their weights.
 * @instances: number of live instances.
 */
typedef struct
{
  uint32_t domain;
  uint64_t slots;
  uint64_t instances;
} WcDomainShare;

/**
 * struct WcDomainShares - capacities of all domains for one service, from which the domain of a request is chosen;
 * computed once per view and service.
 */
typedef struct
{
  WcDomainShare shares[WC_SHARES_MAX_DOMAINS];
  size_t        count;
} WcDomainShares;

/** wc_ownership_get_shard_count() - number of shards of a service with @target_count targets in a domain, at least
 * 1. */
uint32_t wc_ownership_get_shard_count (size_t target_count);

/** wc_ownership_find_owner() - owner of a shard: the live member of @domain with the highest rendezvous weight; NULL
 * when no member is live. */
const WcMember *wc_ownership_find_owner (const WcMemberTable *table, uint32_t domain, uint32_t service, uint32_t shard);

/** wc_ownership_get_worker() - index of the owner's worker that handles a shard of a service. */
uint32_t wc_ownership_get_worker (uint32_t service, uint32_t shard, uint32_t worker_count);

/** wc_ownership_is_reader() - whether @self is one of the instances that read the platform for @domain. */
bool wc_ownership_is_reader (const WcMemberTable *table, uint64_t self, uint32_t domain);

/** wc_ownership_shares_init() - compute the shares of a service; domains beyond WC_SHARES_MAX_DOMAINS are left out. */
void
wc_ownership_shares_init (WcDomainShares *shares, const WcMemberTable *table, const WcRegister *reg, uint32_t service);

/** wc_ownership_shares_pick() - like wc_ownership_pick_domain(), with precomputed shares. */
uint32_t wc_ownership_shares_pick (const WcDomainShares *shares, uint32_t domain, uint32_t random);

/**
 * wc_ownership_pick_domain() - domain that handles a new request that arrived in @domain.
 * @random: uniform 32-bit number.
 *
 * Each domain is expected to receive requests in proportion to its live instances and can serve them in proportion to
 * its slots. A request stays in its domain with the probability that the slots there suffice; the excess goes to
 * domains with a surplus of slots. A domain without targets, or with leaving targets only, keeps no requests. A caller
 * that routes many packets should keep the WcDomainShares and use wc_ownership_shares_pick().
 */
uint32_t wc_ownership_pick_domain (const WcMemberTable *table, const WcRegister *reg, uint32_t service, uint32_t domain,
                                   uint32_t random);

#endif
