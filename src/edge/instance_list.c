#include "edge/instance_list.h"

#include <assert.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include <wigeoncart/name_id.h>

static bool        read_entry (struct json_object *entry, WcMember *member);
static const char *get_text (struct json_object *entry, const char *key);

WcMember *
wc_instance_list_parse (const char *text, size_t size_bytes, GHashTable *names, size_t *count, WcError *error)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object  *root;
  struct json_object  *list = NULL;
  WcMember            *members = NULL;

  assert (text != NULL || size_bytes == 0);
  assert (count != NULL);

  *count = 0;
  root = size_bytes > 0 ? json_tokener_parse_ex (tokener, text, (int)size_bytes) : NULL;
  if (!root)
    wc_error_set (error, WC_STATUS_PARSE, "instance list is not JSON");
  else if (!json_object_object_get_ex (root, "instances", &list) || !json_object_is_type (list, json_type_array))
    wc_error_set (error, WC_STATUS_PARSE, "instance list has no array \"instances\"");
  else
    {
      size_t length = json_object_array_length (list);

      members = g_new0 (WcMember, length + 1);
      for (size_t i = 0; i < length; i++)
        if (read_entry (json_object_array_get_idx (list, i), &members[*count]))
          {
            const char *name = get_text (json_object_array_get_idx (list, i), "name");

            g_hash_table_replace (names, g_memdup2 (&members[*count].id, sizeof (uint64_t)), g_strdup (name));
            (*count)++;
          }
    }
  json_object_put (root);
  json_tokener_free (tokener);
  return members;
}

/* local functions */

static bool
read_entry (struct json_object *entry, WcMember *member)
{
  const char         *name = get_text (entry, "name");
  const char         *domain = get_text (entry, "domain");
  const char         *address = get_text (entry, "address");
  const char         *state = get_text (entry, "state");
  struct json_object *workers;

  memset (member, 0, sizeof *member);
  if (!name || !domain || !address || !state || !wc_address_parse (address, &member->address) ||
      !json_object_object_get_ex (entry, "workers", &workers) || json_object_get_int (workers) < 1 ||
      json_object_get_int (workers) > UINT16_MAX)
    return false;
  member->id = wc_name_id64 (name);
  member->domain = wc_name_id32 (domain);
  member->workers = (uint16_t)json_object_get_int (workers);
  if (strcmp (state, "leaving") == 0)
    member->state = WC_MEMBER_LEAVING;
  else if (strcmp (state, "live") == 0)
    member->state = WC_MEMBER_LISTED;
  else
    return false;
  return true;
}

static const char *
get_text (struct json_object *entry, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (entry, key, &value) || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}
