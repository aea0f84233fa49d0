#include "emulator/fake_fleet.h"

#include <stdio.h>
#include <string.h>

#include <wigeoncart/answer_store.h>

static int
fake_compare (const void *a, const void *b, void *unused)
{
  const WcFakeDatagram *x = a;
  const WcFakeDatagram *y = b;

  (void)unused;
  if (x->due_us != y->due_us)
    return x->due_us < y->due_us ? -1 : 1;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

static void
fake_transmit_at (WcFakeFleet *fleet, uint64_t sent_us, bool to_client, const uint8_t *data, size_t size_bytes)
{
  int copies = 1;

  if (g_rand_double (fleet->random) < fleet->loss)
    return;
  if (g_rand_double (fleet->random) < fleet->duplicate)
    copies = 2;
  for (int i = 0; i < copies; i++)
    {
      WcFakeDatagram *datagram = g_new0 (WcFakeDatagram, 1);

      datagram->due_us = sent_us + fleet->delay_us;
      if (fleet->jitter_us > 0)
        datagram->due_us += (uint64_t)g_rand_int_range (fleet->random, 0, (int)fleet->jitter_us);
      datagram->serial = ++fleet->serial;
      datagram->to_client = to_client;
      datagram->size_bytes = size_bytes;
      memcpy (datagram->data, data, size_bytes);
      g_tree_insert (fleet->network, datagram, datagram);
    }
}

static void
fake_reply_at (WcFakeFleet *fleet, uint64_t sent_us, const Wc__InstancePacket *packet)
{
  uint8_t data[WC_DATAGRAM_MAX_BYTES];
  size_t  size_bytes = wc__instance_packet__get_packed_size (packet);

  g_assert (size_bytes <= sizeof data);
  wc__instance_packet__pack (packet, data);
  fake_transmit_at (fleet, sent_us, true, data, size_bytes);
}

static uint8_t
fake_byte (uint32_t offset)
{
  return (uint8_t)(offset * 7 + offset / 251);
}

static void
fake_send_parts (WcFakeFleet *fleet, uint64_t sent_us, uint64_t request_id, uint64_t answer, uint32_t first,
                 uint32_t count)
{
  uint32_t part_count = MAX (1, (fleet->answer_bytes + WC_ANSWER_PART_BYTES - 1) / WC_ANSWER_PART_BYTES);

  for (uint32_t part = first; part < part_count && part < first + count; part++)
    {
      Wc__InstancePacket packet = WC__INSTANCE_PACKET__INIT;
      Wc__AnswerRef      ref = WC__ANSWER_REF__INIT;
      uint8_t            data[WC_ANSWER_PART_BYTES];
      uint32_t           offset = part * WC_ANSWER_PART_BYTES;
      uint32_t           length = MIN ((uint32_t)WC_ANSWER_PART_BYTES, fleet->answer_bytes - offset);

      for (uint32_t i = 0; i < length; i++)
        data[i] = fake_byte (offset + i);
      ref.instance = 1;
      ref.answer = answer;
      packet.kind = WC__INSTANCE_PACKET__KIND__RESULT;
      packet.result = WC__INSTANCE_PACKET__RESULT__DONE;
      packet.request_id = request_id;
      packet.http_status = 200;
      packet.answer = &ref;
      packet.part = part;
      packet.part_count = part_count;
      packet.total_bytes = fleet->answer_bytes;
      packet.data.data = data;
      packet.data.len = length;
      fake_reply_at (fleet, sent_us, &packet);
    }
}

static void
fake_reply_result (WcFakeFleet *fleet, uint64_t sent_us, uint64_t request_id, Wc__InstancePacket__Result result)
{
  Wc__InstancePacket packet = WC__INSTANCE_PACKET__INIT;

  packet.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  packet.result = result;
  packet.request_id = request_id;
  packet.reason = (char *)"result set by the test";
  fake_reply_at (fleet, sent_us, &packet);
}

static void
fake_order (WcFakeFleet *fleet, const Wc__CallerPacket *packet)
{
  WcFakeOrder *order;
  uint64_t     ticket;

  g_assert (packet->ticket.len == sizeof ticket);
  memcpy (&ticket, packet->ticket.data, sizeof ticket);
  fleet->order_packets++;
  if (fleet->drops_orders)
    return;
  order = g_hash_table_lookup (fleet->orders, &ticket);
  if (!order)
    {
      order = g_new0 (WcFakeOrder, 1);
      order->result = fleet->order_result;
      order->runs = order->result == WC__INSTANCE_PACKET__RESULT__DONE ? 1 : 0;
      g_hash_table_insert (fleet->orders, g_memdup2 (&ticket, sizeof ticket), order);
    }
  if (order->result == WC__INSTANCE_PACKET__RESULT__DONE && !fleet->answer_is_not_stored)
    fake_send_parts (fleet, fleet->now_us + fleet->order_run_us, packet->request_id, ticket, 0, 16);
  else
    fake_reply_result (fleet, fleet->now_us + fleet->order_run_us, packet->request_id, order->result);
}

static void
fake_poll (WcFakeFleet *fleet, const Wc__CallerPacket *packet)
{
  Wc__InstancePacket reply = WC__INSTANCE_PACKET__INIT;
  uint64_t           cursor = MIN (fleet->last_event, packet->cursor + 20);
  GString           *text = g_string_new (NULL);
  uint64_t           sent_us = fleet->now_us;

  for (uint64_t event = packet->cursor + 1; event <= cursor; event++)
    g_string_append_printf (text, "%" G_GUINT64_FORMAT "\n", event);
  if (text->len == 0)
    sent_us += (uint64_t)packet->remaining_ms * 1000;
  reply.kind = WC__INSTANCE_PACKET__KIND__RESULT;
  reply.result = WC__INSTANCE_PACKET__RESULT__DONE;
  reply.request_id = packet->request_id;
  reply.http_status = 200;
  reply.part_count = 1;
  reply.total_bytes = (uint32_t)text->len;
  reply.data.data = (uint8_t *)text->str;
  reply.data.len = text->len;
  reply.cursor = MAX (cursor, packet->cursor);
  fake_reply_at (fleet, sent_us, &reply);
  g_string_free (text, TRUE);
}

static void
fake_reply_with_token (WcFakeFleet *fleet, const Wc__CallerPacket *packet, Wc__InstancePacket__Kind kind)
{
  Wc__InstancePacket reply = WC__INSTANCE_PACKET__INIT;
  uint64_t           ticket = (uint64_t)g_rand_int (fleet->random) + 1;

  reply.kind = kind;
  reply.request_id = packet->request_id;
  if (kind == WC__INSTANCE_PACKET__KIND__OPENED)
    {
      fleet->token_number++;
      reply.token.data = (uint8_t *)&fleet->token_number;
      reply.token.len = sizeof fleet->token_number;
    }
  else
    {
      reply.ticket.data = (uint8_t *)&ticket;
      reply.ticket.len = sizeof ticket;
    }
  fake_reply_at (fleet, fleet->now_us, &reply);
}

static void
fake_request (WcFakeFleet *fleet, const Wc__CallerPacket *packet)
{
  uint64_t *answer;

  fleet->requests++;
  if (packet->attempt >= 2)
    fleet->rerouted++;
  if (fleet->request_result != WC__INSTANCE_PACKET__RESULT__DONE)
    {
      fake_reply_result (fleet, fleet->now_us, packet->request_id, fleet->request_result);
      return;
    }
  answer = g_hash_table_lookup (fleet->request_answers, &packet->request_id);
  if (!answer)
    {
      fleet->last_answer++;
      answer = g_memdup2 (&fleet->last_answer, sizeof fleet->last_answer);
      g_hash_table_insert (fleet->request_answers, g_memdup2 (&packet->request_id, sizeof packet->request_id), answer);
    }
  if (fleet->refreshes_tokens)
    {
      Wc__InstancePacket reply = WC__INSTANCE_PACKET__INIT;

      fleet->token_number++;
      reply.kind = WC__INSTANCE_PACKET__KIND__RESULT;
      reply.result = WC__INSTANCE_PACKET__RESULT__DONE;
      reply.request_id = packet->request_id;
      reply.part_count = 1;
      reply.token.data = (uint8_t *)&fleet->token_number;
      reply.token.len = sizeof fleet->token_number;
      fake_reply_at (fleet, fleet->now_us, &reply);
      return;
    }
  fake_send_parts (fleet, fleet->now_us, packet->request_id, *answer, 0, 16);
}

/* Handles a datagram of the client. */
static void
fake_receive (WcFakeFleet *fleet, const uint8_t *data, size_t size_bytes)
{
  Wc__CallerPacket *packet = wc__caller_packet__unpack (NULL, size_bytes, data);
  uint32_t          token = 0;

  g_assert (packet != NULL);
  fleet->max_datagram_bytes = MAX (fleet->max_datagram_bytes, size_bytes);
  fleet->max_attempt = MAX (fleet->max_attempt, packet->attempt);
  if (packet->token.len == sizeof token)
    memcpy (&token, packet->token.data, sizeof token);
  fleet->last_token = token;
  if (packet->kind == WC__CALLER_PACKET__KIND__OPEN)
    {
      fleet->opens++;
      if (!fleet->drops_opens)
        fake_reply_with_token (fleet, packet, WC__INSTANCE_PACKET__KIND__OPENED);
    }
  else if (packet->token.len == 0 && packet->kind != WC__CALLER_PACKET__KIND__ORDER)
    fake_reply_result (fleet, fleet->now_us, packet->request_id, WC__INSTANCE_PACKET__RESULT__INVALID);
  else if (token < fleet->min_valid_token)
    fake_reply_result (fleet, fleet->now_us, packet->request_id, WC__INSTANCE_PACKET__RESULT__EXPIRED_TOKEN);
  else if (packet->kind == WC__CALLER_PACKET__KIND__REQUEST)
    fake_request (fleet, packet);
  else if (packet->kind == WC__CALLER_PACKET__KIND__TICKET && !fleet->drops_tickets)
    fake_reply_with_token (fleet, packet, WC__INSTANCE_PACKET__KIND__TICKET_ISSUED);
  else if (packet->kind == WC__CALLER_PACKET__KIND__ORDER)
    fake_order (fleet, packet);
  else if (packet->kind == WC__CALLER_PACKET__KIND__POLL)
    fake_poll (fleet, packet);
  else if (packet->kind == WC__CALLER_PACKET__KIND__CANCEL && packet->answer)
    fleet->releases++;
  else if (packet->kind == WC__CALLER_PACKET__KIND__FETCH)
    {
      fleet->fetches++;
      fleet->max_fetch_parts = MAX (fleet->max_fetch_parts, packet->part_count);
      if (!fleet->drops_fetches && packet->answer->answer != fleet->lost_answer)
        fake_send_parts (fleet, fleet->now_us, packet->request_id, packet->answer->answer, packet->first_part,
                         packet->part_count);
    }
  wc__caller_packet__free_unpacked (packet, NULL);
}

static void
fake_send (void *user_data, const uint8_t *data, size_t size_bytes)
{
  WcFakeFleet *fleet = user_data;

  fake_transmit_at (fleet, fleet->now_us, false, data, size_bytes);
}

static void
fake_finished (void *user_data, uint64_t call, const WcClientAnswer *answer)
{
  WcFakeFleet *fleet = user_data;

  (void)call;
  fleet->finished++;
  fleet->result = answer->result;
  fleet->http_status = answer->http_status;
  fleet->result_request_id = answer->request_id;
  g_strlcpy (fleet->reason, answer->reason, sizeof fleet->reason);
  g_byte_array_set_size (fleet->answer, 0);
  if (answer->size_bytes > 0)
    g_byte_array_append (fleet->answer, answer->data, (guint)answer->size_bytes);
}

static void
fake_events (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes)
{
  WcFakeFleet *fleet = user_data;
  char        *text = g_strndup (data ? (const char *)data : "", size_bytes);
  char       **lines = g_strsplit (text, "\n", -1);

  (void)call;
  if (size_bytes == 0)
    fleet->empty_polls++;
  for (char **line = lines; *line; line++)
    if (**line != '\0')
      {
        uint64_t event = g_ascii_strtoull (*line, NULL, 10);

        fleet->events_seen++;
        if (event > fleet->events_cursor + 1)
          fleet->event_gaps++;
        if (event <= fleet->events_cursor)
          fleet->event_repeats++;
        fleet->events_cursor = event;
      }
  if (size_bytes > 0)
    g_assert (cursor == fleet->events_cursor);
  g_strfreev (lines);
  g_free (text);
}

WcFakeFleet *
wc_fake_fleet_new (uint32_t seed, const WcClientConfig *config)
{
  static const WcClientOps ops = { .send = fake_send, .finished = fake_finished, .events = fake_events };
  WcFakeFleet             *fleet = g_new0 (WcFakeFleet, 1);
  WcClientConfig           defaults;
  uint32_t                 seeds[WC_CLIENT_SEED_WORDS] = { seed, 2, 3, 4 };

  wc_client_config_init (&defaults);
  fleet->random = g_rand_new_with_seed (seed);
  fleet->network = g_tree_new_full (fake_compare, NULL, NULL, g_free);
  fleet->orders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  fleet->request_answers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  fleet->answer = g_byte_array_new ();
  fleet->now_us = 1000000;
  fleet->delay_us = 2000;
  fleet->order_result = WC__INSTANCE_PACKET__RESULT__DONE;
  fleet->request_result = WC__INSTANCE_PACKET__RESULT__DONE;
  fleet->answer_bytes = 100;
  fleet->client = wc_client_new (config ? config : &defaults, seeds, &ops, fleet);
  return fleet;
}

void
wc_fake_fleet_delete (WcFakeFleet *fleet)
{
  wc_client_delete (fleet->client);
  g_hash_table_destroy (fleet->orders);
  g_hash_table_destroy (fleet->request_answers);
  g_tree_destroy (fleet->network);
  g_byte_array_free (fleet->answer, TRUE);
  g_rand_free (fleet->random);
  g_free (fleet);
}

void
wc_fake_fleet_run (WcFakeFleet *fleet, uint64_t until_us, uint32_t finished)
{
  while (fleet->finished < finished)
    {
      GTreeNode      *node = g_tree_node_first (fleet->network);
      WcFakeDatagram *datagram = node ? g_tree_node_key (node) : NULL;
      uint64_t        due_us = wc_client_get_due_us (fleet->client);

      if (datagram && datagram->due_us <= due_us && datagram->due_us <= until_us)
        {
          g_tree_steal (fleet->network, datagram);
          fleet->now_us = MAX (fleet->now_us, datagram->due_us);
          if (datagram->to_client)
            wc_client_receive (fleet->client, fleet->now_us, datagram->data, datagram->size_bytes);
          else
            fake_receive (fleet, datagram->data, datagram->size_bytes);
          g_free (datagram);
        }
      else if (due_us <= until_us)
        {
          fleet->now_us = MAX (fleet->now_us, due_us);
          wc_client_tick (fleet->client, fleet->now_us);
        }
      else
        break;
    }
  if (fleet->finished < finished)
    fleet->now_us = MAX (fleet->now_us, until_us);
}

void
wc_fake_fleet_inject (WcFakeFleet *fleet, const Wc__InstancePacket *packet)
{
  uint8_t data[WC_DATAGRAM_MAX_BYTES];
  size_t  size_bytes = wc__instance_packet__get_packed_size (packet);

  g_assert (size_bytes <= sizeof data);
  wc__instance_packet__pack (packet, data);
  wc_client_receive (fleet->client, fleet->now_us, data, size_bytes);
}

bool
wc_fake_fleet_answer_is_intact (const WcFakeFleet *fleet)
{
  if (fleet->answer->len != fleet->answer_bytes)
    return false;
  for (uint32_t i = 0; i < fleet->answer->len; i++)
    if (fleet->answer->data[i] != fake_byte (i))
      return false;
  return true;
}
