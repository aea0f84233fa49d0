#include "forward/admission_policy.h"

#include <glib.h>

/*
 * Load pattern: callers press beyond what hosts can serve for seconds. Rejected callers try again at once from another
 * port, so most retries arrive at another instance and look like new callers there. An opening that is held until it is
 * late and then rejected comes back as a new one, and takes the place of a caller that could still be answered in time.
 * Whether an opening can be in time is therefore decided when it arrives: it is held only if its turn comes early
 * enough, and is rejected at once otherwise.
 *
 * Load pattern: after an outage of all instances many openings are late when they arrive, and new callers use only a
 * part of the hosts' capacity. Late openings are held for the rest of it: they are forwarded while no opening that can
 * be in time waits and slots are free.
 */

enum
{
  /*
   * Share of the remaining time that the expected time to the answer may take; the rest covers the spread of run times.
   */
  TARGET_PERCENT = 60,
  /*
   * Limit of the requests per slot, in tenths: one that runs, and one that keeps the slot busy until this instance
   * learns of an answer.
   */
  ROOM_TENTHS = 20,
  /* The same for openings that are late, which must not wait in front of others. */
  LATE_ROOM_TENTHS = 6,
  /*
   * Reported requests per slot of all instances of the domain, in tenths, up to which the limit of a single instance
   * does not apply, because callers are distributed unevenly.
   */
  SHARED_ROOM_TENTHS = 15,
  /* Limit of the requests per slot that the instances of a domain together have at the hosts of all other domains. */
  OTHER_DOMAINS_TENTHS = 10,
  /* Share of that limit which may always be used by a domain without hosts of its own. */
  ESSENTIAL_SHARE_PERCENT = 60,
  /* Share of the capacity that is assumed to be left by new callers right after the start. */
  STARTING_SPARE_PERCENT = 50,
  TRIAL_INTERVAL_US = 60 * 1000,
  SECOND_US = 1000 * 1000
};

static bool admits (const WcHeldOpening *held, const WcAdmissionView *view, const WcHost *host);
static bool admits_to_own_domain (const WcAdmissionView *view, bool is_in_time);
static bool admits_by_balance (const WcAdmissionView *view, const WcHost *host, bool is_in_time);
static bool admits_to_other_domain (const WcAdmissionView *view, const WcHost *host, bool is_in_time);
static bool is_before (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us);
static bool is_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view);
static bool
is_late_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view, uint64_t drain_per_s);
static uint64_t get_share_per_s (const WcAdmissionView *view, const WcPlacementCapacity *capacity);

static WcPlacementCapacity sum_own_domain (const WcAdmissionView *view);
static WcPlacementCapacity sum_other_domains (const WcAdmissionView *view);

const WcAdmissionPolicy WC_ADMISSION_DEADLINE = {
  .name = "deadline",
  .admits = admits,
  .is_before = is_before,
  .is_hopeless = is_hopeless,
  .trial_interval_us = TRIAL_INTERVAL_US,
};

uint64_t
wc_admission_get_capacity_per_s (const WcAdmissionView *view)
{
  const WcPlacementCapacity own = sum_own_domain (view);
  const WcPlacementCapacity capacity = own.slots > 0 ? own : sum_other_domains (view);
  uint64_t                  base_us = wc_service_load_get_base_us (view->load);
  uint64_t                  run_us = base_us - MIN (view->handshake_us, base_us / 2);

  return capacity.slots * SECOND_US / run_us / (view->placement->domain_peers + 1);
}

bool
wc_admission_is_hopeless (const WcHeldOpening *held, size_t position, uint64_t open_flows_per_s,
                          const WcAdmissionView *view)
{
  const WcPlacementCapacity own = sum_own_domain (view);
  const WcPlacementCapacity capacity = own.slots > 0 ? own : sum_other_domains (view);
  uint64_t                  share_per_s = get_share_per_s (view, &capacity);
  uint64_t                  drain_per_s = wc_service_load_get_drain_per_s (view->load, view->now_us);
  uint64_t                  left_us;

  if (wc_held_opening_is_expired (held, view->now_us))
    return true;
  drain_per_s = drain_per_s > 0 ? drain_per_s + open_flows_per_s : share_per_s;
  if (!wc_held_opening_can_be_in_time (held, view->now_us))
    return is_late_hopeless (held, position, view, MAX (drain_per_s, share_per_s));
  if (view->placement->balance && own.slots > 0)
    drain_per_s += wc_domain_balance_sum_rates_milli (view->placement->balance, held->service) / 1000;
  left_us = (held->target_deadline_us - view->now_us) * TARGET_PERCENT / 100;
  return (position + capacity.own_busy + 1) * SECOND_US > left_us * drain_per_s;
}

/* local functions */

static bool
admits (const WcHeldOpening *held, const WcAdmissionView *view, const WcHost *host)
{
  bool is_in_time = wc_held_opening_can_be_in_time (held, view->now_us);

  if (held->target_deadline_us == UINT64_MAX)
    return true;
  if (view->now_us < host->suspect_deadline_us)
    return false;
  if (host->record.domain == view->placement->domain)
    return admits_to_own_domain (view, is_in_time);
  if (view->placement->balance && admits_by_balance (view, host, is_in_time))
    return true;
  /* The rates of the balance bind once openings have had to wait for a while; until then the domain is not overloaded.
   */
  if (view->placement->balance && sum_own_domain (view).slots > 0 &&
      wc_service_load_get_drain_per_s (view->load, view->now_us) > 0)
    return false;
  return admits_to_other_domain (view, host, is_in_time);
}

static bool
admits_to_own_domain (const WcAdmissionView *view, bool is_in_time)
{
  const WcPlacementCapacity capacity = sum_own_domain (view);
  uint64_t                  room_tenths = capacity.slots * (is_in_time ? ROOM_TENTHS : LATE_ROOM_TENTHS);
  uint64_t                  instances = view->placement->domain_peers + 1;

  if (is_in_time && capacity.busy * 10 < capacity.slots * SHARED_ROOM_TENTHS)
    return true;
  return capacity.own_busy * 10 < MIN (room_tenths, room_tenths * view->load->share_percent / 100 / instances);
}

/*
 * Load pattern: all domains are overloaded at once. Requests that they send to each other use up the capacity that the
 * receiving domain counts on, and each of them is late. Hosts of other domains are used only as far as their answer
 * times show that they have capacity left.
 */
static bool
admits_to_other_domain (const WcAdmissionView *view, const WcHost *host, bool is_in_time)
{
  const WcPlacementCapacity own = sum_own_domain (view);
  const WcPlacementCapacity others = sum_other_domains (view);
  uint64_t                  instances = view->placement->domain_peers + 1;
  uint64_t                  share_percent = view->other_load->share_percent;

  if (host->busy_flows >= host->record.slots || (own.slots > 0 && !is_in_time))
    return false;
  if (own.slots == 0)
    share_percent = MAX (share_percent, ESSENTIAL_SHARE_PERCENT);
  return others.own_busy * 10 * instances < others.slots * OTHER_DOMAINS_TENTHS * share_percent / 100;
}

/* A late opening waits for the hosts of its own domain, because the capacity of others is for those who can be in time.
 */
static bool
admits_by_balance (const WcAdmissionView *view, const WcHost *host, bool is_in_time)
{
  return host->busy_flows < host->record.slots && is_in_time &&
         wc_domain_balance_allows (view->placement->balance, host->record.service, host->record.domain, view->now_us);
}

/*
 * Openings that can be in time precede the others; within both groups they are ordered by priority and then by their
 * deadlines. The oldest is first, because no more are held than can be in time.
 */
static bool
is_before (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us)
{
  bool a_in_time = wc_held_opening_can_be_in_time (a, now_us);
  bool b_in_time = wc_held_opening_can_be_in_time (b, now_us);

  if (a_in_time != b_in_time)
    return a_in_time;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->target_deadline_us < b->target_deadline_us;
}

static bool
is_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view)
{
  return wc_admission_is_hopeless (held, position, 0, view);
}

/* A late opening is served only if new callers leave capacity before its caller gives up. */
static bool
is_late_hopeless (const WcHeldOpening *held, size_t position, const WcAdmissionView *view, uint64_t drain_per_s)
{
  uint64_t arrivals_per_s = wc_rate_window_get_per_s (&view->load->arrivals, view->now_us);
  uint64_t spare_per_s = drain_per_s - MIN (drain_per_s, arrivals_per_s);

  /* Right after the start, retries of callers that the outage has kept waiting look like new callers. */
  if (view->is_starting)
    spare_per_s = MAX (spare_per_s, drain_per_s * STARTING_SPARE_PERCENT / 100);
  return position * SECOND_US >= (held->hold_deadline_us - view->now_us) * spare_per_s;
}

/* Requests a second that this instance can send to the hosts if all instances of the domain have the same share. */
static uint64_t
get_share_per_s (const WcAdmissionView *view, const WcPlacementCapacity *capacity)
{
  return capacity->slots * SECOND_US / wc_service_load_get_base_us (view->load) / (view->placement->domain_peers + 1);
}

static WcPlacementCapacity
sum_own_domain (const WcAdmissionView *view)
{
  return wc_placement_sum_capacity (view->hosts, view->placement, WC_PLACEMENT_OWN_DOMAIN, view->now_us);
}

static WcPlacementCapacity
sum_other_domains (const WcAdmissionView *view)
{
  return wc_placement_sum_capacity (view->hosts, view->placement, WC_PLACEMENT_OTHER_DOMAINS, view->now_us);
}
