#include <wigeoncart/event_ring.h>

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "test_main.h"

static void
add_value (WcEventRing *ring, uint64_t value)
{
  WcEvent event = { .kind = WC_EVENT_QUEUED, .value = value };

  wc_event_ring_add (ring, &event);
}

/* Guards against kinds of events without a text. */
START_TEST (test_strings)
{
  for (int kind = 0; kind < WC_EVENT_COUNT; kind++)
    ck_assert_ptr_nonnull (WC_EVENT_STRINGS[kind]);
  ck_assert_str_eq (WC_EVENT_STRINGS[WC_EVENT_LIFECYCLE], "lifecycle");
}
END_TEST

/* Guards against fields of an event that are lost between add and copy. The ring sets @logical to its own Lamport time,
 * whatever the event has. */
START_TEST (test_fields)
{
  WcEventRing *ring = wc_event_ring_new (4);
  WcEvent      event = { .logical = 99,
                         .wall_us = 1,
                         .kind = WC_EVENT_LIFECYCLE,
                         .service = 2,
                         .target = 3,
                         .flow = 4,
                         .request_id = 5,
                         .value = 6,
                         .reason = "draining" };
  WcEvent      copy;

  wc_event_ring_add (ring, &event);
  ck_assert_uint_eq (wc_event_ring_copy (ring, &copy, 1), 1);
  ck_assert_uint_eq (copy.logical, 1);
  ck_assert_uint_eq (copy.wall_us, 1);
  ck_assert_int_eq (copy.kind, WC_EVENT_LIFECYCLE);
  ck_assert_uint_eq (copy.service, 2);
  ck_assert_uint_eq (copy.target, 3);
  ck_assert_uint_eq (copy.flow, 4);
  ck_assert_uint_eq (copy.request_id, 5);
  ck_assert_uint_eq (copy.value, 6);
  ck_assert_str_eq (copy.reason, "draining");
  wc_event_ring_delete (ring);
}
END_TEST

/* Guards against events that are copied out of order or twice from a ring that is empty, partly filled, full or
 * overwritten. */
START_TEST (test_wrap)
{
  WcEventRing *ring = wc_event_ring_new (5); /* rounded up to 8 */
  WcEvent      events[16];
  size_t       expected = _i < 8 ? (size_t)_i : 8;

  for (int i = 0; i < _i; i++)
    add_value (ring, (uint64_t)i);
  ck_assert_uint_eq (wc_event_ring_copy (ring, events, 16), expected);
  for (size_t i = 0; i < expected; i++)
    ck_assert_uint_eq (events[i].value, (size_t)_i - expected + i);
  wc_event_ring_delete (ring);
}
END_TEST

/* Guards against copying the oldest events instead of the newest when the copy is shorter than the ring. */
START_TEST (test_short_copy)
{
  WcEventRing *ring = wc_event_ring_new (8);
  WcEvent      events[3];

  ck_assert_uint_eq (wc_event_ring_copy (ring, events, 3), 0);
  for (uint64_t value = 0; value < 20; value++)
    add_value (ring, value);
  ck_assert_uint_eq (wc_event_ring_copy (ring, NULL, 0), 0);
  ck_assert_uint_eq (wc_event_ring_copy (ring, events, 3), 3);
  ck_assert_uint_eq (events[0].value, 17);
  ck_assert_uint_eq (events[2].value, 19);
  wc_event_ring_delete (ring);
}
END_TEST

/* Guards against a merged timeline in which an event precedes its cause. */
START_TEST (test_logical)
{
  WcEventRing *ring = wc_event_ring_new (0); /* rounded up to 1 */
  WcEvent      event;

  ck_assert_uint_eq (wc_event_ring_get_logical (ring), 0);
  add_value (ring, 0);
  ck_assert_uint_eq (wc_event_ring_get_logical (ring), 1);
  wc_event_ring_observe (ring, 40);
  ck_assert_uint_eq (wc_event_ring_get_logical (ring), 40);
  wc_event_ring_observe (ring, 12);
  add_value (ring, 7);
  ck_assert_uint_eq (wc_event_ring_copy (ring, &event, 1), 1);
  ck_assert_uint_eq (event.logical, 41);
  ck_assert_uint_eq (event.value, 7);
  wc_event_ring_delete (ring);
}
END_TEST

enum
{
  CONCURRENT_EVENTS = 200000,
  READERS = 2
};

typedef struct
{
  WcEventRing *ring;
  _Atomic bool done;
} Shared;

/* @observes: the thread advances the Lamport clock while the writer adds events. */
typedef struct
{
  Shared       *shared;
  bool          observes;
  unsigned long copied;
  unsigned long errors;
} Reader;

static void *
run_writer (void *data)
{
  Shared *shared = data;

  for (uint64_t value = 1; value <= CONCURRENT_EVENTS; value++)
    {
      WcEvent event = { .kind = (WcEventKind)(value % WC_EVENT_COUNT),
                        .wall_us = value,
                        .flow = value * 3,
                        .request_id = ~value,
                        .value = value };

      wc_event_ring_add (shared->ring, &event);
    }
  atomic_store (&shared->done, true);
  return NULL;
}

static void *
run_reader (void *data)
{
  Reader *reader = data;
  WcEvent events[16];
  bool    done;

  do
    {
      size_t   count;
      uint64_t last = 0;
      uint64_t last_logical = 0;

      done = atomic_load (&reader->shared->done);
      if (reader->observes)
        wc_event_ring_observe (reader->shared->ring, wc_event_ring_get_logical (reader->shared->ring) + 1);
      count = wc_event_ring_copy (reader->shared->ring, events, 16);
      for (size_t i = 0; i < count; i++)
        {
          uint64_t value = events[i].value;

          if (value <= last || events[i].wall_us != value || events[i].flow != value * 3 ||
              events[i].request_id != ~value || events[i].kind != value % WC_EVENT_COUNT)
            reader->errors++;
          if (reader->observes ? events[i].logical <= last_logical : events[i].logical != value)
            reader->errors++;
          last = value;
          last_logical = events[i].logical;
        }
      reader->copied += count;
    }
  while (!done);
  return NULL;
}

/*
 * Guards against copies that mix, repeat or reorder events while the writer overwrites entries that are being read, and
 * against a Lamport clock that decreases when several threads advance it at the same time.
 */
START_TEST (test_concurrent)
{
  Shared    shared = { .ring = wc_event_ring_new (8) };
  Reader    readers[READERS] = { 0 };
  pthread_t threads[READERS];
  pthread_t writer;

  for (int i = 0; i < READERS; i++)
    {
      readers[i].shared = &shared;
      readers[i].observes = _i == 1;
      ck_assert_int_eq (pthread_create (&threads[i], NULL, run_reader, &readers[i]), 0);
    }
  ck_assert_int_eq (pthread_create (&writer, NULL, run_writer, &shared), 0);
  pthread_join (writer, NULL);
  for (int i = 0; i < READERS; i++)
    {
      pthread_join (threads[i], NULL);
      ck_assert_uint_eq (readers[i].errors, 0);
      /* The last copy is made after the last event, so that nothing overwrites it. */
      ck_assert_uint_ge (readers[i].copied, 8);
    }
  wc_event_ring_delete (shared.ring);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_strings);
  tcase_add_test (tests, test_fields);
  tcase_add_loop_test (tests, test_wrap, 0, 30);
  tcase_add_test (tests, test_short_copy);
  tcase_add_test (tests, test_logical);
  tcase_add_loop_test (tests, test_concurrent, 0, 2);
}

int
main (void)
{
  return wc_test_run ("event_ring", add_tests);
}
