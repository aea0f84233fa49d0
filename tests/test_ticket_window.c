#include "core/ticket_window.h"

#include "test_main.h"

enum
{
  LIFETIME_US = 10 * 1000 * 1000
};

/* Guards against issuing more tickets than the ledger can store, so that a used ticket could not be recorded. */
START_TEST (test_issue_limit)
{
  WcTicketWindow window;

  wc_ticket_window_init (&window, LIFETIME_US, 3);
  for (int i = 0; i < 3; i++)
    ck_assert (wc_ticket_window_issue (&window, 1000));
  ck_assert (!wc_ticket_window_issue (&window, 1000));
  ck_assert (!wc_ticket_window_issue (&window, 1000 + LIFETIME_US - 1));
  ck_assert (wc_ticket_window_issue (&window, 1000 + LIFETIME_US));
}
END_TEST

/* Guards against miscounting tickets because a bucket is reused before all its tickets have expired. */
START_TEST (test_bucket_reuse)
{
  enum
  {
    STEP_US = LIFETIME_US / 100,
    STEPS = 1000
  };
  static bool    issued[STEPS];
  WcTicketWindow window;

  wc_ticket_window_init (&window, LIFETIME_US, 20);
  for (int step = 0; step < STEPS; step++)
    {
      int live = 0;

      issued[step] = wc_ticket_window_issue (&window, (uint64_t)step * STEP_US);
      for (int i = step; i >= 0 && i > step - LIFETIME_US / STEP_US; i--)
        live += issued[i];
      ck_assert_int_le (live, 20);
      if (issued[step])
        ck_assert_uint_eq (window.last_expiry_us, (uint64_t)step * STEP_US + LIFETIME_US);
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_issue_limit);
  tcase_add_test (tests, test_bucket_reuse);
}

int
main (void)
{
  return wc_test_run ("ticket_window", add_tests);
}
