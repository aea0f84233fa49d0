#ifndef WC_EDGE_STORE_VIEW_H
#define WC_EDGE_STORE_VIEW_H

#include "edge/event_log.h"
#include "forward/forwarder.h"
#include "forward/store_change.h"

/**
 * struct WcStoreViewCounters - entries that could not be used, since the start.
 * @hosts_rejected: entries of hosts.
 * @routes_rejected: parts of configurations: routes, services of routes, rates of services.
 * @configs_rejected: whole configurations.
 */
typedef struct
{
  uint64_t hosts_rejected;
  uint64_t routes_rejected;
  uint64_t configs_rejected;
} WcStoreViewCounters;

/**
 * wc_store_view_apply() - decode a change of the store and apply it to the forwarder.
 *
 * A host whose entry cannot be decoded is removed. A configuration that cannot be decoded, or is older than the one in
 * force, is rejected, and the previous one stays in force. A domain is evacuated while its key is present. Other items
 * are ignored.
 */
void wc_store_view_apply (WcForwarder *forwarder, WcEventLog *log, const WcStoreChange *change, uint64_t now_us,
                          WcStoreViewCounters *counters);

/**
 * wc_store_view_compare() - order two values of a key by what their writer put into them: configurations by version,
 * entries of a host by its start and its own count of changes.
 *
 * Return: negative when @a is older than @b, positive when it is newer, 0 when they cannot be ordered.
 */
int wc_store_view_compare (const char *key, GBytes *a, GBytes *b);

#endif
