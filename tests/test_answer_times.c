#include "test_main.h"

#include "forward/answer_times.h"

enum
{
  MS = 1000,
  SECOND_US = 1000 * MS,
  SHORT_US = 30 * MS,
  LONG_US = 150 * MS
};

static void
record (WcAnswerTimes *times, uint32_t count, uint64_t duration_us, uint64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    wc_answer_times_record_answer (times, duration_us, now_us);
}

/* Guards against queues that are taken for the run time of hosts, and against decisions on one answer or on old ones.
 */
START_TEST (base_stays_while_answers_get_long)
{
  WcAnswerTimes times = { 0 };

  record (&times, 1, LONG_US, SECOND_US);
  ck_assert (!wc_answer_times_is_recent (&times, SECOND_US));
  ck_assert_uint_eq (times.base_us, 0);
  record (&times, 200, SHORT_US, SECOND_US);
  ck_assert (wc_answer_times_is_recent (&times, SECOND_US));
  ck_assert_uint_le (times.base_us, SHORT_US * 11 / 10);
  record (&times, 16, LONG_US, SECOND_US);
  ck_assert_uint_ge (times.answer_us, LONG_US / 2);
  ck_assert_uint_le (times.base_us, SHORT_US * 3 / 2);
  record (&times, 1000, LONG_US, SECOND_US);
  ck_assert_uint_ge (times.base_us, LONG_US * 9 / 10);
  ck_assert (!wc_answer_times_is_recent (&times, SECOND_US + 1100 * MS));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, base_stays_while_answers_get_long);
}

int
main (void)
{
  return wc_test_run ("answer_times", add_tests);
}
