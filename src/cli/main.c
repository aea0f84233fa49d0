#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "cli/command.h"

/* Terminated by NULL. */
static const WcCommand *const COMMANDS[] = {
  &WC_COMMAND_SERVE,
  &WC_COMMAND_CALL,
  &WC_COMMAND_CHECK,
  &WC_COMMAND_EXPORT,
  &WC_COMMAND_STATUS,
  &WC_COMMAND_TIMELINE,
  &WC_COMMAND_EXPLAIN,
  &WC_COMMAND_BENCH,
  &WC_COMMAND_BENCH_FLOWS,
  &WC_COMMAND_SPEED,
  &WC_COMMAND_SLOPES,
  &WC_COMMAND_EMULATE,
  NULL,
};

static void print_usage (FILE *stream);

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (stderr);
      return WC_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (stdout);
      return WC_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("wigeoncart %s\n", WC_VERSION);
      return WC_EXIT_OK;
    }
  if (sodium_init () < 0)
    {
      fprintf (stderr, "wigeoncart: libsodium could not be initialized\n");
      return WC_EXIT_ENVIRONMENT;
    }
  for (const WcCommand *const *command = COMMANDS; *command; command++)
    if (strcmp (argv[1], (*command)->name) == 0)
      return (*command)->run (argc - 1, argv + 1);

  fprintf (stderr, "wigeoncart: unknown command '%s'\n", argv[1]);
  print_usage (stderr);
  return WC_EXIT_USAGE;
}

/* local functions */

static void
print_usage (FILE *stream)
{
  fprintf (stream, "Usage: wigeoncart COMMAND [OPTION...]\n\nCommands:\n");
  for (const WcCommand *const *command = COMMANDS; *command; command++)
    fprintf (stream, "  %-10s %s\n", (*command)->name, (*command)->summary);
  fprintf (stream, "\nEach command has --help and --version.\n");
}
