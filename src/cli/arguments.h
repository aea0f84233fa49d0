#ifndef WC_CLI_ARGUMENTS_H
#define WC_CLI_ARGUMENTS_H

#include <stdbool.h>

#include <glib.h>

#include "cli/command.h"

/**
 * wc_arguments_parse() - parse the options of a subcommand; --help and --version are added.
 * @parameters: what --help shows after the options, or NULL when the command takes no other arguments.
 * @exit_code: set when the command must not run.
 *
 * Return: whether to run the command; @argc and @argv hold the rest of the arguments.
 */
bool wc_arguments_parse (const WcCommand *command, const char *parameters, const GOptionEntry *entries, int *argc,
                         char ***argv, int *exit_code);

#endif
