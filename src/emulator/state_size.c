#include "emulator/state_size.h"

#include <assert.h>
#include <glib.h>
#include <malloc.h>

#include <wigeoncart/answer_store.h>
#include <wigeoncart/ledger.h>
#include <wigeoncart/stream_table.h>

#include "core/request_queue.h"
#include "core/request_table.h"
#include "edge/target_connection.h"

static size_t get_heap_bytes (void);

void
wc_state_size_tickets (uint32_t count, WcStateSize *size)
{
  size_t    before = get_heap_bytes ();
  WcLedger *ledger = wc_ledger_new (count);

  assert (size != NULL);

  *size = (WcStateSize){ .count = count, .empty_bytes = get_heap_bytes () - before };
  for (uint32_t i = 0; i < count; i++)
    wc_ledger_insert (ledger, i + 1, UINT64_MAX);
  assert (wc_ledger_get_count (ledger) == count);
  size->full_bytes = get_heap_bytes () - before;
  wc_ledger_delete (ledger);
}

void
wc_state_size_waiters (uint32_t count, WcStateSize *size)
{
  size_t         before = get_heap_bytes ();
  WcStreamTable *table = wc_stream_table_new (count);

  assert (size != NULL);

  *size = (WcStateSize){ .count = count, .empty_bytes = get_heap_bytes () - before };
  for (uint32_t i = 0; i < count; i++)
    {
      WcStreamWaiter waiter = {
        .service = 1,
        .request_id = i + 1,
        .cursor = 1,
        .deadline_us = i + 1,
        .caller = { .ip = { 127, 0, 0, 1 }, .family = 4, .port = 1 },
      };

      wc_stream_table_add (table, &waiter);
    }
  assert (wc_stream_table_get_count (table) == count);
  size->full_bytes = get_heap_bytes () - before;
  wc_stream_table_delete (table);
}

void
wc_state_size_requests (uint32_t count, WcStateSize *size)
{
  size_t          before = get_heap_bytes ();
  WcRequestTable *table = wc_request_table_new (count);
  WcRequestQueue *queue = wc_request_queue_new (count);

  assert (size != NULL);

  *size = (WcStateSize){ .count = count, .empty_bytes = get_heap_bytes () - before };
  for (uint32_t i = 0; i < count; i++)
    {
      const WcRequest        *request = wc_request_table_add (table, i + 1);
      const WcDispatchRequest queued = { .request = request->handle, .deadline_us = 1000 + i, .worth = 1 };

      wc_request_queue_push (queue, &queued, 1000 + i);
    }
  assert (wc_request_queue_get_length (queue) == count);
  size->full_bytes = get_heap_bytes () - before;
  wc_request_queue_delete (queue);
  wc_request_table_delete (table);
}

void
wc_state_size_connections (uint32_t count, WcStateSize *size)
{
  /* The event loop does not run, so that no callback is called. */
  const WcConnectionOps ops = { 0 };
  struct ev_loop       *loop = ev_loop_new (EVFLAG_AUTO);
  WcTarget              target = { 0 };
  WcTargetConnection  **connections = g_new0 (WcTargetConnection *, count);
  size_t                before = get_heap_bytes ();

  assert (size != NULL);

  target.address.family = 4;
  target.address.ip[0] = 127;
  target.address.ip[3] = 1;
  target.address.port = 9;
  *size = (WcStateSize){ .count = count };
  for (uint32_t i = 0; i < count; i++)
    connections[i] = wc_target_connection_new (loop, &target, "service", &ops, NULL);
  size->full_bytes = get_heap_bytes () - before;
  for (uint32_t i = 0; i < count; i++)
    wc_target_connection_delete (connections[i]);
  g_free (connections);
  ev_loop_destroy (loop);
}

void
wc_state_size_answers (uint32_t count, size_t answer_bytes, WcStateSize *size)
{
  size_t         before = get_heap_bytes ();
  WcAnswerStore *store = wc_answer_store_new ((size_t)count * (answer_bytes + 1), count);
  void          *answer = g_malloc0 (answer_bytes + 1);

  assert (size != NULL);

  before += malloc_usable_size (answer);
  *size = (WcStateSize){ .count = count, .empty_bytes = get_heap_bytes () - before };
  for (uint32_t i = 0; i < count; i++)
    {
      wc_answer_store_begin (store, 0, i + 1, answer_bytes);
      wc_answer_store_append (store, i + 1, answer, answer_bytes);
      wc_answer_store_finish (store, i + 1, 200, UINT64_MAX);
    }
  assert (wc_answer_store_get_count (store) == count);
  size->full_bytes = get_heap_bytes () - before;
  g_free (answer);
  wc_answer_store_delete (store);
}

/* local functions */

/* mallinfo2() counts blocks that have a mapping of their own (hblkhd) separately from the others (uordblks). */
static size_t
get_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}
