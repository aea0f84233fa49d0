#ifndef WC_EMULATOR_RUN_LOG_H
#define WC_EMULATOR_RUN_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

/** enum WcRunEvent - event of a run, which is the processing of a request by a target. */
typedef enum
{
  WC_RUN_STARTED = 0,
  WC_RUN_COMPLETED,
  /* Stopped because the connection closed. */
  WC_RUN_CANCELLED,
  /* Stopped when its deadline expired. */
  WC_RUN_EXPIRED,
  WC_RUN_EVENT_COUNT
} WcRunEvent;

extern const char *const WC_RUN_EVENT_STRINGS[WC_RUN_EVENT_COUNT];

/** struct WcRunLog - run events by request identifier, to be compared with the results that callers received. */
typedef struct WcRunLog WcRunLog;

/** wc_run_log_new() - @max_entries: maximum number of identifiers; events of further ones are only counted. */
WcRunLog *wc_run_log_new (uint32_t max_entries);
void      wc_run_log_delete (WcRunLog *log);

/** wc_run_log_add() - count an event. @is_order: the request is not idempotent. */
void wc_run_log_add (WcRunLog *log, const char *request_id, const char *service, bool is_order, WcRunEvent event);

/**
 * wc_run_log_to_json() - {"<request id>": {"service": ..., "started": n, "completed": n, ...}}
 * @all: include idempotent requests; otherwise only orders.
 */
struct json_object *wc_run_log_to_json (const WcRunLog *log, bool all);

/** wc_run_log_count_repeated() - number of orders that started more than once. */
uint64_t wc_run_log_count_repeated (const WcRunLog *log);

/** wc_run_log_get_dropped() - number of events not recorded because the log had its maximum of identifiers. */
uint64_t wc_run_log_get_dropped (const WcRunLog *log);

#endif
