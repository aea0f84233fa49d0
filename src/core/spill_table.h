#ifndef WC_CORE_SPILL_TABLE_H
#define WC_CORE_SPILL_TABLE_H

#include <stdint.h>

enum
{
  WC_SPILL_TABLE_ENTRIES = 1024
};

/** struct WcSpillTable - domains to which requests were passed on lately; a newer entry may replace an older one. */
typedef struct
{
  struct
  {
    uint64_t request_id;
    uint64_t expiry_us;
    uint32_t domain;
  } entries[WC_SPILL_TABLE_ENTRIES];
} WcSpillTable;

void wc_spill_table_add (WcSpillTable *table, uint64_t now_us, uint64_t request_id, uint32_t domain);

/** wc_spill_table_find() - domain that got the request, 0 when it was not passed on or is forgotten. */
uint32_t wc_spill_table_find (const WcSpillTable *table, uint64_t now_us, uint64_t request_id);

#endif
