#include "test_main.h"

#include <glib.h>

#include "evacuation_wire.h"

/* Guards against keys of other items taken for an evacuation, and against an evacuation of no domain. */
START_TEST (domain_of_key)
{
  ck_assert_uint_eq (wc_evacuation_wire_domain ("op/evacuate/d1"), g_quark_from_string ("d1"));
  ck_assert_uint_eq (wc_evacuation_wire_domain ("op/evacuate/east/1"), g_quark_from_string ("east/1"));
  ck_assert_uint_eq (wc_evacuation_wire_domain ("op/evacuate/"), 0);
  ck_assert_uint_eq (wc_evacuation_wire_domain ("op/evacuate"), 0);
  ck_assert_uint_eq (wc_evacuation_wire_domain ("op/evacuated/d1"), 0);
  ck_assert_uint_eq (wc_evacuation_wire_domain ("servers/op/evacuate/d1"), 0);
  ck_assert_uint_eq (wc_evacuation_wire_domain (""), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, domain_of_key);
}

int
main (void)
{
  return wc_test_run ("evacuation_wire", add_tests);
}
