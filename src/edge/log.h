#ifndef WC_EDGE_LOG_H
#define WC_EDGE_LOG_H

#include <stdbool.h>

/** enum WcLogLevel - the syslog severities that the program uses. */
typedef enum
{
  WC_LOG_ERROR = 3,
  WC_LOG_WARNING = 4,
  WC_LOG_NOTICE = 5,
  WC_LOG_INFO = 6,
  WC_LOG_DEBUG = 7
} WcLogLevel;

/** wc_log_set_level() - discard messages that are less severe than @level. */
void wc_log_set_level (WcLogLevel level);

/** wc_log_parse_level() - parse "error", "warning", "notice", "info" or "debug". Return: false for any other text. */
bool wc_log_parse_level (const char *text, WcLogLevel *level);

/**
 * wc_log() - write one line "<level>wigeoncart[pid]: component: message" to stderr; thread-safe.
 * @component: fixed name of the module that logs, such as "peer" or "platform".
 */
void wc_log (WcLogLevel level, const char *component, const char *format, ...) __attribute__ ((format (printf, 3, 4)));

/**
 * wc_log_ratelimited() - like wc_log(), but writes at most one line per second for each pair of @component and @format.
 *
 * The next line written gives the number of lines dropped since the previous one. Both strings must be constants: the
 * limit is kept per pointer.
 */
void wc_log_ratelimited (WcLogLevel level, const char *component, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
