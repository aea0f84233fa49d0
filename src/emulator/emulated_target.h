#ifndef WC_EMULATOR_EMULATED_TARGET_H
#define WC_EMULATOR_EMULATED_TARGET_H

#include <ev.h>
#include <glib.h>
#include <json-c/json.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "emulator/event_feed.h"
#include "emulator/run_log.h"
#include "emulator/run_time.h"

/**
 * struct WcTargetShared - state and settings shared by the targets of a process.
 * @feeds: WcEventFeed by service name.
 * @queue_max: maximum number of requests that wait for a slot; further ones are shed with status 503.
 * @max_connections: maximum number of open connections of one target.
 * @cold_factor: factor on the run time right after the start; falls linearly to 1 during the cold start.
 * @load_lag_ms: maximum age of the load that GET /load reports.
 * @feed_answer_max_bytes: maximum size of an answer to GET /events.
 */
typedef struct
{
  struct ev_loop *loop;
  GRand          *random;
  WcRunLog       *run_log;
  GHashTable     *feeds;
  WcRunTime       run_time;
  uint32_t        queue_max;
  uint32_t        max_connections;
  double          cold_factor;
  uint32_t        load_lag_ms;
  uint32_t        feed_answer_max_bytes;
} WcTargetShared;

/** struct WcTargetSpec - description of a target, as in the register. */
typedef struct
{
  const char *host;
  const char *service;
  WcAddress   address;
  uint32_t    slots;
  uint32_t    cold_start_ms;
} WcTargetSpec;

/**
 * struct WcTargetFaults - faults injected by a test; shares are between 0 and 1.
 * @load: number of running requests that X-Load and GET /load report, or -1 for the actual number.
 * @health: HTTP status of GET /health, or 0 for the actual one.
 * @refuse: share of requests refused with status 503.
 * @break_run: share of runs that complete but end with a closed connection instead of an answer.
 */
typedef struct
{
  int    load;
  int    health;
  double refuse;
  double break_run;
} WcTargetFaults;

/** struct WcEmulatedTarget - emulated target: an HTTP server for one service on one host. */
typedef struct WcEmulatedTarget WcEmulatedTarget;

/** wc_emulated_target_new() - start a target. Return: NULL with @error set when the address is in use. */
WcEmulatedTarget *wc_emulated_target_new (WcTargetShared *shared, const WcTargetSpec *spec, WcError *error);
void              wc_emulated_target_delete (WcEmulatedTarget *target);

const char *wc_emulated_target_get_host (const WcEmulatedTarget *target);
const char *wc_emulated_target_get_service (const WcEmulatedTarget *target);
void        wc_emulated_target_get_address (const WcEmulatedTarget *target, WcAddress *address);

/** wc_emulated_target_drain() - refuse new requests; those accepted before continue. */
void wc_emulated_target_drain (WcEmulatedTarget *target);

/**
 * wc_emulated_target_leave() - count requests that arrive from now on as new work after leaving, but serve them. For a
 * target that a rule removes, to which instances should send no further requests.
 */
void wc_emulated_target_leave (WcEmulatedTarget *target);

/** wc_emulated_target_undrain() - end drain and leave. */
void wc_emulated_target_undrain (WcEmulatedTarget *target);

/** wc_emulated_target_stop() - close the listener and all connections at once. */
void wc_emulated_target_stop (WcEmulatedTarget *target);

/** wc_emulated_target_start() - listen again after a stop, with a new cold start. */
WcStatus wc_emulated_target_start (WcEmulatedTarget *target, WcError *error);

/** wc_emulated_target_move() - serve another service, after closing all connections and with a new cold start. */
void wc_emulated_target_move (WcEmulatedTarget *target, const char *service);

void wc_emulated_target_get_faults (const WcEmulatedTarget *target, WcTargetFaults *faults);
void wc_emulated_target_set_faults (WcEmulatedTarget *target, const WcTargetFaults *faults);

/** wc_emulated_target_notify_events() - send new events of the target's service to the readers that wait for them. */
void wc_emulated_target_notify_events (WcEmulatedTarget *target);

/** wc_emulated_target_to_json() - state and counters for the statistics. */
struct json_object *wc_emulated_target_to_json (const WcEmulatedTarget *target);

#endif
