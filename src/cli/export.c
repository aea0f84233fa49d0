#include <stdio.h>

#include <glib/gstdio.h>

#include <wigeoncart/register_split.h>

#include "cli/arguments.h"

static int  run (int argc, char **argv);
static int  export_register (const char *path, const char *directory);
static bool write_split (const WcRegisterSplit *split, const char *directory);
static bool write_file (const char *directory, const char *name, const char *text, size_t size_bytes);

const WcCommand WC_COMMAND_EXPORT = { "export", "Split a register into the head and parts to publish.", run };

/* local functions */

static int
run (int argc, char **argv)
{
  char        *output = NULL;
  GOptionEntry entries[] = {
    { "output", 'o', 0, G_OPTION_ARG_FILENAME, &output, "Write the files to this directory", "DIR" },
    G_OPTION_ENTRY_NULL,
  };
  int exit_code = WC_EXIT_OK;

  if (!wc_arguments_parse (&WC_COMMAND_EXPORT, "REGISTER", entries, &argc, &argv, &exit_code))
    return exit_code;
  if (argc != 2 || !output)
    {
      fprintf (stderr, "wigeoncart export: needs one register file and --output DIR\n");
      g_free (output);
      return WC_EXIT_USAGE;
    }
  exit_code = export_register (argv[1], output);
  g_free (output);
  return exit_code;
}

static int
export_register (const char *path, const char *directory)
{
  WcRegisterSplit *split;
  WcError          error;
  GError          *failure = NULL;
  char            *text;
  gsize            size_bytes;
  bool             written;

  if (!g_file_get_contents (path, &text, &size_bytes, &failure))
    {
      fprintf (stderr, "%s\n", failure->message);
      g_error_free (failure);
      return WC_EXIT_USAGE;
    }
  split = wc_register_split_new (path, text, size_bytes, &error);
  g_free (text);
  if (!split)
    {
      fprintf (stderr, "%s\n", error.message);
      return WC_EXIT_USAGE;
    }
  written = write_split (split, directory);
  if (written)
    printf ("%s: revision %" G_GUINT64_FORMAT ", %zu parts\n", directory, wc_register_split_get_revision (split),
            wc_register_split_get_part_count (split));
  wc_register_split_delete (split);
  return written ? WC_EXIT_OK : WC_EXIT_ENVIRONMENT;
}

/* Writes the head after the parts, so that it never names a part that does not exist yet. */
static bool
write_split (const WcRegisterSplit *split, const char *directory)
{
  const char *key;
  const char *text;
  size_t      size_bytes;

  if (g_mkdir_with_parents (directory, 0755) < 0)
    {
      fprintf (stderr, "%s: the directory cannot be created\n", directory);
      return false;
    }
  for (size_t i = 0; i < wc_register_split_get_part_count (split); i++)
    {
      text = wc_register_split_get_part (split, i, &key, &size_bytes);
      if (!write_file (directory, key, text, size_bytes))
        return false;
    }
  text = wc_register_split_get_head (split, &size_bytes);
  return write_file (directory, "head", text, size_bytes);
}

/* The register contains secret keys, so only the owner of the files may read them. */
static bool
write_file (const char *directory, const char *name, const char *text, size_t size_bytes)
{
  char   *path = g_build_filename (directory, name, NULL);
  GError *failure = NULL;

  if (!g_file_set_contents_full (path, text, (gssize)size_bytes, G_FILE_SET_CONTENTS_CONSISTENT, 0600, &failure))
    {
      fprintf (stderr, "%s\n", failure->message);
      g_error_free (failure);
    }
  g_free (path);
  return !failure;
}
