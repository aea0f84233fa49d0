#ifndef WC_EMULATOR_SHEET_H
#define WC_EMULATOR_SHEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** wc_sheet_fill() - generate the content of GET /sheet; each byte depends on its offset, the length and @tag. */
void wc_sheet_fill (uint8_t *data, size_t size_bytes, uint64_t tag);

/** wc_sheet_check() - whether the bytes equal those that wc_sheet_fill() generates. */
bool wc_sheet_check (const uint8_t *data, size_t size_bytes, uint64_t tag);

#endif
