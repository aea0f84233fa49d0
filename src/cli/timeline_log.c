#include "cli/timeline_log.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

/*
 * A line of a structured log.
 * @logical: logical clock of the line.
 * @position: position in the input, which orders lines of one process with equal clocks.
 */
typedef struct
{
  struct json_object *object;
  uint64_t            logical;
  uint64_t            time_us;
  guint               position;
} Line;

static bool        read_file (const char *name, GArray *lines);
static void        read_line (char *text, GArray *lines);
static bool        matches (struct json_object *object, const WcTimelineLogFilter *filter);
static bool        matches_flow (const char *flow, const char *pattern);
static const char *get_text (struct json_object *object, const char *key);
static int         compare_lines (gconstpointer a, gconstpointer b);
static void        clear_line (gpointer data);

bool
wc_timeline_log_print (char **files, const WcTimelineLogFilter *filter)
{
  GArray *lines = g_array_new (FALSE, FALSE, sizeof (Line));
  bool    all_read = true;

  g_array_set_clear_func (lines, clear_line);
  for (char **file = files; *file; file++)
    all_read = read_file (*file, lines) && all_read;
  g_array_sort (lines, compare_lines);
  for (guint i = 0; i < lines->len; i++)
    {
      struct json_object *object = g_array_index (lines, Line, i).object;

      if (matches (object, filter))
        printf ("%s\n",
                json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    }
  g_array_free (lines, TRUE);
  return all_read;
}

/* local functions */

static bool
read_file (const char *name, GArray *lines)
{
  FILE  *file = strcmp (name, "-") == 0 ? stdin : fopen (name, "r");
  char  *text = NULL;
  size_t capacity = 0;

  if (!file)
    {
      perror (name);
      return false;
    }
  while (getline (&text, &capacity, file) >= 0)
    read_line (text, lines);
  g_free (text);
  if (file != stdin)
    fclose (file);
  return true;
}

static void
read_line (char *text, GArray *lines)
{
  char               *start = strchr (text, '{');
  struct json_object *object = start ? json_tokener_parse (start) : NULL;
  struct json_object *logical;
  struct json_object *time;
  Line                line;

  if (!object)
    return;
  if (!json_object_object_get_ex (object, "logical", &logical) || !json_object_object_get_ex (object, "time_us", &time))
    {
      json_object_put (object);
      return;
    }
  line = (Line){ object, json_object_get_uint64 (logical), json_object_get_uint64 (time), lines->len };
  g_array_append_val (lines, line);
}

static bool
matches (struct json_object *object, const WcTimelineLogFilter *filter)
{
  const char *flow = get_text (object, "flow");
  const char *host = get_text (object, "host");

  return (!filter->flow || (flow && matches_flow (flow, filter->flow))) &&
         (!filter->host || (host && strcmp (host, filter->host) == 0)) &&
         (!filter->instance || g_strcmp0 (get_text (object, "instance"), filter->instance) == 0) &&
         (!filter->event || g_strcmp0 (get_text (object, "event"), filter->event) == 0);
}

static bool
matches_flow (const char *flow, const char *pattern)
{
  size_t length = strlen (pattern);

  return strncmp (flow, pattern, length) == 0 && (flow[length] == '\0' || flow[length] == '>');
}

static const char *
get_text (struct json_object *object, const char *key)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : NULL;
}

static int
compare_lines (gconstpointer a, gconstpointer b)
{
  const Line *first = a;
  const Line *second = b;

  if (first->logical != second->logical)
    return first->logical < second->logical ? -1 : 1;
  if (first->time_us != second->time_us)
    return first->time_us < second->time_us ? -1 : 1;
  return (first->position > second->position) - (first->position < second->position);
}

static void
clear_line (gpointer data)
{
  json_object_put (((Line *)data)->object);
}
