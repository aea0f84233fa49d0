#include "test_main.h"

#include "forward/cookie.h"
#include "forward_fixture.h"

/*
 * A packet of a caller, @offset bytes after the first one, whose last cookie is from the answer of a host to the
 * opening.
 */
static void
send_with_opening_cookie (ForwardFixture *fixture, uint16_t caller, uint32_t offset, uint64_t host)
{
  const WcPacket opening = { .key = { 0x64400007, FIXTURE_ROUTE_IP, caller, FIXTURE_ROUTE_PORT },
                             .sequence = 1000,
                             .flags = WC_PACKET_SYN };

  fixture_packet (fixture, caller, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 1001 + offset, 5001, 200,
                  wc_cookie_for_opening (fixture_find_host (fixture, host)->cookie, &opening));
}

/* The cookie that a host has received last, and repeats in its answers. */
static uint32_t
last_cookie_of (const ForwardFixture *fixture, uint64_t host)
{
  uint32_t cookie = 0;

  for (size_t i = 0; i < fixture->forward_count; i++)
    if (fixture->forwards[i].host == host)
      cookie = fixture->forwards[i].cookie;
  return cookie;
}

/* The peers that were asked answer that they do not know the flow. */
static void
answer_unknown (ForwardFixture *fixture)
{
  WcFlowNote unknown = fixture->last_question;

  unknown.asks = false;
  for (size_t i = 0; i < fixture->peers; i++)
    wc_forwarder_apply_flow_note (fixture->forwarder, &unknown, fixture->now_us);
}

static void
init_with_hosts (ForwardFixture *fixture)
{
  fixture_init (fixture);
  fixture_put_host (fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (fixture, 2, "a", WC_HOST_READY);
  fixture->peers = 2;
}

/* Opens a flow at a second host because the first one does not answer in time. Return: the second host. */
static uint64_t
open_at_second_host (ForwardFixture *fixture, uint16_t caller)
{
  uint64_t first;

  fixture_syn (fixture, caller, FIXTURE_ROUTE_PORT, 0);
  first = fixture_last_host (fixture);
  fixture_advance (fixture, 50 * 1000);
  ck_assert_uint_eq (fixture_last_host (fixture), 3 - first);
  send_with_opening_cookie (fixture, caller, 0, 3 - first);
  ck_assert_uint_eq (fixture->decisions[WC_DECISION_COOKIE_CORRECTED], 1);
  ck_assert_uint_eq (fixture->forwards[fixture->forward_count - 2].host, first);
  ck_assert_uint_eq (fixture_last_host (fixture), 3 - first);
  return 3 - first;
}

/*
 * A flow was opened at a second host, and the answer of the first one left its cookie with the caller. Guards against
 * an instance without the flow, such as one that was restarted, that sends the next request to the first host, which
 * resets the flow.
 */
START_TEST (restarted_instance_finds_host_of_flow)
{
  static ForwardFixture opener;
  static ForwardFixture restarted;
  uint64_t              host;
  WcFlowNote            answer;

  init_with_hosts (&opener);
  init_with_hosts (&restarted);
  host = open_at_second_host (&opener, 100);
  send_with_opening_cookie (&restarted, 100, 200, 3 - host);
  send_with_opening_cookie (&restarted, 100, 400, 3 - host);
  ck_assert_uint_eq (restarted.forward_count, 0);
  ck_assert_uint_eq (restarted.questions, 1);
  answer = wc_forwarder_answer_flow_note (opener.forwarder, &restarted.last_question, opener.now_us);
  wc_forwarder_apply_flow_note (restarted.forwarder, &answer, restarted.now_us);
  ck_assert_uint_eq (restarted.forward_count, 2);
  ck_assert_uint_eq (restarted.forwards[0].host, host);
  ck_assert_uint_eq (restarted.forwards[1].host, host);
  send_with_opening_cookie (&restarted, 100, 600, 3 - host);
  ck_assert_uint_eq (fixture_last_host (&restarted), host);
  ck_assert_uint_eq (restarted.questions, 1);
  fixture_finish (&opener);
  fixture_finish (&restarted);
}
END_TEST

/*
 * The instance that opened a flow at a second host dies. Guards against a flow whose host nobody knows any more: the
 * peers that were told before, and those that they tell when they start, know it until the flow ends.
 */
START_TEST (announced_host_outlives_instance)
{
  static ForwardFixture opener;
  static ForwardFixture peer;
  static ForwardFixture started;
  WcFlowNote            notes[4];
  uint64_t              host;

  init_with_hosts (&opener);
  init_with_hosts (&peer);
  init_with_hosts (&started);
  host = open_at_second_host (&opener, 100);
  ck_assert_uint_eq (opener.announcements, 1);
  wc_forwarder_apply_flow_note (peer.forwarder, &opener.last_announcement, peer.now_us);
  fixture_finish (&opener);
  /* Longer than the idle timeout. */
  fixture_advance (&peer, 20 * 1000 * 1000);
  ck_assert_uint_eq (wc_forwarder_get_flow_notes (peer.forwarder, notes, G_N_ELEMENTS (notes), peer.now_us), 1);
  wc_forwarder_apply_flow_note (started.forwarder, &notes[0], started.now_us);
  send_with_opening_cookie (&started, 100, 200, 3 - host);
  ck_assert_uint_eq (fixture_last_host (&started), host);
  ck_assert_uint_eq (fixture_find_host (&peer, host)->flows, 0);
  ck_assert_uint_eq (fixture_find_host (&started, host)->flows, 1);
  fixture_advance (&peer, 60 * 1000 * 1000);
  ck_assert_uint_eq (wc_forwarder_get_flow_count (peer.forwarder), 0);
  fixture_finish (&peer);
  fixture_finish (&started);
}
END_TEST

/* Guards against a delay and a datagram for each flow that moves: a host confirms its cookie with the first answer. */
START_TEST (confirmed_cookie_is_trusted)
{
  static ForwardFixture fixture;

  init_with_hosts (&fixture);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 0, 0, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  fixture_syn (&fixture, 101, FIXTURE_ROUTE_PORT, 0);
  send_with_opening_cookie (&fixture, 101, 0, fixture_last_host (&fixture));
  ck_assert_uint_eq (fixture.questions, 0);
  ck_assert_uint_eq (fixture.announcements, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Guards against packets that are held for ever, against a wait for peers that have answered already, and against
 * openings in progress that are lost when instances end or the fabric's rotation changes: the first packet of a flow
 * proves that its cookie is from an answer to the opening, and follows it.
 */
START_TEST (first_packet_follows_answer)
{
  static ForwardFixture fixture;

  init_with_hosts (&fixture);
  send_with_opening_cookie (&fixture, 100, 0, 2);
  fixture_advance (&fixture, 90 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 0);
  fixture_advance (&fixture, 20 * 1000);
  ck_assert_uint_eq (fixture.forward_count, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 2);
  ck_assert_uint_eq (fixture.announcements, 1);
  send_with_opening_cookie (&fixture, 101, 0, 1);
  ck_assert_uint_eq (fixture.forward_count, 1);
  answer_unknown (&fixture);
  ck_assert_uint_eq (fixture.forward_count, 2);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_ASSUMED], 2);
  /* Without peers there is nobody to ask. */
  fixture.peers = 0;
  send_with_opening_cookie (&fixture, 102, 0, 1);
  ck_assert_uint_eq (fixture.forward_count, 3);
  fixture_finish (&fixture);
}
END_TEST

/*
 * All instances are killed after a caller chose one of two hosts that answered its opening; the other one repeats its
 * answer. Guards against the next request going to the other host, which resets the flow (case 7 of the second review):
 * nobody but the cookie can tell the host of the flow then.
 */
START_TEST (cookie_names_chosen_host_after_kill_of_all)
{
  static ForwardFixture opener;
  static ForwardFixture started;
  uint64_t              host;

  init_with_hosts (&opener);
  init_with_hosts (&started);
  host = open_at_second_host (&opener, 100);
  fixture_packet (&started, 100, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 1201, 5001, 200,
                  last_cookie_of (&opener, 3 - host));
  answer_unknown (&started);
  ck_assert_uint_eq (fixture_last_host (&started), host);
  fixture_finish (&opener);
  fixture_finish (&started);
}
END_TEST

/*
 * Guards against a reset by a host that only answered the opening, whose cookie could not be corrected: a packet whose
 * host neither cookie nor peers show is dropped, whether peers answer or not, and whether there are peers or not.
 */
START_TEST (unproven_cookie_is_not_followed)
{
  static ForwardFixture fixture;

  init_with_hosts (&fixture);
  /* A later packet: the caller has had packets of its host since the opening. */
  send_with_opening_cookie (&fixture, 100, 200, 1);
  answer_unknown (&fixture);
  send_with_opening_cookie (&fixture, 101, 200, 1);
  fixture_advance (&fixture, 110 * 1000);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DROPPED_UNRESOLVED], 2);
  /* Of an earlier release. */
  fixture_packet (&fixture, 103, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 1001, 5001, 200,
                  ~fixture_find_host (&fixture, 1)->cookie);
  answer_unknown (&fixture);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DROPPED_UNRESOLVED], 3);
  for (uint16_t caller = 200; caller < 300; caller++)
    send_with_opening_cookie (&fixture, caller, 200, 1);
  fixture_advance (&fixture, 110 * 1000);
  fixture.peers = 0;
  send_with_opening_cookie (&fixture, 104, 200, 1);
  fixture_advance (&fixture, 110 * 1000);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DROPPED_UNRESOLVED], 104);
  ck_assert_uint_eq (fixture.forward_count, 0);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * An instance that has just started has heard of no peer yet. Guards against a packet of an open flow that goes to the
 * host of an unproven cookie because there is nobody to ask (case 8 of the second review), or is dropped although a
 * peer tells the host a moment later.
 */
START_TEST (packet_waits_for_first_peer)
{
  static ForwardFixture opener;
  static ForwardFixture started;
  WcFlowNote            notes[4];
  uint64_t              host;

  init_with_hosts (&opener);
  init_with_hosts (&started);
  started.peers = 0;
  host = open_at_second_host (&opener, 100);
  send_with_opening_cookie (&started, 100, 200, 3 - host);
  fixture_advance (&started, 50 * 1000);
  ck_assert_uint_eq (started.forward_count, 0);
  ck_assert_uint_eq (started.decisions[WC_DECISION_HOST_ASKED], 0);
  ck_assert_uint_eq (wc_forwarder_get_flow_notes (opener.forwarder, notes, G_N_ELEMENTS (notes), opener.now_us), 1);
  wc_forwarder_apply_flow_note (started.forwarder, &notes[0], started.now_us);
  ck_assert_uint_eq (started.forward_count, 1);
  ck_assert_uint_eq (fixture_last_host (&started), host);
  fixture_finish (&opener);
  fixture_finish (&started);
}
END_TEST

/*
 * The correction of a cookie is lost. Guards against a flow that is lost with the instances although they could have
 * seen that its caller still has the wrong cookie, and against a copy of the opening for each packet.
 */
START_TEST (lost_correction_is_repeated)
{
  static ForwardFixture fixture;
  uint64_t              host;

  init_with_hosts (&fixture);
  host = open_at_second_host (&fixture, 100);
  for (uint32_t i = 0; i < 10; i++)
    {
      send_with_opening_cookie (&fixture, 100, 200 + i, 3 - host);
      fixture_advance (&fixture, 50 * 1000);
    }
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_COOKIE_CORRECTED], 3);
  ck_assert_uint_eq (last_cookie_of (&fixture, 3 - host), wc_cookie_from_host (host));
  /* The host of the flow itself has nothing to correct. */
  fixture_advance (&fixture, 1000 * 1000);
  send_with_opening_cookie (&fixture, 100, 300, host);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_COOKIE_CORRECTED], 3);
  /* The host has given up its answer. */
  fixture_advance (&fixture, 10 * 1000 * 1000);
  send_with_opening_cookie (&fixture, 100, 400, 3 - host);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_COOKIE_CORRECTED], 3);
  fixture_finish (&fixture);
}
END_TEST

/*
 * The fabric's rotation changes between two copies of an opening, so that two instances forward it. Guards against the
 * wrong cookie of the host that only the other instance knows.
 */
START_TEST (announcement_corrects_cookie)
{
  static ForwardFixture first;
  static ForwardFixture second;
  uint64_t              host;
  uint64_t              chosen;

  init_with_hosts (&first);
  init_with_hosts (&second);
  fixture_syn (&first, 100, FIXTURE_ROUTE_PORT, 0);
  host = fixture_last_host (&first);
  fixture_syn (&second, 100, FIXTURE_ROUTE_PORT, 1);
  chosen = 3 - host;
  send_with_opening_cookie (&second, 100, 0, chosen);
  ck_assert_uint_eq (second.announcements, 1);
  wc_forwarder_apply_flow_note (first.forwarder, &second.last_announcement, first.now_us);
  ck_assert_uint_eq (last_cookie_of (&first, host), wc_cookie_from_host (chosen));
  fixture_finish (&first);
  fixture_finish (&second);
}
END_TEST

/* Guards against an opening, which counts as new work, at a host that must not get any. */
START_TEST (leaving_host_is_not_corrected)
{
  static const WcHostState states[] = { WC_HOST_DRAINING, WC_HOST_GONE };

  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      static ForwardFixture fixture;
      uint64_t              first;
      size_t                count;

      init_with_hosts (&fixture);
      fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
      first = fixture_last_host (&fixture);
      fixture_advance (&fixture, 50 * 1000);
      if (states[i] == WC_HOST_GONE)
        wc_forwarder_set_host_gone (fixture.forwarder, first, fixture.now_us);
      else
        fixture_put_host (&fixture, first, "a", states[i]);
      count = fixture.forward_count;
      send_with_opening_cookie (&fixture, 100, 0, 3 - first);
      ck_assert_uint_eq (fixture.forward_count, count + 1);
      ck_assert_uint_eq (fixture.decisions[WC_DECISION_COOKIE_CORRECTED], 0);
      fixture_finish (&fixture);
    }
}
END_TEST

/*
 * A copy of an opening is read after the flow was opened through another instance, for example when a frozen process
 * continues. Guards against a second host for an open flow.
 */
START_TEST (late_opening_is_dropped)
{
  static ForwardFixture fixture;
  const WcFlowNote      note = { .key = { 0x64400007, FIXTURE_ROUTE_IP, 100, FIXTURE_ROUTE_PORT },
                                 .sequence = 1201,
                                 .cookie = wc_cookie_from_host (1) };

  init_with_hosts (&fixture);
  wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  ck_assert_uint_eq (fixture.forward_count, 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DROPPED_LATE_OPENING], 1);
  fixture_request (&fixture, 101, FIXTURE_ROUTE_PORT, 0, 0, 2);
  fixture_syn (&fixture, 101, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (fixture.forward_count, 1);
  /* The caller uses its port for another flow. */
  fixture_syn_again (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  ck_assert_uint_eq (fixture.forward_count, 2);
  fixture_finish (&fixture);
}
END_TEST

/*
 * An instance placed a late opening before it heard that the flow is open elsewhere. Guards against packets that follow
 * the answer to the late opening.
 */
START_TEST (announcement_replaces_opening)
{
  static ForwardFixture fixture;
  WcFlowNote            note = { .key = { 0x64400007, FIXTURE_ROUTE_IP, 100, FIXTURE_ROUTE_PORT }, .sequence = 1001 };
  uint64_t              late;

  init_with_hosts (&fixture);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  late = fixture_last_host (&fixture);
  note.cookie = wc_cookie_from_host (3 - late);
  wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
  ck_assert_uint_eq (fixture_find_host (&fixture, late)->flows, 0);
  send_with_opening_cookie (&fixture, 100, 200, late);
  ck_assert_uint_eq (fixture_last_host (&fixture), 3 - late);
  /* What this instance has seen itself is not replaced. */
  note.cookie = wc_cookie_from_host (late);
  wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
  send_with_opening_cookie (&fixture, 100, 400, late);
  ck_assert_uint_eq (fixture_last_host (&fixture), 3 - late);
  fixture_finish (&fixture);
}
END_TEST

/*
 * The opening came as a retransmission, so that another instance may have forwarded the first copy. Guards against
 * peers that are not told the host of such a flow, and against an instance that trusts the cookie in the middle of a
 * flow that it saw only being opened.
 */
START_TEST (retransmitted_opening_is_ambiguous)
{
  static ForwardFixture fixture;
  uint64_t              host;

  init_with_hosts (&fixture);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
  host = fixture_last_host (&fixture);
  send_with_opening_cookie (&fixture, 100, 0, host);
  ck_assert_uint_eq (fixture.announcements, 1);
  ck_assert_uint_eq (fixture.last_announcement.cookie, wc_cookie_from_host (host));
  fixture_syn (&fixture, 101, FIXTURE_ROUTE_PORT, 0);
  send_with_opening_cookie (&fixture, 101, 200, 1);
  ck_assert_uint_eq (fixture.questions, 1);
  /* The same on a port that is used again. */
  fixture_syn_again (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
  fixture_packet (&fixture, 100, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 900 * 1000 * 1000 + 1, 5001, 200,
                  fixture.forwards[fixture.forward_count - 1].cookie);
  ck_assert_uint_eq (fixture.announcements, 2);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against the host of an earlier flow that used the same port. */
START_TEST (answer_is_for_the_same_flow)
{
  static ForwardFixture fixture;
  WcFlowNote            question = { .sequence = 1401, .asks = true };

  init_with_hosts (&fixture);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 0, 0, 1);
  question.key = fixture.forwards[0].key;
  ck_assert_uint_eq (wc_forwarder_answer_flow_note (fixture.forwarder, &question, fixture.now_us).cookie,
                     wc_cookie_from_host (1));
  question.sequence = 900 * 1000 * 1000;
  ck_assert_uint_eq (wc_forwarder_answer_flow_note (fixture.forwarder, &question, fixture.now_us).cookie, 0);
  /* A late statement about that flow does not replace the one that is opened or open now. */
  question.asks = false;
  question.cookie = wc_cookie_from_host (2);
  wc_forwarder_apply_flow_note (fixture.forwarder, &question, fixture.now_us);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 400, 0, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  fixture_syn (&fixture, 101, FIXTURE_ROUTE_PORT, 0);
  question.key.caller_port = 101;
  wc_forwarder_apply_flow_note (fixture.forwarder, &question, fixture.now_us);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HOST_LEARNED], 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Guards against first packets that are dropped, or for which peers are asked, because the flow table has no room for
 * the flow.
 */
START_TEST (opening_without_room_is_remembered)
{
  static ForwardFixture     fixture;
  const WcForwarderSettings settings = { .domain = g_quark_from_string ("a"),
                                         .max_flows = 1,
                                         .flow_lifetime_us = 60 * 1000 * 1000 };

  fixture_init_with (&fixture, &settings);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture.peers = 2;
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 0);
  fixture_syn (&fixture, 101, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (wc_forwarder_get_flow_count (fixture.forwarder), 1);
  send_with_opening_cookie (&fixture, 101, 0, 1);
  ck_assert_uint_eq (fixture.forward_count, 3);
  ck_assert_uint_eq (fixture.questions, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * A caller uses a port again, and this instance knows the earlier flow of it: from a peer, or because its end passed
 * another instance. Guards against packets of the later flow that go to the host of the earlier one, which resets it.
 */
START_TEST (host_of_earlier_flow_is_not_used)
{
  static ForwardFixture fixture;
  WcFlowNote            note = { .key = { 0x64400007, FIXTURE_ROUTE_IP, 100, FIXTURE_ROUTE_PORT },
                                 .sequence = 1001,
                                 .cookie = wc_cookie_from_host (1) };
  const uint32_t        sequence = 900 * 1000 * 1000;

  init_with_hosts (&fixture);
  wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
  fixture_request (&fixture, 101, FIXTURE_ROUTE_PORT, 0, 0, 1);
  for (uint16_t caller = 100; caller <= 101; caller++)
    {
      fixture_packet (&fixture, caller, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, sequence + 200, 5001, 200,
                      wc_cookie_from_host (2));
      ck_assert_uint_eq (fixture_last_host (&fixture), 2);
      fixture_packet (&fixture, caller, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, sequence + 400, 5001, 200,
                      wc_cookie_from_host (1));
      ck_assert_uint_eq (fixture_last_host (&fixture), 2);
    }
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->flows, 0);
  ck_assert_uint_eq (fixture_find_host (&fixture, 2)->flows, 2);
  /* An answer about the later flow is used, although the earlier one is in the table. */
  fixture_packet (&fixture, 100, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 1201, 5001, 200, 0);
  ck_assert_uint_eq (fixture.questions, 1);
  note = fixture.last_question;
  note.asks = false;
  note.cookie = wc_cookie_from_host (1);
  wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against what a peer has stated in place of what the host of the flow itself has said since. */
START_TEST (confirmed_cookie_replaces_learned_host)
{
  static ForwardFixture fixture;
  const WcFlowNote      note = { .key = { 0x64400007, FIXTURE_ROUTE_IP, 100, FIXTURE_ROUTE_PORT },
                                 .sequence = 1001,
                                 .cookie = wc_cookie_from_host (1) };

  init_with_hosts (&fixture);
  wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 0, 2);
  ck_assert_uint_eq (fixture_last_host (&fixture), 2);
  ck_assert_uint_eq (fixture_find_host (&fixture, 2)->flows, 1);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Instances are restarted one after the other, and each is told the hosts of flows by those that were told. Guards
 * against what is told for ever, long after the flow has ended, and against an old statement in place of a new one.
 */
START_TEST (told_hosts_end_with_their_flow)
{
  static ForwardFixture told;
  static ForwardFixture later;
  WcFlowNote            note = { .key = { 0x64400007, FIXTURE_ROUTE_IP, 100, FIXTURE_ROUTE_PORT },
                                 .sequence = 1001,
                                 .cookie = wc_cookie_from_host (1) };
  WcFlowNote            notes[4];

  init_with_hosts (&told);
  init_with_hosts (&later);
  wc_forwarder_apply_flow_note (told.forwarder, &note, told.now_us);
  fixture_advance (&told, 40 * 1000 * 1000);
  ck_assert_uint_eq (wc_forwarder_get_flow_notes (told.forwarder, notes, G_N_ELEMENTS (notes), told.now_us), 1);
  ck_assert_uint_eq (notes[0].age_ms, 40 * 1000);
  wc_forwarder_apply_flow_note (later.forwarder, &notes[0], later.now_us);
  ck_assert_uint_eq (wc_forwarder_get_flow_count (later.forwarder), 1);
  /* A packet does not make the flow younger. */
  fixture_request (&later, 100, FIXTURE_ROUTE_PORT, 200, 0, 1);
  fixture_advance (&later, 10 * 1000 * 1000);
  ck_assert_uint_eq (wc_forwarder_get_flow_notes (later.forwarder, notes, G_N_ELEMENTS (notes), later.now_us), 1);
  ck_assert_uint_eq (notes[0].age_ms, 50 * 1000);
  fixture_advance (&later, 12 * 1000 * 1000);
  ck_assert_uint_eq (wc_forwarder_get_flow_count (later.forwarder), 0);
  notes[0].age_ms = 60 * 1000;
  wc_forwarder_apply_flow_note (later.forwarder, &notes[0], later.now_us);
  ck_assert_uint_eq (wc_forwarder_get_flow_count (later.forwarder), 0);
  /* The next flow of the port is known already. */
  note.sequence = 900 * 1000 * 1000;
  note.cookie = wc_cookie_from_host (2);
  wc_forwarder_apply_flow_note (later.forwarder, &note, later.now_us);
  notes[0].age_ms = 50 * 1000;
  wc_forwarder_apply_flow_note (later.forwarder, &notes[0], later.now_us);
  fixture_packet (&later, 100, FIXTURE_ROUTE_PORT, WC_PACKET_ACK, 900 * 1000 * 1000 + 200, 5001, 200, 0);
  ck_assert_uint_eq (fixture_last_host (&later), 2);
  fixture_finish (&told);
  fixture_finish (&later);
}
END_TEST

/* Guards against flows of peers that fill the table, so that this instance no longer tracks its own. */
START_TEST (learned_flows_leave_room)
{
  static ForwardFixture fixture;
  WcFlowNote            note = { .sequence = 1001, .cookie = wc_cookie_from_host (1) };

  init_with_hosts (&fixture);
  for (uint32_t i = 0; i < 8192; i++)
    {
      note.key = (WcFlowKey){ 0x64400000 + i, FIXTURE_ROUTE_IP, 100, FIXTURE_ROUTE_PORT };
      wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
    }
  ck_assert_uint_eq (wc_forwarder_get_flow_count (fixture.forwarder), 2048);
  /* The answer to a question is used although it cannot be kept. */
  send_with_opening_cookie (&fixture, 101, 200, 2);
  note.key = fixture.last_question.key;
  wc_forwarder_apply_flow_note (fixture.forwarder, &note, fixture.now_us);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, restarted_instance_finds_host_of_flow);
  tcase_add_test (tests, announced_host_outlives_instance);
  tcase_add_test (tests, confirmed_cookie_is_trusted);
  tcase_add_test (tests, first_packet_follows_answer);
  tcase_add_test (tests, cookie_names_chosen_host_after_kill_of_all);
  tcase_add_test (tests, unproven_cookie_is_not_followed);
  tcase_add_test (tests, packet_waits_for_first_peer);
  tcase_add_test (tests, lost_correction_is_repeated);
  tcase_add_test (tests, announcement_corrects_cookie);
  tcase_add_test (tests, leaving_host_is_not_corrected);
  tcase_add_test (tests, late_opening_is_dropped);
  tcase_add_test (tests, announcement_replaces_opening);
  tcase_add_test (tests, retransmitted_opening_is_ambiguous);
  tcase_add_test (tests, answer_is_for_the_same_flow);
  tcase_add_test (tests, opening_without_room_is_remembered);
  tcase_add_test (tests, host_of_earlier_flow_is_not_used);
  tcase_add_test (tests, confirmed_cookie_replaces_learned_host);
  tcase_add_test (tests, told_hosts_end_with_their_flow);
  tcase_add_test (tests, learned_flows_leave_room);
}

int
main (void)
{
  return wc_test_run ("forwarder_inquiry", add_tests);
}
