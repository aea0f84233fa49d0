#ifndef WIGEONCART_CORE_ROUTE_CACHE_H
#define WIGEONCART_CORE_ROUTE_CACHE_H

#include <stdbool.h>

#include <wigeoncart/ownership.h>
#include <wigeoncart/view.h>

/**
 * struct WcRoute - where packets of one shard of a service go.
 * @owner: member of the view's table; NULL when the domain has no live member.
 * @worker: worker of @owner.
 */
typedef struct
{
  const WcMember *owner;
  uint32_t        worker;
} WcRoute;

/**
 * struct WcRouteCache - what a view says about routes, computed once for each service, domain and shard in use.
 *
 * Every answer follows from the view alone, and all are dropped when the view changes. All memory is allocated up
 * front; entries that fall into the same place replace each other.
 */
typedef struct WcRouteCache WcRouteCache;

WcRouteCache *wc_route_cache_new (void);
void          wc_route_cache_delete (WcRouteCache *cache);

/** wc_route_cache_set_view() - drop everything; @view must live until the next call. */
void wc_route_cache_set_view (WcRouteCache *cache, const WcView *view);

/** wc_route_cache_has_targets() - whether the domain has a target that takes new work for the service. */
bool wc_route_cache_has_targets (WcRouteCache *cache, uint32_t service, uint32_t domain);

/** wc_route_cache_find_shard() - shard that a flow belongs to. */
uint32_t wc_route_cache_find_shard (WcRouteCache *cache, uint32_t service, uint32_t domain, uint64_t flow);

/** wc_route_cache_find() - owner of a shard. */
WcRoute wc_route_cache_find (WcRouteCache *cache, uint32_t service, uint32_t domain, uint32_t shard);

/** wc_route_cache_pick_domain() - as wc_ownership_pick_domain(). */
uint32_t wc_route_cache_pick_domain (WcRouteCache *cache, uint32_t service, uint32_t domain, uint32_t random);

#endif
