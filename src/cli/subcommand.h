#ifndef WC_CLI_SUBCOMMAND_H
#define WC_CLI_SUBCOMMAND_H

#include <stdio.h>

/**
 * struct WcSubcommand - a subcommand, such as "platform" of "emulate".
 * @run: as main(), with the name of the subcommand as the first argument.
 */
typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
} WcSubcommand;

/**
 * wc_subcommand_run() - run the subcommand that the first argument names, or print the output of --help or --version.
 * @subcommands: the subcommands, terminated by an entry without a name.
 *
 * Return: exit status of the subcommand, WC_EXIT_OK after --help or --version, or WC_EXIT_USAGE if there is no such
 * subcommand.
 */
int wc_subcommand_run (const WcSubcommand *subcommands, void (*print_usage) (FILE *stream), int argc, char **argv);

#endif
