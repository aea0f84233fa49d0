#include "forward/host_health.h"

#include <assert.h>

enum
{
  /*
   * Flows with an unanswered packet that make a host suspected. A single one may be a lost packet, at 1 in 700 on a
   * healthy link.
   */
  SUSPECT_FLOWS = 2,
  /*
   * Number of unanswered requests, and time since the first, that show that a host is dead; a slow host answers one of
   * several within that time.
   */
  DEAD_REQUESTS = 3,
  DEAD_AFTER_US = 300 * 1000,
  /*
   * With fewer requests, they must be retransmitted more often and stay unanswered for longer; callers retransmit after
   * 200, 600 and 1,400 ms.
   */
  DEAD_FEW_REQUESTS = 2,
  DEAD_FEW_RETRANSMISSIONS = 2,
  DEAD_FEW_AFTER_US = 700 * 1000,
  /*
   * Time until a suspected host receives a new flow as a trial; doubled with each successive suspicion up to the
   * maximum.
   */
  SUSPECT_MIN_US = 500 * 1000,
  SUSPECT_MAX_US = 4000 * 1000,
  /*
   * A caller retransmits after 200 ms; two instances that query alternately know each other's evidence within one
   * interval.
   */
  QUERY_INTERVAL_US = 100 * 1000
};

static bool apply_peer_response (WcHost *host, uint64_t last_seen_us);
static void clear_unanswered (WcHost *host, uint64_t from_us);

bool
wc_host_health_record_response (WcHost *host, uint64_t now_us)
{
  bool was_suspected = now_us < host->suspect_deadline_us;

  host->last_seen_us = now_us;
  clear_unanswered (host, now_us);
  return was_suspected;
}

bool
wc_host_health_record_unanswered (WcHost *host, WcFlow *flow, uint64_t since_us, bool is_request, uint64_t now_us)
{
  assert (host != NULL && flow != NULL);

  /* The host has answered another flow since. */
  if (since_us <= host->evidence_start_us)
    return false;
  /* This flow is already counted. */
  if (flow->unanswered_us > host->evidence_start_us)
    {
      if (is_request && flow->retransmissions < UINT8_MAX && ++flow->retransmissions == DEAD_FEW_RETRANSMISSIONS)
        host->unanswered.retransmitted_twice++;
      return false;
    }
  flow->retransmissions = 1;
  flow->unanswered_us = now_us;
  host->unanswered_flows++;
  if (is_request)
    {
      host->unanswered.requests++;
      if (host->unanswered.since_us == 0 || since_us < host->unanswered.since_us)
        host->unanswered.since_us = since_us;
    }
  /* After a failed trial, one flow is sufficient. */
  if (host->unanswered_flows < SUSPECT_FLOWS && host->suspect_count == 0)
    return false;
  return wc_host_health_suspect (host, now_us);
}

bool
wc_host_health_apply_report (WcHost *host, uint64_t reporter, const WcHostReport *report, uint64_t now_us)
{
  const WcUnansweredRequests unanswered = wc_host_report_get_unanswered (report, now_us);

  assert (host != NULL && report != NULL);

  wc_host_witnesses_add_report (&host->witnesses, reporter, &unanswered, now_us);
  return apply_peer_response (host, wc_host_report_get_last_seen_us (report, now_us));
}

bool
wc_host_health_query_due (WcHost *host, uint64_t now_us)
{
  if (host->unanswered.requests == 0 || now_us < host->query_deadline_us)
    return false;
  host->query_deadline_us = now_us + QUERY_INTERVAL_US;
  return true;
}

WcHostHealth
wc_host_health_evaluate (const WcHost *host, uint32_t domain_peers, uint64_t now_us)
{
  WcHostHealth health = { .unanswered = host->unanswered, .witnesses = host->unanswered.requests > 0 };
  uint32_t     needed = domain_peers > 0 ? 2 : 1;
  uint64_t     unanswered_time_us;

  health.witnesses += wc_host_witnesses_sum (&host->witnesses, host->evidence_start_us, now_us, &health.unanswered);
  unanswered_time_us = health.unanswered.since_us > 0 ? now_us - health.unanswered.since_us : 0;
  health.is_dead =
      health.witnesses >= needed &&
      ((health.unanswered.requests >= DEAD_REQUESTS && unanswered_time_us >= DEAD_AFTER_US) ||
       (health.unanswered.retransmitted_twice >= DEAD_FEW_REQUESTS && unanswered_time_us >= DEAD_FEW_AFTER_US));
  return health;
}

bool
wc_host_health_suspect (WcHost *host, uint64_t now_us)
{
  uint64_t span_us = SUSPECT_MIN_US;

  if (now_us < host->suspect_deadline_us)
    return false;
  for (uint32_t i = 0; i < host->suspect_count && span_us < SUSPECT_MAX_US; i++)
    span_us *= 2;
  host->suspect_count++;
  host->suspect_deadline_us = now_us + span_us;
  return true;
}

bool
wc_host_health_most_unresponsive (const WcHostTable *hosts)
{
  size_t unresponsive = 0;
  size_t active = 0;

  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      const WcHost *host = wc_host_table_get (hosts, i);

      if (host->flows == 0)
        continue;
      active++;
      unresponsive += host->unanswered_flows > 0;
    }
  return unresponsive * 2 > active;
}

void
wc_host_health_reset (WcHost *host, uint64_t now_us)
{
  clear_unanswered (host, now_us);
}

/* local functions */

static bool
apply_peer_response (WcHost *host, uint64_t last_seen_us)
{
  bool was_suspected = host->suspect_deadline_us > 0;

  if (last_seen_us <= host->evidence_start_us)
    return false;
  if (host->unanswered.requests > 0 && host->unanswered.since_us <= last_seen_us)
    {
      clear_unanswered (host, last_seen_us);
      return was_suspected;
    }
  /* A host that is full answers requests but no openings, so unanswered openings remain evidence. */
  if (host->unanswered_flows == 0)
    host->evidence_start_us = last_seen_us;
  return false;
}

static void
clear_unanswered (WcHost *host, uint64_t from_us)
{
  host->evidence_start_us = from_us;
  host->unanswered_flows = 0;
  host->unanswered = (WcUnansweredRequests){ 0 };
  host->suspect_deadline_us = 0;
  host->suspect_count = 0;
}
