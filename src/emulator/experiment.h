#ifndef WC_EMULATOR_EXPERIMENT_H
#define WC_EMULATOR_EXPERIMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  WC_EXPERIMENT_DOMAINS = 3,
  WC_EXPERIMENT_MAX_CLASSES = 2
};

/** enum WcExperimentRunTimes - distribution of the run times of a request class. */
typedef enum
{
  WC_RUN_TIMES_EXPONENTIAL = 0,
  WC_RUN_TIMES_LOGNORMAL
} WcExperimentRunTimes;

/**
 * struct WcExperimentClass - request class of a workload.
 * @share_percent: share of the workload's requests that belong to the class.
 * @mean_us: mean run time on a warm host.
 * @sigma: standard deviation of the logarithm of lognormal run times.
 * @deadline_us: time limit of a request, counted from its first transmission by the caller.
 */
typedef struct
{
  const char          *name;
  uint32_t             share_percent;
  bool                 idempotent;
  WcExperimentRunTimes run_times;
  double               mean_us;
  double               sigma;
  uint64_t             deadline_us;
} WcExperimentClass;

/**
 * struct WcExperimentWorkload - one service of a deployment and the load on it.
 * @hosts, @instances: number of hosts and of instances in each failure domain.
 * @slots: requests that a host runs at the same time.
 * @domain_delay_us: one-way delay between failure domains.
 * @requests: number of requests in a run.
 */
typedef struct
{
  const char       *deployment;
  const char       *service;
  uint32_t          hosts[WC_EXPERIMENT_DOMAINS];
  uint32_t          instances[WC_EXPERIMENT_DOMAINS];
  uint32_t          slots;
  uint64_t          domain_delay_us;
  uint32_t          requests;
  WcExperimentClass classes[WC_EXPERIMENT_MAX_CLASSES];
  size_t            class_count;
} WcExperimentWorkload;

/**
 * enum WcExperimentRouting - where a request is queued.
 * @WC_ROUTING_INSTANCE: at the instance that the fabric sent it to; the targets of all domains are candidates.
 * @WC_ROUTING_OWNER: at the owner of (service, domain); the targets of that domain are candidates.
 * @WC_ROUTING_ONE_OWNER: at a single owner; the targets of all domains are candidates.
 * @WC_ROUTING_OMNISCIENT: in a single queue that knows the state of all slots without delay.
 */
typedef enum
{
  WC_ROUTING_INSTANCE = 0,
  WC_ROUTING_OWNER,
  WC_ROUTING_ONE_OWNER,
  WC_ROUTING_OMNISCIENT
} WcExperimentRouting;

/**
 * struct WcExperimentPolicy - routing and load balancing scheme that is compared with others.
 * @core_policy: name of the core policy that selects a target; NULL to prefer hosts of the request's domain.
 * @late_binding: a request gets a target only when the target has a free slot.
 * @polls_load: instances poll the load endpoints of the targets.
 * @spills: owners spill requests to other domains.
 * @sessions: a request goes to the domain that last answered its flow, and prefers the target that did.
 */
typedef struct
{
  const char         *name;
  const char         *core_policy;
  WcExperimentRouting routing;
  bool                late_binding;
  bool                polls_load;
  bool                spills;
  bool                sessions;
} WcExperimentPolicy;

/**
 * struct WcExperimentConfig - parameters of one run.
 * @load: offered run time divided by the capacity of all slots.
 * @failures: one host and one instance fail during the run and return.
 */
typedef struct
{
  const WcExperimentWorkload *workload;
  const WcExperimentPolicy   *policy;
  double                      load;
  bool                        failures;
  uint32_t                    seed;
} WcExperimentConfig;

/**
 * struct WcExperimentResult - metrics of one run.
 * @done: answered requests, including late ones.
 * @late: requests that were answered after the deadline, or stopped by the target at the deadline.
 * @refused_early: requests that an instance rejected when they were submitted, before any attempt on a target.
 * @refused_late: requests that an instance rejected later, or that a target refused after their deadline.
 * @unknown: orders whose outcome the caller cannot know.
 * @unanswered: requests without a reply before the deadline that were not given to a target.
 * @broken_flows: flows with a request that was unanswered or whose outcome a failure made unknown.
 * @imbalance: busy time of the busiest host, divided by the mean of all hosts.
 * @imbalance_1s: mean of the same ratio over windows of 1 s.
 * @worth_on_time: worth of the requests that were answered by their deadline, divided by the worth of all.
 * @cross_domain: share of requests that left their failure domain.
 * @control_bytes_per_node_s: control traffic per second and instance.
 */
typedef struct
{
  uint32_t requests;
  uint32_t done;
  uint32_t late;
  uint32_t refused_early;
  uint32_t refused_late;
  uint32_t unknown;
  uint32_t unanswered;
  uint32_t broken_flows;
  double   imbalance;
  double   imbalance_1s;
  uint64_t p50_wait_us;
  uint64_t p99_wait_us;
  uint64_t p50_response_us;
  uint64_t p99_response_us;
  double   worth_on_time;
  double   retries_per_request;
  double   cross_domain;
  double   control_bytes_per_node_s;
} WcExperimentResult;

/** wc_experiment_get_workload() - Return: the workload at @index, NULL when there is none. */
const WcExperimentWorkload *wc_experiment_get_workload (size_t index);

/** wc_experiment_get_policy() - Return: the policy at @index, NULL for none. "omniscient" is the reference. */
const WcExperimentPolicy *wc_experiment_get_policy (size_t index);

/** wc_experiment_run() - simulate one run in virtual time; deterministic for a given config. */
void wc_experiment_run (const WcExperimentConfig *config, WcExperimentResult *result);

#endif
