#include "core/arena.h"

#include <assert.h>

static void *allocate (void *allocator_data, size_t size_bytes);
static void  release (void *allocator_data, void *pointer);

void
wc_arena_init (WcArena *arena, void *buffer, size_t capacity_bytes)
{
  assert (arena != NULL);
  assert (buffer != NULL || capacity_bytes == 0);

  arena->buffer = buffer;
  arena->capacity_bytes = capacity_bytes;
  arena->used_bytes = 0;
  arena->allocator.alloc = allocate;
  arena->allocator.free = release;
  arena->allocator.allocator_data = arena;
}

void *
wc_arena_alloc (WcArena *arena, size_t size_bytes)
{
  size_t padding;
  size_t available;

  assert (arena != NULL);

  /* Aligns the address instead of the offset, because the buffer itself may be misaligned. */
  padding = -(uintptr_t)(arena->buffer + arena->used_bytes) % _Alignof(max_align_t);
  available = arena->capacity_bytes - arena->used_bytes;
  if (padding > available || size_bytes > available - padding)
    return NULL;
  arena->used_bytes += padding + size_bytes;
  return arena->buffer + (arena->used_bytes - size_bytes);
}

void
wc_arena_reset (WcArena *arena)
{
  assert (arena != NULL);

  arena->used_bytes = 0;
}

ProtobufCAllocator *
wc_arena_get_allocator (WcArena *arena)
{
  assert (arena != NULL);

  return &arena->allocator;
}

/* local functions */

static void *
allocate (void *allocator_data, size_t size_bytes)
{
  return wc_arena_alloc (allocator_data, size_bytes);
}

static void
release (void *allocator_data, void *pointer)
{
  (void)allocator_data;
  (void)pointer;
}
