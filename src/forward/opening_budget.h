#ifndef WC_FORWARD_OPENING_BUDGET_H
#define WC_FORWARD_OPENING_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/retry_budget.h"

/*
 * Load pattern: overloaded hosts answer openings late. Each opening that is unanswered after 40 ms goes to a second
 * host, and to a further one at each retransmission of its caller, so the hosts receive several times the load just
 * when they are slow. Forwardings to a further host are therefore limited to a share of the first ones. Each instance
 * keeps the ratio for its own openings, so the fleet keeps it without exchanging messages.
 */

enum
{
  /* A further service replaces the one that was used longest ago. */
  WC_OPENING_BUDGET_SERVICES = 16
};

/** enum WcOpeningCause - why an opening that its host has not answered goes to another host. */
typedef enum
{
  /* The answer timeout of the instance has expired. */
  WC_OPENING_CAUSE_TIMER = 0,
  /* The caller has retransmitted the opening. */
  WC_OPENING_CAUSE_RETRANSMISSION,
  /* The host is no longer published, so that only the other host receives load; never refused. */
  WC_OPENING_CAUSE_HOST_GONE,
  WC_OPENING_CAUSE_COUNT
} WcOpeningCause;

/** WC_OPENING_CAUSE_STRINGS - name of each cause for metrics, indexed by WcOpeningCause. */
extern const char *const WC_OPENING_CAUSE_STRINGS[WC_OPENING_CAUSE_COUNT];

/**
 * struct WcOpeningCounters - forwardings of openings since the start.
 * @first: to a first host.
 * @second: to another host, by cause.
 * @refused: not sent to another host because the budget was used up.
 * @abandoned: flows without a packet of their caller for 2 s after the opening.
 */
typedef struct
{
  uint64_t first;
  uint64_t second[WC_OPENING_CAUSE_COUNT];
  uint64_t refused;
  uint64_t abandoned;
} WcOpeningCounters;

/** struct WcServiceBudget - budget of one service. @used_us: time of the latest use; 0 for an unused entry. */
typedef struct
{
  uint32_t      service;
  uint64_t      used_us;
  WcRetryBudget budget;
} WcServiceBudget;

/**
 * struct WcOpeningBudget - budgets of the services.
 * @is_limited: refuse forwardings beyond the budget; otherwise they are only counted.
 */
typedef struct
{
  bool              is_limited;
  WcOpeningCounters counters;
  WcServiceBudget   services[WC_OPENING_BUDGET_SERVICES];
} WcOpeningBudget;

void wc_opening_budget_init (WcOpeningBudget *budget, bool is_limited);

/** wc_opening_budget_record_first() - count the first forwarding of an opening. */
void wc_opening_budget_record_first (WcOpeningBudget *budget, uint32_t service, uint64_t now_us);

/**
 * wc_opening_budget_take() - count the forwarding of an opening to another host, if the budget allows it.
 *
 * Return: false when the budget is used up.
 */
bool wc_opening_budget_take (WcOpeningBudget *budget, uint32_t service, WcOpeningCause cause, uint64_t now_us);

void wc_opening_budget_record_abandoned (WcOpeningBudget *budget);

#endif
