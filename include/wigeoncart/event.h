#ifndef WIGEONCART_EVENT_H
#define WIGEONCART_EVENT_H

#include <stdint.h>

/** enum WcEventKind - kinds of events in the timeline. */
typedef enum
{
  WC_EVENT_FLOW_OPENED = 0,
  WC_EVENT_FLOW_MOVED,
  WC_EVENT_RELAYED,
  WC_EVENT_QUEUED,
  WC_EVENT_DISPATCHED,
  WC_EVENT_TARGET_REFUSED,
  WC_EVENT_RETRIED,
  WC_EVENT_ANSWERED,
  WC_EVENT_REFUSED_BUSY,
  WC_EVENT_REFUSED_NOT_RUN,
  WC_EVENT_OUTCOME_UNKNOWN,
  WC_EVENT_TICKET_ISSUED,
  WC_EVENT_REJECTED_PACKET,
  WC_EVENT_CONFIG_ACCEPTED,
  WC_EVENT_CONFIG_REJECTED,
  WC_EVENT_MEMBER_CHANGED,
  WC_EVENT_PAUSE_DETECTED,
  WC_EVENT_LIFECYCLE,
  WC_EVENT_COUNT
} WcEventKind;

extern const char *const WC_EVENT_STRINGS[WC_EVENT_COUNT];

/**
 * struct WcEvent - one event of the timeline.
 * @logical: Lamport timestamp; peer frames and relayed packets carry it, so that the merged events of several instances
 * keep their causal order.
 * @wall_us: wall-clock time, for display and to order events with equal Lamport timestamps.
 * @reason: short text with static storage duration, or NULL.
 */
typedef struct
{
  uint64_t    logical;
  uint64_t    wall_us;
  WcEventKind kind;
  uint32_t    service;
  uint32_t    target;
  uint64_t    flow;
  uint64_t    request_id;
  uint64_t    value;
  const char *reason;
} WcEvent;

#endif
