#ifndef WC_CORE_TEXT_DELTA_H
#define WC_CORE_TEXT_DELTA_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Delta between two JSON texts, which peers send in place of a full head or part. It is a sequence of records. A record
 * has three 32-bit little-endian numbers (offset and length of a range to copy from the base, length of the literal
 * bytes), then the literal bytes.
 */

/** wc_text_delta_make() - compute the delta from @base to @target. Return: NULL when the delta would
 * take at least half the bytes of @target, or a text is longer than UINT32_MAX bytes. */
GBytes *wc_text_delta_make (const void *base, size_t base_bytes, const void *target, size_t target_bytes);

/** wc_text_delta_apply() - apply a delta to its base. Return: the target; NULL when the delta is malformed or the
 * target would be longer than @max_bytes. The caller has to check the digest of the target. */
GBytes *
wc_text_delta_apply (const void *base, size_t base_bytes, const void *delta, size_t delta_bytes, size_t max_bytes);

#endif
