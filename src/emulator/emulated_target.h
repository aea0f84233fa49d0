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
 * struct WcTargetShared - what the targets of a process share.
 * @feeds: service name to WcEventFeed.
 * @queue_max: requests that may wait for a slot; further ones are shed with 503.
 * @max_connections: connections accepted by one target.
 * @cold_factor: run time right after the start, relative to the usual one; falls to 1 over the cold start.
 * @load_lag_ms: age of what GET /load tells, at most.
 * @feed_answer_max_bytes: longest answer of GET /events.
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

/** struct WcTargetSpec - a target as the register describes it. */
typedef struct
{
  const char *host;
  const char *service;
  WcAddress   address;
  uint32_t    slots;
  uint32_t    cold_start_ms;
} WcTargetSpec;

/**
 * struct WcTargetFaults - behaviour set by a test.
 * @load: what X-Load and GET /load claim to run, or -1 for the truth.
 * @health: status of GET /health, or 0 for the truth.
 * @refuse: share of requests refused with 503.
 * @break_run: share of runs that end with a closed connection.
 */
typedef struct
{
  int    load;
  int    health;
  double refuse;
  double break_run;
} WcTargetFaults;

/** struct WcEmulatedTarget - one service on one host. */
typedef struct WcEmulatedTarget WcEmulatedTarget;

/** wc_emulated_target_new() - Return: NULL with @error set when the address is in use. */
WcEmulatedTarget *wc_emulated_target_new (WcTargetShared *shared, const WcTargetSpec *plan, WcError *error);
void              wc_emulated_target_delete (WcEmulatedTarget *target);

const char *wc_emulated_target_get_host (const WcEmulatedTarget *target);
const char *wc_emulated_target_get_service (const WcEmulatedTarget *target);
void        wc_emulated_target_get_address (const WcEmulatedTarget *target, WcAddress *address);

/** wc_emulated_target_drain() - refuse new work; work in progress goes on. */
void wc_emulated_target_drain (WcEmulatedTarget *target);

/** wc_emulated_target_leave() - only count the work that arrives from now on, as for a target that a rule removes. */
void wc_emulated_target_leave (WcEmulatedTarget *target);

/** wc_emulated_target_undrain() - ends drain and leave. */
void wc_emulated_target_undrain (WcEmulatedTarget *target);

/** wc_emulated_target_stop() - close the listener and all connections at once. */
void wc_emulated_target_stop (WcEmulatedTarget *target);

/** wc_emulated_target_start() - listen again, cold. */
WcStatus wc_emulated_target_start (WcEmulatedTarget *target, WcError *error);

/** wc_emulated_target_move() - serve another service; closes all connections like a restart. */
void wc_emulated_target_move (WcEmulatedTarget *target, const char *service);

void wc_emulated_target_get_faults (const WcEmulatedTarget *target, WcTargetFaults *faults);
void wc_emulated_target_set_faults (WcEmulatedTarget *target, const WcTargetFaults *faults);

/** wc_emulated_target_notify_events() - there are new events of the target's service. */
void wc_emulated_target_notify_events (WcEmulatedTarget *target);

/** wc_emulated_target_to_json() - state and counts. */
struct json_object *wc_emulated_target_to_json (const WcEmulatedTarget *target);

#endif
