#ifndef WC_TESTS_CHECK_MAIN_H
#define WC_TESTS_CHECK_MAIN_H

#include <check.h>
#include <stdlib.h>

/** run_cases() - run one test case as a suite of its own. Return: exit status of the test program. */
static inline int
run_cases (const char *name, TCase *cases)
{
  Suite   *suite = suite_create (name);
  SRunner *runner;
  int      failed;

  suite_add_tcase (suite, cases);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
