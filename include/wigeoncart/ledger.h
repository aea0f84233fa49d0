#ifndef WIGEONCART_LEDGER_H
#define WIGEONCART_LEDGER_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/status.h>

/** enum WcLedgerState - state of the order, a request that must run at most once, that was submitted with a ticket.
 * NOT_RUN is final: the order is never run afterwards. */
typedef enum
{
  WC_LEDGER_QUEUED = 0,
  WC_LEDGER_DISPATCHED,
  WC_LEDGER_DONE,
  WC_LEDGER_NOT_RUN,
  WC_LEDGER_UNKNOWN,
  WC_LEDGER_STATE_COUNT
} WcLedgerState;

extern const char *const WC_LEDGER_STATE_STRINGS[WC_LEDGER_STATE_COUNT];

/**
 * struct WcLedgerEntry - a used ticket and the state of its order.
 * @serial: serial number of the ticket.
 * @expiry_us: expiry of the ticket; the entry is kept at least until then.
 * @request: handle of the request in the node while it is queued or dispatched.
 * @answer: id of the stored answer in state DONE, 0 when none is stored.
 */
typedef struct
{
  uint64_t      serial;
  uint64_t      expiry_us;
  uint64_t      request;
  uint64_t      answer;
  WcLedgerState state;
} WcLedgerEntry;

/** struct WcLedger - used tickets of one worker, at most one entry per serial, so that an order runs at most once. */
typedef struct WcLedger WcLedger;

/** wc_ledger_new() - all memory is allocated here. */
WcLedger *wc_ledger_new (uint32_t max_entries);
void      wc_ledger_delete (WcLedger *ledger);

/** wc_ledger_find() - entry of a serial, NULL when unused; valid until wc_ledger_expire() removes it. */
WcLedgerEntry *wc_ledger_find (WcLedger *ledger, uint64_t serial);

/** wc_ledger_insert() - add an entry in state QUEUED. Return: NULL when the ledger is full or the serial is used. */
WcLedgerEntry *wc_ledger_insert (WcLedger *ledger, uint64_t serial, uint64_t expiry_us);

/**
 * wc_ledger_expire() - remove expired entries that are neither queued nor dispatched.
 *
 * An entry is removed only when @now_us is greater than its @expiry_us, because a ticket is still valid at its expiry.
 * The cost is proportional to the number of expired entries, not to the size of the ledger.
 *
 * Return: number of removed entries.
 */
uint32_t wc_ledger_expire (WcLedger *ledger, uint64_t now_us);

uint32_t wc_ledger_get_count (const WcLedger *ledger);

/** wc_ledger_get_bytes() - memory of the ledger, constant over its lifetime. */
size_t wc_ledger_get_bytes (const WcLedger *ledger);

#endif
