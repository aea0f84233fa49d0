#include "cli/load_report.h"

#include <assert.h>
#include <string.h>

#include <json-c/json.h>

enum
{
  /* Limits the memory of a long run. Calls beyond it are counted, but their latencies are not in the percentiles. */
  LATENCIES_MAX = 4000000
};

static const char *const COUNT_KEYS[WC_LOAD_COUNT_COUNT] = {
#define COUNT_KEY(name, key) [WC_LOAD_COUNT_##name] = (key),
  WC_LOAD_COUNT_LIST (COUNT_KEY)
#undef COUNT_KEY
};

typedef struct
{
  uint64_t calls;
  uint64_t on_time;
} CustomerCounts;

static void add_latencies (struct json_object *object, WcLoadKind kind, GArray *latencies_us);
static int  compare_latencies (const void *a, const void *b);

void
wc_load_report_init (WcLoadReport *report)
{
  assert (report != NULL);

  memset (report, 0, sizeof *report);
  for (int kind = 0; kind < WC_LOAD_KIND_COUNT; kind++)
    report->latencies_us[kind] = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  report->customers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
wc_load_report_finish (WcLoadReport *report)
{
  assert (report != NULL);

  for (int kind = 0; kind < WC_LOAD_KIND_COUNT; kind++)
    g_array_free (report->latencies_us[kind], TRUE);
  g_hash_table_destroy (report->customers);
}

void
wc_load_report_count (WcLoadReport *report, WcLoadKind kind, const char *customer, bool on_time, uint64_t latency_us)
{
  CustomerCounts *counts;
  uint32_t        value = (uint32_t)MIN (latency_us, UINT32_MAX);

  assert (report != NULL);
  assert (customer != NULL);

  counts = g_hash_table_lookup (report->customers, customer);
  if (!counts)
    {
      counts = g_new0 (CustomerCounts, 1);
      g_hash_table_insert (report->customers, g_strdup (customer), counts);
    }
  counts->calls++;
  if (!on_time)
    return;
  counts->on_time++;
  if (report->latencies_us[kind]->len < LATENCIES_MAX)
    g_array_append_val (report->latencies_us[kind], value);
}

void
wc_load_report_print (WcLoadReport *report, FILE *stream, double seconds)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *customers = json_object_new_object ();
  struct json_object *latencies = json_object_new_object ();
  GHashTableIter      iter;
  void               *name;
  void               *value;

  assert (report != NULL);
  assert (stream != NULL);

  for (int i = 0; i < WC_LOAD_COUNT_COUNT; i++)
    json_object_object_add (object, COUNT_KEYS[i], json_object_new_uint64 (report->counts[i]));
  for (int kind = 0; kind < WC_LOAD_STREAM; kind++)
    add_latencies (latencies, (WcLoadKind)kind, report->latencies_us[kind]);
  json_object_object_add (object, "latency_ms", latencies);
  g_hash_table_iter_init (&iter, report->customers);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const CustomerCounts *counts = value;
      struct json_object   *entry = json_object_new_object ();

      json_object_object_add (entry, "calls", json_object_new_uint64 (counts->calls));
      json_object_object_add (entry, "on_time", json_object_new_uint64 (counts->on_time));
      json_object_object_add (customers, name, entry);
    }
  json_object_object_add (object, "customers", customers);
  json_object_object_add (object, "seconds", json_object_new_double (seconds));
  fprintf (stream, "%s\n", json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  fflush (stream);
  json_object_put (object);
}

/* local functions */

static void
add_latencies (struct json_object *object, WcLoadKind kind, GArray *latencies_us)
{
  static const struct
  {
    const char *key;
    double      share;
  } percentiles[] = { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "p999", 0.999 }, { "max", 1 } };
  struct json_object *entry;

  if (latencies_us->len == 0)
    return;
  entry = json_object_new_object ();
  g_array_sort (latencies_us, compare_latencies);
  for (size_t i = 0; i < G_N_ELEMENTS (percentiles); i++)
    {
      guint index = (guint)(percentiles[i].share * (latencies_us->len - 1) + 0.5);

      json_object_object_add (entry, percentiles[i].key,
                              json_object_new_double (g_array_index (latencies_us, uint32_t, index) / 1000.0));
    }
  json_object_object_add (object, WC_LOAD_KIND_STRINGS[kind], entry);
}

static int
compare_latencies (const void *a, const void *b)
{
  const uint32_t *x = a;
  const uint32_t *y = b;

  return *x < *y ? -1 : *x > *y;
}
