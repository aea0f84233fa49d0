#include <check.h>
#include <stdlib.h>

#include <wigeoncart/address.h>

/* Guards against addresses that lose their port or family on the way through text. */
START_TEST (test_round_trip)
{
  static const char *const TEXTS[] = { "127.0.0.1:80", "[::1]:65535", "10.1.2.3:0" };
  char                     text[WC_ADDRESS_TEXT_BYTES];
  WcAddress                address;

  ck_assert (wc_address_parse (TEXTS[_i], &address));
  ck_assert_str_eq (wc_address_format (&address, text), TEXTS[_i]);
}
END_TEST

/* Guards against malformed text that is taken for an address. */
START_TEST (test_malformed)
{
  static const char *const TEXTS[] = {
    "", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:80", "1.2.3.4:8x"
  };
  WcAddress address;

  ck_assert (!wc_address_parse (TEXTS[_i], &address));
}
END_TEST

int
main (void)
{
  Suite   *suite = suite_create ("address");
  TCase   *cases = tcase_create ("address");
  SRunner *runner;
  int      failed;

  tcase_add_loop_test (cases, test_round_trip, 0, 3);
  tcase_add_loop_test (cases, test_malformed, 0, 7);
  suite_add_tcase (suite, cases);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
