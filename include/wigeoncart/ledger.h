#ifndef WIGEONCART_LEDGER_H
#define WIGEONCART_LEDGER_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/status.h>

/** enum WcLedgerState - fate of a used ticket. NOT_RUN is final: a ticket refused once can never run. */
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
 * struct WcLedgerEntry - a used ticket.
 * @expiry_us: end of the ticket's life; the entry is kept at least until then.
 * @request: node's handle of the request while it is queued or dispatched.
 * @answer: held answer in state DONE, 0 when none is held.
 */
typedef struct
{
  uint64_t      serial;
  uint64_t      expiry_us;
  uint64_t      request;
  uint64_t      answer;
  WcLedgerState state;
} WcLedgerEntry;

/** struct WcLedger - used tickets of one worker, at most one entry a serial. */
typedef struct WcLedger WcLedger;

/** wc_ledger_new() - all memory is allocated here. */
WcLedger *wc_ledger_new (uint32_t max_entries);
void      wc_ledger_delete (WcLedger *ledger);

/** wc_ledger_find() - entry of a serial; NULL when unused. Valid until the next expire that drops it. */
WcLedgerEntry *wc_ledger_find (WcLedger *ledger, uint64_t serial);

/** wc_ledger_insert() - mark a serial as used, in state QUEUED. Return: NULL when full or already used. */
WcLedgerEntry *wc_ledger_insert (WcLedger *ledger, uint64_t serial, uint64_t expiry_us);

/**
 * wc_ledger_expire() - drop entries past their expiry that are neither queued nor dispatched.
 *
 * An entry is dropped only after the time @expiry_us itself, so that a ticket that is still valid at that time is
 * found. The cost is proportional to the entries past their expiry, not to the size of the ledger.
 *
 * Return: how many.
 */
uint32_t wc_ledger_expire (WcLedger *ledger, uint64_t now_us);

uint32_t wc_ledger_get_count (const WcLedger *ledger);

/** wc_ledger_get_bytes() - memory of the ledger, constant over its life. */
size_t wc_ledger_get_bytes (const WcLedger *ledger);

#endif
