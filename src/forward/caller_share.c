#include "forward/caller_share.h"

#include <assert.h>
#include <stddef.h>

#include <glib.h>

enum
{
  SPAN_US = 1000 * 1000,
  /* A caller makes three attempts for a request; the fourth opening in a second belongs to another one. */
  FAIR_MIN = 4
};

static bool is_class (const WcCallerShare *share, uint32_t service, uint8_t priority);
static WcCallerShare *
get_share (WcCallerShares *shares, uint32_t caller_ip, uint32_t service, uint8_t priority, uint64_t now_us);
static uint64_t count_callers (const WcCallerShares *shares, uint32_t service, uint8_t priority, uint64_t now_us);

bool
wc_caller_shares_record (WcCallerShares *shares, uint32_t caller_ip, uint32_t service, uint8_t priority,
                         uint64_t admissions_per_s, uint64_t now_us)
{
  WcCallerShare *share;
  uint64_t       callers;

  assert (shares != NULL && service != 0);

  share = get_share (shares, caller_ip, service, priority, now_us);
  callers = count_callers (shares, service, priority, now_us);
  if (callers > 1 && wc_sliding_count_get (&share->fair, SPAN_US, now_us) >= MAX (admissions_per_s / callers, FAIR_MIN))
    return true;
  wc_sliding_count_record (&share->fair, SPAN_US, now_us);
  return false;
}

/* local functions */

static bool
is_class (const WcCallerShare *share, uint32_t service, uint8_t priority)
{
  return share->service == service && share->priority == priority;
}

static WcCallerShare *
get_share (WcCallerShares *shares, uint32_t caller_ip, uint32_t service, uint8_t priority, uint64_t now_us)
{
  WcCallerShare *oldest = &shares->entries[0];

  for (size_t i = 0; i < WC_CALLER_SHARES; i++)
    {
      WcCallerShare *share = &shares->entries[i];

      if (share->caller_ip == caller_ip && is_class (share, service, priority))
        {
          share->used_us = now_us;
          return share;
        }
      if (share->used_us < oldest->used_us)
        oldest = share;
    }
  *oldest = (WcCallerShare){ .caller_ip = caller_ip, .service = service, .priority = priority, .used_us = now_us };
  return oldest;
}

/* Addresses with an opening of the class in the last second. */
static uint64_t
count_callers (const WcCallerShares *shares, uint32_t service, uint8_t priority, uint64_t now_us)
{
  uint64_t count = 0;

  for (size_t i = 0; i < WC_CALLER_SHARES; i++)
    count += is_class (&shares->entries[i], service, priority) && now_us - shares->entries[i].used_us < SPAN_US;
  return count;
}
