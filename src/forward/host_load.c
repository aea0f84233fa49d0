#include "forward/host_load.h"

#include <assert.h>
#include <stddef.h>

enum
{
  /* Reports arrive twice a second, more often under load; one or two may be lost. */
  REPORT_LIFETIME_US = 1200 * 1000,
  /*
   * A new service time has weight 1 in 8, so that the mean follows a host that becomes slow within about ten requests.
   */
  SERVICE_TIME_DIVISOR = 8,
  /* Limits a sample to a multiple of the mean, so that a single long request does not make a host look slow. */
  SAMPLE_MAX_RATIO = 4
};

void
wc_host_load_add_report (WcHostLoad *load, uint64_t reporter, uint32_t busy, uint64_t now_us)
{
  WcHostLoadReport *slot = &load->reports[0];

  assert (load != NULL);

  for (int i = 0; i < WC_HOST_LOAD_REPORTERS; i++)
    {
      WcHostLoadReport *report = &load->reports[i];

      if (report->reporter == reporter)
        {
          slot = report;
          break;
        }
      if (report->deadline_us < slot->deadline_us)
        slot = report;
    }
  *slot = (WcHostLoadReport){ reporter, busy, now_us + REPORT_LIFETIME_US };
}

void
wc_host_load_record_answer (WcHostLoad *load, uint64_t duration_us, uint64_t now_us)
{
  uint64_t mean_us = load->service_time_us;

  load->answered_us = now_us;
  if (mean_us == 0)
    load->service_time_us = duration_us;
  else
    {
      uint64_t sample_us = duration_us < mean_us * SAMPLE_MAX_RATIO ? duration_us : mean_us * SAMPLE_MAX_RATIO;

      load->service_time_us = mean_us - mean_us / SERVICE_TIME_DIVISOR + sample_us / SERVICE_TIME_DIVISOR;
    }
}

uint32_t
wc_host_load_estimate (const WcHostLoad *load, uint32_t own_busy, uint32_t peers, uint64_t now_us)
{
  uint32_t sum = own_busy;
  uint32_t reporters = 0;

  assert (load != NULL);

  for (int i = 0; i < WC_HOST_LOAD_REPORTERS; i++)
    if (now_us < load->reports[i].deadline_us)
      {
        sum += load->reports[i].busy;
        reporters++;
      }
  return reporters < peers ? sum + (peers - reporters) * own_busy : sum;
}
