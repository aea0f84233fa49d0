#ifndef WC_EMULATOR_EXPERIMENT_STATE_H
#define WC_EMULATOR_EXPERIMENT_STATE_H

#include <glib.h>

#include <wigeoncart/dispatcher.h>
#include <wigeoncart/ownership.h>
#include <wigeoncart/spill.h>

#include "emulator/experiment.h"
#include "emulator/experiment_events.h"

enum
{
  WC_EXPERIMENT_MAX_INSTANCES = 16,
  WC_EXPERIMENT_MAX_HOSTS = 32,
  WC_EXPERIMENT_FLOWS = 2000,
  WC_EXPERIMENT_SERVICE = 1,
  WC_EXPERIMENT_NO_INDEX = UINT16_MAX
};

/** enum WcExperimentOutcome - outcome of a request as its caller sees it. */
typedef enum
{
  WC_EXPERIMENT_OUTCOME_NONE = 0,
  WC_EXPERIMENT_OUTCOME_DONE,
  /* Rejected when it reached the dispatcher, before any attempt. */
  WC_EXPERIMENT_OUTCOME_REFUSED_EARLY,
  /* Rejected later: while it was queued, or after an attempt. */
  WC_EXPERIMENT_OUTCOME_REFUSED_LATE,
  WC_EXPERIMENT_OUTCOME_UNKNOWN
} WcExperimentOutcome;

/**
 * struct WcExperimentRequest - state of a simulated request.
 * @sent_us: time of its first transmission by the caller.
 * @ingress_us: time when it first reached an instance.
 * @dispatched_us: time when its last attempt was sent to a host.
 * @start_us: time when its last attempt began to run, 0 if none did.
 * @end_us: time when the caller received the outcome.
 * @network_delay_us: network delay to the host, for which the omniscient dispatcher does not wait.
 * @run_us: run time on a warm host.
 * @epoch: incremented when the request ends, loses its instance or is retransmitted; earlier events become stale.
 * @first_instance: instance that its first transmission goes to.
 * @ingress: instance that its last transmission reached.
 * @instance: instance that holds it in its queue or runs an attempt; WC_EXPERIMENT_NO_INDEX for none.
 * @class: index in the classes of the workload.
 * @attempts: number of retries, which is the number of previous attempts while the next one is submitted.
 * @crossed_domain: it was relayed or dispatched to another failure domain.
 * @spilled_from: domain whose owner spilled it.
 * @bound_to_instance: an order that was submitted to a dispatcher; no other instance may run it.
 * @lost: its instance or host failed.
 */
typedef struct
{
  uint64_t sent_us;
  uint64_t ingress_us;
  uint64_t dispatched_us;
  uint64_t start_us;
  uint64_t end_us;
  uint64_t deadline_us;
  uint64_t network_delay_us;
  uint32_t run_us;
  uint32_t worth;
  uint32_t flow;
  uint32_t epoch;
  uint16_t first_instance;
  uint16_t ingress;
  uint16_t instance;
  uint16_t host;
  uint8_t class;
  uint8_t             attempts;
  uint8_t             retransmissions;
  bool                crossed_domain;
  bool                spilled;
  uint8_t             spilled_from;
  bool                bound_to_instance;
  bool                lost;
  WcExperimentOutcome outcome;
} WcExperimentRequest;

/** struct WcExperimentAttempt - attempt on a host; @epoch is that of the request when the attempt was sent. */
typedef struct
{
  uint32_t request;
  uint32_t epoch;
} WcExperimentAttempt;

/**
 * struct WcExperimentHost - simulated host with slots and a short queue of its own.
 * @epoch: incremented with each failure.
 * @cold_since_us: time of the last restart; 0 for a host that is warm from the beginning.
 * @queued: WcExperimentAttempt that wait for a slot; @running_attempts: those that have a slot.
 * @busy_us: run time of all attempts; @busy_windows: the same for each second of the run.
 * @reported_load: load that the load endpoint returns; @reported_us: time when it was updated.
 */
typedef struct
{
  uint32_t id;
  uint32_t domain;
  uint32_t epoch;
  bool     alive;
  uint64_t cold_since_us;
  GArray  *queued;
  GArray  *running_attempts;
  uint64_t busy_us;
  GArray  *busy_windows;
  uint32_t reported_load;
  uint64_t reported_us;
} WcExperimentHost;

/** struct WcExperimentFlow - contents of a flow's token; domains and target ids start at 1, 0 for a new flow. */
typedef struct
{
  uint32_t domain;
  uint32_t target;
} WcExperimentFlow;

/**
 * struct WcExperimentInstance - simulated instance.
 * @alive_changed_us: time of its last failure or restart; 0 for none.
 * @table: snapshot of @membership at @generation.
 * @report_sent_us: time of the last load report, by the domain that it went to.
 * @wake_us: time of the scheduled dispatcher timer; UINT64_MAX for none.
 */
typedef struct
{
  uint64_t       id;
  uint32_t       domain;
  bool           alive;
  uint64_t       alive_changed_us;
  uint64_t       incarnation;
  WcMembership  *membership;
  WcMemberTable *table;
  uint64_t       generation;
  WcDomainShares shares;
  WcDispatcher  *dispatcher;
  WcSpill        spill;
  uint64_t       report_sent_us[WC_EXPERIMENT_DOMAINS];
  uint64_t       wake_us;
} WcExperimentInstance;

/**
 * struct WcExperiment - state of one run.
 * @arrival_random, @network_random, @policy_random: separate random number generators, so that requests are the same
 * for all policies.
 * @interval_us: mean time between requests outside bursts; @burst_interval_us: mean time between bursts.
 */
typedef struct
{
  const WcExperimentConfig *config;
  WcExperimentEvents       *events;
  uint64_t                  now_us;
  GRand                    *arrival_random;
  GRand                    *network_random;
  GRand                    *policy_random;
  WcExperimentRequest      *requests;
  uint32_t                  request_count;
  WcExperimentFlow          flows[WC_EXPERIMENT_FLOWS];
  double                    interval_us;
  double                    burst_interval_us;
  uint64_t                  next_burst_us;
  WcExperimentInstance      instances[WC_EXPERIMENT_MAX_INSTANCES];
  uint32_t                  instance_count;
  WcExperimentHost          hosts[WC_EXPERIMENT_MAX_HOSTS];
  uint32_t                  host_count;
  uint64_t                  last_arrival_us;
  uint64_t                  control_bytes;
} WcExperiment;

/* Events and delays: experiment.c */
void wc_experiment_schedule (WcExperiment *experiment, uint64_t time_us, WcExperimentEventKind kind, uint32_t request,
                             uint32_t entity, uint32_t epoch, uint64_t value);

/* Random delays, run times and worths: experiment_random.c */
double   wc_experiment_generate_exponential (GRand *random, double mean);
uint32_t wc_experiment_generate_run_us (GRand *random, const WcExperimentClass *class);
uint32_t wc_experiment_generate_worth (GRand *random);
uint64_t wc_experiment_generate_caller_delay_us (WcExperiment *experiment);
uint64_t wc_experiment_generate_delay_us (WcExperiment *experiment, uint32_t from_domain, uint32_t to_domain);

/* Callers: experiment_callers.c */
void wc_experiment_callers_init (WcExperiment *experiment);
/** wc_experiment_arrival() - send a caller's request for the first time. */
void wc_experiment_arrival (WcExperiment *experiment, uint32_t request);
void wc_experiment_retransmit (WcExperiment *experiment, uint32_t request);
void wc_experiment_finish_request (WcExperiment *experiment, uint32_t request, WcExperimentOutcome outcome);

/* Instances: experiment_fleet.c */
void wc_experiment_fleet_init (WcExperiment *experiment);
void wc_experiment_fleet_finish (WcExperiment *experiment);
/** wc_experiment_ingress() - receive a caller's request at an instance, which queues it or relays it to an owner. */
void wc_experiment_ingress (WcExperiment *experiment, uint32_t request, uint32_t instance);
/** wc_experiment_relayed() - receive a relayed request at an owner. */
void wc_experiment_relayed (WcExperiment *experiment, uint32_t request, uint32_t instance);
void wc_experiment_attempt_end (WcExperiment *experiment, uint32_t request, uint32_t host, WcOutcome outcome);
/** wc_experiment_wake() - run the dispatcher of an instance when its timer has expired. */
void wc_experiment_wake (WcExperiment *experiment, uint32_t instance);
void wc_experiment_load_poll (WcExperiment *experiment, uint32_t instance);
void wc_experiment_instance_fail (WcExperiment *experiment, uint32_t instance);
/** wc_experiment_instance_return() - restart an instance with a new incarnation. */
void wc_experiment_instance_return (WcExperiment *experiment, uint32_t instance);

/* Views of the instances: experiment_views.c */
void wc_experiment_views_init (WcExperiment *experiment, uint32_t instance);
void wc_experiment_views_finish (WcExperiment *experiment, uint32_t instance);
void wc_experiment_heartbeat_send (WcExperiment *experiment, uint32_t instance);
/** wc_experiment_heartbeat() - receive a heartbeat of @sender at @receiver. */
void wc_experiment_heartbeat (WcExperiment *experiment, uint32_t sender, uint32_t receiver, uint64_t incarnation);
/** wc_experiment_list() - apply the platform's list of instances to the membership and schedule the next read. */
void wc_experiment_list (WcExperiment *experiment, uint32_t instance);

/** wc_experiment_host_index() - index of a host by its id; the upper 16 bits of the id are the domain. */
static inline uint32_t
wc_experiment_host_index (uint32_t id)
{
  return (id & 0xffff) - 1;
}

static inline uint32_t
wc_experiment_host_domain (uint32_t id)
{
  return id >> 16;
}

/* Load reports between owners: experiment_reports.c */
void wc_experiment_reports_init (WcExperiment *experiment, uint32_t instance);
void wc_experiment_report_timer (WcExperiment *experiment, uint32_t instance);
void wc_experiment_report_feedback (WcExperiment *experiment, uint32_t instance, uint32_t domain);
/** wc_experiment_report() - receive a load report at an instance. */
void wc_experiment_report (WcExperiment *experiment, const WcExperimentEvent *event);

/** wc_experiment_has_owners() - whether the policy relays requests to an owner. */
static inline bool
wc_experiment_has_owners (const WcExperiment *experiment)
{
  WcExperimentRouting routing = experiment->config->policy->routing;

  return routing == WC_ROUTING_OWNER || routing == WC_ROUTING_ONE_OWNER;
}

/* Hosts: experiment_hosts.c */
void wc_experiment_hosts_init (WcExperiment *experiment);
void wc_experiment_hosts_finish (WcExperiment *experiment);
void wc_experiment_host_receive (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt);
void wc_experiment_host_done (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt);
void wc_experiment_host_fail (WcExperiment *experiment, uint32_t host);
/** wc_experiment_host_return() - restart a host, which is then cold. */
void     wc_experiment_host_return (WcExperiment *experiment, uint32_t host);
uint32_t wc_experiment_host_get_reported_load (WcExperiment *experiment, uint32_t host);

/* Metrics: experiment_stats.c */
void wc_experiment_compute_result (const WcExperiment *experiment, WcExperimentResult *result);

#endif
