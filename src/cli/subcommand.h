#ifndef WC_CLI_SUBCOMMAND_H
#define WC_CLI_SUBCOMMAND_H

#include <stdio.h>

/**
 * struct WcSubcommand - a command of a command, such as "platform" of "emulate".
 * @run: as main(), with the name of the part as the first argument.
 */
typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
} WcSubcommand;

/**
 * wc_subcommand_run() - run the part that the first argument names, or answer --help and --version.
 * @parts: ended by a part without a name.
 *
 * Return: exit status.
 */
int wc_subcommand_run (const WcSubcommand *parts, void (*print_usage) (FILE *stream), int argc, char **argv);

#endif
