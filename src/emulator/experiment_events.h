#ifndef WC_EMULATOR_EXPERIMENT_EVENTS_H
#define WC_EMULATOR_EXPERIMENT_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

/** enum WcExperimentEventKind - kind of a simulated event. */
typedef enum
{
  /* A caller sends a new request. */
  WC_EXPERIMENT_ARRIVAL = 0,
  /* A caller's datagram reaches an instance. */
  WC_EXPERIMENT_INGRESS,
  /* A relayed request reaches the owner that queues it. */
  WC_EXPERIMENT_RELAYED,
  /* An attempt reaches a host. */
  WC_EXPERIMENT_HOST_RECEIVE,
  /* A host has finished running an attempt; the value is the host's epoch. */
  WC_EXPERIMENT_HOST_DONE,
  /* The instance that sent an attempt learns its outcome, which is the value. */
  WC_EXPERIMENT_ATTEMPT_END,
  /* A caller's retransmission timer expires. */
  WC_EXPERIMENT_RETRANSMIT,
  /* The timer of an instance's dispatcher expires. */
  WC_EXPERIMENT_WAKE,
  WC_EXPERIMENT_HEARTBEAT_SEND,
  /* A heartbeat reaches an instance; the request is the sender's index, the value its incarnation. */
  WC_EXPERIMENT_HEARTBEAT,
  /* An instance reads the platform's list of instances. */
  WC_EXPERIMENT_LIST,
  WC_EXPERIMENT_REPORT_SEND,
  /* A load report reaches an owner: the value is the backlog, the epoch the step, the request the sender's domain. */
  WC_EXPERIMENT_REPORT,
  WC_EXPERIMENT_LOAD_POLL,
  WC_EXPERIMENT_HOST_FAIL,
  WC_EXPERIMENT_HOST_RETURN,
  WC_EXPERIMENT_INSTANCE_FAIL,
  WC_EXPERIMENT_INSTANCE_RETURN
} WcExperimentEventKind;

/**
 * struct WcExperimentEvent - simulated event.
 * @kind: WcExperimentEventKind, or the kind of another experiment that uses the queue.
 * @sequence: order of insertion, which decides between events of the same time.
 * @request: index of the request, if the event concerns one.
 * @entity: index of the instance or host.
 * @epoch: epoch of the request, or incarnation of the instance, when the event was scheduled; stale events are ignored.
 * @value: argument of the event, see WcExperimentEventKind.
 */
typedef struct
{
  uint64_t time_us;
  uint64_t sequence;
  uint32_t kind;
  uint32_t request;
  uint32_t entity;
  uint32_t epoch;
  uint64_t value;
} WcExperimentEvent;

/** struct WcExperimentEvents - priority queue of events, ordered by time and then by insertion. */
typedef struct WcExperimentEvents WcExperimentEvents;

WcExperimentEvents *wc_experiment_events_new (void);
void                wc_experiment_events_delete (WcExperimentEvents *events);

/** wc_experiment_events_add() - insert a copy of @event; its sequence is set by the queue. */
void wc_experiment_events_add (WcExperimentEvents *events, const WcExperimentEvent *event);

/** wc_experiment_events_pop() - remove the earliest event. Return: false when the queue is empty. */
bool wc_experiment_events_pop (WcExperimentEvents *events, WcExperimentEvent *event);

#endif
