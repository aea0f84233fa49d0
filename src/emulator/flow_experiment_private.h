#ifndef WC_EMULATOR_FLOW_EXPERIMENT_PRIVATE_H
#define WC_EMULATOR_FLOW_EXPERIMENT_PRIVATE_H

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "emulator/experiment_events.h"
#include "emulator/flow_experiment.h"
#include "forward/forwarder.h"

/* Shared by the source files of the flow experiment. */

enum
{
  WC_FLOW_EXPERIMENT_ATTEMPTS = 3,
  WC_FLOW_EXPERIMENT_ROUTE_IP = 0xc6120001,
  /* The route of class i has port WC_FLOW_EXPERIMENT_ROUTE_PORT + i. */
  WC_FLOW_EXPERIMENT_ROUTE_PORT = 443,
  WC_FLOW_EXPERIMENT_CALLER_IP = 0x64400000,
  WC_FLOW_EXPERIMENT_CALLER_PORT = 1000,
  /* Initial sequence numbers of callers and hosts. */
  WC_FLOW_EXPERIMENT_CALLER_SEQUENCE = 1000,
  WC_FLOW_EXPERIMENT_HOST_SEQUENCE = 5000,
  WC_FLOW_EXPERIMENT_REQUEST_BYTES = 200,
  WC_FLOW_EXPERIMENT_ANSWER_BYTES = 2000,
  /* Values of WC_FLOW_EVENT_ACKNOWLEDGED: with 0 the flow stays open, with the others the caller closes it. */
  WC_FLOW_EXPERIMENT_CLOSE = 1,
  /* The caller has no answer. */
  WC_FLOW_EXPERIMENT_ABANDON = 2
};

/** enum WcFlowEventKind - kinds of events; they concern a request and an attempt unless stated otherwise. */
typedef enum
{
  /* The next request of the workload begins. */
  WC_FLOW_EVENT_ARRIVAL = 0,
  /* A caller sends a request on the flow of the previous one. */
  WC_FLOW_EVENT_NEXT_REQUEST,
  /* An opening reaches the fabric; the value is its number of retransmissions. */
  WC_FLOW_EVENT_OPENING,
  WC_FLOW_EVENT_OPENING_TIMEOUT,
  /* The caller learns that a host accepts the flow; the entity is the host. */
  WC_FLOW_EVENT_ACCEPTED,
  /* A request, or a retransmission of it, reaches the fabric; the value is its number of retransmissions. */
  WC_FLOW_EVENT_REQUEST,
  /* A request reaches the host, which is the entity. */
  WC_FLOW_EVENT_AT_HOST,
  /* A host, the entity, finishes a request. */
  WC_FLOW_EVENT_FINISHED,
  /* The caller receives the answer. */
  WC_FLOW_EVENT_ANSWERED,
  /* The caller learns that the attempt has failed without running. */
  WC_FLOW_EVENT_REJECTED,
  /* The caller's acknowledgement of an answer or refusal, or the end of its flow, reaches the fabric. */
  WC_FLOW_EVENT_ACKNOWLEDGED,
  WC_FLOW_EVENT_TIME_LIMIT,
  /* An instance, the entity, starts. */
  WC_FLOW_EVENT_START,
  /* An instance handles its expired deadlines. */
  WC_FLOW_EVENT_TIMERS,
  WC_FLOW_EVENT_TICK,
  WC_FLOW_EVENT_GOSSIP,
  /* A phase begins; the value is its index. */
  WC_FLOW_EVENT_PHASE
} WcFlowEventKind;

/**
 * struct WcFlowRequest - a request and the state of its caller.
 * @start_us: when the caller's first attempt began.
 * @end_us: when the caller had the answer or gave up; 0 before.
 * @attempt: current attempt, from 1.
 * @port: caller's port of the current attempt.
 * @host: index of the host that accepted the current attempt; UINT32_MAX for none.
 * @sent, @received: bytes that the flow has carried before this request.
 * @is_queued: the omniscient dispatcher has received it.
 * @flow_left: further requests that the caller sends on the flow.
 * @unanswered_attempt: the latest attempt whose request a host left unanswered; 0 for none.
 * @running_attempt: the attempt whose request has reached a host; 0 for none.
 */
typedef struct
{
  uint64_t start_us;
  uint64_t end_us;
  uint64_t work_us;
  uint32_t caller;
  uint32_t domain;
  uint32_t class_index;
  uint32_t phase;
  uint32_t attempt;
  uint16_t port;
  uint32_t host;
  uint32_t sent;
  uint32_t received;
  uint32_t flow_left;
  uint32_t unanswered_attempt;
  uint32_t running_attempt;
  bool     is_queued;
  bool     is_answered;
  bool     is_expired;
} WcFlowRequest;

/**
 * struct WcFlowHost - a host.
 * @slowdown: factor of the run times.
 * @unanswered_share: probability that a request is never answered; it occupies no slot.
 * @waiting: queued requests, each an index and an attempt.
 */
typedef struct
{
  uint32_t domain;
  uint32_t running;
  double   slowdown;
  double   unanswered_share;
  bool     is_lost;
  GQueue   waiting;
} WcFlowHost;

typedef struct WcFlowExperiment WcFlowExperiment;

/**
 * struct WcFlowInstance - an instance.
 * @is_running: the instance takes packets.
 * @forwarder: NULL while the instance does not run, and for the reference policies.
 * @timers_us: time of the scheduled WC_FLOW_EVENT_TIMERS; UINT64_MAX for none.
 * @epoch: increased at each start, so that events of an earlier run are ignored.
 */
typedef struct
{
  WcFlowExperiment *experiment;
  uint32_t          index;
  uint32_t          domain;
  bool              is_running;
  WcForwarder      *forwarder;
  uint64_t          timers_us;
  uint64_t          started_us;
  uint32_t          epoch;
  size_t            next_reported_host;
} WcFlowInstance;

struct WcFlowExperiment
{
  const WcFlowExperimentConfig   *config;
  const WcFlowExperimentScenario *scenario;
  WcExperimentEvents             *events;
  gsl_rng                        *arrival_random;
  gsl_rng                        *work_random;
  uint64_t                        now_us;
  uint32_t                        phase;
  uint32_t                        host_count;
  WcFlowHost                     *hosts;
  uint32_t                        instance_count;
  WcFlowInstance                 *instances;
  GArray                         *requests;
  uint32_t                        next_caller;
  /* Index of the current request of each caller. */
  GArray *callers;
  /* Requests that wait for the omniscient dispatcher. */
  GQueue   backlog;
  uint32_t rejections;
  uint32_t refusals;
  uint32_t left_unanswered;
  GArray  *rejection_times_us;
};

static inline WcFlowRequest *
wc_flow_experiment_request (WcFlowExperiment *experiment, uint32_t index)
{
  return &g_array_index (experiment->requests, WcFlowRequest, index);
}

/** wc_flow_experiment_schedule() - add an event @delay_us from now. */
void wc_flow_experiment_schedule (WcFlowExperiment *experiment, uint64_t delay_us, WcFlowEventKind kind,
                                  uint32_t request, uint32_t attempt, uint32_t entity, uint64_t value);

/** wc_flow_experiment_get_phase() - the current phase. */
const WcFlowExperimentPhase *wc_flow_experiment_get_phase (const WcFlowExperiment *experiment);

/* Callers: flow_experiment_callers.c. */
void wc_flow_experiment_schedule_arrival (WcFlowExperiment *experiment);
void wc_flow_experiment_handle_caller (WcFlowExperiment *experiment, const WcExperimentEvent *event);

/* Hosts: flow_experiment_hosts.c. */
void wc_flow_experiment_hosts_init (WcFlowExperiment *experiment);
void wc_flow_experiment_hosts_finish (WcFlowExperiment *experiment);
void wc_flow_experiment_handle_host (WcFlowExperiment *experiment, const WcExperimentEvent *event);

/** wc_flow_experiment_host_opening() - an opening reaches a host after @delay_us. */
void wc_flow_experiment_host_opening (WcFlowExperiment *experiment, uint32_t host, uint32_t request, uint32_t attempt,
                                      uint64_t delay_us);

/* Instances and the fabric: flow_experiment_fleet.c. */
void wc_flow_experiment_fleet_init (WcFlowExperiment *experiment);
void wc_flow_experiment_fleet_finish (WcFlowExperiment *experiment);
/** wc_flow_experiment_fleet_start() - start all instances within @span_us. */
void wc_flow_experiment_fleet_start (WcFlowExperiment *experiment, uint64_t span_us);
void wc_flow_experiment_fleet_stop (WcFlowExperiment *experiment);
void wc_flow_experiment_handle_instance (WcFlowExperiment *experiment, const WcExperimentEvent *event);

/** wc_flow_experiment_receive() - a packet of a caller reaches the fabric. */
void wc_flow_experiment_receive (WcFlowExperiment *experiment, uint32_t request, uint32_t attempt, WcFlowEventKind kind,
                                 uint32_t retransmissions);

/* Reference dispatchers: flow_experiment_dispatch.c. */
void wc_flow_experiment_dispatch_opening (WcFlowExperiment *experiment, uint32_t request, uint32_t attempt);
void wc_flow_experiment_dispatch_backlog (WcFlowExperiment *experiment);

/* Metrics: flow_experiment_stats.c. */
void wc_flow_experiment_compute_result (const WcFlowExperiment *experiment, WcFlowExperimentResult *result);

#endif
