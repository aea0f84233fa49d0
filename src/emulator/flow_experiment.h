#ifndef WC_EMULATOR_FLOW_EXPERIMENT_H
#define WC_EMULATOR_FLOW_EXPERIMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/admission_policy.h"
#include "forward/features.h"

/*
 * Experiment in virtual time with instances that forward packets: callers open flows through a fabric, several
 * forwarders without shared memory place them on hosts with slots and a bounded queue, and peers exchange load reports
 * with a delay. It compares admission policies with a dispatcher that knows every queue.
 */

enum
{
  WC_FLOW_EXPERIMENT_MAX_CLASSES = 2,
  WC_FLOW_EXPERIMENT_MAX_PHASES = 4
};

/**
 * struct WcFlowExperimentClass - request class.
 * @share_percent: share of the requests that belong to the class.
 * @work_us: mean run time on a host of normal speed.
 * @target_us, @limit_us: latency target and time limit, from the caller's first attempt.
 */
typedef struct
{
  const char *name;
  uint32_t    share_percent;
  uint64_t    work_us;
  uint64_t    target_us;
  uint64_t    limit_us;
} WcFlowExperimentClass;

/** enum WcFlowFault - what happens during a phase of a scenario. */
typedef enum
{
  WC_FLOW_FAULT_NONE = 0,
  /* Half of the hosts run requests more slowly, by the factor of the phase. */
  WC_FLOW_FAULT_SLOW_HOSTS,
  /* No instance runs; all start again, without state, at the end of the phase. */
  WC_FLOW_FAULT_OUTAGE,
  /* The hosts of the first domain do not answer. */
  WC_FLOW_FAULT_LOST_DOMAIN,
  /* A fifth of the hosts accept every flow and leave part of the requests unanswered, by the factor of the phase. */
  WC_FLOW_FAULT_FAILING_HOSTS,
  /* Two of five hosts of the first domain run requests more slowly, by the factor of the phase. */
  WC_FLOW_FAULT_SLOW_DOMAIN
} WcFlowFault;

/** WC_FLOW_FAULT_STRINGS - name of each fault for reports, indexed by WcFlowFault. */
extern const char *const WC_FLOW_FAULT_STRINGS[];

/**
 * struct WcFlowExperimentPhase - a part of a scenario; the phases follow one another.
 * @load: offered run time divided by the capacity of all hosts at normal speed.
 * @factor: argument of the fault; 0 when it has none.
 * @crowding: load of the first domain, as a multiple of that of each other domain; 0 stands for 1.
 */
typedef struct
{
  uint64_t    span_us;
  double      load;
  WcFlowFault fault;
  double      factor;
  uint32_t    crowding;
} WcFlowExperimentPhase;

/**
 * struct WcFlowExperimentScenario - deployment and load.
 * @hosts, @instances: number in each domain.
 * @queue: requests that wait at a host before it refuses more.
 * @caller_delay_us, @domain_delay_us: one-way delay between callers and a domain, and between domains.
 * @requests_per_flow: number of requests that a caller sends on a flow, with a pause of @pause_us in between.
 * @judged_phase: index of the phase whose requests are compared with those of the omniscient dispatcher.
 * @gossips_across_domains: instances send reports to other domains as well.
 */
typedef struct
{
  const char           *name;
  uint32_t              domains;
  uint32_t              hosts;
  uint32_t              instances;
  uint32_t              slots;
  uint32_t              queue;
  uint64_t              caller_delay_us;
  uint64_t              domain_delay_us;
  uint32_t              requests_per_flow;
  uint64_t              pause_us;
  WcFlowExperimentClass classes[WC_FLOW_EXPERIMENT_MAX_CLASSES];
  size_t                class_count;
  WcFlowExperimentPhase phases[WC_FLOW_EXPERIMENT_MAX_PHASES];
  size_t                phase_count;
  size_t                judged_phase;
  bool                  gossips_across_domains;
} WcFlowExperimentScenario;

/** enum WcFlowDispatch - who chooses the host of a flow. */
typedef enum
{
  /* The forwarders of the instances. */
  WC_FLOW_DISPATCH_INSTANCES = 0,
  /* One queue that knows the state of every slot without delay. */
  WC_FLOW_DISPATCH_OMNISCIENT,
  /* A hash of the flow, without regard to load. */
  WC_FLOW_DISPATCH_HASH
} WcFlowDispatch;

/**
 * struct WcFlowExperimentPolicy - a compared policy.
 * @admission: admission policy of the forwarders; NULL unless @dispatch is WC_FLOW_DISPATCH_INSTANCES.
 * @features: decisions of the forwarders that a deployment has to ask for.
 */
typedef struct
{
  const char              *name;
  WcFlowDispatch           dispatch;
  const WcAdmissionPolicy *admission;
  WcForwardFeatures        features;
} WcFlowExperimentPolicy;

/**
 * struct WcFlowExperimentConfig - parameters of one run.
 * @scale: multiplies the number of hosts and instances of each domain, and with them the load; 0 stands for 1.
 */
typedef struct
{
  const WcFlowExperimentScenario *scenario;
  const WcFlowExperimentPolicy   *policy;
  uint32_t                        seed;
  uint32_t                        scale;
} WcFlowExperimentConfig;

/**
 * struct WcFlowExperimentCounts - outcome of the requests that began in one phase.
 * @in_time: answered within the latency target.
 * @late: answered after it.
 * @failed: not answered, though every attempt ended before the time limit.
 * @expired: not answered within the time limit.
 */
typedef struct
{
  uint32_t requests;
  uint32_t in_time;
  uint32_t late;
  uint32_t failed;
  uint32_t expired;
} WcFlowExperimentCounts;

/**
 * struct WcFlowExperimentResult - metrics of one run.
 * @phases: one entry per phase.
 * @classes: one entry per request class, of the requests of the judged phase.
 * @rejections, @refusals: openings reset by instances; requests refused by hosts.
 * @left_unanswered: requests that failing hosts left unanswered.
 * @rejected_p95_us: 95th percentile of the time from an opening's first transmission to its rejection.
 * @recovery_us: time from the end of the judged phase until 95% of the requests that begin within 250 ms are answered
 * within the latency target, and stay so; UINT64_MAX for never.
 */
typedef struct
{
  WcFlowExperimentCounts phases[WC_FLOW_EXPERIMENT_MAX_PHASES];
  WcFlowExperimentCounts classes[WC_FLOW_EXPERIMENT_MAX_CLASSES];
  uint32_t               rejections;
  uint32_t               refusals;
  uint32_t               left_unanswered;
  uint64_t               rejected_p95_us;
  uint64_t               recovery_us;
} WcFlowExperimentResult;

/** wc_flow_experiment_get_scenario() - Return: the scenario at @index, NULL when there is none. */
const WcFlowExperimentScenario *wc_flow_experiment_get_scenario (size_t index);

/** wc_flow_experiment_find_scenario() - Return: the scenario of that name, NULL when there is none. */
const WcFlowExperimentScenario *wc_flow_experiment_find_scenario (const char *name);

/** wc_flow_experiment_get_policy() - Return: the policy at @index, NULL for none. "omniscient" is the reference. */
const WcFlowExperimentPolicy *wc_flow_experiment_get_policy (size_t index);

/** wc_flow_experiment_find_policy() - Return: the policy of that name, NULL when there is none. */
const WcFlowExperimentPolicy *wc_flow_experiment_find_policy (const char *name);

/** wc_flow_experiment_run() - simulate one run; deterministic for a given config. */
void wc_flow_experiment_run (const WcFlowExperimentConfig *config, WcFlowExperimentResult *result);

#endif
