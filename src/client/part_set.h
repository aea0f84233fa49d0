#ifndef WC_CLIENT_PART_SET_H
#define WC_CLIENT_PART_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct WcPartSet - reassembly buffer for an answer whose parts may arrive out of order, late or duplicated.
 * @received: number of parts received.
 * @data: buffer of @total_bytes for the answer; valid only where parts have been received.
 * @present: 1 for each part that has been received, otherwise 0.
 */
typedef struct
{
  uint32_t total_bytes;
  uint32_t part_count;
  uint32_t received;
  uint8_t *data;
  uint8_t *present;
} WcPartSet;

/** wc_part_set_new() - create an empty set. Return: NULL if @part_count does not match @total_bytes. */
WcPartSet *wc_part_set_new (uint32_t total_bytes, uint32_t part_count);
void       wc_part_set_delete (WcPartSet *set);

/**
 * wc_part_set_add() - store a part.
 *
 * Return: false if the part is a duplicate, is out of range or has a wrong size.
 */
bool wc_part_set_add (WcPartSet *set, uint32_t part, const void *data, size_t size_bytes);

bool wc_part_set_is_complete (const WcPartSet *set);

/**
 * wc_part_set_find_missing() - find the first contiguous range of missing parts at or after @from.
 * @max_count: maximum length of the range.
 * @first: set to the first part of the range.
 *
 * Return: length of the range; 0 if no part at or after @from is missing.
 */
uint32_t wc_part_set_find_missing (const WcPartSet *set, uint32_t from, uint32_t max_count, uint32_t *first);

#endif
