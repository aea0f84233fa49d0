#ifndef WC_CLI_COMMAND_PART_H
#define WC_CLI_COMMAND_PART_H

#include <stdio.h>

/**
 * struct WcCommandPart - a subcommand, such as "platform" of "emulate".
 * @run: as main(), with the name of the subcommand as the first argument.
 */
typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
} WcCommandPart;

/**
 * wc_command_part_run() - run the subcommand that the first argument names, or print the output of --help or --version.
 * @parts: the subcommands, terminated by an entry without a name.
 *
 * Return: exit status of the subcommand, or WC_EXIT_USAGE if there is no such subcommand.
 */
int wc_command_part_run (const WcCommandPart *parts, void (*print_usage) (FILE *stream), int argc, char **argv);

#endif
