#include "emulator/experiment.h"

#include <glib.h>

/* Sizes and delays are those of the two deployments (docs/design.md, section 1); the mix, the run times and the
 * deadlines are assumptions. */
static const WcExperimentWorkload WORKLOADS[] = {
  {
      .deployment = "sinos",
      .service = "order-desk",
      .hosts = { 5, 5, 4 },
      .instances = { 3, 3, 2 },
      .slots = 2,
      .domain_delay_us = 4000,
      .requests = 60000,
      .classes = { { "view", 70, true, WC_RUN_TIMES_EXPONENTIAL, 20000, 0, 1000000 },
                   { "order", 30, false, WC_RUN_TIMES_LOGNORMAL, 60000, 0.8, 2000000 } },
      .class_count = 2,
  },
  {
      .deployment = "sinos",
      .service = "pattern-delivery",
      .hosts = { 2, 1, 1 },
      .instances = { 3, 3, 2 },
      .slots = 2,
      .domain_delay_us = 4000,
      .requests = 40000,
      .classes = { { "sheet", 100, true, WC_RUN_TIMES_LOGNORMAL, 250000, 0.5, 5000000 } },
      .class_count = 1,
  },
  {
      .deployment = "kavango",
      .service = "dispatch-stock",
      .hosts = { 5, 5, 4 },
      .instances = { 3, 3, 2 },
      .slots = 2,
      .domain_delay_us = 3000,
      .requests = 60000,
      .classes = { { "alert", 60, true, WC_RUN_TIMES_EXPONENTIAL, 15000, 0, 500000 },
                   { "reservation", 40, false, WC_RUN_TIMES_LOGNORMAL, 50000, 0.6, 1000000 } },
      .class_count = 2,
  },
  {
      .deployment = "kavango",
      .service = "plot-feed",
      .hosts = { 2, 1, 1 },
      .instances = { 3, 3, 2 },
      .slots = 2,
      .domain_delay_us = 3000,
      .requests = 40000,
      .classes = { { "pattern", 100, true, WC_RUN_TIMES_EXPONENTIAL, 200000, 0, 4000000 } },
      .class_count = 1,
  },
};

static const WcExperimentPolicy POLICIES[] = {
  /* The limit comes first, because the other rows are compared with it. */
  { .name = "omniscient", .routing = WC_ROUTING_OMNISCIENT, .late_binding = true },
  { .name = "product", .core_policy = "product", .routing = WC_ROUTING_OWNER, .late_binding = true, .spills = true },
  { .name = "random", .core_policy = "random" },
  { .name = "round-robin", .core_policy = "round-robin" },
  { .name = "hash", .core_policy = "hash" },
  { .name = "least-outstanding", .core_policy = "least-outstanding" },
  { .name = "two-choices", .core_policy = "two-choices" },
  { .name = "least-reported", .core_policy = "least-reported", .polls_load = true },
  /* Other forms of the product's routing, for the record in docs/decisions/balancing.md. */
  { .name = "owners-alone", .core_policy = "product", .routing = WC_ROUTING_OWNER, .late_binding = true },
  { .name = "one-owner", .core_policy = "product", .routing = WC_ROUTING_ONE_OWNER, .late_binding = true },
  { .name = "product-sessions",
    .core_policy = "product",
    .routing = WC_ROUTING_OWNER,
    .late_binding = true,
    .spills = true,
    .sessions = true },
};

const WcExperimentWorkload *
wc_experiment_get_workload (size_t index)
{
  return index < G_N_ELEMENTS (WORKLOADS) ? &WORKLOADS[index] : NULL;
}

const WcExperimentPolicy *
wc_experiment_get_policy (size_t index)
{
  return index < G_N_ELEMENTS (POLICIES) ? &POLICIES[index] : NULL;
}
