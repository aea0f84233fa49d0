#include "edge/forward_status.h"

#include <assert.h>

#include <glib.h>
#include <json-c/json.h>

static struct json_object *format_config (const WcForwardStatus *status);
static struct json_object *format_evacuation (const WcEvacuation *evacuation, uint64_t now_us);
static const char         *get_lifecycle (const WcForwardStatus *status);

char *
wc_forward_status_format (const WcForwardStatus *status, uint64_t now_us)
{
  struct json_object *object = json_object_new_object ();
  char               *text;

  assert (status != NULL && status->forwarder != NULL);

  json_object_object_add (object, "instance", json_object_new_string (status->instance));
  json_object_object_add (object, "domain", json_object_new_string (status->domain));
  json_object_object_add (object, "data_path", json_object_new_string ("packets"));
  json_object_object_add (object, "lifecycle", json_object_new_string (get_lifecycle (status)));
  json_object_object_add (object, "ready", json_object_new_boolean (status->readiness == WC_READINESS_READY));
  if (status->readiness != WC_READINESS_READY)
    json_object_object_add (object, "not_ready_because",
                            json_object_new_string (WC_READINESS_STRINGS[status->readiness]));
  json_object_object_add (object, "config", format_config (status));
  json_object_object_add (object, "flows", json_object_new_uint64 (wc_forwarder_get_flow_count (status->forwarder)));
  json_object_object_add (object, "evacuated_domains",
                          format_evacuation (wc_forwarder_get_evacuation (status->forwarder), now_us));
  text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

/* local functions */

static struct json_object *
format_config (const WcForwardStatus *status)
{
  const WcRouteTable *routes = wc_forwarder_get_routes (status->forwarder);
  struct json_object *config = json_object_new_object ();

  json_object_object_add (config, "revision",
                          json_object_new_uint64 (routes ? wc_route_table_get_version (routes) : 0));
  if (status->view_age_us != UINT64_MAX)
    json_object_object_add (config, "confirmed_ms_ago", json_object_new_uint64 (status->view_age_us / 1000));
  return config;
}

static struct json_object *
format_evacuation (const WcEvacuation *evacuation, uint64_t now_us)
{
  struct json_object *domains = json_object_new_array ();

  for (size_t i = 0; i < wc_evacuation_get_count (evacuation); i++)
    {
      const WcEvacuatedDomain *entry = wc_evacuation_get (evacuation, i);
      struct json_object      *object = json_object_new_object ();

      json_object_object_add (object, "domain", json_object_new_string (g_quark_to_string (entry->domain)));
      json_object_object_add (object, "revision", json_object_new_uint64 (entry->revision));
      json_object_object_add (object, "since_ms_ago", json_object_new_uint64 ((now_us - entry->since_us) / 1000));
      json_object_array_add (domains, object);
    }
  return domains;
}

static const char *
get_lifecycle (const WcForwardStatus *status)
{
  if (status->readiness == WC_READINESS_STOPPING)
    return "stopping";
  return wc_forwarder_get_routes (status->forwarder) ? "serving" : "joining";
}
