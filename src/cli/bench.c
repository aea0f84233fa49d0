#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "cli/arguments.h"
#include "cli/command.h"
#include "emulator/experiment.h"

/* Targets of the product policy, from the requirements (docs/design.md, section 12); not adjusted to results. */
static const double IMBALANCE_MAX = 1.10;
static const double IMBALANCE_LOAD = 0.70;
static const double RESPONSE_RATIO_MAX = 1.15;
static const double WORTH_RATIO_MIN = 0.95;
static const double WORTH_LOAD = 1.30;

static const double LOADS[] = { 0.50, 0.70, 0.85, 0.95, 1.30 };
static const double FAILURE_LOAD = 0.70;

typedef struct
{
  gboolean json;
  gint     seed;
  gchar   *policies;
  gchar   *deployment;
  gboolean steady_only;
} Options;

/* Number of targets that the product policy met and missed. */
typedef struct
{
  unsigned held;
  unsigned missed;
} Tally;

static int  run (int argc, char **argv);
static bool parse_options (int *argc, char ***argv, Options *options, int *exit_code);
static bool is_selected (const char *list, const char *name);
static void
run_load (const Options *options, const WcExperimentWorkload *workload, double load, bool failures, Tally *tally);
static void print_header (const WcExperimentWorkload *workload, double load, bool failures);
static void print_row (const WcExperimentConfig *config, const WcExperimentResult *result);
static void
print_json (const WcExperimentConfig *config, const WcExperimentResult *result, const WcExperimentResult *baseline);
static void check_targets (const Options *options, double load, const WcExperimentResult *result,
                           const WcExperimentResult *baseline, Tally *tally);
static void
check_target (const Options *options, const char *name, double value, double bound, bool held, Tally *tally);

const WcCommand WC_COMMAND_BENCH = { "bench", "Compare balancing policies in virtual time.", run };

/* local functions */

static int
run (int argc, char **argv)
{
  Options options = { .seed = 1 };
  Tally   tally = { 0 };
  int     exit_code = WC_EXIT_OK;

  if (!parse_options (&argc, &argv, &options, &exit_code))
    return exit_code;
  for (size_t i = 0; wc_experiment_get_workload (i); i++)
    {
      const WcExperimentWorkload *workload = wc_experiment_get_workload (i);

      if (!is_selected (options.deployment, workload->deployment))
        continue;
      for (size_t load = 0; load < G_N_ELEMENTS (LOADS); load++)
        run_load (&options, workload, LOADS[load], false, &tally);
      if (!options.steady_only)
        run_load (&options, workload, FAILURE_LOAD, true, &tally);
    }
  if (!options.json)
    printf ("\ntargets: %u held, %u missed (seed %d)\n", tally.held, tally.missed, options.seed);
  g_free (options.policies);
  g_free (options.deployment);
  return WC_EXIT_OK;
}

static bool
parse_options (int *argc, char ***argv, Options *options, int *exit_code)
{
  const GOptionEntry entries[] = {
    { "json", 0, 0, G_OPTION_ARG_NONE, &options->json, "Print JSON lines only", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options->seed, "Seed of the random numbers", "N" },
    { "policies", 0, 0, G_OPTION_ARG_STRING, &options->policies, "Policies to run, besides omniscient", "A,B" },
    { "deployment", 0, 0, G_OPTION_ARG_STRING, &options->deployment, "Deployment to run", "NAME" },
    { "steady-only", 0, 0, G_OPTION_ARG_NONE, &options->steady_only, "Leave out the runs with failures", NULL },
    G_OPTION_ENTRY_NULL,
  };

  return wc_arguments_parse (&WC_COMMAND_BENCH, NULL, entries, argc, argv, exit_code);
}

static bool
is_selected (const char *list, const char *name)
{
  gchar **names;
  bool    found;

  if (!list)
    return true;
  names = g_strsplit (list, ",", -1);
  found = g_strv_contains ((const gchar *const *)names, name);
  g_strfreev (names);
  return found;
}

static void
run_load (const Options *options, const WcExperimentWorkload *workload, double load, bool failures, Tally *tally)
{
  WcExperimentResult baseline;

  if (!options->json)
    print_header (workload, load, failures);
  /* The first policy is omniscient; the results of the other policies are compared with its result. */
  for (size_t i = 0; wc_experiment_get_policy (i); i++)
    {
      const WcExperimentPolicy *policy = wc_experiment_get_policy (i);
      WcExperimentConfig        config = {
               .workload = workload, .policy = policy, .load = load, .failures = failures, .seed = (uint32_t)options->seed
      };
      WcExperimentResult result;

      if (i > 0 && !is_selected (options->policies, policy->name))
        continue;
      wc_experiment_run (&config, &result);
      if (i == 0)
        baseline = result;
      if (options->json)
        print_json (&config, &result, &baseline);
      else
        print_row (&config, &result);
      if (strcmp (policy->name, "product") == 0 && !failures)
        check_targets (options, load, &result, &baseline, tally);
      fflush (stdout);
    }
}

static void
print_header (const WcExperimentWorkload *workload, double load, bool failures)
{
  printf ("\n%s %s, load %.0f%%%s, %u requests\n", workload->deployment, workload->service, load * 100,
          failures ? ", a host and an instance fail" : "", workload->requests);
  printf ("%-18s %6s %6s %8s %8s %8s %8s %7s %6s %6s %6s %6s %6s %7s %6s %6s %6s\n", "policy", "imbal", "im 1s",
          "p50wait", "p99wait", "p50resp", "p99resp", "worth", "late", "early-", "late-", "un-", "un-", "retries",
          "broken", "other", "ctl");
  printf ("%-18s %6s %6s %8s %8s %8s %8s %7s %6s %6s %6s %6s %6s %7s %6s %6s %6s\n", "", "", "", "ms", "ms", "ms", "ms",
          "on time", "", "refus", "refus", "known", "answd", "/req", "flows", "domain", "B/s");
}

static void
print_row (const WcExperimentConfig *config, const WcExperimentResult *result)
{
  printf ("%-18s %6.3f %6.3f %8.2f %8.2f %8.2f %8.2f %7.4f %6u %6u %6u %6u %6u %7.4f %6u %6.3f %6.0f\n",
          config->policy->name, result->imbalance, result->imbalance_1s, (double)result->p50_wait_us / 1000,
          (double)result->p99_wait_us / 1000, (double)result->p50_response_us / 1000,
          (double)result->p99_response_us / 1000, result->worth_on_time, result->late, result->refused_early,
          result->refused_late, result->unknown, result->unanswered, result->retries_per_request, result->broken_flows,
          result->cross_domain, result->control_bytes_per_node_s);
}

static void
print_json (const WcExperimentConfig *config, const WcExperimentResult *result, const WcExperimentResult *baseline)
{
  struct json_object *line = json_object_new_object ();

  json_object_object_add (line, "deployment", json_object_new_string (config->workload->deployment));
  json_object_object_add (line, "service", json_object_new_string (config->workload->service));
  json_object_object_add (line, "policy", json_object_new_string (config->policy->name));
  json_object_object_add (line, "load", json_object_new_double (config->load));
  json_object_object_add (line, "failures", json_object_new_boolean (config->failures));
  json_object_object_add (line, "seed", json_object_new_int64 (config->seed));
  json_object_object_add (line, "requests", json_object_new_int64 (result->requests));
  json_object_object_add (line, "imbalance", json_object_new_double (result->imbalance));
  json_object_object_add (line, "imbalance_1s", json_object_new_double (result->imbalance_1s));
  json_object_object_add (line, "p50_wait_us", json_object_new_uint64 (result->p50_wait_us));
  json_object_object_add (line, "p99_wait_us", json_object_new_uint64 (result->p99_wait_us));
  json_object_object_add (line, "p50_response_us", json_object_new_uint64 (result->p50_response_us));
  json_object_object_add (line, "p99_response_us", json_object_new_uint64 (result->p99_response_us));
  json_object_object_add (
      line, "p99_response_ratio",
      json_object_new_double ((double)result->p99_response_us / (double)MAX (baseline->p99_response_us, 1)));
  json_object_object_add (line, "worth_on_time", json_object_new_double (result->worth_on_time));
  json_object_object_add (line, "worth_ratio",
                          json_object_new_double (result->worth_on_time / baseline->worth_on_time));
  json_object_object_add (line, "broken_flows", json_object_new_int64 (result->broken_flows));
  json_object_object_add (line, "late", json_object_new_int64 (result->late));
  json_object_object_add (line, "refused_early", json_object_new_int64 (result->refused_early));
  json_object_object_add (line, "refused_late", json_object_new_int64 (result->refused_late));
  json_object_object_add (line, "unknown", json_object_new_int64 (result->unknown));
  json_object_object_add (line, "unanswered", json_object_new_int64 (result->unanswered));
  json_object_object_add (line, "retries_per_request", json_object_new_double (result->retries_per_request));
  json_object_object_add (line, "cross_domain", json_object_new_double (result->cross_domain));
  json_object_object_add (line, "control_bytes_per_node_s", json_object_new_double (result->control_bytes_per_node_s));
  puts (json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
}

static void
check_targets (const Options *options, double load, const WcExperimentResult *result,
               const WcExperimentResult *baseline, Tally *tally)
{
  double response = (double)result->p99_response_us / (double)baseline->p99_response_us;
  double worth = result->worth_on_time / baseline->worth_on_time;

  if (load == IMBALANCE_LOAD)
    check_target (options, "imbalance, at most", result->imbalance, IMBALANCE_MAX, result->imbalance <= IMBALANCE_MAX,
                  tally);
  if (load == 0.70 || load == 0.85)
    check_target (options, "p99 response / omniscient, at most", response, RESPONSE_RATIO_MAX,
                  response <= RESPONSE_RATIO_MAX, tally);
  if (load == WORTH_LOAD)
    check_target (options, "worth on time / omniscient, at least", worth, WORTH_RATIO_MIN, worth >= WORTH_RATIO_MIN,
                  tally);
}

static void
check_target (const Options *options, const char *name, double value, double bound, bool held, Tally *tally)
{
  if (held)
    tally->held++;
  else
    tally->missed++;
  if (!options->json)
    printf ("  target: product %s %.2f: %.3f, %s\n", name, bound, value, held ? "held" : "MISSED");
}
