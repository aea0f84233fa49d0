#ifndef WC_EDGE_TARGET_POOL_H
#define WC_EDGE_TARGET_POOL_H

#include <ev.h>

#include "edge/target_connection.h"

/** struct WcTargetPool - the connections of one worker to all targets. */
typedef struct WcTargetPool WcTargetPool;

/**
 * wc_target_pool_new() - create an empty pool.
 * @ops: callbacks for the attempts; @misdirected and @closed are handled by the pool and ignored.
 * @counters: the pool counts connections that a host rejected as misdirected.
 */
WcTargetPool      *
wc_target_pool_new (struct ev_loop *loop, const WcConnectionOps *ops, void *user_data, WcCounters *counters);
void wc_target_pool_delete (WcTargetPool *pool);

/**
 * wc_target_pool_dispatch() - start an attempt on an idle or a new connection.
 *
 * The result is reported later from the event loop, never during this call.
 */
void wc_target_pool_dispatch (WcTargetPool *pool, const WcAttempt *attempt);

/** wc_target_pool_cancel() - close the connection of the attempt; no further callback is called for the attempt. */
void wc_target_pool_cancel (WcTargetPool *pool, uint64_t attempt);

/** wc_target_pool_tick() - close idle connections after the idle timeout, or when @reg no longer has their target. */
void wc_target_pool_tick (WcTargetPool *pool, uint64_t now_us, const WcRegister *reg);

uint32_t wc_target_pool_get_connection_count (const WcTargetPool *pool);

#endif
