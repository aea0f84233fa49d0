#ifndef WC_FORWARD_STORE_CHANGE_H
#define WC_FORWARD_STORE_CHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "forward/store_version.h"

/**
 * struct WcStoreChange - an item of the store as written, or its deletion.
 * @key: name of the item.
 * @value: bytes of the item; NULL when it was deleted.
 * @version: position of this change in the history of the store.
 */
typedef struct
{
  char          *key;
  GBytes        *value;
  WcStoreVersion version;
} WcStoreChange;

/**
 * struct WcStoreReply - changes in a reply to a read of the store or of a peer.
 * @changes: elements of type WcStoreChange, in the order of the reply; the array owns them.
 * @last_key: key of the last item of the reply, also if it was rejected; NULL when there is none.
 * @rejected: items that could not be used and are not among the changes.
 * @has_more: the range continues after the last key.
 * @version: the store's position in its history at the time of the reply; a watch continues from it.
 */
typedef struct
{
  GArray        *changes;
  char          *last_key;
  uint32_t       rejected;
  bool           has_more;
  WcStoreVersion version;
} WcStoreReply;

/** wc_store_reply_init() - initialize an empty reply. */
void wc_store_reply_init (WcStoreReply *reply);

/** wc_store_reply_finish() - free the changes; may be called twice. */
void wc_store_reply_finish (WcStoreReply *reply);

/** wc_store_reply_add() - append a change; takes ownership of the reference to @value. */
void wc_store_reply_add (WcStoreReply *reply, const char *key, GBytes *value, WcStoreVersion version);

/** wc_store_reply_reject() - count an item that cannot be used. @key: its key, or NULL when it has none. */
void wc_store_reply_reject (WcStoreReply *reply, const char *key);

#endif
