#ifndef WIGEONCART_POLICY_H
#define WIGEONCART_POLICY_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct WcPolicyTarget - input of a policy for one target.
 * @outstanding: attempts in progress, counted by the dispatcher.
 * @limit: slots that may be used now, after ramp-up and backoff; a late-binding dispatcher offers only targets with
 * @outstanding < @limit.
 * @run_us: moving average of run times, 0 when unknown.
 * @dispatched: attempts sent to the target so far.
 * @reported: number of running requests last reported by the target; may be stale or wrong, used only by
 * "least-reported".
 * @work_us: recent run time of the target's attempts divided by its weight; decays over time.
 */
typedef struct
{
  uint32_t id;
  uint32_t outstanding;
  uint32_t limit;
  uint32_t slots;
  uint32_t weight;
  uint32_t reported;
  uint64_t run_us;
  uint64_t dispatched;
  uint64_t work_us;
} WcPolicyTarget;

/**
 * struct WcPolicy - policy for choosing a target.
 * @name: name in settings and reports.
 * @choose: returns the index of the chosen target in @targets; @count is at least 1. @state is a counter of the policy,
 * stored by the dispatcher.
 */
typedef struct
{
  const char *name;
  size_t (*choose) (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
} WcPolicy;

/** wc_policy_find() - policy by name, NULL when there is none. The default is "product". */
const WcPolicy *wc_policy_find (const char *name);

/** wc_policy_get() - the @index-th policy; NULL past the end. */
const WcPolicy *wc_policy_get (size_t index);

#endif
