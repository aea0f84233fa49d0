#include "test_main.h"

#include <glib.h>

#include "config_wire.h"

static WcRouteTable *
read_config (const char *text, size_t *skipped)
{
  WcError error;

  return wc_config_wire_decode (text, strlen (text), skipped, &error);
}

/* Guards against members of a configuration that are ignored or decoded with a wrong value. */
START_TEST (config_is_decoded)
{
  static const char text[] =
      "{\"version\":7,\"routes\":["
      "{\"name\":\"r-1\",\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\",\"kind\":\"safe\",\"timeout-ms\":2000,"
      "\"target-latency-ms\":150,\"priority\":2,\"traffic-split\":[{\"service\":\"x\",\"weight\":90},"
      "{\"service\":\"y\",\"weight\":10}],\"max-attempts\":2},"
      "{\"name\":\"r-2\",\"host\":\"198.18.0.2\",\"prefix\":\"/8080/\",\"kind\":\"unsafe\",\"service\":\"x\"}],"
      "\"services\":[],\"limits\":{\"idle-timeout-ms\":15000}}";
  const WcFlowKey split = { 1, 0xc6120001, 1, 8443 };
  const WcFlowKey single = { 1, 0xc6120002, 1, 8080 };
  const WcFlowKey none = { 1, 0xc6120002, 1, 8443 };
  size_t          skipped;
  size_t          shares[2] = { 0 };
  WcRouteTable   *table = read_config (text, &skipped);
  const WcRoute  *route;

  ck_assert_ptr_nonnull (table);
  ck_assert_uint_eq (skipped, 0);
  ck_assert_uint_eq (wc_route_table_get_version (table), 7);
  ck_assert_uint_eq (wc_route_table_get_idle_timeout_ms (table), 15000);
  route = wc_route_table_find (table, &split);
  ck_assert_uint_eq (route->service_count, 2);
  ck_assert_uint_eq (route->target_latency_ms, 150);
  ck_assert_uint_eq (route->time_limit_ms, 2000);
  for (uint64_t draw = 0; draw < 1000; draw++)
    shares[wc_route_pick_service (route, draw)]++;
  ck_assert_uint_eq (shares[0], 900);
  ck_assert_int_eq (wc_route_table_find (table, &single)->kind, WC_TRAFFIC_ONCE);
  ck_assert_ptr_null (wc_route_table_find (table, &none));
  wc_route_table_delete (table);
}
END_TEST

/* Guards against a configuration that is rejected as a whole because of one invalid route. */
START_TEST (invalid_routes_are_skipped)
{
  static const char text[] = "{\"version\":8,\"routes\":[1,{},{\"host\":\"x\",\"prefix\":\"/1/\",\"kind\":\"safe\","
                             "\"service\":\"s\"},{\"host\":\"198.18.0.1\",\"prefix\":\"1\",\"kind\":\"safe\","
                             "\"service\":\"s\"},{\"host\":\"198.18.0.1\",\"prefix\":\"/1/\",\"kind\":\"other\","
                             "\"service\":\"s\"},{\"host\":\"198.18.0.1\",\"prefix\":\"/1/\",\"kind\":\"safe\"},"
                             "{\"host\":\"198.18.0.1\",\"prefix\":\"/70000/\",\"kind\":\"safe\",\"service\":\"s\"},"
                             "{\"host\":\"198.18.0.1\",\"prefix\":\"/1/\",\"kind\":\"safe\",\"service\":\"s\"}]}";
  size_t            skipped;
  WcRouteTable     *table = read_config (text, &skipped);

  ck_assert_ptr_nonnull (table);
  ck_assert_uint_eq (skipped, 7);
  ck_assert_uint_eq (wc_route_table_get_count (table), 1);
  wc_route_table_delete (table);
  ck_assert_ptr_null (read_config ("", &skipped));
  ck_assert_ptr_null (read_config ("{\"version\":\"1\",\"routes\":[]}", &skipped));
  ck_assert_ptr_null (read_config ("{\"version\":1}", &skipped));
}
END_TEST

/* Guards against cold hosts without a limit because a rate is a fraction or another service's entry is invalid. */
START_TEST (warm_up_rates_are_decoded)
{
  static const char text[] =
      "{\"version\":9,\"routes\":[],\"services\":[{\"name\":\"x\",\"warmup-s\":8,\"warmup-per-s\":12.5},"
      "{\"name\":\"y\",\"warmup-per-s\":0},{\"name\":\"z\"},{\"name\":\"u\",\"warmup-per-s\":-1},"
      "{\"name\":\"v\",\"warmup-per-s\":\"9\"},{\"warmup-per-s\":9},7,{\"name\":\"w\",\"warmup-per-s\":0.0001}]}";
  static const struct
  {
    const char *service;
    uint32_t    per_s_milli;
  } expected[] = { { "x", 12500 }, { "y", 0 }, { "z", 0 }, { "u", 0 }, { "v", 0 }, { "w", 1 }, { "none", 0 } };
  size_t        skipped;
  WcRouteTable *table = read_config (text, &skipped);

  ck_assert_ptr_nonnull (table);
  ck_assert_uint_eq (skipped, 3);
  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    ck_assert_uint_eq (wc_route_table_get_warm_up_per_s_milli (table, g_quark_from_string (expected[i].service)),
                       expected[i].per_s_milli);
  wc_route_table_delete (table);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, config_is_decoded);
  tcase_add_test (tests, invalid_routes_are_skipped);
  tcase_add_test (tests, warm_up_rates_are_decoded);
}

int
main (void)
{
  return wc_test_run ("config_wire", add_tests);
}
