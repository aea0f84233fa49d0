#include "forward/domain_balance.h"

#include <assert.h>

#include <glib.h>

#include "forward/answer_times.h"
#include "forward/send_rate.h"

enum
{
  /* Assumed answer time before the first one; a typical request runs for 5 to 40 ms. */
  BASE_DEFAULT_US = 20 * 1000,
  /* A request runs for at least 1 in this many parts of its answer time without queues; the rest is the way. */
  RUN_MIN_DIVISOR = 4,
  /* Assumed additional time of an opening to a domain whose handshakes are not known. */
  WAY_DEFAULT_US = 10 * 1000,
  /*
   * Answers that take twice as long as without queues have waited as long as they ran: the callers of that domain have
   * to wait too.
   */
  LONG_PERCENT = 200,
  /* Share of the latency target that opening and answer may take; the rest covers the spread of run times. */
  TARGET_PERCENT = 60,
  /*
   * Probability, in thousandths, that the link is cut while a flow is open, for each request that it carries, and at
   * most. With a time limit of 2.5 s, the risk of a long flow is 50 ms; without it, three times as many requests failed
   * when links were cut.
   */
  CUT_PERMILLE = 5,
  CUT_MAX_PERMILLE = 20,
  LIMIT_DEFAULT_US = 2500 * 1000,
  /*
   * Weight of a handshake or loss in the share of losses, 1 in this many, and time in which the share halves without
   * any. A single host that fails must not close its domain.
   */
  LOSS_DIVISOR = 16,
  LOSS_HALF_LIFE_US = 2000 * 1000,
  LOSS_SHIFT_MAX = 16,
  /* This many successive losses without an answer are no coincidence: only trials are sent. */
  LOSSES_MAX = 2,
  /* Part of the spare slots of another domain that is left for its own callers, whose load may rise within a second. */
  RESERVE_PERCENT = 25,
  /* Part of the slots that counts as spare when no report has arrived; the answers observed decide then. */
  UNREPORTED_PERCENT = 25,
  /* A report of a given domain arrives every 2 s on average, so that 10 s without one are no coincidence. */
  REPORT_LIFETIME_US = 10 * 1000 * 1000,
  REPORT_DIVISOR = 4,
  /* Counts of flows and requests are halved at this number of flows, so that their ratio follows the callers. */
  FLOWS_MAX = 256,
  MILLI = 1000,
  SECOND_US = 1000 * 1000
};

/*
 * State of the hosts of a service in a domain.
 * @loss_permille: share of unanswered openings and requests at @loss_us.
 * @losses: number of those since the latest answer or handshake.
 * @busy_milli: requests of the domain's own callers, in thousandths, by reports; the latest was received at @report_us.
 * @rate: limit of the openings that are sent to the domain.
 */
typedef struct
{
  uint32_t      domain;
  WcAnswerTimes times;
  uint32_t      loss_permille;
  uint32_t      losses;
  uint64_t      loss_us;
  uint64_t      busy_milli;
  uint64_t      report_us;
  uint64_t      slots;
  uint32_t      senders;
  WcSendRate    rate;
} Domain;

/* @flows, @requests: of the latest flows, to estimate how many requests a flow carries. */
typedef struct
{
  uint32_t service;
  uint32_t flows;
  uint32_t requests;
  uint32_t domain_count;
  uint64_t used_us;
  Domain   domains[WC_DOMAIN_BALANCE_DOMAINS];
} Service;

struct WcDomainBalance
{
  uint32_t domain;
  uint64_t cost_us;
  size_t   service_count;
  Service  services[WC_DOMAIN_BALANCE_SERVICES];
};

static Service       *get_service (WcDomainBalance *balance, uint32_t service, uint64_t now_us);
static Domain        *get_domain (Service *service, uint32_t domain, uint64_t now_us);
static const Service *find_service (const WcDomainBalance *balance, uint32_t service);
static const Domain  *find_domain (const Service *service, uint32_t domain);
static uint64_t       get_base_us (const WcDomainBalance *balance, const Service *service, const Domain *domain);
static uint64_t       get_way_us (const WcDomainBalance *balance, const Service *service, const Domain *domain);
static bool is_long (const WcDomainBalance *balance, const Service *service, const Domain *domain, uint64_t target_us);
static uint64_t get_cut_permille (const Service *service);
static uint64_t get_loss_permille (const Domain *domain, uint64_t now_us);
static uint64_t get_elapsed_us (uint64_t since_us, uint64_t now_us);
static bool     is_reported (const Domain *domain, uint64_t now_us);
static uint64_t
get_bound_milli (const WcDomainBalance *balance, const Service *service, const Domain *domain, uint64_t now_us);

WcDomainBalance *
wc_domain_balance_new (uint32_t domain, uint64_t cost_us)
{
  WcDomainBalance *balance = g_new0 (WcDomainBalance, 1);

  balance->domain = domain;
  balance->cost_us = cost_us;
  return balance;
}

void
wc_domain_balance_delete (WcDomainBalance *balance)
{
  g_free (balance);
}

void
wc_domain_balance_record_opened (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t duration_us,
                                 uint64_t now_us)
{
  Service *entry;
  Domain  *state;

  assert (balance != NULL);

  entry = get_service (balance, service, now_us);
  state = get_domain (entry, domain, now_us);
  if (++entry->flows == FLOWS_MAX)
    {
      entry->flows /= 2;
      entry->requests /= 2;
    }
  if (!state)
    return;
  wc_answer_times_record_opened (&state->times, duration_us);
  state->losses = 0;
  state->loss_permille -= state->loss_permille / LOSS_DIVISOR;
}

void
wc_domain_balance_record_answer (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t duration_us,
                                 uint64_t target_us, uint64_t now_us)
{
  Service *entry;
  Domain  *state;

  assert (balance != NULL);

  entry = get_service (balance, service, now_us);
  entry->requests++;
  state = get_domain (entry, domain, now_us);
  if (!state)
    return;
  wc_answer_times_record_answer (&state->times, duration_us, now_us);
  state->losses = 0;
  if (domain == balance->domain)
    return;
  if (is_long (balance, entry, state, target_us))
    wc_send_rate_decrease (&state->rate, state->times.answer_us, now_us);
  else if (is_reported (state, now_us))
    wc_send_rate_increase (&state->rate, state->times.answer_us, now_us);
}

void
wc_domain_balance_record_unanswered (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t now_us)
{
  Service *entry;
  Domain  *state;

  assert (balance != NULL);

  entry = get_service (balance, service, now_us);
  state = get_domain (entry, domain, now_us);
  if (!state || domain == balance->domain)
    return;
  state->loss_permille = (uint32_t)get_loss_permille (state, now_us);
  state->loss_permille += (MILLI - state->loss_permille) / LOSS_DIVISOR;
  state->loss_us = now_us;
  if (++state->losses >= LOSSES_MAX)
    wc_send_rate_stop (&state->rate, now_us);
  else
    wc_send_rate_decrease (&state->rate, state->times.answer_us, now_us);
}

void
wc_domain_balance_record_sent (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t now_us)
{
  Domain *state;

  assert (balance != NULL && domain != balance->domain);

  state = get_domain (get_service (balance, service, now_us), domain, now_us);
  if (state)
    wc_send_rate_record_sent (&state->rate, now_us);
}

void
wc_domain_balance_record_report (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t busy,
                                 uint64_t now_us)
{
  Domain *state;

  assert (balance != NULL);

  state = get_domain (get_service (balance, service, now_us), domain, now_us);
  if (!state)
    return;
  if (state->report_us == 0)
    state->busy_milli = busy * MILLI;
  else
    state->busy_milli += busy * MILLI / REPORT_DIVISOR - state->busy_milli / REPORT_DIVISOR;
  state->report_us = now_us;
}

void
wc_domain_balance_set_capacity (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t slots,
                                uint32_t senders, uint64_t now_us)
{
  Service *entry;
  Domain  *state;

  assert (balance != NULL && senders > 0);

  entry = get_service (balance, service, now_us);
  state = get_domain (entry, domain, now_us);
  if (!state)
    return;
  state->slots = slots;
  state->senders = senders;
  wc_send_rate_set_bound (&state->rate, get_bound_milli (balance, entry, state, now_us), now_us);
}

uint32_t
wc_domain_balance_get_service (const WcDomainBalance *balance, size_t index)
{
  assert (balance != NULL);

  return index < balance->service_count ? balance->services[index].service : 0;
}

uint64_t
wc_domain_balance_get_cost_us (const WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t limit_us,
                               uint64_t now_us)
{
  const Service *entry;
  const Domain  *state;
  uint64_t       permille = CUT_MAX_PERMILLE;
  uint64_t       way_us = WAY_DEFAULT_US;

  assert (balance != NULL);

  if (domain == balance->domain)
    return 0;
  entry = find_service (balance, service);
  state = find_domain (entry, domain);
  if (state)
    {
      permille = get_cut_permille (entry) + get_loss_permille (state, now_us);
      way_us = get_way_us (balance, entry, state);
    }
  return balance->cost_us + way_us + (limit_us > 0 ? limit_us : LIMIT_DEFAULT_US) * permille / MILLI;
}

uint64_t
wc_domain_balance_get_answer_us (const WcDomainBalance *balance, uint32_t service, uint32_t domain,
                                 uint64_t estimate_us, uint64_t now_us)
{
  const Service *entry;
  const Domain  *state;

  assert (balance != NULL);

  entry = find_service (balance, service);
  state = find_domain (entry, domain);
  if (!state)
    return estimate_us;
  if (wc_answer_times_is_recent (&state->times, now_us))
    return MAX (estimate_us, state->times.answer_us);
  if (domain == balance->domain)
    return estimate_us;
  /* The own domain may have been slow from the first answer on and is no reference then. */
  return MAX (estimate_us, state->times.base_us > 0 ? get_base_us (balance, entry, state) : BASE_DEFAULT_US);
}

uint64_t
wc_domain_balance_get_shortest_us (const WcDomainBalance *balance, uint32_t service, uint64_t now_us)
{
  const Service *entry;
  uint64_t       shortest_us = UINT64_MAX;

  assert (balance != NULL);

  entry = find_service (balance, service);
  for (uint32_t i = 0; entry && i < entry->domain_count; i++)
    {
      const Domain *domain = &entry->domains[i];

      if (domain->domain != balance->domain && wc_answer_times_is_recent (&domain->times, now_us))
        shortest_us = MIN (shortest_us, domain->times.handshake_us + domain->times.base_us);
    }
  return shortest_us;
}

bool
wc_domain_balance_allows (const WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t now_us)
{
  const Domain *state;

  assert (balance != NULL);

  state = find_domain (find_service (balance, service), domain);
  return state && wc_send_rate_allows (&state->rate, now_us);
}

uint64_t
wc_domain_balance_get_rate_milli (const WcDomainBalance *balance, uint32_t service, uint32_t domain)
{
  const Domain *state;

  assert (balance != NULL);

  state = find_domain (find_service (balance, service), domain);
  return state ? wc_send_rate_get_milli (&state->rate) : 0;
}

uint64_t
wc_domain_balance_sum_rates_milli (const WcDomainBalance *balance, uint32_t service)
{
  const Service *entry;
  uint64_t       sum_milli = 0;

  assert (balance != NULL);

  entry = find_service (balance, service);
  for (uint32_t i = 0; entry && i < entry->domain_count; i++)
    if (entry->domains[i].domain != balance->domain)
      sum_milli += wc_send_rate_get_milli (&entry->domains[i].rate);
  return sum_milli;
}

/* local functions */

/* Replaces the least recently used service if necessary. */
static Service *
get_service (WcDomainBalance *balance, uint32_t service, uint64_t now_us)
{
  Service *entry = (Service *)find_service (balance, service);

  if (!entry)
    {
      entry = &balance->services[0];
      if (balance->service_count < WC_DOMAIN_BALANCE_SERVICES)
        entry = &balance->services[balance->service_count++];
      else
        for (size_t i = 1; i < balance->service_count; i++)
          if (balance->services[i].used_us < entry->used_us)
            entry = &balance->services[i];
      *entry = (Service){ .service = service };
    }
  entry->used_us = now_us;
  return entry;
}

/* Return: NULL when WC_DOMAIN_BALANCE_DOMAINS domains are known already. */
static Domain *
get_domain (Service *service, uint32_t domain, uint64_t now_us)
{
  Domain *state = (Domain *)find_domain (service, domain);

  if (state || service->domain_count == WC_DOMAIN_BALANCE_DOMAINS)
    return state;
  state = &service->domains[service->domain_count++];
  *state = (Domain){ .domain = domain };
  wc_send_rate_init (&state->rate, now_us);
  return state;
}

static const Service *
find_service (const WcDomainBalance *balance, uint32_t service)
{
  for (size_t i = 0; i < balance->service_count; i++)
    if (balance->services[i].service == service)
      return &balance->services[i];
  return NULL;
}

static const Domain *
find_domain (const Service *service, uint32_t domain)
{
  for (uint32_t i = 0; service && i < service->domain_count; i++)
    if (service->domains[i].domain == domain)
      return &service->domains[i];
  return NULL;
}

/*
 * Answer time of a domain without queues. A domain that had queues from the first answer on is compared with the own
 * domain, and the way to it is added.
 */
static uint64_t
get_base_us (const WcDomainBalance *balance, const Service *service, const Domain *domain)
{
  const Domain *own = find_domain (service, balance->domain);
  uint64_t      base_us =
      own && own->times.base_us > 0 ? own->times.base_us + get_way_us (balance, service, domain) : UINT64_MAX;

  if (domain->times.base_us > 0)
    base_us = MIN (base_us, domain->times.base_us);
  return base_us < UINT64_MAX ? base_us : BASE_DEFAULT_US + WAY_DEFAULT_US;
}

/* Additional time of a round trip to a domain. */
static uint64_t
get_way_us (const WcDomainBalance *balance, const Service *service, const Domain *domain)
{
  const Domain *own = find_domain (service, balance->domain);

  if (domain == own)
    return 0;
  if (!own || own->times.handshake_us == 0 || domain->times.handshake_us == 0)
    return WAY_DEFAULT_US;
  return domain->times.handshake_us - MIN (domain->times.handshake_us, own->times.handshake_us);
}

static bool
is_long (const WcDomainBalance *balance, const Service *service, const Domain *domain, uint64_t target_us)
{
  const WcAnswerTimes *times = &domain->times;

  return times->answer_us * 100 > get_base_us (balance, service, domain) * LONG_PERCENT ||
         (target_us > 0 && (times->handshake_us + times->answer_us) * 100 > target_us * TARGET_PERCENT);
}

static uint64_t
get_cut_permille (const Service *service)
{
  uint64_t flows = MAX (service->flows, 1);

  return CLAMP (CUT_PERMILLE * service->requests / flows, CUT_PERMILLE, CUT_MAX_PERMILLE);
}

static uint64_t
get_loss_permille (const Domain *domain, uint64_t now_us)
{
  return domain->loss_permille >> MIN (get_elapsed_us (domain->loss_us, now_us) / LOSS_HALF_LIFE_US, LOSS_SHIFT_MAX);
}

/* Reports are stamped when they are read, which may be later than the packet that is processed next. */
static uint64_t
get_elapsed_us (uint64_t since_us, uint64_t now_us)
{
  return now_us > since_us ? now_us - since_us : 0;
}

static bool
is_reported (const Domain *domain, uint64_t now_us)
{
  return domain->report_us > 0 && get_elapsed_us (domain->report_us, now_us) < REPORT_LIFETIME_US;
}

/* This instance's part of what the spare slots of the domain can answer. */
static uint64_t
get_bound_milli (const WcDomainBalance *balance, const Service *service, const Domain *domain, uint64_t now_us)
{
  uint64_t slots_milli = domain->slots * MILLI;
  uint64_t spare_milli = slots_milli * UNREPORTED_PERCENT / 100;
  uint64_t requests = MAX (service->requests, 1);
  uint64_t flows = MAX (service->flows, 1);
  uint64_t base_us = get_base_us (balance, service, domain);
  uint64_t run_min_us = base_us / RUN_MIN_DIVISOR + 1;
  uint64_t run_us =
      base_us > domain->times.handshake_us + run_min_us ? base_us - domain->times.handshake_us : run_min_us;
  uint64_t way_us = get_way_us (balance, service, domain);
  uint64_t busy_us = MAX (base_us + domain->times.handshake_us - MIN (base_us, 2 * way_us), run_us);

  /* The domain's own callers report a flow as busy from its opening until the answer is acknowledged. */
  if (is_reported (domain, now_us))
    spare_milli =
        (slots_milli - MIN (slots_milli, domain->busy_milli * run_us / busy_us)) * (100 - RESERVE_PERCENT) / 100;
  return spare_milli * SECOND_US / run_us / MAX (domain->senders, 1) * flows / MAX (requests, flows);
}
