#include "forward/host_witness.h"

#include <assert.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  /* Reports are sent every 100 ms while a host is unresponsive; some of them may be lost. */
  WITNESS_LIFETIME_US = 500 * 1000
};

static bool is_valid (const WcHostWitness *witness, uint64_t evidence_start_us, uint64_t now_us);

void
wc_host_witnesses_add_report (WcHostWitnesses *witnesses, uint64_t reporter, const WcUnansweredRequests *unanswered,
                              uint64_t now_us)
{
  WcHostWitness *slot = &witnesses->entries[0];
  bool           is_known = false;

  assert (witnesses != NULL && unanswered != NULL && reporter != 0);

  for (int i = 0; i < WC_HOST_WITNESSES; i++)
    {
      WcHostWitness *witness = &witnesses->entries[i];

      if (witness->reporter == reporter)
        {
          slot = witness;
          is_known = true;
          break;
        }
      if (witness->deadline_us < slot->deadline_us)
        slot = witness;
    }
  if (is_known || unanswered->requests > 0)
    *slot = (WcHostWitness){ reporter, *unanswered, now_us + WITNESS_LIFETIME_US };
}

uint32_t
wc_host_witnesses_sum (const WcHostWitnesses *witnesses, uint64_t evidence_start_us, uint64_t now_us,
                       WcUnansweredRequests *unanswered)
{
  uint32_t count = 0;

  assert (witnesses != NULL && unanswered != NULL);

  for (int i = 0; i < WC_HOST_WITNESSES; i++)
    {
      const WcHostWitness *witness = &witnesses->entries[i];

      if (!is_valid (witness, evidence_start_us, now_us))
        continue;
      count++;
      unanswered->requests += witness->unanswered.requests;
      unanswered->retransmitted_twice += witness->unanswered.retransmitted_twice;
      if (unanswered->since_us == 0 || witness->unanswered.since_us < unanswered->since_us)
        unanswered->since_us = witness->unanswered.since_us;
    }
  return count;
}

/* local functions */

static bool
is_valid (const WcHostWitness *witness, uint64_t evidence_start_us, uint64_t now_us)
{
  return now_us < witness->deadline_us && witness->unanswered.requests > 0 &&
         witness->unanswered.since_us > evidence_start_us;
}
