#include "core/route_cache.h"

#include <assert.h>
#include <glib.h>

#include "core/mix.h"

enum
{
  /* Powers of two. A deployment has few services, and each instance may route requests of all of them. */
  SHARES_ENTRIES = 64,
  SERVICE_DOMAIN_ENTRIES = 512,
  ROUTE_ENTRIES = 2048
};

/* An entry is valid if its generation is that of the cache, which is never 0 once a view is set. */
typedef struct
{
  uint64_t       generation;
  uint32_t       service;
  WcDomainShares shares;
} Shares;

typedef struct
{
  uint64_t generation;
  uint32_t service;
  uint32_t domain;
  uint32_t shard_count;
  bool     has_targets;
} ServiceDomain;

typedef struct
{
  uint64_t generation;
  uint32_t service;
  uint32_t domain;
  uint32_t shard;
  WcRoute  route;
} Route;

struct WcRouteCache
{
  const WcView *view;
  uint64_t      generation;
  Shares        shares[SHARES_ENTRIES];
  ServiceDomain service_domains[SERVICE_DOMAIN_ENTRIES];
  Route         routes[ROUTE_ENTRIES];
};

static const ServiceDomain *get_service_domain (WcRouteCache *cache, uint32_t service, uint32_t domain);

WcRouteCache *
wc_route_cache_new (void)
{
  return g_new0 (WcRouteCache, 1);
}

void
wc_route_cache_delete (WcRouteCache *cache)
{
  g_free (cache);
}

void
wc_route_cache_set_view (WcRouteCache *cache, const WcView *view)
{
  assert (cache != NULL);
  assert (view != NULL);

  cache->view = view;
  cache->generation++;
}

bool
wc_route_cache_has_targets (WcRouteCache *cache, uint32_t service, uint32_t domain)
{
  return get_service_domain (cache, service, domain)->has_targets;
}

uint32_t
wc_route_cache_find_shard (WcRouteCache *cache, uint32_t service, uint32_t domain, uint64_t flow)
{
  return (uint32_t)(flow % get_service_domain (cache, service, domain)->shard_count);
}

WcRoute
wc_route_cache_find (WcRouteCache *cache, uint32_t service, uint32_t domain, uint32_t shard)
{
  uint64_t hash = wc_mix64 ((uint64_t)domain << 32 | service) + shard;
  Route   *entry = &cache->routes[hash % ROUTE_ENTRIES];

  assert (cache->view != NULL);

  if (entry->generation == cache->generation && entry->service == service && entry->domain == domain &&
      entry->shard == shard)
    return entry->route;
  *entry = (Route){
    .generation = cache->generation,
    .service = service,
    .domain = domain,
    .shard = shard,
    .route.owner = wc_ownership_find_owner (cache->view->members, domain, service, shard),
  };
  if (entry->route.owner)
    entry->route.worker = wc_ownership_get_worker (service, shard, MAX (entry->route.owner->workers, 1));
  return entry->route;
}

uint32_t
wc_route_cache_pick_domain (WcRouteCache *cache, uint32_t service, uint32_t domain, uint32_t random)
{
  Shares *entry = &cache->shares[service % SHARES_ENTRIES];

  assert (cache->view != NULL);

  if (entry->generation != cache->generation || entry->service != service)
    {
      entry->generation = cache->generation;
      entry->service = service;
      wc_ownership_shares_init (&entry->shares, cache->view->members, cache->view->reg, service);
    }
  return wc_ownership_shares_pick (&entry->shares, domain, random);
}

/* local functions */

static const ServiceDomain *
get_service_domain (WcRouteCache *cache, uint32_t service, uint32_t domain)
{
  ServiceDomain  *entry = &cache->service_domains[wc_mix64 ((uint64_t)domain << 32 | service) % SERVICE_DOMAIN_ENTRIES];
  const WcTarget *targets;
  size_t          count;

  assert (cache->view != NULL);

  if (entry->generation == cache->generation && entry->service == service && entry->domain == domain)
    return entry;
  targets = wc_register_get_service_targets (cache->view->reg, service, domain, &count);
  *entry = (ServiceDomain){
    .generation = cache->generation,
    .service = service,
    .domain = domain,
    .shard_count = wc_ownership_get_shard_count (count),
  };
  for (size_t i = 0; i < count && !entry->has_targets; i++)
    entry->has_targets = !targets[i].leaving && targets[i].weight > 0;
  return entry;
}
