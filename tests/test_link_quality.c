#include "test_main.h"

#include "forward/link_quality.h"

enum
{
  MS = 1000
};

/* Guards against an instance that never again resets flows of dead hosts after its link has lost packets. */
START_TEST (lossy_state_lasts_3_s)
{
  WcLinkQuality link = { 0 };

  ck_assert (!wc_link_quality_is_lossy (&link, 100 * MS));
  ck_assert (wc_link_quality_record_unanswered (&link, 100 * MS));
  ck_assert (wc_link_quality_is_lossy (&link, 3099 * MS));
  ck_assert (!wc_link_quality_is_lossy (&link, 3100 * MS));
}
END_TEST

/* Guards against a log line for each lost opening: only the change of state is reported. */
START_TEST (further_loss_extends_lossy_state)
{
  WcLinkQuality link = { 0 };

  ck_assert (wc_link_quality_record_unanswered (&link, 100 * MS));
  ck_assert (!wc_link_quality_record_unanswered (&link, 2000 * MS));
  ck_assert (wc_link_quality_is_lossy (&link, 4999 * MS));
  ck_assert (wc_link_quality_record_unanswered (&link, 5000 * MS));
}
END_TEST

/*
 * A link starts to lose packets. Guards against evidence of an instance that had two requests answered only after a
 * retransmission.
 */
START_TEST (retransmitted_requests_indicate_loss)
{
  WcLinkQuality link = { 0 };

  for (int i = 0; i < 20; i++)
    ck_assert (!wc_link_quality_record_answered (&link, false, 1000 * MS));
  ck_assert (!wc_link_quality_record_answered (&link, true, 1010 * MS));
  ck_assert (wc_link_quality_record_answered (&link, true, 1020 * MS));
  ck_assert (!wc_link_quality_record_answered (&link, true, 1030 * MS));
  ck_assert (wc_link_quality_is_lossy (&link, 1040 * MS));
  ck_assert (!wc_link_quality_is_lossy (&link, 9000 * MS));
}
END_TEST

/* Guards against a busy instance whose link always counts as lossy, because every link loses single packets. */
START_TEST (normal_loss_is_ignored)
{
  WcLinkQuality link = { 0 };

  for (uint64_t i = 0; i < 20000; i++)
    ck_assert (!wc_link_quality_record_answered (&link, i % 100 == 0, (1000 + 2 * i) * MS));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, lossy_state_lasts_3_s);
  tcase_add_test (tests, further_loss_extends_lossy_state);
  tcase_add_test (tests, retransmitted_requests_indicate_loss);
  tcase_add_test (tests, normal_loss_is_ignored);
}

int
main (void)
{
  return wc_test_run ("link_quality", add_tests);
}
