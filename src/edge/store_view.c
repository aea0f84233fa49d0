#include "edge/store_view.h"

#include <assert.h>
#include <string.h>

#include "config_wire.h"
#include "evacuation_wire.h"
#include "host_wire.h"

static void apply_config (WcForwarder *forwarder, WcEventLog *log, const WcStoreChange *change, uint64_t now_us,
                          WcStoreViewCounters *counters);
static void apply_host (WcForwarder *forwarder, WcEventLog *log, const WcStoreChange *change, uint64_t id,
                        uint64_t now_us, WcStoreViewCounters *counters);
static int  compare_configs (GBytes *a, GBytes *b);
static int  compare_hosts (const char *key, GBytes *a, GBytes *b);
static bool is_other_host (const WcForwarder *forwarder, const char *key, uint64_t id);
static bool decode_host (const char *key, GBytes *value, WcHostRecord *record, WcError *error);
static void
log_rejected (WcEventLog *log, const char *event, const WcStoreChange *change, const char *reason, size_t parts);

void
wc_store_view_apply (WcForwarder *forwarder, WcEventLog *log, const WcStoreChange *change, uint64_t now_us,
                     WcStoreViewCounters *counters)
{
  uint64_t id;
  uint32_t domain;

  assert (forwarder != NULL && change != NULL && counters != NULL);

  domain = wc_evacuation_wire_domain (change->key);
  id = wc_host_wire_id_from_key (change->key);
  if (wc_config_wire_is_key (change->key))
    apply_config (forwarder, log, change, now_us, counters);
  else if (id != 0)
    apply_host (forwarder, log, change, id, now_us, counters);
  else if (domain != 0)
    wc_forwarder_set_evacuated (forwarder, domain, change->value != NULL, change->version.revision, now_us);
}

int
wc_store_view_compare (const char *key, GBytes *a, GBytes *b)
{
  assert (key != NULL && a != NULL && b != NULL);

  if (wc_config_wire_is_key (key))
    return compare_configs (a, b);
  return wc_host_wire_id_from_key (key) != 0 ? compare_hosts (key, a, b) : 0;
}

/* local functions */

static void
apply_config (WcForwarder *forwarder, WcEventLog *log, const WcStoreChange *change, uint64_t now_us,
              WcStoreViewCounters *counters)
{
  const WcRouteTable *known = wc_forwarder_get_routes (forwarder);
  WcError             error = { 0 };
  WcRouteTable       *routes;
  gsize               size_bytes;
  const void         *bytes;
  size_t              skipped = 0;

  if (!change->value)
    {
      log_rejected (log, "config_rejected", change, "configuration was deleted; the previous one stays in force", 0);
      return;
    }
  bytes = g_bytes_get_data (change->value, &size_bytes);
  routes = wc_config_wire_decode (bytes, size_bytes, &skipped, &error);
  counters->routes_rejected += skipped;
  counters->configs_rejected += !routes;
  if (!routes || skipped > 0)
    log_rejected (log, routes ? "route_rejected" : "config_rejected", change, error.message, skipped);
  if (routes && known && wc_route_table_get_version (routes) < wc_route_table_get_version (known))
    {
      log_rejected (log, "config_rejected", change, "configuration is older than the one in force", 0);
      wc_route_table_delete (routes);
    }
  else if (routes)
    wc_forwarder_set_routes (forwarder, routes, now_us);
}

static void
apply_host (WcForwarder *forwarder, WcEventLog *log, const WcStoreChange *change, uint64_t id, uint64_t now_us,
            WcStoreViewCounters *counters)
{
  WcError      error = { 0 };
  WcHostRecord record;

  /* Keys that end in the same identifier: the entry of a host that serves is the one that is in use. */
  if (is_other_host (forwarder, change->key, id))
    {
      counters->hosts_rejected += change->value != NULL;
      if (change->value)
        log_rejected (log, "host_rejected", change, "the identifier at the end of the key is that of another host", 0);
      return;
    }
  if (!change->value)
    {
      wc_forwarder_set_host_gone (forwarder, id, now_us);
      return;
    }
  if (decode_host (change->key, change->value, &record, &error))
    {
      wc_forwarder_put_host (forwarder, &record, change->version.revision, now_us);
      return;
    }
  counters->hosts_rejected++;
  log_rejected (log, "host_rejected", change, error.message, 0);
  wc_forwarder_set_host_gone (forwarder, id, now_us);
}

static int
compare_configs (GBytes *a, GBytes *b)
{
  uint64_t versions[2] = { 0 };
  GBytes  *values[] = { a, b };

  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      gsize       size_bytes;
      const void *bytes = g_bytes_get_data (values[i], &size_bytes);

      if (!wc_config_wire_decode_version (bytes, size_bytes, &versions[i]))
        return 0;
    }
  return (versions[0] > versions[1]) - (versions[0] < versions[1]);
}

static int
compare_hosts (const char *key, GBytes *a, GBytes *b)
{
  WcHostRecord first;
  WcHostRecord second;
  WcError      error;

  if (!decode_host (key, a, &first, &error) || !decode_host (key, b, &second, &error))
    return 0;
  return wc_host_record_compare (&first, &second);
}

static bool
is_other_host (const WcForwarder *forwarder, const char *key, uint64_t id)
{
  const WcHost *host = wc_host_table_find (wc_forwarder_get_hosts (forwarder), id);

  return host && host->record.state != WC_HOST_GONE &&
         strncmp (host->record.name, wc_host_wire_name_from_key (key), sizeof host->record.name - 1) != 0;
}

static bool
decode_host (const char *key, GBytes *value, WcHostRecord *record, WcError *error)
{
  gsize       size_bytes;
  const void *bytes = g_bytes_get_data (value, &size_bytes);

  return wc_host_wire_decode (key, bytes, size_bytes, record, error) == WC_STATUS_OK;
}

/* @parts: number of rejected parts of the item, of which @reason is about the last; 0 or 1 when it is about the item.
 */
static void
log_rejected (WcEventLog *log, const char *event, const WcStoreChange *change, const char *reason, size_t parts)
{
  WcEventLine *line = wc_event_log_begin (log, "view", event);

  wc_event_line_add_text (line, "key", change->key);
  wc_event_line_add_uint (line, "era", change->version.era);
  wc_event_line_add_uint (line, "revision", change->version.revision);
  wc_event_line_add_text (line, "reason", reason);
  if (parts > 1)
    wc_event_line_add_uint (line, "rejected", parts);
  wc_event_line_end (line);
}
