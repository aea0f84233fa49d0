#ifndef WC_FORWARD_FLOW_TABLE_H
#define WC_FORWARD_FLOW_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/packet.h"

/** enum WcFlowState - progress of a flow as its caller's packets show it. */
typedef enum
{
  /* A SYN was forwarded; nothing shows yet that a host answered. */
  WC_FLOW_OPENING = 0,
  WC_FLOW_OPEN,
  /* The caller sent its last data. */
  WC_FLOW_CLOSING
} WcFlowState;

/**
 * struct WcFlow - what an instance remembers of a flow. Losing it costs efficiency only.
 * @cookie: names the host of the flow.
 * @sent_end: end of the data that the caller has sent.
 * @acknowledged: what the caller acknowledged last.
 * @request_id: of the last request; 0 when it is not known.
 * @opened_us, @last_packet_us: first and last packet.
 * @request_us: when the caller sent the oldest data that were not answered yet; 0 for none.
 * @retransmissions: how often the caller sent again without a sign of life of the host in between.
 * @unanswered_us: when the flow was last counted as evidence of a silent host.
 * @counted: the flow counts in the flows of its host.
 * @moved: no packet for so long with a request unanswered that another instance gets them now.
 * @second_host: the opening was given to a second host, because the first did not answer it.
 * @busy: the flow counts in the busy flows of its host, that is, @request_us is set and the flow has not moved.
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
  uint64_t  request_id;
  uint64_t  opened_us;
  uint64_t  last_packet_us;
  uint64_t  request_us;
  uint64_t  unanswered_us;
} WcFlow;

/** struct WcFlowTable - bounded hash table of flows. */
typedef struct WcFlowTable WcFlowTable;

/** wc_flow_table_new() - @max_flows: a flow beyond that is not remembered. */
WcFlowTable *wc_flow_table_new (size_t max_flows);
void         wc_flow_table_delete (WcFlowTable *table);
size_t       wc_flow_table_get_count (const WcFlowTable *table);

/** wc_flow_table_find() - the flow, or NULL. */
WcFlow *wc_flow_table_find (const WcFlowTable *table, const WcFlowKey *key);

/**
 * wc_flow_table_add() - a new flow; @key must not be in the table.
 *
 * Return: the flow, zero but for its key, or NULL when the table is full. Valid until the next add or removal.
 */
WcFlow *wc_flow_table_add (WcFlowTable *table, const WcFlowKey *key);
void    wc_flow_table_remove (WcFlowTable *table, WcFlow *flow);

/**
 * WcFlowVisit - called for each flow of a walk; must not add or remove flows itself.
 *
 * Return: false to remove the flow.
 */
typedef bool (*WcFlowVisit) (void *user_data, WcFlow *flow);

/** wc_flow_table_walk() - visit up to @max_slots slots of the table, beginning where the last walk ended. */
void wc_flow_table_walk (WcFlowTable *table, size_t max_slots, WcFlowVisit visit, void *user_data);

/** wc_flow_table_walk_all() - visit all flows. */
void wc_flow_table_walk_all (WcFlowTable *table, WcFlowVisit visit, void *user_data);

bool wc_flow_key_equal (const WcFlowKey *a, const WcFlowKey *b);

/** wc_flow_key_hash() - equal keys have equal hashes on all instances. */
uint64_t wc_flow_key_hash (const WcFlowKey *key);

#endif
