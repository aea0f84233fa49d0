#include "core/config_head.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "core/register_private.h"

static bool read_parts (WcConfigHead *head, const WcJsonDoc *doc, struct json_object *array, WcError *error);

static const WcJsonField HEAD_FIELDS[] = {
  { "revision", WC_JSON_UINT, true, 1, WC_REVISION_MAX, NULL },
  { "parts", WC_JSON_ARRAY, true, 1, WC_HEAD_MAX_PARTS, NULL },
};

static const WcJsonField PART_FIELDS[] = {
  { "key", WC_JSON_NAME, true, 0, 0, NULL },
  { "digest", WC_JSON_DIGEST, true, 0, 0, NULL },
};

WcConfigHead *
wc_config_head_parse (const char *text, size_t size_bytes, WcError *error)
{
  WcJsonDoc          *doc;
  struct json_object *root;
  WcConfigHead       *head = NULL;

  assert (text != NULL || size_bytes == 0);

  if (size_bytes > WC_REGISTER_PART_MAX_BYTES)
    {
      wc_error_set (error, WC_STATUS_TOO_LARGE, "head:1: the head has more than %d bytes", WC_REGISTER_PART_MAX_BYTES);
      return NULL;
    }
  doc = wc_json_doc_new ("head", text, size_bytes, error);
  if (!doc)
    return NULL;
  root = wc_json_doc_get_root (doc);
  if (wc_json_doc_check (doc, root, HEAD_FIELDS, G_N_ELEMENTS (HEAD_FIELDS), error))
    {
      head = g_new0 (WcConfigHead, 1);
      head->id.revision = wc_json_get_uint (root, "revision", 0);
      wc_config_digest (text, size_bytes, head->id.digest);
      head->parts = g_array_new (FALSE, TRUE, sizeof (WcHeadPart));
      if (!read_parts (head, doc, json_object_object_get (root, "parts"), error))
        {
          wc_config_head_delete (head);
          head = NULL;
        }
    }
  wc_json_doc_delete (doc);
  return head;
}

void
wc_config_head_delete (WcConfigHead *head)
{
  if (!head)
    return;
  g_array_unref (head->parts);
  g_free (head);
}

char *
wc_config_head_format (uint64_t revision, const WcHeadPart *parts, size_t count)
{
  GString *text = g_string_new (NULL);
  char     digest[2 * WC_DIGEST_BYTES + 1];

  assert (parts != NULL);

  g_string_append_printf (text, "{\"revision\":%" G_GUINT64_FORMAT ",\"parts\":[", revision);
  for (size_t i = 0; i < count; i++)
    g_string_append_printf (text, "%s{\"key\":\"%s\",\"digest\":\"%s\"}", i > 0 ? "," : "", parts[i].key,
                            sodium_bin2hex (digest, sizeof digest, parts[i].digest, WC_DIGEST_BYTES));
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

void
wc_config_digest (const void *data, size_t size_bytes, uint8_t digest[WC_DIGEST_BYTES])
{
  assert (data != NULL || size_bytes == 0);

  crypto_generichash (digest, WC_DIGEST_BYTES, data, size_bytes, NULL, 0);
}

/* local functions */

static bool
read_parts (WcConfigHead *head, const WcJsonDoc *doc, struct json_object *array, WcError *error)
{
  static const WcJsonField field = { "parts", WC_JSON_OBJECT, false, 0, UINT32_MAX, NULL };
  GHashTable              *keys = g_hash_table_new (g_str_hash, g_str_equal);
  bool                     valid = true;

  for (size_t i = 0; valid && i < json_object_array_length (array); i++)
    {
      struct json_object *value = json_object_array_get_idx (array, i);
      const char         *key;
      WcHeadPart          part;

      valid = wc_json_doc_check_value (doc, value, &field, error) &&
              wc_json_doc_check (doc, value, PART_FIELDS, G_N_ELEMENTS (PART_FIELDS), error);
      if (!valid)
        break;
      key = wc_json_get_string (value, "key", "");
      if (strcmp (key, "head") == 0 || !g_hash_table_add (keys, (gpointer)key))
        valid = wc_json_fail (error, "head", wc_json_get_line (value), "key", "'%s' is %s", key,
                              strcmp (key, "head") == 0 ? "reserved" : "used twice");
      memset (&part, 0, sizeof part);
      g_strlcpy (part.key, key, sizeof part.key);
      sodium_hex2bin (part.digest, sizeof part.digest, wc_json_get_string (value, "digest", ""),
                      (size_t)2 * WC_DIGEST_BYTES, NULL, NULL, NULL);
      g_array_append_val (head->parts, part);
    }
  g_hash_table_destroy (keys);
  return valid;
}
