#include "test_main.h"

#include "forward/placement.h"
#include "forward_fixture.h"

enum
{
  MS = 1000,
  SHEETS_PORT = 9443
};

static void
set_evacuated (ForwardFixture *fixture, const char *domain, bool is_evacuated)
{
  wc_forwarder_set_evacuated (fixture->forwarder, g_quark_from_string (domain), is_evacuated, 9, fixture->now_us);
}

/* Id of the host that a new flow is given to; 0 when it is reset. */
static uint64_t
open_flow (ForwardFixture *fixture, uint16_t caller)
{
  size_t before = fixture->forward_count;

  fixture_syn (fixture, caller, FIXTURE_ROUTE_PORT, 0);
  return fixture->forward_count > before ? fixture_last_host (fixture) : 0;
}

/* Occupies the slots of all hosts by openings, and opens flows until one is held. Return: its caller. */
static uint16_t
hold_opening (ForwardFixture *fixture)
{
  for (uint16_t caller = 200; caller < 300; caller++)
    {
      fixture_syn (fixture, caller, FIXTURE_LATENCY_PORT, 0);
      if (fixture->decisions[WC_DECISION_HELD] > 0)
        return caller;
    }
  ck_abort_msg ("no opening was held");
  return 0;
}

/* Guards against a set that loses a domain when another one is removed, and against a start that moves. */
START_TEST (set_of_domains)
{
  WcEvacuation *evacuation = wc_evacuation_new ();

  ck_assert (wc_evacuation_set (evacuation, 1, true, 10, 100));
  ck_assert (wc_evacuation_set (evacuation, 2, true, 11, 200));
  ck_assert (!wc_evacuation_set (evacuation, 1, true, 12, 300));
  ck_assert_uint_eq (wc_evacuation_find (evacuation, 1)->revision, 12);
  ck_assert_uint_eq (wc_evacuation_find (evacuation, 1)->since_us, 100);
  ck_assert (wc_evacuation_set (evacuation, 1, false, 13, 400));
  ck_assert (!wc_evacuation_set (evacuation, 1, false, 14, 500));
  ck_assert_ptr_null (wc_evacuation_find (evacuation, 1));
  ck_assert_uint_eq (wc_evacuation_get_count (evacuation), 1);
  ck_assert_uint_eq (wc_evacuation_get (evacuation, 0)->domain, 2);
  wc_evacuation_delete (evacuation);
}
END_TEST

/* Guards against new flows to hosts that were known before the evacuation, or were added or written again during it. */
START_TEST (hosts_get_no_new_flows)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  set_evacuated (&fixture, "a", true);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 3, "a", WC_HOST_READY);
  for (uint16_t caller = 100; caller < 120; caller++)
    ck_assert_uint_eq (open_flow (&fixture, caller), 2);
  set_evacuated (&fixture, "a", false);
  ck_assert_uint_ne (open_flow (&fixture, 120), 2);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DOMAIN_EVACUATED], 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_DOMAIN_RESTORED], 1);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against an open flow that is reset or moved because the domain of its host is evacuated. */
START_TEST (open_flows_are_kept)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  ck_assert_uint_eq (open_flow (&fixture, 100), 1);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 0, 0, 1);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  set_evacuated (&fixture, "a", true);
  fixture_acknowledge (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 100, 1);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 100, 1);
  fixture_advance (&fixture, 1000 * MS);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 400, 100, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 1);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Two domains of three are evacuated, and the host of the third is draining, gone, suspected or avoided. Guards against
 * an evacuated host that is chosen as a last resort.
 */
START_TEST (evacuated_host_is_no_fallback)
{
  static ForwardFixture fixture;
  WcPlacement           placement = { .service = g_quark_from_string ("desk"), .domain = g_quark_from_string ("a") };
  const WcHostTable    *hosts;

  fixture_init (&fixture);
  hosts = wc_forwarder_get_hosts (fixture.forwarder);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  fixture_put_host (&fixture, 3, "c", WC_HOST_READY);
  set_evacuated (&fixture, "a", true);
  set_evacuated (&fixture, "b", true);
  placement.avoid = fixture_find_host (&fixture, 3);
  ck_assert_uint_eq (wc_placement_choose (hosts, &placement, fixture.now_us)->record.id, 3);
  fixture_find_host (&fixture, 3)->suspect_deadline_us = fixture.now_us + 1000 * MS;
  ck_assert_uint_eq (open_flow (&fixture, 100), 3);
  ck_assert_uint_eq (wc_placement_sum_capacity (hosts, &placement, WC_PLACEMENT_OWN_DOMAIN, fixture.now_us).slots, 0);
  /* The evacuated hosts are in the grace period too, so that the hosts gone are in the majority. */
  wc_forwarder_set_host_gone (fixture.forwarder, 1, fixture.now_us);
  wc_forwarder_set_host_gone (fixture.forwarder, 2, fixture.now_us);
  ck_assert_uint_eq (open_flow (&fixture, 101), 3);
  wc_forwarder_set_host_gone (fixture.forwarder, 3, fixture.now_us);
  ck_assert_uint_eq (open_flow (&fixture, 102), 3);
  fixture_put_host (&fixture, 3, "c", WC_HOST_DRAINING);
  ck_assert_uint_eq (open_flow (&fixture, 103), 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_NO_HOST], 1);
  ck_assert_uint_eq (fixture.reset_count, 1);
  fixture_finish (&fixture);
}
END_TEST

/*
 * A ready host of a domain in use, and a host of it that is gone while all hosts of another, evacuated domain are gone.
 * Guards against hosts of an evacuated domain that make a loss of store entries look more or less widespread.
 */
START_TEST (evacuated_hosts_do_not_count_as_lost_entries)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  for (uint64_t id = 1; id <= 3; id++)
    fixture_put_host (&fixture, id, "a", WC_HOST_READY);
  for (uint64_t id = 11; id <= 15; id++)
    fixture_put_host (&fixture, id, "b", WC_HOST_READY);
  set_evacuated (&fixture, "b", true);
  for (uint64_t id = 11; id <= 15; id++)
    wc_forwarder_set_host_gone (fixture.forwarder, id, fixture.now_us);
  wc_forwarder_set_host_gone (fixture.forwarder, 3, fixture.now_us);
  for (uint16_t caller = 100; caller < 120; caller++)
    ck_assert_uint_ne (open_flow (&fixture, caller), 3);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against an opening that is forwarded a second time to a host that was evacuated since the first. */
START_TEST (opening_is_sent_again_elsewhere)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  for (uint64_t id = 1; id <= 4; id++)
    fixture_put_host (&fixture, id, "a", WC_HOST_READY);
  ck_assert_uint_le (open_flow (&fixture, 100), 4);
  fixture_put_host (&fixture, 5, "b", WC_HOST_READY);
  set_evacuated (&fixture, "a", true);
  fixture_advance (&fixture, 50 * MS);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_PLACED_AGAIN], 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 5);
  fixture_advance (&fixture, 150 * MS);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 5);
  fixture_finish (&fixture);
}
END_TEST

/*
 * All domains are evacuated after an opening was forwarded. Guards against a reset of a flow that its host may have
 * accepted meanwhile, and against a caller that retransmits until it gives up.
 */
START_TEST (forwarded_opening_is_reset_on_retransmission)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  ck_assert_uint_eq (open_flow (&fixture, 100), 1);
  set_evacuated (&fixture, "a", true);
  set_evacuated (&fixture, "b", true);
  fixture_advance (&fixture, 60 * MS);
  ck_assert_uint_eq (fixture.reset_count, 0);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->busy_flows, 0);
  fixture_advance (&fixture, 140 * MS);
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (fixture.reset_count, 1);
  ck_assert_uint_eq (fixture.forward_count, 1);
  fixture_finish (&fixture);
}
END_TEST

/*
 * A retransmitted opening arrives late, after the flow was opened and all domains were evacuated. Guards against a
 * reset of the open flow, and against a later opening from the same port that is taken for such a retransmission.
 */
START_TEST (late_retransmission_keeps_open_flow)
{
  static ForwardFixture fixture;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  ck_assert_uint_eq (open_flow (&fixture, 100), 1);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 0, 0, 1);
  set_evacuated (&fixture, "a", true);
  fixture.now_us += 300 * MS;
  fixture_syn (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (fixture.reset_count, 0);
  fixture_request (&fixture, 100, FIXTURE_ROUTE_PORT, 200, 100, 1);
  ck_assert_uint_eq (fixture.forward_count, 3);
  ck_assert_uint_eq (fixture_find_host (&fixture, 1)->flows, 1);
  fixture.now_us += 2000 * MS;
  fixture_syn_again (&fixture, 100, FIXTURE_ROUTE_PORT, 1);
  ck_assert_uint_eq (fixture.reset_count, 1);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Idle hosts appear in both domains. Guards against held openings that are forwarded to a host of their own domain
 * after that was evacuated.
 */
START_TEST (held_opening_goes_elsewhere)
{
  static ForwardFixture fixture;
  size_t                before;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  hold_opening (&fixture);
  before = fixture.forward_count;
  set_evacuated (&fixture, "a", true);
  fixture_put_host (&fixture, 3, "b", WC_HOST_READY);
  fixture_put_host (&fixture, 4, "a", WC_HOST_READY);
  wc_forwarder_run_timers (fixture.forwarder, fixture.now_us);
  ck_assert_uint_eq (fixture.forward_count, before + 1);
  ck_assert_uint_eq (fixture_last_host (&fixture), 3);
  fixture_finish (&fixture);
}
END_TEST

/*
 * All domains of the service are evacuated while openings are held. Guards against openings that wait until their
 * deadline, or are rejected as overload.
 */
START_TEST (openings_without_host_are_reset)
{
  static ForwardFixture fixture;
  uint32_t              held;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "b", WC_HOST_READY);
  hold_opening (&fixture);
  held = fixture.decisions[WC_DECISION_HELD];
  set_evacuated (&fixture, "a", true);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_NO_HOST], 0);
  set_evacuated (&fixture, "b", true);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_NO_HOST], held);
  ck_assert_uint_eq (fixture.reset_count, held);
  ck_assert_uint_eq (open_flow (&fixture, 100), 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_NO_HOST], held + 1);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_OVERLOAD], 0);
  set_evacuated (&fixture, "b", false);
  ck_assert_uint_eq (open_flow (&fixture, 101), 2);
  fixture_finish (&fixture);
}
END_TEST

/*
 * Openings of a service wait for hosts that are full, and all domains of another service are evacuated. Guards against
 * openings of the latter that are queued behind the former.
 */
START_TEST (opening_without_host_is_not_queued)
{
  static ForwardFixture fixture;
  WcRouteTable         *routes = fixture_routes (2);
  const WcRoute         route = {
            .ip = FIXTURE_ROUTE_IP,
            .port = SHEETS_PORT,
            .target_latency_ms = 150,
            .service_count = 1,
            .services = { { g_quark_from_string ("sheets"), 1 } },
  };
  const WcHostRecord sheets = {
    .id = 9,
    .service = g_quark_from_string ("sheets"),
    .domain = g_quark_from_string ("b"),
    .address = { .ip = { 10, 2, 0, 9 }, .family = 4, .port = 8080 },
    .slots = 2,
  };

  fixture_init (&fixture);
  wc_route_table_add (routes, &route);
  wc_forwarder_set_routes (fixture.forwarder, routes, fixture.now_us);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  wc_forwarder_put_host (fixture.forwarder, &sheets, 2, fixture.now_us);
  set_evacuated (&fixture, "b", true);
  hold_opening (&fixture);
  fixture.decisions[WC_DECISION_HELD] = 0;
  fixture_syn (&fixture, 100, SHEETS_PORT, 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_HELD], 0);
  ck_assert_uint_eq (fixture.decisions[WC_DECISION_REJECTED_NO_HOST], 1);
  ck_assert_uint_eq (fixture.reset_count, 1);
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, set_of_domains);
  tcase_add_test (tests, hosts_get_no_new_flows);
  tcase_add_test (tests, open_flows_are_kept);
  tcase_add_test (tests, evacuated_host_is_no_fallback);
  tcase_add_test (tests, evacuated_hosts_do_not_count_as_lost_entries);
  tcase_add_test (tests, opening_is_sent_again_elsewhere);
  tcase_add_test (tests, forwarded_opening_is_reset_on_retransmission);
  tcase_add_test (tests, late_retransmission_keeps_open_flow);
  tcase_add_test (tests, held_opening_goes_elsewhere);
  tcase_add_test (tests, openings_without_host_are_reset);
  tcase_add_test (tests, opening_without_host_is_not_queued);
}

int
main (void)
{
  return wc_test_run ("evacuation", add_tests);
}
