#ifndef WC_TESTS_FUZZ_ORACLE_H
#define WC_TESTS_FUZZ_ORACLE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/client.h>

enum
{
  ORACLE_INSTANCES_MAX = 8,
  ORACLE_HOSTS_MAX = 32,
  ORACLE_GRACE_US = 5 * 1000 * 1000
};

/** enum OracleCallKind - kind of a call. */
typedef enum
{
  ORACLE_REQUEST = 0,
  ORACLE_ORDER
} OracleCallKind;

/** enum OracleInvariant - the invariants checked, named as in section 2 of the design page. */
typedef enum
{
  ORACLE_SESSION_SURVIVES = 0,
  ORACLE_SERVICE_SEPARATION,
  ORACLE_WHOLE_ANSWER,
  ORACLE_NOT_RUN_IS_TRUE,
  ORACLE_AT_MOST_ONCE,
  ORACLE_LEAVING_GETS_NO_WORK,
  ORACLE_GRACEFUL_STOP,
  ORACLE_CONFIG_NEVER_REVERTS,
  ORACLE_INVARIANT_COUNT
} OracleInvariant;

extern const char *const ORACLE_INVARIANT_STRINGS[ORACLE_INVARIANT_COUNT];

/** oracle_checks - number of checks of each invariant in this process. */
extern uint64_t oracle_checks[ORACLE_INVARIANT_COUNT];

/** oracle_fail - callback that reports a violated invariant and does not return. Set by the program. */
extern void (*oracle_fail) (OracleInvariant invariant, const char *text);

/**
 * struct Oracle - reference model that checks the invariants against what callers and targets observe.
 *
 * A call is identified by its number, which the caller writes into the path and the target reads from it. The model
 * does not depend on owners, tokens or tickets.
 */
typedef struct Oracle Oracle;

/** oracle_new() - @strict: only planned changes happen in this input, so every call must succeed. */
Oracle *oracle_new (bool strict);
void    oracle_delete (Oracle *oracle);

/* Calls. The content of an answer is determined by the call number and the number of the run. */
void oracle_call_sent (Oracle *oracle, uint32_t number, OracleCallKind kind, uint32_t service);
/** oracle_call_run() - a target runs a call on @host; Return: the answer, owned by the caller. */
char *
oracle_call_run (Oracle *oracle, uint64_t now_us, uint32_t number, uint32_t service, uint32_t host, size_t size_bytes);
/** oracle_call_ended() - a call ended; checks the result and the answer that the caller received. */
void oracle_call_ended (Oracle *oracle, uint64_t now_us, uint32_t number, WcClientResult result, const uint8_t *data,
                        size_t size_bytes);
/** oracle_expect_success() - require that this call succeeds even if the input is not strict. */
void oracle_expect_success (Oracle *oracle, uint32_t number);

/* Event streams. The text of event n of a service is "<service>:<n>\n". */
char *oracle_format_events (uint32_t service, uint64_t after, uint64_t last);
void  oracle_stream_events (Oracle *oracle, uint32_t service, uint64_t before, uint64_t cursor, const uint8_t *data,
                            size_t size_bytes);
void  oracle_stream_refused (Oracle *oracle, const char *reason);
/** oracle_check_stream() - check after the repair that a stream's @cursor has reached the last event. */
void oracle_check_stream (Oracle *oracle, uint64_t cursor, uint64_t last);

/* Configuration. */
/** oracle_config_published() - the register was published; @leaving_hosts: bit mask of the hosts that are leaving. */
void oracle_config_published (Oracle *oracle, uint64_t now_us, uint64_t revision, uint32_t leaving_hosts);
/**
 * oracle_config_overwritten() - a malformed register replaced the published one.
 *
 * An instance that has not read the previous revision yet can no longer read it from the platform. A revision that any
 * instance accepted must still come into force on all instances.
 */
void oracle_config_overwritten (Oracle *oracle);
/** oracle_reachability_changed() - @all_reachable: no partition exists, and the platform is up and current. */
void oracle_reachability_changed (Oracle *oracle, uint64_t now_us, bool all_reachable);
/** oracle_instance_started() - a process started, or continues after a pause if @resumed. */
void oracle_instance_started (Oracle *oracle, uint64_t now_us, uint32_t instance, uint32_t domain, bool resumed);
void oracle_instance_ended (Oracle *oracle, uint32_t instance);
/** oracle_instance_state() - check the configuration in force on an instance; @serving: it serves callers. */
void oracle_instance_state (Oracle *oracle, uint64_t now_us, uint32_t instance, bool serving, uint64_t revision,
                            uint64_t digest);
/** oracle_check_config() - check that the published revision, and one configuration, is in force on all instances. */
void oracle_check_config (Oracle *oracle, uint64_t now_us);

/* Planned stops. */
void oracle_stop_requested (Oracle *oracle, uint64_t now_us);
void oracle_stopped (Oracle *oracle, uint32_t instance, uint32_t runs_in_progress);

#endif
