#ifndef WC_FORWARD_ROUTE_TABLE_H
#define WC_FORWARD_ROUTE_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "forward/packet.h"

enum
{
  WC_ROUTE_SERVICES_MAX = 8
};

/** enum WcTrafficKind - what may be repeated of the requests that a route carries. */
typedef enum
{
  /* Idempotent; a caller retries after any failure. */
  WC_TRAFFIC_IDEMPOTENT = 0,
  /* Runs at most once; a caller retries only what certainly did not run. */
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
 * struct WcRoute - where new flows to one address and port go.
 * @target_latency_ms: within this time an answer earns its full worth; 0 when not published.
 * @time_limit_ms: callers give up a request after this time; 0 when not published.
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

/** struct WcRouteTable - the routes of one configuration; does not change once it is sorted. */
typedef struct WcRouteTable WcRouteTable;

WcRouteTable *wc_route_table_new (uint64_t version);
void          wc_route_table_delete (WcRouteTable *table);

/** wc_route_table_add() - add a copy of @route; a later one replaces one with the same address and port. */
void wc_route_table_add (WcRouteTable *table, const WcRoute *route);

void     wc_route_table_set_idle_timeout_ms (WcRouteTable *table, uint32_t idle_timeout_ms);
uint32_t wc_route_table_get_idle_timeout_ms (const WcRouteTable *table);
uint64_t wc_route_table_get_version (const WcRouteTable *table);
size_t   wc_route_table_get_count (const WcRouteTable *table);

/** wc_route_table_find() - the route of a flow, or NULL. */
const WcRoute *wc_route_table_find (const WcRouteTable *table, const WcFlowKey *key);

/**
 * wc_route_pick_service() - the service of a new flow, drawn by weight.
 * @draw: any number; equal draws give equal services on all instances.
 *
 * Return: index into @route->services.
 */
size_t wc_route_pick_service (const WcRoute *route, uint64_t draw);

#endif
