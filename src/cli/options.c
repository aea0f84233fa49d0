#include "cli/options.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

gboolean
wc_options_parse (int argc, char **argv, const char *usage, const char *summary, const GOptionEntry *entries,
                  char ***rest, int *status)
{
  GOptionContext *context = g_option_context_new (usage);
  GError         *error = NULL;
  gboolean        version = FALSE;
  char          **remaining = NULL;
  char           *program = g_strdup_printf ("wigeoncart %s", argv[0]);
  char          **copy = g_new0 (char *, argc + 1);
  char          **arguments = copy;
  gboolean        parsed;

  const GOptionEntry common[] = {
    { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version", NULL },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &remaining, NULL, NULL },
    G_OPTION_ENTRY_NULL,
  };

  for (int i = 1; i < argc; i++)
    copy[i] = argv[i];
  copy[0] = program;
  g_set_prgname (program);
  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, common, NULL);
  parsed = g_option_context_parse (context, &argc, &arguments, &error);
  *status = WC_EXIT_OK;
  if (!parsed)
    {
      fprintf (stderr, "%s: %s\n", program, error->message);
      g_error_free (error);
      *status = WC_EXIT_USAGE;
    }
  else if (version)
    {
      printf ("wigeoncart %s\n", WC_VERSION);
      parsed = FALSE;
    }
  else if (remaining && !rest)
    {
      fprintf (stderr, "%s: unexpected argument '%s'\n", program, remaining[0]);
      *status = WC_EXIT_USAGE;
      parsed = FALSE;
    }
  if (parsed && rest)
    *rest = remaining;
  else
    g_strfreev (remaining);
  g_option_context_free (context);
  g_free (copy);
  g_free (program);
  return parsed;
}
