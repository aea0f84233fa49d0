#include "forward/forwarder_private.h"

#include <assert.h>

#include "forward/host_health.h"

enum
{
  /* A caller sends a request again after 200, 600 and 1,400 ms; all of these are one loss. */
  SECOND_RETRANSMISSION_US = 500 * 1000
};

/* Arguments of a walk that resets the flows of a host. */
typedef struct
{
  WcForwarder  *forwarder;
  const WcHost *host;
} ResetWalk;

static void reset_flows (WcForwarder *forwarder, const WcHost *host);
static bool reset_flow_of_host (void *user_data, WcFlow *flow);

void
wc_forwarder_apply_report (WcForwarder *forwarder, uint64_t sender, bool is_own_domain, const WcHostReport *report,
                           uint64_t now_us)
{
  WcHost  *host = wc_host_table_find (forwarder->hosts, report->host);
  uint64_t reporter = report->reporter != 0 ? report->reporter : sender;

  forwarder->now_us = now_us;
  if (!host || reporter == forwarder->settings.incarnation)
    return;
  if (report->reporter == 0 && !report->failures_only)
    wc_host_load_add_report (&host->load, sender, report->busy, now_us);
  if (!is_own_domain)
    return;
  if (wc_host_health_apply_report (host, reporter, report, now_us))
    wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_CLEARED, NULL, host);
  wc_forwarder_evaluate_host (forwarder, host);
  if (report->reporter == 0)
    wc_forwarder_apply_failures (forwarder, sender, host, report);
}

WcHostReport
wc_forwarder_get_report (const WcForwarder *forwarder, const WcHost *host, uint64_t now_us)
{
  WcHostReport report = wc_host_report_from_host (host, now_us);

  if (wc_link_quality_is_lossy (&forwarder->link, now_us))
    report.silent_requests = report.repeating_requests = report.silence_age_ms = 0;
  wc_forwarder_add_failures (forwarder, host, now_us, &report);
  return report;
}

const WcHost *
wc_forwarder_next_query (WcForwarder *forwarder, uint64_t now_us)
{
  if (forwarder->domain_peers == 0 || wc_link_quality_is_lossy (&forwarder->link, now_us))
    return NULL;
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    {
      WcHost *host = wc_host_table_get (forwarder->hosts, i);

      if (wc_host_health_query_due (host, now_us))
        return host;
    }
  return NULL;
}

void
wc_forwarder_discard_evidence (WcForwarder *forwarder, uint64_t now_us)
{
  for (size_t i = 0; i < wc_host_table_get_count (forwarder->hosts); i++)
    {
      WcHost *host = wc_host_table_get (forwarder->hosts, i);

      wc_host_health_reset (host, now_us);
      wc_host_failures_discard_own (&host->failures);
    }
  forwarder->failures_start_us = now_us;
  wc_opening_queue_clear (forwarder->openings);
}

void
wc_forwarder_record_response (WcForwarder *forwarder, WcHost *host)
{
  if (wc_host_health_record_response (host, forwarder->now_us))
    wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_CLEARED, NULL, host);
}

void
wc_forwarder_record_unanswered (WcForwarder *forwarder, WcFlow *flow, WcHost *host, uint64_t since_us, bool is_request)
{
  if (!is_request || forwarder->now_us < since_us + SECOND_RETRANSMISSION_US)
    wc_forwarder_record_lost (forwarder, host);
  if (wc_host_health_record_unanswered (host, flow, since_us, is_request, forwarder->now_us))
    wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_SUSPECTED, NULL, host);
}

/*
 * Resets flows of a dead host, so that their callers open new flows instead of waiting for it. An instance without
 * unanswered requests of its own only stops placing flows on the host, because the links of the reporting instances may
 * be losing packets.
 */
void
wc_forwarder_evaluate_host (WcForwarder *forwarder, WcHost *host)
{
  WcHostHealth health = wc_host_health_evaluate (host, forwarder->domain_peers, forwarder->now_us);

  if (!health.is_dead || wc_link_quality_is_lossy (&forwarder->link, forwarder->now_us) ||
      wc_host_health_most_unresponsive (forwarder->hosts))
    return;
  if (wc_host_health_suspect (host, forwarder->now_us))
    wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_SUSPECTED, NULL, host);
  if (host->unanswered.requests > 0)
    reset_flows (forwarder, host);
}

/* local functions */

static void
reset_flows (WcForwarder *forwarder, const WcHost *host)
{
  ResetWalk walk = { forwarder, host };

  wc_flow_table_walk_all (forwarder->flows, reset_flow_of_host, &walk);
}

/*
 * Flows with a request that must not run twice are skipped: the caller would not retry the request, and the answer may
 * still arrive if only the path to the host is cut.
 */
static bool
reset_flow_of_host (void *user_data, WcFlow *flow)
{
  const ResetWalk *walk = user_data;

  if (flow->cookie != walk->host->cookie || flow->state != WC_FLOW_OPEN ||
      (flow->kind == WC_TRAFFIC_ONCE && flow->request_us > 0))
    return true;
  wc_forwarder_emit_decision (walk->forwarder, WC_DECISION_RESET_HOST_SILENT, &flow->key, walk->host);
  walk->forwarder->ops.reset (walk->forwarder->user_data, &flow->key, flow->acknowledged);
  wc_forwarder_uncount_flow (walk->forwarder, flow);
  return false;
}
