#include "core/spill_table.h"

#include "test_main.h"

enum
{
  SECOND_US = 1000 * 1000
};

/* Guards against a retransmitted request that is sent to another domain than the first one, and runs twice. */
START_TEST (test_expiry)
{
  static WcSpillTable table;

  ck_assert_uint_eq (wc_spill_table_find (&table, SECOND_US, 7), 0);
  wc_spill_table_add (&table, SECOND_US, 7, 2);
  ck_assert_uint_eq (wc_spill_table_find (&table, 6 * SECOND_US - 1, 7), 2);
  ck_assert_uint_eq (wc_spill_table_find (&table, 6 * SECOND_US, 7), 0);
}
END_TEST

/* Guards against an entry that is returned for another request with the same index. */
START_TEST (test_overwritten_entry)
{
  static WcSpillTable table;
  uint32_t            found = 0;

  for (uint64_t id = 1; id <= 4 * WC_SPILL_TABLE_ENTRIES; id++)
    wc_spill_table_add (&table, SECOND_US, id, (uint32_t)id);
  for (uint64_t id = 1; id <= 4 * WC_SPILL_TABLE_ENTRIES; id++)
    {
      uint32_t domain = wc_spill_table_find (&table, SECOND_US, id);

      ck_assert (domain == 0 || domain == id);
      found += domain != 0;
    }
  ck_assert_uint_gt (found, WC_SPILL_TABLE_ENTRIES / 2);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_expiry);
  tcase_add_test (tests, test_overwritten_entry);
}

int
main (void)
{
  return wc_test_run ("passed_table", add_tests);
}
