#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "cli/cmd_bench.h"
#include "cli/command.h"

#define WC_VERSION "0.1.0"

/* Ended by an entry without a name. */
static const WcCommand COMMANDS[] = {
  { "bench", "compare balancing policies in virtual time", wc_cmd_bench },
  { NULL, NULL, NULL },
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
  for (const WcCommand *command = COMMANDS; command->name; command++)
    if (strcmp (argv[1], command->name) == 0)
      return command->run (argc - 1, argv + 1);

  fprintf (stderr, "wigeoncart: unknown command '%s'\n", argv[1]);
  print_usage (stderr);
  return WC_EXIT_USAGE;
}

/* local functions */

static void
print_usage (FILE *stream)
{
  fprintf (stream, "Usage: wigeoncart COMMAND [OPTION...]\n\nCommands:\n");
  for (const WcCommand *command = COMMANDS; command->name; command++)
    fprintf (stream, "  %-10s %s\n", command->name, command->summary);
  fprintf (stream, "\nEach command has --help and --version.\n");
}
