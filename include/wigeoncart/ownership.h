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
 * struct WcDomainShare - a domain's part in serving one service.
 * @slots: open slots of the targets in service, scaled by their weights.
 * @instances: live instances.
 */
typedef struct
{
  uint32_t domain;
  uint64_t slots;
  uint64_t instances;
} WcDomainShare;

/**
 * struct WcDomainShares - input of the choice of a domain; computed once per view and service.
 */
typedef struct
{
  WcDomainShare shares[WC_SHARES_MAX_DOMAINS];
  size_t        count;
} WcDomainShares;

/** wc_ownership_get_shard_count() - shards of a service with @target_count targets in a domain, at least 1. */
uint32_t wc_ownership_get_shard_count (size_t target_count);

/** wc_ownership_find_owner() - live member of @domain with the highest rendezvous weight; NULL when none is live. */
const WcMember *wc_ownership_find_owner (const WcMemberTable *table, uint32_t domain, uint32_t service, uint32_t shard);

/** wc_ownership_get_worker() - worker of an owner that handles a service's shard. */
uint32_t wc_ownership_get_worker (uint32_t service, uint32_t shard, uint32_t worker_count);

/** wc_ownership_is_reader() - whether @self reads the platform for its domain. */
bool wc_ownership_is_reader (const WcMemberTable *table, uint64_t self, uint32_t domain);

/** wc_ownership_shares_init() - shares of a service; domains beyond WC_SHARES_MAX_DOMAINS are left out. */
void
wc_ownership_shares_init (WcDomainShares *shares, const WcMemberTable *table, const WcRegister *reg, uint32_t service);

/** wc_ownership_shares_pick() - as wc_ownership_pick_domain(), over precomputed shares. */
uint32_t wc_ownership_shares_pick (const WcDomainShares *shares, uint32_t domain, uint32_t random);

/**
 * wc_ownership_pick_domain() - domain that handles a new request that arrived in @domain.
 * @random: uniform 32-bit number.
 *
 * Keeps a request in its domain as far as the domain's share of the slots allows, given its share of the live
 * instances, and sends the excess to domains with a surplus of slots. A domain without targets in service keeps
 * nothing. Where many packets are routed, keep the WcDomainShares and use wc_ownership_shares_pick().
 */
uint32_t wc_ownership_pick_domain (const WcMemberTable *table, const WcRegister *reg, uint32_t service, uint32_t domain,
                                   uint32_t random);

#endif
