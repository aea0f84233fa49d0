#ifndef WC_CORE_SHARD_STATE_H
#define WC_CORE_SHARD_STATE_H

#include <wigeoncart/dispatcher.h>
#include <wigeoncart/node.h>

#include "core/report_exchange.h"

/**
 * struct WcShardState - state of one shard of a service in the worker's failure domain.
 * @exchange: backlog reports between this owner and the owners in the other domains.
 * @feed_cursor: cursor of the newest known event, 0 while unknown.
 * @feed_handle: handle of the running long poll of the event feed, 0 for none.
 * @feed_after: cursor after which that long poll reads.
 * @feed_retry_us: earliest time at which the next long poll may start.
 */
typedef struct
{
  uint32_t         service;
  uint32_t         shard;
  WcDispatcher    *dispatcher;
  WcReportExchange exchange;
  uint64_t         feed_cursor;
  uint64_t         feed_handle;
  uint64_t         feed_after;
  uint64_t         feed_retry_us;
} WcShardState;

WcShardState *wc_shard_state_new (uint32_t service, uint32_t shard, const WcNodeConfig *config, GRand *random);
void          wc_shard_state_delete (WcShardState *state);

/** wc_shard_state_update_targets() - set the shard's targets to those in a register. */
void wc_shard_state_update_targets (WcShardState *state, uint64_t now_us, const WcRegister *reg, uint32_t domain);

#endif
