#ifndef WC_FORWARD_STORE_REPLICA_H
#define WC_FORWARD_STORE_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/store_change.h"

/**
 * struct WcStoreReplica - replica of the store's items.
 *
 * Every item carries the store revision of its last change, so changes may arrive from the store or from any other
 * instance, late or in duplicate: a change is applied only if its revision is higher, and an item never reverts.
 */
typedef struct WcStoreReplica WcStoreReplica;

/** WcStoreReplicaApply - called for each change that was not known before. */
typedef void (*WcStoreReplicaApply) (void *user_data, const WcStoreChange *change);

/**
 * wc_store_replica_new() - create a replica. @tombstone_lifetime_us: lifetime of tombstones, which are needed for
 * readers that request changes.
 */
WcStoreReplica *wc_store_replica_new (uint64_t tombstone_lifetime_us, WcStoreReplicaApply apply, void *user_data);
void            wc_store_replica_delete (WcStoreReplica *replica);

/** wc_store_replica_get_revision() - all changes up to this revision are known; 0 before the first full read. */
uint64_t wc_store_replica_get_revision (const WcStoreReplica *replica);

/** wc_store_replica_get_confirmed_us() - when a source last confirmed that the replica is current; 0 for never. */
uint64_t wc_store_replica_get_confirmed_us (const WcStoreReplica *replica);

/** wc_store_replica_begin_full_read() - start a read of the full range; items that it does not contain were deleted. */
void wc_store_replica_begin_full_read (WcStoreReplica *replica);

/**
 * wc_store_replica_add_page() - process a page of the full range.
 * @age_us: age of the source's own data when it replied; 0 for the store.
 *
 * Return: true when this was the last page and the range is complete.
 */
bool wc_store_replica_add_page (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us);

/**
 * wc_store_replica_add_changes() - apply changes since wc_store_replica_get_revision().
 * @age_us: as for wc_store_replica_add_page().
 */
void
wc_store_replica_add_changes (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us);

/**
 * wc_store_replica_get_changes() - changes after @revision, for another instance.
 *
 * Return: false when tombstones since then were evicted, so that the full range must be read.
 */
bool wc_store_replica_get_changes (const WcStoreReplica *replica, uint64_t revision, WcStoreReply *reply);

#endif
