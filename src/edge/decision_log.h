#ifndef WC_EDGE_DECISION_LOG_H
#define WC_EDGE_DECISION_LOG_H

#include <stdint.h>

#include "edge/event_log.h"
#include "forward/decision.h"

/**
 * wc_decision_log_write() - log a forwarding decision: the flow, the host, the evidence for it and the age of that
 * evidence.
 * @view_revision: revision of the view of the store.
 * @view_age_us: time since the view was confirmed; 0 before the first confirmation.
 */
void wc_decision_log_write (WcEventLog *log, const WcDecision *decision, uint64_t view_revision, uint64_t view_age_us,
                            uint64_t now_us);

#endif
