#include "cli/cli_options.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "cli/command.h"

int
wc_cli_parse (const char *command, const char *summary, const GOptionEntry *entries, int argc, char **argv)
{
  gboolean        version = FALSE;
  GOptionEntry    common[] = { { "version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version", NULL }, { 0 } };
  GOptionContext *context = g_option_context_new (NULL);
  GError         *error = NULL;
  char           *help;
  int             result = -1;

  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, common, NULL);
  g_option_context_set_help_enabled (context, FALSE);
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--help") == 0 || strcmp (argv[i], "-h") == 0)
      {
        char *program = g_strdup_printf ("wigeoncart %s", command);

        g_set_prgname (program);
        help = g_option_context_get_help (context, TRUE, NULL);
        fputs (help, stdout);
        g_free (help);
        g_free (program);
        g_option_context_free (context);
        return WC_EXIT_OK;
      }
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      result = wc_cli_error (WC_EXIT_USAGE, command, "%s", error->message);
      g_error_free (error);
    }
  else if (version)
    {
      printf ("wigeoncart %s\n", WC_VERSION);
      result = WC_EXIT_OK;
    }
  else if (argc > 1)
    result = wc_cli_error (WC_EXIT_USAGE, command, "unexpected argument '%s'", argv[1]);
  g_option_context_free (context);
  return result;
}

bool
wc_cli_address (const char *option, const char *text, WcAddress *address)
{
  memset (address, 0, sizeof *address);
  if (!text || wc_address_parse (text, address))
    return true;
  fprintf (stderr, "wigeoncart: --%s: '%s' is not an address such as 127.0.0.1:7000\n", option, text);
  return false;
}

int
wc_cli_error (int status, const char *command, const char *format, ...)
{
  va_list arguments;

  fprintf (stderr, "wigeoncart %s: ", command);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
  return status;
}
