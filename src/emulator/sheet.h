#ifndef WC_EMULATOR_SHEET_H
#define WC_EMULATOR_SHEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** wc_sheet_fill() - content of a large answer; every byte depends on its place, on the length and on @tag. */
void wc_sheet_fill (uint8_t *data, size_t size_bytes, uint64_t tag);

/** wc_sheet_check() - whether the bytes are those of wc_sheet_fill(). */
bool wc_sheet_check (const uint8_t *data, size_t size_bytes, uint64_t tag);

#endif
