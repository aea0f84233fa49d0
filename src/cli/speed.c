#include <inttypes.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "cli/arguments.h"
#include "cli/cli_options.h"
#include "cli/command.h"
#include "cli/subcommand.h"
#include "emulator/speed_run.h"
#include "emulator/bare_relay.h"
#include "emulator/state_size.h"

enum
{
  STATE_ENTRIES = 65536,
  SHORT_ANSWER_BYTES = 1000,
  LONG_ANSWER_BYTES = 20000,
  LONG_ANSWERS = 2000,
  /* Default value of the setting queue_max_requests. */
  QUEUED_REQUESTS = 1024,
  CONNECTIONS = 500
};

static int  run (int argc, char **argv);
static int  run_measurement (int argc, char **argv);
static int  run_bare (int argc, char **argv);
static int  run_memory (int argc, char **argv);
static bool load_register (const char *path, WcRegister **reg);
static void request_bare_stop (int signal_number);
static void print_usage (FILE *stream);

static atomic_bool bare_stop_requested;

const WcCommand WC_COMMAND_SPEED = {
  .name = "speed",
  .summary = "Measure the packet path of a running instance.",
  .run = run,
};

/* local functions */

static int
run (int argc, char **argv)
{
  static const WcSubcommand subcommands[] = {
    { "run", run_measurement },
    { "bare", run_bare },
    { "memory", run_memory },
    { 0 },
  };

  return wc_subcommand_run (subcommands, print_usage, argc, argv);
}

static int
run_measurement (int argc, char **argv)
{
  const WcCommand command = {
    .name = "speed run",
    .summary = "Measures an instance and a bare relay in turn; both must be running. The exit status is 1\n"
               "if the target is missed."
  };
  char              *served = NULL;
  char              *bare = NULL;
  char              *sink = NULL;
  char              *reg = NULL;
  char              *relay_service = NULL;
  char              *relay_domain = NULL;
  char              *own_service = NULL;
  char              *own_domain = NULL;
  int                served_process = 0;
  int                bare_process = 0;
  int                rounds = 7;
  int                round_ms = 1000;
  int                flows = 16384;
  int                body_bytes = 64;
  int                window = 192;
  int                per_second = 10000;
  int                generator_core = -1;
  int                sink_core = -1;
  gboolean           json = FALSE;
  WcSpeedPlan        plan = { 0 };
  WcSpeedResult      result;
  WcError            error = { 0 };
  int                status;
  const GOptionEntry entries[] = {
    { "served", 0, 0, G_OPTION_ARG_STRING, &served, "Callers' address of the instance", "ADDRESS" },
    { "served-process", 0, 0, G_OPTION_ARG_INT, &served_process, "Process id of the program at this address", "N" },
    { "bare", 0, 0, G_OPTION_ARG_STRING, &bare, "Address of 'speed bare'", "ADDRESS" },
    { "bare-process", 0, 0, G_OPTION_ARG_INT, &bare_process, "Process id of the program at this address", "N" },
    { "sink", 0, 0, G_OPTION_ARG_STRING, &sink, "Listed peer address of the owner, bound by this program", "ADDRESS" },
    { "register", 0, 0, G_OPTION_ARG_FILENAME, &reg, "Published register, for its keys", "FILE" },
    { "relay-service", 0, 0, G_OPTION_ARG_STRING, &relay_service, "Service that the sink owns", "NAME" },
    { "relay-domain", 0, 0, G_OPTION_ARG_STRING, &relay_domain, "Failure domain of the sink", "NAME" },
    { "own-service", 0, 0, G_OPTION_ARG_STRING, &own_service, "Service that the instance owns", "NAME" },
    { "own-domain", 0, 0, G_OPTION_ARG_STRING, &own_domain, "Failure domain of the instance", "NAME" },
    { "rounds", 0, 0, G_OPTION_ARG_INT, &rounds, "Rounds, 1 to 50 (7)", "N" },
    { "round-ms", 0, 0, G_OPTION_ARG_INT, &round_ms, "Duration of a round, 10 to 10000 (1000)", "MS" },
    { "flows", 0, 0, G_OPTION_ARG_INT, &flows, "Flows, 1 to 1000000 (16384)", "N" },
    { "body-bytes", 0, 0, G_OPTION_ARG_INT, &body_bytes, "Size of the body of each request (64)", "BYTES" },
    { "window", 0, 0, G_OPTION_ARG_INT, &window, "Datagrams in flight, 32 to 4096 (192)", "N" },
    { "per-second", 0, 0, G_OPTION_ARG_INT, &per_second, "Rate for latencies, 100 to 100000 (10000)", "N" },
    { "generator-core", 0, 0, G_OPTION_ARG_INT, &generator_core, "Core of the sending thread", "N" },
    { "sink-core", 0, 0, G_OPTION_ARG_INT, &sink_core, "Core of the receiving thread", "N" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &json, "Print one line of JSON: [median, lowest, highest]", NULL },
    { 0 },
  };

  if (!wc_arguments_parse (&command, NULL, entries, &argc, &argv, &status))
    return status;
  if (!served || !bare || !sink || !reg || !relay_service || !relay_domain || !own_service != !own_domain)
    return wc_cli_error (WC_EXIT_USAGE, "speed run",
                         "--served, --bare, --sink, --register, --relay-service and --relay-domain are required");
  if (rounds < 1 || rounds > WC_SPEED_MAX_ROUNDS || round_ms < 10 || round_ms > 10000 || flows < 1 || flows > 1000000 ||
      body_bytes < 0 || body_bytes > 1200 || window < 32 || window > 4096 || per_second < 100 || per_second > 100000)
    return wc_cli_error (WC_EXIT_USAGE, "speed run", "an option is out of range");
  if (!wc_cli_parse_address ("served", served, &plan.served) || !wc_cli_parse_address ("bare", bare, &plan.bare) ||
      !wc_cli_parse_address ("sink", sink, &plan.sink) || !load_register (reg, &plan.reg))
    return WC_EXIT_USAGE;
  plan.served_process = served_process;
  plan.bare_process = bare_process;
  plan.relay_service = relay_service;
  plan.relay_domain = relay_domain;
  plan.own_service = own_service;
  plan.own_domain = own_domain;
  plan.rounds = (uint32_t)rounds;
  plan.round_ms = (uint32_t)round_ms;
  plan.flows = (uint32_t)flows;
  plan.body_bytes = (uint32_t)body_bytes;
  plan.window = (uint32_t)window;
  plan.per_second = (uint32_t)per_second;
  plan.generator_core = generator_core;
  plan.sink_core = sink_core;
  if (!wc_speed_run (&plan, &result, &error))
    {
      wc_register_unref (plan.reg);
      return wc_cli_error (WC_EXIT_ENVIRONMENT, "speed run", "%s", error.message);
    }
  wc_speed_print (&plan, &result, json, stdout);
  wc_register_unref (plan.reg);
  return wc_speed_meets_target (&result) ? WC_EXIT_OK : WC_EXIT_FAILED;
}

static int
run_bare (int argc, char **argv)
{
  const WcCommand    command = { .name = "speed bare", .summary = "Relays datagrams unchanged, for comparison." };
  char              *listen_text = NULL;
  char              *to_text = NULL;
  int                seconds = 120;
  WcAddress          listen;
  WcAddress          to;
  WcBareRelay       *relay;
  WcError            error = { 0 };
  int                status;
  const GOptionEntry entries[] = {
    { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "UDP address to receive on", "ADDRESS" },
    { "to", 0, 0, G_OPTION_ARG_STRING, &to_text, "UDP address to send to", "ADDRESS" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "End after this time (120)", "S" },
    { 0 },
  };

  if (!wc_arguments_parse (&command, NULL, entries, &argc, &argv, &status))
    return status;
  if (!listen_text || !to_text || seconds < 1)
    return wc_cli_error (WC_EXIT_USAGE, "speed bare", "--listen and --to are required and --seconds is at least 1");
  if (!wc_cli_parse_address ("listen", listen_text, &listen) || !wc_cli_parse_address ("to", to_text, &to))
    return WC_EXIT_USAGE;
  relay = wc_bare_relay_new (&listen, &to, &error);
  if (!relay)
    return wc_cli_error (WC_EXIT_ENVIRONMENT, "speed bare", "%s", error.message);
  signal (SIGTERM, request_bare_stop);
  signal (SIGINT, request_bare_stop);
  wc_bare_relay_run (relay, &bare_stop_requested, (uint64_t)seconds * 1000);
  printf ("%" PRIu64 " datagrams received\n", wc_bare_relay_get_count (relay));
  wc_bare_relay_delete (relay);
  return WC_EXIT_OK;
}

static int
run_memory (int argc, char **argv)
{
  const WcCommand command = {
    .name = "speed memory",
    .summary = "Prints the heap bytes per recorded ticket, waiting stream caller, stored answer of 1,000 and\n"
               "20,000 bytes, queued request and connection to a target, in full tables."
  };
  gboolean           json = FALSE;
  WcStateSize        sizes[6];
  const char *const  names[] = { "ticket", "waiter", "short_answer", "long_answer", "request", "connection" };
  int                status;
  const GOptionEntry entries[] = {
    { "json", 0, 0, G_OPTION_ARG_NONE, &json, "Print one line of JSON", NULL },
    { 0 },
  };

  if (!wc_arguments_parse (&command, NULL, entries, &argc, &argv, &status))
    return status;
  wc_state_size_tickets (STATE_ENTRIES, &sizes[0]);
  wc_state_size_waiters (STATE_ENTRIES, &sizes[1]);
  wc_state_size_answers (STATE_ENTRIES / 4, SHORT_ANSWER_BYTES, &sizes[2]);
  wc_state_size_answers (LONG_ANSWERS, LONG_ANSWER_BYTES, &sizes[3]);
  wc_state_size_requests (QUEUED_REQUESTS, &sizes[4]);
  wc_state_size_connections (CONNECTIONS, &sizes[5]);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double bytes_per_entry = (double)sizes[i].full_bytes / sizes[i].count;

      if (json)
        printf ("%s\"%s_bytes\": %.1f, \"%s_table_bytes\": %zu", i == 0 ? "{" : ", ", names[i], bytes_per_entry,
                names[i], sizes[i].empty_bytes);
      else
        printf ("%-14s %.1f bytes each in a full table of %u (%zu bytes when empty, %zu when full)\n", names[i],
                bytes_per_entry, sizes[i].count, sizes[i].empty_bytes, sizes[i].full_bytes);
    }
  if (json)
    printf ("}\n");
  return WC_EXIT_OK;
}

static bool
load_register (const char *path, WcRegister **reg)
{
  WcError error = { 0 };
  char   *text;
  gsize   size;

  if (!g_file_get_contents (path, &text, &size, NULL))
    {
      wc_cli_error (WC_EXIT_USAGE, "speed run", "cannot read %s", path);
      return false;
    }
  *reg = wc_register_parse (path, text, size, &error);
  g_free (text);
  if (!*reg)
    wc_cli_error (WC_EXIT_USAGE, "speed run", "%s", error.message);
  return *reg != NULL;
}

static void
request_bare_stop (int signal_number)
{
  (void)signal_number;
  atomic_store (&bare_stop_requested, true);
}

static void
print_usage (FILE *stream)
{
  fputs ("Usage: wigeoncart speed run|bare|memory [OPTION...]\n\n"
         "run compares an instance with a bare relay, bare is that relay, and memory measures the size of state.\n"
         "Each subcommand has --help. tools/speed.sh starts all processes that run needs.\n",
         stream);
}
