#include "core/register_draft.h"

#include <assert.h>
#include <string.h>

#include <wigeoncart/name_id.h>

#include "core/register_private.h"

static bool  add_domains (WcDraft *draft, GHashTable *names, WcError *error);
static bool  add_services (WcDraft *draft, GHashTable *names, WcError *error);
static bool  add_customers (WcDraft *draft, WcError *error);
static bool  add_keys (WcDraft *draft, WcError *error);
static bool  add_hosts (WcDraft *draft, GHashTable *names, GHashTable *domains, WcError *error);
static bool  resolve_targets (WcDraft *draft, GHashTable *services, WcError *error);
static bool  add_targets (WcDraft *draft, WcError *error);
static bool  add_unique_id (WcDraft *draft, GHashTable *ids, uint32_t id, const char *name, WcTextPosition position,
                            const char *key, WcError *error);
static char *format_target (WcDraft *draft, const WcDraftTarget *entry);
static gint  compare_ids (gconstpointer a, gconstpointer b);
static gint  compare_targets (gconstpointer a, gconstpointer b);
static gint  compare_drafts (gconstpointer a, gconstpointer b);

bool
wc_draft_resolve (WcDraft *draft, WcError *error)
{
  GHashTable *domains = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *services = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *hosts = g_hash_table_new (g_str_hash, g_str_equal);
  bool        resolved;

  assert (draft != NULL);

  resolved = add_domains (draft, domains, error) && add_services (draft, services, error) &&
             add_customers (draft, error) && add_keys (draft, error) && add_hosts (draft, hosts, domains, error) &&
             resolve_targets (draft, services, error) &&
             wc_draft_check_rules (draft, domains, services, hosts, error) && add_targets (draft, error);
  g_hash_table_destroy (domains);
  g_hash_table_destroy (services);
  g_hash_table_destroy (hosts);
  return resolved;
}

/* local functions */

static bool
add_domains (WcDraft *draft, GHashTable *names, WcError *error)
{
  GHashTable *ids = g_hash_table_new (NULL, NULL);
  bool        valid = true;

  for (guint i = 0; valid && i < draft->domains->len; i++)
    {
      WcDraftDomain *entry = &g_array_index (draft->domains, WcDraftDomain, i);

      valid = add_unique_id (draft, ids, entry->domain.id, entry->domain.name, entry->position, "domains", error);
      g_hash_table_insert (names, entry->domain.name, entry);
      g_array_append_val (draft->reg->domains, entry->domain);
    }
  g_hash_table_destroy (ids);
  g_array_sort (draft->reg->domains, compare_ids);
  return valid;
}

static bool
add_services (WcDraft *draft, GHashTable *names, WcError *error)
{
  GHashTable *ids = g_hash_table_new (NULL, NULL);
  bool        valid = true;

  for (guint i = 0; valid && i < draft->services->len; i++)
    {
      WcDraftService *entry = &g_array_index (draft->services, WcDraftService, i);

      valid = add_unique_id (draft, ids, entry->service.id, entry->service.name, entry->position, "services", error);
      g_hash_table_insert (names, entry->service.name, entry);
      g_array_append_val (draft->reg->services, entry->service);
    }
  g_hash_table_destroy (ids);
  g_array_sort (draft->reg->services, compare_ids);
  return valid;
}

static bool
add_customers (WcDraft *draft, WcError *error)
{
  GHashTable *ids = g_hash_table_new (NULL, NULL);
  bool        valid = true;

  for (guint i = 0; valid && i < draft->customers->len; i++)
    {
      WcDraftCustomer *entry = &g_array_index (draft->customers, WcDraftCustomer, i);

      valid = add_unique_id (draft, ids, entry->customer.id, entry->customer.name, entry->position, "customers", error);
      g_array_append_val (draft->reg->customers, entry->customer);
    }
  g_hash_table_destroy (ids);
  g_array_sort (draft->reg->customers, compare_ids);
  return valid;
}

static bool
add_keys (WcDraft *draft, WcError *error)
{
  if (draft->keys->len == 0)
    return wc_draft_fail (draft, error, (WcTextPosition){ 0, 1 }, "keys", "needs at least 1 key");
  for (guint i = 0; i < draft->keys->len; i++)
    {
      WcDraftKey *entry = &g_array_index (draft->keys, WcDraftKey, i);

      for (guint j = 0; j < i; j++)
        if (g_array_index (draft->keys, WcDraftKey, j).key.epoch == entry->key.epoch)
          return wc_draft_fail (draft, error, entry->position, "epoch", "%u is used twice", entry->key.epoch);
      g_array_append_val (draft->reg->keys, entry->key);
    }
  g_array_sort (draft->reg->keys, compare_ids);
  return true;
}

static bool
add_hosts (WcDraft *draft, GHashTable *names, GHashTable *domains, WcError *error)
{
  for (guint i = 0; i < draft->hosts->len; i++)
    {
      WcDraftHost *entry = &g_array_index (draft->hosts, WcDraftHost, i);

      if (!g_hash_table_insert (names, entry->name, entry))
        return wc_draft_fail (draft, error, entry->position, "hosts", "duplicate name '%s'", entry->name);
      if (!g_hash_table_contains (domains, entry->domain))
        return wc_draft_fail (draft, error, entry->position, "domain", "unknown domain '%s'", entry->domain);
    }
  return true;
}

static bool
resolve_targets (WcDraft *draft, GHashTable *services, WcError *error)
{
  GHashTable *ids = g_hash_table_new (NULL, NULL);
  GHashTable *addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool        valid = true;

  for (guint i = 0; valid && i < draft->targets->len; i++)
    {
      WcDraftTarget        *entry = &g_array_index (draft->targets, WcDraftTarget, i);
      const WcDraftHost    *host = &g_array_index (draft->hosts, WcDraftHost, entry->host);
      const WcDraftService *service = g_hash_table_lookup (services, entry->service);
      char                  address[WC_ADDRESS_TEXT_BYTES];
      char                 *text;

      wc_address_format (&entry->target.address, address);
      if (!service)
        {
          valid = wc_draft_fail (draft, error, entry->position, "service", "unknown service '%s'", entry->service);
          continue;
        }
      if (!g_hash_table_add (addresses, g_strdup (address)))
        {
          valid =
              wc_draft_fail (draft, error, entry->position, "address", "%s belongs to another target already", address);
          continue;
        }
      text = format_target (draft, entry);
      entry->target.id = wc_name_id32 (text);
      entry->target.service = service->service.id;
      entry->target.domain = wc_name_id32 (host->domain);
      entry->target.host = host->name;
      /* Addresses are unique, so two targets have the same identifier only when their hashes collide. */
      if (!g_hash_table_add (ids, GUINT_TO_POINTER (entry->target.id)))
        valid = wc_draft_fail (draft, error, entry->position, "targets",
                               "identifier of '%s' collides with another target", text);
      g_free (text);
    }
  g_hash_table_destroy (ids);
  g_hash_table_destroy (addresses);
  g_array_sort (draft->targets, compare_drafts);
  return valid;
}

/* The rules must have been applied to the hosts, and the targets must be sorted. */
static bool
add_targets (WcDraft *draft, WcError *error)
{
  WcRegister *reg = draft->reg;

  if (reg->domains->len == 0)
    return wc_draft_fail (draft, error, (WcTextPosition){ 0, 1 }, "domains", "needs at least 1 domain");
  for (guint i = 0; i < draft->targets->len; i++)
    {
      WcDraftTarget     *entry = &g_array_index (draft->targets, WcDraftTarget, i);
      const WcDraftHost *host = &g_array_index (draft->hosts, WcDraftHost, entry->host);

      entry->target.weight = host->weight;
      entry->target.leaving = host->leaving;
      g_array_append_val (reg->targets, entry->target);
    }
  for (uint32_t i = 0; i < reg->targets->len; i++)
    {
      WcTargetIndexEntry entry = { g_array_index (reg->targets, WcTarget, i).id, i };

      g_array_append_val (reg->target_index, entry);
    }
  g_array_sort (reg->target_index, compare_ids);
  return true;
}

/* Adds an identifier, unless its name is a duplicate or its hash collides. @ids maps identifiers to names. */
static bool
add_unique_id (WcDraft *draft, GHashTable *ids, uint32_t id, const char *name, WcTextPosition position, const char *key,
               WcError *error)
{
  const char *other = g_hash_table_lookup (ids, GUINT_TO_POINTER (id));

  if (other && strcmp (other, name) == 0)
    return wc_draft_fail (draft, error, position, key, "duplicate name '%s'", name);
  if (other)
    return wc_draft_fail (draft, error, position, key, "identifier of '%s' collides with that of '%s'; rename one",
                          name, other);
  g_hash_table_insert (ids, GUINT_TO_POINTER (id), (gpointer)name);
  return true;
}

static char *
format_target (WcDraft *draft, const WcDraftTarget *entry)
{
  const WcDraftHost *host = &g_array_index (draft->hosts, WcDraftHost, entry->host);
  char               address[WC_ADDRESS_TEXT_BYTES];

  return g_strdup_printf ("%s/%s/%s", entry->service, host->name, wc_address_format (&entry->target.address, address));
}

/* The first member of each element must be its identifier. */
static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;

  return (left > right) - (left < right);
}

static gint
compare_targets (gconstpointer a, gconstpointer b)
{
  const WcTarget *left = a;
  const WcTarget *right = b;

  if (left->service != right->service)
    return left->service < right->service ? -1 : 1;
  if (left->domain != right->domain)
    return left->domain < right->domain ? -1 : 1;
  return compare_ids (&left->id, &right->id);
}

static gint
compare_drafts (gconstpointer a, gconstpointer b)
{
  return compare_targets (&((const WcDraftTarget *)a)->target, &((const WcDraftTarget *)b)->target);
}
