#include <wigeoncart/node.h>

#include <string.h>

#include <wigeoncart/name_id.h>
#include <wigeoncart/ticket.h>
#include <wigeoncart/token.h>

#include "core/backlog_report.h"
#include "core/relay_packet.h"
#include "test_main.h"
#include "wigeoncart.pb-c.h"

enum
{
  MS = 1000,
  SECOND_US = 1000 * MS,
  START_US = 1000 * SECOND_US,
  NODES = 2,
  PORT = 7000,
  RUN_US = 100 * MS,
  MAX_ENTRIES = 4096
};

/** struct Datagram - a datagram in transit between the two owners. */
typedef struct
{
  uint16_t port;
  size_t   size_bytes;
  uint8_t  data[WC_RELAY_MAX_BYTES];
} Datagram;

/** struct Instance - the only instance of a domain, and therefore the owner there. */
typedef struct
{
  WcNode    *node;
  WcCounters counters;
  uint64_t   attempts[MAX_ENTRIES];
  size_t     attempt_count;
  size_t     relayed_requests;
} Instance;

static const WcAddress CALLER = { .ip = { 127, 0, 0, 1 }, .family = 4, .port = 5000 };

static Instance instances[NODES];
static Datagram in_transit[MAX_ENTRIES];
static size_t   in_transit_count;
static size_t   dropped_reports;
static bool     drop_reports;
static uint64_t now_us;
static uint64_t next_id;
static uint8_t  token[WC_TOKEN_MAX_BYTES];
static size_t   token_bytes;
static uint8_t  ticket[WC_TICKET_MAX_BYTES];
static size_t   ticket_bytes;
static uint32_t result;
static bool     got_token;

static void
on_send (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes)
{
  Wc__InstancePacket *reply = wc__instance_packet__unpack (NULL, size_bytes, data);

  (void)user_data;
  (void)caller;
  ck_assert_ptr_nonnull (reply);
  if (reply->kind == WC__INSTANCE_PACKET__KIND__OPENED)
    {
      token_bytes = reply->token.len;
      memcpy (token, reply->token.data, token_bytes);
    }
  if (reply->kind == WC__INSTANCE_PACKET__KIND__TICKET_ISSUED)
    {
      ticket_bytes = reply->ticket.len;
      memcpy (ticket, reply->ticket.data, ticket_bytes);
    }
  if (reply->kind == WC__INSTANCE_PACKET__KIND__RESULT)
    {
      result = reply->result;
      got_token = reply->token.len > 0;
    }
  wc__instance_packet__free_unpacked (reply, NULL);
}

static void
on_relay (void *user_data, const WcAddress *worker, const uint8_t *data, size_t size_bytes)
{
  Instance *instance = user_data;

  if (!wc_backlog_report_matches (data, size_bytes))
    instance->relayed_requests++;
  else if (drop_reports)
    {
      dropped_reports++;
      return;
    }
  ck_assert_uint_lt (in_transit_count, MAX_ENTRIES);
  in_transit[in_transit_count].port = worker->port;
  in_transit[in_transit_count].size_bytes = size_bytes;
  memcpy (in_transit[in_transit_count++].data, data, size_bytes);
}

static void
on_dispatch (void *user_data, const WcAttempt *attempt)
{
  Instance *instance = user_data;

  ck_assert_uint_lt (instance->attempt_count, MAX_ENTRIES);
  instance->attempts[instance->attempt_count++] = attempt->id;
}

static void
on_cancel (void *user_data, uint64_t attempt_id)
{
  Instance *instance = user_data;

  for (size_t i = 0; i < instance->attempt_count; i++)
    if (instance->attempts[i] == attempt_id)
      instance->attempts[i] = instance->attempts[--instance->attempt_count];
}

static const WcNodeOps OPS = { .send = on_send, .relay = on_relay, .dispatch = on_dispatch, .cancel = on_cancel };

static const char REGISTER[] =
    "{\"revision\": 1, \"domains\": [\"d0\", \"d1\"], \"services\": [{\"name\": \"s\", \"affinity\": \"%s\"}],"
    "\"hosts\": [{\"name\": \"h0\", \"domain\": \"d0\", \"targets\": [{\"service\": \"s\", \"address\": "
    "\"127.0.0.1:9001\", \"slots\": 2, \"max_connections\": 4, \"cold_start_ms\": 0}]},"
    "{\"name\": \"h1\", \"domain\": \"d1\", \"targets\": [{\"service\": \"s\", \"address\": "
    "\"127.0.0.1:9002\", \"slots\": 2, \"max_connections\": 4, \"cold_start_ms\": 0}]}],"
    "\"keys\": [{\"epoch\": 1, \"secret\": \"SW63tU1Uz7KkWdLvJkeBByKDa5L3md5wVLkdxb13VRk=\"}]}";

static void
set_view (unsigned index, const char *affinity)
{
  char          *text = g_strdup_printf (REGISTER, affinity);
  WcError        error = { 0 };
  WcRegister    *reg = wc_register_parse ("test", text, strlen (text), &error);
  WcMember       members[NODES] = { 0 };
  WcMemberTable *table;
  WcKeyring     *keyring;
  const WcKey   *keys;
  size_t         count;
  WcView        *view;

  ck_assert_msg (reg != NULL, "%s", error.message);
  for (unsigned i = 0; i < NODES; i++)
    members[i] = (WcMember){
      .id = i + 1,
      .domain = wc_name_id32 (i == 0 ? "d0" : "d1"),
      .workers = 1,
      .state = WC_MEMBER_LIVE,
      .address = { .ip = { 127, 0, 0, 1 }, .family = 4, .port = (uint16_t)(PORT + i) },
    };
  keys = wc_register_get_keys (reg, &count);
  keyring = wc_keyring_new (keys, count);
  table = wc_member_table_new (members, NODES);
  view = wc_view_new (reg, keyring, table, WC_LIFECYCLE_SERVING, now_us);
  wc_node_set_view (instances[index].node, now_us, view);
  wc_view_unref (view);
  wc_keyring_unref (keyring);
  wc_member_table_unref (table);
  wc_register_unref (reg);
  g_free (text);
}

static void
start_node (unsigned index, uint64_t incarnation)
{
  WcNodeConfig config;

  memset (&instances[index], 0, sizeof instances[index]);
  wc_node_config_init (&config);
  config.instance = index + 1;
  config.incarnation = incarnation;
  config.domain = wc_name_id32 (index == 0 ? "d0" : "d1");
  config.seed = index;
  config.nonce_prefix = incarnation;
  instances[index].node = wc_node_new (&config, &OPS, &instances[index], &instances[index].counters);
  set_view (index, "session");
}

static void
setup (void)
{
  now_us = START_US;
  next_id = 100;
  in_transit_count = 0;
  dropped_reports = 0;
  drop_reports = false;
  token_bytes = 0;
  ticket_bytes = 0;
  result = 0;
  for (unsigned i = 0; i < NODES; i++)
    start_node (i, 11 + i);
}

static void
teardown (void)
{
  for (unsigned i = 0; i < NODES; i++)
    wc_node_delete (instances[i].node);
}

/* Delivers the datagrams that the owners sent to each other, until none is left. */
static void
deliver (void)
{
  for (size_t i = 0; i < in_transit_count; i++)
    wc_node_receive_relay (instances[in_transit[i].port - PORT].node, now_us, in_transit[i].data,
                           in_transit[i].size_bytes);
  in_transit_count = 0;
}

static void
run_for (uint64_t duration_us)
{
  for (uint64_t end_us = now_us + duration_us; now_us < end_us;)
    {
      now_us += 10 * MS;
      for (unsigned i = 0; i < NODES; i++)
        wc_node_tick (instances[i].node, now_us);
      deliver ();
    }
}

static void
send_packet (unsigned index, Wc__CallerPacket__Kind kind, uint64_t request_id, uint32_t attempt)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  uint8_t          data[WC_DATAGRAM_MAX_BYTES];

  packet.kind = kind;
  packet.service = wc_name_id32 ("s");
  packet.request_id = request_id;
  packet.attempt = attempt;
  packet.remaining_ms = 60000;
  if (kind != WC__CALLER_PACKET__KIND__OPEN)
    packet.token = (ProtobufCBinaryData){ token_bytes, token };
  if (kind == WC__CALLER_PACKET__KIND__ORDER)
    packet.ticket = (ProtobufCBinaryData){ ticket_bytes, ticket };
  wc_node_receive (instances[index].node, now_us, &CALLER, data, wc__caller_packet__pack (&packet, data));
  deliver ();
}

static void
finish_attempt (unsigned index)
{
  uint64_t attempt;

  ck_assert_uint_gt (instances[index].attempt_count, 0);
  attempt = instances[index].attempts[0];
  memmove (instances[index].attempts, instances[index].attempts + 1,
           --instances[index].attempt_count * sizeof instances[index].attempts[0]);
  ck_assert (wc_node_attempt_sending (instances[index].node, now_us, attempt));
  wc_node_attempt_done (instances[index].node, now_us, attempt, 200, UINT32_MAX, 0);
}

/* Opens a flow in a domain and completes requests there, so that expected waits can be computed from their run times.
 */
static void
warm_up (unsigned index)
{
  send_packet (index, WC__CALLER_PACKET__KIND__OPEN, 2 * next_id++, 0);
  for (unsigned i = 0; i < 4; i++)
    {
      send_packet (index, WC__CALLER_PACKET__KIND__REQUEST, next_id++, 0);
      ck_assert_uint_eq (instances[index].attempt_count, 1);
      run_for (RUN_US);
      finish_attempt (index);
    }
}

static void
warm_up_all (void)
{
  warm_up (1);
  warm_up (0);
  run_for (200 * MS);
}

/* Sends @count requests to a domain that are not spilled because they are retries; fills its slots, then its queue.
 */
static void
fill (unsigned index, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    send_packet (index, WC__CALLER_PACKET__KIND__REQUEST, next_id++, 2);
}

static uint64_t
get_count (unsigned index, WcCounter counter)
{
  return wc_counters_get (&instances[index].counters, counter);
}

static uint32_t
get_requests (unsigned index)
{
  WcNodeStats stats;

  wc_node_get_stats (instances[index].node, &stats);
  return stats.requests;
}

/* Guards against queueing a request while another domain has a free slot, and against moving its session there. */
START_TEST (test_spill_when_busy)
{
  warm_up_all ();
  fill (0, 4);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 0);
  ck_assert_uint_eq (get_requests (0), 4);
  ck_assert_uint_eq (instances[1].attempt_count, 1);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_PACKETS_PASSED_ON), 1);
  run_for (RUN_US);
  got_token = true;
  finish_attempt (1);
  ck_assert_int_eq (result, WC__INSTANCE_PACKET__RESULT__DONE);
  ck_assert (!got_token);
}
END_TEST

/* Guards against spilling a request although its own domain has a free slot. */
START_TEST (test_no_spill_with_free_slot)
{
  warm_up_all ();
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 0);
  ck_assert_uint_eq (get_requests (0), 1);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_PACKETS_PASSED_ON), 0);
}
END_TEST

/* Guards against relaying a retransmission to an owner that does not know the request, and against running a queued
 * request in both domains. */
START_TEST (test_retransmissions)
{
  warm_up_all ();
  fill (0, 4);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, next_id - 1, 0);
  ck_assert_uint_eq (get_requests (1), 0);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 2);
  ck_assert_uint_eq (get_requests (1), 0);
  ck_assert_uint_eq (get_requests (0), 5);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 8, 0);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 8, 1);
  ck_assert_uint_eq (get_requests (1), 1);
  ck_assert_uint_eq (get_requests (0), 5);
}
END_TEST

/* Guards against two overloaded owners passing a request back and forth. */
START_TEST (test_two_busy_owners)
{
  size_t before;

  warm_up_all ();
  fill (0, 12);
  /* To both owners the other domain appears idle, because its report was lost. */
  drop_reports = true;
  fill (1, 12);
  before = instances[0].relayed_requests + instances[1].relayed_requests;
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 0);
  ck_assert_uint_eq (instances[0].relayed_requests + instances[1].relayed_requests, before + 1);
  ck_assert_uint_eq (get_requests (0), 12);
  ck_assert_uint_eq (get_requests (1), 13);
}
END_TEST

/* Guards against a busy owner that sends no report when a spilled request has to wait, and so gets more of them. */
START_TEST (test_report_after_queued_request)
{
  warm_up_all ();
  fill (0, 12);
  drop_reports = true;
  fill (1, 12);
  drop_reports = false;
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 0);
  ck_assert_uint_eq (get_requests (1), 13);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 8, 0);
  ck_assert_uint_eq (get_requests (1), 13);
  ck_assert_uint_eq (get_requests (0), 13);
}
END_TEST

/* Guards against spilling requests to a partitioned domain after its last report has expired. */
START_TEST (test_partitioned_domain)
{
  warm_up_all ();
  drop_reports = true;
  run_for (1100 * MS);
  fill (0, 4);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 0);
  ck_assert_uint_eq (get_requests (0), 5);
  ck_assert_uint_gt (dropped_reports, 0);
  drop_reports = false;
  run_for (600 * MS);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 8, 0);
  ck_assert_uint_eq (get_requests (0), 5);
}
END_TEST

/* Guards against running an order twice, in both domains or by a duplicate, after its ticket request was spilled. */
START_TEST (test_order_after_ticket_spilled)
{
  warm_up_all ();
  fill (0, 4);
  send_packet (0, WC__CALLER_PACKET__KIND__TICKET, 7, 0);
  ck_assert_uint_eq (get_count (1, WC_COUNTER_TICKETS_ISSUED), 1);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_TICKETS_ISSUED), 0);
  /* The ORDER itself is never spilled, regardless of the load. */
  fill (1, 12);
  run_for (200 * MS);
  for (unsigned i = 0; i < 3; i++)
    for (unsigned index = 0; index < NODES; index++)
      send_packet (index, WC__CALLER_PACKET__KIND__ORDER, 7, i);
  ck_assert_uint_eq (get_requests (1), 13);
  ck_assert_uint_eq (get_requests (0), 4);
  while (instances[1].attempt_count > 0)
    {
      run_for (RUN_US);
      finish_attempt (1);
    }
  ck_assert_uint_eq (get_requests (1), 0);
  send_packet (0, WC__CALLER_PACKET__KIND__ORDER, 7, 1);
  ck_assert_uint_eq (instances[1].attempt_count, 0);
  ck_assert_uint_eq (get_count (1, WC_COUNTER_REQUESTS_DONE), 4 + 13);
  ck_assert_uint_eq (get_requests (0), 4);
}
END_TEST

/* Guards against a CANCEL that does not reach the owner to which the request was spilled. */
START_TEST (test_cancel_of_spilled_request)
{
  warm_up_all ();
  fill (0, 4);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 0);
  ck_assert_uint_eq (get_requests (1), 1);
  send_packet (0, WC__CALLER_PACKET__KIND__CANCEL, 7, 0);
  ck_assert_uint_eq (get_requests (1), 0);
  ck_assert_uint_eq (get_requests (0), 4);
}
END_TEST

/* Guards against using a forged report, or a report of an earlier incarnation. */
START_TEST (test_forged_and_outdated_reports)
{
  Datagram old = { 0 };
  bool     found = false;
  uint64_t rejected;

  warm_up_all ();
  /* A report of the first incarnation, which has free slots, is delayed. */
  for (unsigned i = 0; i < 100 && !found; i++)
    {
      now_us += 10 * MS;
      for (unsigned j = 0; j < NODES; j++)
        wc_node_tick (instances[j].node, now_us);
      for (size_t j = 0; j < in_transit_count; j++)
        if (in_transit[j].port == PORT && wc_backlog_report_matches (in_transit[j].data, in_transit[j].size_bytes))
          {
            old = in_transit[j];
            found = true;
          }
      if (!found)
        deliver ();
    }
  ck_assert (found);
  in_transit_count = 0;
  wc_node_delete (instances[1].node);
  start_node (1, 99);
  run_for (1100 * MS);
  warm_up (1);
  fill (1, 12);
  fill (0, 4);
  run_for (200 * MS);
  rejected = get_count (0, WC_COUNTER_REPORTS_REJECTED);
  wc_node_receive_relay (instances[0].node, now_us, old.data, old.size_bytes);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_REPORTS_REJECTED), rejected + 1);
  old.data[old.size_bytes - 1] ^= 1;
  wc_node_receive_relay (instances[0].node, now_us, old.data, old.size_bytes);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_REPORTS_REJECTED), rejected + 2);
  send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, 7, 0);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_PACKETS_PASSED_ON), 0);
}
END_TEST

/* Guards against reports between idle owners, and against a busy owner exceeding the report budget of its node. */
START_TEST (test_report_budget)
{
  uint64_t bytes;

  run_for (10 * SECOND_US);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_REPORTS_SENT), 0);
  warm_up_all ();
  run_for (5 * SECOND_US);
  bytes = get_count (0, WC_COUNTER_REPORT_BYTES_SENT);
  run_for (10 * SECOND_US);
  ck_assert_uint_eq (get_count (0, WC_COUNTER_REPORT_BYTES_SENT), bytes);
  ck_assert_uint_gt (bytes, 0);
  for (unsigned i = 0; i < 1000; i++)
    {
      send_packet (0, WC__CALLER_PACKET__KIND__REQUEST, next_id++, 2);
      run_for (10 * MS);
      if (i % 20 == 19)
        while (instances[0].attempt_count > 0)
          finish_attempt (0);
    }
  ck_assert_uint_gt (get_count (0, WC_COUNTER_REPORT_BYTES_SENT), bytes + 10 * 100);
  ck_assert_uint_le (get_count (0, WC_COUNTER_REPORT_BYTES_SENT), bytes + 10 * 1000 + 1000);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, test_spill_when_busy);
  tcase_add_test (tests, test_no_spill_with_free_slot);
  tcase_add_test (tests, test_retransmissions);
  tcase_add_test (tests, test_two_busy_owners);
  tcase_add_test (tests, test_report_after_queued_request);
  tcase_add_test (tests, test_partitioned_domain);
  tcase_add_test (tests, test_order_after_ticket_spilled);
  tcase_add_test (tests, test_cancel_of_spilled_request);
  tcase_add_test (tests, test_forged_and_outdated_reports);
  tcase_add_test (tests, test_report_budget);
}

int
main (void)
{
  return wc_test_run ("node_spill", add_tests);
}
