#include "test_main.h"

#include <string.h>

#include "edge/explanation_json.h"
#include "forward_fixture.h"

static const WcFlowKey KEY = { 0x64400007, FIXTURE_ROUTE_IP, 4000, FIXTURE_ROUTE_PORT };

/* Guards against an explanation that differs from the decision, sends a packet or changes what is decided later. */
START_TEST (explains_what_is_done_then)
{
  static ForwardFixture fixture;
  WcExplanation         explanation;
  uint64_t              explained;

  fixture_init (&fixture);
  fixture_put_host (&fixture, 1, "a", WC_HOST_READY);
  fixture_put_host (&fixture, 2, "a", WC_HOST_DRAINING);
  fixture_put_host (&fixture, 3, "b", WC_HOST_READY);
  wc_forwarder_set_evacuated (fixture.forwarder, g_quark_from_string ("b"), true, 1, fixture.now_us);
  wc_forwarder_explain (fixture.forwarder, &KEY, fixture.now_us, &explanation);
  ck_assert_int_eq (explanation.outcome, WC_DECISION_PLACED);
  explained = explanation.host->record.id;
  for (guint i = 0; i < explanation.hosts->len; i++)
    {
      static const WcHostVerdict verdicts[] = { WC_HOST_VERDICT_USABLE, WC_HOST_VERDICT_DRAINING,
                                                WC_HOST_VERDICT_EVACUATED };
      const WcHostExplanation   *host = &g_array_index (explanation.hosts, WcHostExplanation, i);

      ck_assert_int_eq (host->verdict, verdicts[host->host->record.id - 1]);
    }
  wc_explanation_finish (&explanation);
  ck_assert_uint_eq (fixture.forward_count + fixture.reset_count, 0);
  ck_assert_uint_eq (wc_forwarder_get_flow_count (fixture.forwarder), 0);
  fixture_syn (&fixture, KEY.caller_port, KEY.route_port, 0);
  ck_assert_uint_eq (fixture_last_host (&fixture), explained);
  wc_forwarder_set_evacuated (fixture.forwarder, g_quark_from_string ("a"), true, 2, fixture.now_us);
  wc_forwarder_explain (fixture.forwarder, &KEY, fixture.now_us, &explanation);
  ck_assert_int_eq (explanation.outcome, WC_DECISION_REJECTED_NO_HOST);
  wc_explanation_finish (&explanation);
  fixture_finish (&fixture);
}
END_TEST

/* Guards against bad input that is taken for a route, and against JSON without the outcome. */
START_TEST (input_is_checked_and_output_is_json)
{
  static const char *const invalid[] = { NULL, "", "198.18.0.1", "[::1]:443", "198.18.0.1:x" };
  static ForwardFixture    fixture;
  WcExplanation            explanation;
  WcFlowKey                key;
  WcError                  error = { 0 };
  char                    *text;

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    ck_assert_int_eq (wc_explanation_json_parse_flow (invalid[i], NULL, &key, &error), WC_STATUS_PARSE);
  ck_assert_int_eq (wc_explanation_json_parse_flow ("198.18.0.1:443", "100.64.0.7:1", &key, &error), WC_STATUS_OK);
  ck_assert_uint_eq (key.route_ip, 0xc6120001);
  fixture_init (&fixture);
  key.route_port = 9;
  wc_forwarder_explain (fixture.forwarder, &key, fixture.now_us, &explanation);
  text = wc_explanation_json_format (&explanation, "i-1", 1, 2, 3000);
  ck_assert_msg (strstr (text, "\"outcome\":\"rejected_no_route\"") && strstr (text, "\"view_age_ms\":3"), "%s", text);
  g_free (text);
  wc_explanation_finish (&explanation);
  fixture_finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, explains_what_is_done_then);
  tcase_add_test (tests, input_is_checked_and_output_is_json);
}

int
main (void)
{
  return wc_test_run ("explanation", add_tests);
}
