#ifndef WC_FORWARD_FLOW_TABLE_H
#define WC_FORWARD_FLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/packet.h"

/** enum WcFlowState - state of a flow, derived from its caller's packets. */
typedef enum
{
  /* A SYN was forwarded; no answer of a host is confirmed yet. */
  WC_FLOW_OPENING = 0,
  WC_FLOW_OPEN,
  /* The caller has sent its last data. */
  WC_FLOW_CLOSING,
  /* A peer has named the host of the open flow; no packet of it has arrived here since. */
  WC_FLOW_LEARNED
} WcFlowState;

/**
 * struct WcFlow - tracked state of a flow. An instance that loses it, or never had it, knows the host from a confirmed
 * cookie in the caller's packets. A caller whose cookie is not confirmed may have that of another host; what then names
 * the host of the flow is the state of the peers that were told, see forwarder_inquiry.c.
 * @cookie: identifies the host of the flow.
 * @sent_end: sequence number after the last data that the caller has sent.
 * @acknowledged: the caller's latest acknowledgement number.
 * @retransmissions: number of retransmissions since the host's last response.
 * @counted: the flow is included in the host's number of flows.
 * @busy: the flow is included in the host's number of busy flows: it is opening or @request_us is set, and it has not
 * moved.
 * @moved: a request is unanswered, and no packet has arrived for so long that another instance must be receiving the
 * flow; or the opening was not answered in time.
 * @second_host: the opening was forwarded to a second host because the first did not answer.
 * @failed: the pending request was counted as failed.
 * @is_ambiguous: more than one host may have answered the opening; peers know which one the caller chose.
 * @unanswered_cookie: identifies the host that left the opening unanswered before it was forwarded to another one; 0
 * for none.
 * @request_id: identifier of the last request; 0 when unknown.
 * @opened_us: when the opening was last placed, or when the first packet of an open flow arrived.
 * @last_packet_us: when the latest packet arrived or the opening was last placed.
 * @request_us: when the caller sent the oldest unanswered data; 0 for none.
 * @unanswered_us: when the flow was last counted as evidence on an unresponsive host.
 */
typedef struct
{
  WcFlowKey key;
  uint32_t  cookie;
  uint32_t  sent_end;
  uint32_t  acknowledged;
  uint8_t   state;
  uint8_t   kind;
  uint8_t   retransmissions;
  uint8_t   counted : 1;
  uint8_t   busy : 1;
  uint8_t   moved : 1;
  uint8_t   second_host : 1;
  uint8_t   failed : 1;
  uint8_t   is_ambiguous : 1;
  uint32_t  unanswered_cookie;
  uint64_t  request_id;
  uint64_t  opened_us;
  uint64_t  last_packet_us;
  uint64_t  request_us;
  uint64_t  unanswered_us;
} WcFlow;

/** struct WcFlowTable - bounded hash table of flows. */
typedef struct WcFlowTable WcFlowTable;

/** wc_flow_table_new() - create a table. @max_flows: maximum number of tracked flows. */
WcFlowTable *wc_flow_table_new (size_t max_flows);
void         wc_flow_table_delete (WcFlowTable *table);
size_t       wc_flow_table_get_count (const WcFlowTable *table);

/** wc_flow_table_find() - look up a flow. Return: the flow, or NULL. */
WcFlow *wc_flow_table_find (const WcFlowTable *table, const WcFlowKey *key);

/**
 * wc_flow_table_add() - add a flow; @key must not be in the table.
 *
 * Return: the flow, zeroed except for its key, or NULL when the table is full. Valid until the next addition or
 * removal.
 */
WcFlow *wc_flow_table_add (WcFlowTable *table, const WcFlowKey *key);
void    wc_flow_table_remove (WcFlowTable *table, WcFlow *flow);

/**
 * WcFlowVisit - callback for each flow of a walk; must not add or remove flows itself.
 *
 * Return: false to remove the flow.
 */
typedef bool (*WcFlowVisit) (void *user_data, WcFlow *flow);

/** wc_flow_table_walk() - visit up to @max_slots slots of the table, starting where the last walk ended. */
void wc_flow_table_walk (WcFlowTable *table, size_t max_slots, WcFlowVisit visit, void *user_data);

/** wc_flow_table_walk_all() - visit all flows. */
void wc_flow_table_walk_all (WcFlowTable *table, WcFlowVisit visit, void *user_data);

bool wc_flow_key_equal (const WcFlowKey *a, const WcFlowKey *b);

/** wc_flow_key_hash() - hash of a key; the same on all instances. */
uint64_t wc_flow_key_hash (const WcFlowKey *key);

#endif
