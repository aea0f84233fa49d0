#include <stdio.h>

#include <json-c/json.h>

#include "cli/arguments.h"
#include "cli/http_get.h"

static int                 run (int argc, char **argv);
static int                 print_statuses (char **addresses, gboolean json);
static void                print_header (void);
static void                print_row (struct json_object *status);
static void                print_rejection (struct json_object *status);
static void                print_evacuation (struct json_object *status);
static const char         *get_text (struct json_object *object, const char *key);
static uint64_t            get_count (struct json_object *object, const char *key);
static struct json_object *get_object (struct json_object *object, const char *key);

const WcCommand WC_COMMAND_STATUS = { "status", "Show lifecycle, configuration and members of instances.", run };

/* local functions */

static int
run (int argc, char **argv)
{
  static char      **addresses = NULL;
  static gboolean    json = FALSE;
  const GOptionEntry entries[] = {
    { "operators", 'o', 0, G_OPTION_ARG_STRING_ARRAY, &addresses, "Operators' address of an instance; may be repeated",
      "ADDRESS" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  int status;

  if (!wc_arguments_parse (&WC_COMMAND_STATUS, NULL, entries, &argc, &argv, &status))
    return status;
  if (!addresses)
    {
      fprintf (stderr, "wigeoncart status: --operators is required\n");
      return WC_EXIT_USAGE;
    }
  status = print_statuses (addresses, json);
  g_strfreev (addresses);
  addresses = NULL;
  return status;
}

static int
print_statuses (char **addresses, gboolean json)
{
  struct json_object *statuses = json_object_new_array ();
  int                 exit_code = WC_EXIT_OK;

  for (size_t i = 0; addresses[i]; i++)
    {
      const char         *error = "the answer is not JSON";
      char               *body = wc_http_get (addresses[i], "/status", &error);
      struct json_object *status = body ? json_tokener_parse (body) : NULL;

      g_free (body);
      if (!status)
        {
          fprintf (stderr, "wigeoncart status: %s: %s\n", addresses[i], error);
          exit_code = WC_EXIT_ENVIRONMENT;
          continue;
        }
      json_object_array_add (statuses, status);
    }
  if (json)
    printf ("%s\n", json_object_to_json_string_ext (statuses, JSON_C_TO_STRING_PRETTY));
  else if (json_object_array_length (statuses) > 0)
    {
      print_header ();
      for (size_t i = 0; i < json_object_array_length (statuses); i++)
        print_row (json_object_array_get_idx (statuses, i));
      for (size_t i = 0; i < json_object_array_length (statuses); i++)
        print_rejection (json_object_array_get_idx (statuses, i));
      for (size_t i = 0; i < json_object_array_length (statuses); i++)
        print_evacuation (json_object_array_get_idx (statuses, i));
    }
  json_object_put (statuses);
  return exit_code;
}

static void
print_header (void)
{
  printf ("%-16s %-12s %-13s %-5s %8s %-8s %9s %9s %-7s %-6s %5s %9s %6s\n", "INSTANCE", "DOMAIN", "LIFECYCLE", "READY",
          "REVISION", "DIGEST", "IN FORCE", "CONFIRMED", "PLATFORM", "READER", "LINKS", "MEMBERS", "QUEUED");
}

static void
print_row (struct json_object *status)
{
  struct json_object *config = get_object (status, "config");
  struct json_object *members = get_object (status, "members");
  struct json_object *workers = get_object (status, "workers");
  char                live_text[32];
  size_t              live_count = 0;
  size_t              count = members ? json_object_array_length (members) : 0;
  uint64_t            queued = 0;

  for (size_t i = 0; i < count; i++)
    if (g_strcmp0 (get_text (json_object_array_get_idx (members, i), "state"), "live") == 0)
      live_count++;
  for (size_t i = 0; workers && i < json_object_array_length (workers); i++)
    queued += get_count (json_object_array_get_idx (workers, i), "queued");
  g_snprintf (live_text, sizeof live_text, "%zu/%zu", live_count, count);
  printf ("%-16s %-12s %-13s %-5s %8" G_GUINT64_FORMAT " %-8.8s %7" G_GUINT64_FORMAT " s %6" G_GUINT64_FORMAT
          " ms %-8s %-6s %5" G_GUINT64_FORMAT " %9s %6" G_GUINT64_FORMAT "\n",
          get_text (status, "instance"), get_text (status, "domain"), get_text (status, "lifecycle"),
          json_object_get_boolean (get_object (status, "ready")) ? "yes" : "no", get_count (config, "revision"),
          get_text (config, "digest"), get_count (config, "in_force_ms") / 1000, get_count (config, "confirmed_ms_ago"),
          get_text (status, "platform"), json_object_get_boolean (get_object (status, "reader")) ? "yes" : "no",
          get_count (status, "links"), live_text, queued);
}

static void
print_rejection (struct json_object *status)
{
  struct json_object *rejection = get_object (get_object (status, "config"), "last_rejection");

  if (rejection)
    printf ("%s rejected revision %" G_GUINT64_FORMAT ": %s\n", get_text (status, "instance"),
            get_count (rejection, "revision"), get_text (rejection, "reason"));
}

static void
print_evacuation (struct json_object *status)
{
  struct json_object *domains = get_object (status, "evacuated_domains");

  for (size_t i = 0; domains && i < json_object_array_length (domains); i++)
    {
      struct json_object *domain = json_object_array_get_idx (domains, i);

      printf ("%s has evacuated domain %s at revision %" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT " s ago\n",
              get_text (status, "instance"), get_text (domain, "domain"), get_count (domain, "revision"),
              get_count (domain, "since_ms_ago") / 1000);
    }
}

static const char *
get_text (struct json_object *object, const char *key)
{
  struct json_object *value = get_object (object, key);

  return value ? json_object_get_string (value) : "-";
}

static uint64_t
get_count (struct json_object *object, const char *key)
{
  struct json_object *value = get_object (object, key);

  return value ? json_object_get_uint64 (value) : 0;
}

static struct json_object *
get_object (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (object)
    json_object_object_get_ex (object, key, &value);
  return value;
}
