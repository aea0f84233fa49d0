#ifndef WC_EDGE_LOG_H
#define WC_EDGE_LOG_H

#include <stdbool.h>

/** enum WcLogLevel - syslog severities that are in use. */
typedef enum
{
  WC_LOG_ERROR = 3,
  WC_LOG_WARNING = 4,
  WC_LOG_NOTICE = 5,
  WC_LOG_INFO = 6,
  WC_LOG_DEBUG = 7
} WcLogLevel;

/** wc_log_set_level() - drop messages less severe than @level. */
void wc_log_set_level (WcLogLevel level);

/** wc_log_parse_level() - "error", "warning", "notice", "info", "debug"; false when unknown. */
bool wc_log_parse_level (const char *text, WcLogLevel *level);

/**
 * wc_log() - write one line "<level>wigeoncart[pid]: part: sentence" to stderr; thread-safe.
 * @part: fixed prefix of the part that speaks, such as "peer" or "platform".
 */
void wc_log (WcLogLevel level, const char *part, const char *format, ...) __attribute__ ((format (printf, 3, 4)));

/** wc_log_ratelimited() - like wc_log(), at most once a second for each (part, format); tells how many lines it
 * dropped. */
void wc_log_ratelimited (WcLogLevel level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
