#include "soak.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "edge/clock.h"

enum
{
  PRINTED_VIOLATIONS_MAX = 10,
  PROBE_INTERVAL_US = 500 * 1000,
  /* After a stall of this process, emulated hosts and callers respond late themselves, so nothing counts as stable. */
  STALL_MIN_US = 60 * 1000,
  /* Phase without faults at the end of a run, and the share of requests in it that must succeed. */
  RECOVERY_US = 9 * 1000 * 1000,
  RECOVERY_DONE_MIN_PERCENT = 98
};

static const double TICK_S = 0.005;

static bool init (Soak *soak, const char *binary, uint32_t seed, double seconds);
static void tick_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void check_stall (Soak *soak, uint64_t now_us);
static int  report (const Soak *soak);

int
main (int argc, char **argv)
{
  static Soak soak;
  ev_timer    tick;
  int         status = EXIT_FAILURE;

  if (argc != 4 || sodium_init () < 0)
    {
      fprintf (stderr, "Usage: soak BINARY SEED SECONDS\n");
      return 2;
    }
  if (init (&soak, argv[1], (uint32_t)strtoul (argv[2], NULL, 10), g_ascii_strtod (argv[3], NULL)))
    {
      ev_timer_init (&tick, tick_expired, TICK_S, TICK_S);
      tick.data = &soak;
      ev_timer_start (soak.loop, &tick);
      ev_run (soak.loop, 0);
      status = report (&soak);
    }
  soak_callers_stop (&soak);
  soak_instances_stop (&soak);
  soak_hosts_stop (&soak);
  wc_emulated_store_delete (soak.store);
  g_hash_table_destroy (soak.runs);
  g_hash_table_destroy (soak.departed);
  for (int i = 0; i < SOAK_ROUTES; i++)
    if (soak.routes[i].changes)
      g_array_free (soak.routes[i].changes, TRUE);
  g_rand_free (soak.random);
  g_rand_free (soak.fault_random);
  g_free (soak.directory);
  return status;
}

void
soak_report_violation (Soak *soak, const char *guarantee, const char *format, ...)
{
  va_list arguments;

  if (soak->violations++ >= PRINTED_VIOLATIONS_MAX)
    return;
  printf ("soak: seed %u, %.3f s: BROKEN, %s: ", soak->seed, (double)(soak->now_us - soak->start_us) / 1e6, guarantee);
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  printf ("\n");
}

void
soak_trace (Soak *soak, const char *format, ...)
{
  va_list arguments;

  if (!g_getenv ("SOAK_TRACE"))
    return;
  printf ("soak: %.3f s: ", (double)(soak->now_us - soak->start_us) / 1e6);
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  printf ("\n");
}

WcAddress
soak_address (const Soak *soak, int subnet, int number, uint16_t port)
{
  return (
      WcAddress){ .ip = { 127, soak->net, (uint8_t)(10 + subnet), (uint8_t)(10 + number) }, .family = 4, .port = port };
}

double
soak_random_range (Soak *soak, double low, double high)
{
  return g_rand_double_range (soak->random, low, high);
}

bool
soak_is_stable (const Soak *soak)
{
  return soak->now_us >= soak->global_faults_end_us + SOAK_STABLE_US;
}

void
soak_mark_unstable (Soak *soak, uint64_t until_us)
{
  soak->global_faults_end_us = MAX (soak->global_faults_end_us, until_us);
}

/* local functions */

static bool
init (Soak *soak, const char *binary, uint32_t seed, double seconds)
{
  WcAddress address;
  WcError   error;

  setvbuf (stdout, NULL, _IOLBF, 0);
  /* The default loop of libev handles SIGCHLD and would reap the processes under test. */
  soak->loop = ev_loop_new (0);
  soak->binary = binary;
  soak->seed = seed;
  soak->random = g_rand_new_with_seed (seed);
  soak->fault_random = g_rand_new_with_seed (seed + 1);
  soak->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  soak->departed = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  /* Concurrent runs use different networks and ports. */
  soak->net = (uint8_t)(1 + getpid () % 250);
  soak->port = (uint16_t)(20000 + getpid () % 2500 * 4);
  soak->directory = g_strdup_printf ("build/soak-runs/%u-%d", seed, (int)getpid ());
  soak->loss = 0.002;
  soak->now_us = wc_clock_monotonic_us ();
  soak->start_us = soak->now_us;
  soak->global_faults_end_us = soak->now_us;
  soak->end_us = soak->now_us + (uint64_t)(seconds * 1e6) + RECOVERY_US;
  g_mkdir_with_parents (soak->directory, 0755);
  address = soak_address (soak, SOAK_SUBNET_STORE, 0, 0);
  soak->store = wc_emulated_store_new (soak->loop, &address, 5, &error);
  if (!soak->store)
    {
      fprintf (stderr, "soak: %s\n", error.message);
      return false;
    }
  for (int i = 0; i < SOAK_ROUTES; i++)
    soak->routes[i] = (SoakRoute){ (uint16_t)(8000 + i), i % SOAK_SERVICES, i % 3 == 0, true, soak->now_us, 0, NULL };
  soak_config_publish (soak);
  return soak_hosts_start (soak) && soak_instances_start (soak) && soak_callers_start (soak);
}

static void
tick_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  static uint64_t probe_deadline_us;
  Soak           *soak = watcher->data;
  uint64_t        now_us = wc_clock_monotonic_us ();

  (void)events;
  check_stall (soak, now_us);
  soak->now_us = now_us;
  if (soak->recovery_start_us == 0 && now_us >= soak->end_us - RECOVERY_US)
    soak_faults_end (soak);
  soak_faults_tick (soak);
  soak_instances_tick (soak);
  soak_hosts_tick (soak);
  soak_callers_tick (soak);
  if (now_us >= probe_deadline_us)
    {
      probe_deadline_us = now_us + PROBE_INTERVAL_US;
      soak_instances_probe (soak);
    }
  if (now_us >= soak->end_us)
    ev_break (loop, EVBREAK_ALL);
}

static void
check_stall (Soak *soak, uint64_t now_us)
{
  if (now_us - soak->now_us < STALL_MIN_US)
    return;
  soak->counts.stalls++;
  soak->global_faults_end_us = MAX (soak->global_faults_end_us, now_us);
}

static int
report (const Soak *soak)
{
  const SoakCounts *counts = &soak->counts;
  bool              recovered = counts->recovery_requests > 0 &&
                   counts->recovery_done * 100 >= counts->recovery_requests * RECOVERY_DONE_MIN_PERCENT;

  if (!recovered)
    printf ("soak: seed %u: BROKEN, recovery: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
            " requests done after the faults\n",
            soak->seed, counts->recovery_done, counts->recovery_requests);
  printf ("{\"seed\":%u,\"violations\":%u,\"recovered\":%s,\"faults\":%" G_GUINT64_FORMAT
          ",\"starts\":%" G_GUINT64_FORMAT ",\"requests\":%" G_GUINT64_FORMAT ",\"done\":%" G_GUINT64_FORMAT
          ",\"failed\":%" G_GUINT64_FORMAT ",\"system_resets\":%" G_GUINT64_FORMAT
          ",\"checked_openings\":%" G_GUINT64_FORMAT ",\"checked_drains\":%" G_GUINT64_FORMAT
          ",\"foreign_resets\":%" G_GUINT64_FORMAT ",\"checked_resets\":%" G_GUINT64_FORMAT
          ",\"checked_rollbacks\":%" G_GUINT64_FORMAT ",\"evacuations\":%" G_GUINT64_FORMAT
          ",\"checked_evacuations\":%" G_GUINT64_FORMAT ",\"restores\":%" G_GUINT64_FORMAT
          ",\"wrong_host\":%" G_GUINT64_FORMAT ",\"store_calls\":%" G_GUINT64_FORMAT ",\"stalls\":%" G_GUINT64_FORMAT
          "}\n",
          soak->seed, soak->violations, recovered ? "true" : "false", counts->faults, counts->starts, counts->requests,
          counts->done, counts->failed, counts->system_resets, counts->checked_openings, counts->checked_drains,
          counts->foreign_resets, counts->checked_resets, counts->checked_rollbacks, counts->evacuations,
          counts->checked_evacuations, counts->restores, counts->wrong_host, wc_emulated_store_get_calls (soak->store),
          counts->stalls);
  return soak->violations == 0 && recovered ? EXIT_SUCCESS : EXIT_FAILURE;
}
