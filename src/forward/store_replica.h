#ifndef WC_FORWARD_STORE_REPLICA_H
#define WC_FORWARD_STORE_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/store_change.h"

/**
 * struct WcStoreReplica - what this instance knows of the store's items.
 *
 * Every item carries the store's revision of its last change, so that news may come from the store or from any other
 * instance, late or twice: only a higher revision of an item is taken, and nothing ever goes back.
 */
typedef struct WcStoreReplica WcStoreReplica;

/** WcStoreReplicaApply - called for each change that is news. */
typedef void (*WcStoreReplicaApply) (void *user_data, const WcStoreChange *change);

/** wc_store_replica_new() - @tombstone_lifetime_us: how long deletions are remembered, for those who ask for changes.
 */
WcStoreReplica *wc_store_replica_new (uint64_t tombstone_lifetime_us, WcStoreReplicaApply apply, void *user_data);
void            wc_store_replica_delete (WcStoreReplica *replica);

/** wc_store_replica_get_revision() - all changes up to this revision are known; 0 before the first whole read. */
uint64_t wc_store_replica_get_revision (const WcStoreReplica *replica);

/** wc_store_replica_get_confirmed_us() - when a source last confirmed that nothing newer exists; 0 for never. */
uint64_t wc_store_replica_get_confirmed_us (const WcStoreReplica *replica);

/** wc_store_replica_begin_full_read() - a read of the whole range begins; items that it does not bring were deleted. */
void wc_store_replica_begin_full_read (WcStoreReplica *replica);

/**
 * wc_store_replica_add_page() - a page of the whole range.
 * @age_us: how old the source's own knowledge was when it answered; 0 for the store.
 *
 * Return: true when it was the last one, and the range is whole.
 */
bool wc_store_replica_add_page (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us);

/**
 * wc_store_replica_add_changes() - changes since wc_store_replica_get_revision().
 * @age_us: as for wc_store_replica_add_page().
 */
void
wc_store_replica_add_changes (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us);

/**
 * wc_store_replica_get_changes() - what changed after @revision, for another instance.
 *
 * Return: false when deletions since then were forgotten, so that the whole range must be read.
 */
bool wc_store_replica_get_changes (const WcStoreReplica *replica, uint64_t revision, WcStoreReply *reply);

#endif
