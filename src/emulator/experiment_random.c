#include <assert.h>
#include <math.h>

#include "emulator/experiment_state.h"

enum
{
  CALLER_DELAY_US = 1000,
  CALLER_JITTER_US = 100,
  INSTANCE_DELAY_US = 100,
  DOMAIN_JITTER_US = 500,
  /* A lost segment or datagram between domains costs a retransmission. */
  DOMAIN_LOSS_PERMILLE = 5,
  RETRANSMIT_US = 50000
};

static double generate_normal (GRand *random);

double
wc_experiment_generate_exponential (GRand *random, double mean)
{
  return -mean * log (1.0 - g_rand_double (random));
}

uint32_t
wc_experiment_generate_run_us (GRand *random, const WcExperimentClass *class)
{
  double run_us;

  if (class->run_times == WC_RUN_TIMES_EXPONENTIAL)
    run_us = wc_experiment_generate_exponential (random, class->mean_us);
  else
    run_us = class->mean_us * exp (class->sigma * generate_normal (random) - class->sigma * class->sigma / 2);
  return run_us < 100 ? 100 : (uint32_t)run_us;
}

/* Most customers have the default worth. */
uint32_t
wc_experiment_generate_worth (GRand *random)
{
  gint32 percent = g_rand_int_range (random, 0, 100);

  if (percent < 70)
    return 1;
  if (percent < 85)
    return 2;
  return percent < 95 ? 5 : 20;
}

uint64_t
wc_experiment_generate_caller_delay_us (WcExperiment *experiment)
{
  return CALLER_DELAY_US + (uint64_t)wc_experiment_generate_exponential (experiment->network_random, CALLER_JITTER_US);
}

uint64_t
wc_experiment_generate_delay_us (WcExperiment *experiment, uint32_t from_domain, uint32_t to_domain)
{
  uint64_t delay_us;

  if (from_domain == to_domain)
    return INSTANCE_DELAY_US;
  delay_us = experiment->config->workload->domain_delay_us +
             (uint64_t)wc_experiment_generate_exponential (experiment->network_random, DOMAIN_JITTER_US);
  while (g_rand_int_range (experiment->network_random, 0, 1000) < DOMAIN_LOSS_PERMILLE)
    delay_us += RETRANSMIT_US;
  return delay_us;
}

/* local functions */

/* Box-Muller transform. */
static double
generate_normal (GRand *random)
{
  double radius = sqrt (-2.0 * log (1.0 - g_rand_double (random)));

  return radius * cos (2.0 * G_PI * g_rand_double (random));
}
