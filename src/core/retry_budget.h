#ifndef WC_CORE_RETRY_BUDGET_H
#define WC_CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcRetryBudget - retries earned by first attempts, so that failing targets do not multiply the load.
 * @balance: hundredths of a retry.
 */
typedef struct
{
  uint32_t percent;
  uint32_t balance;
  uint64_t refill_us;
} WcRetryBudget;

void wc_retry_budget_init (WcRetryBudget *budget, uint32_t percent);

/** wc_retry_budget_deposit() - count a first attempt. */
void wc_retry_budget_deposit (WcRetryBudget *budget);

/** wc_retry_budget_withdraw() - take one retry; false when there is none. */
bool wc_retry_budget_withdraw (WcRetryBudget *budget, uint64_t now_us);

#endif
