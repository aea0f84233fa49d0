#include "edge/settings_watch.h"

#include <assert.h>
#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <sys/stat.h>

#include <glib.h>

enum
{
  /* Changed seeds must take effect within seconds; polling the file costs one system call. */
  POLL_INTERVAL_US = 1000 * 1000
};

struct WcSettingsWatch
{
  char                    *path;
  const WcForwardSettings *settings;
  WcEventLog              *log;
  WcSettingsChanged        changed;
  void                    *user_data;
  uint64_t                 poll_deadline_us;
  bool                     is_missing;
  struct stat              last_stat;
};

static bool check_file (WcSettingsWatch *watch);
static void log_missing_file (WcSettingsWatch *watch, int error_number);
static bool needs_restart (const WcForwardSettings *old, const WcForwardSettings *new);

WcSettingsWatch *
wc_settings_watch_new (const char *path, const WcForwardSettings *settings, WcEventLog *log, WcSettingsChanged changed,
                       void *user_data)
{
  WcSettingsWatch *watch = g_new0 (WcSettingsWatch, 1);

  assert (path != NULL && settings != NULL && changed != NULL);

  watch->path = g_strdup (path);
  watch->settings = settings;
  watch->log = log;
  watch->changed = changed;
  watch->user_data = user_data;
  (void)check_file (watch);
  return watch;
}

void
wc_settings_watch_delete (WcSettingsWatch *watch)
{
  if (!watch)
    return;
  g_free (watch->path);
  g_free (watch);
}

void
wc_settings_watch_tick (WcSettingsWatch *watch, uint64_t now_us)
{
  if (now_us < watch->poll_deadline_us)
    return;
  watch->poll_deadline_us = now_us + POLL_INTERVAL_US;
  if (check_file (watch))
    wc_settings_watch_reload (watch);
}

void
wc_settings_watch_reload (WcSettingsWatch *watch)
{
  WcError            error = { 0 };
  WcForwardSettings *settings = wc_forward_settings_load (watch->path, &error);
  WcEventLine       *line;

  (void)check_file (watch);
  line = wc_event_log_begin (watch->log, "settings", settings ? "reloaded" : "reload_failed");
  if (!settings)
    wc_event_line_add_text (line, "reason", error.message);
  else
    {
      wc_event_line_add_uint (line, "seeds", settings->seed_count);
      wc_event_line_add_text (line, "other_changes",
                              needs_restart (watch->settings, settings) ? "take effect at the next start" : "none");
      watch->changed (watch->user_data, settings);
    }
  wc_event_line_end (line);
  wc_forward_settings_delete (settings);
}

/* local functions */

/* Return: whether the file has changed since the last call. A missing file is logged once. */
static bool
check_file (WcSettingsWatch *watch)
{
  struct stat current;
  bool        changed;

  if (stat (watch->path, &current) < 0)
    {
      if (!watch->is_missing)
        log_missing_file (watch, errno);
      watch->is_missing = true;
      return false;
    }
  watch->is_missing = false;
  changed = current.st_mtim.tv_sec != watch->last_stat.st_mtim.tv_sec ||
            current.st_mtim.tv_nsec != watch->last_stat.st_mtim.tv_nsec ||
            current.st_size != watch->last_stat.st_size || current.st_ino != watch->last_stat.st_ino;
  watch->last_stat = current;
  return changed;
}

static void
log_missing_file (WcSettingsWatch *watch, int error_number)
{
  WcEventLine *line = wc_event_log_begin (watch->log, "settings", "reload_failed");

  wc_event_line_add_text (line, "reason", g_strerror (error_number));
  wc_event_line_end (line);
}

static bool
needs_restart (const WcForwardSettings *old, const WcForwardSettings *new)
{
  return strcmp (old->instance, new->instance) != 0 || strcmp (old->domain, new->domain) != 0 ||
         !wc_address_equal (&old->packets, &new->packets) || !wc_address_equal (&old->ready, &new->ready) ||
         !wc_address_equal (&old->peers, &new->peers) || !wc_address_equal (&old->operators, &new->operators) ||
         !wc_address_equal (&old->store, &new->store) || old->flow_lifetime_ms != new->flow_lifetime_ms ||
         old->stop_limit_ms != new->stop_limit_ms ||
         memcmp (&old->features, &new->features, sizeof old->features) != 0 ||
         old->warm_up_overrun != new->warm_up_overrun || old->warm_up_slack != new->warm_up_slack ||
         old->other_domain_cost_ms != new->other_domain_cost_ms;
}
