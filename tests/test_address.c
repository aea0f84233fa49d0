#include <wigeoncart/address.h>

#include "test_main.h"

/* Guards against addresses whose port or family is lost when they are formatted and parsed again. */
START_TEST (test_round_trip)
{
  static const char *const TEXTS[] = { "127.0.0.1:80", "[::1]:65535", "10.1.2.3:0" };
  char                     text[WC_ADDRESS_TEXT_BYTES];
  WcAddress                address;

  ck_assert (wc_address_parse (TEXTS[_i], &address));
  ck_assert_str_eq (wc_address_format (&address, text), TEXTS[_i]);
}
END_TEST

/* Guards against malformed text that is accepted as an address. */
START_TEST (test_malformed)
{
  static const char *const TEXTS[] = {
    "", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:80", "1.2.3.4:8x"
  };
  WcAddress address;

  ck_assert (!wc_address_parse (TEXTS[_i], &address));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, test_round_trip, 0, 3);
  tcase_add_loop_test (tests, test_malformed, 0, 7);
}

int
main (void)
{
  return wc_test_run ("address", add_tests);
}
