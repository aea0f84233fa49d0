#ifndef WC_FORWARD_HOST_WITNESS_H
#define WC_FORWARD_HOST_WITNESS_H

#include <stdint.h>

/*
 * Load pattern: the link of one instance loses packets, so that healthy hosts appear unresponsive there. The other
 * instances of the failure domain have links of their own; a host that is unresponsive at two instances is
 * considered dead.
 */

enum
{
  /* Maximum number of instances whose reports on a host are kept, and number of instances queried about a host. */
  WC_HOST_WITNESSES = 4
};

/**
 * struct WcUnansweredRequests - unanswered requests of one instance at a host since the host's last response.
 * @requests: number of unanswered requests that were retransmitted.
 * @retransmitted_twice: number of those that were retransmitted more than once.
 * @since_us: when the first of them was sent; 0 for none.
 */
typedef struct
{
  uint32_t requests;
  uint32_t retransmitted_twice;
  uint64_t since_us;
} WcUnansweredRequests;

/**
 * struct WcHostWitness - report of another instance on a host's unanswered requests.
 * @reporter: incarnation of the instance; 0 for an unused entry.
 * @deadline_us: when the report expires.
 */
typedef struct
{
  uint64_t             reporter;
  WcUnansweredRequests unanswered;
  uint64_t             deadline_us;
} WcHostWitness;

/** struct WcHostWitnesses - reports of the other instances of the domain on one host. */
typedef struct
{
  WcHostWitness entries[WC_HOST_WITNESSES];
} WcHostWitnesses;

/**
 * wc_host_witnesses_add_report() - store a report; it replaces the reporter's previous one, or the oldest. A report
 * without unanswered requests only replaces the reporter's own.
 */
void wc_host_witnesses_add_report (WcHostWitnesses *witnesses, uint64_t reporter,
                                   const WcUnansweredRequests *unanswered, uint64_t now_us);

/**
 * wc_host_witnesses_sum() - add the valid reports of other instances to @unanswered.
 * @evidence_start_us: reports whose first unanswered request was sent at or before this time are ignored.
 * @unanswered: in: the own unanswered requests; out: the total.
 *
 * Return: number of reports that were added.
 */
uint32_t wc_host_witnesses_sum (const WcHostWitnesses *witnesses, uint64_t evidence_start_us, uint64_t now_us,
                                WcUnansweredRequests *unanswered);

#endif
