#include "test_main.h"

#include <glib.h>
#include <string.h>

#include <wigeoncart/answer_store.h>

#include "client/part_set.h"

static uint8_t bytes[4 * WC_ANSWER_PART_BYTES];

/* Guards against a length and a number of parts that do not match, which would let a part write beyond the answer. */
START_TEST (test_part_count)
{
  static const struct
  {
    uint32_t total_bytes;
    uint32_t part_count;
    bool     valid;
  } CASES[] = {
    { 0, 1, true },
    { 0, 0, false },
    { 1, 1, true },
    { 1, 2, false },
    { WC_ANSWER_PART_BYTES, 1, true },
    { WC_ANSWER_PART_BYTES, 2, false },
    { WC_ANSWER_PART_BYTES + 1, 2, true },
    { WC_ANSWER_PART_BYTES + 1, 1, false },
    { UINT32_MAX, 1, false },
    { 1, UINT32_MAX, false },
  };
  WcPartSet *set = wc_part_set_new (CASES[_i].total_bytes, CASES[_i].part_count);

  ck_assert_int_eq (set != NULL, CASES[_i].valid);
  wc_part_set_delete (set);
}
END_TEST

/* Guards against parts of a wrong length or place that are accepted, or counted twice. */
START_TEST (test_add_parts)
{
  WcPartSet *set = wc_part_set_new (2 * WC_ANSWER_PART_BYTES + 10, 3);

  ck_assert (!wc_part_set_add (set, 0, bytes, WC_ANSWER_PART_BYTES - 1));
  ck_assert (!wc_part_set_add (set, 0, bytes, WC_ANSWER_PART_BYTES + 1));
  ck_assert (!wc_part_set_add (set, 2, bytes, WC_ANSWER_PART_BYTES));
  ck_assert (!wc_part_set_add (set, 3, bytes, 10));
  ck_assert (!wc_part_set_add (set, UINT32_MAX, bytes, 10));
  ck_assert (wc_part_set_add (set, 2, bytes, 10));
  ck_assert (!wc_part_set_add (set, 2, bytes, 10));
  ck_assert (wc_part_set_add (set, 0, bytes, WC_ANSWER_PART_BYTES));
  ck_assert (!wc_part_set_is_complete (set));
  ck_assert (wc_part_set_add (set, 1, bytes, WC_ANSWER_PART_BYTES));
  ck_assert (wc_part_set_is_complete (set));
  wc_part_set_delete (set);
}
END_TEST

/* Guards against missing parts that are never asked for. */
START_TEST (test_find_missing)
{
  WcPartSet *set = wc_part_set_new (4 * WC_ANSWER_PART_BYTES, 4);
  uint32_t   first;

  ck_assert_uint_eq (wc_part_set_find_missing (set, 0, 64, &first), 4);
  ck_assert_uint_eq (first, 0);
  wc_part_set_add (set, 1, bytes, WC_ANSWER_PART_BYTES);
  ck_assert_uint_eq (wc_part_set_find_missing (set, 0, 64, &first), 1);
  ck_assert_uint_eq (first, 0);
  ck_assert_uint_eq (wc_part_set_find_missing (set, 1, 64, &first), 2);
  ck_assert_uint_eq (first, 2);
  ck_assert_uint_eq (wc_part_set_find_missing (set, 1, 1, &first), 1);
  ck_assert_uint_eq (wc_part_set_find_missing (set, 4, 64, &first), 0);
  wc_part_set_delete (set);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("part_set");

  tcase_add_loop_test (cases, test_part_count, 0, 10);
  tcase_add_test (cases, test_add_parts);
  tcase_add_test (cases, test_find_missing);
  return wc_test_run_case ("part_set", cases);
}
