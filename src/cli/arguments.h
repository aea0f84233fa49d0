#ifndef WC_CLI_ARGUMENTS_H
#define WC_CLI_ARGUMENTS_H

#include <stdbool.h>

#include <glib.h>

#include "cli/command.h"

/**
 * wc_arguments_parse() - parse the options of a command; adds --help and --version.
 * @parameters: text that --help shows after "[OPTION...]", or NULL if the command takes no positional arguments.
 * @exit_code: set if the command must not run.
 *
 * Return: whether to run the command; @argc and @argv are left with the remaining arguments.
 */
bool wc_arguments_parse (const WcCommand *command, const char *parameters, const GOptionEntry *entries, int *argc,
                         char ***argv, int *exit_code);

#endif
