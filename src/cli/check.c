#include <stdio.h>

#include <wigeoncart/register.h>

#include "cli/arguments.h"
#include "edge/data_path.h"
#include "edge/forward_settings.h"
#include "edge/settings.h"

static int run (int argc, char **argv);
static int check_settings (const char *path);
static int check_register (const char *path);

const WcCommand WC_COMMAND_CHECK = { "check", "Check settings and register files.", run };

/* local functions */

static int
run (int argc, char **argv)
{
  char       **settings = NULL;
  char       **registers = NULL;
  GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME_ARRAY, &settings, "Check a settings file (repeatable)", "FILE" },
    { "register", 'r', 0, G_OPTION_ARG_FILENAME_ARRAY, &registers, "Check a register file (repeatable)", "FILE" },
    G_OPTION_ENTRY_NULL,
  };
  int exit_code = WC_EXIT_OK;

  if (!wc_arguments_parse (&WC_COMMAND_CHECK, NULL, entries, &argc, &argv, &exit_code))
    return exit_code;
  if (!settings && !registers)
    {
      fprintf (stderr, "wigeoncart check: no file given; use --settings or --register\n");
      return WC_EXIT_USAGE;
    }

  /* Checks all files and returns the highest exit status. */
  for (char **path = settings; path && *path; path++)
    {
      int checked = check_settings (*path);

      exit_code = MAX (exit_code, checked);
    }
  for (char **path = registers; path && *path; path++)
    {
      int checked = check_register (*path);

      exit_code = MAX (exit_code, checked);
    }
  g_strfreev (settings);
  g_strfreev (registers);
  return exit_code;
}

static int
check_settings (const char *path)
{
  WcError            error = { 0 };
  WcDataPath         data_path = wc_data_path_load (path, &error);
  WcSettings        *datagrams = data_path == WC_DATA_PATH_DATAGRAMS ? wc_settings_load (path, &error) : NULL;
  WcForwardSettings *packets = data_path == WC_DATA_PATH_PACKETS ? wc_forward_settings_load (path, &error) : NULL;
  bool               is_valid = datagrams || packets;

  if (is_valid)
    printf ("%s: ok\n", path);
  else
    fprintf (stderr, "%s\n", error.message);
  wc_settings_delete (datagrams);
  wc_forward_settings_delete (packets);
  if (is_valid)
    return WC_EXIT_OK;
  return error.status == WC_STATUS_NOT_FOUND ? WC_EXIT_USAGE : WC_EXIT_FAILED;
}

static int
check_register (const char *path)
{
  WcRegister *reg;
  WcError     error;
  GError     *failure = NULL;
  char       *text;
  gsize       size_bytes;

  if (!g_file_get_contents (path, &text, &size_bytes, &failure))
    {
      fprintf (stderr, "%s\n", failure->message);
      g_error_free (failure);
      return WC_EXIT_USAGE;
    }
  reg = wc_register_parse (path, text, size_bytes, &error);
  g_free (text);
  if (!reg)
    {
      fprintf (stderr, "%s\n", error.message);
      return WC_EXIT_FAILED;
    }
  printf ("%s: ok\n", path);
  wc_register_unref (reg);
  return WC_EXIT_OK;
}
