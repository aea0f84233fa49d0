#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/command.h"

/* Path of the wigeoncart binary; the tests run it as an operator would. */
static char *binary_path;

static int run (const char *const *arguments, char **output, char **errors);

static const struct
{
  const char *arguments[6];
  int         status;
  const char *output;
  const char *errors;
} CASES[] = {
  { { "check", "--help" }, WC_EXIT_OK, "--register=FILE", "" },
  { { "check", "--version" }, WC_EXIT_OK, "wigeoncart " WC_VERSION, "" },
  { { "check" }, WC_EXIT_USAGE, "", "no file given" },
  { { "check", "samples/settings.json" }, WC_EXIT_USAGE, "", "unexpected argument 'samples/settings.json'" },
  { { "check", "--unknown" }, WC_EXIT_USAGE, "", "Unknown option --unknown" },
  { { "check", "-s", "samples/settings.json", "-r", "samples/register-sinos.json" },
    WC_EXIT_OK,
    "samples/settings.json: ok\nsamples/register-sinos.json: ok\n",
    "" },
  { { "check", "-s", "samples/settings-packets.json" }, WC_EXIT_OK, "samples/settings-packets.json: ok\n", "" },
  { { "check", "-s", "samples/register-sinos.json", "-r", "samples/register-kavango.json" },
    WC_EXIT_FAILED,
    "samples/register-kavango.json: ok\n",
    "samples/register-sinos.json:3: revision: unknown key\n" },
  { { "check", "-r", "samples/settings.json" },
    WC_EXIT_FAILED,
    "",
    "samples/settings.json:4: instance: unknown key\n" },
  { { "check", "-r", "no-such-file" }, WC_EXIT_USAGE, "", "no-such-file" },
  { { "check", "-s", "no-such-file" }, WC_EXIT_USAGE, "", "no-such-file" },
  { { "export", "--help" }, WC_EXIT_OK, "--output=DIR", "" },
  { { "export", "--version" }, WC_EXIT_OK, "wigeoncart " WC_VERSION, "" },
  { { "export", "samples/register-sinos.json" }, WC_EXIT_USAGE, "", "--output DIR" },
  { { "export", "-o", "/dev/null/x", "samples/settings.json" },
    WC_EXIT_USAGE,
    "",
    "samples/settings.json:4: instance: unknown key\n" },
  { { "export", "-o", "/dev/null/x", "samples/register-sinos.json" },
    WC_EXIT_ENVIRONMENT,
    "",
    "/dev/null/x: the directory cannot be created" },
};

/* Guards against changed exit statuses and messages, on which operators' scripts rely. */
START_TEST (test_commands)
{
  char *output;
  char *errors;

  ck_assert_int_eq (run (CASES[_i].arguments, &output, &errors), CASES[_i].status);
  ck_assert_msg (strstr (output, CASES[_i].output), "'%s' is not in '%s'", CASES[_i].output, output);
  ck_assert_msg (strstr (errors, CASES[_i].errors), "'%s' is not in '%s'", CASES[_i].errors, errors);
  g_free (output);
  g_free (errors);
}
END_TEST

/* Guards against missing files of an export, and against files with keys that other users can read. */
START_TEST (test_export_files)
{
  static const char *const names[] = { "head", "base", "hosts-00" };
  char                    *directory = g_dir_make_tmp ("wigeoncart-test-XXXXXX", NULL);
  const char              *arguments[] = { "export", "samples/register-kavango.json", "--output", directory, NULL };
  char                    *output;
  char                    *errors;

  ck_assert_ptr_nonnull (directory);
  ck_assert_int_eq (run (arguments, &output, &errors), WC_EXIT_OK);
  ck_assert_ptr_nonnull (strstr (output, "revision 1, 2 parts"));
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char    *path = g_build_filename (directory, names[i], NULL);
      GStatBuf status;

      ck_assert_int_eq (g_stat (path, &status), 0);
      ck_assert_int_gt (status.st_size, 0);
      ck_assert_uint_eq (status.st_mode & 0777, 0600);
      g_unlink (path);
      g_free (path);
    }
  /* Fails if the directory contains other files. */
  ck_assert_int_eq (g_rmdir (directory), 0);
  g_free (directory);
  g_free (output);
  g_free (errors);
}
END_TEST

int
main (int argc, char **argv)
{
  Suite   *suite = suite_create ("check_export");
  TCase   *cases = tcase_create ("check_export");
  SRunner *runner;
  char    *directory;
  int      failed;

  (void)argc;
  directory = g_path_get_dirname (argv[0]);
  binary_path = g_build_filename (directory, "..", "wigeoncart", NULL);
  g_free (directory);
  tcase_add_loop_test (cases, test_commands, 0, G_N_ELEMENTS (CASES));
  tcase_add_test (cases, test_export_files);
  suite_add_tcase (suite, cases);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  g_free (binary_path);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* local functions */

static int
run (const char *const *arguments, char **output, char **errors)
{
  GPtrArray *argv = g_ptr_array_new ();
  int        status;

  g_ptr_array_add (argv, binary_path);
  for (; *arguments; arguments++)
    g_ptr_array_add (argv, (gpointer)*arguments);
  g_ptr_array_add (argv, NULL);
  ck_assert (
      g_spawn_sync (NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT, NULL, NULL, output, errors, &status, NULL));
  g_ptr_array_unref (argv);
  ck_assert (WIFEXITED (status));
  return WEXITSTATUS (status);
}
