#include "edge/settings.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "core/json_doc.h"

enum
{
  MAX_PLATFORMS = 16,
  MAX_WORKERS = 64
};

/* A numeric setting: its offset in WcSettings and its default value. */
typedef struct
{
  const char *key;
  size_t      offset;
  uint32_t    default_value;
} NumericSetting;

static WcSettings *read_settings (const char *path, const WcJsonDoc *doc, WcError *error);
static bool read_platforms (WcSettings *settings, const WcJsonDoc *doc, struct json_object *array, WcError *error);
static bool check_relations (const WcSettings *settings, const char *path, struct json_object *root, WcError *error);
static bool check_ports (const WcSettings *settings, const char *path, struct json_object *root, WcError *error);
static uint32_t get_key_line (struct json_object *root, const char *key);
static bool     ip_covers (const WcAddress *a, const WcAddress *b);

static const char *const DATA_PATHS[] = { "datagrams", NULL };
static const char *const LOG_LEVELS[] = { "error", "warning", "notice", "info", "debug", NULL };

static const WcJsonField FIELDS[] = {
  { "data_path", WC_JSON_CHOICE, false, 0, 0, DATA_PATHS },
  { "instance", WC_JSON_NAME, true, 0, 0, NULL },
  { "domain", WC_JSON_NAME, true, 0, 0, NULL },
  { "listen", WC_JSON_LISTEN_ADDRESS, true, 0, 0, NULL },
  { "peer", WC_JSON_ADDRESS, true, 0, 0, NULL },
  { "operators", WC_JSON_LISTEN_ADDRESS, false, 0, 0, NULL },
  { "platforms", WC_JSON_ARRAY, true, 1, MAX_PLATFORMS, NULL },
  { "workers", WC_JSON_UINT, false, 1, MAX_WORKERS, NULL },
  { "fleet_key", WC_JSON_SECRET, true, 0, 0, NULL },
  { "ticket_life_ms", WC_JSON_UINT, false, 100, 600000, NULL },
  { "answer_life_ms", WC_JSON_UINT, false, 100, 600000, NULL },
  { "token_life_s", WC_JSON_UINT, false, 1, 604800, NULL },
  { "ledger_max_entries", WC_JSON_UINT, false, 1, 16777216, NULL },
  { "requests_max", WC_JSON_UINT, false, 1, 16777216, NULL },
  { "queue_max_requests", WC_JSON_UINT, false, 1, 1048576, NULL },
  { "answers_max", WC_JSON_UINT, false, 1, 16777216, NULL },
  { "answers_max_bytes", WC_JSON_UINT, false, 65536, 2147483648, NULL },
  { "stream_max_waiters", WC_JSON_UINT, false, 1, 16777216, NULL },
  { "retry_budget_percent", WC_JSON_UINT, false, 0, 100, NULL },
  { "drain_limit_ms", WC_JSON_UINT, false, 100, 600000, NULL },
  { "heartbeat_ms", WC_JSON_UINT, false, 10, 60000, NULL },
  { "suspect_after_ms", WC_JSON_UINT, false, 20, 600000, NULL },
  { "pause_threshold_ms", WC_JSON_UINT, false, 50, 60000, NULL },
  { "confirm_limit_ms", WC_JSON_UINT, false, 50, 60000, NULL },
  { "event_ring_entries", WC_JSON_UINT, false, 16, 1048576, NULL },
  { "log_level", WC_JSON_CHOICE, false, 0, 0, LOG_LEVELS },
  { "fault_injection", WC_JSON_BOOL, false, 0, 0, NULL },
};

/* Limits in entries and bytes apply to each worker separately. */
static const NumericSetting NUMERIC_SETTINGS[] = {
  { "ticket_life_ms", offsetof (WcSettings, ticket_life_ms), 10000 },
  { "answer_life_ms", offsetof (WcSettings, answer_life_ms), 10000 },
  { "token_life_s", offsetof (WcSettings, token_life_s), 3600 },
  { "ledger_max_entries", offsetof (WcSettings, ledger_max_entries), 65536 },
  { "requests_max", offsetof (WcSettings, requests_max), 16384 },
  { "queue_max_requests", offsetof (WcSettings, queue_max_requests), 1024 },
  { "answers_max", offsetof (WcSettings, answers_max), 8192 },
  { "answers_max_bytes", offsetof (WcSettings, answers_max_bytes), 67108864 },
  { "stream_max_waiters", offsetof (WcSettings, stream_max_waiters), 65536 },
  { "retry_budget_percent", offsetof (WcSettings, retry_budget_percent), 10 },
  { "drain_limit_ms", offsetof (WcSettings, drain_limit_ms), 30000 },
  { "heartbeat_ms", offsetof (WcSettings, heartbeat_ms), 350 },
  { "suspect_after_ms", offsetof (WcSettings, suspect_after_ms), 1000 },
  { "pause_threshold_ms", offsetof (WcSettings, pause_threshold_ms), 500 },
  { "confirm_limit_ms", offsetof (WcSettings, confirm_limit_ms), 2000 },
  { "event_ring_entries", offsetof (WcSettings, event_ring_entries), 16384 },
};

WcSettings *
wc_settings_load (const char *path, WcError *error)
{
  WcSettings *settings = NULL;
  WcJsonDoc  *doc = wc_json_doc_load (path, error);

  if (doc)
    settings = read_settings (path, doc, error);
  wc_json_doc_delete (doc);
  return settings;
}

void
wc_settings_delete (WcSettings *settings)
{
  if (!settings)
    return;
  g_free (settings->instance);
  g_free (settings->domain);
  g_free (settings->platforms);
  g_free (settings->log_level);
  g_free (settings);
}

/* local functions */

static WcSettings *
read_settings (const char *path, const WcJsonDoc *doc, WcError *error)
{
  struct json_object *root = wc_json_doc_get_root (doc);
  WcSettings         *settings;

  if (!wc_json_doc_check (doc, root, FIELDS, G_N_ELEMENTS (FIELDS), error))
    return NULL;

  settings = g_new0 (WcSettings, 1);
  settings->instance = g_strdup (wc_json_get_string (root, "instance", NULL));
  settings->domain = g_strdup (wc_json_get_string (root, "domain", NULL));
  wc_json_get_address (root, "listen", &settings->listen);
  wc_json_get_address (root, "peer", &settings->peer);
  if (!wc_address_parse (wc_json_get_string (root, "operators", "127.0.0.1:7070"), &settings->operators))
    assert (false);
  settings->workers = (uint16_t)wc_json_get_uint (root, "workers", 2);
  wc_json_decode_secret (wc_json_get_string (root, "fleet_key", ""), settings->fleet_key);
  for (size_t i = 0; i < G_N_ELEMENTS (NUMERIC_SETTINGS); i++)
    G_STRUCT_MEMBER (uint32_t, settings, NUMERIC_SETTINGS[i].offset) =
        (uint32_t)wc_json_get_uint (root, NUMERIC_SETTINGS[i].key, NUMERIC_SETTINGS[i].default_value);
  settings->log_level = g_strdup (wc_json_get_string (root, "log_level", "notice"));
  settings->fault_injection = wc_json_get_bool (root, "fault_injection", false);

  if (!read_platforms (settings, doc, json_object_object_get (root, "platforms"), error) ||
      !check_relations (settings, path, root, error) || !check_ports (settings, path, root, error))
    {
      wc_settings_delete (settings);
      return NULL;
    }
  return settings;
}

static bool
read_platforms (WcSettings *settings, const WcJsonDoc *doc, struct json_object *array, WcError *error)
{
  static const WcJsonField field = { "platforms", WC_JSON_ADDRESS, false, 0, 0, NULL };

  settings->platform_count = json_object_array_length (array);
  settings->platforms = g_new0 (WcAddress, settings->platform_count);
  for (size_t i = 0; i < settings->platform_count; i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!wc_json_doc_check_value (doc, value, &field, error))
        return false;
      if (!wc_address_parse (json_object_get_string (value), &settings->platforms[i]))
        return false;
    }
  return true;
}

static bool
check_relations (const WcSettings *settings, const char *path, struct json_object *root, WcError *error)
{
  /* One lost heartbeat must not make a peer suspect. */
  if (settings->suspect_after_ms < 2 * settings->heartbeat_ms)
    return wc_json_fail (error, path, get_key_line (root, "suspect_after_ms"), "suspect_after_ms",
                         "must be at least twice heartbeat_ms, which is %u", settings->heartbeat_ms);
  /* A drain waits until the last ticket has expired; a shorter limit would interrupt orders. */
  if (settings->drain_limit_ms < settings->ticket_life_ms)
    return wc_json_fail (error, path, get_key_line (root, "drain_limit_ms"), "drain_limit_ms",
                         "must be at least ticket_life_ms, which is %u", settings->ticket_life_ms);
  return true;
}

/* Worker n receives relayed datagrams on the UDP port peer.port + n. */
static bool
check_ports (const WcSettings *settings, const char *path, struct json_object *root, WcError *error)
{
  uint32_t last_relay_port = (uint32_t)settings->peer.port + settings->workers - 1;

  if (last_relay_port > UINT16_MAX)
    return wc_json_fail (error, path, get_key_line (root, "peer"), "peer",
                         "needs one port for each of %u workers from %u on", settings->workers, settings->peer.port);
  if (settings->listen.port >= settings->peer.port && settings->listen.port <= last_relay_port &&
      ip_covers (&settings->listen, &settings->peer))
    return wc_json_fail (error, path, get_key_line (root, "listen"), "listen",
                         "overlaps the workers' relay ports %u to %u", settings->peer.port, last_relay_port);
  if (settings->operators.port == settings->peer.port && ip_covers (&settings->operators, &settings->peer))
    return wc_json_fail (error, path, get_key_line (root, "operators"), "operators", "is the same address as peer");
  return true;
}

static uint32_t
get_key_line (struct json_object *root, const char *key)
{
  struct json_object *value;

  return wc_json_get_line (json_object_object_get_ex (root, key, &value) ? value : root);
}

/* Whether a socket bound to @a also receives on @b: an unspecified address covers all addresses of its family. */
static bool
ip_covers (const WcAddress *a, const WcAddress *b)
{
  static const uint8_t unspecified[16];
  size_t               size_bytes = a->family == 6 ? 16 : 4;

  return a->family == b->family &&
         (memcmp (a->ip, b->ip, size_bytes) == 0 || memcmp (a->ip, unspecified, size_bytes) == 0);
}
