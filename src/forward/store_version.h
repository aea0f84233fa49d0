#ifndef WC_FORWARD_STORE_VERSION_H
#define WC_FORWARD_STORE_VERSION_H

#include <stdint.h>

/**
 * struct WcStoreVersion - position in the history of the store.
 * @era: number of the history. It increases when the store is restored from an older copy, which loses the latest
 * writes and gives their revisions out again.
 * @revision: number of the last change within the history; 0 for none.
 */
typedef struct
{
  uint64_t era;
  uint64_t revision;
} WcStoreVersion;

/** wc_store_version_compare() - Return: negative, 0 or positive when @a is older than, equal to or newer than @b. */
static inline int
wc_store_version_compare (WcStoreVersion a, WcStoreVersion b)
{
  if (a.era != b.era)
    return a.era < b.era ? -1 : 1;
  return (a.revision > b.revision) - (a.revision < b.revision);
}

#endif
