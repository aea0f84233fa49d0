#ifndef WC_EDGE_STATUS_JSON_H
#define WC_EDGE_STATUS_JSON_H

#include <glib.h>

#include "core/control.h"
#include "edge/settings.h"
#include "edge/worker.h"

/**
 * wc_status_json() - status of an instance as JSON text; the caller frees it with g_free().
 * @names: names of the instances by 64-bit identifier.
 */
char *wc_status_json (const WcSettings *settings, const WcControl *control, GHashTable *names, uint64_t now_us,
                      WcWorker *const *workers, size_t worker_count);

#endif
