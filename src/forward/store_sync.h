#ifndef WC_FORWARD_STORE_SYNC_H
#define WC_FORWARD_STORE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/store_replica.h"

/** enum WcStoreRead - next read from a source. */
typedef enum
{
  /* A page of all items, after a key. */
  WC_STORE_READ_RANGE = 0,
  /* Changes after a revision, as soon as there are any. */
  WC_STORE_READ_CHANGES
} WcStoreRead;

/**
 * struct WcStoreSync - keeps a replica up to date from a source: first reads all items page by page, then their
 * changes; starts again with all items when the source no longer keeps the missing changes, or has a new era.
 */
typedef struct WcStoreSync WcStoreSync;

/** wc_store_sync_new() - create a synchronization of @replica, which must outlive it. */
WcStoreSync *wc_store_sync_new (WcStoreReplica *replica);
void         wc_store_sync_delete (WcStoreSync *sync);

/**
 * wc_store_sync_next() - the next read.
 * @after_key: for a range, the key after which the page begins, or NULL; valid until the next call.
 */
WcStoreRead wc_store_sync_next (WcStoreSync *sync, const char **after_key);

/**
 * wc_store_sync_answered() - process the reply to a read.
 * @age_us: age of the source's own data when it replied; 0 for the store.
 *
 * A reply of another era than the view or the pages before it is not applied; the full read starts again.
 *
 * Return: false when the reply cannot belong to the read, such as a page that does not continue the one before it, or
 * is empty although more follow, or when its era is older than that of the view. It is not applied, and counts as a
 * failed read.
 */
bool wc_store_sync_answered (WcStoreSync *sync, WcStoreRead read, const WcStoreReply *reply, uint64_t age_us,
                             uint64_t now_us);

/** wc_store_sync_expired() - the source no longer keeps the changes that were requested. */
void wc_store_sync_expired (WcStoreSync *sync);

/** wc_store_sync_source_changed() - another source is read from now on; a full read that is not complete begins anew.
 */
void wc_store_sync_source_changed (WcStoreSync *sync);

/**
 * wc_store_sync_failed() - record a failed read.
 *
 * Return: time to wait before the next read in microseconds; it doubles with each successive failure up to a limit.
 */
uint64_t wc_store_sync_failed (WcStoreSync *sync);

/** wc_store_sync_get_failures() - number of failed reads since the last reply. */
uint32_t wc_store_sync_get_failures (const WcStoreSync *sync);

#endif
