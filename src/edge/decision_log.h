#ifndef WC_EDGE_DECISION_LOG_H
#define WC_EDGE_DECISION_LOG_H

#include <stdint.h>

#include "edge/event_log.h"
#include "forward/decision.h"

/**
 * wc_decision_log_write() - one line for a decision: the flow, the host, what it rests on and how old that is.
 * @view_revision, @view_age_us: of the view of the store; @view_age_us is 0 before the first answer.
 */
void wc_decision_log_write (WcEventLog *log, const WcDecision *decision, uint64_t view_revision, uint64_t view_age_us,
                            uint64_t now_us);

#endif
