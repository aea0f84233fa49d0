#include "emulator/emulated_targets.h"

#include <assert.h>
#include <string.h>

#include <wigeoncart/name_id.h>

#include "emulator/emulator_json.h"
#include "edge/http_server.h"

enum
{
  RUN_LOG_MAX_ENTRIES = 2000000,
  FEED_ANSWER_MAX_BYTES = 32768
};

struct WcEmulatedTargets
{
  WcTargetShared shared;
  GPtrArray     *targets;
  WcHttpServer  *control;
  ev_timer       event_timer;
  uint32_t       feed_max_events;
};

static void        handle_control (void *user_data, WcHttpExchange *exchange);
static void        handle_target (WcEmulatedTargets *targets, WcHttpExchange *exchange);
static const char *apply_action (WcEmulatedTarget *target, struct json_object *command, WcError *error);
static bool        target_matches (const WcEmulatedTarget *target, struct json_object *command);
static void        ensure_feed (WcEmulatedTargets *targets, const char *service);
static void        add_events (struct ev_loop *loop, ev_timer *timer, int events);
static void        respond_stats (WcEmulatedTargets *targets, WcHttpExchange *exchange);
static void        free_feed (void *feed);
static void        free_target (void *target);

void
wc_emulated_targets_config_init (WcEmulatedTargetsConfig *config)
{
  assert (config != NULL);

  *config = (WcEmulatedTargetsConfig){
    .seed = 1,
    .event_ms = 500,
    .feed_max_events = 10000,
    .run_time = { .mean_ms = 20, .shape = WC_RUN_EXPONENTIAL },
    .queue_max = 2,
    .max_connections = 2000,
    .cold_factor = 4,
    .load_lag_ms = 1000,
  };
}

WcEmulatedTargets *
wc_emulated_targets_new (struct ev_loop *loop, const WcEmulatedTargetsConfig *config, WcError *error)
{
  static const WcHttpServerOps ops = { .request = handle_control };
  WcEmulatedTargets           *targets = g_new0 (WcEmulatedTargets, 1);

  assert (config != NULL);

  targets->shared = (WcTargetShared){
    .loop = loop,
    .random = g_rand_new_with_seed (config->seed),
    .run_log = wc_run_log_new (RUN_LOG_MAX_ENTRIES),
    .feeds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_feed),
    .run_time = config->run_time,
    .queue_max = config->queue_max,
    .max_connections = config->max_connections,
    .cold_factor = config->cold_factor,
    .load_lag_ms = config->load_lag_ms,
    .feed_answer_max_bytes = FEED_ANSWER_MAX_BYTES,
  };
  targets->feed_max_events = config->feed_max_events;
  targets->targets = g_ptr_array_new_with_free_func (free_target);
  ev_timer_init (&targets->event_timer, add_events, config->event_ms / 1000.0, config->event_ms / 1000.0);
  targets->event_timer.data = targets;
  if (config->event_ms > 0)
    ev_timer_start (loop, &targets->event_timer);
  if (config->control.family != 0)
    {
      targets->control = wc_http_server_new (loop, &config->control, &ops, targets, error);
      if (!targets->control)
        {
          wc_emulated_targets_delete (targets);
          return NULL;
        }
    }
  return targets;
}

void
wc_emulated_targets_delete (WcEmulatedTargets *targets)
{
  if (!targets)
    return;
  ev_timer_stop (targets->shared.loop, &targets->event_timer);
  wc_http_server_delete (targets->control);
  g_ptr_array_free (targets->targets, TRUE);
  g_hash_table_destroy (targets->shared.feeds);
  wc_run_log_delete (targets->shared.run_log);
  g_rand_free (targets->shared.random);
  g_free (targets);
}

WcEmulatedTarget *
wc_emulated_targets_add (WcEmulatedTargets *targets, const WcTargetSpec *spec, WcError *error)
{
  WcEmulatedTarget *target;

  assert (targets != NULL);
  assert (spec != NULL);

  target = wc_emulated_target_new (&targets->shared, spec, error);
  if (!target)
    return NULL;
  ensure_feed (targets, spec->service);
  g_ptr_array_add (targets->targets, target);
  return target;
}

WcStatus
wc_emulated_targets_add_register (WcEmulatedTargets *targets, const WcRegister *reg, const char *domain, WcError *error)
{
  const WcTarget *entries;
  size_t          count;

  assert (targets != NULL);
  assert (reg != NULL);

  entries = wc_register_get_targets (reg, &count);
  for (size_t i = 0; i < count; i++)
    {
      const WcTarget *entry = &entries[i];
      WcTargetSpec    spec = {
           .host = entry->host,
           .service = wc_register_find_service (reg, entry->service)->name,
           .address = entry->address,
           .slots = entry->slots,
           .cold_start_ms = entry->cold_start_ms,
      };

      if (domain && entry->domain != wc_name_id32 (domain))
        continue;
      if (!wc_emulated_targets_add (targets, &spec, error))
        return WC_STATUS_INVALID;
    }
  return WC_STATUS_OK;
}

size_t
wc_emulated_targets_get_count (const WcEmulatedTargets *targets)
{
  assert (targets != NULL);

  return targets->targets->len;
}

void
wc_emulated_targets_get_control_address (const WcEmulatedTargets *targets, WcAddress *address)
{
  assert (targets != NULL && targets->control != NULL);

  wc_http_server_get_address (targets->control, address);
}

WcRunLog *
wc_emulated_targets_get_run_log (WcEmulatedTargets *targets)
{
  assert (targets != NULL);

  return targets->shared.run_log;
}

/* local functions */

static void
handle_control (void *user_data, WcHttpExchange *exchange)
{
  WcEmulatedTargets *targets = user_data;
  const char        *path = wc_http_exchange_get_path (exchange);
  bool               is_get = strcmp (wc_http_exchange_get_method (exchange), "GET") == 0;

  if (is_get && strcmp (path, "/control/runs") == 0)
    wc_emulator_json_respond (
        exchange, 200,
        wc_run_log_to_json (targets->shared.run_log, wc_http_exchange_get_query_parameter (exchange, "all") != NULL));
  else if (is_get && strcmp (path, "/control/stats") == 0)
    respond_stats (targets, exchange);
  else if (!is_get && strcmp (path, "/control/target") == 0)
    handle_target (targets, exchange);
  else
    wc_emulator_json_respond_error (exchange, 404, "no such control endpoint");
}

static void
handle_target (WcEmulatedTargets *targets, WcHttpExchange *exchange)
{
  size_t              size;
  const char         *body = wc_http_exchange_get_body (exchange, &size);
  WcError             error = { 0 };
  struct json_object *command = wc_emulator_json_parse ("target", body, size, &error);
  struct json_object *answer;
  uint64_t            count = 0;

  if (!command)
    {
      wc_emulator_json_respond_error (exchange, 400, error.message);
      return;
    }
  for (guint i = 0; i < targets->targets->len; i++)
    {
      WcEmulatedTarget *target = g_ptr_array_index (targets->targets, i);
      const char       *message;

      if (!target_matches (target, command))
        continue;
      message = apply_action (target, command, &error);
      if (message)
        {
          wc_emulator_json_respond_error (exchange, 400, message);
          json_object_put (command);
          return;
        }
      ensure_feed (targets, wc_emulated_target_get_service (target));
      count++;
    }
  json_object_put (command);
  if (count == 0)
    {
      wc_emulator_json_respond_error (exchange, 404, "no target matches host, address and service");
      return;
    }
  answer = json_object_new_object ();
  wc_emulator_json_add_uint (answer, "targets", count);
  wc_emulator_json_respond (exchange, 200, answer);
}

/* Applies a command of the control endpoint to a target. Return: an error message, or NULL. */
static const char *
apply_action (WcEmulatedTarget *target, struct json_object *command, WcError *error)
{
  const char    *action = wc_emulator_json_get_string (command, "action", "");
  const char    *to = wc_emulator_json_get_string (command, "to", NULL);
  WcTargetFaults faults;

  if (strcmp (action, "drain") == 0)
    wc_emulated_target_drain (target);
  else if (strcmp (action, "undrain") == 0)
    wc_emulated_target_undrain (target);
  else if (strcmp (action, "leave") == 0)
    wc_emulated_target_leave (target);
  else if (strcmp (action, "stop") == 0)
    wc_emulated_target_stop (target);
  else if (strcmp (action, "start") == 0)
    return wc_emulated_target_start (target, error) == WC_STATUS_OK ? NULL : error->message;
  else if (strcmp (action, "move") == 0 && to)
    wc_emulated_target_move (target, to);
  else if (strcmp (action, "faults") == 0)
    {
      wc_emulated_target_get_faults (target, &faults);
      faults.load = (int)wc_emulator_json_get_int (command, "load", faults.load);
      faults.health = (int)wc_emulator_json_get_int (command, "health", faults.health);
      faults.refuse = wc_emulator_json_get_double (command, "refuse", faults.refuse);
      faults.break_run = wc_emulator_json_get_double (command, "break", faults.break_run);
      wc_emulated_target_set_faults (target, &faults);
    }
  else
    return "action must be drain, undrain, leave, stop, start, move with \"to\", or faults";
  return NULL;
}

static bool
target_matches (const WcEmulatedTarget *target, struct json_object *command)
{
  const char *host = wc_emulator_json_get_string (command, "host", NULL);
  const char *service = wc_emulator_json_get_string (command, "service", NULL);
  const char *address = wc_emulator_json_get_string (command, "address", NULL);
  WcAddress   target_address;
  char        text[WC_ADDRESS_TEXT_BYTES];

  wc_emulated_target_get_address (target, &target_address);
  return (host || service || address) && (!host || strcmp (host, wc_emulated_target_get_host (target)) == 0) &&
         (!service || strcmp (service, wc_emulated_target_get_service (target)) == 0) &&
         (!address || strcmp (address, wc_address_format (&target_address, text)) == 0);
}

static void
ensure_feed (WcEmulatedTargets *targets, const char *service)
{
  if (!g_hash_table_contains (targets->shared.feeds, service))
    g_hash_table_insert (targets->shared.feeds, g_strdup (service),
                         wc_event_feed_new (service, targets->feed_max_events));
}

static void
add_events (struct ev_loop *loop, ev_timer *timer, int events)
{
  WcEmulatedTargets *targets = timer->data;
  GHashTableIter     iter;
  void              *feed;

  (void)loop;
  (void)events;
  g_hash_table_iter_init (&iter, targets->shared.feeds);
  while (g_hash_table_iter_next (&iter, NULL, &feed))
    wc_event_feed_add (feed);
  for (guint i = 0; i < targets->targets->len; i++)
    wc_emulated_target_notify_events (g_ptr_array_index (targets->targets, i));
}

static void
respond_stats (WcEmulatedTargets *targets, WcHttpExchange *exchange)
{
  struct json_object *stats = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  struct json_object *feeds = json_object_new_object ();
  GHashTableIter      iter;
  void               *service;
  void               *feed;

  g_hash_table_iter_init (&iter, targets->shared.feeds);
  while (g_hash_table_iter_next (&iter, &service, &feed))
    wc_emulator_json_add_uint (feeds, service, wc_event_feed_get_newest (feed));
  for (guint i = 0; i < targets->targets->len; i++)
    json_object_array_add (list, wc_emulated_target_to_json (g_ptr_array_index (targets->targets, i)));
  wc_emulator_json_add_uint (stats, "orders_run_twice", wc_run_log_count_repeated (targets->shared.run_log));
  wc_emulator_json_add_uint (stats, "runs_not_recorded", wc_run_log_get_dropped (targets->shared.run_log));
  json_object_object_add (stats, "newest_events", feeds);
  json_object_object_add (stats, "targets", list);
  wc_emulator_json_respond (exchange, 200, stats);
}

static void
free_feed (void *feed)
{
  wc_event_feed_delete (feed);
}

static void
free_target (void *target)
{
  wc_emulated_target_delete (target);
}
