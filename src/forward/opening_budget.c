#include "forward/opening_budget.h"

#include <assert.h>
#include <stddef.h>

enum
{
  SECOND_PERCENT = 20,
  /*
   * Limit of unused forwardings, in hundredths: the share of 50 first ones. More would let a service whose hosts turn
   * slow after a quiet time exceed the ratio for seconds.
   */
  BALANCE_MAX = 10 * 100
};

const char *const WC_OPENING_CAUSE_STRINGS[WC_OPENING_CAUSE_COUNT] = { "timer", "retransmission", "host_gone" };

static WcRetryBudget *get_budget (WcOpeningBudget *budget, uint32_t service, uint64_t now_us);

void
wc_opening_budget_init (WcOpeningBudget *budget, bool is_limited)
{
  assert (budget != NULL);

  *budget = (WcOpeningBudget){ .is_limited = is_limited };
}

void
wc_opening_budget_record_first (WcOpeningBudget *budget, uint32_t service, uint64_t now_us)
{
  WcRetryBudget *service_budget;

  assert (budget != NULL && service != 0);

  service_budget = get_budget (budget, service, now_us);
  if (service_budget->balance < BALANCE_MAX)
    wc_retry_budget_deposit (service_budget);
  budget->counters.first++;
}

bool
wc_opening_budget_take (WcOpeningBudget *budget, uint32_t service, WcOpeningCause cause, uint64_t now_us)
{
  assert (budget != NULL && service != 0 && cause < WC_OPENING_CAUSE_COUNT);

  if (budget->is_limited && cause != WC_OPENING_CAUSE_HOST_GONE &&
      !wc_retry_budget_withdraw (get_budget (budget, service, now_us), now_us))
    {
      budget->counters.refused++;
      return false;
    }
  budget->counters.second[cause]++;
  return true;
}

void
wc_opening_budget_record_abandoned (WcOpeningBudget *budget)
{
  assert (budget != NULL);

  budget->counters.abandoned++;
}

/* local functions */

static WcRetryBudget *
get_budget (WcOpeningBudget *budget, uint32_t service, uint64_t now_us)
{
  WcServiceBudget *entry = &budget->services[0];

  for (size_t i = 0; i < WC_OPENING_BUDGET_SERVICES && entry->service != service; i++)
    if (budget->services[i].service == service || budget->services[i].used_us < entry->used_us)
      entry = &budget->services[i];
  if (entry->service != service)
    {
      entry->service = service;
      wc_retry_budget_init (&entry->budget, SECOND_PERCENT);
    }
  entry->used_us = now_us;
  return &entry->budget;
}
