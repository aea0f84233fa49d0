#ifndef WC_FORWARD_HOST_REPORT_H
#define WC_FORWARD_HOST_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/host_table.h"

/**
 * struct WcHostReport - observations of a host by one instance. Ages are relative to the time at which it was written.
 * @reporter: incarnation of the observing instance when another instance relays the report; 0 for the sender itself.
 * @busy: number of its flows at the host that are opening or have an unanswered request; see WcHost.busy_flows.
 * @life_age_ms: time since the host's last response; UINT32_MAX for never.
 * @silent_requests: number of unanswered requests that were retransmitted.
 * @repeating_requests: number of those that were retransmitted more than once.
 * @silence_age_ms: time since the first unanswered request was sent.
 * @answered, @failed: requests of the reporting instance in the window of host_failures.h.
 * @joined_answered, @joined_failed: an instance's estimate of the same for the whole domain; 0 for none.
 * @joined_age_ms: time since the estimate was made.
 * @joined_by: incarnation of the estimating instance; 0 for the sender.
 * @failures_only: sent because a request failed; @busy is not used, since reports sent at such moments show more load
 * than the mean.
 */
typedef struct
{
  uint64_t host;
  uint64_t reporter;
  uint32_t busy;
  uint32_t life_age_ms;
  uint32_t silent_requests;
  uint32_t repeating_requests;
  uint32_t silence_age_ms;
  uint32_t answered;
  uint32_t failed;
  uint32_t joined_answered;
  uint32_t joined_failed;
  uint32_t joined_age_ms;
  uint64_t joined_by;
  bool     failures_only;
} WcHostReport;

/** wc_host_report_from_host() - create this instance's report on a host. */
WcHostReport wc_host_report_from_host (const WcHost *host, uint64_t now_us);

/**
 * wc_host_report_from_witnesses() - create reports that relay other instances' observations of a host.
 *
 * Return: number of reports written, at most WC_HOST_WITNESSES.
 */
size_t wc_host_report_from_witnesses (const WcHost *host, uint64_t now_us, WcHostReport reports[WC_HOST_WITNESSES]);

/** wc_host_report_get_unanswered() - the unanswered requests of a report, with times converted to the local clock. */
WcUnansweredRequests wc_host_report_get_unanswered (const WcHostReport *report, uint64_t now_us);

/**
 * wc_host_report_get_last_seen_us() - the host's last response according to a report, on the local clock; 0 for none.
 */
uint64_t wc_host_report_get_last_seen_us (const WcHostReport *report, uint64_t now_us);

#endif
