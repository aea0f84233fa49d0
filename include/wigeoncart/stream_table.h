#ifndef WIGEONCART_STREAM_TABLE_H
#define WIGEONCART_STREAM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcStreamWaiter - a caller that waits for events of a service.
 * @cursor: last event that it has received.
 * @deadline_us: when it gets an empty answer.
 */
typedef struct
{
  uint32_t  service;
  uint64_t  request_id;
  uint64_t  cursor;
  uint64_t  deadline_us;
  WcAddress caller;
} WcStreamWaiter;

/** struct WcStreamTable - bounded set of waiters of one worker; one waiter a (caller, request id). */
typedef struct WcStreamTable WcStreamTable;

WcStreamTable *wc_stream_table_new (uint32_t max_waiters);
void           wc_stream_table_delete (WcStreamTable *table);

/** wc_stream_table_add() - add, or replace the waiter of the same caller and request id. Return: OK or NO_SPACE. */
WcStatus wc_stream_table_add (WcStreamTable *table, const WcStreamWaiter *waiter);

/** wc_stream_table_take_ready() - remove and return a waiter of @service whose cursor is below @cursor, lowest first.
 */
bool wc_stream_table_take_ready (WcStreamTable *table, uint32_t service, uint64_t cursor, WcStreamWaiter *waiter);

/** wc_stream_table_take_expired() - remove and return a waiter whose deadline has been reached, earliest first. */
bool wc_stream_table_take_expired (WcStreamTable *table, uint64_t now_us, WcStreamWaiter *waiter);

/** wc_stream_table_get_lowest_cursor() - whether any waiter of @service is left; @lowest_cursor gets the lowest cursor.
 */
bool wc_stream_table_get_lowest_cursor (const WcStreamTable *table, uint32_t service, uint64_t *lowest_cursor);

uint32_t wc_stream_table_get_count (const WcStreamTable *table);

#endif
