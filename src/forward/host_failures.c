#include "forward/host_failures.h"

#include <assert.h>

#include <glib.h>

#include "core/mix.h"

enum
{
  /* Failure rates in thousandths: at least this many make a host an outlier. */
  RATE_MIN_MILLI = 100,
  MILLI = 1000,
  /* Requests of the domain below which a rate says nothing. */
  REQUESTS_MIN = 5,
  /* With a single lost packet in 700, one or two failures occur at healthy hosts. */
  FAILED_MIN = 3,
  /* Failures of two instances at least, because none contributes more than the others together. */
  CONFIRMING_FAILED_MIN = 2,
  /* Instances that must have seen failures, when there are several. */
  REPORTERS_MIN = 2,
  /* An outlier fails this many times as often as the median host of the group. */
  MEDIAN_RATIO = 3,
  /*
   * An outlier fails this many times as often as the requests of this instance at all hosts of the group. A third of
   * the hosts that fail all requests are three times as bad as the whole group.
   */
  GROUP_RATIO = 2,
  /* Own requests from which the rate of the whole group is used. */
  GROUP_REQUESTS_MIN = 10,
  /*
   * Time for which a host must have been an outlier. When a link fails, the evidence on the hosts arrives one after the
   * other, and the first ones would be ejected.
   */
  CONFIRM_US = 300 * 1000,
  /* Maximum share of a group that is ejected. */
  EJECTED_DIVISOR = 3,
  /* Duration of an ejection; not shorter than the window, and doubled with each successive one up to the maximum. */
  EJECT_MIN_US = 4000 * 1000,
  EJECT_MAX_US = 16000 * 1000,
  /* After this time in use the next ejection is the first one again. */
  FORGET_US = 30 * 1000 * 1000,
  /* Time for the flows of a trial: 500 ms until a request counts as failed, and the time until it is reported. */
  TRIAL_US = 2000 * 1000,
  /* Flows of all instances of the domain together that a trial takes. */
  TRIAL_FLOWS = 8,
  /* Failed requests of several instances that end a trial; a healthy host does not fail two of a few. */
  TRIAL_FAILED_MIN = 2,
  /* At most this often a host's failures are reported apart from gossip. */
  REPORT_INTERVAL_US = 500 * 1000
};

/*
 * @rate_milli: failure rate; 0 when there are too few requests.
 * @most_fail: most hosts of the group fail.
 */
typedef struct
{
  WcFailureSum sum;
  uint32_t     rate_milli;
  bool         most_fail;
} Measure;

static bool is_idle (const WcHostFailures *failures, uint64_t now_us);
static void
measure (const WcHostFailuresMember *members, size_t count, uint32_t peers, uint64_t now_us, Measure *measures);
static uint32_t get_rate_milli (const WcFailureCounts *counts);
static bool     is_significant (const WcFailureSum *sum, uint32_t peers);
static uint32_t
get_limit_milli (const WcHostFailuresMember *members, const Measure *measures, size_t count, uint64_t now_us);
static bool most_fail_here (const WcHostFailuresMember *members, size_t count, uint64_t now_us, uint32_t *rate_milli);
static void
find_outliers (const WcHostFailuresMember *members, size_t count, uint32_t peers, uint64_t now_us, Measure *measures);
static size_t find_worst (const WcHostFailuresMember *members, const Measure *measures, size_t count, uint64_t now_us);
static void   end_ejection (const WcHostFailuresMember *member, const WcHostFailuresView *view, const Measure *measured,
                            uint64_t now_us, size_t index, WcHostFailuresChanged changed, void *user_data);
static int    compare_rates (const void *a, const void *b);
static bool   fails_again (const WcHostFailures *failures, const WcFailureSum *sum, uint64_t now_us);
static void   eject (const WcHostFailuresMember *member, uint64_t now_us);
static void   start_trial (const WcHostFailuresMember *member, const WcHostFailuresView *view, uint64_t now_us);
static uint64_t get_eject_span_us (const WcHostFailures *failures);

void
wc_host_failures_finish (WcHostFailures *failures)
{
  assert (failures != NULL);

  g_free (failures->evidence);
  *failures = (WcHostFailures){ 0 };
}

void
wc_host_failures_record_answered (WcHostFailures *failures, uint64_t now_us)
{
  assert (failures != NULL);

  wc_failure_window_record_answered (&failures->own, now_us);
}

void
wc_host_failures_record_failed (WcHostFailures *failures, uint64_t now_us)
{
  assert (failures != NULL);

  wc_failure_window_record_failed (&failures->own, now_us);
  failures->is_report_due = true;
}

void
wc_host_failures_discard_own (WcHostFailures *failures)
{
  assert (failures != NULL);

  failures->own = (WcFailureWindow){ 0 };
  failures->is_report_due = false;
}

WcFailureCounts
wc_host_failures_get_own (const WcHostFailures *failures, uint64_t now_us)
{
  assert (failures != NULL);

  return wc_failure_window_get (&failures->own, now_us);
}

void
wc_host_failures_apply_report (WcHostFailures *failures, uint64_t reporter, const WcFailureCounts *counts,
                               uint64_t now_us)
{
  assert (failures != NULL && counts != NULL);

  if (!failures->evidence)
    {
      if (counts->failed == 0 || !wc_failure_counts_are_plausible (counts))
        return;
      failures->evidence = g_new0 (WcFailureEvidence, 1);
    }
  wc_failure_evidence_add_report (failures->evidence, reporter, counts, now_us);
}

void
wc_host_failures_apply_estimate (WcHostFailures *failures, uint64_t origin, const WcFailureCounts *counts,
                                 uint64_t age_us, uint64_t now_us)
{
  assert (failures != NULL && counts != NULL);

  if (counts->failed == 0)
    return;
  if (!failures->evidence)
    failures->evidence = g_new0 (WcFailureEvidence, 1);
  wc_failure_evidence_add_estimate (failures->evidence, origin, counts, age_us, now_us);
}

bool
wc_host_failures_report_due (WcHostFailures *failures, uint64_t now_us)
{
  assert (failures != NULL);

  if (!failures->is_report_due || now_us < failures->report_deadline_us)
    return false;
  failures->is_report_due = false;
  failures->report_deadline_us = now_us + REPORT_INTERVAL_US;
  return true;
}

bool
wc_host_failures_has_news (const WcHostFailures *failures, uint64_t now_us)
{
  return failures->evidence != NULL || wc_host_failures_get_own (failures, now_us).failed > 0;
}

bool
wc_host_failures_is_ejected (const WcHostFailures *failures)
{
  return failures->eject_deadline_us > 0;
}

bool
wc_host_failures_is_in_use (const WcHostFailures *failures)
{
  return failures->eject_deadline_us == 0 || failures->is_needed;
}

bool
wc_host_failures_allows_flow (const WcHostFailures *failures)
{
  return wc_host_failures_is_in_use (failures) || failures->trial_flows > 0;
}

void
wc_host_failures_record_flow (WcHostFailures *failures)
{
  failures->trial_flows -= failures->trial_flows > 0;
}

bool
wc_host_failures_get_estimate (const WcHostFailures *failures, uint64_t now_us, WcFailureCounts *counts,
                               uint64_t *age_us)
{
  assert (failures != NULL && counts != NULL && age_us != NULL);

  if (failures->verdict.failed > 0 && now_us - failures->verdict_us < WC_FAILURE_ESTIMATE_LIFETIME_US)
    {
      *counts = failures->verdict;
      *age_us = now_us - failures->verdict_us;
      return true;
    }
  *counts = failures->sum.counts;
  *age_us = 0;
  return is_significant (&failures->sum, REPORTERS_MIN);
}

bool
wc_host_failures_get_trial (const WcHostFailures *failures, WcFailureCounts *counts)
{
  assert (failures != NULL && counts != NULL);

  *counts = failures->sum.counts;
  return wc_host_failures_is_ejected (failures) && failures->sum.counts.failed >= TRIAL_FAILED_MIN;
}

void
wc_host_failures_evaluate (const WcHostFailuresMember *members, size_t count, const WcHostFailuresView *view,
                           uint64_t now_us, WcHostFailuresChanged changed, void *user_data)
{
  Measure *measures;
  size_t   ejected = 0;
  bool     any = false;

  assert (members != NULL && view != NULL && changed != NULL);

  for (size_t i = 0; i < count; i++)
    any = any || !is_idle (members[i].failures, now_us);
  if (!any)
    return;
  measures = g_new0 (Measure, count);
  measure (members, count, view->domain_peers, now_us, measures);
  find_outliers (members, count, view->domain_peers, now_us, measures);
  for (size_t i = 0; i < count; i++)
    {
      WcHostFailures *failures = members[i].failures;

      if (wc_host_failures_is_ejected (failures) && now_us >= failures->eject_deadline_us)
        end_ejection (&members[i], view, &measures[i], now_us, i, changed, user_data);
      ejected += wc_host_failures_is_ejected (failures);
    }
  for (; ejected < count / EJECTED_DIVISOR && !view->is_full; ejected++)
    {
      size_t worst = find_worst (members, measures, count, now_us);

      if (worst == count)
        break;
      eject (&members[worst], now_us);
      changed (user_data, worst, WC_HOST_FAILURES_EJECTED, &measures[worst].sum);
    }
  for (size_t i = 0; i < count; i++)
    members[i].failures->is_needed = view->is_full && wc_host_failures_is_ejected (members[i].failures);
  g_free (measures);
}

/* local functions */

static bool
is_idle (const WcHostFailures *failures, uint64_t now_us)
{
  return !failures->evidence && !wc_host_failures_is_ejected (failures) && failures->sum.counts.failed == 0 &&
         wc_host_failures_get_own (failures, now_us).failed == 0;
}

/* Joins the counts of each host, and frees evidence that has expired. */
static void
measure (const WcHostFailuresMember *members, size_t count, uint32_t peers, uint64_t now_us, Measure *measures)
{
  uint64_t answered = 0;
  size_t   used = 0;

  for (size_t i = 0; i < count; i++)
    if (!wc_host_failures_is_ejected (members[i].failures))
      {
        answered += wc_host_failures_get_own (members[i].failures, now_us).answered;
        used++;
      }
  for (size_t i = 0; i < count; i++)
    {
      WcHostFailures          *failures = members[i].failures;
      const WcFailureCounts    own = wc_host_failures_get_own (failures, now_us);
      const WcFailureEstimate *estimate = NULL;
      /* Callers are distributed evenly. Nothing is known of what peers send to a host that is ejected here. */
      uint64_t peer_answered_milli = used > 0 && !wc_host_failures_is_ejected (failures) ? answered * MILLI / used : 0;

      if (failures->evidence && wc_failure_evidence_is_empty (failures->evidence, now_us))
        {
          g_free (failures->evidence);
          failures->evidence = NULL;
        }
      failures->sum = wc_failure_evidence_sum (failures->evidence, &own, peers, peer_answered_milli, now_us);
      measures[i].sum = failures->sum;
      if (failures->evidence)
        estimate = wc_failure_evidence_get_estimate (failures->evidence, now_us);
      /* A single estimate is sufficient when failures that several instances reported here confirm it. */
      if (failures->evidence && !estimate && failures->sum.counts.failed >= CONFIRMING_FAILED_MIN)
        estimate = wc_failure_evidence_pick_estimate (failures->evidence, 0, now_us);
      if (estimate && estimate->counts.failed > failures->sum.counts.failed)
        measures[i].sum = (WcFailureSum){ estimate->counts, WC_FAILURE_ESTIMATES };
      measures[i].rate_milli = get_rate_milli (&measures[i].sum.counts);
    }
}

static uint32_t
get_rate_milli (const WcFailureCounts *counts)
{
  uint64_t requests = (uint64_t)counts->answered + counts->failed;

  return requests >= REQUESTS_MIN ? (uint32_t)((uint64_t)counts->failed * MILLI / requests) : 0;
}

static bool
is_significant (const WcFailureSum *sum, uint32_t peers)
{
  return sum->counts.failed >= FAILED_MIN && get_rate_milli (&sum->counts) >= RATE_MIN_MILLI &&
         (peers == 0 || sum->reporters >= REPORTERS_MIN);
}

/* Return: failure rate from which a host is an outlier; UINT32_MAX when most hosts fail. */
static uint32_t
get_limit_milli (const WcHostFailuresMember *members, const Measure *measures, size_t count, uint64_t now_us)
{
  uint32_t *rates = g_new (uint32_t, count);
  uint32_t  median_milli;
  uint32_t  group_milli;

  for (size_t i = 0; i < count; i++)
    rates[i] = measures[i].rate_milli;
  qsort (rates, count, sizeof *rates, compare_rates);
  median_milli = rates[(count - 1) / 2];
  g_free (rates);
  if (median_milli >= RATE_MIN_MILLI || most_fail_here (members, count, now_us, &group_milli))
    return UINT32_MAX;
  return MAX (RATE_MIN_MILLI, MAX (median_milli * MEDIAN_RATIO, group_milli * GROUP_RATIO));
}

static void
find_outliers (const WcHostFailuresMember *members, size_t count, uint32_t peers, uint64_t now_us, Measure *measures)
{
  uint32_t limit_milli = get_limit_milli (members, measures, count, now_us);

  for (size_t i = 0; i < count; i++)
    {
      WcHostFailures *failures = members[i].failures;

      measures[i].most_fail = limit_milli == UINT32_MAX;
      if (measures[i].rate_milli < limit_milli || !is_significant (&measures[i].sum, peers))
        failures->outlier_since_us = 0;
      else if (failures->outlier_since_us == 0)
        failures->outlier_since_us = now_us;
    }
}

/* Return: index of the host in use that fails most, @count when no outlier is confirmed. */
static size_t
find_worst (const WcHostFailuresMember *members, const Measure *measures, size_t count, uint64_t now_us)
{
  size_t worst = count;

  for (size_t i = 0; i < count; i++)
    {
      const WcHostFailures *failures = members[i].failures;

      if (!wc_host_failures_is_ejected (failures) && failures->outlier_since_us > 0 &&
          now_us - failures->outlier_since_us >= CONFIRM_US &&
          (worst == count || measures[i].rate_milli > measures[worst].rate_milli))
        worst = i;
    }
  return worst;
}

/* Ejects the host again, starts its trial, or takes it into use after the trial. */
static void
end_ejection (const WcHostFailuresMember *member, const WcHostFailuresView *view, const Measure *measured,
              uint64_t now_us, size_t index, WcHostFailuresChanged changed, void *user_data)
{
  WcHostFailures *failures = member->failures;

  if (!measured->most_fail && fails_again (failures, &measured->sum, now_us))
    {
      eject (member, now_us);
      changed (user_data, index, WC_HOST_FAILURES_EJECTED, &measured->sum);
      return;
    }
  if (failures->trial_deadline_us == 0)
    {
      start_trial (member, view, now_us);
      return;
    }
  if (now_us < failures->trial_deadline_us)
    return;
  failures->eject_deadline_us = failures->trial_deadline_us = 0;
  failures->trial_flows = 0;
  failures->outlier_since_us = 0;
  failures->recovered_us = now_us;
  changed (user_data, index, WC_HOST_FAILURES_RECOVERED, &measured->sum);
}

/*
 * Compares the hosts by the requests of this instance alone, because the counts of other instances arrive for the hosts
 * with failures first.
 *
 * Return: true when more than half of the hosts that it uses have failures. @rate_milli: failure rate of the group.
 */
static bool
most_fail_here (const WcHostFailuresMember *members, size_t count, uint64_t now_us, uint32_t *rate_milli)
{
  WcFailureCounts sum = { 0 };
  size_t          used = 0;
  size_t          failing = 0;

  for (size_t i = 0; i < count; i++)
    {
      const WcFailureCounts own = wc_host_failures_get_own (members[i].failures, now_us);

      sum.answered += own.answered;
      sum.failed += own.failed;
      used += own.answered + own.failed > 0;
      failing += own.failed > 0;
    }
  *rate_milli = sum.answered + sum.failed >= GROUP_REQUESTS_MIN ? get_rate_milli (&sum) : 0;
  return sum.answered + sum.failed >= REQUESTS_MIN && failing * 2 > used;
}

static int
compare_rates (const void *a, const void *b)
{
  uint32_t rate_a = *(const uint32_t *)a;
  uint32_t rate_b = *(const uint32_t *)b;

  return (rate_a > rate_b) - (rate_a < rate_b);
}

/* The host was an outlier before, so that fewer requests are sufficient than for the first ejection. */
static bool
fails_again (const WcHostFailures *failures, const WcFailureSum *sum, uint64_t now_us)
{
  return sum->counts.failed >= TRIAL_FAILED_MIN || wc_host_failures_get_own (failures, now_us).failed > 0;
}

static void
eject (const WcHostFailuresMember *member, uint64_t now_us)
{
  WcHostFailures *failures = member->failures;

  if (failures->recovered_us > 0 && failures->eject_deadline_us == 0 && now_us - failures->recovered_us >= FORGET_US)
    failures->eject_count = 0;
  failures->eject_deadline_us = now_us + get_eject_span_us (failures);
  failures->outlier_since_us = 0;
  failures->eject_count++;
  failures->verdict = is_significant (&failures->sum, REPORTERS_MIN) ? failures->sum.counts : (WcFailureCounts){ 0 };
  failures->verdict_us = now_us;
  failures->trial_deadline_us = 0;
  failures->trial_flows = 0;
}

/*
 * A few instances take the flows of a trial, chosen by the host and its number of ejections; the others wait for what
 * they report.
 */
static void
start_trial (const WcHostFailuresMember *member, const WcHostFailuresView *view, uint64_t now_us)
{
  uint64_t instances = (uint64_t)view->domain_peers + 1;
  uint64_t hash = wc_mix64 (wc_mix64 (member->id ^ member->failures->eject_count) ^ view->incarnation);

  member->failures->trial_deadline_us = now_us + TRIAL_US;
  member->failures->trial_flows = (uint32_t)(TRIAL_FLOWS / instances + (hash % instances < TRIAL_FLOWS % instances));
}

static uint64_t
get_eject_span_us (const WcHostFailures *failures)
{
  uint64_t span_us = EJECT_MIN_US;

  for (uint32_t i = 0; i < failures->eject_count && span_us < EJECT_MAX_US; i++)
    span_us *= 2;
  return span_us;
}
