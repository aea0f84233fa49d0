#include "forward/store_change.h"

#include <assert.h>

static void set_last_key (WcStoreReply *reply, const char *key);
static void clear_change (gpointer data);

void
wc_store_reply_init (WcStoreReply *reply)
{
  assert (reply != NULL);

  reply->changes = g_array_new (FALSE, FALSE, sizeof (WcStoreChange));
  g_array_set_clear_func (reply->changes, clear_change);
  reply->last_key = NULL;
  reply->rejected = 0;
  reply->has_more = false;
  reply->version = (WcStoreVersion){ 0 };
}

void
wc_store_reply_finish (WcStoreReply *reply)
{
  if (!reply->changes)
    return;
  g_array_free (reply->changes, TRUE);
  reply->changes = NULL;
  g_free (reply->last_key);
  reply->last_key = NULL;
}

void
wc_store_reply_add (WcStoreReply *reply, const char *key, GBytes *value, WcStoreVersion version)
{
  const WcStoreChange change = { g_strdup (key), value, version };

  g_array_append_val (reply->changes, change);
  set_last_key (reply, key);
}

void
wc_store_reply_reject (WcStoreReply *reply, const char *key)
{
  reply->rejected++;
  if (key)
    set_last_key (reply, key);
}

/* local functions */

static void
set_last_key (WcStoreReply *reply, const char *key)
{
  g_free (reply->last_key);
  reply->last_key = g_strdup (key);
}

static void
clear_change (gpointer data)
{
  WcStoreChange *change = data;

  g_free (change->key);
  if (change->value)
    g_bytes_unref (change->value);
}
