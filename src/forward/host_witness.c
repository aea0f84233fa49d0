#include "forward/host_witness.h"

#include <assert.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  /* Reports are repeated each 100 ms while a host is silent; some of them may be lost. */
  WITNESS_LIFETIME_US = 500 * 1000
};

static bool counts (const WcHostWitness *witness, uint64_t last_seen_us, uint64_t now_us);

void
wc_host_witnesses_add_report (WcHostWitnesses *witnesses, uint64_t reporter, const WcUnansweredRequests *unanswered,
                              uint64_t now_us)
{
  WcHostWitness *place = &witnesses->entries[0];
  bool           is_known = false;

  assert (witnesses != NULL && unanswered != NULL && reporter != 0);

  for (int i = 0; i < WC_HOST_WITNESSES; i++)
    {
      WcHostWitness *witness = &witnesses->entries[i];

      if (witness->reporter == reporter)
        {
          place = witness;
          is_known = true;
          break;
        }
      if (witness->deadline_us < place->deadline_us)
        place = witness;
    }
  if (is_known || unanswered->requests > 0)
    *place = (WcHostWitness){ reporter, *unanswered, now_us + WITNESS_LIFETIME_US };
}

uint32_t
wc_host_witnesses_sum (const WcHostWitnesses *witnesses, uint64_t last_seen_us, uint64_t now_us,
                       WcUnansweredRequests *unanswered)
{
  uint32_t count = 0;

  assert (witnesses != NULL && unanswered != NULL);

  for (int i = 0; i < WC_HOST_WITNESSES; i++)
    {
      const WcHostWitness *witness = &witnesses->entries[i];

      if (!counts (witness, last_seen_us, now_us))
        continue;
      count++;
      unanswered->requests += witness->unanswered.requests;
      unanswered->retransmitted += witness->unanswered.retransmitted;
      if (unanswered->since_us == 0 || witness->unanswered.since_us < unanswered->since_us)
        unanswered->since_us = witness->unanswered.since_us;
    }
  return count;
}

/* local functions */

static bool
counts (const WcHostWitness *witness, uint64_t last_seen_us, uint64_t now_us)
{
  return now_us < witness->deadline_us && witness->unanswered.requests > 0 &&
         witness->unanswered.since_us > last_seen_us;
}
