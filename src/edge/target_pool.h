#ifndef WC_EDGE_TARGET_POOL_H
#define WC_EDGE_TARGET_POOL_H

#include <ev.h>

#include "edge/target_connection.h"

/** struct WcTargetPool - connections of one worker to all targets. */
typedef struct WcTargetPool WcTargetPool;

/**
 * wc_target_pool_new() - @ops.misdirected and @ops.closed are the pool's own and ignored here.
 * @counters: gets the misdirected connections.
 */
WcTargetPool      *
wc_target_pool_new (struct ev_loop *loop, const WcConnectionOps *ops, void *user_data, WcCounters *counters);
void wc_target_pool_delete (WcTargetPool *pool);

/** wc_target_pool_dispatch() - start an attempt on an idle connection or a new one; its end is reported later. */
void wc_target_pool_dispatch (WcTargetPool *pool, const WcAttempt *attempt);

/** wc_target_pool_cancel() - close the attempt's connection; nothing more is reported of it. */
void wc_target_pool_cancel (WcTargetPool *pool, uint64_t attempt);

/** wc_target_pool_tick() - close connections that were idle too long or whose target is gone from @reg. */
void wc_target_pool_tick (WcTargetPool *pool, uint64_t now_us, const WcRegister *reg);

uint32_t wc_target_pool_get_connection_count (const WcTargetPool *pool);

#endif
