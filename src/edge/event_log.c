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
  /* Twice the request rate of an instance on a busy day; more lines of one event would not help the reader. */
  EVENT_LINES_PER_S = 100,
  /* Maximum size of the buffered text, about 200 lines. */
  BUFFER_BYTES = 65536,
  SECOND_US = 1000 * 1000,
  HEX_BYTES = 24
};

/* Lines are buffered for this long and written together, which saves system calls. */
static const double FLUSH_INTERVAL_S = 0.1;

/*
 * Rate limit of one event.
 * @refill_deadline_us: when @remaining is set to EVENT_LINES_PER_S again.
 * @remaining: lines that may still be written until then.
 * @suppressed: lines suppressed since the last one that was written.
 */
typedef struct
{
  uint64_t refill_deadline_us;
  uint32_t remaining;
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
  GString        *buffer;
  ev_timer        flush_timer;
  WcEventLine     line;
};

static bool take_token (WcEventLog *log, const char *event, uint64_t now_us, uint32_t *suppressed);
static void flush_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events);
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
  log->buffer = g_string_new (NULL);
  log->line.log = log;
  ev_timer_init (&log->flush_timer, flush_timer_expired, FLUSH_INTERVAL_S, 0.0);
  log->flush_timer.data = log;
  return log;
}

void
wc_event_log_delete (WcEventLog *log)
{
  if (!log)
    return;
  ev_timer_stop (log->loop, &log->flush_timer);
  write_buffer (log);
  g_string_free (log->buffer, TRUE);
  g_hash_table_destroy (log->rate_limits);
  g_free (log->instance);
  g_free (log);
}

WcEventLine *
wc_event_log_begin (WcEventLog *log, const char *component, const char *event)
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
  wc_event_line_add_text (line, "part", component);
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
  if (log->buffer->len + size_bytes + 1 > BUFFER_BYTES)
    {
      log->dropped++;
      log->suppressed++;
    }
  else
    {
      g_string_append_len (log->buffer, text, (gssize)size_bytes);
      g_string_append_c (log->buffer, '\n');
    }
  json_object_put (line->object);
  line->object = NULL;
  if (!ev_is_active (&log->flush_timer))
    {
      ev_timer_set (&log->flush_timer, FLUSH_INTERVAL_S, 0.0);
      ev_timer_start (log->loop, &log->flush_timer);
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

/* Return: false when the line is suppressed; else @suppressed is the number of lines lost before it. */
static bool
take_token (WcEventLog *log, const char *event, uint64_t now_us, uint32_t *suppressed)
{
  RateLimit *limit = g_hash_table_lookup (log->rate_limits, event);

  if (!limit)
    {
      limit = g_new0 (RateLimit, 1);
      g_hash_table_insert (log->rate_limits, (gpointer)event, limit);
    }
  if (now_us >= limit->refill_deadline_us)
    {
      limit->refill_deadline_us = now_us + SECOND_US;
      limit->remaining = EVENT_LINES_PER_S;
    }
  if (limit->remaining == 0)
    {
      limit->suppressed++;
      log->suppressed++;
      return false;
    }
  limit->remaining--;
  *suppressed = limit->suppressed + log->dropped;
  limit->suppressed = 0;
  log->dropped = 0;
  return true;
}

static void
flush_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  WcEventLog *log = watcher->data;

  (void)events;
  write_buffer (log);
  if (log->buffer->len == 0)
    return;
  ev_timer_set (&log->flush_timer, FLUSH_INTERVAL_S, 0.0);
  ev_timer_start (loop, &log->flush_timer);
}

/* Text that the descriptor does not accept now stays in the buffer; after a write error the buffer is discarded. */
static void
write_buffer (WcEventLog *log)
{
  ssize_t size;

  if (log->buffer->len == 0)
    return;
  size = write (log->descriptor, log->buffer->str, log->buffer->len);
  if (size > 0)
    g_string_erase (log->buffer, 0, size);
  else if (errno != EAGAIN && errno != EINTR)
    g_string_truncate (log->buffer, 0);
}
