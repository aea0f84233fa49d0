#include "test_main.h"

#include <glib.h>

#include "forward/placement.h"

enum
{
  SLOTS = 2,
  QUEUE = 8,
  DOMAINS = 3,
  STEP_US = 1000,
  WORK_US = 24 * 1000
};

static const char *const DOMAIN_NAMES[DOMAINS] = { "a", "b", "c" };

static WcHost *
add_host (WcHostTable *table, uint64_t id, const char *domain)
{
  const WcHostRecord record = {
    .id = id,
    .service = g_quark_from_string ("desk"),
    .domain = g_quark_from_string (domain),
    .address = { .ip = { 10, 1, 0, (uint8_t)id }, .family = 4, .port = 8080 },
    .state = WC_HOST_READY,
    .slots = SLOTS,
  };

  return wc_host_table_put (table, &record, id, 1);
}

static WcPlacement
new_flow (uint64_t tie_breaker)
{
  return (WcPlacement){
    .service = g_quark_from_string ("desk"),
    .domain = g_quark_from_string ("a"),
    .tie_breaker = tie_breaker,
  };
}

/* Guards against flows that cross domains without need: they fail when the link is cut. */
START_TEST (low_load_stays_in_domain_evenly)
{
  WcHostTable *table = wc_host_table_new (1000);
  uint32_t     most = 0;
  uint32_t     least = UINT32_MAX;

  for (uint64_t id = 1; id <= 9; id++)
    add_host (table, id, DOMAIN_NAMES[id % DOMAINS]);
  for (uint64_t i = 0; i < 90; i++)
    {
      const WcPlacement flow = new_flow (i);
      WcHost           *host = wc_placement_choose (table, &flow, 1);

      ck_assert_uint_eq (host->record.domain, flow.domain);
      host->flows++;
    }
  for (size_t i = 0; i < wc_host_table_get_count (table); i++)
    if (wc_host_table_get (table, i)->record.domain == g_quark_from_string ("a"))
      {
        most = MAX (most, wc_host_table_get (table, i)->flows);
        least = MIN (least, wc_host_table_get (table, i)->flows);
      }
  ck_assert_uint_le (most - least, 1);
  wc_host_table_delete (table);
}
END_TEST

/*
 * All callers return after an outage in a domain that has lost hosts: 250 requests arrive within 400 ms, of which 3
 * hosts with 2 slots can serve 100, while 8 hosts of other domains have little load. Guards against refusals by hosts
 * with full queues while others are idle, of which one run had 1,059.
 */
START_TEST (burst_spills_before_queues_are_full)
{
  WcHostTable *table = wc_host_table_new (1000);
  uint64_t     done_us[16][64] = { { 0 } };
  uint32_t     refused = 0;
  uint32_t     sent = 0;

  for (uint64_t id = 1; id <= 11; id++)
    add_host (table, id, id <= 3 ? "a" : DOMAIN_NAMES[1 + id % 2]);
  for (uint64_t now_us = STEP_US; now_us <= 800 * 1000; now_us += STEP_US)
    {
      for (size_t i = 0; i < wc_host_table_get_count (table); i++)
        {
          WcHost  *host = wc_host_table_get (table, i);
          uint32_t started = 0;

          for (size_t r = 0; r < G_N_ELEMENTS (done_us[0]); r++)
            if (done_us[i][r] != 0 && done_us[i][r] <= now_us)
              {
                done_us[i][r] = 0;
                host->busy_flows--;
              }
          (void)started;
        }
      if (now_us > 400 * 1000 || (now_us / STEP_US) % 8 >= 5)
        continue;
      {
        const WcPlacement flow = new_flow (now_us);
        WcHost           *host = wc_placement_choose (table, &flow, now_us);
        size_t            index = 0;
        uint64_t          free_us = now_us;

        while (wc_host_table_get (table, index) != host)
          index++;
        sent++;
        if (host->busy_flows >= SLOTS + QUEUE)
          {
            refused++;
            continue;
          }
        /* With two slots, the request starts when one of the last two requests in them is done. */
        if (host->busy_flows >= SLOTS)
          free_us = now_us + (uint64_t)WORK_US * (host->busy_flows - SLOTS + 1) / SLOTS;
        for (size_t r = 0; r < G_N_ELEMENTS (done_us[0]); r++)
          if (done_us[index][r] == 0)
            {
              done_us[index][r] = free_us + WORK_US;
              break;
            }
        host->busy_flows++;
      }
    }
  ck_assert_uint_ge (sent, 250);
  ck_assert_uint_eq (refused, 0);
  wc_host_table_delete (table);
}
END_TEST

/* Guards against a slow host that receives an equal share of flows. */
START_TEST (slow_host_gets_less)
{
  WcHostTable *table = wc_host_table_new (1000);
  uint32_t     slow_flows = 0;

  for (uint64_t id = 1; id <= 4; id++)
    wc_host_load_record_answer (&add_host (table, id, "a")->load, id == 1 ? 110 * 1000 : 22 * 1000, 1000);
  for (uint64_t i = 0; i < 40; i++)
    {
      const WcPlacement flow = new_flow (i);
      WcHost           *host = wc_placement_choose (table, &flow, 1);

      host->busy_flows++;
      slow_flows += host->record.id == 1;
    }
  ck_assert_uint_le (slow_flows, 4);
  wc_host_table_delete (table);
}
END_TEST

/* Guards against a host that is overloaded while it warms up. */
START_TEST (warming_host_gets_less)
{
  WcHostTable *table = wc_host_table_new (1000);
  WcHost      *fresh = add_host (table, 1, "a");
  uint32_t     fresh_flows = 0;

  add_host (table, 2, "a");
  fresh->warm_up_deadline_us = 1000;
  for (uint64_t i = 0; i < 20; i++)
    {
      const WcPlacement flow = new_flow (i);
      WcHost           *host = wc_placement_choose (table, &flow, 1);

      host->busy_flows++;
      fresh_flows += host == fresh;
    }
  ck_assert_uint_lt (fresh_flows, 10);
  ck_assert_uint_gt (fresh_flows, 0);
  wc_host_table_delete (table);
}
END_TEST

/*
 * Guards against a caller that is rejected although a suspected or avoided host is left, and against retries at the
 * unresponsive host first: a suspected host is chosen only without a usable one, the avoided host last.
 */
START_TEST (suspected_and_avoided_hosts_are_last)
{
  WcHostTable *table = wc_host_table_new (1000);
  WcHost      *suspect = add_host (table, 1, "a");
  WcHost      *other = add_host (table, 2, "c");
  WcPlacement  flow = new_flow (1);

  suspect->suspect_deadline_us = 1000;
  ck_assert_ptr_eq (wc_placement_choose (table, &flow, 1), other);
  flow.avoid = other;
  ck_assert_ptr_eq (wc_placement_choose (table, &flow, 1), suspect);
  wc_host_table_set_gone (table, 1, 1);
  ck_assert_ptr_eq (wc_placement_choose (table, &flow, 10 * 1000 * 1000), other);
  wc_host_table_delete (table);
}
END_TEST

/*
 * Guards against failing hosts that are chosen before slow ones, or after hosts that do not answer at all, and against
 * capacity that is counted on them unless they are needed.
 */
START_TEST (failing_host_is_chosen_between_slow_and_suspected)
{
  WcHostTable      *table = wc_host_table_new (1000);
  WcHost           *failing = add_host (table, 1, "a");
  WcHost           *slow = add_host (table, 2, "a");
  WcHost           *suspected = add_host (table, 3, "a");
  WcPlacement       flow = new_flow (1);
  const WcPlacement no_target = flow;

  failing->failures.eject_deadline_us = 1000;
  suspected->suspect_deadline_us = 1000;
  suspected->load.service_time_us = WORK_US;
  slow->load.service_time_us = 5 * WORK_US;
  flow.service_max_us = WORK_US;
  ck_assert_ptr_eq (wc_placement_choose (table, &flow, 1), slow);
  slow->record.state = WC_HOST_DRAINING;
  ck_assert_ptr_eq (wc_placement_choose (table, &flow, 1), failing);
  ck_assert_uint_eq (wc_placement_sum_capacity (table, &no_target, WC_PLACEMENT_OWN_DOMAIN, 1).slots, 0);
  failing->failures.is_needed = true;
  ck_assert_uint_eq (wc_placement_sum_capacity (table, &no_target, WC_PLACEMENT_OWN_DOMAIN, 1).slots, SLOTS);
  wc_host_table_delete (table);
}
END_TEST

/*
 * The store recovers after all entries have expired. Guards against a service without hosts for two seconds, and
 * against placing all flows on the first host that is published again.
 */
START_TEST (expired_entries_are_used_until_republished)
{
  WcHostTable *table = wc_host_table_new (60 * 1000 * 1000);
  uint32_t     at_first = 0;

  for (uint64_t id = 1; id <= 4; id++)
    {
      add_host (table, id, "a");
      wc_host_table_set_gone (table, id, 100);
    }
  add_host (table, 1, "a");
  for (uint64_t i = 0; i < 40; i++)
    {
      const WcPlacement flow = new_flow (i);
      WcHost           *host = wc_placement_choose (table, &flow, 1000 * 1000);

      host->flows++;
      at_first += host->record.id == 1;
    }
  ck_assert_uint_le (at_first, 10);
  {
    const WcPlacement flow = new_flow (1);

    ck_assert_uint_eq (wc_placement_choose (table, &flow, 3 * 1000 * 1000)->record.id, 1);
  }
  wc_host_table_delete (table);
}
END_TEST

/*
 * With domain balance. Guards against instances that all choose the same host of another domain, because they see the
 * same hosts, or because few answers make one of them look a little faster.
 */
START_TEST (flows_spread_over_hosts_of_another_domain)
{
  WcHostTable     *table = wc_host_table_new (1000);
  WcDomainBalance *balance = wc_domain_balance_new (g_quark_from_string ("a"), 0);
  uint32_t         flows[10] = { 0 };

  for (uint64_t id = 1; id <= G_N_ELEMENTS (flows); id++)
    wc_host_load_record_answer (&add_host (table, id, "b")->load, 24 * 1000 + id * 300, 1000);
  for (uint64_t i = 0; i < 200; i++)
    {
      WcPlacement flow = new_flow (i);

      flow.balance = balance;
      flows[wc_placement_choose (table, &flow, 1)->record.id - 1]++;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (flows); i++)
    ck_assert_uint_le (flows[i], 40);
  wc_domain_balance_delete (balance);
  wc_host_table_delete (table);
}
END_TEST

/*
 * Guards against an overflow with a number of slots that an entry may have: the capacity of all hosts of the service
 * would be wrong.
 */
START_TEST (many_slots_do_not_overflow)
{
  WcHostTable *table = wc_host_table_new (1000);
  WcPlacement  flow = new_flow (1);
  WcHost      *host = add_host (table, 1, "a");
  uint64_t     few;

  few = wc_placement_get_capacity (table, &flow, 10 * 1000 * 1000, 1);
  host->record.slots = 4096;
  ck_assert_uint_ge (wc_placement_get_capacity (table, &flow, 10 * 1000 * 1000, 1), few * 4096 / SLOTS);
  wc_host_table_delete (table);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, many_slots_do_not_overflow);
  tcase_add_test (tests, low_load_stays_in_domain_evenly);
  tcase_add_test (tests, burst_spills_before_queues_are_full);
  tcase_add_test (tests, slow_host_gets_less);
  tcase_add_test (tests, warming_host_gets_less);
  tcase_add_test (tests, suspected_and_avoided_hosts_are_last);
  tcase_add_test (tests, failing_host_is_chosen_between_slow_and_suspected);
  tcase_add_test (tests, expired_entries_are_used_until_republished);
  tcase_add_test (tests, flows_spread_over_hosts_of_another_domain);
}

int
main (void)
{
  return wc_test_run ("placement", add_tests);
}
