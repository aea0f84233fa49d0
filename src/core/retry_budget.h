#ifndef WC_CORE_RETRY_BUDGET_H
#define WC_CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcRetryBudget - limits retries to a share of the first attempts, so that failing targets do not multiply the
 * load.
 * @percent: retries per 100 first attempts.
 * @balance: available retries in units of 1/100.
 * @next_refill_us: time of the next refill to the minimum, 0 before the first retry.
 */
typedef struct
{
  uint32_t percent;
  uint32_t balance;
  uint64_t next_refill_us;
} WcRetryBudget;

void wc_retry_budget_init (WcRetryBudget *budget, uint32_t percent);

/** wc_retry_budget_deposit() - add the share of a first attempt to the balance. */
void wc_retry_budget_deposit (WcRetryBudget *budget);

/** wc_retry_budget_withdraw() - take one retry from the balance. Return: false when it is too low. */
bool wc_retry_budget_withdraw (WcRetryBudget *budget, uint64_t now_us);

#endif
