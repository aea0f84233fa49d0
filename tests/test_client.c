#include <check.h>
#include <stdlib.h>

#include "emulator/fake_fleet.h"

#include "test_main.h"

enum
{
  SECOND_US = 1000000
};

static uint64_t
start_call (WcFakeFleet *fleet, bool is_order, uint64_t deadline_us)
{
  WcClientRequest request = { .method = "GET", .path = "/x", .deadline_us = deadline_us };
  uint64_t        flow = wc_client_open (fleet->client, fleet->now_us, "order-desk", "dealer-7");
  uint64_t        call;

  call = is_order ? wc_client_order (fleet->client, fleet->now_us, flow, &request, NULL)
                  : wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL);
  ck_assert_uint_ne (call, 0);
  return call;
}

static uint32_t
count_order_runs (WcFakeFleet *fleet)
{
  GHashTableIter iter;
  void          *value;
  uint32_t       runs = 0;

  g_hash_table_iter_init (&iter, fleet->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    runs += ((WcFakeOrder *)value)->runs;
  return runs;
}

/* Guards against answers that are corrupted or never complete on a network that loses, duplicates and reorders
 * datagrams. */
START_TEST (test_complete_answer_on_lossy_network)
{
  static const uint32_t SIZES[] = { 0, 1, 1100, 1101, 17 * 1100, 200000 };

  for (size_t i = 0; i < G_N_ELEMENTS (SIZES); i++)
    {
      WcFakeFleet *fleet = wc_fake_fleet_new ((uint32_t)_i * 10 + (uint32_t)i, NULL);

      fleet->loss = 0.1;
      fleet->duplicate = 0.2;
      fleet->jitter_us = 30000;
      fleet->answer_bytes = SIZES[i];
      start_call (fleet, false, fleet->now_us + 60 * (uint64_t)SECOND_US);
      wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
      ck_assert_uint_eq (fleet->finished, 1);
      ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
      ck_assert_uint_eq (fleet->http_status, 200);
      ck_assert (wc_fake_fleet_answer_is_intact (fleet));
      ck_assert_uint_le (fleet->max_datagram_bytes, WC_DATAGRAM_MAX_BYTES);
      ck_assert_uint_le (fleet->max_fetch_parts, 64);
      wc_fake_fleet_delete (fleet);
    }
}
END_TEST

/* Guards against a long answer that the client does not release: it would occupy the holder's memory. */
START_TEST (test_releases_long_answer)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->answer_bytes = 150000;
  start_call (fleet, false, fleet->now_us + 10 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 2);
  ck_assert_uint_eq (fleet->releases, 1);
  ck_assert_uint_eq (fleet->requests, 1);
  ck_assert_uint_eq (wc_client_get_call_count (fleet->client), 0);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against reassembly of an answer that exceeds the caller's size limit, and against its not being released. */
START_TEST (test_answer_over_limit)
{
  WcFakeFleet   *fleet;
  WcClientConfig config;

  wc_client_config_init (&config);
  config.answer_max_bytes = 5000;
  fleet = wc_fake_fleet_new (1, &config);
  fleet->answer_bytes = 5001;
  start_call (fleet, false, fleet->now_us + SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE_INCOMPLETE);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 2);
  ck_assert_uint_ge (fleet->releases, 1);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a request that fails because the holder of its answer stops responding: it must run again. */
START_TEST (test_rerun_after_holder_timeout)
{
  WcFakeFleet *fleet = wc_fake_fleet_new ((uint32_t)_i, NULL);
  uint64_t     call;
  uint64_t     first_id;

  fleet->answer_bytes = 100000;
  fleet->lost_answer = 1;
  call = start_call (fleet, false, fleet->now_us + 20 * (uint64_t)SECOND_US);
  first_id = wc_client_get_request_id (fleet->client, call);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  ck_assert (wc_fake_fleet_answer_is_intact (fleet));
  ck_assert_uint_ne (fleet->result_request_id, first_id);
  ck_assert_uint_eq (g_hash_table_size (fleet->request_answers), 2);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against an order that runs again, or is reported as UNKNOWN, although only its answer was lost. */
START_TEST (test_order_answer_lost_with_holder)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->answer_bytes = 100000;
  fleet->drops_fetches = true;
  start_call (fleet, true, fleet->now_us + 4 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE_INCOMPLETE);
  ck_assert_uint_eq (fleet->http_status, 200);
  ck_assert_uint_eq (g_hash_table_size (fleet->orders), 1);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against an order that runs twice, with two tickets, when TICKET and ORDER are retransmitted. */
START_TEST (test_order_runs_once)
{
  WcFakeFleet *fleet = wc_fake_fleet_new ((uint32_t)_i, NULL);

  fleet->loss = 0.3;
  fleet->duplicate = 0.3;
  fleet->jitter_us = 200000;
  fleet->order_run_us = 400000;
  start_call (fleet, true, fleet->now_us + 60 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  wc_fake_fleet_run (fleet, fleet->now_us + 5 * (uint64_t)SECOND_US, 2);
  ck_assert_uint_eq (fleet->finished, 1);
  ck_assert_uint_eq (count_order_runs (fleet), 1);
  ck_assert_uint_eq (g_hash_table_size (fleet->orders), 1);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against NOT_RUN for an order that may have reached the fleet. */
START_TEST (test_unanswered_order_is_unknown)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->drops_orders = true;
  start_call (fleet, true, fleet->now_us + 3 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_UNKNOWN);
  ck_assert_uint_gt (fleet->order_packets, 1);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against UNKNOWN for an order that the client never sent, for lack of a ticket or of an open flow. */
START_TEST (test_unsent_order_is_not_run)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->drops_tickets = _i == 0;
  fleet->drops_opens = _i == 1;
  start_call (fleet, true, fleet->now_us + 3 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_NOT_RUN);
  ck_assert_uint_eq (fleet->order_packets, 0);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against an outcome of an order that does not match the fleet's result. BUSY and INVALID do not tell whether an
 * order that was sent has run, so they must not lead to NOT_RUN. */
START_TEST (test_order_results)
{
  static const struct
  {
    Wc__InstancePacket__Result fleet_result;
    WcClientResult             expected;
  } CASES[] = {
    { WC__INSTANCE_PACKET__RESULT__NOT_RUN, WC_CLIENT_NOT_RUN },
    { WC__INSTANCE_PACKET__RESULT__UNKNOWN, WC_CLIENT_UNKNOWN },
    { WC__INSTANCE_PACKET__RESULT__BUSY, WC_CLIENT_UNKNOWN },
    { WC__INSTANCE_PACKET__RESULT__INVALID, WC_CLIENT_UNKNOWN },
  };
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->order_result = CASES[_i].fleet_result;
  start_call (fleet, true, fleet->now_us + 5 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, CASES[_i].expected);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against an answer that is no longer stored (no parts) being taken for an empty answer (one part). */
START_TEST (test_order_without_stored_answer)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->answer_is_not_stored = true;
  start_call (fleet, true, fleet->now_us + 5 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE_INCOMPLETE);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a request that is rejected forever, and against one that fails before the limit of rejections. */
START_TEST (test_busy_request)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->request_result = WC__INSTANCE_PACKET__RESULT__BUSY;
  start_call (fleet, false, fleet->now_us + 60 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_BUSY);
  ck_assert_uint_eq (fleet->requests, 4);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a rejected request that is not retried after the fleet has recovered. */
START_TEST (test_busy_request_recovers)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  fleet->request_result = WC__INSTANCE_PACKET__RESULT__BUSY;
  start_call (fleet, false, fleet->now_us + 60 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, fleet->now_us + 50000, 1);
  fleet->request_result = WC__INSTANCE_PACKET__RESULT__DONE;
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against an unanswered request that does not end at its deadline, and against retransmissions that do not
 * increment the attempt number. */
START_TEST (test_request_times_out)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);

  start_call (fleet, false, fleet->now_us + 3 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, fleet->now_us + 5000, 1);
  fleet->loss = 0;
  fleet->request_result = WC__INSTANCE_PACKET__RESULT__NO_RESULT;
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_TIMED_OUT);
  ck_assert_uint_ge (fleet->max_attempt, 3);
  ck_assert_uint_eq (wc_client_get_due_us (fleet->client), UINT64_MAX);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against callers that prolong an overload: when an owner answers late, its requests must not all run on
 * other owners too. Answered requests refill the budget. */
START_TEST (test_reroute_budget)
{
  WcClientRequest request = { .method = "GET", .path = "/x" };
  WcClientConfig  config;
  WcFakeFleet    *fleet;
  uint64_t        flow;

  wc_client_config_init (&config);
  config.reroute_budget = 5;
  config.reroute_percent = 20;
  fleet = wc_fake_fleet_new (1, &config);
  flow = wc_client_open (fleet->client, fleet->now_us, "catalogue", "dealer-7");
  fleet->request_result = WC__INSTANCE_PACKET__RESULT__NO_RESULT;
  request.deadline_us = fleet->now_us + 10 * (uint64_t)SECOND_US;
  for (int i = 0; i < 50; i++)
    wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 50);
  ck_assert_uint_gt (fleet->requests, 300);
  ck_assert_uint_eq (fleet->rerouted, 5);

  fleet->request_result = WC__INSTANCE_PACKET__RESULT__DONE;
  request.deadline_us = fleet->now_us + SECOND_US;
  for (int i = 0; i < 10; i++)
    wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 60);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  fleet->request_result = WC__INSTANCE_PACKET__RESULT__NO_RESULT;
  request.deadline_us = fleet->now_us + 10 * (uint64_t)SECOND_US;
  wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 61);
  ck_assert_uint_eq (fleet->rerouted, 7);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against use of an earlier token after an answer brought a new one, as when the fleet has moved the flow. */
START_TEST (test_token_refresh)
{
  WcClientRequest request = { .method = "GET", .path = "/x" };
  WcFakeFleet    *fleet = wc_fake_fleet_new (1, NULL);
  uint64_t        flow = wc_client_open (fleet->client, fleet->now_us, "catalogue", "dealer-7");

  fleet->refreshes_tokens = true;
  for (uint32_t i = 1; i <= 3; i++)
    {
      request.deadline_us = fleet->now_us + SECOND_US;
      ck_assert_uint_ne (wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL), 0);
      wc_fake_fleet_run (fleet, UINT64_MAX - 1, i);
      ck_assert_uint_eq (fleet->last_token, i);
    }
  ck_assert_uint_eq (fleet->opens, 1);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a retransmission without a token while the flow is being reopened: the fleet would reject the request
 * as INVALID. */
START_TEST (test_wait_for_reopened_flow)
{
  WcClientRequest request = { .method = "GET", .path = "/x" };
  WcFakeFleet    *fleet = wc_fake_fleet_new (1, NULL);
  uint64_t        flow = wc_client_open (fleet->client, fleet->now_us, "order-desk", "dealer-7");

  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  request.deadline_us = fleet->now_us + 10 * (uint64_t)SECOND_US;
  fleet->loss = 1;
  wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL);
  fleet->loss = 0;
  fleet->drops_opens = true;
  fleet->min_valid_token = fleet->token_number + 1;
  wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL);
  wc_fake_fleet_run (fleet, fleet->now_us + 3 * (uint64_t)SECOND_US, 1);
  ck_assert_uint_eq (fleet->finished, 0);
  fleet->drops_opens = false;
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 2);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a request or an order that never completes because its token has expired. */
START_TEST (test_reopens_on_expired_token)
{
  WcClientRequest request = { .method = "POST", .path = "/orders" };
  WcFakeFleet    *fleet = wc_fake_fleet_new (1, NULL);
  uint64_t        flow = wc_client_open (fleet->client, fleet->now_us, "order-desk", "dealer-7");

  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  fleet->min_valid_token = 2;
  request.deadline_us = fleet->now_us + 10 * (uint64_t)SECOND_US;
  wc_client_request (fleet->client, fleet->now_us, flow, &request, NULL);
  wc_client_order (fleet->client, fleet->now_us, flow, &request, NULL);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 2);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  ck_assert_uint_eq (fleet->opens, 2);
  ck_assert_uint_eq (count_order_runs (fleet), 1);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a stream that loses, repeats or reorders events, or that ends when there are no events for a while. */
START_TEST (test_stream_resumes)
{
  WcFakeFleet *fleet = wc_fake_fleet_new ((uint32_t)_i, NULL);
  uint64_t     flow = wc_client_open (fleet->client, fleet->now_us, "dispatch", "crew-1");
  uint64_t     call;

  fleet->loss = 0.1;
  fleet->duplicate = 0.2;
  fleet->jitter_us = 50000;
  call = wc_client_poll (fleet->client, fleet->now_us, flow, 0, NULL);
  ck_assert_uint_ne (call, 0);
  for (uint32_t i = 0; i < 200; i++)
    {
      fleet->last_event += i % 3;
      if (i == 100)
        fleet->min_valid_token = fleet->token_number + 1;
      wc_fake_fleet_run (fleet, fleet->now_us + 100000, 1);
    }
  wc_fake_fleet_run (fleet, fleet->now_us + 20 * (uint64_t)SECOND_US, 1);
  ck_assert_uint_eq (fleet->finished, 0);
  ck_assert_uint_eq (fleet->events_cursor, fleet->last_event);
  ck_assert_uint_eq (fleet->events_seen, fleet->last_event);
  ck_assert_uint_eq (fleet->event_gaps, 0);
  ck_assert_uint_eq (fleet->event_repeats, 0);
  ck_assert_uint_gt (fleet->empty_polls, 0);
  wc_client_cancel (fleet->client, fleet->now_us, call);
  ck_assert_uint_eq (wc_client_get_due_us (fleet->client), UINT64_MAX);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against datagrams above the maximum size: a request that does not fit must fail with TOO_LARGE. */
START_TEST (test_request_too_large)
{
  WcFakeFleet    *fleet = wc_fake_fleet_new (1, NULL);
  uint8_t         body[WC_DATAGRAM_MAX_BYTES] = { 1 };
  WcClientRequest request = { .method = "POST", .path = "/x", .body = body, .deadline_us = UINT64_MAX / 2 };
  WcError         error = { 0 };
  uint64_t        flow = wc_client_open (fleet->client, fleet->now_us, "catalogue", "dealer-7");

  for (request.body_bytes = 0; request.body_bytes < sizeof body; request.body_bytes++)
    if (wc_client_order (fleet->client, fleet->now_us, flow, &request, &error) == 0)
      break;
  ck_assert_int_eq (error.status, WC_STATUS_TOO_LARGE);
  ck_assert_uint_gt (request.body_bytes, 1000);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US / 2, (uint32_t)request.body_bytes);
  ck_assert_uint_eq (fleet->finished, request.body_bytes);
  ck_assert_uint_le (fleet->max_datagram_bytes, WC_DATAGRAM_MAX_BYTES);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against NOT_RUN for a cancelled order that may have run. */
START_TEST (test_cancel)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);
  uint64_t     unsent;
  uint64_t     sent;

  fleet->drops_orders = true;
  sent = start_call (fleet, true, fleet->now_us + 30 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  fleet->drops_tickets = true;
  unsent = start_call (fleet, true, fleet->now_us + 30 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  ck_assert_int_eq (wc_client_cancel (fleet->client, fleet->now_us, unsent), WC_CLIENT_NOT_RUN);
  ck_assert_int_eq (wc_client_cancel (fleet->client, fleet->now_us, sent), WC_CLIENT_UNKNOWN);
  wc_fake_fleet_run (fleet, fleet->now_us + 60 * (uint64_t)SECOND_US, 1);
  ck_assert_uint_eq (fleet->finished, 0);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against reassembly of one answer from the parts of two runs, and against a late result of another attempt that
 * ends a request or an order while its answer is being fetched. */
START_TEST (test_packets_of_other_run_while_fetching)
{
  static const Wc__InstancePacket__Result RESULTS[] = { WC__INSTANCE_PACKET__RESULT__NOT_RUN,
                                                        WC__INSTANCE_PACKET__RESULT__UNKNOWN,
                                                        WC__INSTANCE_PACKET__RESULT__BUSY,
                                                        WC__INSTANCE_PACKET__RESULT__INVALID };
  WcFakeFleet                            *fleet = wc_fake_fleet_new (1, NULL);
  Wc__InstancePacket                      packet = WC__INSTANCE_PACKET__INIT;
  Wc__AnswerRef                           other_ref = WC__ANSWER_REF__INIT;
  uint8_t                                 foreign_part[WC_ANSWER_PART_BYTES] = { 0 };
  uint64_t                                call;

  fleet->answer_bytes = 100000;
  fleet->drops_fetches = true;
  call = start_call (fleet, _i == 1, fleet->now_us + 60 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US / 10, 1);
  packet.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  packet.request_id = wc_client_get_request_id (fleet->client, call);
  for (size_t i = 0; i < G_N_ELEMENTS (RESULTS); i++)
    {
      packet.result = RESULTS[i];
      wc_fake_fleet_inject (fleet, &packet);
    }
  other_ref.instance = 2;
  other_ref.answer = 77;
  packet.result = WC__INSTANCE_PACKET__RESULT__DONE;
  packet.answer = &other_ref;
  packet.total_bytes = fleet->answer_bytes;
  packet.part_count = (fleet->answer_bytes + WC_ANSWER_PART_BYTES - 1) / WC_ANSWER_PART_BYTES;
  packet.data.data = foreign_part;
  packet.data.len = sizeof foreign_part;
  for (packet.part = 0; packet.part < packet.part_count; packet.part++)
    wc_fake_fleet_inject (fleet, &packet);
  ck_assert_uint_eq (fleet->finished, 0);
  fleet->drops_fetches = false;
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  ck_assert (wc_fake_fleet_answer_is_intact (fleet));
  ck_assert_uint_eq (count_order_runs (fleet), _i == 1 ? 1 : 0);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against events that are delivered twice when an instance that lags behind answers from an earlier cursor. */
START_TEST (test_events_before_cursor)
{
  WcFakeFleet       *fleet = wc_fake_fleet_new (1, NULL);
  Wc__InstancePacket packet = WC__INSTANCE_PACKET__INIT;
  uint64_t           flow = wc_client_open (fleet->client, fleet->now_us, "dispatch", "crew-1");
  uint64_t           call = wc_client_poll (fleet->client, fleet->now_us, flow, 0, NULL);

  fleet->last_event = 5;
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  ck_assert_uint_eq (fleet->events_seen, 5);
  packet.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  packet.result = WC__INSTANCE_PACKET__RESULT__DONE;
  packet.request_id = wc_client_get_request_id (fleet->client, call);
  packet.http_status = 200;
  packet.part_count = 1;
  packet.data.data = (uint8_t *)"4\n5\n";
  packet.data.len = 4;
  packet.total_bytes = 4;
  packet.cursor = 5;
  wc_fake_fleet_inject (fleet, &packet);
  fleet->last_event = 6;
  wc_fake_fleet_run (fleet, fleet->now_us + 5 * (uint64_t)SECOND_US, 1);
  ck_assert_uint_eq (fleet->events_seen, 6);
  ck_assert_uint_eq (fleet->event_repeats, 0);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a stream that ends at the first INVALID, which an instance with an older register may send, and
 * against one that does not end after repeated INVALID results. */
START_TEST (test_invalid_stream)
{
  WcFakeFleet       *fleet = wc_fake_fleet_new (1, NULL);
  Wc__InstancePacket packet = WC__INSTANCE_PACKET__INIT;
  uint64_t           flow = wc_client_open (fleet->client, fleet->now_us, "dispatch", "crew-1");
  uint64_t           call = wc_client_poll (fleet->client, fleet->now_us, flow, 0, NULL);

  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US / 10, 1);
  packet.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  packet.result = WC__INSTANCE_PACKET__RESULT__INVALID;
  packet.request_id = wc_client_get_request_id (fleet->client, call);
  wc_fake_fleet_inject (fleet, &packet);
  ck_assert_uint_eq (fleet->finished, 0);
  for (int i = 0; i < 10; i++)
    wc_fake_fleet_inject (fleet, &packet);
  ck_assert_uint_eq (fleet->finished, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_INVALID);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a flow that is reopened for each late EXPIRED_TOKEN result for its earlier token. */
START_TEST (test_late_expired_token)
{
  WcClientRequest    request = { .method = "GET", .path = "/x" };
  WcFakeFleet       *fleet = wc_fake_fleet_new (1, NULL);
  Wc__InstancePacket packet = WC__INSTANCE_PACKET__INIT;
  uint64_t           flow = wc_client_open (fleet->client, fleet->now_us, "catalogue", "dealer-7");
  uint64_t           calls[2];

  fleet->drops_orders = true;
  request.deadline_us = fleet->now_us + 30 * (uint64_t)SECOND_US;
  for (int i = 0; i < 2; i++)
    calls[i] = wc_client_order (fleet->client, fleet->now_us, flow, &request, NULL);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  packet.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  packet.result = WC__INSTANCE_PACKET__RESULT__EXPIRED_TOKEN;
  packet.request_id = wc_client_get_request_id (fleet->client, calls[0]);
  wc_fake_fleet_inject (fleet, &packet);
  /* The new token arrives before the second order is retransmitted. */
  wc_fake_fleet_run (fleet, fleet->now_us + 5000, 1);
  packet.request_id = wc_client_get_request_id (fleet->client, calls[1]);
  wc_fake_fleet_inject (fleet, &packet);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  ck_assert_uint_eq (fleet->opens, 2);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against an order that is sent with a second ticket when the response to a retransmitted TICKET arrives late.
 */
START_TEST (test_second_ticket)
{
  WcFakeFleet       *fleet = wc_fake_fleet_new (1, NULL);
  Wc__InstancePacket packet = WC__INSTANCE_PACKET__INIT;
  uint64_t           ticket = 1;
  uint64_t           call;

  fleet->order_run_us = 2 * (uint64_t)SECOND_US;
  call = start_call (fleet, true, fleet->now_us + 30 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US / 2, 1);
  packet.kind = WC__INSTANCE_PACKET__KIND__TICKET_ISSUED;
  packet.request_id = wc_client_get_request_id (fleet->client, call);
  packet.ticket.data = (uint8_t *)&ticket;
  packet.ticket.len = sizeof ticket;
  wc_fake_fleet_inject (fleet, &packet);
  wc_fake_fleet_run (fleet, UINT64_MAX - 1, 1);
  ck_assert_int_eq (fleet->result, WC_CLIENT_DONE);
  ck_assert_uint_eq (g_hash_table_size (fleet->orders), 1);
  ck_assert_uint_eq (count_order_runs (fleet), 1);
  wc_fake_fleet_delete (fleet);
}
END_TEST

/* Guards against a crash or a wrong outcome when random bytes arrive from the network. */
START_TEST (test_random_datagrams)
{
  WcFakeFleet *fleet = wc_fake_fleet_new (1, NULL);
  uint8_t      data[64];

  fleet->drops_orders = true;
  start_call (fleet, true, fleet->now_us + 30 * (uint64_t)SECOND_US);
  wc_fake_fleet_run (fleet, fleet->now_us + SECOND_US, 1);
  for (int i = 0; i < 20000; i++)
    {
      size_t size = (size_t)g_rand_int_range (fleet->random, 0, sizeof data);

      for (size_t j = 0; j < size; j++)
        data[j] = (uint8_t)g_rand_int (fleet->random);
      wc_client_receive (fleet->client, fleet->now_us, data, size);
    }
  ck_assert_uint_eq (fleet->finished, 0);
  wc_fake_fleet_delete (fleet);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("client");

  tcase_add_loop_test (cases, test_complete_answer_on_lossy_network, 0, 10);
  tcase_add_test (cases, test_releases_long_answer);
  tcase_add_test (cases, test_answer_over_limit);
  tcase_add_loop_test (cases, test_rerun_after_holder_timeout, 0, 5);
  tcase_add_test (cases, test_order_answer_lost_with_holder);
  tcase_add_loop_test (cases, test_order_runs_once, 0, 50);
  tcase_add_test (cases, test_unanswered_order_is_unknown);
  tcase_add_loop_test (cases, test_unsent_order_is_not_run, 0, 2);
  tcase_add_loop_test (cases, test_order_results, 0, 4);
  tcase_add_test (cases, test_order_without_stored_answer);
  tcase_add_test (cases, test_busy_request);
  tcase_add_test (cases, test_busy_request_recovers);
  tcase_add_test (cases, test_request_times_out);
  tcase_add_test (cases, test_reroute_budget);
  tcase_add_test (cases, test_token_refresh);
  tcase_add_test (cases, test_wait_for_reopened_flow);
  tcase_add_test (cases, test_reopens_on_expired_token);
  tcase_add_loop_test (cases, test_stream_resumes, 0, 20);
  tcase_add_test (cases, test_request_too_large);
  tcase_add_test (cases, test_cancel);
  tcase_add_loop_test (cases, test_packets_of_other_run_while_fetching, 0, 2);
  tcase_add_test (cases, test_events_before_cursor);
  tcase_add_test (cases, test_invalid_stream);
  tcase_add_test (cases, test_late_expired_token);
  tcase_add_test (cases, test_second_ticket);
  tcase_add_test (cases, test_random_datagrams);
  return wc_test_run_case ("client", cases);
}
