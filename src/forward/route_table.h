#ifndef WC_FORWARD_ROUTE_TABLE_H
#define WC_FORWARD_ROUTE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "forward/packet.h"

enum
{
  WC_ROUTE_SERVICES_MAX = 8
};

/** enum WcTrafficKind - when callers retry the requests of a route. */
typedef enum
{
  /* Idempotent; a caller retries after any failure. */
  WC_TRAFFIC_IDEMPOTENT = 0,
  /* Runs at most once: a caller retries only requests that certainly did not run. */
  WC_TRAFFIC_ONCE,
  /* Idempotent, with a long answer. */
  WC_TRAFFIC_DOWNLOAD,
  WC_TRAFFIC_KIND_COUNT
} WcTrafficKind;

/** WC_TRAFFIC_KIND_STRINGS - name of each kind for logs, indexed by WcTrafficKind. */
extern const char *const WC_TRAFFIC_KIND_STRINGS[WC_TRAFFIC_KIND_COUNT];

/**
 * struct WcRouteService - a service that takes a share of a route's new flows.
 * @service: GLib quark of the service's name.
 */
typedef struct
{
  uint32_t service;
  uint32_t weight;
} WcRouteService;

/**
 * struct WcRoute - destination of new flows to one address and port.
 * @priority: 0 is the highest.
 * @target_latency_ms: latency target: answers within this time have their full value for the customer; 0 when not
 * published.
 * @time_limit_ms: timeout after which callers give up a request; 0 when not published.
 */
typedef struct
{
  uint32_t       ip;
  uint16_t       port;
  WcTrafficKind  kind;
  uint8_t        priority;
  uint8_t        service_count;
  uint32_t       target_latency_ms;
  uint32_t       time_limit_ms;
  WcRouteService services[WC_ROUTE_SERVICES_MAX];
} WcRoute;

/** struct WcRouteTable - routes of one configuration; immutable once all routes were added. */
typedef struct WcRouteTable WcRouteTable;

WcRouteTable *wc_route_table_new (uint64_t version);
void          wc_route_table_delete (WcRouteTable *table);

/** wc_route_table_add() - add a copy of @route; it replaces an earlier route with the same address and port. */
void wc_route_table_add (WcRouteTable *table, const WcRoute *route);

void     wc_route_table_set_idle_timeout_ms (WcRouteTable *table, uint32_t idle_timeout_ms);
uint32_t wc_route_table_get_idle_timeout_ms (const WcRouteTable *table);
uint64_t wc_route_table_get_version (const WcRouteTable *table);
size_t   wc_route_table_get_count (const WcRouteTable *table);

/** wc_route_table_set_warm_up_per_s_milli() - set the published rate of a service; 0 for no limit. */
void wc_route_table_set_warm_up_per_s_milli (WcRouteTable *table, uint32_t service, uint32_t per_s_milli);

/**
 * wc_route_table_get_warm_up_per_s_milli() - requests per second that a cold host of a service sustains, in
 * thousandths; 0 when not published.
 */
uint32_t wc_route_table_get_warm_up_per_s_milli (const WcRouteTable *table, uint32_t service);

/** wc_route_table_find() - look up the route of a flow. Return: the route, or NULL. */
const WcRoute *wc_route_table_find (const WcRouteTable *table, const WcFlowKey *key);

/**
 * wc_route_pick_service() - choose the service of a new flow by weight.
 * @hash: any number; equal numbers give equal services on all instances.
 *
 * Return: index into @route->services.
 */
size_t wc_route_pick_service (const WcRoute *route, uint64_t hash);

#endif
