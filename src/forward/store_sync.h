#ifndef WC_FORWARD_STORE_SYNC_H
#define WC_FORWARD_STORE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/store_replica.h"

/** enum WcStoreRead - what to read from a source next. */
typedef enum
{
  /* A page of all items, after a key. */
  WC_STORE_READ_RANGE = 0,
  /* Changes after a revision, as soon as there are some. */
  WC_STORE_READ_CHANGES
} WcStoreRead;

/**
 * struct WcStoreSync - keeps a replica up to date from a source: first all items page by page, then their changes; all
 * items again when the source no longer keeps the changes that are missing.
 */
typedef struct WcStoreSync WcStoreSync;

/** wc_store_sync_new() - @replica must live as long as the sync. */
WcStoreSync *wc_store_sync_new (WcStoreReplica *replica);
void         wc_store_sync_delete (WcStoreSync *sync);

/**
 * wc_store_sync_next() - what to read next.
 * @after_key: for a range, the key after which the page begins, or NULL; valid until the next call.
 */
WcStoreRead wc_store_sync_next (WcStoreSync *sync, const char **after_key);

/**
 * wc_store_sync_answered() - the read has brought @reply.
 * @age_us: how old the source's own knowledge was when it answered; 0 for the store.
 */
void wc_store_sync_answered (WcStoreSync *sync, WcStoreRead read, const WcStoreReply *reply, uint64_t age_us,
                             uint64_t now_us);

/** wc_store_sync_expired() - the source no longer keeps the changes that were asked for. */
void wc_store_sync_expired (WcStoreSync *sync);

/**
 * wc_store_sync_failed() - the read has failed.
 *
 * Return: how long to wait before the next one; it grows with each failure in a row.
 */
uint64_t wc_store_sync_failed (WcStoreSync *sync);

/** wc_store_sync_get_failures() - failed reads since the last answer. */
uint32_t wc_store_sync_get_failures (const WcStoreSync *sync);

#endif
