#include "core/ticket_window.h"

#include "test_main.h"

enum
{
  LIFE_US = 10 * 1000 * 1000
};

/* Guards against issuing more tickets than the ledger can store, so that a used ticket could not be recorded. */
START_TEST (test_no_more_tickets_than_places)
{
  WcTicketWindow window;

  wc_ticket_window_init (&window, LIFE_US, 3);
  for (int i = 0; i < 3; i++)
    ck_assert (wc_ticket_window_issue (&window, 1000));
  ck_assert (!wc_ticket_window_issue (&window, 1000));
  ck_assert (!wc_ticket_window_issue (&window, 1000 + LIFE_US - 1));
  ck_assert (wc_ticket_window_issue (&window, 1000 + LIFE_US));
}
END_TEST

/* Guards against miscounting tickets because a bucket is reused before all its tickets have expired. */
START_TEST (test_live_tickets_never_exceed_the_limit)
{
  enum
  {
    STEP_US = LIFE_US / 100,
    STEPS = 1000
  };
  static bool    issued[STEPS];
  WcTicketWindow window;

  wc_ticket_window_init (&window, LIFE_US, 20);
  for (int step = 0; step < STEPS; step++)
    {
      int live = 0;

      issued[step] = wc_ticket_window_issue (&window, (uint64_t)step * STEP_US);
      for (int i = step; i >= 0 && i > step - LIFE_US / STEP_US; i--)
        live += issued[i];
      ck_assert_int_le (live, 20);
      if (issued[step])
        ck_assert_uint_eq (window.last_expiry_us, (uint64_t)step * STEP_US + LIFE_US);
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_no_more_tickets_than_places);
  tcase_add_test (tests, test_live_tickets_never_exceed_the_limit);
}

int
main (void)
{
  return wc_test_run ("ticket_window", add_tests);
}
