#include <wigeoncart/policy.h>

#include <assert.h>
#include <string.h>

#include "core/mix.h"

static size_t
choose_random (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
static size_t
choose_round_robin (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
static size_t
choose_hash (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
static size_t choose_least_outstanding (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash,
                                        uint64_t *state, GRand *random);
static size_t
choose_two_choices (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
static size_t
choose_least_reported (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
static size_t
choose_product (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random);
static int compare_outstanding (const WcPolicyTarget *a, const WcPolicyTarget *b);

static const WcPolicy POLICIES[] = {
  { "product", choose_product },
  { "random", choose_random },
  { "round-robin", choose_round_robin },
  { "hash", choose_hash },
  { "least-outstanding", choose_least_outstanding },
  { "two-choices", choose_two_choices },
  { "least-reported", choose_least_reported },
};

const WcPolicy *
wc_policy_find (const char *name)
{
  assert (name != NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (POLICIES); i++)
    if (strcmp (POLICIES[i].name, name) == 0)
      return &POLICIES[i];
  return NULL;
}

const WcPolicy *
wc_policy_get (size_t index)
{
  return index < G_N_ELEMENTS (POLICIES) ? &POLICIES[index] : NULL;
}

/* local functions */

static size_t
choose_random (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random)
{
  (void)targets;
  (void)flow_hash;
  (void)state;
  return (size_t)g_rand_int_range (random, 0, (gint32)count);
}

static size_t
choose_round_robin (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random)
{
  (void)targets;
  (void)flow_hash;
  (void)random;
  return (size_t)((*state)++ % count);
}

/* Rendezvous hashing: when the set of targets changes, only flows of added or removed targets move. */
static size_t
choose_hash (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random)
{
  size_t   best = 0;
  uint64_t best_weight = 0;

  (void)state;
  (void)random;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = wc_mix64 ((uint64_t)targets[i].id << 32 | flow_hash);

      if (i == 0 || weight > best_weight)
        {
          best = i;
          best_weight = weight;
        }
    }
  return best;
}

static size_t
choose_least_outstanding (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state,
                          GRand *random)
{
  size_t best = 0;
  size_t ties = 1;

  (void)flow_hash;
  (void)state;
  for (size_t i = 1; i < count; i++)
    {
      int order = compare_outstanding (&targets[i], &targets[best]);

      if (order < 0)
        {
          best = i;
          ties = 1;
        }
      /* Ties are broken at random, so that instances do not all choose the first target at the same time. */
      else if (order == 0 && g_rand_int_range (random, 0, (gint32)++ties) == 0)
        best = i;
    }
  return best;
}

static size_t
choose_two_choices (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random)
{
  size_t first = (size_t)g_rand_int_range (random, 0, (gint32)count);
  size_t second;

  (void)flow_hash;
  (void)state;
  if (count == 1)
    return 0;
  second = (size_t)g_rand_int_range (random, 0, (gint32)count - 1);
  second += second >= first;
  return compare_outstanding (&targets[second], &targets[first]) < 0 ? second : first;
}

/* Baseline for comparison that relies on the load reported by the targets. */
static size_t
choose_least_reported (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random)
{
  size_t best = 0;
  size_t ties = 1;

  (void)flow_hash;
  (void)state;
  for (size_t i = 1; i < count; i++)
    if (targets[i].reported < targets[best].reported)
      {
        best = i;
        ties = 1;
      }
    else if (targets[i].reported == targets[best].reported && g_rand_int_range (random, 0, (gint32)++ties) == 0)
      best = i;
  return best;
}

/* Least recent work: every candidate has a free slot, so the choice affects only how evenly work is spread. */
static size_t
choose_product (const WcPolicyTarget *targets, size_t count, uint32_t flow_hash, uint64_t *state, GRand *random)
{
  size_t best = 0;

  (void)flow_hash;
  (void)state;
  (void)random;
  for (size_t i = 1; i < count; i++)
    if (targets[i].work_us < targets[best].work_us)
      best = i;
  return best;
}

/* Compares outstanding / weight by cross-multiplication. */
static int
compare_outstanding (const WcPolicyTarget *a, const WcPolicyTarget *b)
{
  uint64_t left = (uint64_t)a->outstanding * b->weight;
  uint64_t right = (uint64_t)b->outstanding * a->weight;

  return (left > right) - (left < right);
}
