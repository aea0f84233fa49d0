#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "cli/arguments.h"
#include "cli/command.h"
#include "emulator/flow_experiment.h"

enum
{
  SCALE_MAX = 100
};

/* Targets of the default policy, from the requirements (docs/decisions/placement.md); not adjusted to results. */
static const double   GOODPUT_RATIO_MIN = 0.90;
static const uint64_t REJECTED_P95_MAX_US = 50 * 1000;

typedef struct
{
  gboolean json;
  gint     seed;
  gint     scale;
  gchar   *scenario;
  gchar   *policy;
} Options;

static int  run (int argc, char **argv);
static bool parse_options (int *argc, char ***argv, Options *options, int *exit_code);
static bool check_options (const Options *options);
static void run_scenario (const Options *options, const WcFlowExperimentScenario *scenario);
static void print_header (const WcFlowExperimentScenario *scenario);
static void print_row (const WcFlowExperimentConfig *config, const WcFlowExperimentResult *result, double ratio);
static void print_json (const WcFlowExperimentConfig *config, const WcFlowExperimentResult *result, double ratio);
static struct json_object *counts_to_json (const WcFlowExperimentCounts *counts);
static double              get_goodput (const WcFlowExperimentConfig *config, const WcFlowExperimentResult *result);

const WcCommand WC_COMMAND_BENCH_FLOWS = { "bench-flows", "Compare admission policies under load at its worst.", run };

/* local functions */

static int
run (int argc, char **argv)
{
  Options options = { .seed = 1, .scale = 1 };
  int     exit_code = WC_EXIT_OK;

  if (!parse_options (&argc, &argv, &options, &exit_code))
    return exit_code;
  if (!check_options (&options))
    exit_code = WC_EXIT_USAGE;
  for (size_t i = 0; exit_code == WC_EXIT_OK && wc_flow_experiment_get_scenario (i); i++)
    {
      const WcFlowExperimentScenario *scenario = wc_flow_experiment_get_scenario (i);

      if (!options.scenario || strcmp (options.scenario, scenario->name) == 0)
        run_scenario (&options, scenario);
    }
  g_free (options.scenario);
  g_free (options.policy);
  return exit_code;
}

static bool
parse_options (int *argc, char ***argv, Options *options, int *exit_code)
{
  const GOptionEntry entries[] = {
    { "json", 0, 0, G_OPTION_ARG_NONE, &options->json, "Print JSON lines only", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "Seed of the random numbers", "N" },
    { "scale", 0, 0, G_OPTION_ARG_INT, &options->scale, "Multiply hosts, instances and load, 1 to 100", "N" },
    { "scenario", 0, 0, G_OPTION_ARG_STRING, &options->scenario, "Scenario to run; all by default", "NAME" },
    { "policy", 0, 0, G_OPTION_ARG_STRING, &options->policy, "Policy to run besides omniscient; all by default",
      "NAME" },
    G_OPTION_ENTRY_NULL,
  };

  return wc_arguments_parse (&WC_COMMAND_BENCH_FLOWS, NULL, entries, argc, argv, exit_code);
}

static bool
check_options (const Options *options)
{
  if (options->scale < 1 || options->scale > SCALE_MAX)
    {
      fprintf (stderr, "wigeoncart bench-flows: --scale %d is not between 1 and %d\n", options->scale, SCALE_MAX);
      return false;
    }
  if (options->scenario && !wc_flow_experiment_find_scenario (options->scenario))
    {
      fprintf (stderr, "wigeoncart bench-flows: unknown scenario \"%s\"; known:", options->scenario);
      for (size_t i = 0; wc_flow_experiment_get_scenario (i); i++)
        fprintf (stderr, " %s", wc_flow_experiment_get_scenario (i)->name);
      fputc ('\n', stderr);
      return false;
    }
  if (options->policy && !wc_flow_experiment_find_policy (options->policy))
    {
      fprintf (stderr, "wigeoncart bench-flows: unknown policy \"%s\"; known:", options->policy);
      for (size_t i = 0; wc_flow_experiment_get_policy (i); i++)
        fprintf (stderr, " %s", wc_flow_experiment_get_policy (i)->name);
      fputc ('\n', stderr);
      return false;
    }
  return true;
}

/* The first policy is omniscient; the others are compared with its result. */
static void
run_scenario (const Options *options, const WcFlowExperimentScenario *scenario)
{
  double reference = 0;

  if (!options->json)
    print_header (scenario);
  for (size_t i = 0; wc_flow_experiment_get_policy (i); i++)
    {
      const WcFlowExperimentConfig config = {
        .scenario = scenario,
        .policy = wc_flow_experiment_get_policy (i),
        .seed = (uint32_t)options->seed,
        .scale = (uint32_t)options->scale,
      };
      WcFlowExperimentResult result;
      double                 ratio;

      if (i > 0 && options->policy && strcmp (options->policy, config.policy->name) != 0)
        continue;
      wc_flow_experiment_run (&config, &result);
      if (i == 0)
        reference = get_goodput (&config, &result);
      ratio = reference > 0 ? get_goodput (&config, &result) / reference : 0;
      if (options->json)
        print_json (&config, &result, ratio);
      else
        print_row (&config, &result, ratio);
      fflush (stdout);
    }
}

static void
print_header (const WcFlowExperimentScenario *scenario)
{
  const WcFlowExperimentPhase *judged = &scenario->phases[scenario->judged_phase];

  printf ("\n%s: phase %zu of %zu, load %.0f%%", scenario->name, scenario->judged_phase + 1, scenario->phase_count,
          judged->load * 100);
  if (judged->fault != WC_FLOW_FAULT_NONE)
    printf (", %s", WC_FLOW_FAULT_STRINGS[judged->fault]);
  printf (", %u requests a flow\n", scenario->requests_per_flow);
  printf ("%-15s %8s %8s %6s %6s %6s %8s %8s %10s %10s  %s\n", "policy", "requests", "in time", "ratio", "late",
          "failed", "rejected", "refused", "rej. p95", "recovery", "in time by class");
  printf ("%-15s %8s %8s %6s %6s %6s %8s %8s %10s %10s\n", "", "", "", "", "", "", "by inst.", "by host", "ms", "ms");
}

static void
print_row (const WcFlowExperimentConfig *config, const WcFlowExperimentResult *result, double ratio)
{
  const WcFlowExperimentCounts *judged = &result->phases[config->scenario->judged_phase];
  double                        requests = MAX (judged->requests, 1);

  printf ("%-15s %8u %8.3f %6.3f %6.3f %6.3f %8u %8u %10.1f", config->policy->name, judged->requests,
          judged->in_time / requests, ratio, judged->late / requests, (judged->failed + judged->expired) / requests,
          result->rejections, result->refusals, (double)result->rejected_p95_us / 1000);
  if (result->recovery_us == UINT64_MAX)
    printf (" %10s", "never");
  else
    printf (" %10.0f", (double)result->recovery_us / 1000);
  for (size_t i = 0; i < config->scenario->class_count; i++)
    printf ("  %s %.3f", config->scenario->classes[i].name,
            (double)result->classes[i].in_time / MAX (result->classes[i].requests, 1));
  if (config->policy->admission == &WC_ADMISSION_DEADLINE)
    printf ("  %s%s", ratio >= GOODPUT_RATIO_MIN ? "held" : "MISSED",
            result->rejected_p95_us <= REJECTED_P95_MAX_US ? "" : ", rejections late");
  putchar ('\n');
}

static void
print_json (const WcFlowExperimentConfig *config, const WcFlowExperimentResult *result, double ratio)
{
  struct json_object *line = json_object_new_object ();
  struct json_object *phases = json_object_new_array ();
  struct json_object *classes = json_object_new_object ();

  for (size_t i = 0; i < config->scenario->phase_count; i++)
    json_object_array_add (phases, counts_to_json (&result->phases[i]));
  for (size_t i = 0; i < config->scenario->class_count; i++)
    json_object_object_add (classes, config->scenario->classes[i].name, counts_to_json (&result->classes[i]));
  json_object_object_add (line, "scenario", json_object_new_string (config->scenario->name));
  json_object_object_add (line, "policy", json_object_new_string (config->policy->name));
  json_object_object_add (line, "seed", json_object_new_int64 (config->seed));
  json_object_object_add (line, "scale", json_object_new_int64 (config->scale));
  json_object_object_add (line, "judged_phase", json_object_new_uint64 (config->scenario->judged_phase));
  json_object_object_add (line, "in_time_ratio", json_object_new_double (ratio));
  json_object_object_add (line, "phases", phases);
  json_object_object_add (line, "classes", classes);
  json_object_object_add (line, "rejections", json_object_new_int64 (result->rejections));
  json_object_object_add (line, "refusals", json_object_new_int64 (result->refusals));
  json_object_object_add (line, "rejected_p95_us", json_object_new_uint64 (result->rejected_p95_us));
  json_object_object_add (line, "recovery_us",
                          result->recovery_us == UINT64_MAX ? NULL : json_object_new_uint64 (result->recovery_us));
  puts (json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
}

static struct json_object *
counts_to_json (const WcFlowExperimentCounts *counts)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "requests", json_object_new_int64 (counts->requests));
  json_object_object_add (object, "in_time", json_object_new_int64 (counts->in_time));
  json_object_object_add (object, "late", json_object_new_int64 (counts->late));
  json_object_object_add (object, "failed", json_object_new_int64 (counts->failed));
  json_object_object_add (object, "expired", json_object_new_int64 (counts->expired));
  return object;
}

static double
get_goodput (const WcFlowExperimentConfig *config, const WcFlowExperimentResult *result)
{
  const WcFlowExperimentCounts *judged = &result->phases[config->scenario->judged_phase];

  return (double)judged->in_time / MAX (judged->requests, 1);
}
