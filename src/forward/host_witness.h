#ifndef WC_FORWARD_HOST_WITNESS_H
#define WC_FORWARD_HOST_WITNESS_H

#include <stdint.h>

/*
 * Load pattern: the link of one instance loses packets, so that hosts which serve look silent there. Another instance
 * of the failure domain has its own link; a host that is silent at both does not answer.
 */

enum
{
  /* Instances whose reports on a host are kept; as many are asked about it. */
  WC_HOST_WITNESSES = 4
};

/**
 * struct WcUnansweredRequests - what a host left unanswered at one instance since the last sign of life.
 * @requests: requests that their callers sent again.
 * @retransmitted: those of them that were sent again more than once.
 * @since_us: when the first of them was sent; 0 for none.
 */
typedef struct
{
  uint32_t requests;
  uint32_t retransmitted;
  uint64_t since_us;
} WcUnansweredRequests;

/**
 * struct WcHostWitness - the silence of a host at another instance.
 * @reporter: incarnation of the instance; 0 for an unused entry.
 * @deadline_us: until then the report is used.
 */
typedef struct
{
  uint64_t             reporter;
  WcUnansweredRequests unanswered;
  uint64_t             deadline_us;
} WcHostWitness;

/** struct WcHostWitnesses - reports of other instances of the domain on one host. */
typedef struct
{
  WcHostWitness entries[WC_HOST_WITNESSES];
} WcHostWitnesses;

/**
 * wc_host_witnesses_add_report() - take a report; it replaces the reporter's last one, or the oldest. One that tells of
 * no silence replaces the reporter's only.
 */
void wc_host_witnesses_add_report (WcHostWitnesses *witnesses, uint64_t reporter,
                                   const WcUnansweredRequests *unanswered, uint64_t now_us);

/**
 * wc_host_witnesses_sum() - add reported silence to @unanswered.
 * @last_seen_us: last sign of life of the host; reports of silence that began before it are left out.
 *
 * Return: how many instances reported it.
 */
uint32_t wc_host_witnesses_sum (const WcHostWitnesses *witnesses, uint64_t last_seen_us, uint64_t now_us,
                                WcUnansweredRequests *unanswered);

#endif
