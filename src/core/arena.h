#ifndef WIGEONCART_CORE_ARENA_H
#define WIGEONCART_CORE_ARENA_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct WcArena - bump allocator over a buffer provided by the caller.
 *
 * Allocations are valid until the arena is reset or its buffer goes out of scope; freeing one is a no-op. @allocator
 * points to the arena itself, so a copied WcArena must be initialised again.
 */
typedef struct
{
  uint8_t           *buffer;
  size_t             capacity_bytes;
  size_t             used_bytes;
  ProtobufCAllocator allocator;
} WcArena;

void wc_arena_init (WcArena *arena, void *buffer, size_t capacity_bytes);

/** wc_arena_alloc() - memory aligned for any type; NULL, with the arena unchanged, when the buffer is exhausted. */
void *wc_arena_alloc (WcArena *arena, size_t size_bytes);

/** wc_arena_reset() - invalidate all allocations and reuse the buffer. */
void wc_arena_reset (WcArena *arena);

/** wc_arena_get_allocator() - allocator for protobuf-c, valid as long as the arena. */
ProtobufCAllocator *wc_arena_get_allocator (WcArena *arena);

#endif
