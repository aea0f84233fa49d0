#include "forward/placement.h"

#include <assert.h>
#include <stdbool.h>

#include "core/mix.h"

/* Classes of hosts, the best first; load is compared within a class only. */
typedef enum
{
  RANK_OWN_DOMAIN = 0,
  RANK_OTHER_DOMAIN,
  RANK_SUSPECT,
  RANK_AVOIDED,
  RANK_COUNT
} Rank;

typedef struct
{
  WcHost  *host;
  uint64_t cost;
  uint64_t tie;
} Candidate;

static bool     can_take (const WcHost *host, uint32_t service);
static Rank     rank_of (const WcHost *host, const WcPlacement *placement, uint64_t now_us);
static uint64_t cost_of (const WcHost *host, uint64_t now_us);

WcHost *
wc_placement_choose (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us)
{
  Candidate best[RANK_COUNT] = { 0 };

  assert (hosts != NULL && placement != NULL);

  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      WcHost    *host = wc_host_table_get (hosts, i);
      Candidate *rival;
      uint64_t   cost;
      uint64_t   tie;

      if (!can_take (host, placement->service))
        continue;
      rival = &best[rank_of (host, placement, now_us)];
      cost = cost_of (host, now_us);
      tie = wc_mix64 (placement->draw ^ host->record.id);
      if (!rival->host || cost < rival->cost || (cost == rival->cost && tie < rival->tie))
        *rival = (Candidate){ host, cost, tie };
    }
  for (int rank = 0; rank < RANK_COUNT; rank++)
    if (best[rank].host)
      return best[rank].host;
  return NULL;
}

/* local functions */

static bool
can_take (const WcHost *host, uint32_t service)
{
  return host->record.service == service && host->record.state == WC_HOST_READY && !host->ambiguous;
}

static Rank
rank_of (const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  if (host == placement->avoid)
    return RANK_AVOIDED;
  if (now_us < host->suspect_deadline_us)
    return RANK_SUSPECT;
  return host->record.domain == placement->domain ? RANK_OWN_DOMAIN : RANK_OTHER_DOMAIN;
}

/* Open flows for each slot, in thousandths, as they would be with one flow more. */
static uint64_t
cost_of (const WcHost *host, uint64_t now_us)
{
  uint64_t cost = ((uint64_t)host->flows + 1) * 1000 / host->record.slots;

  /* A host runs slower for some time after its start. */
  return now_us < host->warm_deadline_us ? cost * 2 : cost;
}
