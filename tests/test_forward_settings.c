#include "test_main.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "edge/data_path.h"
#include "edge/forward_settings.h"
#include "edge/settings_watch.h"

static const char VALID[] = "// comment\n{\n"
                            "\"data_path\": \"packets\",\n\"instance\": \"i-1\",\n\"domain\": \"a\",\n"
                            "\"packets\": \"10.1.0.10:8172\",\n\"ready\": \"10.1.0.10:8167\",\n"
                            "\"peers\": \"10.1.0.10:8166\",\n\"operators\": \"10.1.0.10:7720\",\n"
                            "\"store\": \"10.200.1.7:8169\",\n\"seeds\": [\"10.1.0.10:8166\", \"10.2.0.40:8166\"],\n"
                            "\"flow_life_s\": 60,\n\"stop_limit_s\": 5.5\n}\n";

static char *
write_file (const char *text)
{
  char *path;
  int   fd = g_file_open_tmp ("wigeoncart-XXXXXX", &path, NULL);

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  return path;
}

/* Guards against settings that are ignored or stored with a wrong value or unit. */
START_TEST (valid_file_is_read)
{
  char              *path = write_file (VALID);
  WcForwardSettings *settings = wc_forward_settings_load (path, NULL);

  ck_assert_ptr_nonnull (settings);
  ck_assert_str_eq (settings->instance, "i-1");
  ck_assert_uint_eq (settings->packets.port, 8172);
  ck_assert_uint_eq (settings->seed_count, 2);
  ck_assert_uint_eq (settings->flow_lifetime_ms, 60000);
  ck_assert_uint_eq (settings->stop_limit_ms, 5500);
  ck_assert_int_eq (wc_data_path_load (path, NULL), WC_DATA_PATH_PACKETS);
  wc_forward_settings_delete (settings);
  unlink (path);
  g_free (path);
}
END_TEST

/* Guards against decisions that are switched on without being asked for, or not switched on when they are. */
START_TEST (contracts_switch_decisions_on)
{
  static const char extra[] =
      "\"stop_limit_s\": 5.5,\n\"contracts\": [\"flows\", \"places\"],\n\"warm_up_overrun\": 1.5,\n"
      "\"warm_up_slack\": 5";
  char             **parts = g_strsplit (VALID, "\"stop_limit_s\": 5.5", 2);
  char              *text = g_strjoinv (extra, parts);
  char              *paths[] = { write_file (VALID), write_file (text) };
  WcForwardSettings *settings[] = { wc_forward_settings_load (paths[0], NULL),
                                    wc_forward_settings_load (paths[1], NULL) };

  ck_assert_ptr_nonnull (settings[0]);
  ck_assert_ptr_nonnull (settings[1]);
  ck_assert (!settings[0]->features.warm_up_limit && !settings[0]->features.host_failures);
  ck_assert (settings[1]->features.warm_up_limit && !settings[1]->features.host_failures);
  ck_assert_uint_eq (settings[1]->warm_up_slack, 5);
  for (int i = 0; i < 2; i++)
    {
      wc_forward_settings_delete (settings[i]);
      unlink (paths[i]);
      g_free (paths[i]);
    }
  g_free (text);
  g_strfreev (parts);
}
END_TEST

/* Guards against invalid values that are accepted, and against error messages without the line and the key. */
START_TEST (invalid_values_are_rejected)
{
  static const struct
  {
    const char *from;
    const char *to;
    const char *message;
  } cases[] = {
    { "\"domain\": \"a\"", "\"domain\": \"\"", ":5: domain:" },
    { "10.1.0.10:8172", "10.1.0.10", ":6: packets:" },
    { "\"flow_life_s\": 60", "\"flow_life_s\": \"60\"", ":12: flow_life_s:" },
    { "\"stop_limit_s\": 5.5", "\"stop_limit_s\": 0.5", ":13: stop_limit_s:" },
    { "10.2.0.40:8166", "10.2.0.40:0", ":11: seeds:" },
    { "\"store\"", "\"stores\"", ":10: stores: unknown key" },
    { "\"packets\",", "\"frames\",", ":3: data_path:" },
    { "\"stop_limit_s\": 5.5", "\"stop_limit_s\": 5.5,\n\"contracts\": [7]", ":14: contracts:" },
    { "\"stop_limit_s\": 5.5", "\"stop_limit_s\": 5.5,\n\"warm_up_overrun\": -1", ":14: warm_up_overrun:" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char  **parts = g_strsplit (VALID, cases[i].from, 2);
      char   *text = g_strjoinv (cases[i].to, parts);
      char   *path = write_file (text);
      WcError error = { 0 };

      ck_assert_ptr_null (wc_forward_settings_load (path, &error));
      ck_assert_msg (strstr (error.message, cases[i].message) != NULL, "%s", error.message);
      unlink (path);
      g_free (path);
      g_free (text);
      g_strfreev (parts);
    }
}
END_TEST

static void
count_seeds (void *user_data, const WcForwardSettings *settings)
{
  *(size_t *)user_data = settings->seed_count;
}

/* Guards against changed seeds that do not take effect without a signal, and against an invalid file that does. */
START_TEST (changed_file_is_reloaded)
{
  struct ev_loop    *loop = ev_loop_new (0);
  WcEventLog        *log = wc_event_log_new (loop, STDERR_FILENO, "i-1");
  char              *path = write_file (VALID);
  WcForwardSettings *settings = wc_forward_settings_load (path, NULL);
  size_t             seeds = 0;
  WcSettingsWatch   *watch = wc_settings_watch_new (path, settings, log, count_seeds, &seeds);
  char             **parts = g_strsplit (VALID, "\"10.1.0.10:8166\", ", 2);
  char              *text = g_strjoinv ("", parts);

  wc_settings_watch_tick (watch, 1);
  ck_assert_uint_eq (seeds, 0);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  wc_settings_watch_tick (watch, 10 * 1000 * 1000);
  ck_assert_uint_eq (seeds, 1);
  seeds = 0;
  ck_assert (g_file_set_contents (path, "{", -1, NULL));
  wc_settings_watch_tick (watch, 20 * 1000 * 1000);
  ck_assert_uint_eq (seeds, 0);
  g_strfreev (parts);
  g_free (text);
  wc_settings_watch_delete (watch);
  wc_forward_settings_delete (settings);
  wc_event_log_delete (log);
  ev_loop_destroy (loop);
  unlink (path);
  g_free (path);
}
END_TEST

/* Guards against a missing settings file that is not logged, or that is logged again at each poll. */
START_TEST (missing_file_is_logged_once)
{
  struct ev_loop    *loop = ev_loop_new (0);
  int                pipe_fds[2];
  WcEventLog        *log;
  char              *path = write_file (VALID);
  WcForwardSettings *settings = wc_forward_settings_load (path, NULL);
  size_t             seeds = 0;
  WcSettingsWatch   *watch;
  char               text[4096] = "";
  char             **lines;

  ck_assert_int_eq (pipe (pipe_fds), 0);
  log = wc_event_log_new (loop, pipe_fds[1], "i-1");
  watch = wc_settings_watch_new (path, settings, log, count_seeds, &seeds);
  unlink (path);
  for (uint64_t second = 1; second <= 5; second++)
    wc_settings_watch_tick (watch, second * 1000 * 1000);
  ck_assert (g_file_set_contents (path, VALID, -1, NULL));
  wc_settings_watch_tick (watch, 6 * 1000 * 1000);
  ck_assert_uint_eq (seeds, 2);
  wc_settings_watch_delete (watch);
  wc_event_log_delete (log);
  ck_assert_int_gt (read (pipe_fds[0], text, sizeof text - 1), 0);
  lines = g_strsplit (text, "\n", 0);
  ck_assert_uint_eq (g_strv_length (lines), 3);
  ck_assert_ptr_nonnull (strstr (lines[0], "reload_failed"));
  ck_assert_ptr_nonnull (strstr (lines[1], "reloaded"));
  g_strfreev (lines);
  wc_forward_settings_delete (settings);
  ev_loop_destroy (loop);
  unlink (path);
  g_free (path);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, valid_file_is_read);
  tcase_add_test (tests, contracts_switch_decisions_on);
  tcase_add_test (tests, invalid_values_are_rejected);
  tcase_add_test (tests, changed_file_is_reloaded);
  tcase_add_test (tests, missing_file_is_logged_once);
}

int
main (void)
{
  return wc_test_run ("forward_settings", add_tests);
}
