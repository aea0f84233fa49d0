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
 *
 * No more tickets are issued than the ledger has places. A ticket that is used therefore always finds a place, and a
 * refusal as not run is always remembered until the ticket expires.
 *
 * @life_us: life of a ticket.
 * @last_expiry_us: expiry of the ticket that was issued last.
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

/** wc_ticket_window_issue() - account for one ticket that expires at now + life; false when there is no room. */
bool wc_ticket_window_issue (WcTicketWindow *window, uint64_t now_us);

#endif
