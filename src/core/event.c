#include <wigeoncart/event.h>

const char *const WC_EVENT_STRINGS[WC_EVENT_COUNT] = {
  [WC_EVENT_FLOW_OPENED] = "flow opened",
  [WC_EVENT_FLOW_MOVED] = "flow moved",
  [WC_EVENT_RELAYED] = "relayed",
  [WC_EVENT_QUEUED] = "queued",
  [WC_EVENT_DISPATCHED] = "dispatched",
  [WC_EVENT_TARGET_REFUSED] = "target refused",
  [WC_EVENT_RETRIED] = "retried",
  [WC_EVENT_ANSWERED] = "answered",
  [WC_EVENT_REFUSED_BUSY] = "refused busy",
  [WC_EVENT_REFUSED_NOT_RUN] = "refused not run",
  [WC_EVENT_OUTCOME_UNKNOWN] = "outcome unknown",
  [WC_EVENT_TICKET_ISSUED] = "ticket issued",
  [WC_EVENT_REJECTED_PACKET] = "packet rejected",
  [WC_EVENT_CONFIG_ACCEPTED] = "config accepted",
  [WC_EVENT_CONFIG_REJECTED] = "config rejected",
  [WC_EVENT_MEMBER_CHANGED] = "member changed",
  [WC_EVENT_PAUSE_DETECTED] = "pause detected",
  [WC_EVENT_LIFECYCLE] = "lifecycle",
};
