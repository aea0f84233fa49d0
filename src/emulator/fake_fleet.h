#ifndef WC_EMULATOR_FAKE_FLEET_H
#define WC_EMULATOR_FAKE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <wigeoncart/answer_store.h>
#include <wigeoncart/client.h>
#include <wigeoncart/node.h>

#include "wigeoncart.pb-c.h"

/* A datagram in transit. @due_us: time of arrival; @serial orders datagrams that arrive at the same time. */
typedef struct
{
  uint64_t due_us;
  uint64_t serial;
  bool     to_client;
  size_t   size_bytes;
  uint8_t  data[WC_DATAGRAM_MAX_BYTES];
} WcFakeDatagram;

/* An order that the fleet received, one entry for each ticket. @runs: 1 if the order ran, otherwise 0; an order that is
 * repeated with the same ticket does not run again. */
typedef struct
{
  Wc__InstancePacket__Result result;
  uint32_t                   runs;
} WcFakeOrder;

/**
 * struct WcFakeFleet - a client, and a fleet that is simulated in the same process.
 * @network: datagrams in transit, by time of arrival.
 * @drops_fetches: fetches of parts get no response, as if the instance that holds the answer had failed.
 * @answer_is_not_stored: orders that ran get their result without the answer.
 * @order_run_us: time from the arrival of an order to its response.
 * @token_number: number of the last token issued.
 * @min_valid_token: tokens with a lower number have expired.
 * @refreshes_tokens: each response to a request is an empty answer with a new token.
 * @lost_answer: number of an answer for which fetches get no response.
 * @request_answers: number of the answer by request id.
 */
typedef struct
{
  WcClient *client;
  GRand    *random;
  GTree    *network;
  uint64_t  now_us;
  uint64_t  serial;

  /* Network faults. */
  double   loss;
  double   duplicate;
  uint64_t delay_us;
  uint64_t jitter_us;

  /* Behaviour of the fleet. */
  uint32_t                   answer_bytes;
  bool                       drops_fetches;
  bool                       answer_is_not_stored;
  bool                       drops_orders;
  bool                       drops_tickets;
  bool                       drops_opens;
  Wc__InstancePacket__Result order_result;
  Wc__InstancePacket__Result request_result;
  uint64_t                   order_run_us;
  uint32_t                   token_number;
  uint32_t                   min_valid_token;
  bool                       refreshes_tokens;
  uint64_t                   last_event;
  uint64_t                   lost_answer;

  /* Packets received and runs of the fleet. */
  GHashTable *orders;
  GHashTable *request_answers;
  uint32_t    opens;
  uint32_t    requests;
  uint32_t    rerouted;
  uint32_t    order_packets;
  uint32_t    fetches;
  uint32_t    releases;
  uint32_t    max_fetch_parts;
  uint32_t    max_attempt;
  size_t      max_datagram_bytes;
  uint32_t    last_token;
  uint64_t    last_answer;

  /* Results that the client reported. */
  uint32_t       finished;
  WcClientResult result;
  uint32_t       http_status;
  uint64_t       result_request_id;
  GByteArray    *answer;
  char           reason[128];
  uint64_t       events_cursor;
  uint32_t       event_gaps;
  uint32_t       event_repeats;
  uint32_t       events_seen;
  uint32_t       empty_polls;
} WcFakeFleet;

/** wc_fake_fleet_new() - create a client and its fleet. @config: settings of the client, or NULL for the defaults. */
WcFakeFleet *wc_fake_fleet_new (uint32_t seed, const WcClientConfig *config);

void wc_fake_fleet_delete (WcFakeFleet *fleet);

/**
 * wc_fake_fleet_run() - run network and client until the simulated time @until_us, or until @finished calls have ended
 * since wc_fake_fleet_new().
 */
void wc_fake_fleet_run (WcFakeFleet *fleet, uint64_t until_us, uint32_t finished);

/** wc_fake_fleet_inject() - deliver a packet to the client at once, as if an instance had sent it. */
void wc_fake_fleet_inject (WcFakeFleet *fleet, const Wc__InstancePacket *packet);

/** wc_fake_fleet_answer_is_intact() - whether the client reported the last answer with all bytes as sent. */
bool wc_fake_fleet_answer_is_intact (const WcFakeFleet *fleet);

#endif
