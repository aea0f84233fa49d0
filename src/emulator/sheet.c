#include "emulator/sheet.h"

#include <assert.h>

static uint8_t content_byte (size_t offset, size_t size_bytes, uint64_t tag);

void
wc_sheet_fill (uint8_t *data, size_t size_bytes, uint64_t tag)
{
  assert (data != NULL || size_bytes == 0);

  for (size_t i = 0; i < size_bytes; i++)
    data[i] = content_byte (i, size_bytes, tag);
}

bool
wc_sheet_check (const uint8_t *data, size_t size_bytes, uint64_t tag)
{
  assert (data != NULL || size_bytes == 0);

  for (size_t i = 0; i < size_bytes; i++)
    if (data[i] != content_byte (i, size_bytes, tag))
      return false;
  return true;
}

/* local functions */

/* Printable characters. The division makes the content differ between datagrams, so that swapped parts are detected. */
static uint8_t
content_byte (size_t offset, size_t size_bytes, uint64_t tag)
{
  return (uint8_t)(33 + (offset * 31 + offset / 97 + size_bytes * 7 + tag) % 90);
}
