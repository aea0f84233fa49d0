#include "forward/send_rate.h"

#include <assert.h>

#include <glib.h>

enum
{
  /* The rate starts at, and increases by, these parts of its upper bound. */
  START_DIVISOR = 4,
  STEP_DIVISOR = 8,
  /* One opening in ten seconds, which shows whether a domain has recovered. */
  RATE_MIN_MILLI = 100,
  INCREASE_INTERVAL_MIN_US = 100 * 1000,
  DECREASE_INTERVAL_MIN_US = 20 * 1000,
  /* A rate that was not used for this long is no longer known to be right. */
  UNUSED_MAX_US = 5 * 1000 * 1000,
  /* Unused openings may be sent later for this long. */
  BURST_MS = 50,
  MILLI = 1000,
  TOKEN = 1000 * 1000
};

static uint64_t get_tokens (const WcSendRate *rate, uint64_t now_us);
static void     set_rate (WcSendRate *rate, uint64_t rate_milli, uint64_t now_us);

void
wc_send_rate_init (WcSendRate *rate, uint64_t now_us)
{
  assert (rate != NULL);

  *rate = (WcSendRate){ .tokens = TOKEN, .tokens_us = now_us };
}

void
wc_send_rate_set_bound (WcSendRate *rate, uint64_t bound_milli, uint64_t now_us)
{
  uint64_t start_milli;

  assert (rate != NULL);

  start_milli = rate->has_bound ? rate->rate_milli : bound_milli / START_DIVISOR;
  rate->has_bound = true;
  rate->bound_milli = bound_milli;
  set_rate (rate, start_milli, now_us);
}

void
wc_send_rate_record_sent (WcSendRate *rate, uint64_t now_us)
{
  uint64_t tokens;

  assert (rate != NULL);

  if (rate->sent_us > 0 && now_us > rate->sent_us + UNUSED_MAX_US)
    set_rate (rate, MIN (rate->rate_milli, rate->bound_milli / START_DIVISOR), now_us);
  tokens = get_tokens (rate, now_us);
  rate->tokens = tokens > TOKEN ? tokens - TOKEN : 0;
  rate->tokens_us = now_us;
  rate->sent_us = now_us;
  rate->is_limited = rate->is_limited || rate->tokens < TOKEN;
}

void
wc_send_rate_increase (WcSendRate *rate, uint64_t answer_us, uint64_t now_us)
{
  assert (rate != NULL);

  if (!rate->is_limited || now_us < rate->increase_deadline_us)
    return;
  rate->is_limited = false;
  rate->increase_deadline_us = now_us + MAX (answer_us, INCREASE_INTERVAL_MIN_US);
  set_rate (rate, rate->rate_milli + MAX (rate->bound_milli / STEP_DIVISOR, RATE_MIN_MILLI), now_us);
}

/* The answers of one queue arrive together and count once. */
void
wc_send_rate_decrease (WcSendRate *rate, uint64_t answer_us, uint64_t now_us)
{
  assert (rate != NULL);

  if (now_us < rate->decrease_deadline_us)
    return;
  rate->decrease_deadline_us = now_us + MAX (answer_us / 2, DECREASE_INTERVAL_MIN_US);
  rate->increase_deadline_us = now_us + MAX (answer_us, INCREASE_INTERVAL_MIN_US);
  set_rate (rate, rate->rate_milli * 3 / 4, now_us);
}

void
wc_send_rate_stop (WcSendRate *rate, uint64_t now_us)
{
  assert (rate != NULL);

  set_rate (rate, 0, now_us);
  rate->tokens = 0;
}

uint64_t
wc_send_rate_get_milli (const WcSendRate *rate)
{
  assert (rate != NULL);

  return MAX (rate->rate_milli, RATE_MIN_MILLI);
}

bool
wc_send_rate_allows (const WcSendRate *rate, uint64_t now_us)
{
  assert (rate != NULL);

  return get_tokens (rate, now_us) >= TOKEN;
}

/* local functions */

static uint64_t
get_tokens (const WcSendRate *rate, uint64_t now_us)
{
  uint64_t rate_milli = wc_send_rate_get_milli (rate);
  uint64_t elapsed_us = now_us > rate->tokens_us ? now_us - rate->tokens_us : 0;

  return MIN (rate->tokens + rate_milli * elapsed_us / MILLI, MAX (TOKEN, rate_milli * BURST_MS));
}

static void
set_rate (WcSendRate *rate, uint64_t rate_milli, uint64_t now_us)
{
  rate->tokens = get_tokens (rate, now_us);
  rate->tokens_us = MAX (rate->tokens_us, now_us);
  rate->rate_milli = MIN (rate_milli, rate->bound_milli);
}
