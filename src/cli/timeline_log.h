#ifndef WC_CLI_TIMELINE_LOG_H
#define WC_CLI_TIMELINE_LOG_H

#include <stdbool.h>

/**
 * struct WcTimelineLogFilter - which lines of the structured logs are shown; NULL shows all.
 * @flow: address and port of the caller's end, or the whole "caller>route".
 * @host: identifier of a host, as in the lines.
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
 * @files: names of files, ended by NULL; "-" for standard input.
 *
 * Text before the opening brace of a line, such as the prefix of a log collector, is ignored; so are lines of another
 * kind.
 *
 * Return: false when a file cannot be read; it is named on standard error.
 */
bool wc_timeline_log_print (char **files, const WcTimelineLogFilter *filter);

#endif
