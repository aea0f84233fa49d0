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

/** enum OracleCallKind - what a caller asked for. */
typedef enum
{
  ORACLE_REQUEST = 0,
  ORACLE_ORDER
} OracleCallKind;

/** enum OracleInvariant - assertions, named as in section 2 of the design page. */
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

/** oracle_checks - how often each assertion was evaluated in this process. */
extern uint64_t oracle_checks[ORACLE_INVARIANT_COUNT];

/** oracle_fail - reports a violated invariant; does not return. Set by the program. */
extern void (*oracle_fail) (OracleInvariant invariant, const char *text);

/**
 * struct Oracle - record of what callers and targets saw.
 *
 * It works on call numbers, which callers put into the path and targets read there, and knows neither owners, tokens
 * nor tickets.
 *
 * @strict: only planned changes happen in this input, so every call has to succeed.
 */
typedef struct Oracle Oracle;

Oracle *oracle_new (bool strict);
void    oracle_delete (Oracle *oracle);

/* Calls. A body is determined by the call's number and the number of the run. */
void oracle_call_sent (Oracle *oracle, uint32_t number, OracleCallKind call, uint32_t service);
char *
oracle_call_run (Oracle *oracle, uint64_t now_us, uint32_t number, uint32_t service, uint32_t host, size_t size_bytes);
/** oracle_call_ended() - @result of a call as the caller was told; @may_fail: planned changes do not explain it. */
void oracle_call_ended (Oracle *oracle, uint64_t now_us, uint32_t number, WcClientResult result, const uint8_t *data,
                        size_t size_bytes);
/** oracle_expect_success() - from now on this call has to succeed even if the input is not strict. */
void oracle_expect_success (Oracle *oracle, uint32_t number);

/* Event streams: event n of a service has the text "<service>:<n>\n". */
char *oracle_format_events (uint32_t service, uint64_t after, uint64_t last);
void  oracle_stream_events (Oracle *oracle, uint32_t service, uint64_t before, uint64_t cursor, const uint8_t *data,
                            size_t size_bytes);
void  oracle_stream_refused (Oracle *oracle, const char *reason);
void  oracle_check_stream (Oracle *oracle, uint64_t cursor, uint64_t last);

/* Configuration. */
void oracle_config_published (Oracle *oracle, uint64_t now_us, uint64_t revision, uint32_t leaving_hosts);
/**
 * oracle_config_overwritten() - a malformed register replaced the published one.
 *
 * An instance that has not read the earlier revision cannot read it any more. Whatever was accepted has to be in force
 * everywhere nevertheless.
 */
void oracle_config_overwritten (Oracle *oracle);
/** oracle_reachability_changed() - @whole: every instance can reach the platform, which is up to date. */
void oracle_reachability_changed (Oracle *oracle, uint64_t now_us, bool whole);
/** oracle_instance_started() - a new process; @resumed: the same process after a pause. */
void oracle_instance_started (Oracle *oracle, uint64_t now_us, uint32_t instance, uint32_t domain, bool resumed);
void oracle_instance_ended (Oracle *oracle, uint32_t instance);
/** oracle_instance_state() - configuration in force; @serving: the instance has begun to serve. */
void oracle_instance_state (Oracle *oracle, uint64_t now_us, uint32_t instance, bool serving, uint64_t revision,
                            uint64_t digest);
void oracle_check_config (Oracle *oracle, uint64_t now_us);

/* Planned stops. */
void oracle_stop_requested (Oracle *oracle, uint64_t now_us);
void oracle_stopped (Oracle *oracle, uint32_t instance, uint32_t runs_in_progress);

#endif
