#ifndef WC_CORE_SPILL_TABLE_H
#define WC_CORE_SPILL_TABLE_H

#include <stdint.h>

enum
{
  WC_SPILL_TABLE_ENTRIES = 1024
};

/** struct WcSpillTable - direct-mapped cache of the domains to which recent requests were spilled; an entry overwrites
 * an older one with the same index. */
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

/** wc_spill_table_find() - domain to which a request was spilled; 0 when the table has no unexpired entry. */
uint32_t wc_spill_table_find (const WcSpillTable *table, uint64_t now_us, uint64_t request_id);

#endif
