#ifndef WC_CLIENT_PART_SET_H
#define WC_CLIENT_PART_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct WcPartSet - reassembly of an answer whose parts arrive in any order, late or repeatedly. */
typedef struct
{
  uint32_t total_bytes;
  uint32_t part_count;
  uint32_t received;
  uint8_t *data;
  uint8_t *present;
} WcPartSet;

/** wc_part_set_new() - Return: NULL when the number of parts does not match the length. */
WcPartSet *wc_part_set_new (uint32_t total_bytes, uint32_t part_count);
void       wc_part_set_delete (WcPartSet *set);

/** wc_part_set_add() - Return: true when the part is new; false when it is a duplicate or has a wrong length. */
bool wc_part_set_add (WcPartSet *set, uint32_t part, const void *data, size_t size_bytes);

bool wc_part_set_is_complete (const WcPartSet *set);

/**
 * wc_part_set_find_missing() - first run of missing parts at or after @from.
 * @first: first missing part.
 * @max_count: longest run.
 *
 * Return: length of the run; 0 when no part is missing from there on.
 */
uint32_t wc_part_set_find_missing (const WcPartSet *set, uint32_t from, uint32_t max_count, uint32_t *first);

#endif
