#include <wigeoncart/register_split.h>

#include <assert.h>
#include <string.h>

#include <wigeoncart/name_id.h>

#include "core/config_head.h"

/*
 * A change of one host transfers the head and one part. The head takes about 90 bytes per part, and a part about 150
 * bytes per host. With 64 hosts per group, both have about 10 kB in a register of 7,400 hosts.
 */
enum
{
  HOSTS_PER_GROUP = 64,
  SERVICES_PER_GROUP = 128,
  CUSTOMERS_PER_GROUP = 128
};

typedef struct
{
  char  *text;
  size_t size_bytes;
} PartText;

struct WcRegisterSplit
{
  uint64_t revision;
  char    *head;
  size_t   head_bytes;
  /* Elements of type WcHeadPart and PartText; those of the same index belong to one part. */
  GArray *parts;
  GArray *texts;
};

/* Sections whose entries are grouped by name. @in_base: up to @per_group entries stay in the part "base". */
static const struct
{
  const char *key;
  size_t      per_group;
  bool        in_base;
} GROUPED_SECTIONS[] = {
  { "hosts", HOSTS_PER_GROUP, false },
  { "services", SERVICES_PER_GROUP, true },
  { "customers", CUSTOMERS_PER_GROUP, true },
};

static void   split_section (WcRegisterSplit *split, const char *section, struct json_object *array, size_t groups);
static void   add_part (WcRegisterSplit *split, const char *key, struct json_object *object);
static size_t group_count (size_t entries, size_t per_group);
static int    compare_names (const void *a, const void *b);

WcRegisterSplit *
wc_register_split_new (const char *name, const char *text, size_t size_bytes, WcError *error)
{
  WcRegister         *reg = wc_register_parse (name, text, size_bytes, error);
  WcRegisterSplit    *split;
  WcJsonDoc          *doc;
  struct json_object *root;

  if (!reg)
    return NULL;
  split = g_new0 (WcRegisterSplit, 1);
  split->revision = wc_register_get_revision (reg);
  split->parts = g_array_new (FALSE, TRUE, sizeof (WcHeadPart));
  split->texts = g_array_new (FALSE, TRUE, sizeof (PartText));
  wc_register_unref (reg);

  doc = wc_json_doc_new (name, text, size_bytes, error);
  assert (doc != NULL);
  root = wc_json_doc_get_root (doc);
  json_object_object_del (root, "revision");
  for (size_t i = 0; i < G_N_ELEMENTS (GROUPED_SECTIONS); i++)
    {
      struct json_object *array = json_object_object_get (root, GROUPED_SECTIONS[i].key);
      size_t              count = array ? json_object_array_length (array) : 0;

      if (count == 0 || (GROUPED_SECTIONS[i].in_base && count <= GROUPED_SECTIONS[i].per_group))
        continue;
      split_section (split, GROUPED_SECTIONS[i].key, array, group_count (count, GROUPED_SECTIONS[i].per_group));
      json_object_object_del (root, GROUPED_SECTIONS[i].key);
    }
  add_part (split, "base", root);
  wc_json_doc_delete (doc);

  for (guint i = 0; i < split->parts->len; i++)
    if (g_array_index (split->texts, PartText, i).size_bytes > WC_REGISTER_PART_MAX_BYTES)
      {
        wc_error_set (error, WC_STATUS_TOO_LARGE, "%s:1: part '%s' would have more than %d bytes", name,
                      g_array_index (split->parts, WcHeadPart, i).key, WC_REGISTER_PART_MAX_BYTES);
        wc_register_split_delete (split);
        return NULL;
      }
  split->head =
      wc_config_head_format (split->revision, (const WcHeadPart *)(const void *)split->parts->data, split->parts->len);
  split->head_bytes = strlen (split->head);
  return split;
}

void
wc_register_split_delete (WcRegisterSplit *split)
{
  if (!split)
    return;
  for (guint i = 0; i < split->texts->len; i++)
    g_free (g_array_index (split->texts, PartText, i).text);
  g_array_unref (split->texts);
  g_array_unref (split->parts);
  g_free (split->head);
  g_free (split);
}

uint64_t
wc_register_split_get_revision (const WcRegisterSplit *split)
{
  assert (split != NULL);

  return split->revision;
}

const char *
wc_register_split_get_head (const WcRegisterSplit *split, size_t *size_bytes)
{
  assert (split != NULL);
  assert (size_bytes != NULL);

  *size_bytes = split->head_bytes;
  return split->head;
}

size_t
wc_register_split_get_part_count (const WcRegisterSplit *split)
{
  assert (split != NULL);

  return split->parts->len;
}

const char *
wc_register_split_get_part (const WcRegisterSplit *split, size_t index, const char **key, size_t *size_bytes)
{
  assert (split != NULL);
  assert (index < split->parts->len);
  assert (key != NULL && size_bytes != NULL);

  *key = g_array_index (split->parts, WcHeadPart, index).key;
  *size_bytes = g_array_index (split->texts, PartText, index).size_bytes;
  return g_array_index (split->texts, PartText, index).text;
}

/* local functions */

static void
split_section (WcRegisterSplit *split, const char *section, struct json_object *array, size_t groups)
{
  struct json_object **arrays = g_new0 (struct json_object *, groups);

  json_object_array_sort (array, compare_names);
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *entry = json_object_array_get_idx (array, i);
      size_t              group = wc_name_id32 (wc_json_get_string (entry, "name", "")) % groups;

      if (!arrays[group])
        arrays[group] = json_object_new_array ();
      json_object_array_add (arrays[group], json_object_get (entry));
    }
  for (size_t i = 0; i < groups; i++)
    {
      struct json_object *object;
      char                key[WC_JSON_NAME_MAX_BYTES + 1];

      if (!arrays[i])
        continue;
      object = json_object_new_object ();
      json_object_object_add (object, section, arrays[i]);
      g_snprintf (key, sizeof key, "%s-%02zx", section, i);
      add_part (split, key, object);
      json_object_put (object);
    }
  g_free (arrays);
}

static void
add_part (WcRegisterSplit *split, const char *key, struct json_object *object)
{
  WcHeadPart  part;
  PartText    text;
  const char *json = json_object_to_json_string_length (object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
                                                        &text.size_bytes);

  text.text = g_strndup (json, text.size_bytes);
  memset (&part, 0, sizeof part);
  g_strlcpy (part.key, key, sizeof part.key);
  wc_config_digest (text.text, text.size_bytes, part.digest);
  g_array_append_val (split->parts, part);
  g_array_append_val (split->texts, text);
}

/* Return: a power of two, so that a growing register is regrouped only when it doubles. */
static size_t
group_count (size_t entries, size_t per_group)
{
  size_t groups = 1;

  while (groups * per_group < entries)
    groups *= 2;
  return groups;
}

static int
compare_names (const void *a, const void *b)
{
  struct json_object *left = *(struct json_object *const *)a;
  struct json_object *right = *(struct json_object *const *)b;

  return strcmp (wc_json_get_string (left, "name", ""), wc_json_get_string (right, "name", ""));
}
