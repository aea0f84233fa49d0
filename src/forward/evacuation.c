#include "forward/evacuation.h"

#include <assert.h>

#include <glib.h>

struct WcEvacuation
{
  GArray *domains;
};

static WcEvacuatedDomain *find (const WcEvacuation *evacuation, uint32_t domain);

WcEvacuation *
wc_evacuation_new (void)
{
  WcEvacuation *evacuation = g_new0 (WcEvacuation, 1);

  evacuation->domains = g_array_new (FALSE, FALSE, sizeof (WcEvacuatedDomain));
  return evacuation;
}

void
wc_evacuation_delete (WcEvacuation *evacuation)
{
  if (!evacuation)
    return;
  g_array_free (evacuation->domains, TRUE);
  g_free (evacuation);
}

bool
wc_evacuation_set (WcEvacuation *evacuation, uint32_t domain, bool is_evacuated, uint64_t revision, uint64_t now_us)
{
  const WcEvacuatedDomain added = { domain, revision, now_us };
  WcEvacuatedDomain      *known;

  assert (evacuation != NULL && domain != 0);

  known = find (evacuation, domain);
  if (known && is_evacuated)
    known->revision = revision;
  if ((known != NULL) == is_evacuated)
    return false;
  if (is_evacuated)
    g_array_append_val (evacuation->domains, added);
  else
    g_array_remove_index_fast (evacuation->domains,
                               (guint)(known - (WcEvacuatedDomain *)(void *)evacuation->domains->data));
  return true;
}

const WcEvacuatedDomain *
wc_evacuation_find (const WcEvacuation *evacuation, uint32_t domain)
{
  assert (evacuation != NULL);

  return find (evacuation, domain);
}

size_t
wc_evacuation_get_count (const WcEvacuation *evacuation)
{
  assert (evacuation != NULL);

  return evacuation->domains->len;
}

const WcEvacuatedDomain *
wc_evacuation_get (const WcEvacuation *evacuation, size_t index)
{
  assert (evacuation != NULL && index < evacuation->domains->len);

  return &g_array_index (evacuation->domains, WcEvacuatedDomain, index);
}

/* local functions */

static WcEvacuatedDomain *
find (const WcEvacuation *evacuation, uint32_t domain)
{
  for (guint i = 0; i < evacuation->domains->len; i++)
    {
      WcEvacuatedDomain *entry = &g_array_index (evacuation->domains, WcEvacuatedDomain, i);

      if (entry->domain == domain)
        return entry;
    }
  return NULL;
}
