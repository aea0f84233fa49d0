#include "edge/explanation_json.h"

#include <assert.h>

#include <json-c/json.h>

static bool                parse_endpoint (const char *text, uint32_t *ip, uint16_t *port);
static void                add_text (struct json_object *object, const char *key, const char *text);
static void                add_uint (struct json_object *object, const char *key, uint64_t value);
static struct json_object *format_host (const WcHostExplanation *host);

WcStatus
wc_explanation_json_parse_flow (const char *route, const char *caller, WcFlowKey *key, WcError *error)
{
  assert (key != NULL);

  *key = (WcFlowKey){ 0 };
  if (!route || !parse_endpoint (route, &key->route_ip, &key->route_port))
    return wc_error_set (error, WC_STATUS_PARSE, "route: %.40s is not an IPv4 address with a port",
                         route ? route : "(missing)");
  if (caller && !parse_endpoint (caller, &key->caller_ip, &key->caller_port))
    return wc_error_set (error, WC_STATUS_PARSE, "caller: %.40s is not an IPv4 address with a port", caller);
  return WC_STATUS_OK;
}

char *
wc_explanation_json_format (const WcExplanation *explanation, const char *instance, uint64_t config_version,
                            uint64_t view_revision, uint64_t view_age_us)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *hosts = json_object_new_array ();
  char               *text;

  assert (explanation != NULL);

  add_text (object, "instance", instance);
  add_text (object, "outcome", wc_decision_get_name (explanation->outcome));
  add_text (object, "host", explanation->host ? explanation->host->record.name : NULL);
  add_text (object, "service", explanation->service != 0 ? g_quark_to_string (explanation->service) : NULL);
  if (explanation->route)
    {
      add_text (object, "kind", WC_TRAFFIC_KIND_STRINGS[explanation->route->kind]);
      add_uint (object, "priority", explanation->route->priority);
      add_uint (object, "target_latency_ms", explanation->route->target_latency_ms);
    }
  add_uint (object, "held", explanation->held);
  add_uint (object, "forwards_per_s", explanation->forwards_per_s);
  add_uint (object, "share_percent", explanation->share_percent);
  add_uint (object, "config", config_version);
  add_uint (object, "view_revision", view_revision);
  add_uint (object, "view_age_ms", view_age_us / 1000);
  for (guint i = 0; i < explanation->hosts->len; i++)
    json_object_array_add (hosts, format_host (&g_array_index (explanation->hosts, WcHostExplanation, i)));
  json_object_object_add (object, "hosts", hosts);
  text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

/* local functions */

static bool
parse_endpoint (const char *text, uint32_t *ip, uint16_t *port)
{
  WcAddress address;

  if (!wc_address_parse (text, &address) || address.family != 4)
    return false;
  *ip = (uint32_t)address.ip[0] << 24 | (uint32_t)address.ip[1] << 16 | (uint32_t)address.ip[2] << 8 |
        (uint32_t)address.ip[3];
  *port = address.port;
  return true;
}

static void
add_text (struct json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, text ? json_object_new_string (text) : NULL);
}

static void
add_uint (struct json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_uint64 (value));
}

static struct json_object *
format_host (const WcHostExplanation *host)
{
  const WcHostRecord *record = &host->host->record;
  struct json_object *object = json_object_new_object ();

  add_text (object, "host", record->name);
  add_text (object, "domain", g_quark_to_string (record->domain));
  add_text (object, "state", WC_HOST_STATE_STRINGS[record->state]);
  add_text (object, "verdict", WC_HOST_VERDICT_STRINGS[host->verdict]);
  add_uint (object, "expected_us", host->estimate_us);
  add_uint (object, "busy", host->busy);
  add_uint (object, "slots", record->slots);
  add_uint (object, "own_flows", host->host->flows);
  return object;
}
