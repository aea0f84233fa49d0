#include "forward/forwarder_private.h"

#include <assert.h>

#include <glib.h>

/* Evidence on hosts that fail part of their requests; see host_failures.h. */

enum
{
  /* A request fails when it is unanswered for longer than this, and than the multiple of the mean answer time. */
  OVERDUE_MIN_US = 500 * 1000,
  OVERDUE_ANSWER_TIMES = 8,
  /* No later than this part of the time limit, because the caller gives up then. */
  OVERDUE_LIMIT_DIVISOR = 2,
  /*
   * A flow whose caller has not retransmitted may have moved to another instance. Callers retransmit after 200 ms;
   * earlier packets are other parts of the request.
   */
  RETRANSMITTED_MIN_US = 150 * 1000,
  /* A caller that closes its flow earlier sent the request in several packets, or does not wait for an answer. */
  ABANDONED_MIN_US = 150 * 1000,
  /* Interval at which a relaying instance alternates between the estimates of others. */
  RELAY_INTERVAL_US = 500 * 1000,
  /*
   * Requests per slot, in tenths, from which hosts have no spare capacity. A request counts from its opening until the
   * answer is acknowledged, half as long again as it occupies a slot.
   */
  FULL_TENTHS = 25,
  /* The same for this long after an opening had to wait. */
  LIMITED_LIFETIME_US = 1000 * 1000
};

/* Arguments of the evaluation of a group. @hosts: its members, in the order of the evaluation. */
typedef struct
{
  WcForwarder   *forwarder;
  const WcHost **hosts;
} Evaluation;

static bool     is_enabled (const WcForwarder *forwarder);
static void     set_estimate (WcHostReport *report, const WcFailureCounts *counts, uint64_t age_us, uint64_t origin);
static bool     is_evidence (const WcForwarder *forwarder, uint64_t sent_us);
static void     record_failed (WcForwarder *forwarder, WcFlow *flow, WcHost *host);
static void     record_unanswered_opening (WcForwarder *forwarder, WcFlow *flow, const WcHost *answering);
static uint64_t get_overdue_us (WcForwarder *forwarder, const WcRoute *route, const WcHost *host);
static bool     is_full (WcForwarder *forwarder, const WcHostGroup *group);
static void     evaluate_group (WcForwarder *forwarder, const WcHostGroup *group);
static void     host_changed (void *user_data, size_t index, WcHostFailuresChange change, const WcFailureSum *sum);

void
wc_forwarder_record_outcome (WcForwarder *forwarder, const WcRoute *route, WcFlow *flow, WcHost *host,
                             const WcFlowProgress *progress, uint64_t request_us)
{
  uint64_t now_us = forwarder->now_us;

  assert (flow != NULL && host != NULL && progress != NULL);

  if (!is_enabled (forwarder))
    return;
  if (progress->opened)
    record_unanswered_opening (forwarder, flow, host);
  if (progress->answered)
    {
      if (request_us > 0 && !flow->failed && !wc_link_quality_is_lossy (&forwarder->link, now_us))
        wc_host_failures_record_answered (&host->failures, now_us);
      flow->failed = 0;
    }
  else if (flow->state == WC_FLOW_CLOSING)
    {
      if (request_us > 0 && now_us - request_us >= ABANDONED_MIN_US && is_evidence (forwarder, request_us))
        record_failed (forwarder, flow, host);
    }
  else if (progress->retransmitted)
    wc_forwarder_check_overdue (forwarder, route, flow, host);
}

void
wc_forwarder_check_overdue (WcForwarder *forwarder, const WcRoute *route, WcFlow *flow, WcHost *host)
{
  assert (flow != NULL && host != NULL);

  if (!is_enabled (forwarder) || !route || flow->failed || flow->moved || flow->state != WC_FLOW_OPEN ||
      flow->request_us == 0 || flow->last_packet_us < flow->request_us + RETRANSMITTED_MIN_US ||
      !is_evidence (forwarder, flow->request_us) ||
      forwarder->now_us - flow->request_us < get_overdue_us (forwarder, route, host))
    return;
  record_failed (forwarder, flow, host);
}

void
wc_forwarder_apply_failures (WcForwarder *forwarder, uint64_t sender, WcHost *host, const WcHostReport *report)
{
  const WcFailureCounts counts = { report->answered, report->failed };
  const WcFailureCounts joined = { report->joined_answered, report->joined_failed };
  uint64_t              origin = report->joined_by != 0 ? report->joined_by : sender;

  assert (host != NULL);

  if (!is_enabled (forwarder))
    return;
  wc_host_failures_apply_report (&host->failures, sender, &counts, forwarder->now_us);
  if (origin != forwarder->settings.incarnation)
    wc_host_failures_apply_estimate (&host->failures, origin, &joined, (uint64_t)report->joined_age_ms * 1000,
                                     forwarder->now_us);
}

/* An instance without an estimate of its own relays one of those it received, so that they reach the whole domain. */
void
wc_forwarder_add_failures (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us, WcHostReport *report)
{
  const WcHostFailures    *failures = &host->failures;
  const WcFailureEstimate *relayed;
  WcFailureCounts          counts;
  uint64_t                 age_us;

  if (!is_enabled (forwarder))
    return;
  if (!wc_link_quality_is_lossy (&forwarder->link, now_us))
    {
      counts = wc_host_failures_get_own (failures, now_us);
      report->answered = counts.answered;
      report->failed = counts.failed;
    }
  if (wc_host_failures_get_estimate (failures, now_us, &counts, &age_us))
    set_estimate (report, &counts, age_us, 0);
  else if (failures->evidence && (relayed = wc_failure_evidence_pick_estimate (
                                      failures->evidence, now_us / RELAY_INTERVAL_US, now_us)) != NULL)
    set_estimate (report, &relayed->counts, wc_failure_evidence_get_estimate_age_us (relayed, now_us), relayed->origin);
  else if (wc_host_failures_get_trial (failures, &counts))
    set_estimate (report, &counts, 0, 0);
}

/* While the link of this instance loses packets, its own counts are no evidence; those of the others still are. */
void
wc_forwarder_evaluate_failures (WcForwarder *forwarder)
{
  WcHostGroup group;

  if (!is_enabled (forwarder))
    return;
  if (wc_link_quality_is_lossy (&forwarder->link, forwarder->now_us))
    for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
      wc_host_failures_discard_own (&wc_host_table_get (forwarder->hosts, i)->failures);
  for (size_t cursor = 0; wc_host_table_next_group (forwarder->hosts, 0, &cursor, &group);)
    evaluate_group (forwarder, &group);
}

const WcHost *
wc_forwarder_next_failure (WcForwarder *forwarder, uint64_t now_us)
{
  if (!is_enabled (forwarder) || forwarder->domain_peers == 0 || wc_link_quality_is_lossy (&forwarder->link, now_us))
    return NULL;
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    {
      WcHost *host = wc_host_table_get (forwarder->hosts, i);

      if (wc_host_failures_report_due (&host->failures, now_us))
        return host;
    }
  return NULL;
}

bool
wc_forwarder_has_failure_news (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us)
{
  return is_enabled (forwarder) && wc_host_failures_has_news (&host->failures, now_us);
}

size_t
wc_forwarder_add_failure_reports (WcForwarder *forwarder, WcHostReport *reports, size_t max, uint64_t now_us)
{
  size_t count = wc_host_table_get_count (forwarder->hosts);
  size_t written = 0;

  assert (reports != NULL);

  for (size_t i = 0; is_enabled (forwarder) && i < count && written < max; i++)
    {
      const WcHost *host = wc_host_table_get (forwarder->hosts, forwarder->next_failing_host++ % count);

      if (wc_host_failures_has_news (&host->failures, now_us))
        reports[written++] = wc_forwarder_get_report (forwarder, host, now_us);
    }
  return written;
}

/* local functions */

static void
set_estimate (WcHostReport *report, const WcFailureCounts *counts, uint64_t age_us, uint64_t origin)
{
  report->joined_answered = counts->answered;
  report->joined_failed = counts->failed;
  report->joined_age_ms = (uint32_t)(age_us / 1000);
  report->joined_by = origin;
}

static bool
is_enabled (const WcForwarder *forwarder)
{
  return forwarder->settings.features.host_failures;
}

static bool
is_evidence (const WcForwarder *forwarder, uint64_t sent_us)
{
  return sent_us > forwarder->failures_start_us && !wc_link_quality_is_lossy (&forwarder->link, forwarder->now_us);
}

/* Each request is counted once. */
static void
record_failed (WcForwarder *forwarder, WcFlow *flow, WcHost *host)
{
  if (flow->failed)
    return;
  flow->failed = 1;
  wc_host_failures_record_failed (&host->failures, forwarder->now_us);
}

static void
record_unanswered_opening (WcForwarder *forwarder, WcFlow *flow, const WcHost *answering)
{
  WcHost *host = flow->unanswered_cookie != 0 && flow->unanswered_cookie != answering->cookie
                     ? wc_host_table_find_cookie (forwarder->hosts, flow->unanswered_cookie)
                     : NULL;

  flow->unanswered_cookie = 0;
  if (host && is_evidence (forwarder, flow->opened_us))
    wc_host_failures_record_failed (&host->failures, forwarder->now_us);
}

/*
 * The mean over the hosts of the service is used, so that a queue at all hosts lengthens the time.
 *
 * Return: time after which an unanswered request has failed.
 */
static uint64_t
get_overdue_us (WcForwarder *forwarder, const WcRoute *route, const WcHost *host)
{
  bool                 is_own_domain = host->record.domain == forwarder->settings.domain;
  const WcServiceLoad *load =
      wc_service_loads_get (&forwarder->loads, host->record.service, is_own_domain, forwarder->now_us);
  uint64_t overdue_us = MAX (load->answer_us * OVERDUE_ANSWER_TIMES, OVERDUE_MIN_US);

  return route->time_limit_ms > 0 ? MIN (overdue_us, (uint64_t)route->time_limit_ms * 1000 / OVERDUE_LIMIT_DIVISOR)
                                  : overdue_us;
}

/*
 * A host that answers part of its requests is better than none: it is used again when the others cannot take the load.
 */
static bool
is_full (WcForwarder *forwarder, const WcHostGroup *group)
{
  bool is_own_domain = group->domain == forwarder->settings.domain;
  /* Openings go to other domains when the own one is full, so that their hosts are needed at the same time. */
  const WcServiceLoad *load = wc_service_loads_get (&forwarder->loads, group->service, true, forwarder->now_us);
  uint64_t             busy = 0;
  uint64_t             slots = 0;

  if (load->limited_us > 0 && forwarder->now_us - load->limited_us < LIMITED_LIFETIME_US)
    return true;
  for (size_t i = 0; i < group->count; i++)
    {
      const WcHost *host = group->hosts[i];

      if (host->record.state != WC_HOST_READY || wc_host_failures_is_ejected (&host->failures))
        continue;
      busy += wc_host_load_estimate (&host->load, host->busy_flows, is_own_domain ? forwarder->domain_peers : 0,
                                     forwarder->now_us);
      slots += host->record.slots;
    }
  return busy * 10 >= slots * FULL_TENTHS;
}

static void
evaluate_group (WcForwarder *forwarder, const WcHostGroup *group)
{
  const WcHostFailuresView view = {
    .incarnation = forwarder->settings.incarnation,
    .domain_peers = forwarder->domain_peers,
    .is_full = is_full (forwarder, group),
  };
  WcHostFailuresMember *members = g_new (WcHostFailuresMember, group->count);
  Evaluation            evaluation = { forwarder, g_new (const WcHost *, group->count) };
  size_t                count = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      WcHost *host = group->hosts[i];

      if (host->record.state != WC_HOST_READY || host->ambiguous)
        continue;
      members[count] = (WcHostFailuresMember){ &host->failures, host->record.id };
      evaluation.hosts[count++] = host;
    }
  wc_host_failures_evaluate (members, count, &view, forwarder->now_us, host_changed, &evaluation);
  g_free (evaluation.hosts);
  g_free (members);
}

static void
host_changed (void *user_data, size_t index, WcHostFailuresChange change, const WcFailureSum *sum)
{
  const Evaluation *evaluation = user_data;
  WcForwarder      *forwarder = evaluation->forwarder;
  const WcDecision  decision = {
     .kind = change == WC_HOST_FAILURES_EJECTED ? WC_DECISION_HOST_FAILING : WC_DECISION_HOST_RECOVERED,
     .host = evaluation->hosts[index],
     .version = forwarder->routes ? wc_route_table_get_version (forwarder->routes) : 0,
     .count = sum->counts.failed,
     .witnesses = sum->reporters,
     .answered = sum->counts.answered,
  };

  forwarder->ops.decided (forwarder->user_data, &decision);
}
