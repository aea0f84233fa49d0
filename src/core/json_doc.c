#include "core/json_doc.h"

#include <assert.h>
#include <ctype.h>
#include <glib.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "core/json_lines.h"

enum
{
  /* The deepest document is a register, with 5 levels: root, hosts, host, targets, target. */
  MAX_DEPTH = 8,
  /* A settings file has about 2 kB; a larger file is rejected. */
  MAX_FILE_BYTES = 65536
};

struct WcJsonDoc
{
  char               *name;
  struct json_object *root;
};

static struct json_object *parse_text (const char *name, char *text, size_t size_bytes, WcError *error);
static bool check_type (const WcJsonDoc *doc, struct json_object *value, const WcJsonField *field, WcError *error);
static bool check_unknown (const WcJsonDoc *doc, struct json_object *value, const char *key, const WcJsonField *fields,
                           size_t count, WcError *error);
static bool
check_count (const WcJsonDoc *doc, struct json_object *value, const WcJsonField *field, size_t count, WcError *error);
static const char *check_string (const WcJsonField *field, const char *text);
static const char *check_address (const char *text, bool unspecified_allowed);
static bool        is_name (const char *text);
static bool        is_digest (const char *text);
static size_t      length_without_unit (const char *key);

/* Error message for a value that is not of the type required. */
static const char *const TYPE_ERRORS[WC_JSON_TYPE_COUNT] = {
  [WC_JSON_UINT] = "must be a whole number without quotes, in the unit of the key's name",
  [WC_JSON_NUMBER] = "must be a number without quotes, in the unit of the key's name",
  [WC_JSON_BOOL] = "must be true or false",
  [WC_JSON_NAME] = "must be a string",
  [WC_JSON_ADDRESS] = "must be a string with an address and a port",
  [WC_JSON_LISTEN_ADDRESS] = "must be a string with an address and a port",
  [WC_JSON_SECRET] = "must be a string with the base64 of 32 bytes",
  [WC_JSON_DIGEST] = "must be a string with 64 hexadecimal digits",
  [WC_JSON_CHOICE] = "must be a string",
  [WC_JSON_ARRAY] = "must be an array",
  [WC_JSON_OBJECT] = "must be an object",
};

static const enum json_type TYPES[WC_JSON_TYPE_COUNT] = {
  [WC_JSON_UINT] = json_type_int,       [WC_JSON_NUMBER] = json_type_double,
  [WC_JSON_BOOL] = json_type_boolean,   [WC_JSON_NAME] = json_type_string,
  [WC_JSON_ADDRESS] = json_type_string, [WC_JSON_LISTEN_ADDRESS] = json_type_string,
  [WC_JSON_SECRET] = json_type_string,  [WC_JSON_DIGEST] = json_type_string,
  [WC_JSON_CHOICE] = json_type_string,  [WC_JSON_ARRAY] = json_type_array,
  [WC_JSON_OBJECT] = json_type_object,
};

WcJsonDoc *
wc_json_doc_new (const char *name, const char *text, size_t size_bytes, WcError *error)
{
  struct json_object *root;
  WcJsonDoc          *doc;
  char               *copy;

  assert (name != NULL);
  assert (text != NULL || size_bytes == 0);

  copy = g_malloc (size_bytes + 1);
  if (size_bytes > 0)
    memcpy (copy, text, size_bytes);
  copy[size_bytes] = '\0';
  root = parse_text (name, copy, size_bytes, error);
  g_free (copy);
  if (!root)
    return NULL;
  doc = g_new0 (WcJsonDoc, 1);
  doc->name = g_strdup (name);
  doc->root = root;
  return doc;
}

WcJsonDoc *
wc_json_doc_load (const char *path, WcError *error)
{
  WcJsonDoc *doc;
  GError    *failure = NULL;
  char      *text;
  gsize      size_bytes;

  assert (path != NULL);

  if (!g_file_get_contents (path, &text, &size_bytes, &failure))
    {
      wc_error_set (error, WC_STATUS_NOT_FOUND, "%s", failure->message);
      g_error_free (failure);
      return NULL;
    }
  if (size_bytes > MAX_FILE_BYTES)
    {
      wc_error_set (error, WC_STATUS_TOO_LARGE, "%s:1: the file has more than %d bytes", path, MAX_FILE_BYTES);
      g_free (text);
      return NULL;
    }
  doc = wc_json_doc_new (path, text, size_bytes, error);
  g_free (text);
  return doc;
}

void
wc_json_doc_delete (WcJsonDoc *doc)
{
  if (!doc)
    return;
  json_object_put (doc->root);
  g_free (doc->name);
  g_free (doc);
}

struct json_object *
wc_json_doc_get_root (const WcJsonDoc *doc)
{
  assert (doc != NULL);

  return doc->root;
}

bool
wc_json_doc_check (const WcJsonDoc *doc, struct json_object *object, const WcJsonField *fields, size_t count,
                   WcError *error)
{
  assert (doc != NULL);
  assert (json_object_is_type (object, json_type_object));

  json_object_object_foreach (object, key, value)
  {
    const WcJsonField *field = NULL;

    for (size_t i = 0; i < count && !field; i++)
      if (strcmp (fields[i].key, key) == 0)
        field = &fields[i];
    if (!field)
      return check_unknown (doc, value, key, fields, count, error);
    if (!wc_json_doc_check_value (doc, value, field, error))
      return false;
  }
  for (size_t i = 0; i < count; i++)
    if (fields[i].required && !json_object_object_get_ex (object, fields[i].key, NULL))
      return wc_json_fail (error, doc->name, wc_json_get_line (object), fields[i].key, "missing");
  return true;
}

bool
wc_json_doc_check_value (const WcJsonDoc *doc, struct json_object *value, const WcJsonField *field, WcError *error)
{
  const char *reason;
  int64_t     number;

  assert (doc != NULL);
  assert (field != NULL);

  if (!check_type (doc, value, field, error))
    return false;
  switch (field->type)
    {
    case WC_JSON_UINT:
      number = json_object_get_int64 (value);
      if (number < 0 || (uint64_t)number < field->min || (uint64_t)number > field->max)
        return wc_json_fail (error, doc->name, wc_json_get_line (value), field->key,
                             "must be %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT ", is %" G_GINT64_FORMAT, field->min,
                             field->max, number);
      return true;
    case WC_JSON_NUMBER:
      if (json_object_get_double (value) < (double)field->min || json_object_get_double (value) > (double)field->max)
        return wc_json_fail (error, doc->name, wc_json_get_line (value), field->key,
                             "must be %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT ", is %g", field->min, field->max,
                             json_object_get_double (value));
      return true;
    case WC_JSON_ARRAY:
      return check_count (doc, value, field, json_object_array_length (value), error);
    case WC_JSON_OBJECT:
      return check_count (doc, value, field, (size_t)json_object_object_length (value), error);
    case WC_JSON_BOOL:
      return true;
    default:
      reason = check_string (field, json_object_get_string (value));
      return !reason || wc_json_fail (error, doc->name, wc_json_get_line (value), field->key, "%s", reason);
    }
}

uint32_t
wc_json_get_line (struct json_object *value)
{
  return (uint32_t)(uintptr_t)json_object_get_userdata (value);
}

uint64_t
wc_json_get_uint (struct json_object *object, const char *key, uint64_t fallback)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value) ? (uint64_t)json_object_get_int64 (value) : fallback;
}

double
wc_json_get_number (struct json_object *object, const char *key, double fallback)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_double (value) : fallback;
}

bool
wc_json_get_bool (struct json_object *object, const char *key, bool fallback)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_boolean (value) : fallback;
}

const char *
wc_json_get_string (struct json_object *object, const char *key, const char *fallback)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : fallback;
}

void
wc_json_get_address (struct json_object *object, const char *key, WcAddress *address)
{
  const char *text = wc_json_get_string (object, key, NULL);

  if (!text || !wc_address_parse (text, address))
    memset (address, 0, sizeof *address);
}

bool
wc_json_decode_secret (const char *text, uint8_t secret[WC_KEY_BYTES])
{
  size_t      size_bytes;
  const char *end;

  assert (text != NULL);

  return sodium_base642bin (secret, WC_KEY_BYTES, text, strlen (text), NULL, &size_bytes, &end,
                            sodium_base64_VARIANT_ORIGINAL) == 0 &&
         size_bytes == WC_KEY_BYTES && *end == '\0';
}

bool
wc_json_fail (WcError *error, const char *name, uint32_t line, const char *key, const char *format, ...)
{
  char    reason[WC_ERROR_MESSAGE_BYTES];
  char    printable[WC_JSON_NAME_MAX_BYTES + 1];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (reason, sizeof reason, format, arguments);
  va_end (arguments);
  /* The key comes from the parsed text; control characters in it must not reach a terminal or a log. */
  snprintf (printable, sizeof printable, "%s", key);
  for (char *c = printable; *c != '\0'; c++)
    if (!isprint ((unsigned char)*c))
      *c = '?';
  wc_error_set (error, WC_STATUS_INVALID, "%s:%u: %s: %s", name, line, printable, reason);
  return false;
}

/* local functions */

static struct json_object *
parse_text (const char *name, char *text, size_t size_bytes, WcError *error)
{
  struct json_tokener *tokener;
  struct json_object  *root;
  size_t               offset;

  /* json-c would treat a zero byte as the end of the text. */
  offset = strlen (text);
  if (offset < size_bytes)
    {
      wc_error_set (error, WC_STATUS_PARSE, "%s:%u: zero byte in the text", name, wc_json_count_line (text, offset));
      return NULL;
    }
  offset = wc_json_blank_comments (text, size_bytes);
  if (offset < size_bytes)
    {
      wc_error_set (error, WC_STATUS_PARSE, "%s:%u: comment is not closed", name, wc_json_count_line (text, offset));
      return NULL;
    }

  /* Strict mode rejects all extensions of json-c, including comments, which were replaced by spaces above. */
  tokener = json_tokener_new_ex (MAX_DEPTH);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  root = json_tokener_parse_ex (tokener, text, (int)size_bytes + 1);
  if (json_tokener_get_error (tokener) != json_tokener_success)
    {
      offset = json_tokener_get_parse_end (tokener);
      wc_error_set (error, WC_STATUS_PARSE, "%s:%u: not valid JSON: %s", name,
                    wc_json_count_line (text, offset < size_bytes ? offset : size_bytes),
                    offset >= size_bytes ? "the text ends too early"
                                         : json_tokener_error_desc (json_tokener_get_error (tokener)));
      json_tokener_free (tokener);
      return NULL;
    }
  json_tokener_free (tokener);
  if (!json_object_is_type (root, json_type_object))
    {
      wc_error_set (error, WC_STATUS_PARSE, "%s:1: the document must be an object", name);
      json_object_put (root);
      return NULL;
    }
  if (!wc_json_record_lines (name, text, size_bytes, root, error))
    {
      json_object_put (root);
      return NULL;
    }
  return root;
}

static bool
check_type (const WcJsonDoc *doc, struct json_object *value, const WcJsonField *field, WcError *error)
{
  if (!json_object_is_type (value, TYPES[field->type]) &&
      !(field->type == WC_JSON_NUMBER && json_object_is_type (value, json_type_int)))
    return wc_json_fail (error, doc->name, wc_json_get_line (value), field->key, "%s", TYPE_ERRORS[field->type]);
  if (TYPES[field->type] == json_type_string &&
      strlen (json_object_get_string (value)) != (size_t)json_object_get_string_len (value))
    return wc_json_fail (error, doc->name, wc_json_get_line (value), field->key, "zero byte in the string");
  return true;
}

/* Reports an unknown key. If a known key differs from it only in the unit suffix, the message suggests that key. */
static bool
check_unknown (const WcJsonDoc *doc, struct json_object *value, const char *key, const WcJsonField *fields,
               size_t count, WcError *error)
{
  size_t length = strlen (key);

  for (size_t i = 0; i < count; i++)
    {
      size_t stem = length_without_unit (fields[i].key);

      if (stem > 0 && (length == stem || length_without_unit (key) == stem) && strncmp (key, fields[i].key, stem) == 0)
        return wc_json_fail (error, doc->name, wc_json_get_line (value), key,
                             "unknown key; the key with its unit is '%s'", fields[i].key);
    }
  return wc_json_fail (error, doc->name, wc_json_get_line (value), key, "unknown key");
}

static bool
check_count (const WcJsonDoc *doc, struct json_object *value, const WcJsonField *field, size_t count, WcError *error)
{
  if (count < field->min)
    return wc_json_fail (error, doc->name, wc_json_get_line (value), field->key,
                         "needs at least %" G_GUINT64_FORMAT " element%s", field->min, field->min == 1 ? "" : "s");
  if (count > field->max)
    return wc_json_fail (error, doc->name, wc_json_get_line (value), field->key,
                         "has more than %" G_GUINT64_FORMAT " elements", field->max);
  return true;
}

/* Return: the reason why @text is not valid for the field, or NULL when it is valid. */
/* Return: NULL when @text is valid, else the reason for the error message. */
static const char *
check_string (const WcJsonField *field, const char *text)
{
  uint8_t secret[WC_KEY_BYTES];

  switch (field->type)
    {
    case WC_JSON_NAME:
      return is_name (text) ? NULL
                            : "must be 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";
    case WC_JSON_ADDRESS:
    case WC_JSON_LISTEN_ADDRESS:
      return check_address (text, field->type == WC_JSON_LISTEN_ADDRESS);
    case WC_JSON_SECRET:
      return wc_json_decode_secret (text, secret) ? NULL : "must be the base64 of exactly 32 bytes";
    case WC_JSON_DIGEST:
      return is_digest (text) ? NULL : "must be 64 lower-case hexadecimal digits";
    default:
      /* WC_JSON_CHOICE; the other types are not strings. */
      for (size_t i = 0; field->choices[i]; i++)
        if (strcmp (field->choices[i], text) == 0)
          return NULL;
      return "is not one of the allowed values";
    }
}

static const char *
check_address (const char *text, bool unspecified_allowed)
{
  static const uint8_t unspecified[16];
  WcAddress            address;

  if (!wc_address_parse (text, &address))
    return "must be an IP address and a port, like 127.0.0.1:80 or [::1]:80";
  if (address.port == 0)
    return "must have a port from 1 to 65535";
  if (!unspecified_allowed && memcmp (address.ip, unspecified, address.family == 6 ? 16 : 4) == 0)
    return "must be the address of one host";
  return NULL;
}

static bool
is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > WC_JSON_NAME_MAX_BYTES || !g_ascii_isalnum (text[0]))
    return false;
  for (size_t i = 1; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && !strchr ("._-", text[i]))
      return false;
  return true;
}

static bool
is_digest (const char *text)
{
  return strlen (text) == 64 && strspn (text, "0123456789abcdef") == 64;
}

/* Return: length of a key without its unit suffix; 0 when it has no such suffix. */
static size_t
length_without_unit (const char *key)
{
  static const char *const units[] = { "_us", "_ms", "_s", "_bytes", "_percent", "_entries" };
  const char              *last = strrchr (key, '_');

  for (size_t i = 0; last && i < G_N_ELEMENTS (units); i++)
    if (strcmp (last, units[i]) == 0)
      return (size_t)(last - key);
  return 0;
}
