#ifndef WC_TESTS_TEST_MAIN_H
#define WC_TESTS_TEST_MAIN_H

#include <check.h>
#include <sodium.h>
#include <stdlib.h>

/** wc_test_run_case() - run one test case as a suite named @name. Return: exit status for main(). */
static inline int
wc_test_run_case (const char *name, TCase *cases)
{
  Suite   *suite = suite_create (name);
  SRunner *runner;
  int      failed;

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  suite_add_tcase (suite, cases);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/**
 * wc_test_run() - run a suite with one test case.
 * @name: name of the suite.
 * @add_tests: adds the tests to the test case.
 *
 * Return: exit status for main().
 */
static inline int
wc_test_run (const char *name, void (*add_tests) (TCase *tests))
{
  TCase *tests = tcase_create (name);

  add_tests (tests);
  return wc_test_run_case (name, tests);
}

#endif
