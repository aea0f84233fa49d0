#include "edge/forward_settings.h"

#include <assert.h>

#include <glib.h>

#include "contract_wire.h"
#include "core/json_doc.h"

enum
{
  FLOW_LIFE_MAX_S = 86400,
  STOP_LIMIT_MAX_S = 600,
  CONTRACTS_MAX = 64,
  WARM_UP_OVERRUN_MAX = 100,
  WARM_UP_SLACK_MAX = 100000,
  OTHER_DOMAIN_COST_MAX_MS = 60000
};

static const char *const DATA_PATHS[] = { "packets", NULL };

static const WcJsonField FIELDS[] = {
  { "data_path", WC_JSON_CHOICE, true, 0, 0, DATA_PATHS },
  { "instance", WC_JSON_NAME, true, 0, 0, NULL },
  { "domain", WC_JSON_NAME, true, 0, 0, NULL },
  { "packets", WC_JSON_LISTEN_ADDRESS, true, 0, 0, NULL },
  { "ready", WC_JSON_LISTEN_ADDRESS, true, 0, 0, NULL },
  { "peers", WC_JSON_ADDRESS, true, 0, 0, NULL },
  { "operators", WC_JSON_LISTEN_ADDRESS, true, 0, 0, NULL },
  { "store", WC_JSON_ADDRESS, true, 0, 0, NULL },
  { "seeds", WC_JSON_ARRAY, true, 0, WC_FORWARD_SEEDS_MAX, NULL },
  { "flow_life_s", WC_JSON_NUMBER, true, 1, FLOW_LIFE_MAX_S, NULL },
  { "stop_limit_s", WC_JSON_NUMBER, true, 1, STOP_LIMIT_MAX_S, NULL },
  { "contracts", WC_JSON_ARRAY, false, 0, CONTRACTS_MAX, NULL },
  { "warm_up_overrun", WC_JSON_NUMBER, false, 0, WARM_UP_OVERRUN_MAX, NULL },
  { "warm_up_slack", WC_JSON_NUMBER, false, 0, WARM_UP_SLACK_MAX, NULL },
  { "other_domain_cost_ms", WC_JSON_NUMBER, false, 0, OTHER_DOMAIN_COST_MAX_MS, NULL },
};

static WcForwardSettings *read_settings (const WcJsonDoc *doc, WcError *error);
static bool               read_seeds (WcForwardSettings *settings, const WcJsonDoc *doc, WcError *error);
static bool               read_contracts (WcForwardSettings *settings, const WcJsonDoc *doc, WcError *error);

WcForwardSettings *
wc_forward_settings_load (const char *path, WcError *error)
{
  WcForwardSettings *settings = NULL;
  WcJsonDoc         *doc = wc_json_doc_load (path, error);

  assert (path != NULL);

  if (doc)
    settings = read_settings (doc, error);
  wc_json_doc_delete (doc);
  return settings;
}

void
wc_forward_settings_delete (WcForwardSettings *settings)
{
  if (!settings)
    return;
  g_free (settings->instance);
  g_free (settings->domain);
  g_free (settings);
}

/* local functions */

static WcForwardSettings *
read_settings (const WcJsonDoc *doc, WcError *error)
{
  struct json_object *root = wc_json_doc_get_root (doc);
  WcForwardSettings  *settings;

  if (!wc_json_doc_check (doc, root, FIELDS, G_N_ELEMENTS (FIELDS), error))
    return NULL;
  settings = g_new0 (WcForwardSettings, 1);
  settings->instance = g_strdup (wc_json_get_string (root, "instance", NULL));
  settings->domain = g_strdup (wc_json_get_string (root, "domain", NULL));
  wc_json_get_address (root, "packets", &settings->packets);
  wc_json_get_address (root, "ready", &settings->ready);
  wc_json_get_address (root, "peers", &settings->peers);
  wc_json_get_address (root, "operators", &settings->operators);
  wc_json_get_address (root, "store", &settings->store);
  settings->flow_lifetime_ms = (uint32_t)(wc_json_get_number (root, "flow_life_s", 0) * 1000);
  settings->stop_limit_ms = (uint32_t)(wc_json_get_number (root, "stop_limit_s", 0) * 1000);
  settings->warm_up_overrun = wc_json_get_number (root, "warm_up_overrun", 0);
  settings->warm_up_slack = (uint32_t)wc_json_get_number (root, "warm_up_slack", 0);
  settings->other_domain_cost_ms = (uint32_t)wc_json_get_number (root, "other_domain_cost_ms", 0);
  if (!read_seeds (settings, doc, error) || !read_contracts (settings, doc, error))
    {
      wc_forward_settings_delete (settings);
      return NULL;
    }
  return settings;
}

static bool
read_seeds (WcForwardSettings *settings, const WcJsonDoc *doc, WcError *error)
{
  static const WcJsonField seed = { "seeds", WC_JSON_ADDRESS, true, 0, 0, NULL };
  struct json_object      *array = json_object_object_get (wc_json_doc_get_root (doc), "seeds");

  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!wc_json_doc_check_value (doc, value, &seed, error) ||
          !wc_address_parse (json_object_get_string (value), &settings->seeds[settings->seed_count++]))
        return false;
    }
  return true;
}

/* Names that are not known are accepted, because the platform lists contracts that do not concern an instance. */
static bool
read_contracts (WcForwardSettings *settings, const WcJsonDoc *doc, WcError *error)
{
  static const WcJsonField contract = { "contracts", WC_JSON_NAME, true, 0, 0, NULL };
  struct json_object      *array = NULL;

  if (!json_object_object_get_ex (wc_json_doc_get_root (doc), "contracts", &array))
    return true;
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!wc_json_doc_check_value (doc, value, &contract, error))
        return false;
      wc_contract_wire_enable (json_object_get_string (value), &settings->features);
    }
  settings->features.warm_up_limit = settings->features.warm_up_limit && settings->warm_up_overrun > 0;
  return true;
}
