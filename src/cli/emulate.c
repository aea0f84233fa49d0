#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <ev.h>

#include "cli/arguments.h"
#include "cli/cli_options.h"
#include "cli/command.h"
#include "cli/subcommand.h"
#include "emulator/emulated_fabric.h"
#include "emulator/emulated_platform.h"
#include "emulator/emulated_targets.h"
#include "emulator/emulator_json.h"

static int run (int argc, char **argv);
static int run_platform (int argc, char **argv);
static int run_targets (int argc, char **argv);
static int run_fabric (int argc, char **argv);
static int
add_targets (WcEmulatedTargets *targets, const char *register_path, const char *targets_path, const char *domain);
static int  add_listed_targets (WcEmulatedTargets *targets, const char *path);
static int  run_loop (struct ev_loop *loop, const char *label, const WcAddress *address);
static void stop_loop (struct ev_loop *loop, ev_signal *watcher, int events);
static bool check_register_text (const char *path, const char *text);
static bool parse_addresses (const char *text, GArray *addresses);
static void print_usage (FILE *stream);

const WcCommand WC_COMMAND_EMULATE = { .name = "emulate",
                                       .summary = "Emulate the platform, targets or the fabric.",
                                       .run = run };

/* local functions */

static int
run (int argc, char **argv)
{
  static const WcSubcommand parts[] = {
    { "platform", run_platform },
    { "targets", run_targets },
    { "fabric", run_fabric },
    { 0 },
  };

  return wc_subcommand_run (parts, print_usage, argc, argv);
}

static int
run_platform (int argc, char **argv)
{
  const WcCommand          command = { .name = "emulate platform",
                                       .summary = "Emulate the configuration service and the list of instances." };
  char                    *listen_text = NULL;
  char                    *register_path = NULL;
  char                    *instances_path = NULL;
  char                    *register_text = NULL;
  char                    *instances_text = NULL;
  int                      reads_per_s = 2000;
  WcEmulatedPlatformConfig config = { 0 };
  WcEmulatedPlatform      *platform;
  struct ev_loop          *loop;
  WcError                  error = { 0 };
  WcAddress                address;
  int                      result;
  const GOptionEntry       entries[] = {
          { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "HTTP address, also of /control/", "ADDRESS" },
          { "register", 0, 0, G_OPTION_ARG_FILENAME, &register_path, "Published register", "FILE" },
          { "instances", 0, 0, G_OPTION_ARG_FILENAME, &instances_path, "List of instances", "FILE" },
          { "reads-per-s", 0, 0, G_OPTION_ARG_INT, &reads_per_s, "Maximum reads of all readers per second (2000)", "N" },
          { 0 },
  };

  if (!wc_arguments_parse (&command, NULL, entries, &argc, &argv, &result))
    return result;
  if (!listen_text || reads_per_s < 1)
    return wc_cli_error (WC_EXIT_USAGE, "emulate platform", "--listen is required and --reads-per-s is at least 1");
  if (!wc_cli_parse_address ("listen", listen_text, &config.listen))
    return WC_EXIT_USAGE;
  if (register_path && !g_file_get_contents (register_path, &register_text, NULL, NULL))
    return wc_cli_error (WC_EXIT_USAGE, "emulate platform", "cannot read %s", register_path);
  if (register_text && !check_register_text (register_path, register_text))
    return WC_EXIT_USAGE;
  if (instances_path && !g_file_get_contents (instances_path, &instances_text, NULL, NULL))
    return wc_cli_error (WC_EXIT_USAGE, "emulate platform", "cannot read %s", instances_path);

  config.register_text = register_text;
  config.instances_text = instances_text;
  config.reads_per_s = (uint32_t)reads_per_s;
  loop = ev_default_loop (0);
  platform = wc_emulated_platform_new (loop, &config, &error);
  if (!platform)
    return wc_cli_error (WC_EXIT_ENVIRONMENT, "emulate platform", "%s", error.message);
  wc_emulated_platform_get_address (platform, &address);
  result = run_loop (loop, "platform", &address);
  wc_emulated_platform_delete (platform);
  ev_loop_destroy (loop);
  g_free (register_text);
  g_free (instances_text);
  g_free (listen_text);
  g_free (register_path);
  g_free (instances_path);
  return result;
}

static int
run_targets (int argc, char **argv)
{
  const WcCommand         command = { .name = "emulate targets",
                                      .summary = "Emulate the targets of a register, each at its own address." };
  char                   *control_text = NULL;
  char                   *register_path = NULL;
  char                   *targets_path = NULL;
  char                   *domain = NULL;
  char                   *run_text = NULL;
  int                     seed = 1;
  int                     event_ms;
  int                     queue_max;
  int                     max_connections;
  int                     load_lag_ms;
  double                  cold_factor;
  WcEmulatedTargetsConfig config;
  WcEmulatedTargets      *targets;
  struct ev_loop         *loop;
  WcError                 error = { 0 };
  WcAddress               address = { 0 };
  int                     result;
  const GOptionEntry      entries[] = {
         { "register", 0, 0, G_OPTION_ARG_FILENAME, &register_path, "Register that names the targets", "FILE" },
         { "targets", 0, 0, G_OPTION_ARG_FILENAME, &targets_path, "List of targets instead of a register", "FILE" },
         { "domain", 0, 0, G_OPTION_ARG_STRING, &domain, "Only the register's targets of this domain", "NAME" },
         { "control", 0, 0, G_OPTION_ARG_STRING, &control_text, "HTTP address of /control/", "ADDRESS" },
         { "run-ms", 0, 0, G_OPTION_ARG_STRING, &run_text,
           "Mean run time and its distribution: fixed, exponential or lognormal (20:exponential)", "MS[:SHAPE]" },
         { "event-ms", 0, 0, G_OPTION_ARG_INT, &event_ms, "Time between events of a feed, 0 for none (500)", "MS" },
         { "queue", 0, 0, G_OPTION_ARG_INT, &queue_max, "Maximum requests that wait for a slot of a target (2)", "N" },
         { "max-connections", 0, 0, G_OPTION_ARG_INT, &max_connections, "Maximum connections of a target (2000)", "N" },
         { "cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &cold_factor, "Run time multiplier of a cold target (4)", "FACTOR" },
         { "load-lag-ms", 0, 0, G_OPTION_ARG_INT, &load_lag_ms, "Maximum age of the values in GET /load (1000)", "MS" },
         { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of all random numbers (1)", "N" },
         { 0 },
  };

  wc_emulated_targets_config_init (&config);
  event_ms = (int)config.event_ms;
  queue_max = (int)config.queue_max;
  max_connections = (int)config.max_connections;
  load_lag_ms = (int)config.load_lag_ms;
  cold_factor = config.cold_factor;
  if (!wc_arguments_parse (&command, NULL, entries, &argc, &argv, &result))
    return result;
  if (!register_path == !targets_path)
    return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "exactly one of --register and --targets is required");
  if (!wc_cli_parse_address ("control", control_text, &config.control))
    return WC_EXIT_USAGE;
  if (run_text && !wc_run_time_parse (run_text, &config.run_time))
    return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "--run-ms: '%s' is not a run time such as 20:exponential",
                         run_text);
  if (event_ms < 0 || queue_max < 0 || max_connections < 1 || load_lag_ms < 1 || cold_factor < 1)
    return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "an option is out of range");
  config.seed = (uint32_t)seed;
  config.event_ms = (uint32_t)event_ms;
  config.queue_max = (uint32_t)queue_max;
  config.max_connections = (uint32_t)max_connections;
  config.load_lag_ms = (uint32_t)load_lag_ms;
  config.cold_factor = cold_factor;

  loop = ev_default_loop (0);
  targets = wc_emulated_targets_new (loop, &config, &error);
  if (!targets)
    return wc_cli_error (WC_EXIT_ENVIRONMENT, "emulate targets", "%s", error.message);
  result = add_targets (targets, register_path, targets_path, domain);
  if (result == WC_EXIT_OK)
    {
      if (config.control.family != 0)
        wc_emulated_targets_get_control_address (targets, &address);
      result = run_loop (loop, "targets", &address);
    }
  wc_emulated_targets_delete (targets);
  ev_loop_destroy (loop);
  g_free (control_text);
  g_free (register_path);
  g_free (targets_path);
  g_free (domain);
  g_free (run_text);
  return result;
}

static int
run_fabric (int argc, char **argv)
{
  const WcCommand        command = { .name = "emulate fabric",
                                     .summary = "Emulate a fabric that sprays datagrams across the instances." };
  char                  *listen_text = NULL;
  char                  *control_text = NULL;
  char                  *instances_text = NULL;
  int                    seed = 1;
  WcEmulatedFabricConfig config = { .idle_timeout_s = 120, .faults = { .reorder_ms = 20 } };
  WcEmulatedFabric      *fabric;
  struct ev_loop        *loop;
  GArray                *instances;
  WcError                error = { 0 };
  WcAddress              address;
  int                    result;
  const GOptionEntry     entries[] = {
        { "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "UDP address for callers", "ADDRESS" },
        { "instances", 0, 0, G_OPTION_ARG_STRING, &instances_text, "UDP addresses of instances", "ADDRESS,..." },
        { "control", 0, 0, G_OPTION_ARG_STRING, &control_text, "HTTP address of /control/", "ADDRESS" },
        { "loss", 0, 0, G_OPTION_ARG_DOUBLE, &config.faults.loss, "Share of lost datagrams", "SHARE" },
        { "duplicate", 0, 0, G_OPTION_ARG_DOUBLE, &config.faults.duplicate, "Share of duplicated datagrams", "SHARE" },
        { "reorder", 0, 0, G_OPTION_ARG_DOUBLE, &config.faults.reorder, "Share of reordered datagrams", "SHARE" },
        { "reorder-ms", 0, 0, G_OPTION_ARG_DOUBLE, &config.faults.reorder_ms,
          "Additional delay of reordered datagrams (20)", "MS" },
        { "delay-ms", 0, 0, G_OPTION_ARG_DOUBLE, &config.faults.delay_ms, "One-way delay", "MS" },
        { "jitter-ms", 0, 0, G_OPTION_ARG_DOUBLE, &config.faults.jitter_ms, "Maximum additional delay", "MS" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of all random numbers (1)", "N" },
        { 0 },
  };

  if (!wc_arguments_parse (&command, NULL, entries, &argc, &argv, &result))
    return result;
  if (!listen_text)
    return wc_cli_error (WC_EXIT_USAGE, "emulate fabric", "--listen is required");
  instances = g_array_new (FALSE, FALSE, sizeof (WcAddress));
  if (!wc_cli_parse_address ("listen", listen_text, &config.listen) ||
      !wc_cli_parse_address ("control", control_text, &config.control) ||
      (instances_text && !parse_addresses (instances_text, instances)))
    return WC_EXIT_USAGE;
  config.instances = (const WcAddress *)(const void *)instances->data;
  config.instance_count = instances->len;
  config.seed = (uint32_t)seed;
  loop = ev_default_loop (0);
  fabric = wc_emulated_fabric_new (loop, &config, &error);
  g_array_free (instances, TRUE);
  if (!fabric)
    return wc_cli_error (WC_EXIT_ENVIRONMENT, "emulate fabric", "%s", error.message);
  wc_emulated_fabric_get_address (fabric, &address);
  result = run_loop (loop, "fabric", &address);
  wc_emulated_fabric_delete (fabric);
  ev_loop_destroy (loop);
  g_free (listen_text);
  g_free (control_text);
  g_free (instances_text);
  return result;
}

/* Parses the register and prints an error if it is invalid. Returns whether it is valid. */
static bool
check_register_text (const char *path, const char *text)
{
  WcError     error = { 0 };
  WcRegister *reg = wc_register_parse (path, text, strlen (text), &error);

  if (!reg)
    wc_cli_error (WC_EXIT_USAGE, "emulate platform", "%s", error.message);
  else
    wc_register_unref (reg);
  return reg != NULL;
}

static int
add_targets (WcEmulatedTargets *targets, const char *register_path, const char *targets_path, const char *domain)
{
  WcRegister *reg;
  WcError     error = { 0 };
  char       *text;
  gsize       size;
  WcStatus    status;

  if (targets_path)
    return add_listed_targets (targets, targets_path);
  if (!g_file_get_contents (register_path, &text, &size, NULL))
    return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "cannot read %s", register_path);
  reg = wc_register_parse (register_path, text, size, &error);
  g_free (text);
  if (!reg)
    return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "%s", error.message);
  status = wc_emulated_targets_add_register (targets, reg, domain, &error);
  wc_register_unref (reg);
  if (status != WC_STATUS_OK)
    return wc_cli_error (WC_EXIT_ENVIRONMENT, "emulate targets", "%s", error.message);
  if (wc_emulated_targets_get_count (targets) == 0)
    return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "the register has no targets, or none in --domain");
  return WC_EXIT_OK;
}

/* Reads {"targets": [{"host", "service", "address", "slots", "cold_start_ms"}, ...]}. */
static int
add_listed_targets (WcEmulatedTargets *targets, const char *path)
{
  WcError             error = { 0 };
  struct json_object *document = wc_emulator_json_load (path, &error);
  struct json_object *list;
  int                 result = WC_EXIT_OK;

  if (!document)
    return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "%s", error.message);
  if (!json_object_object_get_ex (document, "targets", &list) || !json_object_is_type (list, json_type_array))
    {
      json_object_put (document);
      return wc_cli_error (WC_EXIT_USAGE, "emulate targets", "%s: \"targets\" must be a list", path);
    }
  for (size_t i = 0; i < json_object_array_length (list) && result == WC_EXIT_OK; i++)
    {
      struct json_object *entry = json_object_array_get_idx (list, i);
      const char         *address = wc_emulator_json_get_string (entry, "address", "");
      WcTargetSpec        spec = {
               .host = wc_emulator_json_get_string (entry, "host", NULL),
               .service = wc_emulator_json_get_string (entry, "service", NULL),
               .slots = (uint32_t)wc_emulator_json_get_int (entry, "slots", 2),
               .cold_start_ms = (uint32_t)wc_emulator_json_get_int (entry, "cold_start_ms", 0),
      };

      if (!spec.host || !spec.service || spec.slots < 1 || !wc_address_parse (address, &spec.address))
        result = wc_cli_error (WC_EXIT_USAGE, "emulate targets", "%s: target %zu needs host, service and address", path,
                               i + 1);
      else if (!wc_emulated_targets_add (targets, &spec, &error))
        result = wc_cli_error (WC_EXIT_ENVIRONMENT, "emulate targets", "%s", error.message);
    }
  json_object_put (document);
  return result;
}

static int
run_loop (struct ev_loop *loop, const char *label, const WcAddress *address)
{
  ev_signal interrupt;
  ev_signal terminate;
  char      text[WC_ADDRESS_TEXT_BYTES];

  /* Writes to a closed connection fail with EPIPE, which is handled where the write is made. */
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&interrupt, stop_loop, SIGINT);
  ev_signal_init (&terminate, stop_loop, SIGTERM);
  ev_signal_start (loop, &interrupt);
  ev_signal_start (loop, &terminate);
  printf ("%s ready on %s\n", label, wc_address_format (address, text));
  fflush (stdout);
  ev_run (loop, 0);
  ev_signal_stop (loop, &interrupt);
  ev_signal_stop (loop, &terminate);
  return WC_EXIT_OK;
}

static void
stop_loop (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static bool
parse_addresses (const char *text, GArray *addresses)
{
  char    **items = g_strsplit (text, ",", -1);
  WcAddress address;
  bool      valid = true;

  for (char **item = items; *item && valid; item++)
    {
      valid = wc_cli_parse_address ("instances", *item, &address);
      if (valid)
        g_array_append_val (addresses, address);
    }
  g_strfreev (items);
  return valid;
}

static void
print_usage (FILE *stream)
{
  fputs ("Usage: wigeoncart emulate platform|targets|fabric [OPTION...]\n\n"
         "Runs a part of the environment of a fleet, for demonstrations and tests.\n"
         "Each subcommand has --help.\n",
         stream);
}
