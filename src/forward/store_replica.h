#ifndef WC_FORWARD_STORE_REPLICA_H
#define WC_FORWARD_STORE_REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/store_change.h"

/**
 * struct WcStoreReplica - replica of the store's items.
 *
 * Every item carries the position of its last change in the store's history, so changes may arrive from the store or
 * from any other instance, late or in duplicate: a change is applied only if its version is higher, and an item never
 * reverts.
 *
 * A restored store starts a new history with the items of an older copy, to which its writers add what was lost. Until
 * they had time to do so, the copy does not replace newer items: changes that are older by their content, and the
 * absence of an item, are held back for a while. See wc_store_replica_get_held().
 */
typedef struct WcStoreReplica WcStoreReplica;

/**
 * struct WcStoreReplicaOps - callbacks of a replica.
 * @apply: called for each change that was not known before.
 * @compare: orders two values of a key by what their writer put into them, regardless of the store's history. Returns a
 * negative number when @a is older than @b, a positive one when it is newer, and 0 when they cannot be ordered.
 */
typedef struct
{
  void (*apply) (void *user_data, const WcStoreChange *change);
  int (*compare) (const char *key, GBytes *a, GBytes *b);
} WcStoreReplicaOps;

/**
 * wc_store_replica_new() - create a replica. @tombstone_lifetime_us: lifetime of tombstones, which are needed for
 * readers that request changes.
 */
WcStoreReplica *wc_store_replica_new (uint64_t tombstone_lifetime_us, const WcStoreReplicaOps *ops, void *user_data);
void            wc_store_replica_delete (WcStoreReplica *replica);

/** wc_store_replica_get_version() - all changes up to this version are known; revision 0 before the first full read. */
WcStoreVersion wc_store_replica_get_version (const WcStoreReplica *replica);

/** wc_store_replica_get_confirmed_us() - when a source last confirmed that the replica is current; 0 for never. */
uint64_t wc_store_replica_get_confirmed_us (const WcStoreReplica *replica);

/** wc_store_replica_get_held() - number of items of which a change is held back. */
size_t wc_store_replica_get_held (const WcStoreReplica *replica);

/** wc_store_replica_begin_full_read() - start a read of the full range; items that it does not contain were deleted. */
void wc_store_replica_begin_full_read (WcStoreReplica *replica);

/**
 * wc_store_replica_add_page() - process a page of the full range. All pages are from the same era.
 * @age_us: age of the source's own data when it replied; 0 for the store.
 *
 * Return: true when this was the last page and the range is complete.
 */
bool wc_store_replica_add_page (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us);

/**
 * wc_store_replica_add_changes() - apply changes since wc_store_replica_get_version(), of the same era.
 * @age_us: as for wc_store_replica_add_page().
 */
void
wc_store_replica_add_changes (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us);

/**
 * wc_store_replica_get_changes() - changes after @version, for another instance; all items if its revision is 0.
 *
 * Return: false when @version is of another era, or tombstones since then were evicted, so that the full range must be
 * read.
 */
bool wc_store_replica_get_changes (const WcStoreReplica *replica, WcStoreVersion version, WcStoreReply *reply);

#endif
