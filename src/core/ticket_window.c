#include "core/ticket_window.h"

#include <assert.h>
#include <string.h>

void
wc_ticket_window_init (WcTicketWindow *window, uint64_t life_us, uint32_t max_tickets)
{
  assert (window != NULL);
  assert (life_us >= WC_TICKET_WINDOW_BUCKETS);

  memset (window, 0, sizeof *window);
  window->life_us = life_us;
  window->max_tickets = max_tickets;
}

bool
wc_ticket_window_issue (WcTicketWindow *window, uint64_t now_us)
{
  /* The buckets together cover two ticket lifetimes, so a bucket is reused only after all its tickets have expired. */
  uint64_t width_us = 2 * window->life_us / WC_TICKET_WINDOW_BUCKETS + 1;
  uint32_t bucket = (uint32_t)(now_us / width_us % WC_TICKET_WINDOW_BUCKETS);

  for (uint32_t i = 0; i < WC_TICKET_WINDOW_BUCKETS; i++)
    if (window->bucket_counts[i] != 0 && window->bucket_ends_us[i] <= now_us)
      {
        window->count -= window->bucket_counts[i];
        window->bucket_counts[i] = 0;
      }
  if (window->count >= window->max_tickets)
    return false;

  window->count++;
  window->bucket_counts[bucket]++;
  window->bucket_ends_us[bucket] = now_us + window->life_us;
  window->last_expiry_us = now_us + window->life_us;
  return true;
}
