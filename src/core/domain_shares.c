#include <wigeoncart/ownership.h>

#include <assert.h>

static const WcDomainShare *find_share (const WcDomainShares *shares, uint32_t domain);
static uint32_t             pick_by_slots (const WcDomainShares *shares, uint32_t domain, uint64_t position);
static uint64_t             get_surplus (const WcDomainShare *share, uint64_t slots, uint64_t instances);

uint32_t
wc_ownership_shares_pick (const WcDomainShares *shares, uint32_t domain, uint32_t random)
{
  const WcDomainShare *own;
  uint64_t             slots = 0;
  uint64_t             instances = 0;
  uint64_t             total_surplus = 0;
  uint64_t             kept_share;
  uint64_t             arriving_share;
  uint64_t             position;

  assert (shares != NULL);

  own = find_share (shares, domain);
  for (size_t i = 0; i < shares->count; i++)
    {
      instances += shares->shares[i].instances;
      /* The slots of a domain without a live instance cannot be used, because no instance owns their shards. */
      if (shares->shares[i].instances > 0)
        slots += shares->shares[i].slots;
    }
  if (slots == 0 || instances == 0)
    return domain;
  for (size_t i = 0; i < shares->count; i++)
    total_surplus += get_surplus (&shares->shares[i], slots, instances);

  /* Shares are compared with slots x instances as the common denominator. The fabric spreads requests evenly over all
   * instances, so the domain receives a share of the requests equal to its share of the instances. */
  if (!own || own->instances == 0)
    return pick_by_slots (shares, domain, (uint64_t)(((unsigned __int128)random * slots) >> 32));
  kept_share = own->slots * instances;
  arriving_share = own->instances * slots;
  if (kept_share >= arriving_share || total_surplus == 0)
    return domain;
  position = (uint64_t)(((unsigned __int128)random * arriving_share) >> 32);
  if (position < kept_share)
    return domain;
  /* The random number, scaled to the excess, selects one of the domains with a surplus in proportion to it. */
  position = (uint64_t)((unsigned __int128)(position - kept_share) * total_surplus / (arriving_share - kept_share));
  for (size_t i = 0; i < shares->count; i++)
    {
      uint64_t share_surplus = get_surplus (&shares->shares[i], slots, instances);

      if (position < share_surplus)
        return shares->shares[i].domain;
      position -= share_surplus;
    }
  return domain;
}

/* local functions */

static const WcDomainShare *
find_share (const WcDomainShares *shares, uint32_t domain)
{
  for (size_t i = 0; i < shares->count; i++)
    if (shares->shares[i].domain == domain)
      return &shares->shares[i];
  return NULL;
}

static uint64_t
get_surplus (const WcDomainShare *share, uint64_t slots, uint64_t instances)
{
  if (share->instances == 0 || share->slots * instances <= share->instances * slots)
    return 0;
  return share->slots * instances - share->instances * slots;
}

/* Chooses in proportion to the slots, for requests that arrive in a domain without live instances in the member table.
 */
static uint32_t
pick_by_slots (const WcDomainShares *shares, uint32_t domain, uint64_t position)
{
  for (size_t i = 0; i < shares->count; i++)
    {
      if (shares->shares[i].instances == 0)
        continue;
      if (position < shares->shares[i].slots)
        return shares->shares[i].domain;
      position -= shares->shares[i].slots;
    }
  return domain;
}
