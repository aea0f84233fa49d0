#include "emulator/run_log.h"

#include <assert.h>
#include <glib.h>

#include "emulator/emulator_json.h"

const char *const WC_RUN_EVENT_STRINGS[WC_RUN_EVENT_COUNT] = {
  [WC_RUN_STARTED] = "started",
  [WC_RUN_COMPLETED] = "completed",
  [WC_RUN_CANCELLED] = "cancelled",
  [WC_RUN_EXPIRED] = "expired",
};

typedef struct
{
  const char *service;
  bool        is_order;
  uint32_t    counts[WC_RUN_EVENT_COUNT];
} Run;

struct WcRunLog
{
  GHashTable *runs;
  uint32_t    max_entries;
  uint64_t    dropped;
};

WcRunLog *
wc_run_log_new (uint32_t max_entries)
{
  WcRunLog *log = g_new0 (WcRunLog, 1);

  log->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  log->max_entries = max_entries;
  return log;
}

void
wc_run_log_delete (WcRunLog *log)
{
  if (!log)
    return;
  g_hash_table_destroy (log->runs);
  g_free (log);
}

void
wc_run_log_add (WcRunLog *log, const char *request_id, const char *service, bool is_order, WcRunEvent event)
{
  Run *run;

  assert (log != NULL);
  assert (request_id != NULL && service != NULL);

  run = g_hash_table_lookup (log->runs, request_id);
  if (!run && g_hash_table_size (log->runs) >= log->max_entries)
    {
      log->dropped++;
      return;
    }
  if (!run)
    {
      run = g_new0 (Run, 1);
      run->service = g_intern_string (service);
      g_hash_table_insert (log->runs, g_strdup (request_id), run);
    }
  run->is_order |= is_order;
  run->counts[event]++;
}

struct json_object *
wc_run_log_to_json (const WcRunLog *log, bool all)
{
  struct json_object *object = json_object_new_object ();
  GHashTableIter      iter;
  void               *key;
  void               *value;

  assert (log != NULL);

  g_hash_table_iter_init (&iter, log->runs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Run          *run = value;
      struct json_object *entry;

      if (!run->is_order && !all)
        continue;
      entry = json_object_new_object ();
      json_object_object_add (entry, "service", json_object_new_string (run->service));
      json_object_object_add (entry, "order", json_object_new_boolean (run->is_order));
      for (int i = 0; i < WC_RUN_EVENT_COUNT; i++)
        wc_emulator_json_add_uint (entry, WC_RUN_EVENT_STRINGS[i], run->counts[i]);
      json_object_object_add (object, key, entry);
    }
  return object;
}

uint64_t
wc_run_log_count_repeated (const WcRunLog *log)
{
  GHashTableIter iter;
  void          *value;
  uint64_t       count = 0;

  assert (log != NULL);

  g_hash_table_iter_init (&iter, log->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const Run *)value)->is_order && ((const Run *)value)->counts[WC_RUN_STARTED] > 1)
      count++;
  return count;
}

uint64_t
wc_run_log_get_dropped (const WcRunLog *log)
{
  assert (log != NULL);

  return log->dropped;
}
