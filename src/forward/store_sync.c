#include "forward/store_sync.h"

#include <assert.h>
#include <string.h>

enum
{
  /*
   * Minimum and maximum backoff after a failed read. The instances must not retry in a loop while the store is
   * unavailable, and an instance without a source must be up to date within a fraction of a second of the store's
   * return.
   */
  BACKOFF_MIN_US = 50 * 1000,
  BACKOFF_MAX_US = 400 * 1000
};

/*
 * @full_read_done: all items were read once.
 * @after_key: last key of the pages read so far; NULL before the first page.
 * @page_era: era of those pages.
 */
struct WcStoreSync
{
  WcStoreReplica *replica;
  bool            full_read_done;
  char           *after_key;
  uint64_t        page_era;
  uint32_t        failures;
};

static bool     is_next_page (const WcStoreSync *sync, const WcStoreReply *reply);
static uint64_t get_page_era (const WcStoreSync *sync, const WcStoreReply *reply);
static void     restart_full_read (WcStoreSync *sync);

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
  return sync->full_read_done ? WC_STORE_READ_CHANGES : WC_STORE_READ_RANGE;
}

bool
wc_store_sync_answered (WcStoreSync *sync, WcStoreRead read, const WcStoreReply *reply, uint64_t age_us,
                        uint64_t now_us)
{
  uint64_t known_era;

  assert (sync != NULL && reply != NULL);

  known_era = wc_store_replica_get_version (sync->replica).era;
  if (reply->version.era < known_era || (read == WC_STORE_READ_RANGE && !is_next_page (sync, reply)))
    return false;
  sync->failures = 0;
  if (reply->version.era != (read == WC_STORE_READ_CHANGES ? known_era : get_page_era (sync, reply)))
    {
      restart_full_read (sync);
      return true;
    }
  if (read == WC_STORE_READ_CHANGES)
    {
      wc_store_replica_add_changes (sync->replica, reply, age_us, now_us);
      return true;
    }
  if (!sync->after_key)
    wc_store_replica_begin_full_read (sync->replica);
  sync->page_era = reply->version.era;
  sync->full_read_done = wc_store_replica_add_page (sync->replica, reply, age_us, now_us);
  g_free (sync->after_key);
  sync->after_key = NULL;
  if (!sync->full_read_done)
    sync->after_key = g_strdup (reply->last_key);
  return true;
}

void
wc_store_sync_expired (WcStoreSync *sync)
{
  restart_full_read (sync);
}

void
wc_store_sync_source_changed (WcStoreSync *sync)
{
  assert (sync != NULL);

  if (!sync->full_read_done)
    restart_full_read (sync);
}

uint64_t
wc_store_sync_failed (WcStoreSync *sync)
{
  uint64_t backoff_us = BACKOFF_MIN_US;

  for (uint32_t i = 0; i < sync->failures && backoff_us < BACKOFF_MAX_US; i++)
    backoff_us *= 2;
  sync->failures++;
  if (!sync->full_read_done)
    restart_full_read (sync);
  return backoff_us < BACKOFF_MAX_US ? backoff_us : BACKOFF_MAX_US;
}

uint32_t
wc_store_sync_get_failures (const WcStoreSync *sync)
{
  return sync->failures;
}

/* local functions */

/*
 * A wrong page would end the full read without the items of the right one, and these would count as deleted: all hosts
 * of a service could vanish.
 */
static bool
is_next_page (const WcStoreSync *sync, const WcStoreReply *reply)
{
  if (reply->has_more && reply->changes->len == 0)
    return false;
  for (guint i = 0; sync->after_key && i < reply->changes->len; i++)
    if (strcmp (g_array_index (reply->changes, WcStoreChange, i).key, sync->after_key) <= 0)
      return false;
  return true;
}

/* Return: era that a page must have to continue the full read; the first page may have any. */
static uint64_t
get_page_era (const WcStoreSync *sync, const WcStoreReply *reply)
{
  return sync->after_key ? sync->page_era : reply->version.era;
}

static void
restart_full_read (WcStoreSync *sync)
{
  sync->full_read_done = false;
  g_free (sync->after_key);
  sync->after_key = NULL;
}
