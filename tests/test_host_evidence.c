#include "test_main.h"

#include "forward/host_evidence.h"

enum
{
  MS = 1000
};

/* Guards against a host that is given up because of one lost packet. */
START_TEST (one_flow_is_no_suspicion)
{
  WcHost host = { 0 };
  WcFlow flow = { 0 };

  for (uint64_t now_us = 300 * MS; now_us < 5000 * MS; now_us += 200 * MS)
    ck_assert (!wc_host_evidence_silence (&host, &flow, 100 * MS, true, now_us));
  ck_assert (!wc_host_evidence_is_dead (&host, 5000 * MS));
}
END_TEST

/* Guards against flows that are counted twice. */
START_TEST (two_flows_are_a_suspicion)
{
  WcHost host = { 0 };
  WcFlow first = { 0 };
  WcFlow second = { 0 };

  ck_assert (!wc_host_evidence_silence (&host, &first, 100 * MS, true, 300 * MS));
  ck_assert (!wc_host_evidence_silence (&host, &first, 100 * MS, true, 310 * MS));
  ck_assert (wc_host_evidence_silence (&host, &second, 120 * MS, true, 320 * MS));
  ck_assert_uint_gt (host.suspect_deadline_us, 320 * MS);
  ck_assert (wc_host_evidence_life (&host, 400 * MS));
  ck_assert_uint_eq (host.suspect_deadline_us, 0);
}
END_TEST

/* Guards against a verdict from packets that were sent before the host's last sign of life. */
START_TEST (silence_before_life_does_not_count)
{
  WcHost host = { 0 };
  WcFlow flows[4] = { 0 };

  wc_host_evidence_life (&host, 500 * MS);
  for (int i = 0; i < 4; i++)
    ck_assert (!wc_host_evidence_silence (&host, &flows[i], 400 * MS, true, 900 * MS));
  ck_assert (!wc_host_evidence_is_dead (&host, 2000 * MS));
}
END_TEST

/* Guards against the resets of live hosts that openings caused: their callers may have chosen another host. */
START_TEST (openings_are_no_verdict)
{
  WcHost host = { 0 };
  WcFlow flows[10] = { 0 };

  for (int i = 0; i < 10; i++)
    wc_host_evidence_silence (&host, &flows[i], 100 * MS, false, 300 * MS);
  ck_assert_uint_gt (host.suspect_deadline_us, 0);
  ck_assert (!wc_host_evidence_is_dead (&host, 5000 * MS));
}
END_TEST

/* Guards against a verdict that comes at once, or never. */
START_TEST (three_requests_are_a_verdict_after_300_ms)
{
  WcHost host = { 0 };
  WcFlow flows[3] = { 0 };

  for (int i = 0; i < 3; i++)
    wc_host_evidence_silence (&host, &flows[i], 100 * MS, true, 310 * MS);
  ck_assert (!wc_host_evidence_is_dead (&host, 390 * MS));
  ck_assert (wc_host_evidence_is_dead (&host, 400 * MS));
}
END_TEST

/* Guards against two flows that have moved elsewhere; two that go on repeating are a verdict. */
START_TEST (two_requests_must_go_on_repeating)
{
  WcHost host = { 0 };
  WcFlow flows[2] = { 0 };

  for (int i = 0; i < 2; i++)
    wc_host_evidence_silence (&host, &flows[i], 100 * MS, true, 300 * MS);
  ck_assert (!wc_host_evidence_is_dead (&host, 3000 * MS));
  for (int i = 0; i < 2; i++)
    wc_host_evidence_silence (&host, &flows[i], 100 * MS, true, 700 * MS);
  ck_assert (wc_host_evidence_is_dead (&host, 800 * MS));
}
END_TEST

/* Guards against a flood of trial flows at a host that stays silent. */
START_TEST (suspicions_in_a_row_last_longer)
{
  WcHost   host = { 0 };
  WcFlow   flows[64] = { 0 };
  uint64_t now_us = 1000 * MS;
  uint64_t last_us = 0;

  wc_host_evidence_silence (&host, &flows[0], now_us, false, now_us + 40 * MS);
  for (int i = 1; i < 64; i++)
    {
      uint64_t span_us;

      ck_assert (wc_host_evidence_silence (&host, &flows[i], now_us, false, now_us + 40 * MS));
      span_us = host.suspect_deadline_us - now_us - 40 * MS;
      ck_assert_uint_ge (span_us, last_us);
      ck_assert_uint_le (span_us, 4000 * MS);
      last_us = span_us;
      now_us = host.suspect_deadline_us;
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, one_flow_is_no_suspicion);
  tcase_add_test (tests, two_flows_are_a_suspicion);
  tcase_add_test (tests, silence_before_life_does_not_count);
  tcase_add_test (tests, openings_are_no_verdict);
  tcase_add_test (tests, three_requests_are_a_verdict_after_300_ms);
  tcase_add_test (tests, two_requests_must_go_on_repeating);
  tcase_add_test (tests, suspicions_in_a_row_last_longer);
}

int
main (void)
{
  return wc_test_run ("host_evidence", add_tests);
}
