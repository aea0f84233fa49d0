#include "emulator/experiment_state.h"

enum
{
  HOST_QUEUE_MAX = 32,
  /* A host that has just started is 3 times slower at first and at full speed after 5 s. */
  COLD_START_US = 5000000,
  COLD_EXTRA_PERCENT = 200,
  WINDOW_US = 1000000,
  /* Load endpoints show figures that are up to this old. */
  REPORT_INTERVAL_US = 200000
};

static void     start_run (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt);
static void     start_waiting (WcExperiment *experiment, uint32_t host);
static void     report_end (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt, WcOutcome outcome);
static void     add_busy (WcExperimentHost *host, uint64_t from_us, uint64_t to_us);
static uint64_t cold_run_us (const WcExperimentHost *host, uint64_t now_us, uint64_t run_us);

void
wc_experiment_hosts_init (WcExperiment *experiment)
{
  const WcExperimentWorkload *workload = experiment->config->workload;

  for (uint32_t domain = 0; domain < WC_EXPERIMENT_DOMAINS; domain++)
    for (uint32_t i = 0; i < workload->hosts[domain]; i++)
      {
        WcExperimentHost *host = &experiment->hosts[experiment->host_count++];

        host->id = domain << 16 | experiment->host_count;
        host->domain = domain;
        host->alive = true;
        host->waiting = g_array_new (FALSE, FALSE, sizeof (WcExperimentAttempt));
        host->running_attempts = g_array_new (FALSE, FALSE, sizeof (WcExperimentAttempt));
        host->windows = g_array_new (FALSE, TRUE, sizeof (uint64_t));
      }
}

void
wc_experiment_hosts_finish (WcExperiment *experiment)
{
  for (uint32_t i = 0; i < experiment->host_count; i++)
    {
      g_array_unref (experiment->hosts[i].waiting);
      g_array_unref (experiment->hosts[i].running_attempts);
      g_array_unref (experiment->hosts[i].windows);
    }
}

void
wc_experiment_host_receive (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt)
{
  WcExperimentHost *receiver = &experiment->hosts[host];

  if (!receiver->alive || receiver->waiting->len >= HOST_QUEUE_MAX)
    report_end (experiment, host, attempt, WC_OUTCOME_REFUSED);
  else if (receiver->running_attempts->len < experiment->config->workload->slots)
    start_run (experiment, host, attempt);
  else
    g_array_append_val (receiver->waiting, attempt);
}

void
wc_experiment_host_done (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt)
{
  WcExperimentHost    *runner = &experiment->hosts[host];
  WcExperimentRequest *entry = &experiment->requests[attempt.request];

  for (guint i = 0; i < runner->running_attempts->len; i++)
    {
      const WcExperimentAttempt *running = &g_array_index (runner->running_attempts, WcExperimentAttempt, i);

      if (running->request != attempt.request || running->epoch != attempt.epoch)
        continue;
      g_array_remove_index_fast (runner->running_attempts, i);
      break;
    }
  report_end (experiment, host, attempt,
              experiment->now_us >= entry->deadline_us ? WC_OUTCOME_CANCELLED : WC_OUTCOME_DONE);
  start_waiting (experiment, host);
}

/* Everything on the host fails; connections are reset. */
void
wc_experiment_host_fail (WcExperiment *experiment, uint32_t host)
{
  WcExperimentHost *failed = &experiment->hosts[host];

  failed->alive = false;
  failed->epoch++;
  for (guint i = 0; i < failed->running_attempts->len; i++)
    report_end (experiment, host, g_array_index (failed->running_attempts, WcExperimentAttempt, i), WC_OUTCOME_FAILED);
  for (guint i = 0; i < failed->waiting->len; i++)
    report_end (experiment, host, g_array_index (failed->waiting, WcExperimentAttempt, i), WC_OUTCOME_FAILED);
  g_array_set_size (failed->running_attempts, 0);
  g_array_set_size (failed->waiting, 0);
}

void
wc_experiment_host_return (WcExperiment *experiment, uint32_t host)
{
  experiment->hosts[host].alive = true;
  experiment->hosts[host].cold_since_us = experiment->now_us;
}

/* What the load endpoint says: old figures, and 0 at all times from the first host. */
uint32_t
wc_experiment_host_get_reported_load (WcExperiment *experiment, uint32_t host)
{
  WcExperimentHost *reporter = &experiment->hosts[host];

  if (host == 0)
    return 0;
  if (experiment->now_us >= reporter->reported_us + REPORT_INTERVAL_US)
    {
      reporter->reported_load = reporter->running_attempts->len + reporter->waiting->len;
      reporter->reported_us = experiment->now_us;
    }
  return reporter->reported_load;
}

/* local functions */

static void
start_run (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt)
{
  WcExperimentHost    *runner = &experiment->hosts[host];
  WcExperimentRequest *entry = &experiment->requests[attempt.request];
  uint64_t             run_us = cold_run_us (runner, experiment->now_us, entry->run_us);
  uint64_t             end_us;

  /* The holder has failed meanwhile and its connection is closed. */
  if (entry->epoch != attempt.epoch)
    return;
  /* The target stops at the deadline that came with the request. */
  end_us = MAX (MIN (experiment->now_us + run_us, entry->deadline_us), experiment->now_us);
  g_array_append_val (runner->running_attempts, attempt);
  entry->start_us = experiment->now_us;
  add_busy (runner, experiment->now_us, end_us);
  wc_experiment_schedule (experiment, end_us, WC_EXPERIMENT_HOST_DONE, attempt.request, host, attempt.epoch,
                          runner->epoch);
}

static void
start_waiting (WcExperiment *experiment, uint32_t host)
{
  WcExperimentHost *runner = &experiment->hosts[host];

  while (runner->running_attempts->len < experiment->config->workload->slots && runner->waiting->len > 0)
    {
      WcExperimentAttempt attempt = g_array_index (runner->waiting, WcExperimentAttempt, 0);

      g_array_remove_index (runner->waiting, 0);
      if (experiment->now_us >= experiment->requests[attempt.request].deadline_us)
        report_end (experiment, host, attempt, WC_OUTCOME_CANCELLED);
      else
        start_run (experiment, host, attempt);
    }
}

static void
report_end (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt, WcOutcome outcome)
{
  const WcExperimentRequest *entry = &experiment->requests[attempt.request];
  uint64_t                   delay_us = 0;

  if (entry->epoch != attempt.epoch)
    return;
  /* The omniscient dispatcher knows a free slot at once; the answer's way is added when the caller gets it. */
  if (experiment->config->policy->routing != WC_ROUTING_OMNISCIENT)
    delay_us = wc_experiment_generate_delay_us (experiment, experiment->hosts[host].domain,
                                                experiment->instances[entry->instance].domain);
  wc_experiment_schedule (experiment, experiment->now_us + delay_us, WC_EXPERIMENT_ATTEMPT_END, attempt.request, host,
                          attempt.epoch, outcome);
}

static void
add_busy (WcExperimentHost *host, uint64_t from_us, uint64_t to_us)
{
  host->busy_us += to_us - from_us;
  while (from_us < to_us)
    {
      uint64_t window = from_us / WINDOW_US;
      uint64_t end_us = MIN (to_us, (window + 1) * WINDOW_US);

      if (host->windows->len <= window)
        g_array_set_size (host->windows, (guint)window + 1);
      g_array_index (host->windows, uint64_t, window) += end_us - from_us;
      from_us = end_us;
    }
}

static uint64_t
cold_run_us (const WcExperimentHost *host, uint64_t now_us, uint64_t run_us)
{
  uint64_t age_us = now_us - host->cold_since_us;

  if (host->cold_since_us == 0 || age_us >= COLD_START_US)
    return run_us;
  return run_us + run_us * COLD_EXTRA_PERCENT / 100 * (COLD_START_US - age_us) / COLD_START_US;
}
