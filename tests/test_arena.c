#include "core/arena.h"

#include <stddef.h>
#include <string.h>

#include "test_main.h"
#include "wigeoncart.pb-c.h"

/* Guards against misaligned allocations from a misaligned buffer. */
START_TEST (test_alignment)
{
  uint8_t buffer[256];
  WcArena arena;

  wc_arena_init (&arena, buffer + _i, sizeof buffer - (size_t)_i);
  for (size_t size = 0; size < 6; size++)
    {
      uint8_t *memory = wc_arena_alloc (&arena, size);

      ck_assert_ptr_nonnull (memory);
      ck_assert_uint_eq ((uintptr_t)memory % _Alignof(max_align_t), 0);
      ck_assert (memory + size <= buffer + sizeof buffer);
      memset (memory, 0xff, size);
    }
}
END_TEST

/* Guards against allocations beyond the buffer, including sizes that overflow when added to the offset. */
START_TEST (test_exhausted)
{
  _Alignas(max_align_t) uint8_t buffer[64];
  WcArena                       arena;

  wc_arena_init (&arena, buffer, sizeof buffer);
  ck_assert_ptr_null (wc_arena_alloc (&arena, sizeof buffer + 1));
  ck_assert_ptr_null (wc_arena_alloc (&arena, SIZE_MAX));
  ck_assert_ptr_eq (wc_arena_alloc (&arena, 1), buffer);
  ck_assert_ptr_null (wc_arena_alloc (&arena, SIZE_MAX - 15));
  ck_assert_ptr_null (wc_arena_alloc (&arena, 49));
  ck_assert_ptr_eq (wc_arena_alloc (&arena, 48), buffer + 16);
  ck_assert_ptr_null (wc_arena_alloc (&arena, 1));
  wc_arena_reset (&arena);
  ck_assert_ptr_eq (wc_arena_alloc (&arena, 64), buffer);
}
END_TEST

/* Guards against a crash of an arena without a buffer. */
START_TEST (test_no_buffer)
{
  WcArena arena;

  wc_arena_init (&arena, NULL, 0);
  ck_assert_ptr_null (wc_arena_alloc (&arena, 1));
}
END_TEST

/* Guards against unpacked messages whose strings, bytes or sub-messages point outside the arena. */
START_TEST (test_unpack)
{
  Wc__CallerPacket  packet = WC__CALLER_PACKET__INIT;
  Wc__AnswerRef     answer = WC__ANSWER_REF__INIT;
  Wc__CallerPacket *unpacked;
  uint8_t           data[256];
  uint8_t           buffer[1024];
  WcArena           arena;
  size_t            size_bytes;

  answer.answer = 77;
  packet.path = "/stock";
  packet.body.data = (uint8_t *)"abc";
  packet.body.len = 3;
  packet.answer = &answer;
  size_bytes = wc__caller_packet__pack (&packet, data);
  wc_arena_init (&arena, buffer, sizeof buffer);
  unpacked = wc__caller_packet__unpack (wc_arena_get_allocator (&arena), size_bytes, data);
  ck_assert_ptr_nonnull (unpacked);
  ck_assert_str_eq (unpacked->path, "/stock");
  ck_assert_mem_eq (unpacked->body.data, "abc", 3);
  ck_assert_uint_eq (unpacked->answer->answer, 77);
  ck_assert (unpacked->body.data >= buffer && unpacked->body.data + 3 <= buffer + sizeof buffer);
}
END_TEST

/* Guards against a crash in protobuf-c when the arena is exhausted at any point during unpacking. */
START_TEST (test_unpack_exhausted)
{
  Wc__CallerPacket packet = WC__CALLER_PACKET__INIT;
  Wc__AnswerRef    answer = WC__ANSWER_REF__INIT;
  uint8_t          data[256];
  uint8_t          buffer[1024];
  size_t           size_bytes;
  size_t           failures = 0;

  packet.method = "GET";
  packet.path = "/stock";
  packet.body.data = (uint8_t *)"abc";
  packet.body.len = 3;
  packet.answer = &answer;
  size_bytes = wc__caller_packet__pack (&packet, data);
  /* An unknown field, for which protobuf-c allocates memory as well. */
  data[size_bytes++] = 0xf8;
  data[size_bytes++] = 0x07;
  data[size_bytes++] = 0x01;
  for (size_t capacity = 0; capacity <= sizeof buffer; capacity++)
    {
      WcArena arena;

      wc_arena_init (&arena, buffer, capacity);
      if (!wc__caller_packet__unpack (wc_arena_get_allocator (&arena), size_bytes, data))
        failures++;
    }
  ck_assert_uint_gt (failures, sizeof packet);
  ck_assert_uint_lt (failures, sizeof buffer);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, test_alignment, 0, 17);
  tcase_add_test (tests, test_exhausted);
  tcase_add_test (tests, test_no_buffer);
  tcase_add_test (tests, test_unpack);
  tcase_add_test (tests, test_unpack_exhausted);
}

int
main (void)
{
  return wc_test_run ("arena", add_tests);
}
