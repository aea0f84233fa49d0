#ifndef WC_TESTS_FORWARD_FIXTURE_H
#define WC_TESTS_FORWARD_FIXTURE_H

#include <string.h>

#include <glib.h>

#include "forward/forwarder.h"

/*
 * Runs a forwarder without sockets: its actions are recorded, and packets of callers are synthesized. It has no peers
 * unless a test sets their number.
 */

enum
{
  FIXTURE_RECORDS = 4096,
  FIXTURE_ROUTE_IP = 0xc6120001,
  FIXTURE_ROUTE_PORT = 443,
  /* Port of the route of kind WC_TRAFFIC_ONCE. */
  FIXTURE_ONCE_PORT = 8080,
  /* Port of the route with a published latency target. */
  FIXTURE_LATENCY_PORT = 8443,
  FIXTURE_HEADER_BYTES = 31,
  FIXTURE_INCARNATION = 77
};

typedef struct
{
  WcFlowKey key;
  uint64_t  host;
  uint32_t  cookie;
} FixtureForward;

typedef struct
{
  WcForwarder   *forwarder;
  uint64_t       now_us;
  size_t         forward_count;
  FixtureForward forwards[FIXTURE_RECORDS];
  size_t         reset_count;
  WcFlowKey      resets[FIXTURE_RECORDS];
  uint32_t       reset_sequences[FIXTURE_RECORDS];
  uint32_t       decisions[WC_DECISION_COUNT];
  uint64_t       last_evidence_us;
  uint64_t       last_own_expected_us;
  uint64_t       last_other_expected_us;
  uint32_t       opened;
  uint32_t       answered;
  size_t         peers;
  uint32_t       questions;
  WcFlowNote     last_question;
  uint32_t       announcements;
  WcFlowNote     last_announcement;
} ForwardFixture;

static void
fixture_forward (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie)
{
  ForwardFixture *fixture = user_data;

  fixture->forwards[fixture->forward_count++ % FIXTURE_RECORDS] =
      (FixtureForward){ packet->key, host->record.id, cookie };
}

static void
fixture_reset (void *user_data, const WcFlowKey *key, uint32_t sequence)
{
  ForwardFixture *fixture = user_data;

  fixture->resets[fixture->reset_count % FIXTURE_RECORDS] = *key;
  fixture->reset_sequences[fixture->reset_count++ % FIXTURE_RECORDS] = sequence;
}

static void
fixture_decided (void *user_data, const WcDecision *decision)
{
  ForwardFixture *fixture = user_data;

  fixture->decisions[decision->kind]++;
  fixture->last_evidence_us = decision->evidence_us;
  if (decision->kind != WC_DECISION_PLACED_AWAY)
    return;
  fixture->last_own_expected_us = decision->own_expected_us;
  fixture->last_other_expected_us = decision->other_expected_us;
}

static void
fixture_opened (void *user_data, uint64_t time_us)
{
  (void)time_us;
  ((ForwardFixture *)user_data)->opened++;
}

static void
fixture_answered (void *user_data, uint64_t time_us)
{
  (void)time_us;
  ((ForwardFixture *)user_data)->answered++;
}

static size_t
fixture_ask_host (void *user_data, const WcFlowNote *question)
{
  ForwardFixture *fixture = user_data;

  fixture->questions++;
  fixture->last_question = *question;
  return fixture->peers;
}

static void
fixture_announce_host (void *user_data, const WcFlowNote *note)
{
  ForwardFixture *fixture = user_data;

  fixture->announcements++;
  fixture->last_announcement = *note;
}

static inline WcRouteTable *
fixture_routes (uint64_t version)
{
  WcRouteTable *routes = wc_route_table_new (version);
  WcRoute       route = {
          .ip = FIXTURE_ROUTE_IP,
          .port = FIXTURE_ROUTE_PORT,
          .kind = WC_TRAFFIC_IDEMPOTENT,
          .service_count = 1,
          .services = { { g_quark_from_string ("desk"), 1 } },
  };

  wc_route_table_add (routes, &route);
  route.port = FIXTURE_ONCE_PORT;
  route.kind = WC_TRAFFIC_ONCE;
  wc_route_table_add (routes, &route);
  route.port = FIXTURE_LATENCY_PORT;
  route.kind = WC_TRAFFIC_IDEMPOTENT;
  route.target_latency_ms = 150;
  route.time_limit_ms = 2000;
  wc_route_table_add (routes, &route);
  wc_route_table_set_idle_timeout_ms (routes, 15000);
  return routes;
}

static inline void
fixture_init_with (ForwardFixture *fixture, const WcForwarderSettings *settings)
{
  static const WcForwarderOps ops = { fixture_forward,  fixture_reset,    fixture_decided,      fixture_opened,
                                      fixture_answered, fixture_ask_host, fixture_announce_host };

  memset (fixture, 0, sizeof *fixture);
  fixture->now_us = 1000 * 1000 * 1000;
  fixture->forwarder = wc_forwarder_new (settings, &ops, fixture);
  wc_forwarder_set_routes (fixture->forwarder, fixture_routes (1), fixture->now_us);
}

static inline void
fixture_init_features (ForwardFixture *fixture, WcForwardFeatures features)
{
  const WcForwarderSettings settings = {
    .domain = g_quark_from_string ("a"),
    .incarnation = FIXTURE_INCARNATION,
    .max_flows = 4096,
    .flow_lifetime_us = 60 * 1000 * 1000,
    .features = features,
  };

  fixture_init_with (fixture, &settings);
}

static inline void
fixture_init (ForwardFixture *fixture)
{
  fixture_init_features (fixture, (WcForwardFeatures){ 0 });
}

static inline void
fixture_finish (ForwardFixture *fixture)
{
  wc_forwarder_delete (fixture->forwarder);
}

static inline void
fixture_put_host (ForwardFixture *fixture, uint64_t id, const char *domain, WcHostState state)
{
  const WcHostRecord record = {
    .id = id,
    .service = g_quark_from_string ("desk"),
    .domain = g_quark_from_string (domain),
    .address = { .ip = { 10, 1, 0, (uint8_t)id }, .family = 4, .port = 8080 },
    .state = state,
    .slots = 2,
  };

  wc_forwarder_put_host (fixture->forwarder, &record, id, fixture->now_us);
}

/* Id of the host to which the last packet was forwarded; 0 before the first. */
static inline uint64_t
fixture_last_host (const ForwardFixture *fixture)
{
  return fixture->forward_count > 0 ? fixture->forwards[(fixture->forward_count - 1) % FIXTURE_RECORDS].host : 0;
}

static inline WcHost *
fixture_find_host (const ForwardFixture *fixture, uint64_t id)
{
  return wc_host_table_find (wc_forwarder_get_hosts (fixture->forwarder), id);
}

static inline void
fixture_packet (ForwardFixture *fixture, uint16_t caller, uint16_t route_port, uint8_t flags, uint32_t sequence,
                uint32_t acknowledged, uint16_t data_bytes, uint32_t cookie)
{
  static uint8_t bytes[FIXTURE_HEADER_BYTES + 1200];
  const WcPacket packet = {
    .key = { 0x64400007, FIXTURE_ROUTE_IP, caller, route_port },
    .cookie = cookie,
    .sequence = sequence,
    .acknowledged = acknowledged,
    .data_bytes = data_bytes,
    .flags = flags,
    .size_bytes = (uint16_t)(FIXTURE_HEADER_BYTES + data_bytes),
    .bytes = bytes,
  };

  wc_forwarder_receive (fixture->forwarder, &packet, fixture->now_us);
}

/* SYN of a caller after @retransmissions retransmissions; a SYN carries their number in its acknowledgement field. */
static inline void
fixture_syn (ForwardFixture *fixture, uint16_t caller, uint16_t route_port, uint32_t retransmissions)
{
  fixture_packet (fixture, caller, route_port, WC_PACKET_SYN, 1000, retransmissions, 0, 0);
}

/* The same for an opening that waited in the socket of this instance. */
static inline void
fixture_late_syn (ForwardFixture *fixture, uint16_t caller, uint32_t retransmissions, uint64_t waited_us)
{
  static const uint8_t bytes[FIXTURE_HEADER_BYTES];
  const WcPacket       packet = {
          .key = { 0x64400007, FIXTURE_ROUTE_IP, caller, FIXTURE_ROUTE_PORT },
          .sequence = 1000,
          .acknowledged = retransmissions,
          .flags = WC_PACKET_SYN,
          .size_bytes = FIXTURE_HEADER_BYTES,
          .waited_us = waited_us,
          .bytes = bytes,
  };

  wc_forwarder_receive (fixture->forwarder, &packet, fixture->now_us);
}

/* The same for another flow of the same port, which starts at another sequence number. */
static inline void
fixture_syn_again (ForwardFixture *fixture, uint16_t caller, uint16_t route_port, uint32_t retransmissions)
{
  fixture_packet (fixture, caller, route_port, WC_PACKET_SYN, 900 * 1000 * 1000, retransmissions, 0, 0);
}

/* A request or its retransmission: 200 bytes at @offset of the caller's data, after @received bytes of answers. */
static inline void
fixture_request (ForwardFixture *fixture, uint16_t caller, uint16_t route_port, uint32_t offset, uint32_t received,
                 uint64_t host)
{
  fixture_packet (fixture, caller, route_port, WC_PACKET_ACK, 1001 + offset, 5001 + received, 200,
                  fixture_find_host (fixture, host)->cookie);
}

static inline void
fixture_acknowledge (ForwardFixture *fixture, uint16_t caller, uint16_t route_port, uint32_t offset, uint32_t received,
                     uint64_t host)
{
  fixture_packet (fixture, caller, route_port, WC_PACKET_ACK, 1001 + offset, 5001 + received, 0,
                  fixture_find_host (fixture, host)->cookie);
}

/* Advances the clock and runs ticks and timers as the server does. */
static inline void
fixture_advance (ForwardFixture *fixture, uint64_t span_us)
{
  uint64_t end_us = fixture->now_us + span_us;

  while (fixture->now_us < end_us)
    {
      uint64_t step_us = MIN (end_us - fixture->now_us, 10 * 1000);

      fixture->now_us += step_us;
      if (fixture->now_us >= wc_forwarder_get_deadline_us (fixture->forwarder))
        wc_forwarder_run_timers (fixture->forwarder, fixture->now_us);
      if (fixture->now_us / 100000 != (fixture->now_us - step_us) / 100000)
        wc_forwarder_tick (fixture->forwarder, fixture->now_us);
    }
}

#endif
