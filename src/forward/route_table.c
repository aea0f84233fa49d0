#include "forward/route_table.h"

#include <assert.h>

#include <glib.h>

const char *const WC_TRAFFIC_KIND_STRINGS[WC_TRAFFIC_KIND_COUNT] = { "idempotent", "once", "download" };

struct WcRouteTable
{
  uint64_t    version;
  uint32_t    idle_timeout_ms;
  GHashTable *routes;
  GHashTable *warm_up_rates;
};

static gint64 hash_key (uint32_t ip, uint16_t port);

WcRouteTable *
wc_route_table_new (uint64_t version)
{
  WcRouteTable *table = g_new0 (WcRouteTable, 1);

  table->version = version;
  table->routes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  table->warm_up_rates = g_hash_table_new (NULL, NULL);
  return table;
}

void
wc_route_table_delete (WcRouteTable *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->routes);
  g_hash_table_destroy (table->warm_up_rates);
  g_free (table);
}

void
wc_route_table_add (WcRouteTable *table, const WcRoute *route)
{
  gint64 key;

  assert (table != NULL);
  assert (route->service_count > 0 && route->service_count <= WC_ROUTE_SERVICES_MAX);

  key = hash_key (route->ip, route->port);
  g_hash_table_replace (table->routes, g_memdup2 (&key, sizeof key), g_memdup2 (route, sizeof *route));
}

void
wc_route_table_set_idle_timeout_ms (WcRouteTable *table, uint32_t idle_timeout_ms)
{
  table->idle_timeout_ms = idle_timeout_ms;
}

uint32_t
wc_route_table_get_idle_timeout_ms (const WcRouteTable *table)
{
  return table->idle_timeout_ms;
}

uint64_t
wc_route_table_get_version (const WcRouteTable *table)
{
  return table->version;
}

size_t
wc_route_table_get_count (const WcRouteTable *table)
{
  return g_hash_table_size (table->routes);
}

void
wc_route_table_set_warm_up_per_s_milli (WcRouteTable *table, uint32_t service, uint32_t per_s_milli)
{
  assert (table != NULL && service != 0);

  g_hash_table_insert (table->warm_up_rates, GUINT_TO_POINTER (service), GUINT_TO_POINTER (per_s_milli));
}

uint32_t
wc_route_table_get_warm_up_per_s_milli (const WcRouteTable *table, uint32_t service)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (table->warm_up_rates, GUINT_TO_POINTER (service)));
}

const WcRoute *
wc_route_table_find (const WcRouteTable *table, const WcFlowKey *flow)
{
  gint64 key;

  assert (table != NULL && flow != NULL);

  key = hash_key (flow->route_ip, flow->route_port);
  return g_hash_table_lookup (table->routes, &key);
}

size_t
wc_route_pick_service (const WcRoute *route, uint64_t hash)
{
  uint64_t total = 0;

  assert (route != NULL);

  for (size_t i = 0; i < route->service_count; i++)
    total += route->services[i].weight;
  if (total == 0)
    return 0;
  hash %= total;
  for (size_t i = 0; i < route->service_count; i++)
    {
      if (hash < route->services[i].weight)
        return i;
      hash -= route->services[i].weight;
    }
  return 0;
}

/* local functions */

static gint64
hash_key (uint32_t ip, uint16_t port)
{
  return (gint64)((uint64_t)ip << 16 | port);
}
