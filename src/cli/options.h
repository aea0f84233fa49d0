#ifndef WC_CLI_OPTIONS_H
#define WC_CLI_OPTIONS_H

#include <glib.h>

#include "cli/command.h"

#define WC_VERSION "0.1.0"

/**
 * wc_options_parse() - parse a subcommand's arguments; adds --help and --version.
 * @usage: what follows the command's name in its help.
 * @rest: arguments that are no options, to be freed with g_strfreev(), or NULL when none are allowed.
 * @status: exit status when the result is FALSE.
 *
 * Return: TRUE to go on with the command.
 */
gboolean wc_options_parse (int argc, char **argv, const char *usage, const char *summary, const GOptionEntry *entries,
                           char ***rest, int *status);

#endif
