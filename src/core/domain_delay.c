#include "core/domain_delay.h"

#include <assert.h>
#include <glib.h>

enum
{
  WINDOW_US = 10 * 1000 * 1000,
  /* Slightly above the delay between the domains of the deployments, 3 to 4 ms. */
  DEFAULT_DELAY_US = 5000,
  /* Lower bound on the estimate. A request is spilled when that gains 5 delays; with a shorter delay, load differences
   * within the noise of the run times would move requests. */
  MIN_DELAY_US = 1000
};

static WcDomainDelay *find (const WcDomainDelays *delays, uint32_t domain);

void
wc_domain_delays_add (WcDomainDelays *delays, uint64_t now_us, uint32_t domain, uint64_t round_trip_us)
{
  WcDomainDelay *entry;

  assert (delays != NULL);

  entry = find (delays, domain);
  if (!entry)
    {
      if (delays->count == WC_SPILL_MAX_DOMAINS)
        return;
      entry = &delays->entries[delays->count++];
      *entry = (WcDomainDelay){ .domain = domain, .current_min_us = UINT64_MAX, .previous_min_us = UINT64_MAX };
    }
  if (now_us >= entry->window_end_us)
    {
      entry->previous_min_us = now_us < entry->window_end_us + WINDOW_US ? entry->current_min_us : UINT64_MAX;
      entry->current_min_us = UINT64_MAX;
      entry->window_end_us = now_us + WINDOW_US;
    }
  entry->current_min_us = MIN (entry->current_min_us, round_trip_us);
}

uint64_t
wc_domain_delays_get_us (const WcDomainDelays *delays, uint32_t domain)
{
  const WcDomainDelay *entry;

  assert (delays != NULL);

  entry = find (delays, domain);
  if (!entry)
    return DEFAULT_DELAY_US;
  return MAX (MIN (entry->current_min_us, entry->previous_min_us) / 2, MIN_DELAY_US);
}

/* local functions */

static WcDomainDelay *
find (const WcDomainDelays *delays, uint32_t domain)
{
  for (size_t i = 0; i < delays->count; i++)
    if (delays->entries[i].domain == domain)
      return (WcDomainDelay *)&delays->entries[i];
  return NULL;
}
