#include "forward/class_load.h"

#include <assert.h>

#include <glib.h>

enum
{
  /* An instance sees a few openings of a class in a second. */
  RATE_SPAN_US = 1000 * 1000,
  /* Spans from which the requests per flow are estimated; the order of the duration of a flow. */
  FLOW_SPAN_US = 8 * 1000 * 1000,
  /* Fewer openings in a span say little. */
  FLOW_OPENINGS_MIN = 8,
  /* Time for which capacity stays reserved after an urgent opening had to wait: the span of the rates. */
  WAITED_LIFETIME_US = RATE_SPAN_US
};

static bool is_match (const WcClassLoad *load, uint32_t service, uint8_t priority);
static bool is_more_urgent (const WcClassLoad *load, uint32_t service, uint32_t end);

WcClassLoad *
wc_class_loads_get (WcClassLoads *loads, uint32_t service, uint8_t priority, uint64_t now_us)
{
  WcClassLoad *load;

  assert (loads != NULL && service != 0);

  load = &loads->entries[0];
  for (size_t i = 0; i < WC_CLASS_LOADS && !is_match (load, service, priority); i++)
    if (is_match (&loads->entries[i], service, priority) || loads->entries[i].used_us < load->used_us)
      load = &loads->entries[i];
  if (!is_match (load, service, priority))
    *load = (WcClassLoad){ .service = service, .priority = priority };
  load->used_us = now_us;
  return load;
}

const WcClassLoad *
wc_class_loads_find (const WcClassLoads *loads, uint32_t service, uint8_t priority)
{
  assert (loads != NULL);

  for (size_t i = 0; i < WC_CLASS_LOADS; i++)
    if (is_match (&loads->entries[i], service, priority))
      return &loads->entries[i];
  return NULL;
}

void
wc_class_load_record_arrival (WcClassLoad *load, uint64_t now_us)
{
  wc_sliding_count_record (&load->arrivals, RATE_SPAN_US, now_us);
}

void
wc_class_load_record_opening (WcClassLoad *load, bool is_own_domain, uint64_t now_us)
{
  wc_sliding_count_record (&load->forwards, RATE_SPAN_US, now_us);
  if (!is_own_domain)
    return;
  wc_sliding_count_record (&load->openings, RATE_SPAN_US, now_us);
  wc_sliding_count_record (&load->flow_openings, FLOW_SPAN_US, now_us);
}

void
wc_class_load_record_request (WcClassLoad *load, uint64_t now_us)
{
  wc_sliding_count_record (&load->requests, RATE_SPAN_US, now_us);
  wc_sliding_count_record (&load->flow_requests, FLOW_SPAN_US, now_us);
}

void
wc_class_load_record_answer (WcClassLoad *load, uint64_t now_us)
{
  wc_sliding_count_record (&load->answers, RATE_SPAN_US, now_us);
}

uint64_t
wc_class_load_get_requests_per_flow (const WcClassLoad *load, uint64_t now_us)
{
  uint64_t openings = wc_sliding_count_get_previous (&load->flow_openings, FLOW_SPAN_US, now_us);
  uint64_t requests = wc_sliding_count_get_previous (&load->flow_requests, FLOW_SPAN_US, now_us);

  /* In a burst the openings rise at once and the further requests on their flows seconds later. */
  if (openings < FLOW_OPENINGS_MIN)
    {
      openings = wc_sliding_count_get (&load->flow_openings, FLOW_SPAN_US, now_us);
      requests = wc_sliding_count_get (&load->flow_requests, FLOW_SPAN_US, now_us);
    }
  return openings > 0 ? MAX ((requests + openings / 2) / openings, 1) : 1;
}

uint64_t
wc_class_load_get_openings_per_s (const WcClassLoad *load, uint64_t now_us)
{
  return wc_sliding_count_get (&load->openings, RATE_SPAN_US, now_us);
}

uint64_t
wc_class_load_get_usage_per_s (const WcClassLoad *load, uint64_t now_us)
{
  return MAX (wc_sliding_count_get (&load->openings, RATE_SPAN_US, now_us) *
                  wc_class_load_get_requests_per_flow (load, now_us),
              wc_sliding_count_get (&load->requests, RATE_SPAN_US, now_us));
}

bool
wc_class_loads_has_waited (const WcClassLoads *loads, uint32_t service, uint32_t end, uint64_t now_us)
{
  assert (loads != NULL);

  for (size_t i = 0; i < WC_CLASS_LOADS; i++)
    if (is_more_urgent (&loads->entries[i], service, end) && loads->entries[i].waited_us > 0 &&
        now_us - loads->entries[i].waited_us < WAITED_LIFETIME_US)
      return true;
  return false;
}

uint64_t
wc_class_loads_get_urgent_per_s (const WcClassLoads *loads, uint32_t service, uint8_t priority, uint64_t now_us)
{
  uint64_t per_s = 0;

  assert (loads != NULL);

  for (size_t i = 0; i < WC_CLASS_LOADS; i++)
    {
      const WcClassLoad *load = &loads->entries[i];

      if (is_more_urgent (load, service, priority))
        per_s += MAX (wc_sliding_count_get (&load->arrivals, RATE_SPAN_US, now_us) *
                          wc_class_load_get_requests_per_flow (load, now_us),
                      wc_sliding_count_get (&load->requests, RATE_SPAN_US, now_us));
    }
  return per_s;
}

uint64_t
wc_class_loads_get_forwards_per_s (const WcClassLoads *loads, uint32_t service, uint64_t now_us)
{
  uint64_t per_s = 0;

  assert (loads != NULL);

  for (size_t i = 0; i < WC_CLASS_LOADS; i++)
    if (loads->entries[i].service == service)
      per_s += MAX (wc_sliding_count_get (&loads->entries[i].forwards, RATE_SPAN_US, now_us) *
                        wc_class_load_get_requests_per_flow (&loads->entries[i], now_us),
                    wc_sliding_count_get (&loads->entries[i].requests, RATE_SPAN_US, now_us));
  return per_s;
}

uint64_t
wc_class_loads_get_answers_per_s (const WcClassLoads *loads, uint32_t service, uint64_t now_us)
{
  uint64_t per_s = 0;

  assert (loads != NULL);

  for (size_t i = 0; i < WC_CLASS_LOADS; i++)
    if (loads->entries[i].service == service)
      per_s += wc_sliding_count_get (&loads->entries[i].answers, RATE_SPAN_US, now_us);
  return per_s;
}

uint64_t
wc_class_loads_get_open_flows_per_s (const WcClassLoads *loads, uint32_t service, uint64_t now_us)
{
  uint64_t per_s = 0;

  assert (loads != NULL);

  for (size_t i = 0; i < WC_CLASS_LOADS; i++)
    if (loads->entries[i].service == service)
      {
        uint64_t per_flow = wc_class_load_get_requests_per_flow (&loads->entries[i], now_us);

        per_s += wc_sliding_count_get (&loads->entries[i].answers, RATE_SPAN_US, now_us) * (per_flow - 1) / per_flow;
      }
  return per_s;
}

/* local functions */

static bool
is_match (const WcClassLoad *load, uint32_t service, uint8_t priority)
{
  return load->service == service && load->priority == priority;
}

static bool
is_more_urgent (const WcClassLoad *load, uint32_t service, uint32_t end)
{
  return load->service == service && load->priority < end;
}
