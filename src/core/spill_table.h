#ifndef WC_CORE_PASSED_TABLE_H
#define WC_CORE_PASSED_TABLE_H

#include <stdint.h>

enum
{
  WC_PASSED_TABLE_ENTRIES = 1024
};

/** struct WcPassedTable - domains to which requests were passed on lately; a newer entry may replace an older one. */
typedef struct
{
  struct
  {
    uint64_t request_id;
    uint64_t expiry_us;
    uint32_t domain;
  } entries[WC_PASSED_TABLE_ENTRIES];
} WcPassedTable;

void wc_passed_table_add (WcPassedTable *table, uint64_t now_us, uint64_t request_id, uint32_t domain);

/** wc_passed_table_find() - domain that got the request, 0 when it was not passed on or is forgotten. */
uint32_t wc_passed_table_find (const WcPassedTable *table, uint64_t now_us, uint64_t request_id);

#endif
