#include "core/register_draft.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <wigeoncart/name_id.h>

#include "core/register_private.h"

/*
 * Maximum number of entries, about twice the scale that the software is designed for, so that a faulty
 * generator of the register cannot exhaust the memory of the control thread.
 */
enum
{
  MAX_DOMAINS = 64,
  MAX_SERVICES = 8192,
  MAX_HOSTS = 16384,
  MAX_TARGETS_OF_HOST = 64,
  MAX_CUSTOMERS = 32768,
  MAX_KEYS = 16,
  MAX_GROUPS = 4096
};

enum
{
  MAX_DEADLINE_MS = 600000,
  MAX_ANSWER_BYTES = 16777216,
  MAX_SLOTS = 1024,
  MAX_COLD_START_MS = 3600000,
  MAX_WORTH = 1000000,
  MAX_WEIGHT = 1000
};

/* Context of the functions that read a section: source text, destination and error. */
typedef struct
{
  WcDraft         *draft;
  uint32_t         part;
  const WcJsonDoc *doc;
  WcError         *error;
} PartReader;

static bool           read_domains (const PartReader *reader, struct json_object *array);
static bool           read_services (const PartReader *reader, struct json_object *array);
static bool           read_hosts (const PartReader *reader, struct json_object *array);
static bool           read_targets (const PartReader *reader, struct json_object *array);
static bool           read_customers (const PartReader *reader, struct json_object *array);
static bool           read_keys (const PartReader *reader, struct json_object *array);
static bool           read_rules (const PartReader *reader, struct json_object *rules);
static bool           read_names (const PartReader *reader, struct json_object *rules, const char *key, GArray *names);
static bool           read_group (const PartReader *reader, struct json_object *array);
static bool           check_entry (const PartReader *reader, struct json_object *value, const char *section,
                                   const WcJsonField *fields, size_t count);
static char          *intern (const PartReader *reader, const char *text);
static char          *get_name (const PartReader *reader, struct json_object *object, const char *key);
static WcTextPosition get_position (const PartReader *reader, struct json_object *value);

static const char *const AFFINITIES[] = { "request", "session", NULL };

/* "revision" is allowed only in a register in one text; for parts, the revision is in the head. */
static const WcJsonField ROOT_FIELDS[] = {
  { "revision", WC_JSON_UINT, true, 1, WC_REVISION_MAX, NULL },
  { "domains", WC_JSON_ARRAY, false, 0, MAX_DOMAINS, NULL },
  { "services", WC_JSON_ARRAY, false, 0, MAX_SERVICES, NULL },
  { "hosts", WC_JSON_ARRAY, false, 0, MAX_HOSTS, NULL },
  { "customers", WC_JSON_ARRAY, false, 0, MAX_CUSTOMERS, NULL },
  { "keys", WC_JSON_ARRAY, false, 0, MAX_KEYS, NULL },
  { "rules", WC_JSON_OBJECT, false, 0, UINT32_MAX, NULL },
};

/* @offset: offset in WcDraft of the array whose length is limited; for "rules", the array of the weights.
 * @max_entries: maximum length of that array over all parts. */
static const struct
{
  const char *key;
  bool (*read) (const PartReader *reader, struct json_object *section);
  size_t offset;
  guint  max_entries;
} SECTIONS[] = {
  { "domains", read_domains, offsetof (WcDraft, domains), MAX_DOMAINS },
  { "services", read_services, offsetof (WcDraft, services), MAX_SERVICES },
  { "hosts", read_hosts, offsetof (WcDraft, hosts), MAX_HOSTS },
  { "customers", read_customers, offsetof (WcDraft, customers), MAX_CUSTOMERS },
  { "keys", read_keys, offsetof (WcDraft, keys), MAX_KEYS },
  { "rules", read_rules, offsetof (WcDraft, weights), MAX_HOSTS },
};

bool
wc_draft_read (WcDraft *draft, uint32_t part, const WcJsonDoc *doc, bool whole, WcError *error)
{
  PartReader          reader = { draft, part, doc, error };
  struct json_object *root = wc_json_doc_get_root (doc);
  size_t              skipped = whole ? 0 : 1;

  assert (draft != NULL);

  if (!wc_json_doc_check (doc, root, ROOT_FIELDS + skipped, G_N_ELEMENTS (ROOT_FIELDS) - skipped, error))
    return false;
  if (whole)
    draft->reg->revision = wc_json_get_uint (root, "revision", 0);
  for (size_t i = 0; i < G_N_ELEMENTS (SECTIONS); i++)
    {
      struct json_object *section;

      if (!json_object_object_get_ex (root, SECTIONS[i].key, &section))
        continue;
      if (!SECTIONS[i].read (&reader, section))
        return false;
      if (G_STRUCT_MEMBER (GArray *, draft, SECTIONS[i].offset)->len > SECTIONS[i].max_entries)
        return wc_draft_fail (draft, error, get_position (&reader, section), SECTIONS[i].key,
                              "has more than %u elements over all parts", SECTIONS[i].max_entries);
    }
  return true;
}

bool
wc_draft_fail (const WcDraft *draft, WcError *error, WcTextPosition position, const char *key, const char *format, ...)
{
  char    reason[WC_ERROR_MESSAGE_BYTES];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (reason, sizeof reason, format, arguments);
  va_end (arguments);
  return wc_json_fail (error, draft->parts[position.part].name, position.line, key, "%s", reason);
}

/* local functions */

static bool
read_domains (const PartReader *reader, struct json_object *array)
{
  static const WcJsonField field = { "domains", WC_JSON_NAME, false, 0, 0, NULL };
  WcDraftDomain            entry;

  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!wc_json_doc_check_value (reader->doc, value, &field, reader->error))
        return false;
      memset (&entry, 0, sizeof entry);
      entry.domain.name = intern (reader, json_object_get_string (value));
      entry.domain.id = wc_name_id32 (entry.domain.name);
      entry.position = get_position (reader, value);
      g_array_append_val (reader->draft->domains, entry);
    }
  return true;
}

static bool
read_services (const PartReader *reader, struct json_object *array)
{
  static const WcJsonField fields[] = {
    { "name", WC_JSON_NAME, true, 0, 0, NULL },
    { "affinity", WC_JSON_CHOICE, false, 0, 0, AFFINITIES },
    { "default_deadline_ms", WC_JSON_UINT, false, 1, MAX_DEADLINE_MS, NULL },
    { "answer_max_bytes", WC_JSON_UINT, false, 1, MAX_ANSWER_BYTES, NULL },
  };
  WcDraftService entry;

  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!check_entry (reader, value, "services", fields, G_N_ELEMENTS (fields)))
        return false;
      memset (&entry, 0, sizeof entry);
      entry.service.name = get_name (reader, value, "name");
      entry.service.id = wc_name_id32 (entry.service.name);
      entry.service.affinity = strcmp (wc_json_get_string (value, "affinity", "request"), "session") == 0
                                   ? WC_AFFINITY_SESSION
                                   : WC_AFFINITY_REQUEST;
      entry.service.default_deadline_ms = (uint32_t)wc_json_get_uint (value, "default_deadline_ms", 2000);
      entry.service.answer_max_bytes = (uint32_t)wc_json_get_uint (value, "answer_max_bytes", 65536);
      entry.position = get_position (reader, value);
      g_array_append_val (reader->draft->services, entry);
    }
  return true;
}

static bool
read_hosts (const PartReader *reader, struct json_object *array)
{
  static const WcJsonField fields[] = {
    { "name", WC_JSON_NAME, true, 0, 0, NULL },
    { "domain", WC_JSON_NAME, true, 0, 0, NULL },
    { "targets", WC_JSON_ARRAY, true, 0, MAX_TARGETS_OF_HOST, NULL },
  };
  WcDraftHost entry;

  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!check_entry (reader, value, "hosts", fields, G_N_ELEMENTS (fields)))
        return false;
      memset (&entry, 0, sizeof entry);
      entry.name = get_name (reader, value, "name");
      entry.domain = get_name (reader, value, "domain");
      entry.weight = 100;
      entry.position = get_position (reader, value);
      g_array_append_val (reader->draft->hosts, entry);
      if (!read_targets (reader, json_object_object_get (value, "targets")))
        return false;
    }
  return true;
}

static bool
read_targets (const PartReader *reader, struct json_object *array)
{
  static const WcJsonField fields[] = {
    { "service", WC_JSON_NAME, true, 0, 0, NULL },
    { "address", WC_JSON_ADDRESS, true, 0, 0, NULL },
    { "slots", WC_JSON_UINT, false, 1, MAX_SLOTS, NULL },
    { "max_connections", WC_JSON_UINT, false, 1, UINT16_MAX, NULL },
    { "cold_start_ms", WC_JSON_UINT, false, 0, MAX_COLD_START_MS, NULL },
  };
  WcDraftTarget entry;

  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!check_entry (reader, value, "targets", fields, G_N_ELEMENTS (fields)))
        return false;
      memset (&entry, 0, sizeof entry);
      entry.service = get_name (reader, value, "service");
      wc_json_get_address (value, "address", &entry.target.address);
      entry.target.slots = (uint32_t)wc_json_get_uint (value, "slots", 2);
      entry.target.max_connections = (uint32_t)wc_json_get_uint (value, "max_connections", 16);
      entry.target.cold_start_ms = (uint32_t)wc_json_get_uint (value, "cold_start_ms", 0);
      entry.host = reader->draft->hosts->len - 1;
      entry.position = get_position (reader, value);
      g_array_append_val (reader->draft->targets, entry);
    }
  return true;
}

static bool
read_customers (const PartReader *reader, struct json_object *array)
{
  static const WcJsonField fields[] = {
    { "name", WC_JSON_NAME, true, 0, 0, NULL },
    { "worth", WC_JSON_UINT, true, 0, MAX_WORTH, NULL },
  };
  WcDraftCustomer entry;

  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!check_entry (reader, value, "customers", fields, G_N_ELEMENTS (fields)))
        return false;
      memset (&entry, 0, sizeof entry);
      entry.customer.name = get_name (reader, value, "name");
      entry.customer.id = wc_name_id32 (entry.customer.name);
      entry.customer.worth = (uint32_t)wc_json_get_uint (value, "worth", 1);
      entry.position = get_position (reader, value);
      g_array_append_val (reader->draft->customers, entry);
    }
  return true;
}

static bool
read_keys (const PartReader *reader, struct json_object *array)
{
  /* Epoch 0 is reserved for the fleet key in the settings. */
  static const WcJsonField fields[] = {
    { "epoch", WC_JSON_UINT, true, 1, UINT32_MAX, NULL },
    { "secret", WC_JSON_SECRET, true, 0, 0, NULL },
  };
  WcDraftKey entry;

  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);

      if (!check_entry (reader, value, "keys", fields, G_N_ELEMENTS (fields)))
        return false;
      memset (&entry, 0, sizeof entry);
      entry.key.epoch = (uint32_t)wc_json_get_uint (value, "epoch", 0);
      wc_json_decode_secret (wc_json_get_string (value, "secret", ""), entry.key.secret);
      entry.position = get_position (reader, value);
      g_array_append_val (reader->draft->keys, entry);
    }
  return true;
}

static bool
read_rules (const PartReader *reader, struct json_object *rules)
{
  static const WcJsonField fields[] = {
    { "separate", WC_JSON_ARRAY, false, 0, MAX_GROUPS, NULL },
    { "leaving", WC_JSON_ARRAY, false, 0, MAX_HOSTS, NULL },
    { "evacuated", WC_JSON_ARRAY, false, 0, MAX_DOMAINS, NULL },
    { "weights", WC_JSON_OBJECT, false, 0, MAX_HOSTS, NULL },
  };
  struct json_object *section;

  if (!wc_json_doc_check (reader->doc, rules, fields, G_N_ELEMENTS (fields), reader->error))
    return false;
  if (json_object_object_get_ex (rules, "separate", &section))
    for (size_t i = 0; i < json_object_array_length (section); i++)
      if (!read_group (reader, json_object_array_get_idx (section, i)))
        return false;
  if (!read_names (reader, rules, "leaving", reader->draft->leaving) ||
      !read_names (reader, rules, "evacuated", reader->draft->evacuated))
    return false;
  if (json_object_object_get_ex (rules, "weights", &section))
    {
      json_object_object_foreach (section, host, value)
      {
        WcJsonField field = { host, WC_JSON_UINT, false, 0, MAX_WEIGHT, NULL };
        WcDraftRule entry = { .position = get_position (reader, value) };

        if (!wc_json_doc_check_value (reader->doc, value, &field, reader->error))
          return false;
        entry.name = intern (reader, host);
        entry.weight = (uint32_t)json_object_get_int64 (value);
        g_array_append_val (reader->draft->weights, entry);
      }
    }
  return true;
}

/* Reads a rule that is a list of names. */
static bool
read_names (const PartReader *reader, struct json_object *rules, const char *key, GArray *names)
{
  const WcJsonField   field = { key, WC_JSON_NAME, false, 0, 0, NULL };
  struct json_object *section;

  if (!json_object_object_get_ex (rules, key, &section))
    return true;
  for (size_t i = 0; i < json_object_array_length (section); i++)
    {
      struct json_object *value = json_object_array_get_idx (section, i);
      WcDraftRule         entry = { .position = get_position (reader, value) };

      if (!wc_json_doc_check_value (reader->doc, value, &field, reader->error))
        return false;
      entry.name = intern (reader, json_object_get_string (value));
      g_array_append_val (names, entry);
    }
  return true;
}

static bool
read_group (const PartReader *reader, struct json_object *array)
{
  static const WcJsonField group = { "separate", WC_JSON_ARRAY, false, 2, MAX_SERVICES, NULL };
  static const WcJsonField member = { "separate", WC_JSON_NAME, false, 0, 0, NULL };

  if (!wc_json_doc_check_value (reader->doc, array, &group, reader->error))
    return false;
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);
      WcDraftRule         entry = { .group = reader->draft->group_count, .position = get_position (reader, value) };

      if (!wc_json_doc_check_value (reader->doc, value, &member, reader->error))
        return false;
      entry.name = intern (reader, json_object_get_string (value));
      g_array_append_val (reader->draft->separate, entry);
    }
  reader->draft->group_count++;
  return true;
}

static bool
check_entry (const PartReader *reader, struct json_object *value, const char *section, const WcJsonField *fields,
             size_t count)
{
  WcJsonField entry = { section, WC_JSON_OBJECT, false, 0, UINT32_MAX, NULL };

  return wc_json_doc_check_value (reader->doc, value, &entry, reader->error) &&
         wc_json_doc_check (reader->doc, value, fields, count, reader->error);
}

static char *
intern (const PartReader *reader, const char *text)
{
  return g_string_chunk_insert_const (reader->draft->reg->strings, text);
}

static char *
get_name (const PartReader *reader, struct json_object *object, const char *key)
{
  return intern (reader, wc_json_get_string (object, key, ""));
}

static WcTextPosition
get_position (const PartReader *reader, struct json_object *value)
{
  return (WcTextPosition){ reader->part, wc_json_get_line (value) };
}
