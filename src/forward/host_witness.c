#include "forward/host_witness.h"

#include <assert.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  /* Reports are sent every 100 ms while a host is unresponsive; some of them may be lost. */
  WITNESS_LIFE_US = 500 * 1000
};

static bool counts (const WcHostWitness *witness, uint64_t life_us, uint64_t now_us);

void
wc_host_witnesses_report (WcHostWitnesses *witnesses, uint64_t reporter, const WcHostSilence *silence, uint64_t now_us)
{
  WcHostWitness *place = &witnesses->entries[0];
  bool           is_known = false;

  assert (witnesses != NULL && silence != NULL && reporter != 0);

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
  if (is_known || silence->requests > 0)
    *place = (WcHostWitness){ reporter, *silence, now_us + WITNESS_LIFE_US };
}

uint32_t
wc_host_witnesses_add_up (const WcHostWitnesses *witnesses, uint64_t life_us, uint64_t now_us, WcHostSilence *silence)
{
  uint32_t count = 0;

  assert (witnesses != NULL && silence != NULL);

  for (int i = 0; i < WC_HOST_WITNESSES; i++)
    {
      const WcHostWitness *witness = &witnesses->entries[i];

      if (!counts (witness, life_us, now_us))
        continue;
      count++;
      silence->requests += witness->silence.requests;
      silence->repeating += witness->silence.repeating;
      if (silence->since_us == 0 || witness->silence.since_us < silence->since_us)
        silence->since_us = witness->silence.since_us;
    }
  return count;
}

/* local functions */

static bool
counts (const WcHostWitness *witness, uint64_t life_us, uint64_t now_us)
{
  return now_us < witness->deadline_us && witness->silence.requests > 0 && witness->silence.since_us > life_us;
}
