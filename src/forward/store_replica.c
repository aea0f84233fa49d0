#include "forward/store_replica.h"

#include <assert.h>
#include <string.h>

enum
{
  /*
   * How long changes of a restored store are held back. Its writers repeat what was lost, and hosts that live register
   * again within about two seconds; the entry of a host that does not expires after three of its heartbeats.
   */
  SETTLE_US = 3000 * 1000
};

/*
 * @value: NULL for a tombstone.
 * @deleted_value: last value before the deletion; NULL if there is a value, or none was known.
 * @is_held: the store has @held_value, NULL for a deletion, since @held_version; not applied yet.
 * @seen: the full read in progress contained the item.
 * @evict_deadline_us: when a tombstone is evicted.
 */
typedef struct
{
  GBytes        *value;
  GBytes        *deleted_value;
  WcStoreVersion version;
  bool           is_held;
  GBytes        *held_value;
  WcStoreVersion held_version;
  bool           seen;
  uint64_t       evict_deadline_us;
} Item;

/*
 * @first_page: version of the first page of the read in progress; revision 0 for none.
 * @compacted: highest version of an evicted tombstone.
 * @settle_deadline_us: changes of the era of @version may be held back until the view was confirmed after this time.
 */
struct WcStoreReplica
{
  uint64_t          tombstone_lifetime_us;
  WcStoreReplicaOps ops;
  void             *user_data;
  GHashTable       *items;
  WcStoreVersion    version;
  uint64_t          confirmed_us;
  WcStoreVersion    first_page;
  WcStoreVersion    compacted;
  uint64_t          settle_deadline_us;
};

static void           merge_change (WcStoreReplica *replica, const WcStoreChange *change, uint64_t now_us);
static bool           must_hold (const WcStoreReplica *replica, const Item *item, const WcStoreChange *change);
static void           finish_full_read (WcStoreReplica *replica, uint64_t age_us, uint64_t now_us);
static void           confirm (WcStoreReplica *replica, WcStoreVersion version, uint64_t age_us, uint64_t now_us);
static bool           is_settling (const WcStoreReplica *replica, uint64_t era);
static void           settle (WcStoreReplica *replica, uint64_t now_us);
static void           hold_change (Item *item, const WcStoreChange *change);
static void           release_held (Item *item);
static void           apply_change (WcStoreReplica *replica, Item *item, const WcStoreChange *change, uint64_t now_us);
static WcStoreVersion get_stored_version (const Item *item);
static void           evict_tombstones (WcStoreReplica *replica, uint64_t now_us);
static void           free_item (gpointer data);
static int            compare_changes (gconstpointer a, gconstpointer b);

WcStoreReplica *
wc_store_replica_new (uint64_t tombstone_lifetime_us, const WcStoreReplicaOps *ops, void *user_data)
{
  WcStoreReplica *replica = g_new0 (WcStoreReplica, 1);

  assert (ops != NULL && ops->apply != NULL && ops->compare != NULL);

  replica->tombstone_lifetime_us = tombstone_lifetime_us;
  replica->ops = *ops;
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

WcStoreVersion
wc_store_replica_get_version (const WcStoreReplica *replica)
{
  return replica->version;
}

uint64_t
wc_store_replica_get_confirmed_us (const WcStoreReplica *replica)
{
  return replica->confirmed_us;
}

size_t
wc_store_replica_get_held (const WcStoreReplica *replica)
{
  GHashTableIter iter;
  gpointer       value;
  size_t         held = 0;

  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    held += ((const Item *)value)->is_held;
  return held;
}

void
wc_store_replica_begin_full_read (WcStoreReplica *replica)
{
  GHashTableIter iter;
  gpointer       value;

  replica->first_page = (WcStoreVersion){ 0 };
  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Item *)value)->seen = false;
}

bool
wc_store_replica_add_page (WcStoreReplica *replica, const WcStoreReply *reply, uint64_t age_us, uint64_t now_us)
{
  assert (replica != NULL && reply != NULL);

  if (replica->first_page.revision == 0)
    replica->first_page = reply->version;
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
  confirm (replica, reply->version, age_us, now_us);
  settle (replica, now_us);
  evict_tombstones (replica, now_us);
}

bool
wc_store_replica_get_changes (const WcStoreReplica *replica, WcStoreVersion version, WcStoreReply *reply)
{
  GHashTableIter iter;
  gpointer       key;
  gpointer       value;

  assert (replica != NULL && reply != NULL);

  reply->version = replica->version;
  if (version.revision > 0 && wc_store_version_compare (version, replica->compacted) < 0)
    return false;
  if (version.revision == 0)
    version.era = 0;
  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Item *item = value;

      /*
       * A reader that requests everything needs no tombstones, unless one is newer than the held value. An absence that
       * is held is no change: the reader holds it too, because the item is of an earlier era.
       */
      if (wc_store_version_compare (item->version, version) > 0 &&
          (item->value || version.revision > 0 || item->held_value))
        wc_store_reply_add (reply, key, item->value ? g_bytes_ref (item->value) : NULL, item->version);
      if (item->held_value && wc_store_version_compare (item->held_version, version) > 0)
        wc_store_reply_add (reply, key, g_bytes_ref (item->held_value), item->held_version);
    }
  g_array_sort (reply->changes, compare_changes);
  return true;
}

/* local functions */

static void
merge_change (WcStoreReplica *replica, const WcStoreChange *change, uint64_t now_us)
{
  Item *item = g_hash_table_lookup (replica->items, change->key);
  int   order = item ? wc_store_version_compare (get_stored_version (item), change->version) : -1;

  if (order >= 0)
    {
      /*
       * A newer item is kept. If this is a full read, the item's version is above that of the first page, so that
       * finish_full_read() keeps it too.
       */
      item->seen = item->seen || order == 0;
      return;
    }
  if (!item)
    {
      item = g_new0 (Item, 1);
      g_hash_table_insert (replica->items, g_strdup (change->key), item);
    }
  else if (must_hold (replica, item, change))
    {
      hold_change (item, change);
      return;
    }
  else if (change->version.era > item->version.era && change->value && item->value &&
           g_bytes_equal (change->value, item->value))
    {
      release_held (item);
      item->version = change->version;
      item->seen = true;
      return;
    }
  apply_change (replica, item, change, now_us);
}

/*
 * Whether a change of a later era than the known item waits until the store has settled: a value that is older by its
 * content than the known one, or not newer than the one that was deleted.
 */
static bool
must_hold (const WcStoreReplica *replica, const Item *item, const WcStoreChange *change)
{
  if (!change->value || change->version.era == item->version.era || !is_settling (replica, change->version.era))
    return false;
  if (item->value)
    return replica->ops.compare (change->key, change->value, item->value) < 0;
  return !item->deleted_value || replica->ops.compare (change->key, change->value, item->deleted_value) <= 0;
}

/*
 * An item that the full read did not contain, and that was not written since the read began, was deleted. The version
 * of its deletion is unknown, so that of the first page is stored; any write of the item after the read began has a
 * higher version and is applied. In a new era, the deletion is held back.
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
      WcStoreChange change = { key, NULL, replica->first_page };
      bool          is_confirmed = item->seen && get_stored_version (item).era == replica->first_page.era;

      if (is_confirmed || (!item->value && !item->is_held) ||
          wc_store_version_compare (get_stored_version (item), replica->first_page) > 0)
        continue;
      if (item->value && item->version.era < replica->first_page.era && is_settling (replica, replica->first_page.era))
        hold_change (item, &change);
      else
        apply_change (replica, item, &change, now_us);
    }
  confirm (replica, replica->first_page, age_us, now_us);
  /* Items that were created and deleted before the read began are unknown here. */
  if (wc_store_version_compare (replica->first_page, replica->compacted) > 0)
    replica->compacted = replica->first_page;
  replica->first_page = (WcStoreVersion){ 0 };
  settle (replica, now_us);
  evict_tombstones (replica, now_us);
}

/* A source that lags behind this replica does not confirm it. */
static void
confirm (WcStoreReplica *replica, WcStoreVersion version, uint64_t age_us, uint64_t now_us)
{
  uint64_t confirmed_us = now_us > age_us ? now_us - age_us : 0;

  if (wc_store_version_compare (version, replica->version) < 0)
    return;
  if (version.era > replica->version.era)
    replica->settle_deadline_us = now_us + SETTLE_US;
  replica->version = version;
  if (confirmed_us > replica->confirmed_us)
    replica->confirmed_us = confirmed_us;
}

/* A source whose own view is older than the deadline may have missed what was written again. */
static bool
is_settling (const WcStoreReplica *replica, uint64_t era)
{
  return era > replica->version.era || replica->confirmed_us < replica->settle_deadline_us;
}

/* Applies what was held back once a source has confirmed that it still stands. */
static void
settle (WcStoreReplica *replica, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer       key;
  gpointer       value;

  if (is_settling (replica, replica->version.era))
    return;
  g_hash_table_iter_init (&iter, replica->items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Item         *item = value;
      WcStoreChange change = { key, item->held_value, item->held_version };

      if (item->is_held && item->held_version.era == replica->version.era)
        apply_change (replica, item, &change, now_us);
    }
}

static void
hold_change (Item *item, const WcStoreChange *change)
{
  GBytes *value = change->value ? g_bytes_ref (change->value) : NULL;

  release_held (item);
  item->is_held = true;
  item->held_value = value;
  item->held_version = change->version;
  item->seen = true;
}

static void
clear_value (GBytes **value)
{
  g_bytes_unref (*value);
  *value = NULL;
}

static void
release_held (Item *item)
{
  clear_value (&item->held_value);
  item->is_held = false;
}

static void
apply_change (WcStoreReplica *replica, Item *item, const WcStoreChange *change, uint64_t now_us)
{
  const WcStoreChange applied = { change->key, change->value ? g_bytes_ref (change->value) : NULL, change->version };

  release_held (item);
  if (item->value && !applied.value)
    {
      clear_value (&item->deleted_value);
      item->deleted_value = item->value;
      item->value = NULL;
    }
  else if (applied.value)
    clear_value (&item->deleted_value);
  clear_value (&item->value);
  item->value = applied.value;
  item->version = applied.version;
  item->seen = true;
  item->evict_deadline_us = applied.value ? 0 : now_us + replica->tombstone_lifetime_us;
  replica->ops.apply (replica->user_data, &applied);
}

/* Return: version of what the store has, which is not that of @item's value while a change is held back. */
static WcStoreVersion
get_stored_version (const Item *item)
{
  return item->is_held ? item->held_version : item->version;
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

      if (item->value || item->is_held || now_us < item->evict_deadline_us)
        continue;
      if (wc_store_version_compare (item->version, replica->compacted) > 0)
        replica->compacted = item->version;
      g_hash_table_iter_remove (&iter);
    }
}

static void
free_item (gpointer data)
{
  Item *item = data;

  release_held (item);
  clear_value (&item->value);
  clear_value (&item->deleted_value);
  g_free (item);
}

static int
compare_changes (gconstpointer a, gconstpointer b)
{
  const WcStoreChange *first = a;
  const WcStoreChange *second = b;

  return wc_store_version_compare (first->version, second->version);
}
