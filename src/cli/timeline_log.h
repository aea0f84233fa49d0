#ifndef WC_CLI_TIMELINE_LOG_H
#define WC_CLI_TIMELINE_LOG_H

#include <stdbool.h>

/**
 * struct WcTimelineLogFilter - selects lines of the structured logs; a field that is NULL matches every line.
 * @flow: address and port of the caller, or the full "caller>route".
 * @host: identifier of a host, as written in the logs.
 * @instance, @event: exact names.
 */
typedef struct
{
  const char *flow;
  const char *host;
  const char *instance;
  const char *event;
} WcTimelineLogFilter;

/**
 * wc_timeline_log_print() - merge the structured logs of instances in causal order and print the lines that match.
 * @files: file names, terminated by NULL; "-" is the standard input.
 *
 * Text before the opening brace of a line, such as the prefix of a log collector, is ignored. Lines that are not
 * entries of a structured log are skipped.
 *
 * Return: false if a file cannot be opened; the error has been printed to stderr.
 */
bool wc_timeline_log_print (char **files, const WcTimelineLogFilter *filter);

#endif
