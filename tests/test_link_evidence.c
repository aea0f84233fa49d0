#include "test_main.h"

#include "forward/link_evidence.h"

enum
{
  MS = 1000
};

/* Guards against an instance that never ends flows of dead hosts again once its link has lost packets. */
START_TEST (loss_is_believed_for_3_s)
{
  WcLinkEvidence link = { 0 };

  ck_assert (!wc_link_evidence_is_lossy (&link, 100 * MS));
  ck_assert (wc_link_evidence_unanswered (&link, 100 * MS));
  ck_assert (wc_link_evidence_is_lossy (&link, 3099 * MS));
  ck_assert (!wc_link_evidence_is_lossy (&link, 3100 * MS));
}
END_TEST

/* Guards against a log line for each opening that is lost: only the first one is news. */
START_TEST (more_losses_extend_the_time)
{
  WcLinkEvidence link = { 0 };

  ck_assert (wc_link_evidence_unanswered (&link, 100 * MS));
  ck_assert (!wc_link_evidence_unanswered (&link, 2000 * MS));
  ck_assert (wc_link_evidence_is_lossy (&link, 4999 * MS));
  ck_assert (wc_link_evidence_unanswered (&link, 5000 * MS));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, loss_is_believed_for_3_s);
  tcase_add_test (tests, more_losses_extend_the_time);
}

int
main (void)
{
  return wc_test_run ("link_evidence", add_tests);
}
