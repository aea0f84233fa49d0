#include "test_main.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "forward/flow_table.h"

static WcFlowKey
key_of (uint32_t number)
{
  return (WcFlowKey){ 0x64400000 + number / 1000, 0xc6120001, (uint16_t)(1000 + number % 1000), 443 };
}

/*
 * Compares the table with a plain array over random additions and removals. Guards against flows that can no longer be
 * found after another flow of the same probe sequence was removed.
 */
START_TEST (matches_reference_array)
{
  enum
  {
    KEYS = 3000,
    STEPS = 60000
  };
  WcFlowTable *table = wc_flow_table_new (2048);
  static bool  there[KEYS];
  GRand       *random = g_rand_new_with_seed (7);
  size_t       count = 0;

  memset (there, 0, sizeof there);
  for (int step = 0; step < STEPS; step++)
    {
      uint32_t        number = (uint32_t)g_rand_int_range (random, 0, KEYS);
      const WcFlowKey key = key_of (number);
      WcFlow         *flow = wc_flow_table_find (table, &key);

      ck_assert_int_eq (flow != NULL, there[number]);
      if (flow)
        {
          ck_assert_uint_eq (flow->cookie, number);
          wc_flow_table_remove (table, flow);
          there[number] = false;
          count--;
        }
      else
        {
          flow = wc_flow_table_add (table, &key);
          ck_assert_int_eq (flow != NULL, count < 2048);
          if (flow)
            {
              flow->cookie = number;
              there[number] = true;
              count++;
            }
        }
      ck_assert_uint_eq (wc_flow_table_get_count (table), count);
    }
  g_rand_free (random);
  wc_flow_table_delete (table);
}
END_TEST

static bool
remove_even (void *user_data, WcFlow *flow)
{
  (*(uint32_t *)user_data)++;
  return flow->cookie % 2 != 0;
}

/* Guards against a walk that skips the flow which is moved into the slot of a removed one. */
START_TEST (walk_visits_every_flow)
{
  WcFlowTable *table = wc_flow_table_new (1024);
  uint32_t     visited = 0;

  for (uint32_t i = 0; i < 1000; i++)
    {
      const WcFlowKey key = key_of (i);

      wc_flow_table_add (table, &key)->cookie = i;
    }
  wc_flow_table_walk_all (table, remove_even, &visited);
  ck_assert_uint_ge (visited, 1000);
  ck_assert_uint_eq (wc_flow_table_get_count (table), 500);
  for (uint32_t i = 0; i < 1000; i++)
    {
      const WcFlowKey key = key_of (i);

      ck_assert_int_eq (wc_flow_table_find (table, &key) != NULL, i % 2 != 0);
    }
  wc_flow_table_delete (table);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, matches_reference_array);
  tcase_add_test (tests, walk_visits_every_flow);
}

int
main (void)
{
  return wc_test_run ("flow_table", add_tests);
}
