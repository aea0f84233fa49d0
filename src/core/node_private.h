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
#include "core/relay_packet.h"
#include "core/request_table.h"
#include "core/route_cache.h"
#include "core/shard_state.h"
#include "core/spill_table.h"
#include "core/ticket_window.h"
#include "core/token_cache.h"
#include "wigeoncart.pb-c.h"

enum
{
  /* Verified tokens cached per worker; at most 12 MB. */
  WC_NODE_TOKEN_CACHE_ENTRIES = 65536,
  /* Parts of the answer sent without a FETCH when a request is done. */
  WC_NODE_INITIAL_PARTS = 16,
  /* Maximum number of parts sent per FETCH. */
  WC_NODE_FETCH_MAX_PARTS = 64,
  WC_NODE_FEED_WAIT_MS = 5000,
  WC_NODE_FEED_RETRY_US = 200 * 1000,
  /* Maximum deadline of a request; longer ones are reduced to it. */
  WC_NODE_MAX_REMAINING_MS = 120 * 1000,
  /* From this transmission by the caller on (field "attempt" of its datagrams), a request is handled in the failure
   * domain in which it arrives. */
  WC_NODE_FIRST_LOCAL_ATTEMPT = 2,
  /* Worth of requests whose customer is not configured. */
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
  GHashTable      *shards;
  WcTicketWindow   tickets;
  uint64_t         next_serial;
  uint64_t         wall_s;
  uint64_t         last_clock_us;
  /* End of the last pause of the process, 0 for none. Nothing is dispatched until a view has been confirmed after this
   * time or the timeout for that has expired. */
  uint64_t resumed_us;
  /* Backlog reports: time of the last check, index of the shard to start the next check with, and remaining budget. */
  uint64_t       last_report_check_us;
  uint32_t       next_report_index;
  int64_t        report_budget_bytes;
  WcDomainDelays delays;
  WcSpillTable   spill_table;
};

/**
 * struct WcNodePacket - a caller's datagram that is being handled.
 * @hops: number of times it was relayed.
 * @passed_from: domain whose owner spilled the request, 0 when it was not spilled.
 * @data, @size_bytes: the datagram as received, for relaying.
 * @message: the parsed datagram.
 * @token: verified token; not set for OPEN and ORDER.
 * @token_needs_renewal: the token is sealed with an older key or in the second half of its lifetime.
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

/* node_route.c: selects the worker that handles a datagram. */
void wc_node_route (WcNode *node, WcNodePacket *packet);
void wc_node_relay (WcNode *node, const WcNodePacket *packet, const WcMember *member, uint32_t worker);

/* node_spill.c: spills requests to the owner in another domain, based on backlog reports. */
void wc_node_spill_apply_view (WcNode *node, WcShardState *state);
void wc_node_spill_tick (WcNode *node, uint64_t now_us);
void wc_node_handle_report (WcNode *node, uint64_t now_us, const uint8_t *data, size_t size_bytes);
/* These two return true when the packet was relayed to another domain. */
bool wc_node_spill_request (WcNode *node, const WcNodePacket *packet, uint32_t shard);
bool wc_node_spill_cancel (WcNode *node, const WcNodePacket *packet, uint32_t shard);

/* node_request.c: idempotent requests, and functions shared by all kinds of requests. */
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
