#include "core/register_draft.h"

#include <assert.h>
#include <string.h>

#include <wigeoncart/name_id.h>

static bool check_names (const WcDraft *draft, const GArray *rules, GHashTable *names, const char *key,
                         const char *kind, WcError *error);
static bool evacuate_domains (WcDraft *draft, GHashTable *domains, WcError *error);
static bool check_group (const WcDraft *draft, guint first, guint last, WcError *error);
static bool check_member (const WcDraft *draft, GHashTable *hosts, const char *service, WcError *error);

bool
wc_draft_check_rules (WcDraft *draft, GHashTable *domains, GHashTable *services, GHashTable *hosts, WcError *error)
{
  guint last;

  assert (draft != NULL);

  if (!check_names (draft, draft->separate, services, "separate", "service", error) ||
      !check_names (draft, draft->leaving, hosts, "leaving", "host", error) ||
      !check_names (draft, draft->evacuated, domains, "evacuated", "domain", error) ||
      !check_names (draft, draft->weights, hosts, "weights", "host", error))
    return false;

  for (guint first = 0; first < draft->separate->len; first = last)
    {
      uint32_t group = g_array_index (draft->separate, WcDraftRule, first).group;

      for (last = first; last < draft->separate->len; last++)
        if (g_array_index (draft->separate, WcDraftRule, last).group != group)
          break;
      if (!check_group (draft, first, last, error))
        return false;
    }
  for (guint i = 0; i < draft->leaving->len; i++)
    {
      const WcDraftRule *rule = &g_array_index (draft->leaving, WcDraftRule, i);
      WcDraftHost       *host = g_hash_table_lookup (hosts, rule->name);

      if (host->leaving)
        return wc_draft_fail (draft, error, rule->position, "leaving", "host '%s' is listed twice", rule->name);
      host->leaving = true;
    }
  for (guint i = 0; i < draft->weights->len; i++)
    {
      const WcDraftRule *rule = &g_array_index (draft->weights, WcDraftRule, i);
      WcDraftHost       *host = g_hash_table_lookup (hosts, rule->name);

      /* The parser detects duplicate keys within one part; this check detects them across parts. */
      if (host->has_weight)
        return wc_draft_fail (draft, error, rule->position, "weights", "host '%s' is listed twice", rule->name);
      host->has_weight = true;
      host->weight = rule->weight;
    }
  return evacuate_domains (draft, domains, error);
}

/* local functions */

static bool
check_names (const WcDraft *draft, const GArray *rules, GHashTable *names, const char *key, const char *kind,
             WcError *error)
{
  for (guint i = 0; i < rules->len; i++)
    {
      const WcDraftRule *rule = &g_array_index (rules, WcDraftRule, i);

      if (!g_hash_table_contains (names, rule->name))
        return wc_draft_fail (draft, error, rule->position, key, "unknown %s '%.63s'", kind, rule->name);
    }
  return true;
}

/* Must run after the check for hosts that are listed twice in "leaving", because it marks further hosts. */
static bool
evacuate_domains (WcDraft *draft, GHashTable *domains, WcError *error)
{
  for (guint i = 0; i < draft->evacuated->len; i++)
    {
      const WcDraftRule *rule = &g_array_index (draft->evacuated, WcDraftRule, i);
      WcDraftDomain     *domain = g_hash_table_lookup (domains, rule->name);

      if (domain->evacuated)
        return wc_draft_fail (draft, error, rule->position, "evacuated", "domain '%s' is listed twice", rule->name);
      domain->evacuated = true;
    }
  for (guint i = 0; i < draft->hosts->len; i++)
    {
      WcDraftHost         *host = &g_array_index (draft->hosts, WcDraftHost, i);
      const WcDraftDomain *domain = g_hash_table_lookup (domains, host->domain);

      host->leaving = host->leaving || domain->evacuated;
    }
  return true;
}

/* Services of one group must not have targets on the same host. That all targets have different addresses was checked
 * before. */
static bool
check_group (const WcDraft *draft, guint first, guint last, WcError *error)
{
  GHashTable *members = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTable *hosts = g_hash_table_new (NULL, NULL);
  bool        valid = true;

  for (guint i = first; valid && i < last; i++)
    {
      WcDraftRule *rule = &g_array_index (draft->separate, WcDraftRule, i);

      if (!g_hash_table_insert (members, rule->name, rule))
        valid = wc_draft_fail (draft, error, rule->position, "separate", "service '%s' is listed twice", rule->name);
    }
  for (guint i = first; valid && i < last; i++)
    valid = check_member (draft, hosts, g_array_index (draft->separate, WcDraftRule, i).name, error);
  g_hash_table_destroy (members);
  g_hash_table_destroy (hosts);
  return valid;
}

/* Checks one service of a group. @hosts maps each host to the service of the group that it runs. The targets must be
 * sorted by service. */
static bool
check_member (const WcDraft *draft, GHashTable *hosts, const char *service, WcError *error)
{
  uint32_t id = wc_name_id32 (service);
  guint    low = 0;
  guint    high = draft->targets->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (g_array_index (draft->targets, WcDraftTarget, middle).target.service < id)
        low = middle + 1;
      else
        high = middle;
    }
  for (; low < draft->targets->len; low++)
    {
      const WcDraftTarget *target = &g_array_index (draft->targets, WcDraftTarget, low);
      gpointer             host = GUINT_TO_POINTER (target->host + 1);
      const char          *other = g_hash_table_lookup (hosts, host);

      if (target->target.service != id)
        break;
      if (other && strcmp (other, service) != 0)
        return wc_draft_fail (draft, error, target->position, "service",
                              "'%s' and '%s' are kept separate but share host '%s'", other, service,
                              target->target.host);
      g_hash_table_insert (hosts, host, (gpointer)service);
    }
  return true;
}
