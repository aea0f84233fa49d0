#include "edge/event_log.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <json-c/json.h>

#include "edge/clock.h"

enum
{
  /* Lines of one event a second: twice the requests of an instance on a busy day. A flood adds nothing for its reader.
   */
  EVENT_LINES_PER_S = 100,
  /* Text that waits for the descriptor's reader; about 200 lines. */
  BUFFER_BYTES = 65536,
  SECOND_US = 1000 * 1000,
  HEX_BYTES = 24
};

/* How long lines wait to be written together, which saves calls. */
static const double FLUSH_INTERVAL_S = 0.1;

/* Lines of one event: how many may still be written before @refill_deadline_us. */
typedef struct
{
  uint64_t refill_deadline_us;
  uint32_t left;
  uint32_t suppressed;
} RateLimit;

struct WcEventLine
{
  WcEventLog         *log;
  struct json_object *object;
};

struct WcEventLog
{
  struct ev_loop *loop;
  int             descriptor;
  char           *instance;
  uint64_t        start_us;
  uint64_t        logical;
  uint64_t        suppressed;
  uint32_t        dropped;
  GHashTable     *rate_limits;
  GString        *text;
  ev_timer        flush;
  WcEventLine     line;
};

static bool take_token (WcEventLog *log, const char *event, uint64_t now_us, uint32_t *suppressed);
static void flush_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void write_buffer (WcEventLog *log);

WcEventLog *
wc_event_log_new (struct ev_loop *loop, int descriptor, const char *instance)
{
  WcEventLog *log = g_new0 (WcEventLog, 1);
  int         flags = fcntl (descriptor, F_GETFL);

  assert (loop != NULL && instance != NULL);

  if (flags >= 0)
    (void)fcntl (descriptor, F_SETFL, flags | O_NONBLOCK);
  log->loop = loop;
  log->descriptor = descriptor;
  log->instance = g_strdup (instance);
  log->start_us = wc_clock_monotonic_us ();
  log->rate_limits = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  log->text = g_string_new (NULL);
  log->line.log = log;
  ev_timer_init (&log->flush, flush_expired, FLUSH_INTERVAL_S, 0.0);
  log->flush.data = log;
  return log;
}

void
wc_event_log_delete (WcEventLog *log)
{
  if (!log)
    return;
  ev_timer_stop (log->loop, &log->flush);
  write_buffer (log);
  g_string_free (log->text, TRUE);
  g_hash_table_destroy (log->rate_limits);
  g_free (log->instance);
  g_free (log);
}

WcEventLine *
wc_event_log_begin (WcEventLog *log, const char *part, const char *event)
{
  WcEventLine *line = &log->line;
  uint64_t     now_us = wc_clock_monotonic_us ();
  uint32_t     suppressed = 0;

  assert (line->object == NULL);

  if (!take_token (log, event, now_us, &suppressed))
    return NULL;
  line->object = json_object_new_object ();
  wc_event_line_add_uint (line, "time_us", wc_clock_wall_us ());
  wc_event_line_add_uint (line, "up_us", now_us - log->start_us);
  log->logical = MAX (log->logical + 1, wc_clock_wall_us ());
  wc_event_line_add_uint (line, "logical", log->logical);
  wc_event_line_add_text (line, "instance", log->instance);
  wc_event_line_add_text (line, "part", part);
  wc_event_line_add_text (line, "event", event);
  if (suppressed > 0)
    wc_event_line_add_uint (line, "suppressed", suppressed);
  return line;
}

void
wc_event_line_add_text (WcEventLine *line, const char *key, const char *value)
{
  if (line)
    json_object_object_add (line->object, key, json_object_new_string (value));
}

void
wc_event_line_add_uint (WcEventLine *line, const char *key, uint64_t value)
{
  if (line)
    json_object_object_add (line->object, key, json_object_new_uint64 (value));
}

void
wc_event_line_add_id (WcEventLine *line, const char *key, uint64_t value)
{
  char text[HEX_BYTES];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", value);
  wc_event_line_add_text (line, key, text);
}

void
wc_event_line_end (WcEventLine *line)
{
  WcEventLog *log;
  const char *text;
  size_t      size_bytes;

  if (!line)
    return;
  log = line->log;
  text = json_object_to_json_string_length (line->object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
                                            &size_bytes);
  if (log->text->len + size_bytes + 1 > BUFFER_BYTES)
    {
      log->dropped++;
      log->suppressed++;
    }
  else
    {
      g_string_append_len (log->text, text, (gssize)size_bytes);
      g_string_append_c (log->text, '\n');
    }
  json_object_put (line->object);
  line->object = NULL;
  if (!ev_is_active (&log->flush))
    {
      ev_timer_set (&log->flush, FLUSH_INTERVAL_S, 0.0);
      ev_timer_start (log->loop, &log->flush);
    }
}

void
wc_event_log_merge_logical_clock (WcEventLog *log, uint64_t logical)
{
  if (logical > log->logical)
    log->logical = logical;
}

uint64_t
wc_event_log_get_logical_clock (const WcEventLog *log)
{
  return log->logical;
}

uint64_t
wc_event_log_get_suppressed (const WcEventLog *log)
{
  return log->suppressed;
}

/* local functions */

static bool
take_token (WcEventLog *log, const char *event, uint64_t now_us, uint32_t *suppressed)
{
  RateLimit *budget = g_hash_table_lookup (log->rate_limits, event);

  if (!budget)
    {
      budget = g_new0 (RateLimit, 1);
      g_hash_table_insert (log->rate_limits, (gpointer)event, budget);
    }
  if (now_us >= budget->refill_deadline_us)
    {
      budget->refill_deadline_us = now_us + SECOND_US;
      budget->left = EVENT_LINES_PER_S;
    }
  if (budget->left == 0)
    {
      budget->suppressed++;
      log->suppressed++;
      return false;
    }
  budget->left--;
  *suppressed = budget->suppressed + log->dropped;
  budget->suppressed = 0;
  log->dropped = 0;
  return true;
}

static void
flush_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  WcEventLog *log = watcher->data;

  (void)events;
  write_buffer (log);
  if (log->text->len == 0)
    return;
  ev_timer_set (&log->flush, FLUSH_INTERVAL_S, 0.0);
  ev_timer_start (loop, &log->flush);
}

/* What is not taken now stays for the next time; a descriptor that fails loses the text. */
static void
write_buffer (WcEventLog *log)
{
  ssize_t size;

  if (log->text->len == 0)
    return;
  size = write (log->descriptor, log->text->str, log->text->len);
  if (size > 0)
    g_string_erase (log->text, 0, size);
  else if (errno != EAGAIN && errno != EINTR)
    g_string_truncate (log->text, 0);
}
