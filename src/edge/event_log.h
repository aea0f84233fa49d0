#ifndef WC_EDGE_EVENT_LOG_H
#define WC_EDGE_EVENT_LOG_H

#include <stdint.h>

#include <ev.h>

/**
 * struct WcEventLog - structured log: one JSON object per line, written to a non-blocking descriptor.
 *
 * Lines are rate-limited per event; the next line of the event that is written carries the number of suppressed lines.
 * Lines that do not fit into the buffer, because the reader of the descriptor is too slow, are dropped and counted in
 * the same field.
 */
typedef struct WcEventLog WcEventLog;

/** struct WcEventLine - a log line under construction. */
typedef struct WcEventLine WcEventLine;

/**
 * wc_event_log_new() - create a log that writes to @descriptor, which is made non-blocking.
 * @instance: name of this instance, written in each line.
 */
WcEventLog *wc_event_log_new (struct ev_loop *loop, int descriptor, const char *instance);

/** wc_event_log_delete() - free the log, after one attempt to write the buffered lines. */
void wc_event_log_delete (WcEventLog *log);

/**
 * wc_event_log_begin() - begin a line; wc_event_line_end() must follow before the next line is begun.
 * @component: module that logs the event; written as field "part".
 * @event: name of the event. Must be a constant string: rate limits are kept per pointer.
 *
 * Return: the line, or NULL when it is suppressed. The wc_event_line functions accept NULL and then do nothing.
 */
WcEventLine *wc_event_log_begin (WcEventLog *log, const char *component, const char *event);
void         wc_event_line_add_text (WcEventLine *line, const char *key, const char *value);
void         wc_event_line_add_uint (WcEventLine *line, const char *key, uint64_t value);
/** wc_event_line_add_id() - add an identifier as 16 hexadecimal digits. */
void wc_event_line_add_id (WcEventLine *line, const char *key, uint64_t value);
void wc_event_line_end (WcEventLine *line);

/**
 * wc_event_log_merge_logical_clock() - merge the logical clock of another process, received in a message.
 *
 * Each line carries a hybrid logical clock: the wall clock in microseconds, raised above every clock value that was
 * written or received before. It gives the lines of several processes a causal order although their wall clocks differ.
 */
void     wc_event_log_merge_logical_clock (WcEventLog *log, uint64_t logical);
uint64_t wc_event_log_get_logical_clock (const WcEventLog *log);

/** wc_event_log_get_suppressed() - number of lines suppressed by a rate limit or dropped so far. */
uint64_t wc_event_log_get_suppressed (const WcEventLog *log);

#endif
