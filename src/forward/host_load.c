#include "forward/host_load.h"

#include <assert.h>
#include <stddef.h>

enum
{
  /* Reports come twice a second, more often under load; one or two may be lost. */
  REPORT_LIFETIME_US = 1200 * 1000,
  /* Weight of a new service time is 1 in 8: the mean follows a host that turns slow within some ten requests. */
  SERVICE_TIME_SHARE = 8,
  /* A single long request must not make a host look slow. */
  SERVICE_TIME_STEP = 4
};

void
wc_host_load_add_report (WcHostLoad *load, uint64_t reporter, uint32_t busy, uint64_t now_us)
{
  WcHostLoadReport *place = &load->reports[0];

  assert (load != NULL);

  for (int i = 0; i < WC_HOST_LOAD_REPORTERS; i++)
    {
      WcHostLoadReport *report = &load->reports[i];

      if (report->reporter == reporter)
        {
          place = report;
          break;
        }
      if (report->deadline_us < place->deadline_us)
        place = report;
    }
  *place = (WcHostLoadReport){ reporter, busy, now_us + REPORT_LIFETIME_US };
}

void
wc_host_load_record_answer (WcHostLoad *load, uint64_t time_us)
{
  uint64_t mean_us = load->service_time_us;

  if (mean_us == 0)
    load->service_time_us = time_us;
  else
    {
      uint64_t sample_us = time_us < mean_us * SERVICE_TIME_STEP ? time_us : mean_us * SERVICE_TIME_STEP;

      load->service_time_us = mean_us - mean_us / SERVICE_TIME_SHARE + sample_us / SERVICE_TIME_SHARE;
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
