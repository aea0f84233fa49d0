#include "core/retry_budget.h"

#include <assert.h>
#include <stddef.h>

enum
{
  RETRY_COST = 100,
  /* Minimum for dispatchers with little traffic: one retry per second, with a burst of at most MIN_RETRIES. */
  MIN_RETRIES = 3,
  REFILL_INTERVAL_US = 1000000,
  /* Limits the burst after a long time without failures. */
  MAX_RETRIES = 50
};

void
wc_retry_budget_init (WcRetryBudget *budget, uint32_t percent)
{
  assert (budget != NULL);

  budget->percent = percent;
  budget->balance = MIN_RETRIES * RETRY_COST;
  budget->next_refill_us = 0;
}

void
wc_retry_budget_deposit (WcRetryBudget *budget)
{
  assert (budget != NULL);

  budget->balance += budget->percent;
  if (budget->balance > MAX_RETRIES * RETRY_COST)
    budget->balance = MAX_RETRIES * RETRY_COST;
}

bool
wc_retry_budget_withdraw (WcRetryBudget *budget, uint64_t now_us)
{
  assert (budget != NULL);

  if (now_us >= budget->next_refill_us)
    {
      if (budget->next_refill_us > 0 && budget->balance < MIN_RETRIES * RETRY_COST)
        {
          uint64_t refills = 1 + (now_us - budget->next_refill_us) / REFILL_INTERVAL_US;

          budget->balance += RETRY_COST * (uint32_t)(refills < MIN_RETRIES ? refills : MIN_RETRIES);
          if (budget->balance > MIN_RETRIES * RETRY_COST)
            budget->balance = MIN_RETRIES * RETRY_COST;
        }
      budget->next_refill_us = now_us + REFILL_INTERVAL_US;
    }
  if (budget->balance < RETRY_COST)
    return false;
  budget->balance -= RETRY_COST;
  return true;
}
