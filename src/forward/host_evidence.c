#include "forward/host_evidence.h"

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
  SUSPECT_LONGEST_US = 4000 * 1000
};

bool
wc_host_evidence_life (WcHost *host, uint64_t now_us)
{
  bool was_suspected = now_us < host->suspect_deadline_us;

  host->life_us = now_us;
  host->silent_flows = 0;
  host->silent_requests = 0;
  host->repeating_requests = 0;
  host->silent_since_us = 0;
  host->suspect_deadline_us = 0;
  host->suspicions = 0;
  return was_suspected;
}

bool
wc_host_evidence_silence (WcHost *host, WcFlow *flow, uint64_t since_us, bool is_request, uint64_t now_us)
{
  uint64_t span_us = SUSPECT_FIRST_US;

  assert (host != NULL && flow != NULL);

  /* The host answered another flow since. */
  if (since_us <= host->life_us)
    return false;
  /* This flow counts already. */
  if (flow->silent_us > host->life_us)
    {
      if (is_request && flow->repeats < UINT8_MAX && ++flow->repeats == DEAD_FEW_REPEATS)
        host->repeating_requests++;
      return false;
    }
  flow->repeats = 1;
  flow->silent_us = now_us;
  host->silent_flows++;
  if (is_request)
    {
      host->silent_requests++;
      if (host->silent_since_us == 0 || since_us < host->silent_since_us)
        host->silent_since_us = since_us;
    }
  /* After a trial that failed, one flow is enough. */
  if (now_us < host->suspect_deadline_us || (host->silent_flows < SUSPECT_FLOWS && host->suspicions == 0))
    return false;
  for (uint32_t i = 0; i < host->suspicions && span_us < SUSPECT_LONGEST_US; i++)
    span_us *= 2;
  host->suspicions++;
  host->suspect_deadline_us = now_us + span_us;
  return true;
}

bool
wc_host_evidence_is_dead (const WcHost *host, uint64_t now_us)
{
  uint64_t silence_us = host->silent_since_us > 0 ? now_us - host->silent_since_us : 0;

  return (host->silent_requests >= DEAD_REQUESTS && silence_us >= DEAD_SILENCE_US) ||
         (host->repeating_requests >= DEAD_FEW_REQUESTS && silence_us >= DEAD_FEW_SILENCE_US);
}

bool
wc_host_evidence_is_general (const WcHostTable *hosts)
{
  size_t silent = 0;
  size_t active = 0;

  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      const WcHost *host = wc_host_table_get (hosts, i);

      if (host->flows == 0)
        continue;
      active++;
      silent += host->silent_flows > 0;
    }
  return silent * 2 > active;
}

void
wc_host_evidence_clear (WcHost *host, uint64_t now_us)
{
  (void)wc_host_evidence_life (host, now_us);
}
