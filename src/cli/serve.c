#include <signal.h>
#include <stdio.h>
#include <time.h>

#include <sodium.h>

#include "cli/arguments.h"
#include "edge/control_thread.h"
#include "edge/data_path.h"
#include "edge/forward_server.h"
#include "edge/log.h"
#include "edge/operator_api.h"
#include "edge/settings.h"
#include "edge/worker.h"

static int  run (int argc, char **argv);
static int  serve_datagrams (const char *path);
static int  serve_packets (const char *path);
static int  serve (const WcSettings *settings);
static void wait_for_stop (WcControlThread *control, const sigset_t *signals);

const WcCommand WC_COMMAND_SERVE = { "serve", "Run an instance; SIGTERM or SIGINT drains it.", run };

/* local functions */

static int
run (int argc, char **argv)
{
  static char       *path = NULL;
  const GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path, "Settings of the instance", "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  WcError error;
  int     status;

  if (!wc_arguments_parse (&WC_COMMAND_SERVE, NULL, entries, &argc, &argv, &status))
    return status;
  if (!path)
    {
      fprintf (stderr, "wigeoncart serve: --settings is required\n");
      return WC_EXIT_USAGE;
    }
  switch (wc_data_path_load (path, &error))
    {
    case WC_DATA_PATH_DATAGRAMS:
      status = serve_datagrams (path);
      break;
    case WC_DATA_PATH_PACKETS:
      status = serve_packets (path);
      break;
    default:
      fprintf (stderr, "wigeoncart serve: %s\n", error.message);
      status = WC_EXIT_USAGE;
    }
  g_free (path);
  path = NULL;
  return status;
}

static int
serve_datagrams (const char *path)
{
  WcError     error;
  WcLogLevel  level;
  WcSettings *settings = wc_settings_load (path, &error);
  int         status;

  if (!settings)
    {
      fprintf (stderr, "wigeoncart serve: %s\n", error.message);
      return WC_EXIT_USAGE;
    }
  if (wc_log_parse_level (settings->log_level, &level))
    wc_log_set_level (level);
  status = serve (settings);
  wc_settings_delete (settings);
  return status;
}

static int
serve_packets (const char *path)
{
  WcError            error;
  WcForwardSettings *settings = wc_forward_settings_load (path, &error);
  WcForwardServer   *server;

  if (!settings)
    {
      fprintf (stderr, "wigeoncart serve: %s\n", error.message);
      return WC_EXIT_USAGE;
    }
  server = wc_forward_server_new (settings, path, &error);
  if (server)
    wc_forward_server_run (server);
  else
    wc_log (WC_LOG_ERROR, "serve", "The instance could not be started: %s.", error.message);
  wc_forward_server_delete (server);
  wc_forward_settings_delete (settings);
  return server ? WC_EXIT_OK : WC_EXIT_ENVIRONMENT;
}

/* Runs an instance until it has stopped. SIGTERM and SIGINT are blocked before any thread is started, so that only the
 * main thread receives them. */
static int
serve (const WcSettings *settings)
{
  WcWorker       **workers = g_new0 (WcWorker *, settings->workers);
  WcControlThread *control = NULL;
  WcOperatorApi   *api = NULL;
  WcError          error;
  uint64_t         incarnation = 0;
  uint16_t         started = 0;
  sigset_t         signals;

  while (incarnation == 0)
    randombytes_buf (&incarnation, sizeof incarnation);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);

  for (; started < settings->workers; started++)
    {
      workers[started] = wc_worker_new (settings, incarnation, started, &error);
      if (!workers[started])
        break;
    }
  if (started == settings->workers)
    control = wc_control_thread_new (settings, incarnation, workers, started, &error);
  if (control)
    api = wc_operator_api_new (control, &error);
  if (api)
    {
      wc_log (WC_LOG_NOTICE, "serve", "Instance %s of domain %s has started.", settings->instance, settings->domain);
      wait_for_stop (control, &signals);
      wc_log (WC_LOG_NOTICE, "serve", "Instance %s has stopped.", settings->instance);
    }
  else
    wc_log (WC_LOG_ERROR, "serve", "The instance could not be started: %s.", error.message);
  wc_operator_api_delete (api);
  wc_control_thread_delete (control);
  while (started > 0)
    wc_worker_delete (workers[--started]);
  g_free (workers);
  return api ? WC_EXIT_OK : WC_EXIT_ENVIRONMENT;
}

static void
wait_for_stop (WcControlThread *control, const sigset_t *signals)
{
  const struct timespec interval = { .tv_nsec = 100 * 1000 * 1000 };

  while (!wc_control_thread_is_stopped (control))
    if (sigtimedwait (signals, NULL, &interval) > 0)
      {
        wc_log (WC_LOG_NOTICE, "serve", "Stop requested by SIGTERM or SIGINT.");
        wc_control_thread_terminate (control);
      }
}
