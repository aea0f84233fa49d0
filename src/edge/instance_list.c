#include "edge/instance_list.h"

#include <assert.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include <wigeoncart/name_id.h>

enum
{
  /* Levels of containers of the list, an entry and its members. */
  ENTRY_DEPTH = 3,
  MEMBER_DEPTH_MAX = 8
};

static char       *copy_without_deep_entries (const char *text, size_t size_bytes);
static const char *read_entry (struct json_object *entry, WcMember *member);
static const char *get_text (struct json_object *entry, const char *key);

WcMember *
wc_instance_list_parse (const char *text, size_t size_bytes, GHashTable *names, size_t *count, size_t *rejected,
                        WcError *error)
{
  char                *copy;
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object  *root;
  struct json_object  *list = NULL;
  WcMember            *members = NULL;

  assert (text != NULL || size_bytes == 0);
  assert (count != NULL && rejected != NULL);

  *count = 0;
  *rejected = 0;
  copy = copy_without_deep_entries (text, size_bytes);
  root = size_bytes > 0 ? json_tokener_parse_ex (tokener, copy, (int)size_bytes) : NULL;
  g_free (copy);
  if (!root)
    wc_error_set (error, WC_STATUS_PARSE, "instance list is not JSON");
  else if (!json_object_object_get_ex (root, "instances", &list) || !json_object_is_type (list, json_type_array))
    wc_error_set (error, WC_STATUS_PARSE, "instance list has no array \"instances\"");
  else
    {
      size_t length = json_object_array_length (list);

      members = g_new0 (WcMember, length + 1);
      for (size_t i = 0; i < length; i++)
        {
          struct json_object *entry = json_object_array_get_idx (list, i);
          const char         *reason = read_entry (entry, &members[*count]);

          if (reason)
            {
              wc_error_set (error, WC_STATUS_INVALID, "entry %zu: %s", i + 1, reason);
              ++*rejected;
              continue;
            }
          g_hash_table_replace (names, g_memdup2 (&members[*count].id, sizeof (uint64_t)),
                                g_strdup (get_text (entry, "name")));
          ++*count;
        }
    }
  json_object_put (root);
  json_tokener_free (tokener);
  return members;
}

/* local functions */

/*
 * The decoder gives up a text that is nested too deeply, and would with it give up all entries. An entry that is nested
 * too deeply is replaced by a number, which is no entry. Return: a copy of the same length.
 */
static char *
copy_without_deep_entries (const char *text, size_t size_bytes)
{
  char    *copy = g_memdup2 (text, size_bytes);
  size_t   entry_start = 0;
  uint32_t depth = 0;
  bool     in_string = false;
  bool     is_deep = false;

  for (size_t i = 0; i < size_bytes; i++)
    {
      if (in_string)
        {
          if (copy[i] == '\\')
            i++;
          else if (copy[i] == '"')
            in_string = false;
        }
      else if (copy[i] == '"')
        in_string = true;
      else if (copy[i] == '{' || copy[i] == '[')
        {
          if (++depth == ENTRY_DEPTH)
            entry_start = i;
          is_deep |= depth > MEMBER_DEPTH_MAX;
        }
      else if ((copy[i] == '}' || copy[i] == ']') && depth > 0 && depth-- == ENTRY_DEPTH && is_deep)
        {
          memset (copy + entry_start, ' ', i + 1 - entry_start);
          copy[entry_start] = '0';
          is_deep = false;
        }
    }
  return copy;
}

/* Return: why the entry cannot be used, or NULL. */
static const char *
read_entry (struct json_object *entry, WcMember *member)
{
  const char         *name = get_text (entry, "name");
  const char         *domain = get_text (entry, "domain");
  const char         *address = get_text (entry, "address");
  const char         *state = get_text (entry, "state");
  struct json_object *workers;

  memset (member, 0, sizeof *member);
  if (!json_object_is_type (entry, json_type_object))
    return "it is not a JSON object, or is nested too deeply";
  if (!name || !domain || !address || !state)
    return "name, domain, address or state is missing or not a string";
  if (!wc_address_parse (address, &member->address) || member->address.port == 0)
    return "address is not an IP address with a port from 1 to 65535";
  if (!json_object_object_get_ex (entry, "workers", &workers) || !json_object_is_type (workers, json_type_int) ||
      json_object_get_int64 (workers) < 1 || json_object_get_int64 (workers) > UINT16_MAX)
    return "workers is not a whole number from 1 to 65535";
  member->id = wc_name_id64 (name);
  member->domain = wc_name_id32 (domain);
  member->workers = (uint16_t)json_object_get_int (workers);
  if (strcmp (state, "leaving") == 0)
    member->state = WC_MEMBER_LEAVING;
  else if (strcmp (state, "live") == 0)
    member->state = WC_MEMBER_LISTED;
  else
    return "state is unknown";
  return NULL;
}

static const char *
get_text (struct json_object *entry, const char *key)
{
  struct json_object *value;
  const char         *text;

  if (!json_object_object_get_ex (entry, key, &value) || !json_object_is_type (value, json_type_string))
    return NULL;
  text = json_object_get_string (value);
  return strlen (text) == (size_t)json_object_get_string_len (value) ? text : NULL;
}
