#include <wigeoncart/membership.h>

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct WcMemberTable
{
  WcMember *members;
  WcMember *live;
  size_t    count;
  size_t    live_count;
  gint      references;
};

static int compare_ids (const void *a, const void *b);
static int compare_domains (const void *a, const void *b);

const char *const WC_MEMBER_STATE_STRINGS[WC_MEMBER_COUNT] = {
  [WC_MEMBER_LISTED] = "listed",
  [WC_MEMBER_LIVE] = "live",
  [WC_MEMBER_LEAVING] = "leaving",
  [WC_MEMBER_SUSPECT] = "suspect",
};

WcMemberTable *
wc_member_table_new (const WcMember *members, size_t count)
{
  WcMemberTable *table = g_new0 (WcMemberTable, 1);

  assert (members != NULL || count == 0);

  table->members = g_new (WcMember, count + 1);
  table->live = g_new (WcMember, count + 1);
  table->count = count;
  table->references = 1;
  for (size_t i = 0; i < count; i++)
    {
      table->members[i] = members[i];
      if (members[i].state == WC_MEMBER_LIVE)
        table->live[table->live_count++] = members[i];
    }
  qsort (table->members, table->count, sizeof *table->members, compare_ids);
  qsort (table->live, table->live_count, sizeof *table->live, compare_domains);
  return table;
}

WcMemberTable *
wc_member_table_ref (WcMemberTable *table)
{
  assert (table != NULL);

  g_atomic_int_inc (&table->references);
  return table;
}

void
wc_member_table_unref (WcMemberTable *table)
{
  if (!table || !g_atomic_int_dec_and_test (&table->references))
    return;
  g_free (table->live);
  g_free (table->members);
  g_free (table);
}

const WcMember *
wc_member_table_find (const WcMemberTable *table, uint64_t id)
{
  WcMember key = { .id = id };

  assert (table != NULL);

  return bsearch (&key, table->members, table->count, sizeof *table->members, compare_ids);
}

const WcMember *
wc_member_table_get (const WcMemberTable *table, size_t *count)
{
  assert (table != NULL);
  assert (count != NULL);

  *count = table->count;
  return table->members;
}

const WcMember *
wc_member_table_get_live (const WcMemberTable *table, uint32_t domain, size_t *count)
{
  size_t first = 0;
  size_t end = table->live_count;

  assert (table != NULL);
  assert (count != NULL);

  while (first < end)
    {
      size_t middle = first + (end - first) / 2;

      if (table->live[middle].domain < domain)
        first = middle + 1;
      else
        end = middle;
    }
  for (end = first; end < table->live_count && table->live[end].domain == domain;)
    end++;
  *count = end - first;
  return table->live + first;
}

/* local functions */

static int
compare_ids (const void *a, const void *b)
{
  const WcMember *left = a;
  const WcMember *right = b;

  return (left->id > right->id) - (left->id < right->id);
}

static int
compare_domains (const void *a, const void *b)
{
  const WcMember *left = a;
  const WcMember *right = b;

  if (left->domain != right->domain)
    return left->domain > right->domain ? 1 : -1;
  return compare_ids (a, b);
}
