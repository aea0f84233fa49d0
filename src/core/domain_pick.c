#include <wigeoncart/ownership.h>

#include <assert.h>

/* Separate from the arithmetic in domain_shares.c, so that programs that do not use a register need not link this file.
 */

void
wc_ownership_shares_init (WcDomainShares *shares, const WcMemberTable *table, const WcRegister *reg, uint32_t service)
{
  const WcDomain *domains;
  size_t          count;

  assert (shares != NULL);
  assert (table != NULL);
  assert (reg != NULL);

  domains = wc_register_get_domains (reg, &count);
  shares->count = count < WC_SHARES_MAX_DOMAINS ? count : WC_SHARES_MAX_DOMAINS;
  for (size_t i = 0; i < shares->count; i++)
    {
      WcDomainShare  *share = &shares->shares[i];
      const WcTarget *targets;
      size_t          target_count;
      size_t          live_count;

      targets = wc_register_get_service_targets (reg, service, domains[i].id, &target_count);
      wc_member_table_get_live (table, domains[i].id, &live_count);
      *share = (WcDomainShare){ .domain = domains[i].id, .instances = live_count };
      for (size_t t = 0; t < target_count; t++)
        if (!targets[t].leaving)
          share->slots += (uint64_t)targets[t].slots * targets[t].weight;
    }
}

uint32_t
wc_ownership_pick_domain (const WcMemberTable *table, const WcRegister *reg, uint32_t service, uint32_t domain,
                          uint32_t random)
{
  WcDomainShares shares;

  wc_ownership_shares_init (&shares, table, reg, service);
  return wc_ownership_shares_pick (&shares, domain, random);
}
