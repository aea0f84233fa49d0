#ifndef WC_FORWARD_HOST_REPORT_H
#define WC_FORWARD_HOST_REPORT_H

#include <stddef.h>
#include <stdint.h>

#include "forward/host_table.h"

/**
 * struct WcHostReport - what the flows of one instance show of a host. Ages are counted from when it was written.
 * @reporter: incarnation of the instance, when another one passes the report on; 0 for the sender itself.
 * @busy: its flows at the host with a request that is not answered.
 * @life_age_ms: since a packet last showed that the host is alive; UINT32_MAX for never.
 * @silent_requests, @repeating_requests, @silence_age_ms: see WcUnansweredRequests.
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
} WcHostReport;

/** wc_host_report_from_host() - what this instance saw of a host. */
WcHostReport wc_host_report_from_host (const WcHost *host, uint64_t now_us);

/**
 * wc_host_report_from_witnesses() - what other instances told of a host, to be passed on.
 *
 * Return: how many reports were written, up to WC_HOST_WITNESSES.
 */
size_t wc_host_report_from_witnesses (const WcHost *host, uint64_t now_us, WcHostReport reports[WC_HOST_WITNESSES]);

/** wc_host_report_get_unanswered() - the silence that a report tells of, on the clock of the receiver. */
WcUnansweredRequests wc_host_report_get_unanswered (const WcHostReport *report, uint64_t now_us);

/** wc_host_report_get_last_seen_us() - the last sign of life that a report tells of; 0 for none. */
uint64_t wc_host_report_get_last_seen_us (const WcHostReport *report, uint64_t now_us);

#endif
