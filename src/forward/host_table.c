#include "forward/host_table.h"

#include <assert.h>

#include <glib.h>

#include "forward/cookie.h"

const char *const WC_HOST_STATE_STRINGS[WC_HOST_STATE_COUNT] = { "ready", "draining", "gone" };

enum
{
  /* Entries that expired while the store was unavailable are written again within about two seconds of its return. */
  GRACE_PERIOD_US = 2200 * 1000
};

typedef struct
{
  uint32_t   service;
  uint32_t   domain;
  size_t     gone;
  GPtrArray *hosts;
} Group;

struct WcHostTable
{
  uint64_t    gone_retention_us;
  GPtrArray  *hosts;
  GArray     *groups;
  GHashTable *by_id;
  GHashTable *by_cookie;
};

static Group *find_group (WcHostTable *table, const WcHost *host);
static void   enter_group (WcHostTable *table, WcHost *host);
static void   leave_group (WcHostTable *table, WcHost *host);
static void   free_group (gpointer data);
static void   claim_cookie (WcHostTable *table, WcHost *host);
static void   release_cookie (WcHostTable *table, const WcHost *host);
static void   reset_health (WcHost *host);
static void   free_host (gpointer data);

int
wc_host_record_compare (const WcHostRecord *a, const WcHostRecord *b)
{
  if (a->started_ms != b->started_ms)
    return a->started_ms == 0 || b->started_ms == 0 ? 0 : a->started_ms < b->started_ms ? -1 : 1;
  if (a->sequence == 0 || b->sequence == 0)
    return 0;
  return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

bool
wc_host_is_cold (const WcHost *host, uint64_t now_us)
{
  return now_us < host->warm_up_deadline_us || now_us < host->assumed_cold_deadline_us;
}

WcHostTable *
wc_host_table_new (uint64_t gone_retention_us)
{
  WcHostTable *table = g_new0 (WcHostTable, 1);

  table->gone_retention_us = gone_retention_us;
  table->hosts = g_ptr_array_new_with_free_func (free_host);
  table->groups = g_array_new (FALSE, FALSE, sizeof (Group));
  g_array_set_clear_func (table->groups, free_group);
  table->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  table->by_cookie = g_hash_table_new (NULL, NULL);
  return table;
}

void
wc_host_table_delete (WcHostTable *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->by_cookie);
  g_hash_table_destroy (table->by_id);
  g_array_free (table->groups, TRUE);
  g_ptr_array_free (table->hosts, TRUE);
  g_free (table);
}

WcHost *
wc_host_table_put (WcHostTable *table, const WcHostRecord *record, uint64_t revision, uint64_t now_us)
{
  WcHost *host;

  assert (table != NULL && record != NULL);
  assert (record->id != 0 && record->state != WC_HOST_GONE);

  host = wc_host_table_find (table, record->id);
  if (!host)
    {
      host = g_new0 (WcHost, 1);
      host->record = *record;
      host->cookie = wc_cookie_from_host (record->id);
      g_ptr_array_add (table->hosts, host);
      g_hash_table_insert (table->by_id, &host->record.id, host);
      claim_cookie (table, host);
    }
  else
    {
      leave_group (table, host);
      if (host->record.started_ms != record->started_ms)
        reset_health (host);
    }
  host->record = *record;
  enter_group (table, host);
  host->revision = revision;
  host->warm_up_deadline_us = now_us + (uint64_t)record->warm_up_left_ms * 1000;
  host->gone_us = 0;
  host->evict_deadline_us = 0;
  return host;
}

WcHost *
wc_host_table_set_gone (WcHostTable *table, uint64_t id, uint64_t now_us)
{
  WcHost *host = wc_host_table_find (table, id);

  if (!host || host->record.state == WC_HOST_GONE)
    return host;
  host->grace_deadline_us = host->record.state == WC_HOST_READY ? now_us + GRACE_PERIOD_US : 0;
  leave_group (table, host);
  host->record.state = WC_HOST_GONE;
  enter_group (table, host);
  host->gone_us = now_us;
  host->evict_deadline_us = now_us + table->gone_retention_us;
  return host;
}

size_t
wc_host_table_evict (WcHostTable *table, uint64_t now_us)
{
  size_t removed = 0;

  for (guint i = table->hosts->len; i > 0; i--)
    {
      WcHost *host = table->hosts->pdata[i - 1];

      if (host->record.state != WC_HOST_GONE || now_us < host->evict_deadline_us || host->flows > 0)
        continue;
      leave_group (table, host);
      g_hash_table_remove (table->by_id, &host->record.id);
      release_cookie (table, host);
      g_ptr_array_remove_index_fast (table->hosts, i - 1);
      removed++;
    }
  return removed;
}

WcHost *
wc_host_table_find (const WcHostTable *table, uint64_t id)
{
  assert (table != NULL);

  return g_hash_table_lookup (table->by_id, &id);
}

WcHost *
wc_host_table_find_cookie (const WcHostTable *table, uint32_t cookie)
{
  assert (table != NULL);

  return g_hash_table_lookup (table->by_cookie, GUINT_TO_POINTER (cookie));
}

bool
wc_host_table_next_group (const WcHostTable *table, uint32_t service, size_t *cursor, WcHostGroup *group)
{
  assert (table != NULL && cursor != NULL && group != NULL);

  while (*cursor < table->groups->len)
    {
      const Group *found = &g_array_index (table->groups, Group, (*cursor)++);

      if (service != 0 && found->service != service)
        continue;
      *group = (WcHostGroup){
        .service = found->service,
        .domain = found->domain,
        .gone = found->gone,
        .count = found->hosts->len,
        .hosts = (WcHost *const *)found->hosts->pdata,
      };
      return true;
    }
  return false;
}

size_t
wc_host_table_get_count (const WcHostTable *table)
{
  return table->hosts->len;
}

WcHost *
wc_host_table_get (const WcHostTable *table, size_t index)
{
  assert (index < table->hosts->len);

  return table->hosts->pdata[index];
}

/* local functions */

/* Return: the group of the host's service and domain; created when there is none. */
static Group *
find_group (WcHostTable *table, const WcHost *host)
{
  Group group = { .service = host->record.service, .domain = host->record.domain };

  for (guint i = 0; i < table->groups->len; i++)
    {
      Group *found = &g_array_index (table->groups, Group, i);

      if (found->service == group.service && found->domain == group.domain)
        return found;
    }
  group.hosts = g_ptr_array_new ();
  g_array_append_val (table->groups, group);
  return &g_array_index (table->groups, Group, table->groups->len - 1);
}

static void
enter_group (WcHostTable *table, WcHost *host)
{
  Group *group = find_group (table, host);

  g_ptr_array_add (group->hosts, host);
  group->gone += host->record.state == WC_HOST_GONE;
}

/* An empty group is removed, so that services which no longer exist leave nothing behind. */
static void
leave_group (WcHostTable *table, WcHost *host)
{
  Group *group = find_group (table, host);

  g_ptr_array_remove_fast (group->hosts, host);
  group->gone -= host->record.state == WC_HOST_GONE;
  if (group->hosts->len == 0)
    g_array_remove_index_fast (table->groups, (guint)(group - (Group *)(void *)table->groups->data));
}

static void
free_group (gpointer data)
{
  g_ptr_array_free (((Group *)data)->hosts, TRUE);
}

/*
 * Of two hosts with the same cookie, the one with the lower identifier owns it on every instance, regardless of which
 * was added first.
 */
static void
claim_cookie (WcHostTable *table, WcHost *host)
{
  WcHost *owner = g_hash_table_lookup (table->by_cookie, GUINT_TO_POINTER (host->cookie));

  if (owner && owner->record.id < host->record.id)
    {
      host->ambiguous = true;
      return;
    }
  if (owner)
    owner->ambiguous = true;
  g_hash_table_insert (table->by_cookie, GUINT_TO_POINTER (host->cookie), host);
}

static void
release_cookie (WcHostTable *table, const WcHost *host)
{
  if (g_hash_table_lookup (table->by_cookie, GUINT_TO_POINTER (host->cookie)) == host)
    g_hash_table_remove (table->by_cookie, GUINT_TO_POINTER (host->cookie));
}

/* A host that restarted under the same identifier has no state from before, so earlier evidence does not apply. */
static void
reset_health (WcHost *host)
{
  host->last_seen_us = 0;
  host->evidence_start_us = 0;
  host->unanswered_flows = 0;
  host->unanswered = (WcUnansweredRequests){ 0 };
  host->witnesses = (WcHostWitnesses){ 0 };
  host->query_deadline_us = 0;
  host->suspect_deadline_us = 0;
  host->suspect_count = 0;
  wc_host_failures_finish (&host->failures);
}

static void
free_host (gpointer data)
{
  WcHost *host = data;

  wc_host_failures_finish (&host->failures);
  g_free (host);
}
