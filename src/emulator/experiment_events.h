#ifndef WC_EMULATOR_EXPERIMENT_EVENTS_H
#define WC_EMULATOR_EXPERIMENT_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

/** enum WcExperimentEventKind - what happens at an instant of virtual time. */
typedef enum
{
  /* The next request is sent by its caller. */
  WC_EXPERIMENT_ARRIVAL = 0,
  /* A datagram reaches an instance. */
  WC_EXPERIMENT_INGRESS,
  /* A relayed datagram reaches the instance that should queue it. */
  WC_EXPERIMENT_RELAYED,
  /* An attempt reaches a host. */
  WC_EXPERIMENT_HOST_RECEIVE,
  WC_EXPERIMENT_HOST_DONE,
  /* The end of an attempt is known to the instance that sent it. */
  WC_EXPERIMENT_ATTEMPT_END,
  /* The caller's resend timer. */
  WC_EXPERIMENT_RETRANSMIT,
  WC_EXPERIMENT_WAKE,
  WC_EXPERIMENT_HEARTBEAT_SEND,
  WC_EXPERIMENT_HEARTBEAT,
  WC_EXPERIMENT_LIST,
  WC_EXPERIMENT_REPORT_SEND,
  /* The value is the backlog, the epoch the step, the request the sender's domain. */
  WC_EXPERIMENT_REPORT,
  WC_EXPERIMENT_LOAD_POLL,
  WC_EXPERIMENT_HOST_FAIL,
  WC_EXPERIMENT_HOST_RETURN,
  WC_EXPERIMENT_INSTANCE_FAIL,
  WC_EXPERIMENT_INSTANCE_RETURN
} WcExperimentEventKind;

/**
 * struct WcExperimentEvent - one event.
 * @request: index of the request, where one is concerned.
 * @entity: index of the instance or host.
 * @epoch: value that has to match the request's or host's epoch, so that overtaken events are ignored.
 */
typedef struct
{
  uint64_t              time_us;
  uint64_t              sequence;
  WcExperimentEventKind kind;
  uint32_t              request;
  uint32_t              entity;
  uint32_t              epoch;
  uint64_t              value;
} WcExperimentEvent;

/** struct WcExperimentEvents - events in order of time, then of insertion. */
typedef struct WcExperimentEvents WcExperimentEvents;

WcExperimentEvents *wc_experiment_events_new (void);
void                wc_experiment_events_delete (WcExperimentEvents *events);
void                wc_experiment_events_add (WcExperimentEvents *events, const WcExperimentEvent *event);
bool                wc_experiment_events_pop (WcExperimentEvents *events, WcExperimentEvent *event);

#endif
