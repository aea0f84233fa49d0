#include <wigeoncart/answer_store.h>

#include <string.h>

#include "test_main.h"

enum
{
  PART_BYTES = WC_ANSWER_PART_BYTES
};

static uint8_t
byte_at (size_t offset)
{
  return (uint8_t)(offset * 31 + offset / 256);
}

static WcStatus
append_pattern (WcAnswerStore *store, uint64_t id, size_t offset, size_t size_bytes)
{
  uint8_t *data = malloc (size_bytes + 1);
  WcStatus status;

  for (size_t i = 0; i < size_bytes; i++)
    data[i] = byte_at (offset + i);
  status = wc_answer_store_append (store, id, data, size_bytes);
  free (data);
  return status;
}

/* Guards against lost, repeated or shifted bytes at part boundaries, for single and multiple appends. */
START_TEST (test_parts)
{
  static const struct
  {
    size_t   total;
    size_t   step;
    uint32_t parts;
  } CASES[] = {
    { 0, 1, 1 },
    { 1, 1, 1 },
    { PART_BYTES - 1, PART_BYTES - 1, 1 },
    { PART_BYTES, PART_BYTES, 1 },
    { PART_BYTES, 7, 1 },
    { PART_BYTES + 1, PART_BYTES + 1, 2 },
    { PART_BYTES + 1, 1, 2 },
    { 2 * PART_BYTES, PART_BYTES, 2 },
    { 60 * PART_BYTES + 500, 4096, 61 },
    { 60 * PART_BYTES + 500, 60 * PART_BYTES + 500, 61 },
  };
  WcAnswerStore *store = wc_answer_store_new (1 << 20, 4);
  uint32_t       http_status;
  uint32_t       total_bytes;
  uint32_t       part_count;
  size_t         offset = 0;
  size_t         size_bytes;

  ck_assert_int_eq (wc_answer_store_begin (store, 0, 1, CASES[_i].total), WC_STATUS_OK);
  while (offset < CASES[_i].total)
    {
      size_t remaining = CASES[_i].total - offset;
      size_t step = remaining < CASES[_i].step ? remaining : CASES[_i].step;

      ck_assert_int_eq (append_pattern (store, 1, offset, step), WC_STATUS_OK);
      offset += step;
    }
  ck_assert_int_eq (wc_answer_store_finish (store, 1, 201, 100), WC_STATUS_OK);
  ck_assert (wc_answer_store_get_info (store, 1, &http_status, &total_bytes, &part_count));
  ck_assert_uint_eq (http_status, 201);
  ck_assert_uint_eq (total_bytes, CASES[_i].total);
  ck_assert_uint_eq (part_count, CASES[_i].parts);
  offset = 0;
  for (uint32_t part = 0; part < part_count; part++)
    {
      const uint8_t *data = wc_answer_store_get_part (store, 1, part, &size_bytes);

      ck_assert_ptr_nonnull (data);
      ck_assert_uint_eq (size_bytes, part + 1 < part_count ? PART_BYTES : CASES[_i].total - offset);
      for (size_t i = 0; i < size_bytes; i++)
        ck_assert_uint_eq (data[i], byte_at (offset + i));
      offset += size_bytes;
    }
  ck_assert_uint_eq (offset, CASES[_i].total);
  ck_assert_ptr_null (wc_answer_store_get_part (store, 1, part_count, &size_bytes));
  ck_assert_ptr_null (wc_answer_store_get_part (store, 1, UINT32_MAX, &size_bytes));
  ck_assert_uint_eq (size_bytes, 0);
  wc_answer_store_delete (store);
}
END_TEST

/* Guards against returning an incomplete answer, and against changing a complete one. */
START_TEST (test_incomplete_answer)
{
  WcAnswerStore *store = wc_answer_store_new (1000, 4);
  uint32_t       http_status;
  uint32_t       total_bytes;
  uint32_t       part_count;
  size_t         size_bytes;

  wc_answer_store_begin (store, 0, 1, 100);
  append_pattern (store, 1, 0, 10);
  ck_assert (!wc_answer_store_get_info (store, 1, &http_status, &total_bytes, &part_count));
  ck_assert_ptr_null (wc_answer_store_get_part (store, 1, 0, &size_bytes));
  ck_assert_uint_eq (wc_answer_store_expire (store, UINT64_MAX), 0);
  ck_assert_int_eq (wc_answer_store_finish (store, 1, 200, 50), WC_STATUS_OK);
  ck_assert_int_eq (append_pattern (store, 1, 10, 1), WC_STATUS_INVALID);
  ck_assert_int_eq (wc_answer_store_finish (store, 1, 500, 90), WC_STATUS_INVALID);
  ck_assert (wc_answer_store_get_info (store, 1, &http_status, &total_bytes, &part_count));
  ck_assert_uint_eq (http_status, 200);
  ck_assert_uint_eq (total_bytes, 10);
  wc_answer_store_delete (store);
}
END_TEST

/* Guards against returning or changing the answer of another request when an id is unknown or used twice. */
START_TEST (test_unknown_and_duplicate_ids)
{
  WcAnswerStore *store = wc_answer_store_new (1000, 4);
  uint32_t       http_status;
  uint32_t       total_bytes;
  uint32_t       part_count;
  size_t         size_bytes;

  wc_answer_store_begin (store, 0, 1, 100);
  append_pattern (store, 1, 0, 10);
  ck_assert_int_eq (wc_answer_store_begin (store, 0, 1, 100), WC_STATUS_INVALID);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), 10);
  ck_assert_int_eq (append_pattern (store, 2, 0, 10), WC_STATUS_NOT_FOUND);
  ck_assert_int_eq (wc_answer_store_finish (store, 2, 200, 1), WC_STATUS_NOT_FOUND);
  ck_assert (!wc_answer_store_get_info (store, 2, &http_status, &total_bytes, &part_count));
  ck_assert_ptr_null (wc_answer_store_get_part (store, 2, 0, &size_bytes));
  wc_answer_store_release (store, 2);
  ck_assert_uint_eq (wc_answer_store_get_count (store), 1);
  wc_answer_store_release (store, 1);
  ck_assert_uint_eq (wc_answer_store_get_count (store), 0);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), 0);
  ck_assert_int_eq (append_pattern (store, 1, 0, 10), WC_STATUS_NOT_FOUND);
  ck_assert_int_eq (wc_answer_store_begin (store, 0, 1, 100), WC_STATUS_OK);
  wc_answer_store_delete (store);
}
END_TEST

/* Guards against answers longer than their limit, and against storing part of a rejected append. */
START_TEST (test_too_large)
{
  WcAnswerStore *store = wc_answer_store_new (10000, 4);

  wc_answer_store_begin (store, 0, 1, PART_BYTES + 1);
  ck_assert_int_eq (append_pattern (store, 1, 0, PART_BYTES + 2), WC_STATUS_TOO_LARGE);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), 0);
  ck_assert_int_eq (append_pattern (store, 1, 0, PART_BYTES + 1), WC_STATUS_OK);
  ck_assert_int_eq (append_pattern (store, 1, 0, 1), WC_STATUS_TOO_LARGE);
  ck_assert_int_eq (wc_answer_store_append (store, 1, NULL, 0), WC_STATUS_OK);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), PART_BYTES + 1);
  wc_answer_store_delete (store);
}
END_TEST

/* Guards against exceeding the byte limit of the store, and against evicting an unexpired answer to make room. */
START_TEST (test_byte_limit)
{
  WcAnswerStore *store = wc_answer_store_new (2 * PART_BYTES, 4);

  wc_answer_store_begin (store, 0, 1, SIZE_MAX & UINT32_MAX);
  wc_answer_store_begin (store, 0, 2, 4 * PART_BYTES);
  ck_assert_int_eq (append_pattern (store, 1, 0, PART_BYTES + 1), WC_STATUS_OK);
  ck_assert_int_eq (append_pattern (store, 2, 0, PART_BYTES), WC_STATUS_NO_SPACE);
  ck_assert_int_eq (append_pattern (store, 2, 0, PART_BYTES - 1), WC_STATUS_OK);
  ck_assert_int_eq (append_pattern (store, 2, 0, 1), WC_STATUS_NO_SPACE);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), 2 * PART_BYTES);
  wc_answer_store_finish (store, 1, 200, 100);
  ck_assert_int_eq (wc_answer_store_begin (store, 99, 3, 1), WC_STATUS_NO_SPACE);
  ck_assert_uint_eq (wc_answer_store_get_count (store), 2);
  ck_assert_int_eq (wc_answer_store_begin (store, 100, 3, 1), WC_STATUS_OK);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), PART_BYTES - 1);
  wc_answer_store_delete (store);
}
END_TEST

/* Guards against exceeding the limit of answers with empty ones, which use memory as well. */
START_TEST (test_count_limit)
{
  WcAnswerStore *store = wc_answer_store_new (1000, 2);

  wc_answer_store_begin (store, 0, 1, 10);
  wc_answer_store_finish (store, 1, 204, 100);
  wc_answer_store_begin (store, 0, 2, 10);
  ck_assert_int_eq (wc_answer_store_begin (store, 99, 3, 10), WC_STATUS_NO_SPACE);
  ck_assert_int_eq (wc_answer_store_begin (store, 100, 3, 10), WC_STATUS_OK);
  ck_assert_uint_eq (wc_answer_store_get_count (store), 2);
  wc_answer_store_delete (store);
}
END_TEST

/* Guards against late or early eviction when answers were not added in the order of their expiry. */
START_TEST (test_expiry_order)
{
  static const uint64_t EXPIRIES[] = { 50, 10, 40, 10, 30 };
  WcAnswerStore        *store = wc_answer_store_new (1000, 8);

  for (uint64_t id = 1; id <= 5; id++)
    {
      wc_answer_store_begin (store, 0, id, 10);
      append_pattern (store, id, 0, id);
      wc_answer_store_finish (store, id, 200, EXPIRIES[id - 1]);
    }
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), 15);
  ck_assert_uint_eq (wc_answer_store_expire (store, 9), 0);
  ck_assert_uint_eq (wc_answer_store_expire (store, 10), 2);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), 9);
  wc_answer_store_release (store, 3);
  ck_assert_uint_eq (wc_answer_store_expire (store, 45), 1);
  ck_assert_uint_eq (wc_answer_store_get_count (store), 1);
  ck_assert_uint_eq (wc_answer_store_expire (store, 50), 1);
  ck_assert_uint_eq (wc_answer_store_get_bytes (store), 0);
  wc_answer_store_delete (store);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, test_parts, 0, 10);
  tcase_add_test (tests, test_incomplete_answer);
  tcase_add_test (tests, test_unknown_and_duplicate_ids);
  tcase_add_test (tests, test_too_large);
  tcase_add_test (tests, test_byte_limit);
  tcase_add_test (tests, test_count_limit);
  tcase_add_test (tests, test_expiry_order);
}

int
main (void)
{
  return wc_test_run ("answer_store", add_tests);
}
