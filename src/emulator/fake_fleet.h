#ifndef WC_EMULATOR_FAKE_FLEET_H
#define WC_EMULATOR_FAKE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <wigeoncart/answer_store.h>
#include <wigeoncart/client.h>
#include <wigeoncart/node.h>

#include "wigeoncart.pb-c.h"

/* A datagram on its way; direction is known by to_client. */
typedef struct
{
  uint64_t due_us;
  uint64_t serial;
  bool     to_client;
  size_t   size_bytes;
  uint8_t  data[WC_DATAGRAM_MAX_BYTES];
} WcFakeDatagram;

typedef struct
{
  Wc__InstancePacket__Result result;
  uint32_t                   runs;
} WcFakeOrder;

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

  /* Observations. */
  GHashTable *orders;
  GHashTable *request_runs;
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

  /* Results. */
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

/** wc_fake_fleet_new() - a caller's library and a fleet of one process that answers it, over a simulated network. */
WcFakeFleet *wc_fake_fleet_new (uint32_t seed, const WcClientConfig *config);

void wc_fake_fleet_delete (WcFakeFleet *fleet);

/** wc_fake_fleet_run() - deliver datagrams and let time pass until @until_us, or until @finished calls have ended. */
void wc_fake_fleet_run (WcFakeFleet *fleet, uint64_t until_us, uint32_t finished);

/** wc_fake_fleet_inject() - hand a packet to the caller's library as if it came from the fleet. */
void wc_fake_fleet_inject (WcFakeFleet *fleet, const Wc__InstancePacket *packet);

/** wc_fake_fleet_answer_is_intact() - whether the last answer has all its bytes as sent. */
bool wc_fake_fleet_answer_is_intact (const WcFakeFleet *fleet);

#endif
