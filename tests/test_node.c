#include <wigeoncart/node.h>

#include <sodium.h>
#include <string.h>

#include <wigeoncart/name_id.h>
#include <wigeoncart/register.h>
#include <wigeoncart/ticket.h>

#include "test_main.h"
#include "wigeoncart.pb-c.h"

enum
{
  START_US = 1000 * 1000 * 1000,
  MS = 1000,
  SECOND_US = 1000 * 1000,
  SENT_MAX = 64
};

/** struct Fixture - a node, the datagrams that it sent and the last attempt that it started. */
typedef struct
{
  WcNode             *node;
  WcCounters          counters;
  uint64_t            now_us;
  Wc__InstancePacket *sent[SENT_MAX];
  size_t              sent_count;
  size_t              relayed;
  uint64_t            attempt;
  uint32_t            target;
  size_t              attempts;
  size_t              cancelled;
  size_t              extra_targets;
  uint8_t             token[128];
  size_t              token_bytes;
  uint8_t             ticket[128];
  size_t              ticket_bytes;
} Fixture;

static const WcAddress CALLER = { .ip = { 127, 0, 0, 1 }, .family = 4, .port = 5000 };

static Fixture fixture;

static void
on_send (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes)
{
  (void)user_data;
  ck_assert (wc_address_equal (caller, &CALLER));
  ck_assert_uint_lt (fixture.sent_count, SENT_MAX);
  fixture.sent[fixture.sent_count++] = wc__instance_packet__unpack (NULL, size_bytes, data);
}

static void
on_relay (void *user_data, const WcAddress *worker, const uint8_t *data, size_t size_bytes)
{
  (void)user_data;
  (void)worker;
  (void)data;
  (void)size_bytes;
  fixture.relayed++;
}

static void
on_dispatch (void *user_data, const WcAttempt *attempt)
{
  (void)user_data;
  fixture.attempt = attempt->id;
  fixture.target = attempt->target->id;
  fixture.attempts++;
}

static void
on_cancel (void *user_data, uint64_t attempt_id)
{
  (void)user_data;
  (void)attempt_id;
  fixture.cancelled++;
}

static const WcNodeOps OPS = { .send = on_send, .relay = on_relay, .dispatch = on_dispatch, .cancel = on_cancel };

static const Wc__InstancePacket *
get_last_sent (void)
{
  ck_assert_uint_gt (fixture.sent_count, 0);
  return fixture.sent[fixture.sent_count - 1];
}

/* Sets a view with the keys of epochs @first_epoch to @last_epoch. Return: its register, referenced by the view. */
static WcRegister *
set_view (uint32_t first_epoch, uint32_t last_epoch, bool leaving, WcLifecycle lifecycle)
{
  GString       *text = g_string_new (NULL);
  WcError        error = { 0 };
  WcMember       self = { .id = wc_name_id64 ("entry-1"),
                          .incarnation = 11,
                          .domain = wc_name_id32 ("d"),
                          .workers = 1,
                          .state = WC_MEMBER_LIVE };
  WcMember       remote = { .id = wc_name_id64 ("entry-2"),
                            .domain = wc_name_id32 ("e"),
                            .workers = 1,
                            .state = WC_MEMBER_LIVE,
                            .address = { .ip = { 127, 0, 0, 1 }, .family = 4, .port = 7102 } };
  WcMember       members_of_view[2] = { self, remote };
  WcMemberTable *members = wc_member_table_new (members_of_view, 2);
  WcRegister    *reg;
  const WcKey   *keys;
  WcKeyring     *keyring;
  WcView        *view;
  size_t         count;

  g_string_append_printf (text,
                          "{\"revision\":%u,\"domains\":[\"d\"],\"services\":[{\"name\":\"a\"},{\"name\":\"b\"},"
                          "{\"name\":\"c\",\"affinity\":\"session\"}],"
                          "\"hosts\":[{\"name\":\"h\",\"domain\":\"d\",\"targets\":[{\"service\":\"a\","
                          "\"address\":\"127.0.0.1:9001\",\"slots\":2,\"max_connections\":4,\"cold_start_ms\":0}]},"
                          "{\"name\":\"i\",\"domain\":\"d\",\"targets\":[{\"service\":\"b\",\"address\":"
                          "\"127.0.0.1:9002\",\"slots\":2,\"max_connections\":4,\"cold_start_ms\":0}]},"
                          "{\"name\":\"j\",\"domain\":\"d\",\"targets\":[{\"service\":\"c\",\"address\":"
                          "\"127.0.0.1:9003\",\"slots\":2,\"max_connections\":4,\"cold_start_ms\":0}]},"
                          "{\"name\":\"k\",\"domain\":\"d\",\"targets\":[{\"service\":\"c\",\"address\":"
                          "\"127.0.0.1:9004\",\"slots\":2,\"max_connections\":4,\"cold_start_ms\":0}]}",
                          last_epoch);
  for (size_t i = 0; i < fixture.extra_targets; i++)
    g_string_append_printf (text,
                            ",{\"name\":\"x%zu\",\"domain\":\"d\",\"targets\":[{\"service\":\"a\",\"address\":"
                            "\"127.0.0.1:%zu\",\"slots\":2,\"max_connections\":4,\"cold_start_ms\":0}]}",
                            i, 9100 + i);
  g_string_append (text, "],\"keys\":[");
  for (uint32_t epoch = first_epoch; epoch <= last_epoch; epoch++)
    {
      uint8_t secret[WC_KEY_BYTES];
      char    encoded[sodium_base64_ENCODED_LEN (WC_KEY_BYTES, sodium_base64_VARIANT_ORIGINAL)];

      memset (secret, (int)epoch, sizeof secret);
      sodium_bin2base64 (encoded, sizeof encoded, secret, sizeof secret, sodium_base64_VARIANT_ORIGINAL);
      g_string_append_printf (text, "%s{\"epoch\":%u,\"secret\":\"%s\"}", epoch > first_epoch ? "," : "", epoch,
                              encoded);
    }
  g_string_append_printf (text, "],\"rules\":{\"leaving\":[%s]}}", leaving ? "\"h\"" : "");
  reg = wc_register_parse ("test", text->str, text->len, &error);
  ck_assert_msg (reg != NULL, "%s", error.message);
  keys = wc_register_get_keys (reg, &count);
  keyring = wc_keyring_new (keys, count);
  view = wc_view_new (reg, keyring, members, lifecycle, fixture.now_us);
  wc_node_set_view (fixture.node, fixture.now_us, view);
  wc_view_unref (view);
  wc_keyring_unref (keyring);
  wc_register_unref (reg);
  wc_member_table_unref (members);
  g_string_free (text, TRUE);
  return reg;
}

static void
setup (void)
{
  WcNodeConfig config;

  memset (&fixture, 0, sizeof fixture);
  fixture.now_us = START_US;
  wc_node_config_init (&config);
  config.instance = wc_name_id64 ("entry-1");
  config.incarnation = 11;
  config.domain = wc_name_id32 ("d");
  fixture.node = wc_node_new (&config, &OPS, NULL, &fixture.counters);
  set_view (1, 1, false, WC_LIFECYCLE_SERVING);
}

static void
teardown (void)
{
  for (size_t i = 0; i < fixture.sent_count; i++)
    wc__instance_packet__free_unpacked (fixture.sent[i], NULL);
  wc_node_delete (fixture.node);
}

static void
receive (Wc__CallerPacket *packet)
{
  uint8_t data[WC_DATAGRAM_MAX_BYTES];
  size_t  size_bytes;

  if (packet->service == 0)
    packet->service = wc_name_id32 ("a");
  if (packet->token.len == 0)
    packet->token = (ProtobufCBinaryData){ fixture.token_bytes, fixture.token };
  ck_assert_uint_le (wc__caller_packet__get_packed_size (packet), sizeof data);
  size_bytes = wc__caller_packet__pack (packet, data);
  wc_node_receive (fixture.node, fixture.now_us, &CALLER, data, size_bytes);
}

static void
send_kind (Wc__CallerPacket__Kind kind, uint64_t request_id)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;

  packet.kind = kind;
  packet.request_id = request_id;
  packet.remaining_ms = 2000;
  if (kind == WC__CALLER_PACKET__KIND__ORDER)
    packet.ticket = (ProtobufCBinaryData){ fixture.ticket_bytes, fixture.ticket };
  receive (&packet);
}

static void
open_flow (void)
{
  send_kind (WC__CALLER_PACKET__KIND__OPEN, 1);
  fixture.token_bytes = get_last_sent ()->token.len;
  memcpy (fixture.token, get_last_sent ()->token.data, fixture.token_bytes);
}

static void
get_ticket (void)
{
  open_flow ();
  send_kind (WC__CALLER_PACKET__KIND__TICKET, 2);
  fixture.ticket_bytes = get_last_sent ()->ticket.len;
  ck_assert_uint_gt (fixture.ticket_bytes, 0);
  memcpy (fixture.ticket, get_last_sent ()->ticket.data, fixture.ticket_bytes);
}

static void
run_until (uint64_t now_us)
{
  while (fixture.now_us < now_us)
    {
      fixture.now_us += 10 * MS;
      wc_node_tick (fixture.node, fixture.now_us);
    }
}

static void
answer_attempt (size_t size_bytes)
{
  uint8_t *body = g_malloc0 (size_bytes);

  ck_assert (wc_node_attempt_sending (fixture.node, fixture.now_us, fixture.attempt));
  ck_assert (wc_node_attempt_data (fixture.node, fixture.now_us, fixture.attempt, body, size_bytes));
  wc_node_attempt_done (fixture.node, fixture.now_us, fixture.attempt, 200, UINT32_MAX, 0);
  g_free (body);
}

/* Guards against a crash on FETCH of a stored answer, which was caused by NULL output arguments for the answer store.
 */
START_TEST (test_fetch_stored_answer)
{
  Wc__CallerPacket fetch = WC__CALLER_PACKET__INIT;
  Wc__AnswerRef    answer;

  open_flow ();
  send_kind (WC__CALLER_PACKET__KIND__REQUEST, 3);
  answer_attempt (5000);
  answer = *get_last_sent ()->answer;
  fetch.kind = WC__CALLER_PACKET__KIND__FETCH;
  fetch.request_id = 3;
  fetch.answer = &answer;
  fetch.first_part = 2;
  fetch.part_count = 1;
  receive (&fetch);
  ck_assert_uint_eq (get_last_sent ()->part, 2);
  answer.answer ^= 2;
  receive (&fetch);
  ck_assert_uint_eq (get_last_sent ()->part, 2);
}
END_TEST

/* Guards against answering UNKNOWN for an order sealed with a key that has not arrived at this instance yet: the order
 * has not run, and another instance may handle it. */
START_TEST (test_order_with_newer_key)
{
  size_t sent;

  set_view (1, 2, false, WC_LIFECYCLE_SERVING);
  get_ticket ();
  set_view (1, 1, false, WC_LIFECYCLE_SERVING);
  sent = fixture.sent_count;
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_uint_eq (fixture.sent_count, sent);
  ck_assert_uint_eq (fixture.attempts, 0);
  set_view (1, 2, false, WC_LIFECYCLE_SERVING);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_uint_eq (fixture.attempts, 1);
}
END_TEST

/* Guards against dropping an order of another domain whose owner has just joined and is not in this instance's list. */
START_TEST (test_order_of_unknown_owner)
{
  WcKey      key = { .epoch = 1 };
  WcKeyring *keyring;
  WcSealer   sealer;
  WcTicket   ticket = { .service = wc_name_id32 ("a"),
                        .domain = wc_name_id32 ("e"),
                        .owner = wc_name_id64 ("entry-3"),
                        .incarnation = 1,
                        .serial = 1 };

  memset (key.secret, 1, sizeof key.secret);
  keyring = wc_keyring_new (&key, 1);
  wc_sealer_init (&sealer, 1);
  fixture.ticket_bytes = wc_ticket_seal (&sealer, keyring, &ticket, fixture.ticket);
  wc_keyring_unref (keyring);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_uint_eq (fixture.relayed, 1);
  ck_assert_uint_eq (fixture.sent_count, 0);
}
END_TEST

/* Guards against answering NOT_RUN, or not at all, for an order whose key was withdrawn. */
START_TEST (test_order_with_withdrawn_key)
{
  get_ticket ();
  set_view (2, 2, false, WC_LIFECYCLE_SERVING);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__UNKNOWN);
}
END_TEST

/* Guards against running an order twice when its datagram is duplicated. */
START_TEST (test_duplicate_order)
{
  get_ticket ();
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 4);
  answer_attempt (10);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_uint_eq (fixture.attempts, 1);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__DONE);
  ck_assert_uint_eq (get_last_sent ()->total_bytes, 10);
}
END_TEST

/* Guards against retrying an order whose connection broke, or reporting it as not run. */
START_TEST (test_order_with_broken_connection)
{
  get_ticket ();
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert (wc_node_attempt_sending (fixture.node, fixture.now_us, fixture.attempt));
  wc_node_attempt_ended (fixture.node, fixture.now_us, fixture.attempt, WC_ATTEMPT_BROKEN);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__UNKNOWN);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__UNKNOWN);
  ck_assert_uint_eq (fixture.attempts, 1);
}
END_TEST

/* Guards against a delayed duplicate that runs an order after it was answered with NOT_RUN. */
START_TEST (test_order_repeated_after_not_run)
{
  Wc__CallerPacket order = WC__CALLER_PACKET__INIT;

  get_ticket ();
  order.kind = WC__CALLER_PACKET__KIND__ORDER;
  order.request_id = 2;
  order.remaining_ms = 50;
  order.ticket = (ProtobufCBinaryData){ fixture.ticket_bytes, fixture.ticket };
  receive (&order);
  /* The deadline expires before a byte was written. */
  run_until (fixture.now_us + 100 * MS);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__NOT_RUN);
  ck_assert_uint_eq (fixture.cancelled, 1);
  ck_assert (!wc_node_attempt_sending (fixture.node, fixture.now_us, fixture.attempt));
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__NOT_RUN);
  ck_assert_uint_eq (fixture.attempts, 1);
}
END_TEST

/* Guards against answering NOT_RUN for an order that may be running at its deadline. */
START_TEST (test_order_sent_before_deadline)
{
  get_ticket ();
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert (wc_node_attempt_sending (fixture.node, fixture.now_us, fixture.attempt));
  run_until (fixture.now_us + 3 * SECOND_US);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__UNKNOWN);
}
END_TEST

/* Guards against running the order of an expired ticket, whose ledger entry may have been removed. */
START_TEST (test_expired_ticket)
{
  get_ticket ();
  run_until (fixture.now_us + 11 * SECOND_US);
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 2);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__UNKNOWN);
  ck_assert_uint_eq (fixture.attempts, 0);
}
END_TEST

/* Guards against requests that reach a target of a service other than that of their token or ticket. */
START_TEST (test_service_mismatch)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;

  get_ticket ();
  packet.service = wc_name_id32 ("b");
  packet.kind = WC__CALLER_PACKET__KIND__REQUEST;
  packet.request_id = 3;
  receive (&packet);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__INVALID);
  packet.kind = WC__CALLER_PACKET__KIND__ORDER;
  packet.ticket = (ProtobufCBinaryData){ fixture.ticket_bytes, fixture.ticket };
  receive (&packet);
  ck_assert_int_eq (get_last_sent ()->result, WC__INSTANCE_PACKET__RESULT__INVALID);
  ck_assert_uint_eq (fixture.attempts, 0);
}
END_TEST

/* Guards against sending an attempt to a target that started leaving while the attempt waited for a connection. */
START_TEST (test_attempt_to_leaving_target)
{
  open_flow ();
  send_kind (WC__CALLER_PACKET__KIND__REQUEST, 3);
  set_view (1, 1, true, WC_LIFECYCLE_SERVING);
  ck_assert (!wc_node_attempt_sending (fixture.node, fixture.now_us, fixture.attempt));
}
END_TEST

/* Guards against dispatching by an outdated view after the process was paused. */
START_TEST (test_dispatch_after_pause)
{
  open_flow ();
  send_kind (WC__CALLER_PACKET__KIND__REQUEST, 3);
  fixture.now_us += 1500 * MS;
  ck_assert (!wc_node_attempt_sending (fixture.node, fixture.now_us, fixture.attempt));
  fixture.now_us += 10 * MS;
  set_view (1, 1, false, WC_LIFECYCLE_SERVING);
  ck_assert (wc_node_attempt_sending (fixture.node, fixture.now_us, fixture.attempt));
}
END_TEST

/* Guards against a draining worker that is idle while a ticket issued by it may still be used. */
START_TEST (test_drain_with_tickets)
{
  get_ticket ();
  set_view (1, 1, false, WC_LIFECYCLE_DRAINING);
  ck_assert (!wc_node_is_idle (fixture.node, fixture.now_us));
  run_until (fixture.now_us + 11 * SECOND_US);
  ck_assert (wc_node_is_idle (fixture.node, fixture.now_us));
}
END_TEST

/* Guards against accepting requests or issuing tickets when the process is about to exit: they would not be answered.
 */
START_TEST (test_closing_worker)
{
  size_t sent;

  open_flow ();
  sent = fixture.sent_count;
  set_view (1, 1, false, WC_LIFECYCLE_CLOSING);
  send_kind (WC__CALLER_PACKET__KIND__TICKET, 2);
  send_kind (WC__CALLER_PACKET__KIND__REQUEST, 3);
  ck_assert_uint_eq (fixture.sent_count, sent);
  ck_assert_uint_eq (fixture.attempts, 0);
  ck_assert (wc_node_is_idle (fixture.node, fixture.now_us));
}
END_TEST

/* Guards against moving a flow to another target because its preferred target was busy, which would undo the even
 * spread of flows. */
START_TEST (test_session_with_busy_target)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  uint32_t         preferred;

  packet.service = wc_name_id32 ("c");
  packet.kind = WC__CALLER_PACKET__KIND__OPEN;
  packet.request_id = 1;
  receive (&packet);
  fixture.token_bytes = get_last_sent ()->token.len;
  memcpy (fixture.token, get_last_sent ()->token.data, fixture.token_bytes);
  packet.token.len = 0;
  packet.kind = WC__CALLER_PACKET__KIND__REQUEST;
  packet.request_id = 2;
  receive (&packet);
  preferred = fixture.target;
  run_until (fixture.now_us + 50 * MS);
  answer_attempt (10);
  ck_assert_uint_eq (get_last_sent ()->token.len, 0);
  packet.request_id = 3;
  receive (&packet);
  ck_assert_uint_ne (fixture.target, preferred);
  answer_attempt (10);
  ck_assert_uint_eq (get_last_sent ()->token.len, 0);
}
END_TEST

/* Guards against running all orders of a service with several shards at the targets of the first shard. */
START_TEST (test_order_shard)
{
  WcRegister     *reg;
  const WcTarget *targets;
  size_t          count;
  size_t          index = 0;

  fixture.extra_targets = 17;
  reg = set_view (1, 1, false, WC_LIFECYCLE_SERVING);
  /* The flow identifier is odd, so the flow belongs to the second of two shards. */
  get_ticket ();
  send_kind (WC__CALLER_PACKET__KIND__ORDER, 3);
  ck_assert_uint_eq (fixture.attempts, 1);
  targets = wc_register_get_service_targets (reg, wc_name_id32 ("a"), wc_name_id32 ("d"), &count);
  ck_assert_uint_eq (count, 18);
  while (index < count && targets[index].id != fixture.target)
    index++;
  ck_assert_uint_eq (index % 2, 1);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, test_fetch_stored_answer);
  tcase_add_test (tests, test_order_with_newer_key);
  tcase_add_test (tests, test_order_of_unknown_owner);
  tcase_add_test (tests, test_order_with_withdrawn_key);
  tcase_add_test (tests, test_duplicate_order);
  tcase_add_test (tests, test_order_with_broken_connection);
  tcase_add_test (tests, test_order_repeated_after_not_run);
  tcase_add_test (tests, test_order_sent_before_deadline);
  tcase_add_test (tests, test_expired_ticket);
  tcase_add_test (tests, test_service_mismatch);
  tcase_add_test (tests, test_attempt_to_leaving_target);
  tcase_add_test (tests, test_dispatch_after_pause);
  tcase_add_test (tests, test_drain_with_tickets);
  tcase_add_test (tests, test_closing_worker);
  tcase_add_test (tests, test_order_shard);
  tcase_add_test (tests, test_session_with_busy_target);
}

int
main (void)
{
  return wc_test_run ("node", add_tests);
}
