#include "forward/store_sync.h"

#include <assert.h>

enum
{
  /*
   * First pause after a failed read, and the longest one. A store that is away should not get the calls of all
   * instances in a loop, and an instance that cannot read should follow within a fraction of a second when it comes
   * back.
   */
  FIRST_PAUSE_US = 50 * 1000,
  LONGEST_PAUSE_US = 400 * 1000
};

/*
 * @whole: all items were read once.
 * @after_key: last key of the pages read so far; NULL before the first page.
 */
struct WcStoreSync
{
  WcStoreReplica *replica;
  bool            whole;
  char           *after_key;
  uint32_t        failures;
};

static void restart (WcStoreSync *sync);

WcStoreSync *
wc_store_sync_new (WcStoreReplica *replica)
{
  WcStoreSync *sync = g_new0 (WcStoreSync, 1);

  assert (replica != NULL);

  sync->replica = replica;
  return sync;
}

void
wc_store_sync_delete (WcStoreSync *sync)
{
  if (!sync)
    return;
  g_free (sync->after_key);
  g_free (sync);
}

WcStoreRead
wc_store_sync_next (WcStoreSync *sync, const char **after_key)
{
  assert (sync != NULL && after_key != NULL);

  *after_key = sync->after_key;
  return sync->whole ? WC_STORE_READ_CHANGES : WC_STORE_READ_RANGE;
}

void
wc_store_sync_answered (WcStoreSync *sync, WcStoreRead read, const WcStoreReply *reply, uint64_t age_us,
                        uint64_t now_us)
{
  assert (sync != NULL && reply != NULL);

  sync->failures = 0;
  if (read == WC_STORE_READ_CHANGES)
    {
      wc_store_replica_add_changes (sync->replica, reply, age_us, now_us);
      return;
    }
  if (!sync->after_key)
    wc_store_replica_begin_full_read (sync->replica);
  sync->whole = wc_store_replica_add_page (sync->replica, reply, age_us, now_us);
  g_free (sync->after_key);
  sync->after_key = NULL;
  if (!sync->whole)
    sync->after_key = g_strdup (g_array_index (reply->changes, WcStoreChange, reply->changes->len - 1).key);
}

void
wc_store_sync_expired (WcStoreSync *sync)
{
  restart (sync);
}

uint64_t
wc_store_sync_failed (WcStoreSync *sync)
{
  uint64_t pause_us = FIRST_PAUSE_US;

  for (uint32_t i = 0; i < sync->failures && pause_us < LONGEST_PAUSE_US; i++)
    pause_us *= 2;
  sync->failures++;
  if (!sync->whole)
    restart (sync);
  return pause_us < LONGEST_PAUSE_US ? pause_us : LONGEST_PAUSE_US;
}

uint32_t
wc_store_sync_get_failures (const WcStoreSync *sync)
{
  return sync->failures;
}

/* local functions */

static void
restart (WcStoreSync *sync)
{
  sync->whole = false;
  g_free (sync->after_key);
  sync->after_key = NULL;
}
