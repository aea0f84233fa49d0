#ifndef WIGEONCART_STREAM_TABLE_H
#define WIGEONCART_STREAM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcStreamWaiter - a long poll of a caller for events of a service.
 * @cursor: cursor of the last event that the caller has received.
 * @deadline_us: time at which the caller gets an empty answer.
 */
typedef struct
{
  uint32_t  service;
  uint64_t  request_id;
  uint64_t  cursor;
  uint64_t  deadline_us;
  WcAddress caller;
} WcStreamWaiter;

/** struct WcStreamTable - bounded set of the waiters of one worker; one waiter per caller and request id. */
typedef struct WcStreamTable WcStreamTable;

WcStreamTable *wc_stream_table_new (uint32_t max_waiters);
void           wc_stream_table_delete (WcStreamTable *table);

/** wc_stream_table_add() - add a waiter, or replace that of the same caller and request id. Return: OK or NO_SPACE. */
WcStatus wc_stream_table_add (WcStreamTable *table, const WcStreamWaiter *waiter);

/** wc_stream_table_take_ready() - remove the waiter of @service with the lowest cursor, if that is below @cursor, the
 * cursor of the newest event. Return: false when there is none. */
bool wc_stream_table_take_ready (WcStreamTable *table, uint32_t service, uint64_t cursor, WcStreamWaiter *waiter);

/** wc_stream_table_take_expired() - remove the waiter with the earliest deadline, if that is at most @now_us. Return:
 * false when there is none. */
bool wc_stream_table_take_expired (WcStreamTable *table, uint64_t now_us, WcStreamWaiter *waiter);

/** wc_stream_table_get_lowest_cursor() - lowest cursor of the waiters of @service. Return: false when it has no
 * waiters. */
bool wc_stream_table_get_lowest_cursor (const WcStreamTable *table, uint32_t service, uint64_t *lowest_cursor);

uint32_t wc_stream_table_get_count (const WcStreamTable *table);

#endif
