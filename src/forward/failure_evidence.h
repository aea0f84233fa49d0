#ifndef WC_FORWARD_FAILURE_EVIDENCE_H
#define WC_FORWARD_FAILURE_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/failure_window.h"

/*
 * Load pattern: an instance sends a host less than one request a second, so its own counts of failed requests say
 * little about a single host. The counts of the instances of a failure domain are joined. Counts are replaced by the
 * next report of the same instance and never added to, so lost, repeated and reordered datagrams do no harm.
 */

enum
{
  /* Maximum number of instances whose counts are kept for one host. */
  WC_FAILURE_REPORTERS = 32,
  /* Maximum number of estimates of other instances that are kept for one host. */
  WC_FAILURE_ESTIMATES = 2,
  /* Two gossip rounds more than an estimate needs to reach 100 instances. */
  WC_FAILURE_ESTIMATE_LIFETIME_US = 2000 * 1000
};

/**
 * struct WcFailureReport - counts of another instance.
 * @reporter: incarnation of the instance; 0 for an unused entry.
 * @deadline_us: when the counts expire.
 */
typedef struct
{
  uint64_t        reporter;
  WcFailureCounts counts;
  uint64_t        deadline_us;
} WcFailureReport;

/**
 * struct WcFailureEstimate - counts of the whole domain, as estimated by one instance from the counts that it received.
 * @origin: incarnation of the estimating instance; 0 for none.
 * @deadline_us: when the estimate expires.
 */
typedef struct
{
  uint64_t        origin;
  WcFailureCounts counts;
  uint64_t        deadline_us;
} WcFailureEstimate;

/** struct WcFailureEvidence - what other instances reported on one host; bounded. */
typedef struct
{
  WcFailureReport   reports[WC_FAILURE_REPORTERS];
  WcFailureEstimate estimates[WC_FAILURE_ESTIMATES];
} WcFailureEvidence;

/** struct WcFailureSum - joined counts of a domain. @reporters: number of instances with failed requests. */
typedef struct
{
  WcFailureCounts counts;
  uint32_t        reporters;
} WcFailureSum;

/** wc_failure_counts_are_plausible() - false for counts that no instance can observe within the window. */
bool wc_failure_counts_are_plausible (const WcFailureCounts *counts);

/**
 * wc_failure_evidence_add_report() - store the counts of an instance. They replace its earlier ones, or else those of
 * an instance without failed requests, or else the oldest.
 */
void wc_failure_evidence_add_report (WcFailureEvidence *evidence, uint64_t reporter, const WcFailureCounts *counts,
                                     uint64_t now_us);

/** wc_failure_evidence_add_estimate() - store the estimate that @origin made @age_us ago; ignored when too old. */
void wc_failure_evidence_add_estimate (WcFailureEvidence *evidence, uint64_t origin, const WcFailureCounts *counts,
                                       uint64_t age_us, uint64_t now_us);

/**
 * wc_failure_evidence_sum() - join the counts of a domain.
 * @evidence: may be NULL.
 * @own: counts of this instance.
 * @peers: other live instances of the domain.
 * @peer_answered_milli: answered requests, in thousandths, that are assumed for each peer without a report; the mean of
 * the known instances if that is lower, because load moves away from a host that does not answer.
 *
 * With peers, no instance contributes more failed requests than all others together, so that the link or a defect of a
 * single instance is no evidence.
 */
WcFailureSum wc_failure_evidence_sum (const WcFailureEvidence *evidence, const WcFailureCounts *own, uint32_t peers,
                                      uint64_t peer_answered_milli, uint64_t now_us);

/**
 * wc_failure_evidence_get_estimate() - of the estimates of two instances, the one with fewer failed requests.
 *
 * Return: NULL when fewer than two instances have sent one, because a single instance may be wrong.
 */
const WcFailureEstimate *wc_failure_evidence_get_estimate (const WcFailureEvidence *evidence, uint64_t now_us);

/**
 * wc_failure_evidence_pick_estimate() - a valid estimate to relay; @selector alternates between them.
 *
 * Return: NULL when there is none.
 */
const WcFailureEstimate *
wc_failure_evidence_pick_estimate (const WcFailureEvidence *evidence, uint64_t selector, uint64_t now_us);

/** wc_failure_evidence_get_estimate_age_us() - time since @estimate was made. */
uint64_t wc_failure_evidence_get_estimate_age_us (const WcFailureEstimate *estimate, uint64_t now_us);

/** wc_failure_evidence_is_empty() - whether everything has expired. */
bool wc_failure_evidence_is_empty (const WcFailureEvidence *evidence, uint64_t now_us);

#endif
