#ifndef WC_FORWARD_HOST_LOAD_H
#define WC_FORWARD_HOST_LOAD_H

#include <stdint.h>

enum
{
  /*
   * Maximum number of instances whose reports on a host are kept; in a larger domain the latest reports represent all.
   */
  WC_HOST_LOAD_REPORTERS = 4
};

/**
 * struct WcHostLoadReport - load that another instance puts on a host.
 * @reporter: incarnation of the instance.
 * @busy: number of its flows at the host that are opening or have an unanswered request.
 * @deadline_us: when the report expires.
 */
typedef struct
{
  uint64_t reporter;
  uint32_t busy;
  uint64_t deadline_us;
} WcHostLoadReport;

/**
 * struct WcHostLoad - known load of a host.
 * @reports: reports of other instances.
 * @answered_us: when @service_time_us was last updated.
 * @service_time_us: mean answer time of requests that were not queued; 0 before the first one.
 */
typedef struct
{
  WcHostLoadReport reports[WC_HOST_LOAD_REPORTERS];
  uint64_t         service_time_us;
  uint64_t         answered_us;
} WcHostLoad;

/** wc_host_load_add_report() - store a report; it replaces the previous one of that instance, or the oldest. */
void wc_host_load_add_report (WcHostLoad *load, uint64_t reporter, uint32_t busy, uint64_t now_us);

/** wc_host_load_record_answer() - record the answer time @duration_us of a request that was not queued. */
void wc_host_load_record_answer (WcHostLoad *load, uint64_t duration_us, uint64_t now_us);

/**
 * wc_host_load_estimate() - estimate the number of unanswered requests of all instances at a host.
 * @own_busy: those of this instance.
 * @peers: other instances of this domain that send requests to the host like this one; 0 for a host of another domain.
 *
 * A peer without a recent report is assumed to have as many as this instance, since callers are distributed evenly.
 */
uint32_t wc_host_load_estimate (const WcHostLoad *load, uint32_t own_busy, uint32_t peers, uint64_t now_us);

#endif
