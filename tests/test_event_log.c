#include "test_main.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <json-c/json.h>

#include "edge/clock.h"
#include "edge/event_log.h"

typedef struct
{
  struct ev_loop *loop;
  WcEventLog     *log;
  int             pipe_fds[2];
} Fixture;

static void
init (Fixture *fixture)
{
  fixture->loop = ev_loop_new (0);
  ck_assert_int_eq (pipe (fixture->pipe_fds), 0);
  fixture->log = wc_event_log_new (fixture->loop, fixture->pipe_fds[1], "instance-1");
}

/* Deletes the log. Return: all text that it wrote. */
static char *
finish (Fixture *fixture)
{
  GString *text = g_string_new (NULL);
  char     buffer[4096];
  ssize_t  size;

  wc_event_log_delete (fixture->log);
  close (fixture->pipe_fds[1]);
  while ((size = read (fixture->pipe_fds[0], buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, size);
  close (fixture->pipe_fds[0]);
  ev_loop_destroy (fixture->loop);
  return g_string_free (text, FALSE);
}

static size_t
count_lines (const char *text)
{
  size_t lines = 0;

  for (; *text; text++)
    lines += *text == '\n';
  return lines;
}

/* Guards against lines that are not valid JSON: values from the store may contain quotes and control characters. */
START_TEST (lines_are_json)
{
  Fixture             fixture;
  WcEventLine        *line;
  struct json_object *object;
  char               *text;

  init (&fixture);
  line = wc_event_log_begin (fixture.log, "view", "host_rejected");
  wc_event_line_add_text (line, "reason", "state \"\n\x01\" is not known");
  wc_event_line_add_uint (line, "revision", UINT64_MAX);
  wc_event_line_add_id (line, "request", 0xabc);
  wc_event_line_end (line);
  text = finish (&fixture);
  ck_assert_uint_eq (count_lines (text), 1);
  object = json_tokener_parse (text);
  ck_assert_ptr_nonnull (object);
  ck_assert_str_eq (json_object_get_string (json_object_object_get (object, "event")), "host_rejected");
  ck_assert_str_eq (json_object_get_string (json_object_object_get (object, "instance")), "instance-1");
  ck_assert_str_eq (json_object_get_string (json_object_object_get (object, "reason")),
                    "state \"\n\x01\" is not known");
  ck_assert_str_eq (json_object_get_string (json_object_object_get (object, "request")), "0000000000000abc");
  ck_assert_uint_eq (json_object_get_uint64 (json_object_object_get (object, "revision")), UINT64_MAX);
  json_object_put (object);
  g_free (text);
}
END_TEST

/* Guards against frequent lines of one event that fill the log or suppress the lines of another event. */
START_TEST (lines_are_rate_limited_per_event)
{
  Fixture fixture;
  char   *text;

  init (&fixture);
  for (int i = 0; i < 1000; i++)
    wc_event_line_end (wc_event_log_begin (fixture.log, "forward", "placed"));
  wc_event_line_end (wc_event_log_begin (fixture.log, "forward", "host_gone"));
  ck_assert_uint_ge (wc_event_log_get_suppressed (fixture.log), 900);
  text = finish (&fixture);
  /* At most the rate limit of the first event, plus one line of the second. */
  ck_assert_uint_le (count_lines (text), 100 + 1);
  ck_assert_ptr_nonnull (strstr (text, "host_gone"));
  g_free (text);
}
END_TEST

/* Guards against an instance that blocks because its log is not read: a full pipe must drop and count lines instead. */
START_TEST (full_pipe_does_not_block)
{
  Fixture fixture;
  char    padding[1024];
  char   *text;

  init (&fixture);
  memset (padding, 'x', sizeof padding - 1);
  padding[sizeof padding - 1] = '\0';
  for (int i = 0; i < 400; i++)
    {
      /* Each line has its own event name, so that no line is suppressed by a rate limit. */
      char        *event = g_strdup_printf ("event-%d", i);
      WcEventLine *line = wc_event_log_begin (fixture.log, "test", g_intern_string (event));

      wc_event_line_add_text (line, "padding", padding);
      wc_event_line_end (line);
      g_free (event);
    }
  for (int i = 0; i < 5; i++)
    ev_run (fixture.loop, EVRUN_ONCE);
  ck_assert_uint_gt (wc_event_log_get_suppressed (fixture.log), 0);
  text = finish (&fixture);
  ck_assert_uint_gt (count_lines (text), 0);
  g_free (text);
}
END_TEST

/*
 * Guards against log lines in the wrong causal order when wall clocks differ: a line written after a message was
 * received must have a higher logical clock than that message.
 */
START_TEST (logical_clock_is_merged_from_messages)
{
  /* Clock of another process, whose wall clock is one minute ahead. */
  uint64_t ahead = wc_clock_wall_us () + 60 * 1000 * 1000;
  Fixture  fixture;
  char    *text;
  char    *expected = g_strdup_printf ("\"logical\":%" G_GUINT64_FORMAT, ahead + 1);

  init (&fixture);
  wc_event_line_end (wc_event_log_begin (fixture.log, "a", "first"));
  ck_assert_uint_lt (wc_event_log_get_logical_clock (fixture.log), ahead);
  wc_event_log_merge_logical_clock (fixture.log, ahead);
  wc_event_log_merge_logical_clock (fixture.log, 20);
  wc_event_line_end (wc_event_log_begin (fixture.log, "a", "second"));
  ck_assert_uint_eq (wc_event_log_get_logical_clock (fixture.log), ahead + 1);
  text = finish (&fixture);
  ck_assert_ptr_nonnull (strstr (text, expected));
  g_free (expected);
  g_free (text);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, lines_are_json);
  tcase_add_test (tests, lines_are_rate_limited_per_event);
  tcase_add_test (tests, full_pipe_does_not_block);
  tcase_add_test (tests, logical_clock_is_merged_from_messages);
}

int
main (void)
{
  return wc_test_run ("event_log", add_tests);
}
