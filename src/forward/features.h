#ifndef WC_FORWARD_FEATURES_H
#define WC_FORWARD_FEATURES_H

#include <stdbool.h>

/**
 * struct WcForwardFeatures - decisions that a deployment asks for; all are off by default.
 * @warm_up_limit: limit new flows to hosts that have just started; see warm_up.h.
 * @domain_balance: decide from expected times how many flows leave the domain; see domain_balance.h.
 * @host_failures: avoid hosts that fail part of their requests; see host_failures.h.
 * @urgency: share capacity among openings by the priority of their routes; see admission_weighted.c.
 * @attempt_budget: limit how often openings are sent to another host; see opening_budget.h.
 */
typedef struct
{
  bool warm_up_limit;
  bool domain_balance;
  bool host_failures;
  bool urgency;
  bool attempt_budget;
} WcForwardFeatures;

#endif
