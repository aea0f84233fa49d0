#include "cli/subcommand.h"

#include <assert.h>
#include <string.h>

#include "cli/command.h"

int
wc_subcommand_run (const WcSubcommand *parts, void (*print_usage) (FILE *stream), int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";

  assert (parts != NULL && print_usage != NULL);

  for (const WcSubcommand *part = parts; part->name; part++)
    if (strcmp (name, part->name) == 0)
      return part->run (argc - 1, argv + 1);
  if (strcmp (name, "--help") == 0)
    {
      print_usage (stdout);
      return WC_EXIT_OK;
    }
  if (strcmp (name, "--version") == 0)
    {
      printf ("wigeoncart %s\n", WC_VERSION);
      return WC_EXIT_OK;
    }
  print_usage (stderr);
  return WC_EXIT_USAGE;
}
