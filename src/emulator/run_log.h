#ifndef WC_EMULATOR_RUN_LOG_H
#define WC_EMULATOR_RUN_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

/** enum WcRunEvent - what happened to a run. */
typedef enum
{
  WC_RUN_STARTED = 0,
  WC_RUN_COMPLETED,
  /* Stopped by a closed connection. */
  WC_RUN_CANCELLED,
  /* Stopped at its deadline. */
  WC_RUN_EXPIRED,
  WC_RUN_EVENT_COUNT
} WcRunEvent;

extern const char *const WC_RUN_EVENT_STRINGS[WC_RUN_EVENT_COUNT];

/** struct WcRunLog - runs by request identifier, for a checker that compares them with what callers were told. */
typedef struct WcRunLog WcRunLog;

/** wc_run_log_new() - @max_entries: further identifiers are only counted. */
WcRunLog *wc_run_log_new (uint32_t max_entries);
void      wc_run_log_delete (WcRunLog *log);

/** wc_run_log_add() - @is_order: the request is not idempotent. */
void wc_run_log_add (WcRunLog *log, const char *request_id, const char *service, bool is_order, WcRunEvent event);

/** wc_run_log_to_json() - {"<request id>": {"service": ..., "started": n, "completed": n, ...}}; orders only, or all.
 */
struct json_object *wc_run_log_to_json (const WcRunLog *log, bool all);

/** wc_run_log_count_repeated() - orders that started more than once. */
uint64_t wc_run_log_count_repeated (const WcRunLog *log);

/** wc_run_log_get_dropped() - events of identifiers beyond the limit. */
uint64_t wc_run_log_get_dropped (const WcRunLog *log);

#endif
