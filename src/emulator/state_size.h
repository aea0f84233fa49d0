#ifndef WC_EMULATOR_STATE_SIZE_H
#define WC_EMULATOR_STATE_SIZE_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct WcStateSize - heap memory of one kind of worker state, as counted by the allocator.
 * @count: capacity of the table.
 * @empty_bytes: memory of the empty table.
 * @full_bytes: memory of the same table when it is full.
 */
typedef struct
{
  uint32_t count;
  size_t   empty_bytes;
  size_t   full_bytes;
} WcStateSize;

/* Each function creates a table, fills it, reads the allocator's counters and deletes it. Not thread-safe. */
void wc_state_size_tickets (uint32_t count, WcStateSize *size);
void wc_state_size_waiters (uint32_t count, WcStateSize *size);

/** wc_state_size_requests() - requests that wait for a slot: a worker's request table and a dispatcher's queue. */
void wc_state_size_requests (uint32_t count, WcStateSize *size);

/** wc_state_size_connections() - connections to targets while they are being established, without kernel memory. */
void wc_state_size_connections (uint32_t count, WcStateSize *size);

/** wc_state_size_answers() - @answer_bytes: length of each stored answer. */
void wc_state_size_answers (uint32_t count, size_t answer_bytes, WcStateSize *size);

#endif
