#include <stdio.h>

#include <json-c/json.h>

#include "cli/arguments.h"
#include "cli/http_get.h"
#include "edge/explanation_json.h"

static int         run (int argc, char **argv);
static int         explain (char **addresses, const char *route, const char *caller, gboolean json);
static void        print_explanation (struct json_object *explanation);
static void        print_host (struct json_object *host);
static const char *get_text (struct json_object *object, const char *key);
static uint64_t    get_count (struct json_object *object, const char *key);

const WcCommand WC_COMMAND_EXPLAIN = { "explain", "Show where a new flow would go now, and why; sends nothing.", run };

/* local functions */

static int
run (int argc, char **argv)
{
  static char      **addresses = NULL;
  static char       *route = NULL;
  static char       *caller = NULL;
  static gboolean    json = FALSE;
  const GOptionEntry entries[] = {
    { "operators", 'o', 0, G_OPTION_ARG_STRING_ARRAY, &addresses, "Operators' address of an instance; may be repeated",
      "ADDRESS" },
    { "route", 'r', 0, G_OPTION_ARG_STRING, &route, "Address and port that the caller connects to", "ADDRESS" },
    { "caller", 'c', 0, G_OPTION_ARG_STRING, &caller, "Address and port of the caller; that of a log line, for example",
      "ADDRESS" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL,
  };
  WcFlowKey key;
  WcError   error = { 0 };
  int       status;

  if (!wc_arguments_parse (&WC_COMMAND_EXPLAIN, NULL, entries, &argc, &argv, &status))
    return status;
  if (!addresses || !route)
    {
      fprintf (stderr, "wigeoncart explain: --operators and --route are required\n");
      return WC_EXIT_USAGE;
    }
  if (wc_explanation_json_parse_flow (route, caller, &key, &error) != WC_STATUS_OK)
    {
      fprintf (stderr, "wigeoncart explain: %s\n", error.message);
      return WC_EXIT_USAGE;
    }
  return explain (addresses, route, caller, json);
}

static int
explain (char **addresses, const char *route, const char *caller, gboolean json)
{
  char *path = g_strdup_printf ("/explain?route=%s%s%s", route, caller ? "&caller=" : "", caller ? caller : "");
  struct json_object *explanations = json_object_new_array ();
  int                 exit_code = WC_EXIT_OK;

  for (size_t i = 0; addresses[i]; i++)
    {
      const char         *error = "the answer is not JSON";
      char               *body = wc_http_get (addresses[i], path, &error);
      struct json_object *explanation = body ? json_tokener_parse (body) : NULL;

      g_free (body);
      if (explanation)
        json_object_array_add (explanations, explanation);
      else
        {
          fprintf (stderr, "wigeoncart explain: %s: %s\n", addresses[i], error);
          exit_code = WC_EXIT_ENVIRONMENT;
        }
    }
  if (json)
    printf ("%s\n", json_object_to_json_string_ext (explanations, JSON_C_TO_STRING_PRETTY));
  for (size_t i = 0; !json && i < json_object_array_length (explanations); i++)
    print_explanation (json_object_array_get_idx (explanations, i));
  json_object_put (explanations);
  g_free (path);
  return exit_code;
}

static void
print_explanation (struct json_object *explanation)
{
  struct json_object *hosts = json_object_object_get (explanation, "hosts");

  printf ("%s: %s, host %s, service %s, priority %" G_GUINT64_FORMAT ", config %" G_GUINT64_FORMAT
          ", view %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " ms ago\n",
          get_text (explanation, "instance"), get_text (explanation, "outcome"), get_text (explanation, "host"),
          get_text (explanation, "service"), get_count (explanation, "priority"), get_count (explanation, "config"),
          get_count (explanation, "view_revision"), get_count (explanation, "view_age_ms"));
  printf ("  %" G_GUINT64_FORMAT " openings wait, %" G_GUINT64_FORMAT
          " are forwarded a second, share %" G_GUINT64_FORMAT "%%\n",
          get_count (explanation, "held"), get_count (explanation, "forwards_per_s"),
          get_count (explanation, "share_percent"));
  printf ("  %-24s %-16s %-9s %-10s %12s %5s %5s %5s\n", "HOST", "DOMAIN", "STATE", "VERDICT", "EXPECTED MS", "BUSY",
          "SLOTS", "FLOWS");
  for (size_t i = 0; hosts && i < json_object_array_length (hosts); i++)
    print_host (json_object_array_get_idx (hosts, i));
}

static void
print_host (struct json_object *host)
{
  printf ("  %-24s %-16s %-9s %-10s %12.1f %5" G_GUINT64_FORMAT " %5" G_GUINT64_FORMAT " %5" G_GUINT64_FORMAT "\n",
          get_text (host, "host"), get_text (host, "domain"), get_text (host, "state"), get_text (host, "verdict"),
          (double)get_count (host, "expected_us") / 1000, get_count (host, "busy"), get_count (host, "slots"),
          get_count (host, "own_flows"));
}

static const char *
get_text (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  return value ? json_object_get_string (value) : "-";
}

static uint64_t
get_count (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  return value ? json_object_get_uint64 (value) : 0;
}
