#include "forward/store_replica.h"

#include <assert.h>
#include <string.h>

/*
 * @value: NULL for a tombstone.
 * @seen: the full read in progress contained the item.
 * @evict_deadline_us: when a tombstone is evicted.
 */
typedef struct
{
  GBytes  *value;
  uint64_t revision;
  bool     seen;
  uint64_t evict_deadline_us;
} Item;

/*
 * @first_page_revision: revision of the first page of the read in progress; 0 for none.
 * @compacted_revision: highest revision of an evicted tombstone.
 */
struct WcStoreReplica
{
  uint64_t            tombstone_lifetime_us;
  WcStoreReplicaApply apply;
  void               *user_data;
  GHashTable         *items;
  uint64_t            revision;
  uint64_t            confirmed_us;
  uint64_t            first_page_revision;
  uint64_t            compacted_revision;
};

static void merge_change (WcStoreReplica *replica, const WcStoreChange *change, uint64_t now_us);
static void finish_full_read (WcStoreReplica *replica, uint64_t age_us, uint64_t now_us);
static void confirm (WcStoreReplica *replica, uint64_t revision, uint64_t age_us, uint64_t now_us);
static void set_item (WcStoreReplica *replica, Item *item, const WcStoreChange *change, uint64_t now_us);
static void evict_tombstones (WcStoreReplica *replica, uint64_t now_us);
static void free_item (gpointer data);
static int  compare_changes (gconstpointer a, gconstpointer b);

WcStoreReplica *
wc_store_replica_new (uint64_t tombstone_lifetime_us, WcStoreReplicaApply apply, void *user_data)
{
  WcStoreReplica *replica = g_new0 (WcStoreReplica, 1);

  assert (apply != NULL);

  replica->tombstone_lifetime_us = tombstone_lifetime_us;
  replica->apply = apply;
  replica->user_data = user_data;
  replica->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_item);
  return replica;
}

void
wc_store_replica_delete (WcStoreReplica *replica)
{
  if (!replica)
    return;
  g_hash_table_destroy (replica->items);
  g_free (replica);
}

uint64_t
wc_store_replica_get_revision (const WcStoreReplica *replica)
{
  return replica->revision;
}

uint64_t
wc_store_replica_get_confirmed_us (const WcStoreReplica *replica)
{
  return replica->confirmed_us;
}

void
wc_store_replica_begin_full_read (WcStoreReplica *replica)
{
  GHashTableIter iter;
  gpointer       value;

  replica->first_page_revision = 0;
  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Item *)value)->seen = false;
}

bool
wc_store_replica_add_page (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us)
{
  assert (replica != NULL && reply != NULL);

  if (replica->first_page_revision == 0)
    replica->first_page_revision = reply->revision;
  for (guint i = 0; i < reply->changes->len; i++)
    merge_change (replica, &g_array_index (reply->changes, WcStoreChange, i), now_us);
  if (reply->has_more && reply->changes->len > 0)
    return false;
  finish_full_read (replica, age_us, now_us);
  return true;
}

void
wc_store_replica_add_changes (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us)
{
  assert (replica != NULL && reply != NULL);

  for (guint i = 0; i < reply->changes->len; i++)
    merge_change (replica, &g_array_index (reply->changes, WcStoreChange, i), now_us);
  confirm (replica, reply->revision, age_us, now_us);
  evict_tombstones (replica, now_us);
}

bool
wc_store_replica_get_changes (const WcStoreReplica *replica, uint64_t revision, WcStoreReply *reply)
{
  GHashTableIter iter;
  gpointer       key;
  gpointer       value;

  assert (replica != NULL && reply != NULL);

  reply->revision = replica->revision;
  if (revision > 0 && revision < replica->compacted_revision)
    return false;
  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Item *item = value;

      /* A reader that requests everything needs no tombstones. */
      if (item->revision > revision && (item->value || revision > 0))
        wc_store_reply_add (reply, key, item->value ? g_bytes_ref (item->value) : NULL, item->revision);
    }
  g_array_sort (reply->changes, compare_changes);
  return true;
}

/* local functions */

static void
merge_change (WcStoreReplica *replica, const WcStoreChange *change, uint64_t now_us)
{
  Item *item = g_hash_table_lookup (replica->items, change->key);

  if (item && item->revision >= change->revision)
    {
      /*
       * A newer item is kept. If this is a full read, the item's revision is above that of the first page, so that
       * finish_full_read() keeps it too.
       */
      item->seen = item->seen || item->revision == change->revision;
      return;
    }
  if (!item)
    {
      item = g_new0 (Item, 1);
      g_hash_table_insert (replica->items, g_strdup (change->key), item);
    }
  set_item (replica, item, change, now_us);
  replica->apply (replica->user_data, change);
}

/*
 * An item that the full read did not contain, and that was not written since the read began, was deleted. The revision
 * of its deletion is unknown, so that of the first page is stored; any write of the item after the read began has a
 * higher revision and is applied.
 */
static void
finish_full_read (WcStoreReplica *replica, uint64_t age_us, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer       key;
  gpointer       value;

  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Item         *item = value;
      WcStoreChange change = { key, NULL, replica->first_page_revision };

      if (!item->value || item->seen || item->revision > replica->first_page_revision)
        continue;
      set_item (replica, item, &change, now_us);
      replica->apply (replica->user_data, &change);
    }
  confirm (replica, replica->first_page_revision, age_us, now_us);
  /* Items that were created and deleted before the read began are unknown here. */
  if (replica->first_page_revision > replica->compacted_revision)
    replica->compacted_revision = replica->first_page_revision;
  replica->first_page_revision = 0;
  evict_tombstones (replica, now_us);
}

/* A source that lags behind this replica does not confirm it. */
static void
confirm (WcStoreReplica *replica, uint64_t revision, uint64_t age_us, uint64_t now_us)
{
  uint64_t confirmed_us = now_us > age_us ? now_us - age_us : 0;

  if (revision < replica->revision)
    return;
  replica->revision = revision;
  if (confirmed_us > replica->confirmed_us)
    replica->confirmed_us = confirmed_us;
}

static void
set_item (WcStoreReplica *replica, Item *item, const WcStoreChange *change, uint64_t now_us)
{
  if (item->value)
    g_bytes_unref (item->value);
  item->value = change->value ? g_bytes_ref (change->value) : NULL;
  item->revision = change->revision;
  item->seen = true;
  item->evict_deadline_us = change->value ? 0 : now_us + replica->tombstone_lifetime_us;
}

static void
evict_tombstones (WcStoreReplica *replica, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer       value;

  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Item *item = value;

      if (item->value || now_us < item->evict_deadline_us)
        continue;
      if (item->revision > replica->compacted_revision)
        replica->compacted_revision = item->revision;
      g_hash_table_iter_remove (&iter);
    }
}

static void
free_item (gpointer data)
{
  Item *item = data;

  if (item->value)
    g_bytes_unref (item->value);
  g_free (item);
}

static int
compare_changes (gconstpointer a, gconstpointer b)
{
  const WcStoreChange *first = a;
  const WcStoreChange *second = b;

  return (first->revision > second->revision) - (first->revision < second->revision);
}
