#include "client/part_set.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include <wigeoncart/answer_store.h>

static size_t part_bytes (const WcPartSet *set, uint32_t part);

WcPartSet *
wc_part_set_new (uint32_t total_bytes, uint32_t part_count)
{
  WcPartSet *set;
  uint64_t   expected = ((uint64_t)total_bytes + WC_ANSWER_PART_BYTES - 1) / WC_ANSWER_PART_BYTES;

  /* An empty answer has one part. */
  if (part_count == 0 || part_count != (expected > 0 ? expected : 1))
    return NULL;
  set = g_new0 (WcPartSet, 1);
  set->total_bytes = total_bytes;
  set->part_count = part_count;
  set->data = g_malloc ((size_t)total_bytes + 1);
  set->present = g_malloc0 (part_count);
  return set;
}

void
wc_part_set_delete (WcPartSet *set)
{
  if (!set)
    return;
  g_free (set->data);
  g_free (set->present);
  g_free (set);
}

bool
wc_part_set_add (WcPartSet *set, uint32_t part, const void *data, size_t size_bytes)
{
  assert (set != NULL);

  if (part >= set->part_count || set->present[part] || size_bytes != part_bytes (set, part))
    return false;
  if (size_bytes > 0)
    memcpy (set->data + (size_t)part * WC_ANSWER_PART_BYTES, data, size_bytes);
  set->present[part] = 1;
  set->received++;
  return true;
}

bool
wc_part_set_is_complete (const WcPartSet *set)
{
  assert (set != NULL);

  return set->received == set->part_count;
}

uint32_t
wc_part_set_find_missing (const WcPartSet *set, uint32_t from, uint32_t max_count, uint32_t *first)
{
  uint32_t end;

  assert (set != NULL);
  assert (first != NULL);

  while (from < set->part_count && set->present[from])
    from++;
  for (end = from; end < set->part_count && !set->present[end] && end - from < max_count; end++)
    ;
  *first = from;
  return end - from;
}

/* local functions */

static size_t
part_bytes (const WcPartSet *set, uint32_t part)
{
  if (part + 1 < set->part_count)
    return WC_ANSWER_PART_BYTES;
  return set->total_bytes - (size_t)part * WC_ANSWER_PART_BYTES;
}
