#ifndef WC_CLI_COMMAND_PART_H
#define WC_CLI_COMMAND_PART_H

#include <stdio.h>

/**
 * struct WcCommandPart - a command of a command, such as "platform" of "emulate".
 * @run: as main(), with the name of the part as the first argument.
 */
typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
} WcCommandPart;

/**
 * wc_command_part_run() - run the part that the first argument names, or answer --help and --version.
 * @parts: ended by a part without a name.
 *
 * Return: exit status.
 */
int wc_command_part_run (const WcCommandPart *parts, void (*print_usage) (FILE *stream), int argc, char **argv);

#endif
