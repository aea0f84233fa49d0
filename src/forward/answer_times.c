#include "forward/answer_times.h"

#include <assert.h>
#include <stddef.h>

enum
{
  /* Weights of a new sample, 1 in this many, in the latest means and in the long one. */
  MEAN_DIVISOR = 8,
  LONG_MEAN_DIVISOR = 32,
  /* The base is raised by 1 in this many of its distance to the long mean per answer. */
  BASE_RISE_DIVISOR = 64,
  /* Number of answers before the mean is used: the run times of single requests differ by half of their mean. */
  SAMPLES_MIN = 8,
  /* Without an answer for this long, the mean says nothing about the present. */
  ANSWER_LIFETIME_US = 1000 * 1000
};

static void update_mean (uint64_t *mean_us, uint64_t sample_us, uint64_t divisor);

void
wc_answer_times_record_opened (WcAnswerTimes *times, uint64_t duration_us)
{
  assert (times != NULL);

  update_mean (&times->handshake_us, duration_us, MEAN_DIVISOR);
}

void
wc_answer_times_record_answer (WcAnswerTimes *times, uint64_t duration_us, uint64_t now_us)
{
  assert (times != NULL);

  update_mean (&times->answer_us, duration_us, MEAN_DIVISOR);
  update_mean (&times->long_us, duration_us, LONG_MEAN_DIVISOR);
  times->answered_us = now_us;
  if (times->samples < SAMPLES_MIN && ++times->samples < SAMPLES_MIN)
    return;
  if (times->base_us == 0 || times->long_us < times->base_us)
    times->base_us = times->long_us;
  else
    times->base_us += (times->long_us - times->base_us) / BASE_RISE_DIVISOR;
}

bool
wc_answer_times_is_recent (const WcAnswerTimes *times, uint64_t now_us)
{
  assert (times != NULL);

  return times->samples == SAMPLES_MIN && now_us < times->answered_us + ANSWER_LIFETIME_US;
}

/* local functions */

static void
update_mean (uint64_t *mean_us, uint64_t sample_us, uint64_t divisor)
{
  *mean_us = *mean_us == 0 ? sample_us : *mean_us - *mean_us / divisor + sample_us / divisor;
}
