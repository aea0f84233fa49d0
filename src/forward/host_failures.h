#ifndef WC_FORWARD_HOST_FAILURES_H
#define WC_FORWARD_HOST_FAILURES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/failure_evidence.h"

/*
 * Load pattern: some hosts answer part of their requests and never the rest, while the platform's probes succeed and
 * the answers clear every suspicion. Such a host keeps its full share of new flows for minutes, and each request that
 * it does not answer costs its caller the time limit. A host is ejected when its failure rate is far above that of the
 * other hosts of its service and domain. If most of them fail, the cause is a link or the load, and none is ejected.
 */

/**
 * struct WcHostFailures - failed requests of a host and the decision derived from them. All zero at the start.
 * @own: requests of this instance.
 * @evidence: what other instances reported; NULL until a report contains a failed request.
 * @sum: counts of the domain without the estimates of others, at the last evaluation.
 * @outlier_since_us: since when the host has been an outlier without interruption; 0 when it is none.
 * @verdict: counts of the domain that made this instance eject the host; 0 when it relied on the estimates of others.
 * @verdict_us: time of that decision.
 * @eject_deadline_us: end of the current ejection; 0 when the host is in use.
 * @trial_deadline_us: end of the trial that follows the ejection; 0 before the trial.
 * @trial_flows: flows that this instance may still place on the host during the trial.
 * @is_needed: the host is used although it is ejected, because the others have no spare capacity.
 * @eject_count: successive ejections.
 * @recovered_us: when the host was last taken into use again.
 * @report_deadline_us: when the next failure may be reported to other instances at once.
 * @is_report_due: a request has failed since the last such report.
 */
typedef struct
{
  WcFailureWindow    own;
  WcFailureEvidence *evidence;
  WcFailureSum       sum;
  WcFailureCounts    verdict;
  uint64_t           verdict_us;
  uint64_t           outlier_since_us;
  uint64_t           eject_deadline_us;
  uint64_t           trial_deadline_us;
  uint32_t           trial_flows;
  bool               is_needed;
  uint32_t           eject_count;
  uint64_t           recovered_us;
  uint64_t           report_deadline_us;
  bool               is_report_due;
} WcHostFailures;

/** wc_host_failures_finish() - free the evidence and clear the state. */
void wc_host_failures_finish (WcHostFailures *failures);

void wc_host_failures_record_answered (WcHostFailures *failures, uint64_t now_us);
void wc_host_failures_record_failed (WcHostFailures *failures, uint64_t now_us);

/** wc_host_failures_discard_own() - discard the counts of this instance, because its link or processor is at fault. */
void wc_host_failures_discard_own (WcHostFailures *failures);

/** wc_host_failures_get_own() - counts of this instance in the window. */
WcFailureCounts wc_host_failures_get_own (const WcHostFailures *failures, uint64_t now_us);

/** wc_host_failures_apply_report() - process the counts of another instance of the domain. */
void wc_host_failures_apply_report (WcHostFailures *failures, uint64_t reporter, const WcFailureCounts *counts,
                                    uint64_t now_us);

/** wc_host_failures_apply_estimate() - process the estimate that @origin made for the domain @age_us ago. */
void wc_host_failures_apply_estimate (WcHostFailures *failures, uint64_t origin, const WcFailureCounts *counts,
                                      uint64_t age_us, uint64_t now_us);

/**
 * wc_host_failures_report_due() - whether a new failure is to be reported to other instances now.
 *
 * Return: true once per interval between such reports.
 */
bool wc_host_failures_report_due (WcHostFailures *failures, uint64_t now_us);

/** wc_host_failures_has_news() - whether reports on the host are to be sent before those on other hosts. */
bool wc_host_failures_has_news (const WcHostFailures *failures, uint64_t now_us);

/** wc_host_failures_is_ejected() - whether the host is ejected or in its trial. */
bool wc_host_failures_is_ejected (const WcHostFailures *failures);

/** wc_host_failures_is_in_use() - whether the host is part of the capacity. */
bool wc_host_failures_is_in_use (const WcHostFailures *failures);

/** wc_host_failures_allows_flow() - false when the host should get a new flow only if no better host is available. */
bool wc_host_failures_allows_flow (const WcHostFailures *failures);

/** wc_host_failures_record_flow() - record that a new flow was placed on the host. */
void wc_host_failures_record_flow (WcHostFailures *failures);

/** struct WcHostFailuresMember - a host of a group. @id: identifier, the same on all instances. */
typedef struct
{
  WcHostFailures *failures;
  uint64_t        id;
} WcHostFailuresMember;

/**
 * struct WcHostFailuresView - the instance and the load of the group.
 * @domain_peers: other live instances of its domain.
 * @is_full: the hosts that are not ejected have no spare capacity.
 */
typedef struct
{
  uint64_t incarnation;
  uint32_t domain_peers;
  bool     is_full;
} WcHostFailuresView;

/** enum WcHostFailuresChange - decision on a host. */
typedef enum
{
  WC_HOST_FAILURES_EJECTED = 0,
  WC_HOST_FAILURES_RECOVERED
} WcHostFailuresChange;

/** WcHostFailuresChanged - callback for each decision; @index is the position of the host in the group. */
typedef void (*WcHostFailuresChanged) (void *user_data, size_t index, WcHostFailuresChange change,
                                       const WcFailureSum *sum);

/**
 * wc_host_failures_evaluate() - decide on the hosts of one service in one domain that accept new flows.
 * @members: @count hosts, in any order.
 */
void wc_host_failures_evaluate (const WcHostFailuresMember *members, size_t count, const WcHostFailuresView *view,
                                uint64_t now_us, WcHostFailuresChanged changed, void *user_data);

/**
 * wc_host_failures_get_estimate() - counts of the domain for the reports of this instance. For a host that it has just
 * ejected these are the ones of that time, because fewer requests fail since.
 * @age_us: out: time since the counts were valid.
 *
 * Return: false when the counts that this instance received show no failing host.
 */
bool wc_host_failures_get_estimate (const WcHostFailures *failures, uint64_t now_us, WcFailureCounts *counts,
                                    uint64_t *age_us);

/** wc_host_failures_get_trial() - the same for the trial of an ejected host, for which fewer requests are sufficient.
 */
bool wc_host_failures_get_trial (const WcHostFailures *failures, WcFailureCounts *counts);

#endif
