#include "forward/service_load.h"

#include <assert.h>

#include <glib.h>

enum
{
  /* Assumed answer time before enough answers are known; a typical request runs for 5 to 30 ms. */
  BASE_DEFAULT_US = 20 * 1000,
  /* Number of answers from which the mean is used. */
  BASE_SAMPLES_MIN = 8,
  /* A new sample has weight 1 in 8. */
  MEAN_DIVISOR = 8,
  /* Without an opening that had to wait for this long, the hosts have room again. */
  LIMITED_LIFETIME_US = 50 * 1000,
  /* Time after that until the hosts' queues are empty. */
  SETTLE_US = 300 * 1000,
  /* Openings that have to wait for less do not show how many can be forwarded; the window of the rate. */
  DRAIN_MIN_US = WC_RATE_WINDOW_BUCKETS * WC_RATE_WINDOW_BUCKET_US,
  /* Answer times, in percent of those without a queue, above which a share is reduced and below which it grows. */
  LONG_PERCENT = 250,
  SHORT_PERCENT = 150,
  /* Answer times in percent of the latency target above which a share is reduced. */
  LONG_TARGET_PERCENT = 60,
  ADJUST_INTERVAL_MIN_US = 20 * 1000,
  SHARE_STEP_PERCENT = 5,
  SHARE_EQUAL_PERCENT = 100,
  /* Other instances may start at the same time and are not known yet. */
  SHARE_INITIAL_PERCENT = 60,
  SHARE_MIN_PERCENT = 30,
  SHARE_MAX_PERCENT = 1000,
  /* Hosts of other domains are used little until their answer times are known. */
  OTHER_SHARE_INITIAL_PERCENT = 10,
  OTHER_SHARE_MIN_PERCENT = 1
};

static bool     is_match (const WcServiceLoad *load, uint32_t service, bool is_own_domain);
static bool     is_limited (const WcServiceLoad *load, uint64_t now_us);
static void     update_mean (uint64_t *mean_us, uint64_t sample_us);
static uint32_t adjust_own_share (const WcServiceLoad *load, uint64_t target_us, bool is_limited_now);
static uint32_t adjust_other_share (const WcServiceLoad *load, uint64_t base_us);

WcServiceLoad *
wc_service_loads_get (WcServiceLoads *loads, uint32_t service, bool is_own_domain, uint64_t now_us)
{
  WcServiceLoad *load;

  assert (loads != NULL && service != 0);

  load = &loads->entries[0];
  for (int i = 0; i < WC_SERVICE_LOADS && !is_match (load, service, is_own_domain); i++)
    if (is_match (&loads->entries[i], service, is_own_domain) || loads->entries[i].used_us < load->used_us)
      load = &loads->entries[i];
  if (!is_match (load, service, is_own_domain))
    *load = (WcServiceLoad){
      .service = service,
      .is_own_domain = is_own_domain,
      .share_percent = is_own_domain ? SHARE_INITIAL_PERCENT : OTHER_SHARE_INITIAL_PERCENT,
    };
  load->used_us = now_us;
  return load;
}

void
wc_service_load_record_limited (WcServiceLoad *load, uint64_t now_us)
{
  assert (load != NULL);

  if (!is_limited (load, now_us))
    load->limited_since_us = now_us;
  load->limited_us = now_us;
}

void
wc_service_load_record_answer (WcServiceLoad *load, uint64_t duration_us, uint64_t target_us, uint64_t now_us)
{
  assert (load != NULL && load->is_own_domain);

  update_mean (&load->answer_us, duration_us);
  if (load->limited_us == 0 || now_us - load->limited_us >= SETTLE_US)
    {
      update_mean (&load->base_us, duration_us);
      load->base_samples += load->base_samples < BASE_SAMPLES_MIN;
    }
  if (now_us < load->adjust_deadline_us)
    return;
  load->adjust_deadline_us = now_us + MAX (load->answer_us / 2, ADJUST_INTERVAL_MIN_US);
  load->share_percent = adjust_own_share (load, target_us, is_limited (load, now_us));
}

void
wc_service_load_record_other_answer (WcServiceLoad *load, const WcServiceLoad *own, uint64_t duration_us,
                                     uint64_t now_us)
{
  assert (load != NULL && !load->is_own_domain);
  assert (own != NULL && own->is_own_domain);

  update_mean (&load->answer_us, duration_us);
  if (now_us < load->adjust_deadline_us)
    return;
  load->adjust_deadline_us = now_us + MAX (load->answer_us / 2, ADJUST_INTERVAL_MIN_US);
  load->share_percent = adjust_other_share (load, wc_service_load_get_base_us (own));
}

uint64_t
wc_service_load_get_base_us (const WcServiceLoad *load)
{
  assert (load != NULL);

  return load->base_samples == BASE_SAMPLES_MIN ? load->base_us : BASE_DEFAULT_US;
}

uint64_t
wc_service_load_get_drain_per_s (const WcServiceLoad *load, uint64_t now_us)
{
  assert (load != NULL);

  if (!is_limited (load, now_us) || now_us - load->limited_since_us < DRAIN_MIN_US)
    return 0;
  return wc_rate_window_get_per_s (&load->forwards, now_us);
}

/* local functions */

static bool
is_match (const WcServiceLoad *load, uint32_t service, bool is_own_domain)
{
  return load->service == service && load->is_own_domain == is_own_domain;
}

static bool
is_limited (const WcServiceLoad *load, uint64_t now_us)
{
  return load->limited_us > 0 && now_us - load->limited_us < LIMITED_LIFETIME_US;
}

static void
update_mean (uint64_t *mean_us, uint64_t sample_us)
{
  *mean_us = *mean_us == 0 ? sample_us : *mean_us - *mean_us / MEAN_DIVISOR + sample_us / MEAN_DIVISOR;
}

/* While openings have to wait, the share follows the answer times; otherwise it returns to the equal share. */
static uint32_t
adjust_own_share (const WcServiceLoad *load, uint64_t target_us, bool is_limited_now)
{
  uint64_t base_us = wc_service_load_get_base_us (load);
  uint64_t long_us = target_us > 0 ? target_us * LONG_TARGET_PERCENT / 100 : UINT64_MAX;
  uint32_t share_percent = load->share_percent;

  if (load->base_samples == BASE_SAMPLES_MIN)
    long_us = MIN (long_us, base_us * LONG_PERCENT / 100);
  if (is_limited_now && load->answer_us > long_us)
    share_percent = share_percent * 9 / 10;
  else if (share_percent < SHARE_EQUAL_PERCENT || (is_limited_now && load->answer_us * 100 < base_us * SHORT_PERCENT))
    share_percent += SHARE_STEP_PERCENT;
  else if (!is_limited_now && share_percent > SHARE_EQUAL_PERCENT)
    share_percent--;
  return CLAMP (share_percent, SHARE_MIN_PERCENT, SHARE_MAX_PERCENT);
}

static uint32_t
adjust_other_share (const WcServiceLoad *load, uint64_t base_us)
{
  uint32_t share_percent = load->share_percent;

  if (load->answer_us * 100 > base_us * SHORT_PERCENT)
    share_percent = share_percent * 3 / 4;
  else
    share_percent += SHARE_STEP_PERCENT;
  return CLAMP (share_percent, OTHER_SHARE_MIN_PERCENT, SHARE_EQUAL_PERCENT);
}
