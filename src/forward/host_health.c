#include "forward/host_health.h"

#include <assert.h>

enum
{
  /* Flows in silence that make a host suspect. One may be a lost packet, at 1 in 700 on a calm link. */
  SUSPECT_FLOWS = 2,
  /* Requests in silence that show that a host is dead, and for how long; a slow host answers one of several within it.
   */
  DEAD_REQUESTS = 3,
  DEAD_SILENCE_US = 300 * 1000,
  /* With fewer requests, silence must last for more repetitions of a caller, which come after 200, 600 and 1,400 ms. */
  DEAD_FEW_REQUESTS = 2,
  DEAD_FEW_REPEATS = 2,
  DEAD_FEW_SILENCE_US = 700 * 1000,
  /* A suspected host gets a new flow as a trial after this time, doubled for each suspicion in a row up to the limit.
   */
  SUSPECT_FIRST_US = 500 * 1000,
  SUSPECT_LONGEST_US = 4000 * 1000,
  /* A caller repeats after 200 ms; two instances that ask in turn know of each other's evidence within one interval. */
  ASK_INTERVAL_US = 100 * 1000
};

static bool see_life_elsewhere (WcHost *host, uint64_t last_seen_us);
static void forget_silence (WcHost *host, uint64_t from_us);

bool
wc_host_health_record_response (WcHost *host, uint64_t now_us)
{
  bool was_suspected = now_us < host->suspect_deadline_us;

  host->last_seen_us = now_us;
  forget_silence (host, now_us);
  return was_suspected;
}

bool
wc_host_health_record_unanswered (WcHost *host, WcFlow *flow, uint64_t since_us, bool is_request, uint64_t now_us)
{
  assert (host != NULL && flow != NULL);

  /* The host answered another flow since. */
  if (since_us <= host->evidence_start_us)
    return false;
  /* This flow counts already. */
  if (flow->unanswered_us > host->evidence_start_us)
    {
      if (is_request && flow->retransmissions < UINT8_MAX && ++flow->retransmissions == DEAD_FEW_REPEATS)
        host->unanswered.retransmitted++;
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
  /* After a trial that failed, one flow is enough. */
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
  return see_life_elsewhere (host, wc_host_report_get_last_seen_us (report, now_us));
}

bool
wc_host_health_query_due (WcHost *host, uint64_t now_us)
{
  if (host->unanswered.requests == 0 || now_us < host->query_deadline_us)
    return false;
  host->query_deadline_us = now_us + ASK_INTERVAL_US;
  return true;
}

WcHostHealth
wc_host_health_evaluate (const WcHost *host, uint32_t domain_peers, uint64_t now_us)
{
  WcHostHealth verdict = { .unanswered = host->unanswered, .witnesses = host->unanswered.requests > 0 };
  uint32_t     needed = domain_peers > 0 ? 2 : 1;
  uint64_t     silence_us;

  verdict.witnesses += wc_host_witnesses_sum (&host->witnesses, host->evidence_start_us, now_us, &verdict.unanswered);
  silence_us = verdict.unanswered.since_us > 0 ? now_us - verdict.unanswered.since_us : 0;
  verdict.is_dead = verdict.witnesses >= needed &&
                    ((verdict.unanswered.requests >= DEAD_REQUESTS && silence_us >= DEAD_SILENCE_US) ||
                     (verdict.unanswered.retransmitted >= DEAD_FEW_REQUESTS && silence_us >= DEAD_FEW_SILENCE_US));
  return verdict;
}

bool
wc_host_health_suspect (WcHost *host, uint64_t now_us)
{
  uint64_t span_us = SUSPECT_FIRST_US;

  if (now_us < host->suspect_deadline_us)
    return false;
  for (uint32_t i = 0; i < host->suspect_count && span_us < SUSPECT_LONGEST_US; i++)
    span_us *= 2;
  host->suspect_count++;
  host->suspect_deadline_us = now_us + span_us;
  return true;
}

bool
wc_host_health_most_unresponsive (const WcHostTable *hosts)
{
  size_t silent = 0;
  size_t active = 0;

  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      const WcHost *host = wc_host_table_get (hosts, i);

      if (host->flows == 0)
        continue;
      active++;
      silent += host->unanswered_flows > 0;
    }
  return silent * 2 > active;
}

void
wc_host_health_reset (WcHost *host, uint64_t now_us)
{
  forget_silence (host, now_us);
}

/* local functions */

static bool
see_life_elsewhere (WcHost *host, uint64_t last_seen_us)
{
  bool was_suspected = host->suspect_deadline_us > 0;

  if (last_seen_us <= host->evidence_start_us)
    return false;
  if (host->unanswered.requests > 0 && host->unanswered.since_us <= last_seen_us)
    {
      forget_silence (host, last_seen_us);
      return was_suspected;
    }
  /* A host that is full answers requests and no openings, so that unanswered openings stay evidence. */
  if (host->unanswered_flows == 0)
    host->evidence_start_us = last_seen_us;
  return false;
}

static void
forget_silence (WcHost *host, uint64_t from_us)
{
  host->evidence_start_us = from_us;
  host->unanswered_flows = 0;
  host->unanswered = (WcUnansweredRequests){ 0 };
  host->suspect_deadline_us = 0;
  host->suspect_count = 0;
}
