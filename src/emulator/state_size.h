#ifndef WC_EMULATOR_STATE_SIZE_H
#define WC_EMULATOR_STATE_SIZE_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct WcStateSize - heap memory of one kind of state of a worker, as the allocator counts it.
 * @empty_bytes: of an empty table of @count entries.
 * @full_bytes: of the same table when it is full.
 */
typedef struct
{
  uint32_t count;
  size_t   empty_bytes;
  size_t   full_bytes;
} WcStateSize;

/* Each builds a table, fills it, reads the allocator's counts and frees it again. Not thread-safe. */
void wc_state_size_tickets (uint32_t count, WcStateSize *size);
void wc_state_size_waiters (uint32_t count, WcStateSize *size);

/** wc_state_size_requests() - requests that wait for a slot: the table of a worker and the queue of a dispatcher. */
void wc_state_size_requests (uint32_t count, WcStateSize *size);

/** wc_state_size_connections() - connections to targets while they are set up, without memory of the kernel. */
void wc_state_size_connections (uint32_t count, WcStateSize *size);

/** wc_state_size_answers() - @answer_bytes: length of each held answer. */
void wc_state_size_answers (uint32_t count, size_t answer_bytes, WcStateSize *size);

#endif
