#include "forward/placement.h"

#include <assert.h>

#include <glib.h>

#include "core/mix.h"

enum
{
  /* Assumed service time of a host that has not answered yet; a typical request runs for 5 to 30 ms. */
  DEFAULT_SERVICE_TIME_US = 20 * 1000,
  /*
   * Cost of a host in another domain. The round trips of opening and request take 16 ms longer; the rest accounts
   * for the risk that the link is cut while the flow is open. With a cost of 16 ms, three times as many requests failed
   * when links were cut.
   */
  OTHER_DOMAIN_COST_US = 50 * 1000,
  /*
   * This many open flows count as one request in progress: a caller pauses for seconds between requests, each of
   * which takes about 25 ms.
   */
  FLOWS_PER_REQUEST = 32,
  /*
   * The load divided by this always lengthens the estimate, so that flows are distributed before any host has a queue.
   */
  IDLE_LOAD_DIVISOR = 4,
  /* A host that has just started takes up to 1.6 times as long. */
  WARM_UP_NUMERATOR = 8,
  WARM_UP_DENOMINATOR = 5,
  /*
   * Requests per slot, in tenths, below which the slots of a domain have spare capacity. Two requests keep a slot
   * busy until this instance learns of an answer; the rest covers the delay of other instances' reports.
   */
  ROOM_TENTHS = 25,
  /*
   * A limit of the same kind for the requests that all instances of this domain together have at the hosts of all other
   * domains: half of a host with two slots.
   */
  OTHER_DOMAINS_TENTHS = 10,
  /*
   * A host with spare capacity answers one of its requests at least every 30 ms. Several answers in a row may go
   * unnoticed when callers delay their acknowledgements.
   */
  ANSWERING_TIMEOUT_US = 150 * 1000,
  /* Ratio of the answer times of two hosts, in tenths, above which the difference is not the spread of run times. */
  SLOW_RATIO_TENTHS = 25,
  /*
   * With domain balance, estimates of hosts of other domains that differ by less are equal, and the flow decides: all
   * instances see the same idle hosts there.
   */
  OTHER_DOMAIN_GRAIN_US = 8 * 1000,
  /*
   * Part of the time left to the latency target within which an answer expected in the own domain is in time; the rest
   * covers the spread of run times, and requests of other instances that no report shows yet.
   */
  STAY_TARGET_PERCENT = 25,
  /* Time after its latest answer for which a host counts as slow. */
  SLOW_LIFETIME_US = 1000 * 1000,
  MILLI = 1000,
  SECOND_US = 1000 * 1000
};

/* Classes of hosts that receive flows, in order of preference; expected times are compared within a class only. */
enum
{
  CLASS_COUNT = WC_HOST_VERDICT_DRAINING
};

typedef struct
{
  WcHost  *host;
  uint64_t estimate_us;
  uint64_t tie;
} Candidate;

typedef struct
{
  const WcPlacement *placement;
  bool               use_grace;
  uint64_t           service_max_us;
  uint64_t           now_us;
  Candidate          best[CLASS_COUNT];
  /* Class and expected time of the best cold host that must not get the flow. */
  int      limited_class;
  uint64_t limited_us;
} Choice;

static WcHost  *choose_balanced (const WcHostTable *hosts, Choice *own);
static void     consider_domain (Choice *best, const Choice *own, const WcHostGroup *group, uint64_t own_us);
static void     begin_choice (Choice *choice, const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us);
static bool     is_served_at_home (const WcPlacement *placement, uint64_t own_us);
static bool     is_answering (const WcHost *host, uint64_t now_us);
static uint64_t get_service_time_us (const WcHost *host);
static uint64_t get_service_max_us (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us);
static bool     is_too_slow (const WcHost *host, uint64_t service_max_us, uint64_t now_us);
static bool     is_own_domain (const WcHost *host, const WcPlacement *placement);
static bool     is_in_scope (const WcHostGroup *group, const WcPlacement *placement, WcPlacementScope scope);
static uint32_t estimate_busy (const WcHost *host, const WcPlacement *placement, uint64_t now_us);
static bool     accepts_flows (const WcHost *host, uint64_t now_us);
static bool     is_in_grace_period (const WcHost *host, uint64_t now_us);
static bool     at_least_half_in_grace_period (const WcHostTable *hosts, uint32_t service, uint64_t now_us);
static WcHostVerdict classify (const WcHost *host, const Choice *choice);
static void          consider_limited (Choice *choice, const WcHost *host);
static bool          is_diverted (const Choice *choice, int chosen);
static void          consider_group (Choice *choice, const WcHostGroup *group);
static void          add_capacity (const WcHostGroup *group, const WcPlacement *placement, uint64_t service_max_us,
                                   uint64_t now_us, WcPlacementCapacity *capacity);

const char *const WC_HOST_VERDICT_STRINGS[WC_HOST_VERDICT_COUNT] = {
  "usable", "slow", "failing", "suspected", "in_grace", "avoided", "draining", "gone", "evacuated", "cold", "ambiguous",
};

WcHost *
wc_placement_choose (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us)
{
  Choice      choice;
  WcHostGroup group;
  size_t      cursor;
  int         chosen = 0;

  assert (hosts != NULL && placement != NULL);

  begin_choice (&choice, hosts, placement, now_us);
  if (placement->balance)
    return choose_balanced (hosts, &choice);
  if (placement->scope != WC_PLACEMENT_OTHER_DOMAINS)
    for (cursor = 0; wc_host_table_next_group (hosts, placement->service, &cursor, &group);)
      if (group.domain == placement->domain)
        consider_group (&choice, &group);
  /* The cost of another domain alone exceeds the estimate of a usable host of the own domain with a short queue. */
  if (placement->scope != WC_PLACEMENT_OWN_DOMAIN &&
      (!choice.best[WC_HOST_VERDICT_USABLE].host ||
       choice.best[WC_HOST_VERDICT_USABLE].estimate_us > OTHER_DOMAIN_COST_US))
    for (cursor = 0; wc_host_table_next_group (hosts, placement->service, &cursor, &group);)
      if (group.domain != placement->domain)
        consider_group (&choice, &group);
  while (chosen < CLASS_COUNT && !choice.best[chosen].host)
    chosen++;
  if (placement->is_diverted)
    *placement->is_diverted = is_diverted (&choice, chosen);
  return chosen < CLASS_COUNT ? choice.best[chosen].host : NULL;
}

WcHostVerdict
wc_placement_get_verdict (const WcHostTable *hosts, const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  Choice choice;

  assert (hosts != NULL && host != NULL && placement != NULL);

  begin_choice (&choice, hosts, placement, now_us);
  if (wc_placement_allows (host, placement, now_us))
    return classify (host, &choice);
  if (host->ambiguous)
    return WC_HOST_VERDICT_AMBIGUOUS;
  if (host->evacuated)
    return WC_HOST_VERDICT_EVACUATED;
  if (accepts_flows (host, now_us))
    return WC_HOST_VERDICT_COLD;
  return host->record.state == WC_HOST_DRAINING ? WC_HOST_VERDICT_DRAINING : WC_HOST_VERDICT_GONE;
}

bool
wc_placement_allows (const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  assert (host != NULL && placement != NULL);

  return accepts_flows (host, now_us) && wc_warm_up_allows (placement->warm_up, host, now_us);
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
  uint64_t estimate_us = service_us + service_us * (load / IDLE_LOAD_DIVISOR + waiting) / (slots * MILLI);

  if (wc_host_is_cold (host, now_us))
    estimate_us = estimate_us * WARM_UP_NUMERATOR / WARM_UP_DENOMINATOR;
  if (placement->balance)
    return is_own_domain (host, placement) ? estimate_us : estimate_us - estimate_us % OTHER_DOMAIN_GRAIN_US;
  return is_own_domain (host, placement) ? estimate_us : estimate_us + OTHER_DOMAIN_COST_US;
}

bool
wc_placement_has_room (const WcHostTable *hosts, const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  WcPlacementCapacity capacity;

  assert (hosts != NULL && host != NULL && placement != NULL);

  if (is_own_domain (host, placement))
    {
      /* Avoids a walk over all hosts at low load. */
      if (estimate_busy (host, placement, now_us) < host->record.slots)
        return true;
      capacity = wc_placement_sum_capacity (hosts, placement, WC_PLACEMENT_OWN_DOMAIN, now_us);
      return capacity.busy * 10 < capacity.slots * ROOM_TENTHS;
    }
  capacity = wc_placement_sum_capacity (hosts, placement, WC_PLACEMENT_OTHER_DOMAINS, now_us);
  return capacity.own_busy * (placement->domain_peers + 1) * 10 < capacity.slots * OTHER_DOMAINS_TENTHS &&
         estimate_busy (host, placement, now_us) < host->record.slots;
}

uint64_t
wc_placement_get_capacity (const WcHostTable *hosts, const WcPlacement *placement, uint64_t span_us, uint64_t now_us)
{
  WcPlacementCapacity capacity;

  assert (hosts != NULL && placement != NULL);

  capacity = wc_placement_sum_capacity (hosts, placement, WC_PLACEMENT_OWN_DOMAIN, now_us);
  if (capacity.slots == 0)
    capacity = wc_placement_sum_capacity (hosts, placement, WC_PLACEMENT_OTHER_DOMAINS, now_us);
  return capacity.served_per_s * span_us / SECOND_US / (placement->domain_peers + 1);
}

uint64_t
wc_placement_sum_slots (const WcHostGroup *group, uint64_t now_us)
{
  uint64_t slots = 0;

  assert (group != NULL);

  for (size_t i = 0; i < group->count; i++)
    if (accepts_flows (group->hosts[i], now_us) && now_us >= group->hosts[i]->suspect_deadline_us)
      slots += group->hosts[i]->record.slots;
  return slots;
}

WcPlacementCapacity
wc_placement_sum_capacity (const WcHostTable *hosts, const WcPlacement *placement, WcPlacementScope scope,
                           uint64_t now_us)
{
  WcPlacementCapacity capacity = { 0 };
  WcHostGroup         group;
  size_t              cursor = 0;
  uint64_t            service_max_us;

  assert (hosts != NULL && placement != NULL);

  service_max_us = get_service_max_us (hosts, placement, now_us);
  while (wc_host_table_next_group (hosts, placement->service, &cursor, &group))
    if (is_in_scope (&group, placement, scope))
      add_capacity (&group, placement, service_max_us, now_us, &capacity);
  return capacity;
}

/* local functions */

static void
begin_choice (Choice *choice, const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us)
{
  *choice = (Choice){
    .placement = placement,
    .use_grace = at_least_half_in_grace_period (hosts, placement->service, now_us),
    .service_max_us = get_service_max_us (hosts, placement, now_us),
    .now_us = now_us,
    .limited_class = CLASS_COUNT,
  };
}

/*
 * Hosts are compared within each domain first, then the best ones of the domains by the expected time to the answer.
 * Domains to which this instance may send nothing now are left for flows that no other host can serve.
 */
static WcHost *
choose_balanced (const WcHostTable *hosts, Choice *own)
{
  const WcPlacement *placement = own->placement;
  Choice             beyond = *own;
  Choice             best;
  WcHostGroup        group;
  uint64_t           own_us = 0;
  int                chosen = 0;

  if (placement->scope != WC_PLACEMENT_OTHER_DOMAINS)
    for (size_t cursor = 0; wc_host_table_next_group (hosts, placement->service, &cursor, &group);)
      if (group.domain == placement->domain)
        consider_group (own, &group);
  best = *own;
  for (int host_class = 0; host_class < CLASS_COUNT; host_class++)
    best.best[host_class].estimate_us = wc_domain_balance_get_answer_us (
        placement->balance, placement->service, placement->domain, own->best[host_class].estimate_us, own->now_us);
  if (own->best[WC_HOST_VERDICT_USABLE].host)
    own_us = best.best[WC_HOST_VERDICT_USABLE].estimate_us;
  if (placement->reason && own_us > 0)
    placement->reason->own_us = own_us;
  if (placement->scope != WC_PLACEMENT_OWN_DOMAIN && !is_served_at_home (placement, own_us))
    for (size_t cursor = 0; wc_host_table_next_group (hosts, placement->service, &cursor, &group);)
      if (group.domain != placement->domain)
        {
          bool is_allowed =
              wc_domain_balance_allows (placement->balance, placement->service, group.domain, own->now_us);

          if (is_allowed || !own->best[WC_HOST_VERDICT_USABLE].host)
            consider_domain (is_allowed ? &best : &beyond, own, &group, own_us);
        }
  for (int host_class = 0; host_class < CLASS_COUNT; host_class++)
    if (!best.best[host_class].host)
      best.best[host_class] = beyond.best[host_class];
  while (chosen < CLASS_COUNT && !best.best[chosen].host)
    chosen++;
  if (placement->is_diverted)
    *placement->is_diverted = is_diverted (&best, chosen);
  if (chosen == CLASS_COUNT)
    return NULL;
  if (placement->reason && !is_own_domain (best.best[chosen].host, placement))
    placement->reason->other_us = best.best[chosen].estimate_us;
  return best.best[chosen].host;
}

/*
 * Load pattern: at normal load the expected times of domains differ by milliseconds all the time. A caller whose answer
 * is in time in any case gains nothing by leaving, but its flow is lost when the link is cut.
 */
static bool
is_served_at_home (const WcPlacement *placement, uint64_t own_us)
{
  return placement->scope == WC_PLACEMENT_ALL_DOMAINS && own_us > 0 &&
         own_us * 100 <= placement->service_max_us * STAY_TARGET_PERCENT;
}

/* @own_us: expected time in the own domain; 0 when it has no usable host or is not considered. */
static void
consider_domain (Choice *best, const Choice *own, const WcHostGroup *group, uint64_t own_us)
{
  const WcPlacement *placement = own->placement;
  Choice             other = {
                .placement = placement,
                .use_grace = own->use_grace,
                .service_max_us = own->service_max_us,
                .now_us = own->now_us,
                .limited_class = CLASS_COUNT,
  };
  uint64_t cost_us = wc_domain_balance_get_cost_us (placement->balance, group->service, group->domain,
                                                    placement->time_limit_us, own->now_us);

  /* Even an answer that takes no time would come too late; avoids a walk over the hosts at low load. */
  if (own_us > 0 && own_us <= cost_us)
    return;
  consider_group (&other, group);
  if (other.limited_class < best->limited_class)
    {
      best->limited_class = other.limited_class;
      best->limited_us = cost_us + other.limited_us;
    }
  for (int host_class = 0; host_class < CLASS_COUNT; host_class++)
    {
      Candidate *candidate = &other.best[host_class];

      if (!candidate->host)
        continue;
      candidate->estimate_us =
          cost_us + wc_domain_balance_get_answer_us (placement->balance, group->service, group->domain,
                                                     candidate->estimate_us, own->now_us);
      if (!best->best[host_class].host || candidate->estimate_us < best->best[host_class].estimate_us ||
          (candidate->estimate_us == best->best[host_class].estimate_us && candidate->tie < best->best[host_class].tie))
        best->best[host_class] = *candidate;
    }
}

static void
consider_group (Choice *choice, const WcHostGroup *group)
{
  for (size_t i = 0; i < group->count; i++)
    {
      WcHost    *host = group->hosts[i];
      Candidate *candidate;
      uint64_t   estimate_us;
      uint64_t   tie;

      if (!accepts_flows (host, choice->now_us))
        continue;
      if (!wc_warm_up_allows (choice->placement->warm_up, host, choice->now_us))
        {
          consider_limited (choice, host);
          continue;
        }
      candidate = &choice->best[classify (host, choice)];
      estimate_us = wc_placement_estimate_us (host, choice->placement, choice->now_us);
      if (candidate->host && estimate_us > candidate->estimate_us)
        continue;
      tie = wc_mix64 (choice->placement->tie_breaker ^ host->record.id);
      if (!candidate->host || estimate_us < candidate->estimate_us || tie < candidate->tie)
        *candidate = (Candidate){ host, estimate_us, tie };
    }
}

static void
consider_limited (Choice *choice, const WcHost *host)
{
  int      host_class = (int)classify (host, choice);
  uint64_t estimate_us = wc_placement_estimate_us (host, choice->placement, choice->now_us);

  if (host_class > choice->limited_class || (host_class == choice->limited_class && estimate_us >= choice->limited_us))
    return;
  choice->limited_class = host_class;
  choice->limited_us = estimate_us;
}

/* @chosen: class of the chosen host; CLASS_COUNT when there is none. */
static bool
is_diverted (const Choice *choice, int chosen)
{
  if ((int)choice->limited_class != chosen)
    return (int)choice->limited_class < chosen;
  return chosen < CLASS_COUNT && choice->limited_us < choice->best[chosen].estimate_us;
}

static void
add_capacity (const WcHostGroup *group, const WcPlacement *placement, uint64_t service_max_us, uint64_t now_us,
              WcPlacementCapacity *capacity)
{
  for (size_t i = 0; i < group->count; i++)
    {
      const WcHost *host = group->hosts[i];

      if (!accepts_flows (host, now_us) || !is_answering (host, now_us) || now_us < host->suspect_deadline_us ||
          is_too_slow (host, service_max_us, now_us) || !wc_host_failures_is_in_use (&host->failures) ||
          !wc_warm_up_allows (placement->warm_up, host, now_us))
        continue;
      capacity->busy += estimate_busy (host, placement, now_us);
      capacity->own_busy += host->busy_flows;
      capacity->slots += host->record.slots;
      capacity->served_per_s += (uint64_t)host->record.slots * SECOND_US / get_service_time_us (host);
    }
}

static bool
is_answering (const WcHost *host, uint64_t now_us)
{
  uint64_t since_us = host->last_seen_us > host->busy_since_us ? host->last_seen_us : host->busy_since_us;

  return host->busy_flows == 0 || now_us - since_us < ANSWERING_TIMEOUT_US;
}

static uint64_t
get_service_time_us (const WcHost *host)
{
  return host->load.service_time_us > 0 ? host->load.service_time_us : DEFAULT_SERVICE_TIME_US;
}

/*
 * Return: answer time above which a host is too slow. All hosts of a domain take long while their queues are full, so
 * the fastest one of the own domain is the reference.
 */
static uint64_t
get_service_max_us (const WcHostTable *hosts, const WcPlacement *placement, uint64_t now_us)
{
  uint64_t    fastest_us = UINT64_MAX / SLOW_RATIO_TENTHS;
  WcHostGroup group;
  size_t      cursor = 0;

  if (placement->service_max_us == 0)
    return UINT64_MAX;
  while (wc_host_table_next_group (hosts, placement->service, &cursor, &group))
    for (size_t i = 0; group.domain == placement->domain && i < group.count; i++)
      if (group.hosts[i]->load.service_time_us > 0 && accepts_flows (group.hosts[i], now_us))
        fastest_us = MIN (fastest_us, group.hosts[i]->load.service_time_us);
  return MAX (placement->service_max_us, fastest_us * SLOW_RATIO_TENTHS / 10);
}

/* A host without recent answers may have recovered and is given a request. */
static bool
is_too_slow (const WcHost *host, uint64_t service_max_us, uint64_t now_us)
{
  return host->load.service_time_us > service_max_us && now_us - host->load.answered_us < SLOW_LIFETIME_US;
}

static bool
is_own_domain (const WcHost *host, const WcPlacement *placement)
{
  return host->record.domain == placement->domain;
}

static bool
is_in_scope (const WcHostGroup *group, const WcPlacement *placement, WcPlacementScope scope)
{
  return scope == WC_PLACEMENT_ALL_DOMAINS ||
         (group->domain == placement->domain) == (scope == WC_PLACEMENT_OWN_DOMAIN);
}

static uint32_t
estimate_busy (const WcHost *host, const WcPlacement *placement, uint64_t now_us)
{
  return wc_host_load_estimate (&host->load, host->busy_flows,
                                is_own_domain (host, placement) ? placement->domain_peers : 0, now_us);
}

static bool
accepts_flows (const WcHost *host, uint64_t now_us)
{
  return !host->ambiguous && !host->evacuated &&
         (host->record.state == WC_HOST_READY || is_in_grace_period (host, now_us));
}

static bool
is_in_grace_period (const WcHost *host, uint64_t now_us)
{
  return host->record.state == WC_HOST_GONE && now_us < host->grace_deadline_us;
}

/*
 * If at least as many hosts of a service are in the grace period as are ready, the store has probably lost the entries
 * of hosts that still run. Draining and evacuated hosts are not counted.
 */
static bool
at_least_half_in_grace_period (const WcHostTable *hosts, uint32_t service, uint64_t now_us)
{
  size_t      in_grace = 0;
  size_t      ready = 0;
  size_t      gone = 0;
  WcHostGroup group;

  for (size_t cursor = 0; wc_host_table_next_group (hosts, service, &cursor, &group);)
    gone += group.gone;
  if (gone == 0)
    return false;
  for (size_t cursor = 0; wc_host_table_next_group (hosts, service, &cursor, &group);)
    for (size_t i = 0; i < group.count; i++)
      {
        if (group.hosts[i]->evacuated)
          continue;
        in_grace += is_in_grace_period (group.hosts[i], now_us);
        ready += group.hosts[i]->record.state == WC_HOST_READY;
      }
  return in_grace > 0 && in_grace >= ready;
}

static WcHostVerdict
classify (const WcHost *host, const Choice *choice)
{
  const WcPlacement *placement = choice->placement;

  if (host == placement->avoid)
    return WC_HOST_VERDICT_AVOIDED;
  if (!choice->use_grace && is_in_grace_period (host, choice->now_us))
    return WC_HOST_VERDICT_IN_GRACE;
  if (placement->scope == WC_PLACEMENT_OTHER_DOMAINS && !is_answering (host, choice->now_us))
    return WC_HOST_VERDICT_SUSPECTED;
  if (choice->now_us < host->suspect_deadline_us)
    return WC_HOST_VERDICT_SUSPECTED;
  if (!wc_host_failures_allows_flow (&host->failures))
    return WC_HOST_VERDICT_FAILING;
  return is_too_slow (host, choice->service_max_us, choice->now_us) ? WC_HOST_VERDICT_SLOW : WC_HOST_VERDICT_USABLE;
}
