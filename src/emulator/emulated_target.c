#include "emulator/emulated_target.h"

#include <assert.h>
#include <string.h>

#include "emulator/emulator_json.h"
#include "edge/http_server.h"
#include "emulator/sheet.h"

enum
{
  /* Default of the parameter wait_ms of GET /events. */
  FEED_WAIT_MS = 1000,
  SHEET_MAX_BYTES = 64 << 20
};

/* counters and their names in the statistics */
#define COUNTER_LIST(X)                                                                                                \
  X (REQUESTS, "requests")                                                                                             \
  X (STARTED, "started")                                                                                               \
  X (COMPLETED, "completed")                                                                                           \
  X (CANCELLED, "cancelled")                                                                                           \
  X (EXPIRED, "expired")                                                                                               \
  X (SHED, "shed")                                                                                                     \
  X (REFUSED, "refused")                                                                                               \
  X (DRAIN_REFUSED, "drain_refused")                                                                                   \
  X (BROKEN, "broken")                                                                                                 \
  X (NAME_CHECKS, "name_checks")                                                                                       \
  X (NAME_CHECKS_FAILED, "name_checks_failed")                                                                         \
  X (MISDIRECTED, "misdirected_host")                                                                                  \
  X (MISROUTED, "misrouted_path")                                                                                      \
  X (CONNECTIONS_REFUSED, "connections_refused")                                                                       \
  X (FEED_READS, "feed_reads")                                                                                         \
  X (AFTER_LEAVING, "new_work_after_leaving")

typedef enum
{
#define COUNTER_ENUM(name, text) COUNTER_##name,
  COUNTER_LIST (COUNTER_ENUM)
#undef COUNTER_ENUM
      COUNTER_COUNT
} Counter;

static const char *const COUNTER_STRINGS[COUNTER_COUNT] = {
#define COUNTER_STRING(name, text) [COUNTER_##name] = (text),
  COUNTER_LIST (COUNTER_STRING)
#undef COUNTER_STRING
};

typedef enum
{
  JOB_QUEUED = 0,
  JOB_RUNNING,
  JOB_WAITING_FOR_EVENTS,
  JOB_STATE_COUNT
} JobState;

/* A request without a response yet; @after: for a feed reader, number of the last event that it has. */
typedef struct
{
  WcEmulatedTarget *target;
  WcHttpExchange   *exchange;
  char             *request_id;
  bool              is_order;
  JobState          state;
  uint64_t          after;
  ev_timer          run_timer;
  ev_timer          deadline_timer;
} Job;

/*
 * @queue: jobs that wait for a slot.
 * @waiting: jobs that wait for events.
 * @running: number of jobs that occupy a slot.
 * @leaving_since: time at which drain or leave began; 0 when neither is active.
 * @last_work_after_s: time from @leaving_since to the last new request.
 * @sampled_running: @running as of the last sample, which GET /load reports.
 */
struct WcEmulatedTarget
{
  WcTargetShared *shared;
  char           *host;
  char           *service;
  WcAddress       address;
  uint32_t        slots;
  uint32_t        cold_start_ms;
  WcHttpServer   *server;
  GQueue          queue;
  GPtrArray      *waiting;
  uint32_t        running;
  uint32_t        max_running;
  bool            is_draining;
  ev_tstamp       leaving_since;
  double          last_work_after_s;
  ev_tstamp       started_at;
  uint32_t        sampled_running;
  ev_timer        load_timer;
  WcTargetFaults  faults;
  uint64_t        counters[COUNTER_COUNT];
};

static bool handle_accept (void *user_data);
static void handle_request (void *user_data, WcHttpExchange *exchange);
static void handle_abort (void *user_data, WcHttpExchange *exchange);
static void handle_status (WcEmulatedTarget *target, WcHttpExchange *exchange, bool is_health);
static bool is_for_service (const WcEmulatedTarget *target, const char *name);
static bool refuse_request (WcEmulatedTarget *target, WcHttpExchange *exchange);
static void check_name (WcEmulatedTarget *target, WcHttpExchange *exchange);
static Job *job_new (WcEmulatedTarget *target, WcHttpExchange *exchange);
static void job_delete (Job *job);
static void job_run (Job *job);
static void job_finished (struct ev_loop *loop, ev_timer *timer, int events);
static void job_expired (struct ev_loop *loop, ev_timer *timer, int events);
static void job_abort (Job *job, WcRunEvent event);
static void start_queued_jobs (WcEmulatedTarget *target);
static void respond (WcEmulatedTarget *target, WcHttpExchange *exchange, int status, const char *headers,
                     const void *body, size_t size_bytes);
static void
respond_text (WcEmulatedTarget *target, WcHttpExchange *exchange, int status, const char *headers, const char *text);
static void     respond_run (Job *job, WcHttpExchange *exchange);
static void     respond_sheet (WcEmulatedTarget *target, WcHttpExchange *exchange);
static bool     respond_events (Job *job, bool respond_if_empty);
static void     sample_load (struct ev_loop *loop, ev_timer *timer, int events);
static uint64_t get_number (const WcHttpExchange *exchange, const char *parameter, uint64_t default_value);

static const WcHttpServerOps SERVER_OPS = { .accepted = handle_accept,
                                            .request = handle_request,
                                            .aborted = handle_abort };

WcEmulatedTarget *
wc_emulated_target_new (WcTargetShared *shared, const WcTargetSpec *spec, WcError *error)
{
  WcEmulatedTarget *target = g_new0 (WcEmulatedTarget, 1);

  assert (shared != NULL);
  assert (spec != NULL);

  target->shared = shared;
  target->host = g_strdup (spec->host);
  target->service = g_strdup (spec->service);
  target->address = spec->address;
  target->slots = spec->slots;
  target->cold_start_ms = spec->cold_start_ms;
  target->faults.load = -1;
  target->waiting = g_ptr_array_new ();
  g_queue_init (&target->queue);
  ev_timer_init (&target->load_timer, sample_load, shared->load_lag_ms / 1000.0, shared->load_lag_ms / 1000.0);
  target->load_timer.data = target;
  ev_timer_start (shared->loop, &target->load_timer);
  if (wc_emulated_target_start (target, error) != WC_STATUS_OK)
    {
      wc_emulated_target_delete (target);
      return NULL;
    }
  wc_http_server_get_address (target->server, &target->address);
  return target;
}

void
wc_emulated_target_delete (WcEmulatedTarget *target)
{
  if (!target)
    return;
  wc_emulated_target_stop (target);
  ev_timer_stop (target->shared->loop, &target->load_timer);
  g_ptr_array_free (target->waiting, TRUE);
  g_free (target->host);
  g_free (target->service);
  g_free (target);
}

const char *
wc_emulated_target_get_host (const WcEmulatedTarget *target)
{
  assert (target != NULL);

  return target->host;
}

const char *
wc_emulated_target_get_service (const WcEmulatedTarget *target)
{
  assert (target != NULL);

  return target->service;
}

void
wc_emulated_target_get_address (const WcEmulatedTarget *target, WcAddress *address)
{
  assert (target != NULL);
  assert (address != NULL);

  *address = target->address;
}

void
wc_emulated_target_drain (WcEmulatedTarget *target)
{
  wc_emulated_target_leave (target);
  target->is_draining = true;
}

void
wc_emulated_target_leave (WcEmulatedTarget *target)
{
  assert (target != NULL);

  if (target->leaving_since == 0)
    target->leaving_since = ev_now (target->shared->loop);
}

void
wc_emulated_target_undrain (WcEmulatedTarget *target)
{
  assert (target != NULL);

  target->is_draining = false;
  target->leaving_since = 0;
}

void
wc_emulated_target_stop (WcEmulatedTarget *target)
{
  assert (target != NULL);

  wc_http_server_delete (target->server);
  target->server = NULL;
}

WcStatus
wc_emulated_target_start (WcEmulatedTarget *target, WcError *error)
{
  assert (target != NULL);

  if (target->server)
    return WC_STATUS_OK;
  target->server = wc_http_server_new (target->shared->loop, &target->address, &SERVER_OPS, target, error);
  target->started_at = ev_now (target->shared->loop);
  return target->server ? WC_STATUS_OK : WC_STATUS_INVALID;
}

void
wc_emulated_target_move (WcEmulatedTarget *target, const char *service)
{
  assert (target != NULL);
  assert (service != NULL);

  if (target->server)
    wc_http_server_close_connections (target->server);
  g_free (target->service);
  target->service = g_strdup (service);
  target->started_at = ev_now (target->shared->loop);
}

void
wc_emulated_target_get_faults (const WcEmulatedTarget *target, WcTargetFaults *faults)
{
  assert (target != NULL);
  assert (faults != NULL);

  *faults = target->faults;
}

void
wc_emulated_target_set_faults (WcEmulatedTarget *target, const WcTargetFaults *faults)
{
  assert (target != NULL);
  assert (faults != NULL);

  target->faults = *faults;
}

void
wc_emulated_target_notify_events (WcEmulatedTarget *target)
{
  GPtrArray *waiting;

  assert (target != NULL);

  /* A response may lead to the next request on its connection, whose job is added to the new array. */
  waiting = target->waiting;
  target->waiting = g_ptr_array_new ();
  for (guint i = 0; i < waiting->len; i++)
    {
      Job *job = g_ptr_array_index (waiting, i);

      g_ptr_array_add (target->waiting, job);
      respond_events (job, false);
    }
  g_ptr_array_free (waiting, TRUE);
}

struct json_object *
wc_emulated_target_to_json (const WcEmulatedTarget *target)
{
  struct json_object *object = json_object_new_object ();
  char                text[WC_ADDRESS_TEXT_BYTES];

  assert (target != NULL);

  json_object_object_add (object, "host", json_object_new_string (target->host));
  json_object_object_add (object, "service", json_object_new_string (target->service));
  json_object_object_add (object, "address", json_object_new_string (wc_address_format (&target->address, text)));
  json_object_object_add (object, "stopped", json_object_new_boolean (target->server == NULL));
  json_object_object_add (object, "draining", json_object_new_boolean (target->is_draining));
  json_object_object_add (object, "leaving", json_object_new_boolean (target->leaving_since != 0));
  wc_emulator_json_add_uint (object, "slots", target->slots);
  wc_emulator_json_add_uint (object, "running", target->running);
  wc_emulator_json_add_uint (object, "max_running", target->max_running);
  wc_emulator_json_add_uint (object, "queued", target->queue.length);
  wc_emulator_json_add_uint (object, "connections",
                             target->server ? wc_http_server_get_connection_count (target->server) : 0);
  json_object_object_add (object, "last_work_after_leaving_s", json_object_new_double (target->last_work_after_s));
  for (int i = 0; i < COUNTER_COUNT; i++)
    wc_emulator_json_add_uint (object, COUNTER_STRINGS[i], target->counters[i]);
  return object;
}

/* local functions */

static bool
handle_accept (void *user_data)
{
  WcEmulatedTarget *target = user_data;

  if (wc_http_server_get_connection_count (target->server) < target->shared->max_connections)
    return true;
  target->counters[COUNTER_CONNECTIONS_REFUSED]++;
  return false;
}

static void
handle_request (void *user_data, WcHttpExchange *exchange)
{
  WcEmulatedTarget *target = user_data;
  const char       *path = wc_http_exchange_get_path (exchange);
  Job              *job;

  if (strcmp (wc_http_exchange_get_method (exchange), "OPTIONS") == 0)
    {
      check_name (target, exchange);
      return;
    }
  if (strcmp (path, "/health") == 0 || strcmp (path, "/load") == 0)
    {
      handle_status (target, exchange, path[1] == 'h');
      return;
    }
  target->counters[COUNTER_REQUESTS]++;
  if (refuse_request (target, exchange))
    return;

  job = job_new (target, exchange);
  if (strcmp (path, "/events") == 0)
    {
      target->counters[COUNTER_FEED_READS]++;
      job->state = JOB_WAITING_FOR_EVENTS;
      job->after = get_number (exchange, "after", 0);
      g_ptr_array_add (target->waiting, job);
      if (respond_events (job, false))
        return;
      /* A feed reader occupies no slot; it gets an empty answer when the timer expires. */
      ev_timer_set (&job->run_timer, (double)get_number (exchange, "wait_ms", FEED_WAIT_MS) / 1000, 0);
      ev_timer_start (target->shared->loop, &job->run_timer);
      return;
    }
  g_queue_push_tail (&target->queue, job);
  start_queued_jobs (target);
}

static void
handle_abort (void *user_data, WcHttpExchange *exchange)
{
  Job *job = wc_http_exchange_get_data (exchange);

  (void)user_data;
  if (job)
    job_abort (job, WC_RUN_CANCELLED);
}

static void
handle_status (WcEmulatedTarget *target, WcHttpExchange *exchange, bool is_health)
{
  struct json_object *answer;
  int                 status;

  if (is_health)
    {
      status = target->faults.health != 0 ? target->faults.health : target->is_draining ? 503 : 200;
      respond_text (target, exchange, status, NULL, status == 200 ? "ok\n" : "draining\n");
      return;
    }
  answer = json_object_new_object ();
  wc_emulator_json_add_uint (answer, "running",
                             target->faults.load >= 0 ? (uint64_t)target->faults.load : target->sampled_running);
  wc_emulator_json_add_uint (answer, "slots", target->slots);
  wc_emulator_json_respond (exchange, 200, answer);
}

static bool
is_for_service (const WcEmulatedTarget *target, const char *name)
{
  size_t length = strlen (target->service);

  return name && strncmp (name, target->service, length) == 0 && (name[length] == '\0' || name[length] == ':');
}

/* Responds with an error to a request that the target does not accept. Return: false when the request is accepted. */
static bool
refuse_request (WcEmulatedTarget *target, WcHttpExchange *exchange)
{
  const char *service = wc_http_exchange_get_query_parameter (exchange, "service");
  bool        is_feed = strcmp (wc_http_exchange_get_path (exchange), "/events") == 0;

  if (!is_for_service (target, wc_http_exchange_get_header (exchange, "host")))
    {
      target->counters[COUNTER_MISDIRECTED]++;
      respond_text (target, exchange, 421, NULL, "another service is served here\n");
      return true;
    }
  /* Callers repeat the service in the query, which instances do not read; a mismatch shows a misrouted request. */
  if (service && strcmp (service, target->service) != 0)
    {
      target->counters[COUNTER_MISROUTED]++;
      respond_text (target, exchange, 421, NULL, "the request is for another service\n");
      return true;
    }
  if (target->leaving_since != 0)
    {
      target->counters[COUNTER_AFTER_LEAVING]++;
      target->last_work_after_s = ev_now (target->shared->loop) - target->leaving_since;
    }
  if (target->is_draining)
    {
      target->counters[COUNTER_DRAIN_REFUSED]++;
      respond_text (target, exchange, 503, "Connection: close\r\n", "draining\n");
      return true;
    }
  if (target->faults.refuse > 0 && g_rand_double (target->shared->random) < target->faults.refuse)
    {
      target->counters[COUNTER_REFUSED]++;
      respond_text (target, exchange, 503, NULL, "refused by the test\n");
      return true;
    }
  if (!is_feed && target->running >= target->slots && target->queue.length >= target->shared->queue_max)
    {
      target->counters[COUNTER_SHED]++;
      respond_text (target, exchange, 503, NULL, "overloaded\n");
      return true;
    }
  return false;
}

static void
check_name (WcEmulatedTarget *target, WcHttpExchange *exchange)
{
  target->counters[COUNTER_NAME_CHECKS]++;
  if (target->is_draining)
    respond_text (target, exchange, 503, "Connection: close\r\n", "draining\n");
  else if (is_for_service (target, wc_http_exchange_get_header (exchange, "host")))
    respond (target, exchange, 200, NULL, NULL, 0);
  else
    {
      target->counters[COUNTER_NAME_CHECKS_FAILED]++;
      respond_text (target, exchange, 421, NULL, "another service is served here\n");
    }
}

static Job *
job_new (WcEmulatedTarget *target, WcHttpExchange *exchange)
{
  const char *deadline = wc_http_exchange_get_header (exchange, "x-request-deadline-ms");
  const char *request_id = wc_http_exchange_get_header (exchange, "x-request-id");
  Job        *job = g_new0 (Job, 1);

  job->target = target;
  job->exchange = exchange;
  job->request_id = g_strdup (request_id ? request_id : "-");
  job->is_order = strcmp (wc_http_exchange_get_path (exchange), "/orders") == 0;
  ev_timer_init (&job->run_timer, job_finished, 0, 0);
  job->run_timer.data = job;
  ev_timer_init (&job->deadline_timer, job_expired, 0, 0);
  job->deadline_timer.data = job;
  if (deadline)
    {
      ev_timer_set (&job->deadline_timer, (double)g_ascii_strtoull (deadline, NULL, 10) / 1000, 0);
      ev_timer_start (target->shared->loop, &job->deadline_timer);
    }
  wc_http_exchange_set_data (exchange, job);
  return job;
}

static void
job_delete (Job *job)
{
  ev_timer_stop (job->target->shared->loop, &job->run_timer);
  ev_timer_stop (job->target->shared->loop, &job->deadline_timer);
  g_free (job->request_id);
  g_free (job);
}

static void
job_run (Job *job)
{
  WcEmulatedTarget *target = job->target;
  const char       *fixed = wc_http_exchange_get_query_parameter (job->exchange, "run_ms");
  double            run_ms = wc_run_time_generate_ms (&target->shared->run_time, target->shared->random);
  double            age_ms = (ev_now (target->shared->loop) - target->started_at) * 1000;

  if (fixed)
    run_ms = (double)g_ascii_strtoull (fixed, NULL, 10);
  else if (age_ms < target->cold_start_ms)
    run_ms *= 1 + (target->shared->cold_factor - 1) * (1 - age_ms / target->cold_start_ms);
  job->state = JOB_RUNNING;
  target->running++;
  target->max_running = MAX (target->max_running, target->running);
  target->counters[COUNTER_STARTED]++;
  wc_run_log_add (target->shared->run_log, job->request_id, target->service, job->is_order, WC_RUN_STARTED);
  ev_timer_set (&job->run_timer, run_ms / 1000, 0);
  ev_timer_start (target->shared->loop, &job->run_timer);
}

static void
job_finished (struct ev_loop *loop, ev_timer *timer, int events)
{
  Job              *job = timer->data;
  WcEmulatedTarget *target = job->target;
  WcHttpExchange   *exchange = job->exchange;
  bool              breaks;

  (void)loop;
  (void)events;
  if (job->state == JOB_WAITING_FOR_EVENTS)
    {
      respond_events (job, true);
      return;
    }
  breaks = target->faults.break_run > 0 && g_rand_double (target->shared->random) < target->faults.break_run;
  target->running--;
  target->counters[COUNTER_COMPLETED]++;
  wc_run_log_add (target->shared->run_log, job->request_id, target->service, job->is_order, WC_RUN_COMPLETED);
  if (breaks)
    {
      target->counters[COUNTER_BROKEN]++;
      wc_http_exchange_abort (exchange);
    }
  else
    respond_run (job, exchange);
  job_delete (job);
  start_queued_jobs (target);
}

static void
job_expired (struct ev_loop *loop, ev_timer *timer, int events)
{
  Job              *job = timer->data;
  WcEmulatedTarget *target = job->target;
  WcHttpExchange   *exchange = job->exchange;

  (void)loop;
  (void)events;
  if (job->state == JOB_WAITING_FOR_EVENTS)
    {
      respond_events (job, true);
      return;
    }
  wc_http_exchange_set_data (exchange, NULL);
  job_abort (job, WC_RUN_EXPIRED);
  respond_text (target, exchange, 504, NULL, "the deadline has passed\n");
}

/* Removes a job that was cancelled or has expired. */
static void
job_abort (Job *job, WcRunEvent event)
{
  WcEmulatedTarget *target = job->target;

  if (job->state != JOB_WAITING_FOR_EVENTS)
    target->counters[event == WC_RUN_EXPIRED ? COUNTER_EXPIRED : COUNTER_CANCELLED]++;
  if (job->state == JOB_QUEUED)
    g_queue_remove (&target->queue, job);
  else if (job->state == JOB_WAITING_FOR_EVENTS)
    g_ptr_array_remove_fast (target->waiting, job);
  else
    {
      target->running--;
      wc_run_log_add (target->shared->run_log, job->request_id, target->service, job->is_order, event);
    }
  job_delete (job);
  start_queued_jobs (target);
}

static void
start_queued_jobs (WcEmulatedTarget *target)
{
  while (target->running < target->slots && target->queue.length > 0)
    job_run (g_queue_pop_head (&target->queue));
}

static void
respond (WcEmulatedTarget *target, WcHttpExchange *exchange, int status, const char *headers, const void *body,
         size_t size_bytes)
{
  uint32_t    running = target->faults.load >= 0 ? (uint32_t)target->faults.load : target->running;
  const char *request_id = wc_http_exchange_get_header (exchange, "x-request-id");
  GString    *text = g_string_new (NULL);

  g_string_printf (text, "X-Load: %u/%u\r\n", running, target->slots);
  /* Lets the instance recognise a late copy of an answer. */
  if (request_id)
    g_string_append_printf (text, "X-Request-Id: %s\r\n", request_id);
  g_string_append (text, headers ? headers : "");
  wc_http_exchange_respond (exchange, status, text->str, body, size_bytes);
  g_string_free (text, TRUE);
}

static void
respond_text (WcEmulatedTarget *target, WcHttpExchange *exchange, int status, const char *headers, const char *text)
{
  respond (target, exchange, status, headers, text, strlen (text));
}

static void
respond_run (Job *job, WcHttpExchange *exchange)
{
  WcEmulatedTarget *target = job->target;
  const char       *path = wc_http_exchange_get_path (exchange);
  const char       *method = wc_http_exchange_get_method (exchange);
  const char       *tag = wc_http_exchange_get_query_parameter (exchange, "tag");
  char             *text;

  if (strcmp (path, "/sheet") == 0)
    respond_sheet (target, exchange);
  else if (g_str_has_prefix (path, "/catalogue") || (job->is_order && strcmp (method, "POST") == 0))
    {
      text = g_strdup_printf ("%s %s %s %s %s\n", job->is_order ? "ordered" : "item", target->service, target->host,
                              job->request_id, tag ? tag : "-");
      respond_text (target, exchange, job->is_order ? 201 : 200, NULL, text);
      g_free (text);
    }
  else
    respond_text (target, exchange, job->is_order ? 405 : 404, NULL, "no such resource\n");
}

static void
respond_sheet (WcEmulatedTarget *target, WcHttpExchange *exchange)
{
  uint64_t size = get_number (exchange, "bytes", 100000);
  uint8_t *data;

  if (size > SHEET_MAX_BYTES)
    {
      respond_text (target, exchange, 400, NULL, "too many bytes\n");
      return;
    }
  data = g_malloc ((size_t)size + 1);
  wc_sheet_fill (data, (size_t)size, get_number (exchange, "tag", 0));
  respond (target, exchange, 200, NULL, data, (size_t)size);
  g_free (data);
}

/* Responds to a feed reader if there are events or @respond_if_empty. Return: false when the reader has to wait. */
static bool
respond_events (Job *job, bool respond_if_empty)
{
  WcEmulatedTarget  *target = job->target;
  WcHttpExchange    *exchange = job->exchange;
  const WcEventFeed *feed = g_hash_table_lookup (target->shared->feeds, target->service);
  GString           *text = g_string_new (NULL);
  uint64_t           cursor = job->after;
  char              *headers;

  if (feed)
    cursor = wc_event_feed_read (feed, job->after, target->shared->feed_answer_max_bytes, text);
  if (text->len == 0 && !respond_if_empty)
    {
      g_string_free (text, TRUE);
      return false;
    }
  headers = g_strdup_printf ("X-Cursor: %" G_GUINT64_FORMAT "\r\n", cursor);
  g_ptr_array_remove_fast (target->waiting, job);
  job_delete (job);
  respond (target, exchange, 200, headers, text->str, text->len);
  g_free (headers);
  g_string_free (text, TRUE);
  return true;
}

static void
sample_load (struct ev_loop *loop, ev_timer *timer, int events)
{
  WcEmulatedTarget *target = timer->data;

  (void)loop;
  (void)events;
  target->sampled_running = target->running;
}

static uint64_t
get_number (const WcHttpExchange *exchange, const char *parameter, uint64_t default_value)
{
  const char *text = wc_http_exchange_get_query_parameter (exchange, parameter);

  return text ? g_ascii_strtoull (text, NULL, 10) : default_value;
}
