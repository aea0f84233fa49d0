#ifndef WC_FORWARD_HOST_LOAD_H
#define WC_FORWARD_HOST_LOAD_H

#include <stdint.h>

enum
{
  /* Instances whose reports on a host are kept; in a domain with more, the ones heard last stand for all. */
  WC_HOST_LOAD_REPORTERS = 4
};

/**
 * struct WcHostLoadReport - requests of another instance at a host.
 * @reporter: incarnation of the instance.
 * @busy: its flows at the host with a request that is not answered.
 * @deadline_us: until then the report is used.
 */
typedef struct
{
  uint64_t reporter;
  uint32_t busy;
  uint64_t deadline_us;
} WcHostLoadReport;

/**
 * struct WcHostLoad - what is known of the work of a host.
 * @reports: of other instances.
 * @service_time_us: mean time to answer a request that did not wait; 0 before the first one.
 */
typedef struct
{
  WcHostLoadReport reports[WC_HOST_LOAD_REPORTERS];
  uint64_t         service_time_us;
} WcHostLoad;

/** wc_host_load_add_report() - take a report of another instance; it replaces that instance's last one, or the oldest.
 */
void wc_host_load_add_report (WcHostLoad *load, uint64_t reporter, uint32_t busy, uint64_t now_us);

/** wc_host_load_record_answer() - a request that did not wait was answered after @time_us. */
void wc_host_load_record_answer (WcHostLoad *load, uint64_t time_us);

/**
 * wc_host_load_estimate() - unanswered requests of all instances at a host.
 * @own_busy: those of this instance.
 * @peers: other instances of this domain whose callers use the host as those of this one do; 0 for a host elsewhere.
 *
 * A peer that has not reported lately is taken to have as many as this instance, since callers are spread evenly.
 */
uint32_t wc_host_load_estimate (const WcHostLoad *load, uint32_t own_busy, uint32_t peers, uint64_t now_us);

#endif
