#ifndef WC_CORE_TICKET_WINDOW_H
#define WC_CORE_TICKET_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WC_TICKET_WINDOW_BUCKETS = 32
};

/**
 * struct WcTicketWindow - counts issued tickets that have not expired.
 * @life_us: lifetime of a ticket.
 * @max_tickets: capacity of the ledger.
 * @count: upper bound of the unexpired tickets.
 * @last_expiry_us: expiry of the ticket that was issued last.
 * @bucket_ends_us: expiry of the last ticket counted in each bucket.
 *
 * The number of unexpired tickets is limited to the capacity of the ledger. The ledger therefore always has room for a
 * used ticket, and the result "not run" is stored until the ticket expires.
 */
typedef struct
{
  uint64_t life_us;
  uint32_t max_tickets;
  uint32_t count;
  uint64_t last_expiry_us;
  uint64_t bucket_ends_us[WC_TICKET_WINDOW_BUCKETS];
  uint32_t bucket_counts[WC_TICKET_WINDOW_BUCKETS];
} WcTicketWindow;

void wc_ticket_window_init (WcTicketWindow *window, uint64_t life_us, uint32_t max_tickets);

/** wc_ticket_window_issue() - count a ticket that expires at @now_us + @life_us. Return: false at the limit. */
bool wc_ticket_window_issue (WcTicketWindow *window, uint64_t now_us);

#endif
