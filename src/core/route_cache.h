#ifndef WIGEONCART_CORE_ROUTE_CACHE_H
#define WIGEONCART_CORE_ROUTE_CACHE_H

#include <stdbool.h>

#include <wigeoncart/ownership.h>
#include <wigeoncart/view.h>

/**
 * struct WcRoute - worker that handles one shard of a service in a domain.
 * @owner: entry of the view's member table; NULL when the domain has no live member.
 * @worker: index of the worker in @owner.
 */
typedef struct
{
  const WcMember *owner;
  uint32_t        worker;
} WcRoute;

/**
 * struct WcRouteCache - cache of routing decisions derived from the view, per service, domain and shard.
 *
 * All entries depend only on the view and are invalidated when it changes. All memory is allocated in advance; entries
 * that hash to the same slot replace each other.
 */
typedef struct WcRouteCache WcRouteCache;

WcRouteCache *wc_route_cache_new (void);
void          wc_route_cache_delete (WcRouteCache *cache);

/** wc_route_cache_set_view() - invalidate all entries; @view must stay valid until the next call. */
void wc_route_cache_set_view (WcRouteCache *cache, const WcView *view);

/** wc_route_cache_has_targets() - whether the domain has a target that accepts new requests of the service. */
bool wc_route_cache_has_targets (WcRouteCache *cache, uint32_t service, uint32_t domain);

/** wc_route_cache_find_shard() - shard that a flow belongs to. */
uint32_t wc_route_cache_find_shard (WcRouteCache *cache, uint32_t service, uint32_t domain, uint64_t flow);

/** wc_route_cache_find() - owner and worker of a shard. */
WcRoute wc_route_cache_find (WcRouteCache *cache, uint32_t service, uint32_t domain, uint32_t shard);

/** wc_route_cache_pick_domain() - same result as wc_ownership_pick_domain(). */
uint32_t wc_route_cache_pick_domain (WcRouteCache *cache, uint32_t service, uint32_t domain, uint32_t random);

#endif
