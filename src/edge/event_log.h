#ifndef WC_EDGE_EVENT_LOG_H
#define WC_EDGE_EVENT_LOG_H

#include <stdint.h>

#include <ev.h>

/**
 * struct WcEventLog - structured log: one JSON object a line on a descriptor that is never waited for.
 *
 * Lines of one event are limited in number a second; the next line that is written tells how many were suppressed.
 * Lines that the reader of the descriptor does not take in time are dropped and counted the same way.
 */
typedef struct WcEventLog WcEventLog;

/** struct WcEventLine - a line that is being put together. */
typedef struct WcEventLine WcEventLine;

/** wc_event_log_new() - @instance stands in each line; @descriptor becomes non-blocking. */
WcEventLog *wc_event_log_new (struct ev_loop *loop, int descriptor, const char *instance);

/** wc_event_log_delete() - writes what the descriptor takes at once. */
void wc_event_log_delete (WcEventLog *log);

/**
 * wc_event_log_begin() - a line of @event.
 * @part: the module that speaks.
 * @event: a constant string; the limit is kept for each one.
 *
 * Return: NULL when it is suppressed; the functions below then do nothing.
 */
WcEventLine *wc_event_log_begin (WcEventLog *log, const char *part, const char *event);
void         wc_event_line_add_text (WcEventLine *line, const char *key, const char *value);
void         wc_event_line_add_uint (WcEventLine *line, const char *key, uint64_t value);
/** wc_event_line_add_id() - an identifier as 16 hexadecimal digits. */
void wc_event_line_add_id (WcEventLine *line, const char *key, uint64_t value);
void wc_event_line_end (WcEventLine *line);

/**
 * wc_event_log_merge_logical_clock() - another process's logical clock, received in a message.
 *
 * Each line carries a hybrid logical clock, so that the lines of several processes can be put in causal order although
 * their wall clocks differ: the wall clock in microseconds, but always more than any clock seen before.
 */
void     wc_event_log_merge_logical_clock (WcEventLog *log, uint64_t logical);
uint64_t wc_event_log_get_logical_clock (const WcEventLog *log);

/** wc_event_log_get_suppressed() - lines suppressed or dropped so far. */
uint64_t wc_event_log_get_suppressed (const WcEventLog *log);

#endif
