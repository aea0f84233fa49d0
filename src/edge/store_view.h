#ifndef WC_EDGE_STORE_VIEW_H
#define WC_EDGE_STORE_VIEW_H

#include "edge/event_log.h"
#include "forward/forwarder.h"
#include "forward/store_change.h"

/**
 * wc_store_view_apply() - decode a change of the store and tell the forwarder.
 *
 * An entry that cannot be decoded names no host; a configuration that cannot be decoded leaves the old one in force.
 * Items of other kinds are ignored.
 */
void wc_store_view_apply (WcForwarder *forwarder, WcEventLog *log, const WcStoreChange *change, uint64_t now_us);

#endif
