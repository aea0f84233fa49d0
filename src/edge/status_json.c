#include "edge/status_json.h"

#include <glib.h>
#include <json-c/json.h>

#include <wigeoncart/name_id.h>

static void add_text (struct json_object *object, const char *key, const char *text);
static void add_count (struct json_object *object, const char *key, uint64_t value);
static void add_id (struct json_object *object, const char *key, uint64_t id);
static void add_config (struct json_object *object, const WcControl *control, uint64_t now_us);
static void add_members (struct json_object *object, const WcControl *control, GHashTable *names);
static void add_domain (struct json_object *object, const WcControl *control, uint32_t domain);
static void add_workers (struct json_object *object, WcWorker *const *workers, size_t worker_count);
static void add_digest (struct json_object *object, const WcConfigId *id);

char *
wc_status_json (const WcSettings *settings, const WcControl *control, GHashTable *names, uint64_t now_us,
                WcWorker *const *workers, size_t worker_count)
{
  struct json_object *status = json_object_new_object ();
  WcMemberTable      *table = wc_control_snapshot_members (control);
  const WcMember     *self = wc_member_table_find (table, wc_name_id64 (settings->instance));
  const char         *reason;
  char               *text;

  add_text (status, "instance", settings->instance);
  add_text (status, "domain", settings->domain);
  if (self)
    add_id (status, "incarnation", self->incarnation);
  add_text (status, "lifecycle", WC_LIFECYCLE_STRINGS[wc_control_get_lifecycle (control)]);
  json_object_object_add (status, "ready", json_object_new_boolean (wc_control_is_ready (control, now_us, &reason)));
  add_text (status, "ready_reason", reason);
  add_config (status, control, now_us);
  add_text (status, "platform", WC_PLATFORM_STATE_STRINGS[wc_control_get_platform_state (control)]);
  json_object_object_add (status, "reader", json_object_new_boolean (wc_control_is_reader (control)));
  add_count (status, "links", wc_control_get_link_count (control));
  add_members (status, control, names);
  add_workers (status, workers, worker_count);

  text = g_strdup (json_object_to_json_string_ext (status, JSON_C_TO_STRING_PLAIN));
  json_object_put (status);
  wc_member_table_unref (table);
  return text;
}

/* local functions */

static void
add_text (struct json_object *object, const char *key, const char *text)
{
  json_object_object_add (object, key, text ? json_object_new_string (text) : NULL);
}

static void
add_count (struct json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_uint64 (value));
}

/* Identifiers are written as hexadecimal text, because many JSON parsers lose precision in numbers above 2^53. */
static void
add_id (struct json_object *object, const char *key, uint64_t id)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", id);
  add_text (object, key, text);
}

static void
add_config (struct json_object *object, const WcControl *control, uint64_t now_us)
{
  const WcConfigStore *store = wc_control_get_store (control);
  struct json_object  *config = json_object_new_object ();
  uint64_t             in_force_us = wc_control_get_in_force_us (control);
  uint64_t             confirmed_us = wc_control_get_confirmed_us (control);
  WcConfigId           rejected;
  const char          *reason = wc_config_store_get_rejection (store, &rejected);

  add_count (config, "revision", wc_config_store_get_id (store)->revision);
  add_digest (config, wc_config_store_get_id (store));
  json_object_object_add (config, "in_force_ms",
                          in_force_us > 0 ? json_object_new_uint64 ((now_us - in_force_us) / 1000) : NULL);
  json_object_object_add (config, "confirmed_ms_ago",
                          confirmed_us > 0 ? json_object_new_uint64 ((now_us - confirmed_us) / 1000) : NULL);
  if (reason)
    {
      struct json_object *rejection = json_object_new_object ();

      add_count (rejection, "revision", rejected.revision);
      add_digest (rejection, &rejected);
      add_text (rejection, "reason", reason);
      json_object_object_add (config, "last_rejection", rejection);
    }
  else
    json_object_object_add (config, "last_rejection", NULL);
  json_object_object_add (object, "config", config);
}

static void
add_members (struct json_object *object, const WcControl *control, GHashTable *names)
{
  WcMemberTable      *table = wc_control_snapshot_members (control);
  struct json_object *list = json_object_new_array ();
  size_t              count;
  const WcMember     *members = wc_member_table_get (table, &count);

  for (size_t i = 0; i < count; i++)
    {
      struct json_object *member = json_object_new_object ();
      char                text[WC_ADDRESS_TEXT_BYTES];

      add_text (member, "name", g_hash_table_lookup (names, &members[i].id));
      add_id (member, "id", members[i].id);
      add_id (member, "incarnation", members[i].incarnation);
      add_domain (member, control, members[i].domain);
      add_text (member, "address", wc_address_format (&members[i].address, text));
      add_text (member, "state", WC_MEMBER_STATE_STRINGS[members[i].state]);
      json_object_array_add (list, member);
    }
  json_object_object_add (object, "members", list);
  wc_member_table_unref (table);
}

/* Adds the name of the domain, or its identifier in hexadecimal while no register has the name. */
static void
add_domain (struct json_object *object, const WcControl *control, uint32_t domain)
{
  const WcRegister *reg = wc_config_store_get_register (wc_control_get_store (control));
  size_t            count = 0;
  const WcDomain   *domains = reg ? wc_register_get_domains (reg, &count) : NULL;
  char              text[9];

  for (size_t i = 0; i < count; i++)
    if (domains[i].id == domain)
      {
        add_text (object, "domain", domains[i].name);
        return;
      }
  g_snprintf (text, sizeof text, "%08x", domain);
  add_text (object, "domain", text);
}

static void
add_workers (struct json_object *object, WcWorker *const *workers, size_t worker_count)
{
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < worker_count; i++)
    {
      struct json_object *worker = json_object_new_object ();
      WcNodeStats         stats = { 0 };

      wc_worker_get_stats (workers[i], &stats);
      add_count (worker, "requests", stats.requests);
      add_count (worker, "queued", stats.queued);
      add_count (worker, "ledger_entries", stats.ledger_entries);
      add_count (worker, "answers", stats.answers);
      add_count (worker, "answer_bytes", stats.answer_bytes);
      add_count (worker, "waiters", stats.waiters);
      json_object_object_add (worker, "idle", json_object_new_boolean (wc_worker_is_idle (workers[i])));
      json_object_array_add (list, worker);
    }
  json_object_object_add (object, "workers", list);
}

static void
add_digest (struct json_object *object, const WcConfigId *id)
{
  char text[2 * WC_DIGEST_BYTES + 1];

  for (size_t i = 0; i < WC_DIGEST_BYTES; i++)
    g_snprintf (text + 2 * i, 3, "%02x", id->digest[i]);
  add_text (object, "digest", text);
}
