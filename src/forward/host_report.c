#include "forward/host_report.h"

#include <assert.h>

static uint32_t get_age_ms (uint64_t time_us, uint64_t now_us);
static uint64_t to_time_us (uint32_t age_ms, uint64_t now_us);

WcHostReport
wc_host_report_from_host (const WcHost *host, uint64_t now_us)
{
  assert (host != NULL);

  return (WcHostReport){
    .host = host->record.id,
    .busy = host->busy_flows,
    .life_age_ms = get_age_ms (host->last_seen_us, now_us),
    .silent_requests = host->unanswered.requests,
    .repeating_requests = host->unanswered.retransmitted_twice,
    .silence_age_ms = host->unanswered.requests > 0 ? get_age_ms (host->unanswered.since_us, now_us) : 0,
  };
}

size_t
wc_host_report_from_witnesses (const WcHost *host, uint64_t now_us, WcHostReport reports[WC_HOST_WITNESSES])
{
  size_t count = 0;

  assert (host != NULL && reports != NULL);

  for (int i = 0; i < WC_HOST_WITNESSES; i++)
    {
      const WcHostWitness *witness = &host->witnesses.entries[i];

      if (now_us >= witness->deadline_us || witness->unanswered.requests == 0)
        continue;
      reports[count++] = (WcHostReport){
        .host = host->record.id,
        .reporter = witness->reporter,
        .life_age_ms = UINT32_MAX,
        .silent_requests = witness->unanswered.requests,
        .repeating_requests = witness->unanswered.retransmitted_twice,
        .silence_age_ms = get_age_ms (witness->unanswered.since_us, now_us),
      };
    }
  return count;
}

WcUnansweredRequests
wc_host_report_get_unanswered (const WcHostReport *report, uint64_t now_us)
{
  return (WcUnansweredRequests){
    .requests = report->silent_requests,
    .retransmitted_twice = report->repeating_requests,
    .since_us = report->silent_requests > 0 ? to_time_us (report->silence_age_ms, now_us) : 0,
  };
}

uint64_t
wc_host_report_get_last_seen_us (const WcHostReport *report, uint64_t now_us)
{
  return report->life_age_ms < UINT32_MAX ? to_time_us (report->life_age_ms, now_us) : 0;
}

/* local functions */

static uint32_t
get_age_ms (uint64_t time_us, uint64_t now_us)
{
  uint64_t age = time_us > 0 && time_us <= now_us ? (now_us - time_us) / 1000 : UINT32_MAX;

  return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

/* A time before the start of the monotonic clock is represented by its first microsecond. */
static uint64_t
to_time_us (uint32_t age_ms, uint64_t now_us)
{
  uint64_t age_us = (uint64_t)age_ms * 1000;

  return age_us < now_us ? now_us - age_us : 1;
}
