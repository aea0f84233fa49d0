#include <stdio.h>

#include "cli/arguments.h"
#include "cli/cli_options.h"
#include "cli/command.h"
#include "emulator/slopes.h"

static int run (int argc, char **argv);

const WcCommand WC_COMMAND_SLOPES = {
  .name = "slopes",
  .summary = "Measure control traffic, reads, memory and processor time of a fleet in virtual time.",
  .run = run,
};

/* local functions */

static int
run (int argc, char **argv)
{
  int                domains = 1;
  int                instances = 8;
  int                hosts = 100;
  int                changes = 4300;
  int                starts = 3300;
  int                steady_s = 60;
  int                burst = 10;
  int                outage_s = 0;
  int                seed = 1;
  gboolean           json = FALSE;
  WcSlopesPlan       plan;
  WcSlopesResult     result;
  int                status;
  const GOptionEntry entries[] = {
    { "domains", 0, 0, G_OPTION_ARG_INT, &domains, "Failure domains, 1 to 16 (1)", "N" },
    { "instances", 0, 0, G_OPTION_ARG_INT, &instances, "Instances of each domain, 1 to 1000 (8)", "N" },
    { "hosts", 0, 0, G_OPTION_ARG_INT, &hosts, "Hosts of the register, 1 to 20000 (100)", "N" },
    { "changes-per-day", 0, 0, G_OPTION_ARG_INT, &changes, "Edits of the register, 0 to 86400 (4300)", "N" },
    { "starts-per-day", 0, 0, G_OPTION_ARG_INT, &starts, "Instances killed and restarted, 0 to 20000 (3300)", "N" },
    { "steady-s", 0, 0, G_OPTION_ARG_INT, &steady_s, "Virtual duration of a steady phase, 1 to 3600 (60)", "S" },
    { "burst", 0, 0, G_OPTION_ARG_INT, &burst, "Edits of a burst, one a second, 1 to 600 (10)", "N" },
    { "outage-s", 0, 0, G_OPTION_ARG_INT, &outage_s, "Time for which half of the domains are cut off, 0 to 3600 (0)",
      "S" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of all random numbers (1)", "N" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &json, "Print one line of JSON", NULL },
    { 0 },
  };

  if (!wc_arguments_parse (&WC_COMMAND_SLOPES, NULL, entries, &argc, &argv, &status))
    return status;
  if (domains < 1 || domains > 16 || instances < 1 || instances > 1000 || hosts < 1 || hosts > 20000 || changes < 0 ||
      changes > 86400 || starts < 0 || starts > 20000 || steady_s < 1 || steady_s > 3600 || burst < 1 || burst > 600 ||
      outage_s < 0 || outage_s > 3600)
    return wc_cli_error (WC_EXIT_USAGE, "slopes", "an option is out of range");
  plan = (WcSlopesPlan){
    .domains = (uint32_t)domains,
    .instances = (uint32_t)instances,
    .hosts = (uint32_t)hosts,
    .changes_per_day = (uint32_t)changes,
    .starts_per_day = (uint32_t)starts,
    .steady_s = (uint32_t)steady_s,
    .burst = (uint32_t)burst,
    .outage_s = (uint32_t)outage_s,
    .seed = (uint32_t)seed,
  };
  wc_slopes_run (&plan, &result);
  wc_slopes_print (&plan, &result, json, stdout);
  return result.joined ? WC_EXIT_OK : WC_EXIT_FAILED;
}
