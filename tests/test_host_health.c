#include "test_main.h"

#include "forward/host_health.h"

enum
{
  MS = 1000
};

/* Guards against a host that is suspected because of a single lost packet. */
START_TEST (one_flow_does_not_suspect_host)
{
  WcHost host = { 0 };
  WcFlow flow = { 0 };

  for (uint64_t now_us = 300 * MS; now_us < 5000 * MS; now_us += 200 * MS)
    ck_assert (!wc_host_health_record_unanswered (&host, &flow, 100 * MS, true, now_us));
  ck_assert (!wc_host_health_evaluate (&host, 0, 5000 * MS).is_dead);
}
END_TEST

/* Guards against flows that are counted twice. */
START_TEST (two_flows_suspect_host)
{
  WcHost host = { 0 };
  WcFlow first = { 0 };
  WcFlow second = { 0 };

  ck_assert (!wc_host_health_record_unanswered (&host, &first, 100 * MS, true, 300 * MS));
  ck_assert (!wc_host_health_record_unanswered (&host, &first, 100 * MS, true, 310 * MS));
  ck_assert (wc_host_health_record_unanswered (&host, &second, 120 * MS, true, 320 * MS));
  ck_assert_uint_gt (host.suspect_deadline_us, 320 * MS);
  ck_assert (wc_host_health_record_response (&host, 400 * MS));
  ck_assert_uint_eq (host.suspect_deadline_us, 0);
}
END_TEST

/* Guards against evidence from packets that were sent before the host's last response. */
START_TEST (requests_before_last_response_are_ignored)
{
  WcHost host = { 0 };
  WcFlow flows[4] = { 0 };

  wc_host_health_record_response (&host, 500 * MS);
  for (int i = 0; i < 4; i++)
    ck_assert (!wc_host_health_record_unanswered (&host, &flows[i], 400 * MS, true, 900 * MS));
  ck_assert (!wc_host_health_evaluate (&host, 0, 2000 * MS).is_dead);
}
END_TEST

/*
 * Guards against a host that counts as dead because of unanswered openings: their callers may have chosen another host.
 */
START_TEST (openings_do_not_mark_host_dead)
{
  WcHost host = { 0 };
  WcFlow flows[10] = { 0 };

  for (int i = 0; i < 10; i++)
    wc_host_health_record_unanswered (&host, &flows[i], 100 * MS, false, 300 * MS);
  ck_assert_uint_gt (host.suspect_deadline_us, 0);
  ck_assert (!wc_host_health_evaluate (&host, 0, 5000 * MS).is_dead);
}
END_TEST

/* Guards against a host that counts as dead too early, or never. */
START_TEST (three_requests_mark_host_dead_after_300_ms)
{
  WcHost host = { 0 };
  WcFlow flows[3] = { 0 };

  for (int i = 0; i < 3; i++)
    wc_host_health_record_unanswered (&host, &flows[i], 100 * MS, true, 310 * MS);
  ck_assert (!wc_host_health_evaluate (&host, 0, 390 * MS).is_dead);
  ck_assert (wc_host_health_evaluate (&host, 0, 400 * MS).is_dead);
}
END_TEST

/*
 * Guards against two flows that have moved to another instance and look unanswered; two flows that continue to
 * retransmit are sufficient evidence.
 */
START_TEST (two_requests_need_repeated_retransmission)
{
  WcHost host = { 0 };
  WcFlow flows[2] = { 0 };

  for (int i = 0; i < 2; i++)
    wc_host_health_record_unanswered (&host, &flows[i], 100 * MS, true, 300 * MS);
  ck_assert (!wc_host_health_evaluate (&host, 0, 3000 * MS).is_dead);
  for (int i = 0; i < 2; i++)
    wc_host_health_record_unanswered (&host, &flows[i], 100 * MS, true, 700 * MS);
  ck_assert (wc_host_health_evaluate (&host, 0, 800 * MS).is_dead);
}
END_TEST

/* Guards against frequent trial flows at a host that remains unresponsive. */
START_TEST (suspicion_time_doubles)
{
  WcHost   host = { 0 };
  WcFlow   flows[64] = { 0 };
  uint64_t now_us = 1000 * MS;
  uint64_t last_us = 0;

  wc_host_health_record_unanswered (&host, &flows[0], now_us, false, now_us + 40 * MS);
  for (int i = 1; i < 64; i++)
    {
      uint64_t span_us;

      ck_assert (wc_host_health_record_unanswered (&host, &flows[i], now_us, false, now_us + 40 * MS));
      span_us = host.suspect_deadline_us - now_us - 40 * MS;
      ck_assert_uint_ge (span_us, last_us);
      ck_assert_uint_le (span_us, 4000 * MS);
      last_us = span_us;
      now_us = host.suspect_deadline_us;
    }
}
END_TEST

/* A host crashes, and no single instance has three unanswered requests at it. */
START_TEST (evidence_of_instances_is_summed)
{
  const WcHostReport report = { .life_age_ms = UINT32_MAX, .silent_requests = 2, .silence_age_ms = 280 };
  WcHost             host = { 0 };
  WcFlow             flow = { 0 };
  WcHostHealth       health;

  wc_host_health_record_unanswered (&host, &flow, 100 * MS, true, 300 * MS);
  ck_assert (!wc_host_health_evaluate (&host, 1, 400 * MS).is_dead);
  ck_assert (!wc_host_health_apply_report (&host, 11, &report, 350 * MS));
  health = wc_host_health_evaluate (&host, 1, 400 * MS);
  ck_assert (health.is_dead);
  ck_assert_uint_eq (health.witnesses, 2);
  ck_assert_uint_eq (health.unanswered.requests, 3);
}
END_TEST

/*
 * Guards against a host that counts as dead on the evidence of one instance, whose own link may lose packets, while the
 * domain has other instances.
 */
START_TEST (one_instance_among_several_is_not_enough)
{
  WcHost host = { 0 };
  WcFlow flows[8] = { 0 };

  for (int i = 0; i < 8; i++)
    wc_host_health_record_unanswered (&host, &flows[i], 100 * MS, true, 300 * MS);
  ck_assert (wc_host_health_evaluate (&host, 0, 900 * MS).is_dead);
  ck_assert (!wc_host_health_evaluate (&host, 3, 900 * MS).is_dead);
}
END_TEST

/* Guards against a host that remains suspected here while it responds to other instances. */
START_TEST (response_at_peer_ends_suspicion)
{
  const WcHostReport alive = { .life_age_ms = 50 };
  const WcHostReport older = { .life_age_ms = 800 };
  WcHost             host = { 0 };
  WcFlow             flows[2] = { 0 };

  for (int i = 0; i < 2; i++)
    wc_host_health_record_unanswered (&host, &flows[i], 100 * MS, true, 300 * MS);
  ck_assert (!wc_host_health_apply_report (&host, 11, &older, 850 * MS));
  ck_assert_uint_gt (host.suspect_deadline_us, 0);
  ck_assert (wc_host_health_apply_report (&host, 11, &alive, 850 * MS));
  ck_assert_uint_eq (host.suspect_deadline_us, 0);
  ck_assert_uint_eq (host.unanswered.requests, 0);
  /* Packets sent before that response are not evidence; packets sent after it are. */
  ck_assert (!wc_host_health_record_unanswered (&host, &flows[0], 780 * MS, true, 990 * MS));
  ck_assert_uint_eq (host.unanswered.requests, 0);
  wc_host_health_record_unanswered (&host, &flows[0], 900 * MS, true, 1100 * MS);
  ck_assert_uint_eq (host.unanswered.requests, 1);
}
END_TEST

/* Guards against openings at a host that is full: it answers requests, but no openings. */
START_TEST (response_at_peer_keeps_unanswered_openings)
{
  const WcHostReport alive = { .life_age_ms = 0 };
  WcHost             host = { 0 };
  WcFlow             flows[2] = { 0 };

  for (int i = 0; i < 2; i++)
    wc_host_health_record_unanswered (&host, &flows[i], 100 * MS, false, 140 * MS);
  ck_assert (!wc_host_health_apply_report (&host, 11, &alive, 150 * MS));
  ck_assert_uint_gt (host.suspect_deadline_us, 150 * MS);
}
END_TEST

/* Guards against a period without observations that is reported to other instances as a response of the host. */
START_TEST (health_reset_is_not_a_response)
{
  WcHost host = { .last_seen_us = 100 * MS };

  wc_host_health_reset (&host, 900 * MS);
  ck_assert_uint_eq (host.last_seen_us, 100 * MS);
  ck_assert_uint_eq (host.evidence_start_us, 900 * MS);
}
END_TEST

/* Guards against a flood of queries while a host is unresponsive. */
START_TEST (queries_are_rate_limited)
{
  WcHost host = { 0 };
  WcFlow flow = { 0 };
  int    queries = 0;

  ck_assert (!wc_host_health_query_due (&host, 100 * MS));
  wc_host_health_record_unanswered (&host, &flow, 100 * MS, true, 300 * MS);
  for (uint64_t now_us = 300 * MS; now_us < 800 * MS; now_us += 10 * MS)
    queries += wc_host_health_query_due (&host, now_us);
  ck_assert_int_eq (queries, 5);
  wc_host_health_record_response (&host, 800 * MS);
  ck_assert (!wc_host_health_query_due (&host, 1000 * MS));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, one_flow_does_not_suspect_host);
  tcase_add_test (tests, two_flows_suspect_host);
  tcase_add_test (tests, requests_before_last_response_are_ignored);
  tcase_add_test (tests, openings_do_not_mark_host_dead);
  tcase_add_test (tests, three_requests_mark_host_dead_after_300_ms);
  tcase_add_test (tests, two_requests_need_repeated_retransmission);
  tcase_add_test (tests, suspicion_time_doubles);
  tcase_add_test (tests, evidence_of_instances_is_summed);
  tcase_add_test (tests, one_instance_among_several_is_not_enough);
  tcase_add_test (tests, response_at_peer_ends_suspicion);
  tcase_add_test (tests, response_at_peer_keeps_unanswered_openings);
  tcase_add_test (tests, health_reset_is_not_a_response);
  tcase_add_test (tests, queries_are_rate_limited);
}

int
main (void)
{
  return wc_test_run ("host_health", add_tests);
}
