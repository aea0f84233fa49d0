#include <wigeoncart/config_store.h>

#include <assert.h>
#include <string.h>

#include "core/config_head.h"

/*
 * Maximum number of candidate revisions. There are several, so that a revision whose parts cannot be fetched does not
 * block an older complete one. Bounded, because the parts of each candidate take memory.
 */
#define MAX_CANDIDATES 4

/* Number of earlier heads that are kept with their parts, as bases of the deltas for peers that still have one of them
 * in force. A peer is rarely more than two revisions behind, because a new revision reaches all instances of a domain
 * in less than a second. */
#define MAX_PREVIOUS 2

/* Maximum number of rejected ids that are stored; a revision whose id was removed is fetched and rejected again. */
#define MAX_REJECTED 64

/* A head and its text, which is sent to peers. */
typedef struct
{
  WcConfigHead *head;
  GBytes       *text;
} StoredHead;

struct WcConfigStore
{
  WcRegister *reg;
  WcConfigId  id;
  StoredHead *in_force;
  /* Heads newer than the one in force, of type StoredHead, newest first. */
  GPtrArray *candidates;
  /* Heads that were in force before, of type StoredHead, oldest first. */
  GPtrArray *previous;
  WcConfigId newest;
  /* Parts (GBytes) by digest: those that the head in force, a candidate or a stored earlier head lists. */
  GHashTable *parts;
  /* WcHeadPart of the parts to be fetched; each digest once, those of the newest candidate first. */
  GArray *missing;
  /* Rejected ids (WcConfigId), oldest first. */
  GArray    *rejected;
  WcConfigId last_rejected;
  char       rejection[WC_ERROR_MESSAGE_BYTES];
};

static void              stored_head_delete (gpointer data);
static const StoredHead *find_stored_head (const WcConfigStore *store, const void *digest, size_t digest_bytes);
static bool              can_ignore (const WcConfigStore *store, const WcConfigId *id);
static bool              is_complete (const WcConfigStore *store, const StoredHead *candidate);
static WcStatus          activate_candidate (WcConfigStore *store, guint index, WcError *error);
static void              put_in_force (WcConfigStore *store, guint index, WcRegister *reg);
static void              reject (WcConfigStore *store, guint index, const char *reason);
static void              update_parts (WcConfigStore *store);
static void              add_digests (GHashTable *listed, const StoredHead *stored);
static guint             hash_digest (gconstpointer digest);
static gboolean          equal_digests (gconstpointer a, gconstpointer b);

int
wc_config_id_compare (const WcConfigId *a, const WcConfigId *b)
{
  assert (a != NULL);
  assert (b != NULL);

  if (a->revision != b->revision)
    return a->revision < b->revision ? -1 : 1;
  return memcmp (a->digest, b->digest, WC_DIGEST_BYTES);
}

WcConfigStore *
wc_config_store_new (void)
{
  WcConfigStore *store = g_new0 (WcConfigStore, 1);

  store->candidates = g_ptr_array_new_with_free_func (stored_head_delete);
  store->previous = g_ptr_array_new_with_free_func (stored_head_delete);
  store->parts = g_hash_table_new_full (hash_digest, equal_digests, g_free, (GDestroyNotify)g_bytes_unref);
  store->missing = g_array_new (FALSE, FALSE, sizeof (WcHeadPart));
  store->rejected = g_array_new (FALSE, FALSE, sizeof (WcConfigId));
  return store;
}

void
wc_config_store_delete (WcConfigStore *store)
{
  if (!store)
    return;
  wc_register_unref (store->reg);
  stored_head_delete (store->in_force);
  g_ptr_array_unref (store->candidates);
  g_ptr_array_unref (store->previous);
  g_hash_table_destroy (store->parts);
  g_array_unref (store->missing);
  g_array_unref (store->rejected);
  g_free (store);
}

WcStatus
wc_config_store_offer_head (WcConfigStore *store, const char *text, size_t size_bytes, WcError *error)
{
  WcError       reason = { WC_STATUS_INVALID, "" };
  WcConfigHead *head;
  StoredHead   *candidate;
  guint         position = 0;

  assert (store != NULL);

  head = wc_config_head_parse (text, size_bytes, &reason);
  if (!head)
    return wc_error_set (error, reason.status == WC_STATUS_PARSE ? WC_STATUS_PARSE : WC_STATUS_INVALID, "%s",
                         reason.message);
  if (wc_config_id_compare (&head->id, &store->newest) > 0)
    store->newest = head->id;
  for (; position < store->candidates->len; position++)
    {
      const StoredHead *other = g_ptr_array_index (store->candidates, position);

      if (wc_config_id_compare (&head->id, &other->head->id) > 0)
        break;
    }
  if (can_ignore (store, &head->id) || position >= MAX_CANDIDATES)
    {
      wc_error_set (error, WC_STATUS_STALE,
                    "revision %" G_GUINT64_FORMAT " is known already or not newer than the one in force",
                    head->id.revision);
      wc_config_head_delete (head);
      return WC_STATUS_STALE;
    }

  candidate = g_new0 (StoredHead, 1);
  candidate->head = head;
  candidate->text = g_bytes_new (text, size_bytes);
  g_ptr_array_insert (store->candidates, (gint)position, candidate);
  if (store->candidates->len > MAX_CANDIDATES)
    g_ptr_array_set_size (store->candidates, MAX_CANDIDATES);
  update_parts (store);
  return WC_STATUS_OK;
}

WcStatus
wc_config_store_offer_part (WcConfigStore *store, const void *data, size_t size_bytes, WcError *error)
{
  uint8_t digest[WC_DIGEST_BYTES];

  assert (store != NULL);
  assert (data != NULL || size_bytes == 0);

  if (size_bytes > WC_REGISTER_PART_MAX_BYTES)
    return wc_error_set (error, WC_STATUS_TOO_LARGE, "the part has more than %d bytes", WC_REGISTER_PART_MAX_BYTES);
  wc_config_digest (data, size_bytes, digest);
  if (g_hash_table_contains (store->parts, digest))
    return WC_STATUS_OK;
  for (guint i = 0; i < store->missing->len; i++)
    if (memcmp (g_array_index (store->missing, WcHeadPart, i).digest, digest, WC_DIGEST_BYTES) == 0)
      {
        g_hash_table_insert (store->parts, g_memdup2 (digest, sizeof digest), g_bytes_new (data, size_bytes));
        g_array_remove_index (store->missing, i);
        return WC_STATUS_OK;
      }
  return wc_error_set (error, WC_STATUS_MISMATCH, "no candidate head lists the digest of the part");
}

bool
wc_config_store_get_missing (const WcConfigStore *store, size_t index, const char **key,
                             uint8_t digest[WC_DIGEST_BYTES])
{
  const WcHeadPart *part;

  assert (store != NULL);
  assert (key != NULL);

  if (index >= store->missing->len)
    return false;
  part = &g_array_index (store->missing, WcHeadPart, index);
  *key = part->key;
  memcpy (digest, part->digest, WC_DIGEST_BYTES);
  return true;
}

WcStatus
wc_config_store_activate (WcConfigStore *store, WcError *error)
{
  WcStatus result = WC_STATUS_NOT_FOUND;
  guint    index = 0;

  assert (store != NULL);

  while (index < store->candidates->len)
    {
      WcStatus status;

      if (!is_complete (store, g_ptr_array_index (store->candidates, index)))
        {
          index++;
          continue;
        }
      status = activate_candidate (store, index, error);
      if (status == WC_STATUS_OK)
        return WC_STATUS_OK;
      /* The rejected candidate was removed; an older one may be complete and valid. */
      result = status;
    }
  if (result == WC_STATUS_NOT_FOUND)
    wc_error_set (error, result, "no candidate revision has all of its parts");
  return result;
}

WcRegister *
wc_config_store_get_register (const WcConfigStore *store)
{
  assert (store != NULL);

  return store->reg;
}

const WcConfigId *
wc_config_store_get_id (const WcConfigStore *store)
{
  assert (store != NULL);

  return &store->id;
}

const WcConfigId *
wc_config_store_get_newest_id (const WcConfigStore *store)
{
  assert (store != NULL);

  return &store->newest;
}

const char *
wc_config_store_get_rejection (const WcConfigStore *store, WcConfigId *id)
{
  assert (store != NULL);
  assert (id != NULL);

  if (store->last_rejected.revision == 0)
    return NULL;
  *id = store->last_rejected;
  return store->rejection;
}

const char *
wc_config_store_get_head (const WcConfigStore *store, size_t *size_bytes)
{
  const StoredHead *stored;

  assert (store != NULL);
  assert (size_bytes != NULL);

  *size_bytes = 0;
  stored = store->in_force;
  if (!stored && store->candidates->len > 0)
    stored = g_ptr_array_index (store->candidates, 0);
  return stored ? g_bytes_get_data (stored->text, size_bytes) : NULL;
}

const void *
wc_config_store_find_part (const WcConfigStore *store, const uint8_t digest[WC_DIGEST_BYTES], size_t *size_bytes)
{
  GBytes *part;

  assert (store != NULL);
  assert (size_bytes != NULL);

  *size_bytes = 0;
  part = g_hash_table_lookup (store->parts, digest);
  return part ? g_bytes_get_data (part, size_bytes) : NULL;
}

const char *
wc_config_store_find_head (const WcConfigStore *store, const void *digest, size_t digest_bytes, size_t *size_bytes)
{
  const StoredHead *stored;

  assert (store != NULL);
  assert (size_bytes != NULL);

  stored = find_stored_head (store, digest, digest_bytes);
  return stored ? g_bytes_get_data (stored->text, size_bytes) : NULL;
}

bool
wc_config_store_find_base_digest (const WcConfigStore *store, const void *head, size_t head_bytes,
                                  const uint8_t part[WC_DIGEST_BYTES], uint8_t base_digest[WC_DIGEST_BYTES])
{
  const StoredHead *stored;
  const char       *key = NULL;

  assert (store != NULL);

  stored = find_stored_head (store, head, head_bytes);
  if (!stored || !store->in_force)
    return false;
  for (guint i = 0; !key && i < store->in_force->head->parts->len; i++)
    {
      const WcHeadPart *listed = &g_array_index (store->in_force->head->parts, WcHeadPart, i);

      if (memcmp (listed->digest, part, WC_DIGEST_BYTES) == 0)
        key = listed->key;
    }
  for (guint i = 0; key && i < stored->head->parts->len; i++)
    {
      const WcHeadPart *listed = &g_array_index (stored->head->parts, WcHeadPart, i);

      if (strcmp (listed->key, key) != 0)
        continue;
      memcpy (base_digest, listed->digest, WC_DIGEST_BYTES);
      return true;
    }
  return false;
}

/* local functions */

static void
stored_head_delete (gpointer data)
{
  StoredHead *stored = data;

  if (!stored)
    return;
  wc_config_head_delete (stored->head);
  g_bytes_unref (stored->text);
  g_free (stored);
}

/* Finds a head by digest among the one in force and the stored earlier ones. */
static const StoredHead *
find_stored_head (const WcConfigStore *store, const void *digest, size_t digest_bytes)
{
  for (guint i = 0; i <= store->previous->len; i++)
    {
      const StoredHead *stored = i < store->previous->len ? g_ptr_array_index (store->previous, i) : store->in_force;

      if (stored && digest_bytes == WC_DIGEST_BYTES && memcmp (stored->head->id.digest, digest, WC_DIGEST_BYTES) == 0)
        return stored;
    }
  return NULL;
}

/* Whether the revision is not newer than the one in force, is a candidate, or was rejected. */
static bool
can_ignore (const WcConfigStore *store, const WcConfigId *id)
{
  if (wc_config_id_compare (id, &store->id) <= 0)
    return true;
  for (guint i = 0; i < store->candidates->len; i++)
    if (wc_config_id_compare (id, &((StoredHead *)g_ptr_array_index (store->candidates, i))->head->id) == 0)
      return true;
  for (guint i = 0; i < store->rejected->len; i++)
    if (wc_config_id_compare (id, &g_array_index (store->rejected, WcConfigId, i)) == 0)
      return true;
  return false;
}

static bool
is_complete (const WcConfigStore *store, const StoredHead *candidate)
{
  for (guint i = 0; i < candidate->head->parts->len; i++)
    if (!g_hash_table_contains (store->parts, g_array_index (candidate->head->parts, WcHeadPart, i).digest))
      return false;
  return true;
}

/* Parses a complete candidate and puts it in force, or rejects it. */
static WcStatus
activate_candidate (WcConfigStore *store, guint index, WcError *error)
{
  const StoredHead *candidate = g_ptr_array_index (store->candidates, index);
  guint             count = candidate->head->parts->len;
  WcRegisterPart   *parts = g_new0 (WcRegisterPart, count);
  WcError           reason = { WC_STATUS_INVALID, "" };
  WcRegister       *reg;

  for (guint i = 0; i < count; i++)
    {
      const WcHeadPart *part = &g_array_index (candidate->head->parts, WcHeadPart, i);

      parts[i].name = part->key;
      parts[i].text = g_bytes_get_data (g_hash_table_lookup (store->parts, part->digest), &parts[i].size_bytes);
    }
  reg = wc_register_parse_parts (candidate->head->id.revision, parts, count, &reason);
  g_free (parts);
  if (reg)
    {
      put_in_force (store, index, reg);
      return WC_STATUS_OK;
    }
  reject (store, index, reason.message);
  return wc_error_set (error, reason.status == WC_STATUS_PARSE ? WC_STATUS_PARSE : WC_STATUS_INVALID, "%s",
                       reason.message);
}

static void
put_in_force (WcConfigStore *store, guint index, WcRegister *reg)
{
  guint kept = 0;

  wc_register_unref (store->reg);
  store->reg = reg;
  if (store->in_force)
    g_ptr_array_add (store->previous, store->in_force);
  if (store->previous->len > MAX_PREVIOUS)
    g_ptr_array_remove_index (store->previous, 0);
  store->in_force = g_ptr_array_steal_index (store->candidates, index);
  store->id = store->in_force->head->id;
  g_ptr_array_set_size (store->candidates, (gint)index);
  /* Rejected revisions that are older than the one in force need no entry; can_ignore() covers them. */
  for (guint i = 0; i < store->rejected->len; i++)
    {
      WcConfigId id = g_array_index (store->rejected, WcConfigId, i);

      if (wc_config_id_compare (&id, &store->id) > 0)
        g_array_index (store->rejected, WcConfigId, kept++) = id;
    }
  g_array_set_size (store->rejected, kept);
  update_parts (store);
}

static void
reject (WcConfigStore *store, guint index, const char *reason)
{
  const StoredHead *candidate = g_ptr_array_index (store->candidates, index);

  store->last_rejected = candidate->head->id;
  g_strlcpy (store->rejection, reason, sizeof store->rejection);
  if (store->rejected->len >= MAX_REJECTED)
    g_array_remove_index (store->rejected, 0);
  g_array_append_val (store->rejected, store->last_rejected);
  g_ptr_array_remove_index (store->candidates, index);
  update_parts (store);
}

/* Removes parts that no stored head lists any more, and updates the list of missing parts. */
static void
update_parts (WcConfigStore *store)
{
  GHashTable    *listed = g_hash_table_new (hash_digest, equal_digests);
  GHashTableIter iter;
  gpointer       digest;

  g_array_set_size (store->missing, 0);
  for (guint i = 0; i <= store->candidates->len; i++)
    {
      const StoredHead *stored =
          i < store->candidates->len ? g_ptr_array_index (store->candidates, i) : store->in_force;

      for (guint j = 0; stored && j < stored->head->parts->len; j++)
        {
          WcHeadPart *part = &g_array_index (stored->head->parts, WcHeadPart, j);

          if (g_hash_table_add (listed, part->digest) && !g_hash_table_contains (store->parts, part->digest))
            g_array_append_val (store->missing, *part);
        }
    }
  for (guint i = 0; i < store->previous->len; i++)
    add_digests (listed, g_ptr_array_index (store->previous, i));
  g_hash_table_iter_init (&iter, store->parts);
  while (g_hash_table_iter_next (&iter, &digest, NULL))
    if (!g_hash_table_contains (listed, digest))
      g_hash_table_iter_remove (&iter);
  g_hash_table_destroy (listed);
}

static void
add_digests (GHashTable *listed, const StoredHead *stored)
{
  for (guint i = 0; i < stored->head->parts->len; i++)
    g_hash_table_add (listed, g_array_index (stored->head->parts, WcHeadPart, i).digest);
}

/* The digest is uniformly distributed, so its first bytes serve as the hash. */
static guint
hash_digest (gconstpointer digest)
{
  guint hash;

  memcpy (&hash, digest, sizeof hash);
  return hash;
}

static gboolean
equal_digests (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, WC_DIGEST_BYTES) == 0;
}
