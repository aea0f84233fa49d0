#include "emulator/emulator_json.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

struct json_object *
wc_emulator_json_parse (const char *name, const char *text, size_t size_bytes, WcError *error)
{
  struct json_tokener    *tokener = json_tokener_new ();
  struct json_object     *object = json_tokener_parse_ex (tokener, text, (int)size_bytes);
  enum json_tokener_error result = json_tokener_get_error (tokener);

  json_tokener_free (tokener);
  if (result == json_tokener_success && json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  wc_error_set (error, WC_STATUS_PARSE, "%s: %s", name,
                result == json_tokener_success ? "not an object" : json_tokener_error_desc (result));
  return NULL;
}

struct json_object *
wc_emulator_json_load (const char *path, WcError *error)
{
  struct json_object *object;
  GError             *reason = NULL;
  char               *text;
  gsize               size_bytes;

  if (!g_file_get_contents (path, &text, &size_bytes, &reason))
    {
      wc_error_set (error, WC_STATUS_NOT_FOUND, "%s", reason->message);
      g_error_free (reason);
      return NULL;
    }
  object = wc_emulator_json_parse (path, text, size_bytes, error);
  g_free (text);
  return object;
}

const char *
wc_emulator_json_get_string (struct json_object *object, const char *key, const char *default_value)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value) || !json_object_is_type (value, json_type_string))
    return default_value;
  return json_object_get_string (value);
}

int64_t
wc_emulator_json_get_int (struct json_object *object, const char *key, int64_t default_value)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value) || !json_object_is_type (value, json_type_int))
    return default_value;
  return json_object_get_int64 (value);
}

double
wc_emulator_json_get_double (struct json_object *object, const char *key, double default_value)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, key, &value) ||
      (!json_object_is_type (value, json_type_int) && !json_object_is_type (value, json_type_double)))
    return default_value;
  return json_object_get_double (value);
}

void
wc_emulator_json_add_uint (struct json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_uint64 (value));
}

void
wc_emulator_json_respond (WcHttpExchange *exchange, int status, struct json_object *object)
{
  const char *text = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);

  wc_http_exchange_respond (exchange, status, "Content-Type: application/json\r\n", text, strlen (text));
  json_object_put (object);
}

void
wc_emulator_json_respond_error (WcHttpExchange *exchange, int status, const char *message)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "error", json_object_new_string (message));
  wc_emulator_json_respond (exchange, status, object);
}
