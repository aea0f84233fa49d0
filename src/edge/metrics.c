#include "edge/metrics.h"

#include <assert.h>

#include <glib.h>
#include <json-c/json.h>

#include <wigeoncart/event.h>

typedef struct
{
  WcEvent event;
  int     worker;
} Entry;

static void collect_events (const WcEventRing *ring, int worker, uint64_t after, size_t max, GArray *entries);
static int  compare_entries (gconstpointer a, gconstpointer b);
static struct json_object *entry_to_json (const Entry *entry);
static void                add_names (struct json_object *names, const WcRegister *reg, const WcEvent *event);
static void                add_hex (struct json_object *object, const char *key, uint64_t value, int digits);
static void                add_gauge (GString *text, const char *name, const char *help, uint64_t value);

char *
wc_metrics_text (const WcControlThread *thread)
{
  GString    *text = g_string_new (NULL);
  WcNodeStats sum = { 0 };
  size_t      workers = wc_control_thread_get_worker_count (thread);

  for (int counter = 0; counter < WC_COUNTER_COUNT; counter++)
    {
      const char *name = wc_counters_get_name ((WcCounter)counter);
      uint64_t    value = wc_counters_get (wc_control_thread_get_counters (thread), (WcCounter)counter);

      for (size_t i = 0; i < workers; i++)
        value +=
            wc_counters_get (wc_worker_get_counters (wc_control_thread_get_worker (thread, i)), (WcCounter)counter);
      g_string_append_printf (
          text, "# HELP wigeoncart_%s %s\n# TYPE wigeoncart_%s counter\nwigeoncart_%s %" G_GUINT64_FORMAT "\n", name,
          wc_counters_get_help ((WcCounter)counter), name, name, value);
    }
  for (size_t i = 0; i < workers; i++)
    {
      WcNodeStats stats = { 0 };

      wc_worker_get_stats (wc_control_thread_get_worker (thread, i), &stats);
      sum.requests += stats.requests;
      sum.queued += stats.queued;
      sum.ledger_entries += stats.ledger_entries;
      sum.answers += stats.answers;
      sum.answer_bytes += stats.answer_bytes;
      sum.waiters += stats.waiters;
    }
  add_gauge (text, "requests", "Requests held.", sum.requests);
  add_gauge (text, "queued", "Requests that wait for a slot.", sum.queued);
  add_gauge (text, "ledger_entries", "Used tickets remembered.", sum.ledger_entries);
  add_gauge (text, "answers", "Answers held.", sum.answers);
  add_gauge (text, "answer_bytes", "Bytes of held answers.", sum.answer_bytes);
  add_gauge (text, "stream_waiters", "Callers that wait for events.", sum.waiters);
  return g_string_free (text, FALSE);
}

char *
wc_events_json (WcControlThread *thread, uint64_t after, size_t max)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  struct json_object *names = json_object_new_object ();
  WcRegister         *reg = wc_control_thread_ref_register (thread);
  GArray             *entries = g_array_new (FALSE, FALSE, sizeof (Entry));
  size_t              first;
  char               *text;

  collect_events (wc_control_thread_get_events (thread), -1, after, max, entries);
  for (size_t i = 0; i < wc_control_thread_get_worker_count (thread); i++)
    collect_events (wc_worker_get_events (wc_control_thread_get_worker (thread, i)), (int)i, after, max, entries);
  g_array_sort (entries, compare_entries);
  first = entries->len > max ? entries->len - max : 0;
  for (size_t i = first; i < entries->len; i++)
    {
      const Entry *entry = &g_array_index (entries, Entry, i);

      json_object_array_add (list, entry_to_json (entry));
      if (reg)
        add_names (names, reg, &entry->event);
    }
  g_array_free (entries, TRUE);
  if (reg)
    wc_register_unref (reg);

  json_object_object_add (root, "instance", json_object_new_string (wc_control_thread_get_settings (thread)->instance));
  json_object_object_add (root, "domain", json_object_new_string (wc_control_thread_get_settings (thread)->domain));
  json_object_object_add (root, "names", names);
  json_object_object_add (root, "events", list);
  text = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

/* local functions */

static void
collect_events (const WcEventRing *ring, int worker, uint64_t after, size_t max, GArray *entries)
{
  WcEvent *events = g_new (WcEvent, max + 1);
  size_t   count = wc_event_ring_copy (ring, events, max);

  for (size_t i = 0; i < count; i++)
    if (events[i].logical > after)
      {
        Entry entry = { .event = events[i], .worker = worker };

        g_array_append_val (entries, entry);
      }
  g_free (events);
}

static int
compare_entries (gconstpointer a, gconstpointer b)
{
  const Entry *left = a;
  const Entry *right = b;

  if (left->event.logical != right->event.logical)
    return left->event.logical < right->event.logical ? -1 : 1;
  if (left->event.wall_us != right->event.wall_us)
    return left->event.wall_us < right->event.wall_us ? -1 : 1;
  return left->worker - right->worker;
}

static struct json_object *
entry_to_json (const Entry *entry)
{
  struct json_object *object = json_object_new_object ();
  const WcEvent      *event = &entry->event;

  json_object_object_add (object, "logical", json_object_new_uint64 (event->logical));
  json_object_object_add (object, "wall_us", json_object_new_uint64 (event->wall_us));
  json_object_object_add (object, "kind", json_object_new_string (WC_EVENT_STRINGS[event->kind]));
  if (entry->worker >= 0)
    json_object_object_add (object, "worker", json_object_new_int (entry->worker));
  if (event->service != 0)
    add_hex (object, "service", event->service, 8);
  if (event->target != 0)
    add_hex (object, "target", event->target, 8);
  if (event->flow != 0)
    add_hex (object, "flow", event->flow, 16);
  if (event->request_id != 0)
    add_hex (object, "request", event->request_id, 16);
  json_object_object_add (object, "value", json_object_new_uint64 (event->value));
  if (event->reason)
    json_object_object_add (object, "reason", json_object_new_string (event->reason));
  return object;
}

static void
add_names (struct json_object *names, const WcRegister *reg, const WcEvent *event)
{
  const WcService *service = wc_register_find_service (reg, event->service);
  const WcTarget  *target = wc_register_find_target (reg, event->target);
  char             key[9];

  g_snprintf (key, sizeof key, "%08x", event->service);
  if (service)
    json_object_object_add (names, key, json_object_new_string (service->name));
  g_snprintf (key, sizeof key, "%08x", event->target);
  if (target)
    json_object_object_add (names, key, json_object_new_string (target->host));
}

static void
add_hex (struct json_object *object, const char *key, uint64_t value, int digits)
{
  char text[17];

  g_snprintf (text, sizeof text, "%0*" G_GINT64_MODIFIER "x", digits, value);
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
add_gauge (GString *text, const char *name, const char *help, uint64_t value)
{
  g_string_append_printf (text,
                          "# HELP wigeoncart_%s %s\n# TYPE wigeoncart_%s gauge\nwigeoncart_%s %" G_GUINT64_FORMAT "\n",
                          name, help, name, name, value);
}
