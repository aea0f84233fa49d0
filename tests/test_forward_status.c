#include "test_main.h"

#include <string.h>

#include "edge/forward_status.h"
#include "forward_fixture.h"

static bool
contains (const WcForwardStatus *status, uint64_t now_us, const char *part)
{
  char *text = wc_forward_status_format (status, now_us);
  bool  found = strstr (text, part) != NULL;

  g_free (text);
  return found;
}

/* Guards against an evacuation that operators do not see, or still see after its end. */
START_TEST (evacuated_domains_are_shown)
{
  static ForwardFixture fixture;
  WcForwardStatus       status = { .instance = "edge-1", .domain = "a", .view_age_us = UINT64_MAX };

  fixture_init (&fixture);
  status.forwarder = fixture.forwarder;
  ck_assert (contains (&status, fixture.now_us, "\"evacuated_domains\":[]"));
  ck_assert (contains (&status, fixture.now_us, "\"config\":{\"revision\":1}"));
  wc_forwarder_set_evacuated (fixture.forwarder, g_quark_from_string ("b"), true, 9, fixture.now_us);
  ck_assert (contains (&status, fixture.now_us + 1500 * 1000,
                       "\"evacuated_domains\":[{\"domain\":\"b\",\"revision\":9,\"since_ms_ago\":1500}]"));
  wc_forwarder_set_evacuated (fixture.forwarder, g_quark_from_string ("b"), false, 10, fixture.now_us);
  ck_assert (contains (&status, fixture.now_us, "\"evacuated_domains\":[]"));
  fixture_finish (&fixture);
}
END_TEST

/* Guards against an instance of which operators cannot tell why the fabric does not use it. */
START_TEST (reason_for_not_ready_is_shown)
{
  static ForwardFixture fixture;
  WcForwardStatus       status = { .instance = "edge-1", .domain = "a", .view_age_us = UINT64_MAX };

  fixture_init (&fixture);
  status.forwarder = fixture.forwarder;
  ck_assert (contains (&status, fixture.now_us, "\"ready\":true"));
  ck_assert (!contains (&status, fixture.now_us, "not_ready_because"));
  status.readiness = WC_READINESS_NO_PEER;
  ck_assert (contains (&status, fixture.now_us, "\"ready\":false,\"not_ready_because\":\"no peer yet\""));
  ck_assert (contains (&status, fixture.now_us, "\"lifecycle\":\"serving\""));
  status.readiness = WC_READINESS_STOPPING;
  ck_assert (contains (&status, fixture.now_us, "\"lifecycle\":\"stopping\""));
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, reason_for_not_ready_is_shown);
  tcase_add_test (tests, evacuated_domains_are_shown);
}

int
main (void)
{
  return wc_test_run ("forward_status", add_tests);
}
