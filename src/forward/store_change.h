#ifndef WC_FORWARD_STORE_CHANGE_H
#define WC_FORWARD_STORE_CHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * struct WcStoreChange - an item of the store as it was written, or its deletion.
 * @key: name of the item.
 * @value: bytes of the item; NULL when it was deleted.
 * @revision: the store's revision of this change.
 */
typedef struct
{
  char    *key;
  GBytes  *value;
  uint64_t revision;
} WcStoreChange;

/**
 * struct WcStoreReply - decoded answer to a read of the store.
 * @changes: WcStoreChange, in the order of the answer; freed with the array.
 * @has_more: the range goes on after the last key.
 * @revision: the store's revision at the answer; a watch goes on from here.
 */
typedef struct
{
  GArray  *changes;
  bool     has_more;
  uint64_t revision;
} WcStoreReply;

/** wc_store_reply_init() - an empty reply. */
void wc_store_reply_init (WcStoreReply *reply);
void wc_store_reply_finish (WcStoreReply *reply);

/** wc_store_reply_add() - add a change; takes over a reference of @value. */
void wc_store_reply_add (WcStoreReply *reply, const char *key, GBytes *value, uint64_t revision);

#endif
