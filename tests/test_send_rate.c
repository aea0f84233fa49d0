#include "test_main.h"

#include "forward/send_rate.h"

enum
{
  MS = 1000,
  START_US = 1000 * MS,
  ANSWER_US = 50 * MS,
  BOUND_MILLI = 80 * 1000
};

static WcSendRate
start (void)
{
  WcSendRate rate;

  wc_send_rate_init (&rate, START_US);
  wc_send_rate_set_bound (&rate, BOUND_MILLI, START_US);
  return rate;
}

/* Uses up the rate from @from_us on. Return: number of openings sent until @to_us. */
static uint32_t
send (WcSendRate *rate, uint64_t from_us, uint64_t to_us)
{
  uint32_t sent = 0;

  for (uint64_t now_us = from_us; now_us < to_us; now_us += MS)
    if (wc_send_rate_allows (rate, now_us))
      {
        wc_send_rate_record_sent (rate, now_us);
        sent++;
      }
  return sent;
}

/* Guards against rates that jump to their bound, or grow without being used: many instances do it at the same time. */
START_TEST (rate_grows_in_steps_while_it_is_used)
{
  WcSendRate rate = start ();
  uint64_t   before = wc_send_rate_get_milli (&rate);

  ck_assert_uint_le (before, BOUND_MILLI / 2);
  ck_assert_uint_le (send (&rate, START_US, START_US + 1000 * MS), before / 1000 + 2);
  wc_send_rate_increase (&rate, ANSWER_US, START_US + 1000 * MS);
  wc_send_rate_increase (&rate, ANSWER_US, START_US + 1000 * MS);
  ck_assert_uint_gt (wc_send_rate_get_milli (&rate), before);
  ck_assert_uint_le (wc_send_rate_get_milli (&rate), before + BOUND_MILLI / 4);
  before = wc_send_rate_get_milli (&rate);
  wc_send_rate_increase (&rate, ANSWER_US, START_US + 3000 * MS);
  ck_assert_uint_eq (wc_send_rate_get_milli (&rate), before);
}
END_TEST

/* Guards against rates that stay up while answers are long, and against one queue that stops all openings. */
START_TEST (rate_falls_at_once_but_not_with_each_answer)
{
  WcSendRate rate = start ();
  uint64_t   before = wc_send_rate_get_milli (&rate);
  uint64_t   after;

  wc_send_rate_decrease (&rate, ANSWER_US, START_US);
  after = wc_send_rate_get_milli (&rate);
  ck_assert_uint_lt (after, before);
  ck_assert_uint_ge (after, before / 2);
  wc_send_rate_decrease (&rate, ANSWER_US, START_US + MS);
  ck_assert_uint_eq (wc_send_rate_get_milli (&rate), after);
  wc_send_rate_set_bound (&rate, 1000, START_US + MS);
  ck_assert_uint_eq (wc_send_rate_get_milli (&rate), 1000);
}
END_TEST

/* Guards against openings that are sent behind a cut, and against a domain that is never tried again. */
START_TEST (stopped_rate_sends_trials)
{
  WcSendRate rate = start ();

  wc_send_rate_stop (&rate, START_US);
  ck_assert_uint_eq (send (&rate, START_US, START_US + 9000 * MS), 0);
  ck_assert_uint_ge (send (&rate, START_US + 9000 * MS, START_US + 21000 * MS), 1);
  wc_send_rate_increase (&rate, ANSWER_US, START_US + 21000 * MS);
  ck_assert_uint_ge (wc_send_rate_get_milli (&rate), BOUND_MILLI / 16);
}
END_TEST

/* Guards against a burst at a rate that was right a minute ago. */
START_TEST (unused_rate_starts_again)
{
  WcSendRate rate = start ();

  for (uint64_t now_us = START_US; now_us < START_US + 5000 * MS; now_us += 200 * MS)
    {
      (void)send (&rate, now_us, now_us + 200 * MS);
      wc_send_rate_increase (&rate, ANSWER_US, now_us + 200 * MS);
    }
  ck_assert_uint_eq (wc_send_rate_get_milli (&rate), BOUND_MILLI);
  ck_assert_uint_le (send (&rate, START_US + 60000 * MS, START_US + 60100 * MS), BOUND_MILLI / 1000 / 10);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, rate_grows_in_steps_while_it_is_used);
  tcase_add_test (tests, rate_falls_at_once_but_not_with_each_answer);
  tcase_add_test (tests, stopped_rate_sends_trials);
  tcase_add_test (tests, unused_rate_starts_again);
}

int
main (void)
{
  return wc_test_run ("send_rate", add_tests);
}
