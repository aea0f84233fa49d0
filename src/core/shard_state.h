#ifndef WC_CORE_SHARD_STATE_H
#define WC_CORE_SHARD_STATE_H

#include <wigeoncart/dispatcher.h>
#include <wigeoncart/node.h>

#include "core/report_exchange.h"

/**
 * struct WcShardState - what a worker keeps of one shard of a service in its failure domain.
 * @exchange: reports between this owner and those of the other domains.
 * @feed_cursor: newest event known to exist, 0 while unknown.
 * @feed_handle: request of the running long poll, 0 for none.
 * @feed_after: cursor from which that long poll reads.
 * @feed_retry_us: no long poll starts before this time.
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

/** wc_shard_state_update_targets() - take over the shard's targets from a register. */
void wc_shard_state_update_targets (WcShardState *state, uint64_t now_us, const WcRegister *reg, uint32_t domain);

#endif
