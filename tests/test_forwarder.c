#include "test_main.h"

#include "forward_fixture.h"

/* Guards against an open flow that changes hosts, or is dropped by an instance without state of it. */
START_TEST (open_flow_follows_cookie)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "a", WC_HOST_READY);
  for (uint64_t host = 1; host <= 2; host++)
    {
      fixture_request (&fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 0, 0, host);
      ck_assert_uint_eq (fixture_last_host (&fixture), host);
    }
  fixture_finish (&fixture);
}
END_TEST

/* Guards against new flows on a draining or departed host, and against loss of its existing flows. */
START_TEST (draining_host_keeps_only_existing_flows)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_request (&fixture, 50, FIXTURE_ROUTE_PORT, 0, 0, 1);
  fixture_put_host (&fixture, 1, "a", WC_HOST_DRAINING);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  for (uint16_t caller = 100; caller < 120; caller++)
    {
      fixture_syn (&fixture, caller, FIXTURE_ROUTE_PORT, 0);
      ck_assert_uint_eq (fixture_last_host (&fixture), 2);
    }
  fixture_acknowledge (&fixture, 50, FIXTURE_ROUTE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  wc_forwarder_set_host_gone (fixture.forwarder, 1, fixture.now_us);
  fixture_acknowledge (&fixture, 50, FIXTURE_ROUTE_PORT, 200, 200, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Guards against requests that are forwarded on a route that was removed, and against callers of unknown routes that
 * get no reset.
 */
START_TEST (removed_and_unknown_routes_are_reset)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_syn (&fixture, 100, 9, 0);
  ck_assert_uint_eq (fixture.reset_count, 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_NO_ROUTE], 1);
  fixture_request (&fixture, 101, FIXTURE_ROUTE_PORT, 0, 0, 1);
  wc_forwarder_set_routes (fixture.forwarder, wc_route_table_new (2), fixture.now_us);
  fixture_request (&fixture, 101, FIXTURE_ROUTE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture.reset_count, 2);
  ck_assert_uint_eq (fixture.reset_sequences[1], 5101);
  ck_assert_uint_eq (fixture.forward_count, 1);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a loop of resets between two endpoints. */
START_TEST (reset_is_not_answered)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_packet (&fixture, 100, 9, WC_PACKET_RST, 1, 1, 0, 77);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Guards against packets forwarded to an arbitrary host when the cookie is forged, or when no host is left for an
 * opening.
 */
START_TEST (packet_for_unknown_host_is_dropped)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_packet (&fixture, 100, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 1, 1, 10, 0x12345678);
  fixture_packet (&fixture, 101, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 1, 1, 10, 0);
  /* Longer than peers are waited for. */
  fixture_advance (&fixture, 110 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DROPPED_UNRESOLVED], 2);
  fixture_syn (&fixture, 102, FIXTURE_ROUTE_PORT, 0);
  ck_assert_uint_eq (fixture.forward_count, 0);
  ck_assert_uint_eq (fixture.reset_count, 1);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a caller that waits for the timeout of an opening because its host has died unnoticed. */
START_TEST (opening_goes_to_second_host_once)
{
  static ForwardFixture fixture;
  uint64_t              first;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "a", WC_HOST_READY);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  first = fixture_last_host (&fixture);
  fixture_advance (&fixture, 50 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 2);
  ck_assert_uint_ne (fixture_last_host (&fixture), first);
  /* Openings used to be placed again every 40 ms, which made hosts that the caller did not choose look unresponsive. */
  fixture_advance (&fixture, 500 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 2);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Hosts that are down refuse openings, and their callers retry at once from another port. Guards against three attempts
 * of a caller at the same host, which lost 1,004 requests in one run.
 */
START_TEST (refused_caller_gets_another_host)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  for (uint64_t host = 1; host <= 8; host++)
    fixture_put_host (&fixture, host, "a", WC_HOST_READY);
  for (uint16_t caller = 100; caller < 400; caller += 10)
    {
      uint64_t first;

      fixture_syn (&fixture, caller, FIXTURE_ROUTE_PORT, 0);
      first = fixture_last_host (&fixture);
      fixture.now_us += 2000;
      fixture_syn (&fixture, caller + 1, FIXTURE_ROUTE_PORT, 0);
      ck_assert_uint_ne (fixture_last_host (&fixture), first);
      fixture_request (&fixture, caller + 1, FIXTURE_ROUTE_PORT, 0, 0, fixture_last_host (&fixture));
      fixture_advance (&fixture, 60 * 1000);
    }
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a flow that changes hosts because a second host answered the opening after the chosen one. */
START_TEST (late_second_answer_does_not_move_flow)
{
  static ForwardFixture fixture;
  uint64_t              first;
  uint64_t              second;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "a", WC_HOST_READY);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  first = fixture_last_host (&fixture);
  second = 3 - first;
  fixture_advance (&fixture, 50 * 1000);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 0, 0, first);
  ck_assert_uint_eq (fixture_last_host (&fixture), first);
  /* The caller's packets carry the cookie that it received last, which is now the second host's. */
  fixture_acknowledge (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 100, second);
  ck_assert_uint_eq (fixture_last_host (&fixture), first);
  ck_assert_uint_eq (fixture.forwards[fixture.forward_count - 1].cookie, fixture_find_host (&fixture, first)->cookie);
  fixture_finish (&fixture);
}
END_TEST

/* Publishes hosts 1 to @count and opens one flow at each, whose first request is answered. */
static void
start_answering_hosts (ForwardFixture *fixture, uint64_t count)
{
  for (uint64_t host = 1; host <= count; host++)
    {
      fixture_put_host (fixture, host, "a", WC_HOST_READY);
      fixture_request (fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 0, 0, host);
      fixture_acknowledge (fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 200, 100, host);
    }
}

/* Opens @count flows at host 1, each with an unanswered request. */
static void
start_requests (ForwardFixture *fixture, uint16_t count, uint16_t port)
{
  for (uint16_t i = 0; i < count; i++)
    fixture_request (fixture, (uint16_t)(200 + i), port, 0, 0, 1);
}

/*
 * A host crashes silently under load, and its callers retransmit after 200 ms. Guards against later requests of these
 * flows that wait for the whole timeout, as 537 did in one run.
 */
START_TEST (unresponsive_host_loses_flows)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 100 * 1000);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  fixture_request (&fixture, 300, FIXTURE_ONCE_PORT, 0, 0, 1);
  fixture_advance (&fixture, 200 * 1000);
  for (uint64_t host = 2; host <= 4; host++)
    fixture_acknowledge (&fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 200, 200, host);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_SUSPECTED], 1);
  for (uint16_t caller = 400; caller < 410; caller++)
    {
      fixture_syn (&fixture, caller, FIXTURE_ROUTE_PORT, 0);
      ck_assert_uint_ne (fixture_last_host (&fixture), 1);
    }
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_advance (&fixture, 200 * 1000);
  /*
   * The four requests and the idle flow of host 1. The request that runs at most once may still be answered and is not
   * reset.
   */
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_RESET_HOST_SILENT], 5);
  for (size_t i = 0; i < fixture.reset_count; i++)
    ck_assert_uint_ne (fixture.resets[i].caller_port, 300);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a reset, after a second, of a request that runs at most once while its host may still answer it. */
START_TEST (once_request_in_progress_is_not_reset)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 10 * 1000);
  fixture_request (&fixture, 300, FIXTURE_ONCE_PORT, 0, 0, 1);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  for (int i = 0; i < 6; i++)
    {
      fixture_advance (&fixture, 700 * 1000);
      start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
    }
  ck_assert_uint_gt (fixture.reset_count, 0);
  for (size_t i = 0; i < fixture.reset_count; i++)
    ck_assert_uint_ne (fixture.resets[i].caller_port, 300);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against resets at a slow host that answers one caller while other callers retransmit. */
START_TEST (answer_clears_suspicion)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  for (uint64_t host = 1; host <= 3; host++)
    {
      fixture_put_host (&fixture, host, "a", WC_HOST_READY);
      fixture_request (&fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 0, 0, host);
    }
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  fixture_advance (&fixture, 200 * 1000);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_SUSPECTED], 1);
  fixture_acknowledge (&fixture, 101, FIXTURE_ROUTE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_CLEARED], 1);
  fixture_advance (&fixture, 1000 * 1000);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against resets of all flows by an instance that processes its callers' packets too late to see the answers. */
START_TEST (no_reset_when_most_hosts_unresponsive)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  for (uint64_t host = 1; host <= 3; host++)
    fixture_put_host (&fixture, host, "a", WC_HOST_READY);
  for (int round = 0; round < 4; round++)
    {
      for (uint16_t i = 0; i < 12; i++)
        fixture_request (&fixture, (uint16_t)(100 + i), FIXTURE_ROUTE_PORT, 0, 0, 1 + i % 3);
      fixture_advance (&fixture, 200 * 1000);
    }
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * The link of the instance loses packets: two hosts do not answer an opening, and the requests of one host are lost
 * while others get through. Guards against resets of flows of healthy hosts by that instance.
 */
START_TEST (no_reset_behind_lossy_link)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  start_answering_hosts (&fixture, 6);
  fixture_advance (&fixture, 100 * 1000);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  fixture_syn (&fixture, 400, FIXTURE_ROUTE_PORT, 0);
  for (int round = 0; round < 5; round++)
    {
      fixture_advance (&fixture, 200 * 1000);
      if (round == 0)
        fixture_syn (&fixture, 400, FIXTURE_ROUTE_PORT, 0);
      start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
    }
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_RESET_HOST_SILENT], 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_LINK_LOSSY], 1);
  /* A host that is still unresponsive after the link has recovered is dead. */
  fixture_advance (&fixture, 3000 * 1000);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  ck_assert_uint_gt (fixture.decisions[WC_DECISION_RESET_HOST_SILENT], 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * The link of one instance starts to lose packets: requests at one host are lost before any opening fails at two hosts.
 * Guards against resets of flows of a healthy host on the evidence of that instance alone, as of 19 flows in one run.
 */
START_TEST (no_reset_on_evidence_of_one_instance)
{
  const WcHostReport    alive = { .host = 1, .life_age_ms = 20 };
  static ForwardFixture fixture;

  fixture_init (&fixture);
  wc_forwarder_set_domain_peers (fixture.forwarder, 3);
  start_answering_hosts (&fixture, 6);
  fixture_advance (&fixture, 100 * 1000);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  for (int round = 0; round < 4; round++)
    {
      fixture_advance (&fixture, 200 * 1000);
      start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
    }
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_SUSPECTED], 1);
  ck_assert_ptr_eq (wc_forwarder_next_query (fixture.forwarder, fixture.now_us), fixture_find_host (&fixture, 1));
  ck_assert_ptr_null (wc_forwarder_next_query (fixture.forwarder, fixture.now_us));
  ck_assert_uint_eq (fixture.reset_count, 0);
  wc_forwarder_apply_report (fixture.forwarder, 11, true, &alive, fixture.now_us);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_CLEARED], 1);
  fixture_advance (&fixture, 1000 * 1000);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against callers that wait for a dead host when no single instance has enough evidence. */
START_TEST (peer_evidence_resets_flows)
{
  const WcHostReport unresponsive = {
    .host = 1, .life_age_ms = UINT32_MAX, .silent_requests = 2, .silence_age_ms = 300
  };
  WcHostReport          relayed = unresponsive;
  static ForwardFixture fixture;

  fixture_init (&fixture);
  wc_forwarder_set_domain_peers (fixture.forwarder, 3);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 100 * 1000);
  start_requests (&fixture, 1, FIXTURE_ROUTE_PORT);
  fixture_advance (&fixture, 250 * 1000);
  start_requests (&fixture, 1, FIXTURE_ROUTE_PORT);
  fixture_advance (&fixture, 100 * 1000);
  /*
   * The instance's own report, relayed by a peer, is not a second witness, and a report from another domain is not
   * evidence here.
   */
  relayed.reporter = FIXTURE_INCARNATION;
  wc_forwarder_apply_report (fixture.forwarder, 11, true, &relayed, fixture.now_us);
  wc_forwarder_apply_report (fixture.forwarder, 12, false, &unresponsive, fixture.now_us);
  ck_assert_uint_eq (fixture.reset_count, 0);
  wc_forwarder_apply_report (fixture.forwarder, 11, true, &unresponsive, fixture.now_us);
  /* The request and the idle flow of host 1. */
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_RESET_HOST_SILENT], 2);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_SUSPECTED], 1);
  fixture_syn (&fixture, 500, FIXTURE_ROUTE_PORT, 0);
  ck_assert_uint_ne (fixture_last_host (&fixture), 1);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Three instances of a domain with lossy links each lost one request at the same host. Guards against resets by a
 * fourth instance that has lost nothing.
 */
START_TEST (no_reset_without_local_evidence)
{
  const WcHostReport unresponsive = {
    .host = 1, .life_age_ms = UINT32_MAX, .silent_requests = 1, .silence_age_ms = 400
  };
  static ForwardFixture fixture;

  fixture_init (&fixture);
  wc_forwarder_set_domain_peers (fixture.forwarder, 3);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 500 * 1000);
  for (uint64_t reporter = 11; reporter <= 13; reporter++)
    wc_forwarder_apply_report (fixture.forwarder, reporter, true, &unresponsive, fixture.now_us);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_SUSPECTED], 1);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * The same from the side of one of the three. Guards against reports of unanswered requests by an instance with a lossy
 * link.
 */
START_TEST (lossy_instance_reports_no_unanswered_requests)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  wc_forwarder_set_domain_peers (fixture.forwarder, 3);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 10 * 1000);
  start_requests (&fixture, 1, FIXTURE_ROUTE_PORT);
  for (uint64_t host = 2; host <= 3; host++)
    fixture_request (&fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 200, 100, host);
  fixture_advance (&fixture, 200 * 1000);
  start_requests (&fixture, 1, FIXTURE_ROUTE_PORT);
  ck_assert_uint_eq (
      wc_forwarder_get_report (fixture.forwarder, fixture_find_host (&fixture, 1), fixture.now_us).silent_requests, 1);
  for (uint64_t host = 2; host <= 3; host++)
    {
      fixture_request (&fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 200, 100, host);
      fixture_acknowledge (&fixture, (uint16_t)(100 + host), FIXTURE_ROUTE_PORT, 400, 200, host);
    }
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_LINK_LOSSY], 1);
  ck_assert_uint_eq (
      wc_forwarder_get_report (fixture.forwarder, fixture_find_host (&fixture, 1), fixture.now_us).silent_requests, 0);
  ck_assert_ptr_null (wc_forwarder_next_query (fixture.forwarder, fixture.now_us));
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a link that counts as lossy because a caller reuses the port of a closed flow. */
START_TEST (reused_port_is_not_loss)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 0, 0, 1);
  fixture_put_host (&fixture, 1, "a", WC_HOST_DRAINING);
  fixture_put_host (&fixture, 2, "a", WC_HOST_READY);
  for (int i = 0; i < 2; i++)
    {
      fixture_syn_again (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
      ck_assert_uint_eq (fixture_last_host (&fixture), 2);
    }
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_LINK_LOSSY], 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Flows move away from a slow instance while many configurations arrive: it saw two requests, and another instance saw
 * their answers. Guards against the resets of a healthy host's flows that followed from this.
 */
START_TEST (moved_flows_are_not_evidence)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 10 * 1000);
  start_requests (&fixture, 2, FIXTURE_ROUTE_PORT);
  fixture_advance (&fixture, 200 * 1000);
  start_requests (&fixture, 2, FIXTURE_ROUTE_PORT);
  fixture_advance (&fixture, 2000 * 1000);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against evidence from packets that were delayed on this instance's processor. */
START_TEST (evidence_before_delay_is_discarded)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 10 * 1000);
  start_requests (&fixture, 6, FIXTURE_ROUTE_PORT);
  fixture_advance (&fixture, 290 * 1000);
  start_requests (&fixture, 6, FIXTURE_ROUTE_PORT);
  wc_forwarder_discard_evidence (fixture.forwarder, fixture.now_us);
  fixture_advance (&fixture, 400 * 1000);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * An instance on a slow processor reads requests together with their retransmissions. Guards against reports of this as
 * evidence to its peers, which reset 23 flows of healthy hosts in one run.
 */
START_TEST (requests_read_late_are_not_evidence)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  wc_forwarder_set_domain_peers (fixture.forwarder, 3);
  start_answering_hosts (&fixture, 4);
  fixture_advance (&fixture, 10 * 1000);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  fixture_advance (&fixture, 60 * 1000);
  start_requests (&fixture, 4, FIXTURE_ROUTE_PORT);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->unanswered.requests, 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_SUSPECTED], 0);
  ck_assert_ptr_null (wc_forwarder_next_query (fixture.forwarder, fixture.now_us));
  fixture_finish (&fixture);
}
END_TEST

/*
 * Guards against a caller that waits for a departed host, and against a reset at a host whose entry has only expired.
 */
START_TEST (flow_of_gone_host_is_reset_on_retransmission)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "a", WC_HOST_READY);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 0, 0, 1);
  fixture_acknowledge (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 100, 1);
  fixture_request (&fixture, 101, FIXTURE_ROUTE_PORT, 0, 0, 2);
  wc_forwarder_set_host_gone (fixture.forwarder, 1, fixture.now_us);
  fixture_advance (&fixture, 10 * 1000);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_advance (&fixture, 200 * 1000);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture.reset_count, 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_RESET_HOST_GONE], 1);
  fixture_finish (&fixture);
}
END_TEST

/*
 * A process was frozen, and its callers have opened their flows through other instances. Guards against openings of
 * before the freeze that are placed as new ones, at a second host, or forwarded again as retransmissions.
 */
START_TEST (openings_of_before_a_pause_are_dropped)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "a", WC_HOST_READY);
  fixture_late_syn (&fixture, 100, 0, 3000 * 1000);
  fixture_late_syn (&fixture, 100, 1, 2800 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DROPPED_LATE_OPENING], 2);
  fixture_syn (&fixture, 101, FIXTURE_ROUTE_PORT, 0);
  fixture_late_syn (&fixture, 101, 1, 2800 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 1);
  /* The last copies of openings that their callers still wait for. */
  fixture_late_syn (&fixture, 102, 2, 700 * 1000);
  fixture_late_syn (&fixture, 103, 0, 400 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 3);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against flow counts that drift, so that placement avoids an idle host. */
START_TEST (host_flow_counts_return_to_zero)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  for (uint16_t caller = 100; caller < 150; caller++)
    {
      fixture_syn (&fixture, caller, FIXTURE_ROUTE_PORT, 0);
      fixture_request (&fixture, caller, FIXTURE_ROUTE_PORT, 0, 0, 1);
    }
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->flows, 50);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->busy_flows, 50);
  for (uint16_t caller = 100; caller < 125; caller++)
    fixture_acknowledge (&fixture, caller, FIXTURE_ROUTE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->busy_flows, 25);
  for (uint16_t caller = 100; caller < 125; caller++)
    fixture_packet (&fixture, caller, FIXTURE_ROUTE_PORT, WC_PACKET_FIN | WC_PACKET_ACK, 1201, 5101, 0,
                    fixture_find_host (&fixture, 1)->cookie);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->flows, 25);
  /* The remaining flows have moved to another instance: none of their packets arrive here. */
  fixture_advance (&fixture, 2000 * 1000);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->busy_flows, 0);
  fixture_advance (&fixture, 16 * 1000 * 1000);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->flows, 0);
  ck_assert_uint_eq (wc_forwarder_get_flow_count (fixture.forwarder), 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Guards against openings that fill the queue of a host, and against openings that are held while hosts of other
 * domains are idle.
 */
START_TEST (opening_is_held_while_hosts_are_full)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  start_requests (&fixture, 5, FIXTURE_LATENCY_PORT);
  fixture_syn (&fixture, 500, FIXTURE_LATENCY_PORT, 1);
  ck_assert_uint_eq (fixture.last_evidence_us, fixture.now_us - 200 * 1000);
  fixture_syn (&fixture, 500, FIXTURE_LATENCY_PORT, 2);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HELD], 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED], 0);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  wc_forwarder_run_timers (fixture.forwarder, fixture.now_us);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED], 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 2);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against openings that move to another service because its hosts are idle, against the weights of the route. */
START_TEST (held_opening_keeps_its_service)
{
  static ForwardFixture fixture;
  WcRouteTable         *routes = wc_route_table_new (2);
  const WcRoute         route = {
            .ip = FIXTURE_ROUTE_IP,
            .port = FIXTURE_LATENCY_PORT,
            .target_latency_ms = 150,
            .service_count = 2,
            .services = { { g_quark_from_string ("desk"), 1000000 }, { g_quark_from_string ("sheets"), 1 } },
  };
  const WcHostRecord idle = {
    .id = 2,
    .service = g_quark_from_string ("sheets"),
    .domain = g_quark_from_string ("b"),
    .address = { .ip = { 10, 2, 0, 2 }, .family = 4, .port = 8080 },
    .slots = 2,
  };

  fixture_init (&fixture);
  wc_route_table_add (routes, &route);
  wc_forwarder_set_routes (fixture.forwarder, routes, fixture.now_us);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  wc_forwarder_put_host (fixture.forwarder, &idle, 2, fixture.now_us);
  start_requests (&fixture, 5, FIXTURE_LATENCY_PORT);
  fixture_syn (&fixture, 500, FIXTURE_LATENCY_PORT, 0);
  wc_forwarder_run_timers (fixture.forwarder, fixture.now_us);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HELD], 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED], 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Most hosts of a domain have died unnoticed, and the requests waiting at them look like load. Guards against openings
 * that are held until their callers give up, as 164 were in one run, and against an instance that rejects every opening
 * and so never learns that it is wrong: one goes to a host in each trial interval, the others hear at once.
 */
START_TEST (openings_are_forwarded_at_intervals)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  start_requests (&fixture, 40, FIXTURE_LATENCY_PORT);
  for (uint16_t caller = 500; caller < 525; caller++)
    {
      fixture_syn (&fixture, caller, FIXTURE_LATENCY_PORT, 0);
      fixture_advance (&fixture, 10 * 1000);
    }
  ck_assert_uint_ge (fixture.decisions[WC_DECISION_PLACED], 4);
  ck_assert_uint_le (fixture.decisions[WC_DECISION_PLACED], 6);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HELD], 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED] + fixture.decisions[WC_DECISION_REJECTED_OVERLOAD], 25);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against a planned stop under load that leaves callers without an answer whose openings are held. */
START_TEST (held_openings_are_rejected_at_the_end)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  start_requests (&fixture, 4, FIXTURE_LATENCY_PORT);
  for (uint16_t caller = 500; caller < 503; caller++)
    fixture_syn (&fixture, caller, FIXTURE_LATENCY_PORT, 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HELD], 3);
  ck_assert_uint_eq (fixture.reset_count, 0);
  wc_forwarder_reject_held (fixture.forwarder, fixture.now_us);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_STOPPING], 3);
  ck_assert_uint_eq (fixture.reset_count, 3);
  for (size_t i = 0; i < 3; i++)
    ck_assert_uint_ge (fixture.resets[i].caller_port, 500);
  wc_forwarder_reject_held (fixture.forwarder, fixture.now_us);
  ck_assert_uint_eq (fixture.reset_count, 3);
  ck_assert_uint_eq (wc_forwarder_get_deadline_us (fixture.forwarder), UINT64_MAX);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against an opening that is forwarded on a route which was removed while the opening was held. */
START_TEST (held_opening_of_a_removed_route_is_rejected)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  start_requests (&fixture, 5, FIXTURE_LATENCY_PORT);
  fixture_syn (&fixture, 500, FIXTURE_LATENCY_PORT, 0);
  wc_forwarder_set_routes (fixture.forwarder, wc_route_table_new (2), fixture.now_us);
  wc_forwarder_run_timers (fixture.forwarder, fixture.now_us);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_NO_ROUTE], 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED], 0);
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, open_flow_follows_cookie);
  tcase_add_test (tests, draining_host_keeps_only_existing_flows);
  tcase_add_test (tests, removed_and_unknown_routes_are_reset);
  tcase_add_test (tests, reset_is_not_answered);
  tcase_add_test (tests, packet_for_unknown_host_is_dropped);
  tcase_add_test (tests, opening_goes_to_second_host_once);
  tcase_add_test (tests, refused_caller_gets_another_host);
  tcase_add_test (tests, late_second_answer_does_not_move_flow);
  tcase_add_test (tests, unresponsive_host_loses_flows);
  tcase_add_test (tests, once_request_in_progress_is_not_reset);
  tcase_add_test (tests, answer_clears_suspicion);
  tcase_add_test (tests, no_reset_when_most_hosts_unresponsive);
  tcase_add_test (tests, no_reset_behind_lossy_link);
  tcase_add_test (tests, no_reset_on_evidence_of_one_instance);
  tcase_add_test (tests, peer_evidence_resets_flows);
  tcase_add_test (tests, no_reset_without_local_evidence);
  tcase_add_test (tests, lossy_instance_reports_no_unanswered_requests);
  tcase_add_test (tests, reused_port_is_not_loss);
  tcase_add_test (tests, moved_flows_are_not_evidence);
  tcase_add_test (tests, evidence_before_delay_is_discarded);
  tcase_add_test (tests, requests_read_late_are_not_evidence);
  tcase_add_test (tests, flow_of_gone_host_is_reset_on_retransmission);
  tcase_add_test (tests, openings_of_before_a_pause_are_dropped);
  tcase_add_test (tests, host_flow_counts_return_to_zero);
  tcase_add_test (tests, opening_is_held_while_hosts_are_full);
  tcase_add_test (tests, held_opening_keeps_its_service);
  tcase_add_test (tests, openings_are_forwarded_at_intervals);
  tcase_add_test (tests, held_openings_are_rejected_at_the_end);
  tcase_add_test (tests, held_opening_of_a_removed_route_is_rejected);
}

int
main (void)
{
  return wc_test_run ("forwarder", add_tests);
}
