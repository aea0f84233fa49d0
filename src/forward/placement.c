#include "forward/placement.h"

#include <assert.h>

#include "core/mix.h"

enum
{
  /* Taken for the service time of a host that has not answered yet; the usual work takes 5 to 30 ms. */
  SERVICE_TIME_US = 20 * 1000,
  /*
   * What another domain costs. Its delay is 16 ms in all; the rest stands for the risk that the link is cut while the
   * flow lives. With 16 ms, three times as many requests failed in cuts.
   */
  OTHER_DOMAIN_US = 50 * 1000,
  /* An open flow counts as this part of a request in progress: callers pause for seconds between requests of 25 ms. */
  FLOWS_PER_REQUEST = 32,
  /* A host that is not full yet counts this part of its work, which spreads flows before any host has a queue. */
  IDLE_SHARE = 4,
  /* A host that has just started takes up to 1.6 times as long. */
  WARM_UP_NUMERATOR = 8,
  WARM_UP_DENOMINATOR = 5,
  /* Requests per slot, in tenths, up to which the slots of a domain have room. Two keep a slot busy until this instance
     hears of an answer; the rest is for what is known late of other instances. */
  ROOM_TENTHS = 25,
  /* The same of what the instances of a domain may have at those of all others: half of a host with two slots. */
  SPILL_TENTHS = 10,
  /* A host with room answers some request each 30 ms; several are missed when callers acknowledge late. */
  ANSWERING_US = 150 * 1000,
  MILLI = 1000,
  SECOND_US = 1000 * 1000
};

/* Classes of hosts, the best first; times are compared within a class only. */
typedef enum
{
  RANK_USABLE = 0,
  RANK_SUSPECT,
  RANK_LAPSED,
  RANK_AVOIDED,
  RANK_COUNT
} Rank;

typedef struct
{
  WcHost  *host;
  uint64_t expect_us;
  uint64_t tie;
} Candidate;

/*
 * Hosts of a service that take new flows and answer: requests that wait at one that does not must not take the room of
 * others.
 * @busy: requests at them, as far as is known.
 * @own_busy: those of this instance.
 * @served_per_s: requests that they can answer a second.
 */
typedef struct
{
  uint64_t busy;
  uint64_t own_busy;
  uint64_t slots;
  uint64_t served_per_s;
} Capacity;

typedef enum
{
  OWN_DOMAIN = 0,
  OTHER_DOMAINS
} Where;

static Capacity add_up (const WcHostTable *hosts, const WcPlacement *placement, Where where, uint64_t now_us);
static bool     is_answering (const WcHost *host, uint64_t now_us);
static uint64_t get_service_time_us (const WcHost *host);
static bool     is_own (const WcHost *host, const WcPlacement *placement);
static uint32_t estimate_busy (const WcHost *host, const WcPlacement *placement, uint64_t now_us);
static bool     can_take (const WcHost *host, uint32_t service, uint64_t now_us);
static bool     is_lapsed (const WcHost *host, uint64_t now_us);
static bool     most_have_lapsed (const WcHostTable *hosts, uint32_t service, uint64_t now_us);
static Rank     rank_of (const WcHost *host, const WcPlacement *placement, bool use_lapsed, uint64_t now_us);

WcHost *
wc_placement_choose (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us)
{
  Candidate best[RANK_COUNT] = { 0 };
  bool      use_lapsed;

  assert (hosts != NULL && placement != NULL);

  use_lapsed = most_have_lapsed (hosts, placement->service, now_us);
  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      WcHost    *host = wc_host_table_get (hosts, i);
      Candidate *rival;
      uint64_t   expect_us;
      uint64_t   tie;

      if (!can_take (host, placement->service, now_us) || (placement->other_domains_only && is_own (host, placement)))
        continue;
      rival = &best[rank_of (host, placement, use_lapsed, now_us)];
      expect_us = wc_placement_estimate_us (host, placement, now_us);
      tie = wc_mix64 (placement->tie_breaker ^ host->record.id);
      if (!rival->host || expect_us < rival->expect_us || (expect_us == rival->expect_us && tie < rival->tie))
        *rival = (Candidate){ host, expect_us, tie };
    }
  for (int rank = 0; rank < RANK_COUNT; rank++)
    if (best[rank].host)
      return best[rank].host;
  return NULL;
}

uint64_t
wc_placement_estimate_us (const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  uint32_t busy = estimate_busy (host, placement, now_us);
  uint64_t service_us = get_service_time_us (host);
  uint64_t slots = host->record.slots;
  /* Requests at the host, and those to be expected of its open flows, in thousandths. */
  uint64_t load = (uint64_t)busy * MILLI + (uint64_t)host->flows * MILLI / FLOWS_PER_REQUEST;
  uint64_t waiting = load + MILLI > slots * MILLI ? load + MILLI - slots * MILLI : 0;
  uint64_t expect_us = service_us + service_us * (load / IDLE_SHARE + waiting) / (slots * MILLI);

  if (now_us < host->warm_up_deadline_us)
    expect_us = expect_us * WARM_UP_NUMERATOR / WARM_UP_DENOMINATOR;
  return is_own (host, placement) ? expect_us : expect_us + OTHER_DOMAIN_US;
}

bool
wc_placement_has_room (const WcHostTable *hosts, const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  Capacity capacity;

  assert (hosts != NULL && host != NULL && placement != NULL);

  if (is_own (host, placement))
    {
      /* In calm times this saves a look at all hosts. */
      if (estimate_busy (host, placement, now_us) < host->record.slots)
        return true;
      capacity = add_up (hosts, placement, OWN_DOMAIN, now_us);
      return capacity.busy * 10 < capacity.slots * ROOM_TENTHS;
    }
  capacity = add_up (hosts, placement, OTHER_DOMAINS, now_us);
  return capacity.own_busy * (placement->domain_peers + 1) * 10 < capacity.slots * SPILL_TENTHS &&
         estimate_busy (host, placement, now_us) < host->record.slots;
}

uint64_t
wc_placement_get_capacity (const WcHostTable *hosts, const WcPlacement *placement, uint64_t span_us, uint64_t now_us)
{
  Capacity capacity;

  assert (hosts != NULL && placement != NULL);

  capacity = add_up (hosts, placement, OWN_DOMAIN, now_us);
  if (capacity.slots == 0)
    capacity = add_up (hosts, placement, OTHER_DOMAINS, now_us);
  return capacity.served_per_s * span_us / SECOND_US / (placement->domain_peers + 1);
}

/* local functions */

static Capacity
add_up (const WcHostTable *hosts, const WcPlacement *placement, Where where, uint64_t now_us)
{
  Capacity capacity = { 0 };

  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      const WcHost *host = wc_host_table_get (hosts, i);

      if (!can_take (host, placement->service, now_us) || is_own (host, placement) != (where == OWN_DOMAIN) ||
          !is_answering (host, now_us))
        continue;
      capacity.busy += estimate_busy (host, placement, now_us);
      capacity.own_busy += host->busy_flows;
      capacity.slots += host->record.slots;
      capacity.served_per_s += host->record.slots * SECOND_US / get_service_time_us (host);
    }
  return capacity;
}

static bool
is_answering (const WcHost *host, uint64_t now_us)
{
  uint64_t since_us = host->last_seen_us > host->busy_since_us ? host->last_seen_us : host->busy_since_us;

  return host->busy_flows == 0 || now_us - since_us < ANSWERING_US;
}

static uint64_t
get_service_time_us (const WcHost *host)
{
  return host->load.service_time_us > 0 ? host->load.service_time_us : SERVICE_TIME_US;
}

static bool
is_own (const WcHost *host, const WcPlacement *placement)
{
  return host->record.domain == placement->domain;
}

static uint32_t
estimate_busy (const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  return wc_host_load_estimate (&host->load, host->busy_flows, is_own (host, placement) ? placement->domain_peers : 0,
                                now_us);
}

static bool
can_take (const WcHost *host, uint32_t service, uint64_t now_us)
{
  return host->record.service == service && !host->ambiguous &&
         (host->record.state == WC_HOST_READY || is_lapsed (host, now_us));
}

static bool
is_lapsed (const WcHost *host, uint64_t now_us)
{
  return host->record.state == WC_HOST_GONE && now_us < host->grace_deadline_us;
}

/* When half of a service's hosts vanish at once, it is their entries that were lost and not the hosts. */
static bool
most_have_lapsed (const WcHostTable *hosts, uint32_t service, uint64_t now_us)
{
  size_t lapsed = 0;
  size_t ready = 0;

  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      const WcHost *host = wc_host_table_get (hosts, i);

      if (host->record.service != service)
        continue;
      lapsed += is_lapsed (host, now_us);
      ready += host->record.state == WC_HOST_READY;
    }
  return lapsed > 0 && lapsed >= ready;
}

static Rank
rank_of (const WcHost *host, const WcPlacement *placement, bool use_lapsed, uint64_t now_us)
{
  if (host == placement->avoid)
    return RANK_AVOIDED;
  if (!use_lapsed && is_lapsed (host, now_us))
    return RANK_LAPSED;
  if (placement->other_domains_only && !is_answering (host, now_us))
    return RANK_SUSPECT;
  return now_us < host->suspect_deadline_us ? RANK_SUSPECT : RANK_USABLE;
}
