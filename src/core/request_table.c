#include "core/request_table.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

enum
{
  HANDLE_INDEX_BITS = 20
};

const char *const WC_REQUEST_KIND_STRINGS[WC_REQUEST_KIND_COUNT] = {
  [WC_REQUEST_IDEMPOTENT] = "request",
  [WC_REQUEST_ORDER] = "order",
  [WC_REQUEST_POLL] = "poll",
  [WC_REQUEST_FEED] = "feed",
};

const char *const WC_REQUEST_STATE_STRINGS[WC_REQUEST_STATE_COUNT] = {
  [WC_REQUEST_FREE] = "free",
  [WC_REQUEST_QUEUED] = "queued",
  [WC_REQUEST_DISPATCHED] = "dispatched",
};

struct WcRequestTable
{
  WcRequest *requests;
  uint64_t  *deadlines_us;
  /* Lower bound of all deadlines. It is not raised when a request is removed, so the earliest deadline may be later. */
  uint64_t    earliest_deadline_us;
  uint32_t   *free_indices;
  uint32_t    free_count;
  uint32_t    max_requests;
  uint64_t    generation;
  GHashTable *by_request_id;
};

static uint32_t get_index (const WcRequestTable *table, const WcRequest *request);
static uint64_t make_handle (WcRequestTable *table, uint32_t index);

WcRequestTable *
wc_request_table_new (uint32_t max_requests)
{
  WcRequestTable *table = g_new0 (WcRequestTable, 1);

  assert (max_requests > 0);
  assert (max_requests <= 1u << HANDLE_INDEX_BITS);

  table->requests = g_new0 (WcRequest, max_requests);
  table->deadlines_us = g_new (uint64_t, max_requests);
  table->free_indices = g_new (uint32_t, max_requests);
  table->max_requests = max_requests;
  table->earliest_deadline_us = UINT64_MAX;
  table->free_count = max_requests;
  for (uint32_t i = 0; i < max_requests; i++)
    {
      table->deadlines_us[i] = UINT64_MAX;
      table->free_indices[i] = max_requests - 1 - i;
    }
  table->by_request_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  return table;
}

void
wc_request_table_delete (WcRequestTable *table)
{
  if (!table)
    return;
  g_hash_table_destroy (table->by_request_id);
  g_free (table->free_indices);
  g_free (table->deadlines_us);
  g_free (table->requests);
  g_free (table);
}

WcRequest *
wc_request_table_add (WcRequestTable *table, uint64_t request_id)
{
  WcRequest *request;
  uint32_t   index;

  assert (table != NULL);

  if (table->free_count == 0)
    return NULL;
  index = table->free_indices[--table->free_count];
  request = &table->requests[index];
  /* The body is not zeroed: it is most of the struct, and only its first body_bytes bytes are used. */
  memset (request, 0, offsetof (WcRequest, body));
  request->handle = make_handle (table, index);
  request->state = WC_REQUEST_QUEUED;
  request->request_id = request_id;
  if (request_id != 0)
    /* Replaces the key pointer as well: it points into the request, and if an earlier request has the same id, that one
     * may be removed first. */
    g_hash_table_replace (table->by_request_id, &request->request_id, request);
  return request;
}

void
wc_request_table_renew_handle (WcRequestTable *table, WcRequest *request)
{
  assert (request->state != WC_REQUEST_FREE);

  request->handle = make_handle (table, get_index (table, request));
}

void
wc_request_table_remove (WcRequestTable *table, WcRequest *request)
{
  uint32_t index = get_index (table, request);

  assert (request->state != WC_REQUEST_FREE);

  if (request->request_id != 0 && wc_request_table_find_by_id (table, request->request_id) == request)
    g_hash_table_remove (table->by_request_id, &request->request_id);
  request->state = WC_REQUEST_FREE;
  request->handle = 0;
  table->deadlines_us[index] = UINT64_MAX;
  table->free_indices[table->free_count++] = index;
}

WcRequest *
wc_request_table_find (WcRequestTable *table, uint64_t handle)
{
  uint32_t index = (uint32_t)(handle & ((1u << HANDLE_INDEX_BITS) - 1));

  assert (table != NULL);

  if (handle == 0 || index >= table->max_requests || table->requests[index].handle != handle)
    return NULL;
  return &table->requests[index];
}

WcRequest *
wc_request_table_find_by_id (WcRequestTable *table, uint64_t request_id)
{
  return g_hash_table_lookup (table->by_request_id, &request_id);
}

WcRequest *
wc_request_table_next_expired (WcRequestTable *table, uint64_t now_us)
{
  uint64_t earliest_deadline_us = UINT64_MAX;

  if (now_us < table->earliest_deadline_us)
    return NULL;
  for (uint32_t i = 0; i < table->max_requests; i++)
    {
      if (table->deadlines_us[i] <= now_us)
        return &table->requests[i];
      earliest_deadline_us = MIN (earliest_deadline_us, table->deadlines_us[i]);
    }
  table->earliest_deadline_us = earliest_deadline_us;
  return NULL;
}

void
wc_request_table_set_deadline (WcRequestTable *table, WcRequest *request, uint64_t deadline_us)
{
  request->deadline_us = deadline_us;
  table->deadlines_us[get_index (table, request)] = deadline_us;
  table->earliest_deadline_us = MIN (table->earliest_deadline_us, deadline_us);
}

WcRequest *
wc_request_table_get (WcRequestTable *table, uint32_t index)
{
  return index < table->max_requests ? &table->requests[index] : NULL;
}

uint32_t
wc_request_table_get_count (const WcRequestTable *table)
{
  return table->max_requests - table->free_count;
}

/* local functions */

static uint32_t
get_index (const WcRequestTable *table, const WcRequest *request)
{
  return (uint32_t)(request - table->requests);
}

static uint64_t
make_handle (WcRequestTable *table, uint32_t index)
{
  return ++table->generation << HANDLE_INDEX_BITS | index;
}
