#include "core/spill_table.h"

#include <assert.h>
#include <stddef.h>

#include "core/mix.h"

enum
{
  /* A caller's first retransmission and most cancellations arrive within this time. */
  ENTRY_LIFETIME_US = 5 * 1000 * 1000
};

void
wc_spill_table_add (WcSpillTable *table, uint64_t now_us, uint64_t request_id, uint32_t domain)
{
  size_t index = wc_mix64 (request_id) % WC_SPILL_TABLE_ENTRIES;

  assert (table != NULL);

  table->entries[index].request_id = request_id;
  table->entries[index].expiry_us = now_us + ENTRY_LIFETIME_US;
  table->entries[index].domain = domain;
}

uint32_t
wc_spill_table_find (const WcSpillTable *table, uint64_t now_us, uint64_t request_id)
{
  size_t index = wc_mix64 (request_id) % WC_SPILL_TABLE_ENTRIES;

  assert (table != NULL);

  if (table->entries[index].request_id != request_id || now_us >= table->entries[index].expiry_us)
    return 0;
  return table->entries[index].domain;
}
