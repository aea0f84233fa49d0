#include "test_main.h"

#include <glib.h>

#include "forward/domain_balance.h"

/*
 * Replays the loads of two domains without a network: instances that share no memory decide for each opening, hosts
 * serve what arrives in the order of arrival, and answers come back after the way and the time in the queue. Times and
 * loads are fixed, so that a run always gives the same result.
 */

enum
{
  DOMAINS = 2,
  INSTANCES = 27,
  SERVICE = 7,
  SLOTS = 40,
  RUN_US = 30 * 1000,
  /* Requests per second that the slots of a domain run. */
  CAPACITY_PER_S = SLOTS * (1000 * 1000 / RUN_US),
  /* Requests at the hosts of a domain beyond which more are refused. */
  PRESENT_MAX = SLOTS * 10,
  TARGET_US = 250 * 1000,
  LIMIT_US = 1500 * 1000,
  STEP_US = 1000,
  SECOND_US = 1000 * 1000,
  WAY_US = 2 * 1000
};

typedef struct
{
  uint64_t time_us;
  uint32_t domain;
  uint32_t instance;
  uint32_t destination;
  uint64_t duration_us;
  bool     is_opening;
  bool     is_lost;
} Event;

/*
 * @load: requests per second of a domain's callers, in percent of its capacity.
 * @present: requests at the hosts of a domain.
 * @way_us: one-way delay between the domains.
 * @is_cut: no answer comes from the other domain.
 * @away: openings that the instances of a domain have sent to the other one.
 */
typedef struct
{
  WcDomainBalance *balances[DOMAINS][INSTANCES];
  double           due[DOMAINS][INSTANCES];
  uint32_t         load[DOMAINS];
  double           present[DOMAINS];
  uint64_t         way_us;
  bool             is_cut;
  bool             has_reports;
  uint64_t         now_us;
  uint32_t         away[DOMAINS];
  GArray          *events;
} World;

static uint32_t
quark_of (uint32_t domain)
{
  return domain + 1;
}

static void
init (World *world, uint32_t load, uint32_t other_load)
{
  *world = (World){ .load = { load, other_load }, .way_us = WAY_US, .has_reports = true, .now_us = SECOND_US };
  world->events = g_array_new (FALSE, FALSE, sizeof (Event));
  for (uint32_t domain = 0; domain < DOMAINS; domain++)
    for (uint32_t i = 0; i < INSTANCES; i++)
      {
        world->balances[domain][i] = wc_domain_balance_new (quark_of (domain), 0);
        world->due[domain][i] = (double)i / INSTANCES;
      }
}

static void
finish (World *world)
{
  for (uint32_t domain = 0; domain < DOMAINS; domain++)
    for (uint32_t i = 0; i < INSTANCES; i++)
      wc_domain_balance_delete (world->balances[domain][i]);
  g_array_unref (world->events);
}

static uint64_t
answer_us (const World *world, uint32_t domain)
{
  double waiting = MAX (world->present[domain] - SLOTS, 0);

  return RUN_US + (uint64_t)(waiting * RUN_US / SLOTS);
}

static void
open_flow (World *world, uint32_t domain, uint32_t instance)
{
  WcDomainBalance *balance = world->balances[domain][instance];
  uint32_t         other = 1 - domain;
  uint64_t own_us = wc_domain_balance_get_answer_us (balance, SERVICE, quark_of (domain), RUN_US, world->now_us);
  uint64_t other_us = wc_domain_balance_get_answer_us (balance, SERVICE, quark_of (other), RUN_US, world->now_us) +
                      wc_domain_balance_get_cost_us (balance, SERVICE, quark_of (other), LIMIT_US, world->now_us);
  bool     leaves = other_us < own_us && wc_domain_balance_allows (balance, SERVICE, quark_of (other), world->now_us);
  uint32_t destination = leaves ? other : domain;
  uint64_t way_us = leaves ? 2 * world->way_us : 0;
  Event    event = { world->now_us + 4000 + way_us, domain, instance, destination, 4000 + way_us, true, false };

  if (leaves)
    {
      wc_domain_balance_record_sent (balance, SERVICE, quark_of (other), world->now_us);
      world->away[domain]++;
      event.is_lost = world->is_cut;
    }
  if (event.is_lost)
    event.time_us = world->now_us + 40 * 1000;
  g_array_append_val (world->events, event);
  if (event.is_lost || world->present[destination] >= PRESENT_MAX)
    return;
  event.duration_us = answer_us (world, destination) + 4000 + way_us;
  event.time_us += event.duration_us;
  event.is_opening = false;
  world->present[destination]++;
  g_array_append_val (world->events, event);
}

static void
deliver (World *world)
{
  for (guint i = 0; i < world->events->len;)
    {
      Event            event = g_array_index (world->events, Event, i);
      WcDomainBalance *balance = world->balances[event.domain][event.instance];
      uint32_t         quark = quark_of (event.destination);

      if (event.time_us > world->now_us)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (world->events, i);
      if (event.is_lost)
        wc_domain_balance_record_unanswered (balance, SERVICE, quark, world->now_us);
      else if (event.is_opening)
        wc_domain_balance_record_opened (balance, SERVICE, quark, event.duration_us, world->now_us);
      else
        wc_domain_balance_record_answer (balance, SERVICE, quark, event.duration_us, TARGET_US, world->now_us);
    }
}

/* Runs for a time. Return: openings per second of the first domain that went to the other one. */
static uint32_t
run (World *world, uint32_t seconds)
{
  uint32_t before = world->away[0];
  uint64_t end_us = world->now_us + (uint64_t)seconds * SECOND_US;

  for (; world->now_us < end_us; world->now_us += STEP_US)
    {
      deliver (world);
      for (uint32_t domain = 0; domain < DOMAINS; domain++)
        {
          double served = MIN (world->present[domain], SLOTS) * STEP_US / RUN_US;

          world->present[domain] -= MIN (served, world->present[domain]);
          for (uint32_t i = 0; i < INSTANCES; i++)
            {
              WcDomainBalance *balance = world->balances[domain][i];
              uint32_t         other = quark_of (1 - domain);
              /* Flows count as busy while they open, too. */
              uint64_t busy = (uint64_t)SLOTS * MIN (world->load[1 - domain], 100) * (RUN_US + 8000) / RUN_US / 100;

              if (world->now_us % (100 * 1000) == 0)
                wc_domain_balance_set_capacity (balance, SERVICE, other, SLOTS, INSTANCES, world->now_us);
              if (world->has_reports && world->now_us % SECOND_US == 0)
                wc_domain_balance_record_report (balance, SERVICE, other, busy, world->now_us);
              world->due[domain][i] +=
                  (double)world->load[domain] / 100 * CAPACITY_PER_S / INSTANCES * STEP_US / SECOND_US;
              if (world->due[domain][i] < 1)
                continue;
              world->due[domain][i]--;
              open_flow (world, domain, i);
            }
        }
    }
  return (world->away[0] - before) / MAX (seconds, 1);
}

/* Both domains at normal load, so that the instances know answer times without queues; then the first is crowded. */
static void
init_crowded (World *world, uint32_t other_load)
{
  init (world, 30, 30);
  ck_assert_uint_eq (run (world, 3), 0);
  world->load[0] = 150;
  world->load[1] = other_load;
}

/*
 * Guards against callers who wait while another domain is idle, and against instances that fill the queues of its hosts
 * together when they see them at the same time: the first answer that shows a queue comes after the damage.
 */
START_TEST (idle_neighbours_take_the_excess_without_herding)
{
  World    world;
  uint64_t longest_us = 0;

  init_crowded (&world, 20);
  for (int i = 0; i < 5; i++)
    {
      run (&world, 1);
      longest_us = MAX (longest_us, answer_us (&world, 1));
    }
  ck_assert_uint_le (longest_us, RUN_US * 3 / 2);
  ck_assert_uint_ge (run (&world, 4), CAPACITY_PER_S * 40 / 100);
  ck_assert_uint_le (answer_us (&world, 1), RUN_US * 3 / 2);
  ck_assert_uint_le (answer_us (&world, 0), TARGET_US / 2);
  ck_assert_uint_eq (world.away[1], 0);
  finish (&world);
}
END_TEST

/* Guards against callers of a full domain who lose their slots to those of another one. */
START_TEST (full_neighbours_get_trials_only)
{
  World world;

  init (&world, 30, 100);
  run (&world, 8);
  world.load[0] = 150;
  run (&world, 1);
  ck_assert_uint_le (run (&world, 10), INSTANCES / 5);
  finish (&world);
}
END_TEST

/* Guards against two overloaded domains that send each other their callers, also when reports do not tell. */
START_TEST (overloaded_domains_keep_their_callers)
{
  for (int with_reports = 0; with_reports < 2; with_reports++)
    {
      World world;

      init_crowded (&world, 150);
      world.has_reports = with_reports;
      run (&world, 3);
      ck_assert_uint_le (run (&world, 10), CAPACITY_PER_S * 5 / 100);
      finish (&world);
    }
}
END_TEST

/* Guards against openings that are lost behind a cut, and against a domain that is never used again after it. */
START_TEST (cut_link_gets_trials_until_it_works)
{
  World    world;
  uint32_t before;

  init_crowded (&world, 20);
  run (&world, 5);
  world.is_cut = true;
  before = world.away[0];
  run (&world, 1);
  ck_assert_uint_le (world.away[0] - before, 5 * INSTANCES);
  before = world.away[0];
  run (&world, 20);
  ck_assert_uint_le (world.away[0] - before, 3 * INSTANCES);
  world.is_cut = false;
  run (&world, 15);
  ck_assert_uint_ge (run (&world, 2), CAPACITY_PER_S * 30 / 100);
  finish (&world);
}
END_TEST

/* Guards against flows that leave over a link that takes longer than the queue at home. */
START_TEST (slow_link_is_not_used)
{
  World world;

  init_crowded (&world, 20);
  world.load[0] = 105;
  run (&world, 5);
  world.way_us = 150 * 1000;
  run (&world, 2);
  ck_assert_uint_le (run (&world, 5), CAPACITY_PER_S * 2 / 100);
  finish (&world);
}
END_TEST

/* Guards against rates that grow on the last report of a domain that is not heard of any more. */
START_TEST (without_reports_rates_do_not_grow)
{
  World world;

  init_crowded (&world, 20);
  run (&world, 5);
  world.has_reports = false;
  run (&world, 11);
  ck_assert_uint_le (run (&world, 5), CAPACITY_PER_S * 25 / 100);
  ck_assert_uint_ge (run (&world, 5), 1);
  finish (&world);
  init (&world, 30, 20);
  world.has_reports = false;
  run (&world, 3);
  world.load[0] = 150;
  run (&world, 5);
  ck_assert_uint_le (run (&world, 5), CAPACITY_PER_S * 25 / 100 / 3);
  finish (&world);
}
END_TEST

/* The other domain gets its callers back after an evacuation. Guards against a queue that lasts, and against swings. */
START_TEST (callers_that_move_back_get_their_slots)
{
  World world;

  init_crowded (&world, 20);
  run (&world, 5);
  world.load[1] = 90;
  run (&world, 2);
  for (int i = 0; i < 5; i++)
    {
      run (&world, 1);
      ck_assert_uint_le (answer_us (&world, 1), 2 * RUN_US);
    }
  ck_assert_uint_le (run (&world, 5), CAPACITY_PER_S * 10 / 100);
  world.load[0] = 30;
  run (&world, 3);
  ck_assert_uint_eq (run (&world, 5), 0);
  finish (&world);
}
END_TEST

/* Guards against a cost of the operator, or a risk of the link, that has no effect. */
START_TEST (cost_and_risk_count)
{
  WcDomainBalance *cheap = wc_domain_balance_new (1, 0);
  WcDomainBalance *dear = wc_domain_balance_new (1, 80 * 1000);
  uint64_t         cheap_us = wc_domain_balance_get_cost_us (cheap, SERVICE, 2, LIMIT_US, SECOND_US);

  ck_assert_uint_eq (wc_domain_balance_get_cost_us (dear, SERVICE, 2, LIMIT_US, SECOND_US), cheap_us + 80 * 1000);
  ck_assert_uint_gt (wc_domain_balance_get_cost_us (cheap, SERVICE, 2, 2 * LIMIT_US, SECOND_US), cheap_us);
  ck_assert_uint_eq (wc_domain_balance_get_cost_us (dear, SERVICE, 1, LIMIT_US, SECOND_US), 0);
  wc_domain_balance_record_opened (cheap, SERVICE, 2, 8000, SECOND_US);
  cheap_us = wc_domain_balance_get_cost_us (cheap, SERVICE, 2, LIMIT_US, SECOND_US);
  wc_domain_balance_record_unanswered (cheap, SERVICE, 2, SECOND_US);
  ck_assert_uint_gt (wc_domain_balance_get_cost_us (cheap, SERVICE, 2, LIMIT_US, SECOND_US), cheap_us + LIMIT_US / 20);
  wc_domain_balance_delete (cheap);
  wc_domain_balance_delete (dear);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, idle_neighbours_take_the_excess_without_herding);
  tcase_add_test (tests, full_neighbours_get_trials_only);
  tcase_add_test (tests, overloaded_domains_keep_their_callers);
  tcase_add_test (tests, cut_link_gets_trials_until_it_works);
  tcase_add_test (tests, slow_link_is_not_used);
  tcase_add_test (tests, without_reports_rates_do_not_grow);
  tcase_add_test (tests, callers_that_move_back_get_their_slots);
  tcase_add_test (tests, cost_and_risk_count);
}

int
main (void)
{
  return wc_test_run ("domain_balance", add_tests);
}
