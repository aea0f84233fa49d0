#ifndef WC_CORE_TEXT_DELTA_H
#define WC_CORE_TEXT_DELTA_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Difference between two JSON texts, as peers send it in place of a head or part. A sequence of records: three 32-bit
 * little-endian numbers (offset and length of a piece of the base, length of what follows), then bytes that are new.
 */

/** wc_text_delta_make() - Return: the difference; NULL when it is not under half as long as @target. */
GBytes *wc_text_delta_make (const void *base, size_t base_bytes, const void *target, size_t target_bytes);

/** wc_text_delta_apply() - Return: the target; NULL when malformed or longer than @max_bytes. The caller checks its
 * digest. */
GBytes *
wc_text_delta_apply (const void *base, size_t base_bytes, const void *delta, size_t delta_bytes, size_t max_bytes);

#endif
