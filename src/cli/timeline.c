#include <stdio.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include <wigeoncart/name_id.h>

#include "cli/arguments.h"
#include "cli/http_get.h"
#include "cli/timeline_log.h"
#include "core/timeline.h"

typedef struct
{
  char   **addresses;
  char   **logs;
  char    *host;
  char    *flow;
  char    *request;
  char    *instance;
  char    *kind;
  char    *service;
  gint     max;
  gboolean json;
} Options;

static int                 run (int argc, char **argv);
static bool                parse_filter (const Options *options, WcTimelineFilter *filter);
static bool                parse_id (const char *option, const char *text, uint64_t *id);
static int                 collect (const Options *options, WcTimeline *timeline, GHashTable *names);
static bool                add_events (WcTimeline *timeline, GHashTable *names, const char *body);
static void                add_event (WcTimeline *timeline, const char *instance, struct json_object *object);
static uint64_t            get_hex (struct json_object *object, const char *key);
static struct json_object *get_object (struct json_object *object, const char *key);
static void                print_text (const GPtrArray *entries, GHashTable *names);
static void                print_name (GHashTable *names, const char *what, uint32_t id);
static void                print_json (const GPtrArray *entries, GHashTable *names, const char *explanation);
static struct json_object *entry_to_json (const WcTimelineEntry *entry);
static void                options_clear (Options *options);

const WcCommand WC_COMMAND_TIMELINE = { "timeline",
                                        "Merge the events of instances in causal order; explain refusals and moves.",
                                        run };

/* local functions */

static int
run (int argc, char **argv)
{
  static Options     options;
  const GOptionEntry entries[] = {
    { "operators", 'o', 0, G_OPTION_ARG_STRING_ARRAY, &options.addresses,
      "Operators' address of an instance; may be repeated", "ADDRESS" },
    { "log", 'l', 0, G_OPTION_ARG_FILENAME_ARRAY, &options.logs,
      "Structured log of instances that forward packets, - for standard input; may be repeated", "FILE" },
    { "flow", 0, 0, G_OPTION_ARG_STRING, &options.flow, "Only events of this flow; in logs, caller's address and port",
      "HEX" },
    { "host", 0, 0, G_OPTION_ARG_STRING, &options.host, "Only lines of a log on this host", "HEX" },
    { "request", 0, 0, G_OPTION_ARG_STRING, &options.request, "Only events of this request", "HEX" },
    { "instance", 0, 0, G_OPTION_ARG_STRING, &options.instance, "Only events of this instance", "NAME" },
    { "kind", 0, 0, G_OPTION_ARG_STRING, &options.kind, "Only events of this kind", "KIND" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &options.service, "Only events of this service", "NAME" },
    { "max", 0, 0, G_OPTION_ARG_INT, &options.max, "Newest events to ask each instance for (default 1000)", "COUNT" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options.json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  WcTimelineFilter filter;
  WcTimeline      *timeline;
  GPtrArray       *selected;
  GHashTable      *names;
  char            *explanation = NULL;
  int              status;

  if (!wc_arguments_parse (&WC_COMMAND_TIMELINE, NULL, entries, &argc, &argv, &status))
    return status;
  if (options.logs)
    {
      const WcTimelineLogFilter log_filter = { options.flow, options.host, options.instance, options.kind };

      status = wc_timeline_log_print (options.logs, &log_filter) ? WC_EXIT_OK : WC_EXIT_USAGE;
      options_clear (&options);
      return status;
    }
  if (!options.addresses || !parse_filter (&options, &filter))
    {
      if (!options.addresses)
        fprintf (stderr, "wigeoncart timeline: --operators or --log is missing\n");
      options_clear (&options);
      return WC_EXIT_USAGE;
    }
  timeline = wc_timeline_new ();
  names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  status = collect (&options, timeline, names);
  wc_timeline_sort (timeline);
  selected = wc_timeline_select (timeline, &filter);
  if (filter.flow != 0 || filter.request_id != 0)
    explanation = wc_timeline_explain (timeline, &filter);
  if (options.json)
    print_json (selected, names, explanation);
  else
    {
      print_text (selected, names);
      if (explanation)
        printf ("\n%s", explanation);
    }
  g_free (explanation);
  g_hash_table_destroy (names);
  g_ptr_array_unref (selected);
  wc_timeline_delete (timeline);
  options_clear (&options);
  return status;
}

static bool
parse_filter (const Options *options, WcTimelineFilter *filter)
{
  memset (filter, 0, sizeof *filter);
  filter->kind = WC_EVENT_COUNT;
  filter->instance = options->instance;
  filter->service = options->service ? wc_name_id32 (options->service) : 0;
  if (options->kind && !wc_timeline_parse_kind (options->kind, &filter->kind))
    {
      fprintf (stderr, "wigeoncart timeline: unknown kind '%s'; the kinds are:", options->kind);
      for (int i = 0; i < WC_EVENT_COUNT; i++)
        fprintf (stderr, "%s %s", i > 0 ? "," : "", WC_EVENT_STRINGS[i]);
      fprintf (stderr, "\n");
      return false;
    }
  return parse_id ("--flow", options->flow, &filter->flow) &&
         parse_id ("--request", options->request, &filter->request_id);
}

static bool
parse_id (const char *option, const char *text, uint64_t *id)
{
  guint64 value;

  if (!text)
    return true;
  if (!g_ascii_string_to_unsigned (text, 16, 1, G_MAXUINT64, &value, NULL))
    {
      fprintf (stderr, "wigeoncart timeline: %s: '%s' is not a hexadecimal number above 0\n", option, text);
      return false;
    }
  *id = value;
  return true;
}

static int
collect (const Options *options, WcTimeline *timeline, GHashTable *names)
{
  char *path = g_strdup_printf ("/events?max=%d", options->max > 0 ? options->max : 1000);
  int   exit_code = WC_EXIT_OK;

  for (size_t i = 0; options->addresses[i]; i++)
    {
      const char *error = NULL;
      char       *body = wc_http_get (options->addresses[i], path, &error);

      if (!body || !add_events (timeline, names, body))
        {
          fprintf (stderr, "wigeoncart timeline: %s: %s\n", options->addresses[i], error ? error : "not JSON");
          exit_code = WC_EXIT_ENVIRONMENT;
        }
      g_free (body);
    }
  g_free (path);
  return exit_code;
}

static bool
add_events (WcTimeline *timeline, GHashTable *names, const char *body)
{
  struct json_object *root = json_tokener_parse (body);
  struct json_object *instance = get_object (root, "instance");
  struct json_object *events = get_object (root, "events");
  struct json_object *translations = get_object (root, "names");
  bool                valid = instance && events && json_object_is_type (events, json_type_array);

  if (translations)
    {
      json_object_object_foreach (translations, key, value)
      {
        g_hash_table_insert (names, g_strdup (key), g_strdup (json_object_get_string (value)));
      }
    }

  for (size_t i = 0; valid && i < json_object_array_length (events); i++)
    add_event (timeline, json_object_get_string (instance), json_object_array_get_idx (events, i));
  json_object_put (root);
  return valid;
}

static void
add_event (WcTimeline *timeline, const char *instance, struct json_object *object)
{
  WcEvent             event = { 0 };
  struct json_object *kind = get_object (object, "kind");
  struct json_object *worker = get_object (object, "worker");
  struct json_object *reason = get_object (object, "reason");

  if (!kind || !wc_timeline_parse_kind (json_object_get_string (kind), &event.kind))
    return;
  event.logical = json_object_get_uint64 (get_object (object, "logical"));
  event.wall_us = json_object_get_uint64 (get_object (object, "wall_us"));
  event.value = json_object_get_uint64 (get_object (object, "value"));
  event.service = (uint32_t)get_hex (object, "service");
  event.target = (uint32_t)get_hex (object, "target");
  event.flow = get_hex (object, "flow");
  event.request_id = get_hex (object, "request");
  event.reason = reason ? json_object_get_string (reason) : NULL;
  wc_timeline_add (timeline, instance, worker ? json_object_get_int (worker) : -1, &event);
}

static uint64_t
get_hex (struct json_object *object, const char *key)
{
  struct json_object *value = get_object (object, key);

  return value ? g_ascii_strtoull (json_object_get_string (value), NULL, 16) : 0;
}

static struct json_object *
get_object (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (object && json_object_is_type (object, json_type_object))
    json_object_object_get_ex (object, key, &value);
  return value;
}

static void
print_text (const GPtrArray *entries, GHashTable *names)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const WcTimelineEntry *entry = entries->pdata[i];
      const WcEvent         *event = &entry->event;
      time_t                 seconds = (time_t)(event->wall_us / 1000000);
      struct tm              time;
      char                   text[32];

      gmtime_r (&seconds, &time);
      strftime (text, sizeof text, "%H:%M:%S", &time);
      printf ("%8" G_GUINT64_FORMAT " %s.%06u %-16s ", event->logical, text, (unsigned)(event->wall_us % 1000000),
              entry->instance);
      if (entry->worker >= 0)
        printf ("w%-3d", entry->worker);
      else
        printf ("ctl ");
      printf (" %-18s", WC_EVENT_STRINGS[event->kind]);
      if (event->service != 0)
        print_name (names, "service", event->service);
      if (event->target != 0)
        print_name (names, "target", event->target);
      if (event->flow != 0)
        printf (" flow=%016" G_GINT64_MODIFIER "x", event->flow);
      if (event->request_id != 0)
        printf (" request=%016" G_GINT64_MODIFIER "x", event->request_id);
      if (event->value != 0)
        printf (" value=%" G_GUINT64_FORMAT, event->value);
      printf ("%s%s\n", event->reason ? " " : "", event->reason ? event->reason : "");
    }
}

/* Prints the name as in the register, or the identifier when the register in force does not have it. */
static void
print_name (GHashTable *names, const char *what, uint32_t id)
{
  char        key[9];
  const char *name;

  g_snprintf (key, sizeof key, "%08x", id);
  name = g_hash_table_lookup (names, key);
  printf (" %s=%s", what, name ? name : key);
}

static void
print_json (const GPtrArray *entries, GHashTable *names, const char *explanation)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  struct json_object *translations = json_object_new_object ();
  GHashTableIter      iter;
  gpointer            key;
  gpointer            value;

  for (guint i = 0; i < entries->len; i++)
    json_object_array_add (list, entry_to_json (entries->pdata[i]));
  json_object_object_add (root, "events", list);
  g_hash_table_iter_init (&iter, names);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_object_add (translations, key, json_object_new_string (value));
  json_object_object_add (root, "names", translations);
  if (explanation)
    json_object_object_add (root, "explanation", json_object_new_string (explanation));
  printf ("%s\n", json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
  json_object_put (root);
}

static struct json_object *
entry_to_json (const WcTimelineEntry *entry)
{
  struct json_object *object = json_object_new_object ();
  const WcEvent      *event = &entry->event;
  const struct
  {
    const char *key;
    int         digits;
    uint64_t    value;
  } ids[] = {
    { "service", 8, event->service },
    { "target", 8, event->target },
    { "flow", 16, event->flow },
    { "request", 16, event->request_id },
  };

  json_object_object_add (object, "logical", json_object_new_uint64 (event->logical));
  json_object_object_add (object, "wall_us", json_object_new_uint64 (event->wall_us));
  json_object_object_add (object, "instance", json_object_new_string (entry->instance));
  if (entry->worker >= 0)
    json_object_object_add (object, "worker", json_object_new_int (entry->worker));
  json_object_object_add (object, "kind", json_object_new_string (WC_EVENT_STRINGS[event->kind]));
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    if (ids[i].value != 0)
      {
        char text[17];

        g_snprintf (text, sizeof text, "%0*" G_GINT64_MODIFIER "x", ids[i].digits, ids[i].value);
        json_object_object_add (object, ids[i].key, json_object_new_string (text));
      }
  json_object_object_add (object, "value", json_object_new_uint64 (event->value));
  if (event->reason)
    json_object_object_add (object, "reason", json_object_new_string (event->reason));
  return object;
}

static void
options_clear (Options *options)
{
  g_strfreev (options->logs);
  g_free (options->host);
  g_strfreev (options->addresses);
  g_free (options->flow);
  g_free (options->request);
  g_free (options->instance);
  g_free (options->kind);
  g_free (options->service);
  memset (options, 0, sizeof *options);
}
