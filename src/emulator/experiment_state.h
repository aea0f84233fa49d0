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

/** enum WcExperimentOutcome - how a request ended for its caller. */
typedef enum
{
  WC_EXPERIMENT_OUTCOME_NONE = 0,
  WC_EXPERIMENT_OUTCOME_DONE,
  WC_EXPERIMENT_OUTCOME_REFUSED_EARLY,
  WC_EXPERIMENT_OUTCOME_REFUSED_LATE,
  WC_EXPERIMENT_OUTCOME_UNKNOWN
} WcExperimentOutcome;

/**
 * struct WcExperimentRequest - one request.
 * @start_us: when its last attempt began to run, 0 for never.
 * @end_us: when the caller received the verdict.
 * @network_delay_us: way to the host that the omniscient dispatcher does not wait for.
 * @instance: where it was queued; WC_EXPERIMENT_NO_INDEX when nobody holds it.
 * @epoch: grows when it changes its holder.
 * @crossed_domain: it went to another domain.
 * @sent_to_owner: an order that was given to a holder, which is the only one that may run it.
 * @lost: its holder or host failed.
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
  bool                sent_to_owner;
  bool                lost;
  WcExperimentOutcome verdict;
} WcExperimentRequest;

/** struct WcExperimentAttempt - an attempt on a host; @epoch is the request's when it was sent. */
typedef struct
{
  uint32_t request;
  uint32_t epoch;
} WcExperimentAttempt;

/**
 * struct WcExperimentHost - host with slots and a short queue of its own.
 * @epoch: grows with each failure.
 * @busy_us: run time so far; @windows holds it per second.
 */
typedef struct
{
  uint32_t id;
  uint32_t domain;
  uint32_t epoch;
  bool     alive;
  uint64_t cold_since_us;
  GArray  *waiting;
  GArray  *running_attempts;
  uint64_t busy_us;
  GArray  *windows;
  uint32_t reported_load;
  uint64_t reported_us;
} WcExperimentHost;

/** struct WcExperimentFlow - what a flow's token says; domains and target ids start at 1, 0 for a new flow. */
typedef struct
{
  uint32_t domain;
  uint32_t target;
} WcExperimentFlow;

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

/** struct WcExperiment - state of one run. */
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

/* Network and run times: experiment_draw.c */
double   wc_experiment_generate_exponential (GRand *random, double mean);
uint32_t wc_experiment_generate_run_us (GRand *random, const WcExperimentClass *class);
uint32_t wc_experiment_generate_worth (GRand *random);
uint64_t wc_experiment_generate_caller_delay_us (WcExperiment *experiment);
uint64_t wc_experiment_generate_delay_us (WcExperiment *experiment, uint32_t from_domain, uint32_t to_domain);

/* Callers: experiment_callers.c */
void wc_experiment_callers_init (WcExperiment *experiment);
void wc_experiment_arrival (WcExperiment *experiment, uint32_t request);
void wc_experiment_retransmit (WcExperiment *experiment, uint32_t request);
void wc_experiment_finish_request (WcExperiment *experiment, uint32_t request, WcExperimentOutcome verdict);

/* Instances: experiment_fleet.c */
void wc_experiment_fleet_init (WcExperiment *experiment);
void wc_experiment_fleet_finish (WcExperiment *experiment);
void wc_experiment_ingress (WcExperiment *experiment, uint32_t request, uint32_t instance);
void wc_experiment_relayed (WcExperiment *experiment, uint32_t request, uint32_t instance);
void wc_experiment_attempt_end (WcExperiment *experiment, uint32_t request, uint32_t host, WcOutcome outcome);
void wc_experiment_wake (WcExperiment *experiment, uint32_t instance);
void wc_experiment_load_poll (WcExperiment *experiment, uint32_t instance);
void wc_experiment_instance_fail (WcExperiment *experiment, uint32_t instance);
void wc_experiment_instance_return (WcExperiment *experiment, uint32_t instance);

/* Views of the instances: experiment_views.c */
void wc_experiment_views_init (WcExperiment *experiment, uint32_t instance);
void wc_experiment_views_finish (WcExperiment *experiment, uint32_t instance);
void wc_experiment_heartbeat_send (WcExperiment *experiment, uint32_t instance);
void wc_experiment_heartbeat (WcExperiment *experiment, uint32_t sender, uint32_t receiver, uint64_t incarnation);
void wc_experiment_list (WcExperiment *experiment, uint32_t instance);

/** wc_experiment_host_index() - place of a host in the array by its id, which also holds its domain. */
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
void wc_experiment_report (WcExperiment *experiment, const WcExperimentEvent *event);

/** wc_experiment_has_owners() - whether requests are relayed to an owner. */
static inline bool
wc_experiment_has_owners (const WcExperiment *experiment)
{
  WcExperimentRouting routing = experiment->config->policy->routing;

  return routing == WC_ROUTING_OWNER || routing == WC_ROUTING_ONE_OWNER;
}

/* Hosts: experiment_hosts.c */
void     wc_experiment_hosts_init (WcExperiment *experiment);
void     wc_experiment_hosts_finish (WcExperiment *experiment);
void     wc_experiment_host_receive (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt);
void     wc_experiment_host_done (WcExperiment *experiment, uint32_t host, WcExperimentAttempt attempt);
void     wc_experiment_host_fail (WcExperiment *experiment, uint32_t host);
void     wc_experiment_host_return (WcExperiment *experiment, uint32_t host);
uint32_t wc_experiment_host_get_reported_load (WcExperiment *experiment, uint32_t host);

/* Measures: experiment_stats.c */
void wc_experiment_compute_result (const WcExperiment *experiment, WcExperimentResult *result);

#endif
