#include "core/request_queue.h"

#include "test_main.h"

enum
{
  CAPACITY = 32
};

typedef struct
{
  WcDispatchRequest request;
  uint64_t          start_deadline_us;
} Entry;

static Entry  entries[CAPACITY];
static size_t length;

/* Whether @a comes before @b in @order, where @a arrived first. */
static bool
precedes (const Entry *a, const Entry *b, WcQueueOrder order)
{
  switch (order)
    {
    case WC_QUEUE_HIGHEST_PRIORITY:
      if (a->request.worth != b->request.worth)
        return a->request.worth > b->request.worth;
      return a->request.deadline_us <= b->request.deadline_us;
    case WC_QUEUE_LOWEST_PRIORITY:
      if (a->request.worth != b->request.worth)
        return a->request.worth < b->request.worth;
      return a->request.deadline_us > b->request.deadline_us;
    case WC_QUEUE_START_DEADLINE:
      return a->start_deadline_us <= b->start_deadline_us;
    default:
      return true;
    }
}

/* Index of the first entry in @order; @entries is in order of arrival. */
static size_t
find_first (WcQueueOrder order)
{
  size_t first = 0;

  for (size_t i = 1; i < length; i++)
    if (!precedes (&entries[first], &entries[i], order))
      first = i;
  return first;
}

static void
drop (size_t index)
{
  length--;
  for (size_t i = index; i < length; i++)
    entries[i] = entries[i + 1];
}

static void
check_all (const WcRequestQueue *queue)
{
  uint64_t start_us = UINT64_MAX;

  ck_assert_uint_eq (wc_request_queue_get_length (queue), length);
  for (int order = 0; order < WC_QUEUE_ORDER_COUNT; order++)
    if (length == 0)
      ck_assert_ptr_null (wc_request_queue_peek (queue, order));
    else
      ck_assert_uint_eq (wc_request_queue_peek (queue, order)->request, entries[find_first (order)].request.request);
  if (length > 0)
    start_us = entries[find_first (WC_QUEUE_START_DEADLINE)].start_deadline_us;
  ck_assert_uint_eq (wc_request_queue_get_earliest_start_deadline (queue), start_us);
}

/* Compares the queue with a plain list over random operations, in all orders; guards against inconsistent heaps. */
START_TEST (test_against_model)
{
  GRand          *random = g_rand_new_with_seed ((guint32)_i + 1);
  WcRequestQueue *queue = wc_request_queue_new (CAPACITY);
  uint64_t        next_request = 1;

  length = 0;
  for (int step = 0; step < 5000; step++)
    {
      gint32 action = g_rand_int_range (random, 0, 10);

      if (action < 5)
        {
          Entry entry = { .request = { .request = next_request++,
                                       .worth = (uint32_t)g_rand_int_range (random, 0, 4),
                                       .deadline_us = (uint64_t)g_rand_int_range (random, 0, 10) },
                          .start_deadline_us = (uint64_t)g_rand_int_range (random, 0, 10) };
          bool  pushed = wc_request_queue_push (queue, &entry.request, entry.start_deadline_us);

          ck_assert (pushed == (length < CAPACITY));
          if (pushed)
            entries[length++] = entry;
        }
      else if (length == 0)
        ck_assert (!wc_request_queue_remove (queue, next_request));
      else if (action < 7)
        {
          size_t index = (size_t)g_rand_int_range (random, 0, (gint32)length);

          ck_assert (wc_request_queue_remove (queue, entries[index].request.request));
          ck_assert (!wc_request_queue_remove (queue, entries[index].request.request));
          drop (index);
        }
      else
        {
          WcQueueOrder order = (WcQueueOrder)g_rand_int_range (random, 0, WC_QUEUE_ORDER_COUNT);

          drop (find_first (order));
          wc_request_queue_pop (queue, order);
        }
      check_all (queue);
    }
  wc_request_queue_delete (queue);
  g_rand_free (random);
}
END_TEST

/* Guards against counting requests of lower worth as ahead of a new one. */
START_TEST (test_count_ahead)
{
  WcRequestQueue *queue = wc_request_queue_new (CAPACITY);

  for (uint64_t i = 1; i <= 10; i++)
    wc_request_queue_push (queue, &(WcDispatchRequest){ .request = i, .worth = i <= 4 ? 1 : 8 }, 0);
  ck_assert_uint_eq (wc_request_queue_count_ahead (queue, 0), 10);
  ck_assert_uint_eq (wc_request_queue_count_ahead (queue, 1), 10);
  ck_assert_uint_eq (wc_request_queue_count_ahead (queue, 2), 6);
  ck_assert_uint_eq (wc_request_queue_count_ahead (queue, 8), 6);
  ck_assert_uint_eq (wc_request_queue_count_ahead (queue, UINT32_MAX), 0);
  wc_request_queue_delete (queue);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("request_queue");

  tcase_add_loop_test (cases, test_against_model, 0, 5);
  tcase_add_test (cases, test_count_ahead);
  return wc_test_run_case ("request_queue", cases);
}
