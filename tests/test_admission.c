#include "test_main.h"

#include <string.h>

#include <glib.h>

#include "forward/admission.h"

enum
{
  MS = 1000,
  NOW_US = 10 * 1000 * MS,
  MANY = 1000
};

static const WcRoute ROUTE = { .priority = 2, .target_latency_ms = 150, .time_limit_ms = 2000 };

/* Opening from a caller's port that was transmitted @retransmissions times before. */
static WcHeldOpening
opening (const WcRoute *route, uint16_t port, uint32_t retransmissions)
{
  static const uint8_t bytes[31];
  const WcPacket       packet = {
          .key = { 1, 2, port, 443 },
          .acknowledged = retransmissions,
          .size_bytes = sizeof bytes,
          .bytes = bytes,
  };
  WcHeldOpening held;

  ck_assert (wc_held_opening_init (&held, route, &packet, 0, NOW_US));
  held.service = 5;
  return held;
}

static void
add (WcAdmissionQueue *queue, const WcRoute *route, uint16_t port, uint32_t retransmissions)
{
  const WcHeldOpening held = opening (route, port, retransmissions);
  WcHeldOpening       rejected;

  ck_assert (wc_admission_queue_add (queue, &held, MANY, NOW_US, &rejected));
}

static uint16_t
take_best (WcAdmissionQueue *queue)
{
  WcHeldOpening *best = wc_admission_queue_get_best (queue, NULL, 0, NOW_US);
  uint16_t       port = best ? best->opening.packet.key.caller_port : 0;

  if (best)
    wc_admission_queue_remove (queue, best);
  return port;
}

/* Guards against retransmitted openings that are treated as new although their callers have been waiting. */
START_TEST (sent_time_follows_retransmission_count)
{
  ck_assert_uint_eq (opening (&ROUTE, 1, 0).sent_us, NOW_US);
  ck_assert_uint_eq (opening (&ROUTE, 1, 1).sent_us, NOW_US - 200 * MS);
  ck_assert_uint_eq (opening (&ROUTE, 1, 2).sent_us, NOW_US - 600 * MS);
  ck_assert_uint_eq (opening (&ROUTE, 1, 77).sent_us, NOW_US - 600 * MS);
  ck_assert_uint_eq (opening (&ROUTE, 1, 1).target_deadline_us, NOW_US - 50 * MS);
}
END_TEST

/*
 * Guards against requests that could be in time but wait behind late ones, and against requests of high priority that
 * wait behind those of low priority.
 */
START_TEST (order_is_in_time_then_priority_then_age)
{
  const WcRoute     urgent = { .priority = 1, .target_latency_ms = 150, .time_limit_ms = 2000 };
  WcAdmissionQueue *queue = wc_admission_queue_new ();

  add (queue, &ROUTE, 1, 1);
  add (queue, &ROUTE, 2, 2);
  add (queue, &urgent, 3, 1);
  add (queue, &ROUTE, 4, 0);
  add (queue, &urgent, 5, 0);
  ck_assert_uint_eq (take_best (queue), 5);
  ck_assert_uint_eq (take_best (queue), 4);
  ck_assert_uint_eq (take_best (queue), 3);
  ck_assert_uint_eq (take_best (queue), 2);
  ck_assert_uint_eq (take_best (queue), 1);
  ck_assert_uint_eq (take_best (queue), 0);
  wc_admission_queue_delete (queue);
}
END_TEST

/* Guards against openings that wait because the hosts of another service have no capacity. */
START_TEST (blocked_services_are_skipped)
{
  WcAdmissionQueue *queue = wc_admission_queue_new ();
  const uint32_t    full_services[WC_ADMISSION_MAX_FULL_SERVICES] = { 5 };
  WcHeldOpening     other = opening (&ROUTE, 2, 2);
  WcHeldOpening     rejected;

  add (queue, &ROUTE, 1, 0);
  other.service = 6;
  ck_assert (wc_admission_queue_add (queue, &other, MANY, NOW_US, &rejected));
  ck_assert_uint_eq (wc_admission_queue_get_best (queue, full_services, 1, NOW_US)->opening.packet.key.caller_port, 2);
  wc_admission_queue_delete (queue);
}
END_TEST

/* Guards against callers that are held until they give up although the queue is longer than can be served by then. */
START_TEST (overflow_rejects_last_in_order)
{
  WcAdmissionQueue *queue = wc_admission_queue_new ();
  WcHeldOpening     fresh = opening (&ROUTE, 3, 0);
  WcHeldOpening     late = opening (&ROUTE, 4, 1);
  WcHeldOpening     rejected;

  add (queue, &ROUTE, 1, 1);
  add (queue, &ROUTE, 2, 2);
  ck_assert (!wc_admission_queue_add (queue, &fresh, 2, NOW_US, &rejected));
  ck_assert_uint_eq (rejected.opening.packet.key.caller_port, 1);
  ck_assert (!wc_admission_queue_add (queue, &late, 2, NOW_US, &rejected));
  ck_assert_uint_eq (rejected.opening.packet.key.caller_port, 4);
  ck_assert_uint_eq (wc_admission_queue_get_count (queue), 2);
  wc_admission_queue_delete (queue);
}
END_TEST

/* Guards against a queue that grows without bound, and against a service whose flood displaces all others. */
START_TEST (queue_is_bounded)
{
  WcAdmissionQueue *queue = wc_admission_queue_new ();
  WcHeldOpening     rejected;

  for (uint16_t port = 1; port <= 5000; port++)
    {
      const WcHeldOpening held = opening (&ROUTE, port, 0);

      (void)wc_admission_queue_add (queue, &held, 100000, NOW_US, &rejected);
    }
  ck_assert_uint_le (wc_admission_queue_get_count (queue), 256);
  wc_admission_queue_delete (queue);
}
END_TEST

/*
 * Guards against openings that are held beyond the callers' time limit, or, on a route without a time limit, beyond the
 * time after which a caller gives up an opening.
 */
START_TEST (hold_deadline_follows_time_limit)
{
  const WcRoute     short_limit = { .target_latency_ms = 120, .time_limit_ms = 500 };
  const WcRoute     no_limit = { .target_latency_ms = 120 };
  WcAdmissionQueue *queue = wc_admission_queue_new ();

  add (queue, &short_limit, 1, 1);
  add (queue, &no_limit, 2, 0);
  ck_assert_ptr_null (wc_admission_queue_get_expired (queue, NOW_US + 279 * MS));
  ck_assert_uint_eq (wc_admission_queue_get_expired (queue, NOW_US + 280 * MS)->opening.packet.key.caller_port, 1);
  wc_admission_queue_remove (queue, wc_admission_queue_find (queue, &(const WcFlowKey){ 1, 2, 1, 443 }));
  ck_assert_ptr_null (wc_admission_queue_get_expired (queue, NOW_US + 1199 * MS));
  ck_assert_uint_eq (wc_admission_queue_get_expired (queue, NOW_US + 1200 * MS)->opening.packet.key.caller_port, 2);
  wc_admission_queue_delete (queue);
}
END_TEST

/* Guards against openings that fill the queues of hosts, and against openings that are held while a host is idle. */
START_TEST (openings_wait_for_free_slots)
{
  const WcRoute       unlimited = { .priority = 2 };
  const WcHostRecord  record = { .id = 1, .service = 5, .domain = 3, .state = WC_HOST_READY, .slots = 2 };
  const WcPlacement   placement = { .service = 5, .domain = 3 };
  WcHostTable        *hosts = wc_host_table_new (1000);
  WcHost             *host = wc_host_table_put (hosts, &record, 1, NOW_US);
  const WcHeldOpening held = opening (&ROUTE, 1, 1);
  const WcHeldOpening other = opening (&unlimited, 2, 0);

  ck_assert (wc_admission_admits (&held, hosts, host, &placement, NOW_US));
  host->busy_flows = 4;
  host->last_seen_us = NOW_US;
  ck_assert (wc_admission_admits (&held, hosts, host, &placement, NOW_US));
  host->busy_flows = 5;
  ck_assert (!wc_admission_admits (&held, hosts, host, &placement, NOW_US));
  ck_assert (wc_admission_admits (&other, hosts, host, &placement, NOW_US));
  wc_host_table_delete (hosts);
}
END_TEST

/* Guards against an instance that sees free slots at single hosts while the hosts of the domain together have none. */
START_TEST (free_slots_are_counted_per_domain)
{
  const WcPlacement   placement = { .service = 5, .domain = 3, .domain_peers = 3 };
  WcHostTable        *hosts = wc_host_table_new (1000);
  const WcHeldOpening held = opening (&ROUTE, 1, 1);
  WcHost             *host = NULL;

  for (uint64_t id = 1; id <= 5; id++)
    {
      const WcHostRecord record = { .id = id, .service = 5, .domain = 3, .state = WC_HOST_READY, .slots = 2 };

      host = wc_host_table_put (hosts, &record, 1, NOW_US);
      host->busy_flows = id <= 4 ? 1 : 0;
      host->last_seen_us = NOW_US;
    }
  ck_assert (wc_admission_admits (&held, hosts, host, &placement, NOW_US));
  for (uint64_t id = 1; id <= 5; id++)
    wc_host_table_find (hosts, id)->busy_flows = id <= 2 ? 2 : 1;
  ck_assert (!wc_admission_admits (&held, hosts, host, &placement, NOW_US));
  wc_host_table_delete (hosts);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, sent_time_follows_retransmission_count);
  tcase_add_test (tests, order_is_in_time_then_priority_then_age);
  tcase_add_test (tests, blocked_services_are_skipped);
  tcase_add_test (tests, overflow_rejects_last_in_order);
  tcase_add_test (tests, queue_is_bounded);
  tcase_add_test (tests, hold_deadline_follows_time_limit);
  tcase_add_test (tests, openings_wait_for_free_slots);
  tcase_add_test (tests, free_slots_are_counted_per_domain);
}

int
main (void)
{
  return wc_test_run ("admission", add_tests);
}
