#include "cli/arguments.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

bool
wc_arguments_parse (const WcCommand *command, const char *parameters, const GOptionEntry *entries, int *argc,
                    char ***argv, int *exit_code)
{
  gboolean        version = FALSE;
  GOptionEntry    version_entries[] = { { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Show the version", NULL },
                                        G_OPTION_ENTRY_NULL };
  GOptionContext *context;
  GError         *failure = NULL;
  char           *program;
  bool            parsed;

  assert (command != NULL);
  assert (exit_code != NULL);

  program = g_strdup_printf ("wigeoncart %s", command->name);
  g_set_prgname (program);
  context = g_option_context_new (parameters);
  g_option_context_set_summary (context, command->summary);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, version_entries, NULL);
  parsed = g_option_context_parse (context, argc, argv, &failure);
  g_option_context_free (context);
  if (parsed && !version && !parameters && *argc > 1)
    {
      parsed = false;
      g_set_error (&failure, G_OPTION_ERROR, G_OPTION_ERROR_FAILED, "unexpected argument '%s'", (*argv)[1]);
    }
  if (!parsed)
    {
      fprintf (stderr, "%s: %s\n", program, failure->message);
      g_error_free (failure);
      *exit_code = WC_EXIT_USAGE;
    }
  else if (version)
    {
      printf ("wigeoncart %s\n", WC_VERSION);
      *exit_code = WC_EXIT_OK;
    }
  g_free (program);
  return parsed && !version;
}
