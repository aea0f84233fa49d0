#ifndef WC_CORE_NODE_PRIVATE_H
#define WC_CORE_NODE_PRIVATE_H

#include <glib.h>

#include <wigeoncart/answer_store.h>
#include <wigeoncart/ledger.h>
#include <wigeoncart/node.h>
#include <wigeoncart/stream_table.h>
#include <wigeoncart/ticket.h>
#include <wigeoncart/token.h>

#include "core/domain_delay.h"
#include "core/spill_table.h"
#include "core/relay_packet.h"
#include "core/request_table.h"
#include "core/route_cache.h"
#include "core/shard_state.h"
#include "core/ticket_window.h"
#include "core/token_cache.h"
#include "wigeoncart.pb-c.h"

enum
{
  /* Verified tokens that a worker keeps, in at most 12 MB. */
  WC_NODE_TOKEN_CACHE_ENTRIES = 65536,
  /* Parts that follow a finished request without being asked for. */
  WC_NODE_INITIAL_PARTS = 16,
  /* Most parts that one FETCH is answered with. */
  WC_NODE_FETCH_MAX_PARTS = 64,
  WC_NODE_FEED_WAIT_MS = 5000,
  WC_NODE_FEED_RETRY_US = 200 * 1000,
  /* A caller that names a longer deadline is held to this one. */
  WC_NODE_MAX_REMAINING_MS = 120 * 1000,
  /* From this attempt on, a caller's packets stay in the failure domain that they arrive in. */
  WC_NODE_FIRST_LOCAL_ATTEMPT = 2,
  WC_NODE_DEFAULT_WORTH = 1,
  WC_NODE_REPORT_ARENA_BYTES = 1024
};

struct WcNode
{
  WcNodeConfig     config;
  const WcNodeOps *ops;
  void            *user_data;
  WcCounters      *counters;
  GRand           *random;
  WcSealer         sealer;
  WcView          *view;
  WcRouteCache    *routes;
  WcTokenCache    *tokens;
  WcLedger        *ledger;
  WcAnswerStore   *answers;
  WcStreamTable   *streams;
  WcRequestTable  *requests;
  GHashTable      *services;
  WcTicketWindow   tickets;
  uint64_t         next_serial;
  uint64_t         wall_s;
  uint64_t         last_clock_us;
  /* After a pause of the process, nothing is dispatched until a view is newer than this or the limit has passed. */
  uint64_t resumed_us;
  /* Reports between owners: when they were last checked, the first service that the budget left out, and the budget. */
  uint64_t       last_report_check_us;
  uint32_t       next_report_index;
  int64_t        report_budget_bytes;
  WcDomainDelays delays;
  WcSpillTable   passed;
};

/**
 * struct WcNodePacket - a parsed datagram together with where it came from.
 * @hops: how often it was relayed.
 * @passed_from: domain whose owner passed it on, 0 when none did.
 * @data, @size_bytes: the caller's datagram as received, for relaying.
 * @token: valid unless the packet opens a flow.
 */
typedef struct
{
  uint64_t                now_us;
  WcAddress               caller;
  uint32_t                hops;
  uint32_t                passed_from;
  const uint8_t          *data;
  size_t                  size_bytes;
  const Wc__CallerPacket *message;
  const WcService        *service;
  WcToken                 token;
  bool                    token_needs_renewal;
} WcNodePacket;

/* node_route.c: decides where a datagram is handled. */
void wc_node_route (WcNode *node, WcNodePacket *packet);
void wc_node_relay (WcNode *node, const WcNodePacket *packet, const WcMember *member, uint32_t worker);

/* node_spill.c: requests that are passed on to the owner in another domain, and the reports that this is based on. */
void wc_node_spill_apply_view (WcNode *node, WcShardState *state);
void wc_node_spill_tick (WcNode *node, uint64_t now_us);
void wc_node_handle_report (WcNode *node, uint64_t now_us, const uint8_t *data, size_t size_bytes);
/* Both return true when the packet was passed on. */
bool wc_node_spill_request (WcNode *node, const WcNodePacket *packet, uint32_t shard);
bool wc_node_spill_cancel (WcNode *node, const WcNodePacket *packet, uint32_t shard);

/* node_request.c: idempotent requests, polls, and what all requests have in common. */
void       wc_node_handle_request (WcNode *node, const WcNodePacket *packet, uint32_t shard);
void       wc_node_handle_cancel (WcNode *node, const WcNodePacket *packet, uint32_t shard);
void       wc_node_stop_request (WcNode *node, uint64_t now_us, WcRequest *request, const char *reason);
WcRequest *wc_node_accept_request (WcNode *node, const WcNodePacket *packet, WcRequestKind kind, uint32_t shard);
WcRefusal  wc_node_submit_request (WcNode *node, uint64_t now_us, WcRequest *request);
void       wc_node_finish_request (WcNode *node, uint64_t now_us, WcRequest *request, Wc__InstancePacket__Result result,
                                   const char *reason);
void       wc_node_run_dispatcher (WcNode *node, uint64_t now_us, WcShardState *state);
void       wc_node_run_dispatchers (WcNode *node, uint64_t now_us);
void       wc_node_end_attempt (WcNode *node, uint64_t now_us, WcRequest *request, WcOutcome outcome);
bool       wc_node_may_dispatch (const WcNode *node, uint64_t now_us);

/* node_order.c: tickets and orders. */
void wc_node_handle_ticket (WcNode *node, const WcNodePacket *packet, uint32_t shard);
void wc_node_handle_order (WcNode *node, const WcNodePacket *packet, const WcTicket *ticket);
void wc_node_record_order_result (WcNode *node, WcRequest *request, Wc__InstancePacket__Result result);

/* node_stream.c: event streams. */
void wc_node_handle_poll (WcNode *node, const WcNodePacket *packet);
void wc_node_feed_tick (WcNode *node, uint64_t now_us);
void wc_node_feed_done (WcNode *node, uint64_t now_us, WcRequest *request, uint32_t http_status, uint64_t cursor);
void wc_node_feed_ended (WcNode *node, uint64_t now_us, WcRequest *request);
void wc_node_feed_apply_view (WcNode *node, uint64_t now_us);

/* node_reply.c: datagrams to callers. */
void wc_node_handle_open (WcNode *node, const WcNodePacket *packet, uint32_t shard);
void wc_node_handle_fetch (WcNode *node, const WcNodePacket *packet);
void wc_node_reply (WcNode *node, const WcAddress *caller, const Wc__InstancePacket *message);
void wc_node_reply_result (WcNode *node, const WcAddress *caller, uint64_t request_id,
                           Wc__InstancePacket__Result result, const char *reason);
void wc_node_reply_parts (WcNode *node, const WcAddress *caller, uint64_t request_id, uint64_t answer,
                          uint32_t first_part, uint32_t part_count, uint64_t cursor, const WcToken *renewed_token);

/* node.c */
WcShardState *wc_node_get_shard (WcNode *node, uint64_t now_us, uint32_t service, uint32_t shard);
void          wc_node_increment (WcNode *node, WcCounter counter);
void          wc_node_record_event (WcNode *node, WcEventKind kind, const WcRequest *request, const char *reason);
uint64_t      wc_node_random64 (WcNode *node);

#endif
