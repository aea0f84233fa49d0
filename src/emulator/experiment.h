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

/** enum WcExperimentRunTimes - distribution of run times. */
typedef enum
{
  WC_RUN_TIMES_EXPONENTIAL = 0,
  WC_RUN_TIMES_LOGNORMAL
} WcExperimentRunTimes;

/**
 * struct WcExperimentClass - one kind of request.
 * @share_percent: of the requests of the workload.
 * @sigma: of the logarithm of lognormal run times.
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
 * struct WcExperimentWorkload - one service of a deployment.
 * @hosts, @instances: per domain.
 * @domain_delay_us: one way between domains.
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
 * @WC_ROUTING_INSTANCE: at the instance that it reached; all targets are candidates.
 * @WC_ROUTING_OWNER: at the owner of (service, domain).
 * @WC_ROUTING_ONE_OWNER: at one owner that has the targets of all domains.
 * @WC_ROUTING_OMNISCIENT: in one queue that knows all slots without delay.
 */
typedef enum
{
  WC_ROUTING_INSTANCE = 0,
  WC_ROUTING_OWNER,
  WC_ROUTING_ONE_OWNER,
  WC_ROUTING_OMNISCIENT
} WcExperimentRouting;

/**
 * struct WcExperimentPolicy - what is compared.
 * @core_policy: name of the core policy.
 * @spills: owners pass requests on to other domains.
 * @sessions: a request goes to the domain that answered its flow last, and prefers the target that did.
 * @polls_load: reads the load endpoints of the targets.
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
 * struct WcExperimentConfig - one run.
 * @load: offered work divided by the capacity of all slots.
 * @failures: a host and an instance fail and come back.
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
 * struct WcExperimentResult - measures of one run.
 * @late: answered after the deadline, or stopped by the target at the deadline.
 * @unknown: orders whose outcome the caller cannot know.
 * @unanswered: no reply before the deadline, and nothing was given to a target.
 * @broken_flows: flows with a request that was unanswered or whose outcome a failure made unknown.
 * @cross_domain: share of requests that left their domain.
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

/** wc_experiment_get_workload() - the @index-th workload, NULL past the end. */
const WcExperimentWorkload *wc_experiment_get_workload (size_t index);

/** wc_experiment_get_policy() - the @index-th policy, NULL past the end. The omniscient one is named "omniscient". */
const WcExperimentPolicy *wc_experiment_get_policy (size_t index);

/** wc_experiment_run() - one run in virtual time; the same config gives the same result. */
void wc_experiment_run (const WcExperimentConfig *config, WcExperimentResult *result);

#endif
