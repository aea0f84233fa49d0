#include "core/json_lines.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "core/json_doc.h"

/* Position in a text. json-c has accepted the text already, so that the scan checks bounds, but no syntax. */
typedef struct
{
  const char *at;
  const char *end;
  uint32_t    line;
  const char *name;
  WcError    *error;
} Cursor;

static bool is_space (char c);
static void skip_space (Cursor *cursor);
static void skip_string (Cursor *cursor);
static void skip_value (Cursor *cursor);
static bool scan_value (Cursor *cursor, struct json_object *value, const char *key);
static bool scan_object (Cursor *cursor, struct json_object *object);
static bool scan_array (Cursor *cursor, struct json_object *array, const char *key);
static bool check_keys (Cursor cursor, struct json_object *object);

size_t
wc_json_blank_comments (char *text, size_t size_bytes)
{
  size_t i = 0;

  assert (text != NULL);

  while (i < size_bytes)
    if (text[i] == '"')
      {
        for (i++; i < size_bytes && text[i] != '"'; i++)
          if (text[i] == '\\' && i + 1 < size_bytes)
            i++;
        i++;
      }
    else if (text[i] == '/' && i + 1 < size_bytes && text[i + 1] == '/')
      while (i < size_bytes && text[i] != '\n')
        text[i++] = ' ';
    else if (text[i] == '/' && i + 1 < size_bytes && text[i + 1] == '*')
      {
        const char *close = memmem (text + i + 2, size_bytes - i - 2, "*/", 2);

        if (!close)
          return i;
        for (const char *stop = close + 2; text + i < stop; i++)
          if (text[i] != '\n')
            text[i] = ' ';
      }
    else
      i++;
  return size_bytes;
}

uint32_t
wc_json_count_line (const char *text, size_t offset)
{
  uint32_t line = 1;

  for (size_t i = 0; i < offset; i++)
    if (text[i] == '\n')
      line++;
  return line;
}

bool
wc_json_record_lines (const char *name, const char *text, size_t size_bytes, struct json_object *root, WcError *error)
{
  Cursor cursor = { text, text + size_bytes, 1, name, error };

  assert (name != NULL);
  assert (text != NULL);

  return scan_value (&cursor, root, "document");
}

/* local functions */

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static void
skip_space (Cursor *cursor)
{
  for (; cursor->at < cursor->end && is_space (*cursor->at); cursor->at++)
    if (*cursor->at == '\n')
      cursor->line++;
}

static void
skip_string (Cursor *cursor)
{
  for (cursor->at++; cursor->at < cursor->end && *cursor->at != '"'; cursor->at++)
    if (*cursor->at == '\\' && cursor->at + 1 < cursor->end)
      cursor->at++;
    else if (*cursor->at == '\n')
      cursor->line++;
  if (cursor->at < cursor->end)
    cursor->at++;
}

/* Skips a value of any type, with its nested values. */
static void
skip_value (Cursor *cursor)
{
  int depth = 0;

  while (cursor->at < cursor->end)
    {
      char c = *cursor->at;

      if (depth == 0 && (c == ',' || c == ']' || c == '}'))
        return;
      if (c == '"')
        {
          skip_string (cursor);
          continue;
        }
      if (c == '{' || c == '[')
        depth++;
      else if (c == '}' || c == ']')
        depth--;
      else if (c == '\n')
        cursor->line++;
      cursor->at++;
    }
}

static bool
scan_value (Cursor *cursor, struct json_object *value, const char *key)
{
  skip_space (cursor);
  if (!value)
    return wc_json_fail (cursor->error, cursor->name, cursor->line, key, "null is not allowed");
  json_object_set_userdata (value, (void *)(uintptr_t)cursor->line, NULL);
  switch (json_object_get_type (value))
    {
    case json_type_object:
      return scan_object (cursor, value);
    case json_type_array:
      return scan_array (cursor, value, key);
    default:
      skip_value (cursor);
      return true;
    }
}

static bool
scan_object (Cursor *cursor, struct json_object *object)
{
  if (!check_keys (*cursor, object))
    return false;
  cursor->at++;
  json_object_object_foreach (object, key, value)
  {
    skip_space (cursor);
    skip_string (cursor);
    skip_space (cursor);
    /* The colon. */
    cursor->at++;
    if (!scan_value (cursor, value, key))
      return false;
    skip_space (cursor);
    /* The comma or the closing brace. */
    cursor->at++;
  }
  if (json_object_object_length (object) == 0)
    {
      skip_space (cursor);
      cursor->at++;
    }
  return true;
}

static bool
scan_array (Cursor *cursor, struct json_object *array, const char *key)
{
  size_t count = json_object_array_length (array);

  cursor->at++;
  for (size_t i = 0; i < count; i++)
    {
      if (!scan_value (cursor, json_object_array_get_idx (array, i), key))
        return false;
      skip_space (cursor);
      cursor->at++;
    }
  if (count == 0)
    {
      skip_space (cursor);
      cursor->at++;
    }
  return true;
}

/*
 * Detects duplicate keys. json-c keeps the last value of a duplicate key, at the position of the first. The keys in the
 * text are compared with those of the object in order, so that the first difference is the first duplicate. The check
 * runs before the values are scanned, because text and object have the same structure only without duplicates.
 */
static bool
check_keys (Cursor cursor, struct json_object *object)
{
  struct json_object_iterator at = json_object_iter_begin (object);
  struct json_object_iterator end = json_object_iter_end (object);

  cursor.at++;
  for (skip_space (&cursor); cursor.at < cursor.end && *cursor.at == '"'; skip_space (&cursor))
    {
      const char *key = cursor.at + 1;
      uint32_t    line = cursor.line;
      size_t      length;

      skip_string (&cursor);
      length = (size_t)(cursor.at - key - 1);
      if (memchr (key, '\\', length))
        return wc_json_fail (cursor.error, cursor.name, line, "document", "escapes are not allowed in keys");
      if (json_object_iter_equal (&at, &end) || strlen (json_object_iter_peek_name (&at)) != length ||
          memcmp (json_object_iter_peek_name (&at), key, length) != 0)
        {
          char text[WC_JSON_NAME_MAX_BYTES + 1];

          snprintf (text, sizeof text, "%.*s", (int)(length < sizeof text ? length : sizeof text - 1), key);
          return wc_json_fail (cursor.error, cursor.name, line, text, "duplicate key");
        }
      json_object_iter_next (&at);
      skip_space (&cursor);
      cursor.at++;
      skip_space (&cursor);
      skip_value (&cursor);
      if (cursor.at < cursor.end && *cursor.at == ',')
        cursor.at++;
    }
  return true;
}
