#ifndef WIGEONCART_POLICY_H
#define WIGEONCART_POLICY_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct WcPolicyTarget - what a policy may know of a target.
 * @outstanding: attempts in progress, as counted here.
 * @limit: slots open now, after ramp-up and refusals; a policy of a late-binding dispatcher is only asked about
 * targets with @outstanding < @limit.
 * @run_us: moving average of run times, 0 when unknown.
 * @dispatched: attempts sent so far.
 * @reported: requests that the target last said it runs; stale or false at times, used by "least-reported" only.
 * @work_us: recent run time given to the target, divided by its weight; older work counts less.
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
 * struct WcPolicy - choice of a target as a table of functions.
 * @name: what settings and reports call it.
 * @choose: index of a target in @targets; @count is at least 1. @state is the policy's own counter, kept by the
 * dispatcher.
 */
typedef struct
{
  const char *name;
  size_t (*choose) (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
} WcPolicy;

/** wc_policy_find() - policy by name; NULL when there is none. "product" is the default one. */
const WcPolicy *wc_policy_find (const char *name);

/** wc_policy_get() - the @index-th policy; NULL past the end. */
const WcPolicy *wc_policy_get (size_t index);

#endif
