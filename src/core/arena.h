#ifndef WIGEONCART_CORE_ARENA_H
#define WIGEONCART_CORE_ARENA_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct WcArena - bump allocator over a buffer of the caller.
 *
 * Allocations live until the arena is reset or its buffer ends; freeing one does nothing. @allocator refers to the
 * arena, so a copy of the struct must be initialised again.
 */
typedef struct
{
  uint8_t           *buffer;
  size_t             capacity_bytes;
  size_t             used_bytes;
  ProtobufCAllocator allocator;
} WcArena;

void wc_arena_init (WcArena *arena, void *buffer, size_t capacity_bytes);

/** wc_arena_alloc() - memory aligned for any type; NULL when the buffer is exhausted, which leaves it unchanged. */
void *wc_arena_alloc (WcArena *arena, size_t size_bytes);

/** wc_arena_reset() - reuse the buffer; all earlier allocations end. */
void wc_arena_reset (WcArena *arena);

/** wc_arena_get_allocator() - interface for protobuf-c, valid as long as the arena. */
ProtobufCAllocator *wc_arena_get_allocator (WcArena *arena);

#endif
