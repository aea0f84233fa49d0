#include "test_main.h"

#include <string.h>
#include <unistd.h>

#include "edge/store_view.h"
#include "forward_fixture.h"

static const char CONFIG_KEY[] = "op/config";

static void
apply (ForwardFixture *fixture, WcEventLog *log, const char *key, const char *text, uint64_t revision)
{
  GBytes             *value = g_bytes_new (text, strlen (text));
  const WcStoreChange change = { (char *)key, value, { 1, revision } };
  WcStoreViewCounters counters = { 0 };

  wc_store_view_apply (fixture->forwarder, log, &change, fixture->now_us, &counters);
  g_bytes_unref (value);
}

/* Guards against a configuration that reverts because an older one was written, for example by a restored store. */
START_TEST (older_configuration_is_rejected)
{
  static ForwardFixture fixture;
  struct ev_loop       *loop = ev_loop_new (0);
  WcEventLog           *log = wc_event_log_new (loop, STDERR_FILENO, "test");

  fixture_init (&fixture);
  apply (&fixture, log, CONFIG_KEY, "{\"version\":7,\"routes\":[]}", 1);
  apply (&fixture, log, CONFIG_KEY, "{\"version\":6,\"routes\":[]}", 2);
  ck_assert_uint_eq (wc_route_table_get_version (wc_forwarder_get_routes (fixture.forwarder)), 7);
  apply (&fixture, log, CONFIG_KEY, "{\"version\":9,\"routes\":[]}", 3);
  ck_assert_uint_eq (wc_route_table_get_version (wc_forwarder_get_routes (fixture.forwarder)), 9);
  wc_event_log_delete (log);
  fixture_finish (&fixture);
  ev_loop_destroy (loop);
}
END_TEST

static int
compare (const char *key, const char *a, const char *b)
{
  GBytes *first = g_bytes_new (a, strlen (a));
  GBytes *second = g_bytes_new (b, strlen (b));
  int     order = wc_store_view_compare (key, first, second);

  g_bytes_unref (first);
  g_bytes_unref (second);
  return order;
}

#define HOST(state, sequence, started)                                                                                 \
  "{\"service\":\"a\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":2,\"warmup-left-ms\":0," \
  "\"state\":\"" state "\",\"seq\":" sequence ",\"born\":" started "}"

/* Guards against an older entry that is taken for newer, and against entries that are ordered without knowledge. */
START_TEST (values_are_ordered_by_content)
{
  static const char host_key[] = "servers/i-a1";

  ck_assert_int_lt (compare (CONFIG_KEY, "{\"version\":9}", "{\"version\":10}"), 0);
  ck_assert_int_eq (compare (CONFIG_KEY, "{\"version\":9}", "{\"version\":9,\"routes\":[]}"), 0);
  ck_assert_int_eq (compare (CONFIG_KEY, "{\"version\":\"9\"}", "{\"version\":10}"), 0);
  ck_assert_int_eq (compare (CONFIG_KEY, "", "{\"version\":10}"), 0);
  ck_assert_int_gt (compare (host_key, HOST ("draining", "26", "1000"), HOST ("ready", "1", "1000")), 0);
  ck_assert_int_gt (compare (host_key, HOST ("ready", "1", "5000"), HOST ("draining", "26", "1000")), 0);
  ck_assert_int_eq (compare (host_key, HOST ("ready", "1", "0"), HOST ("draining", "26", "1000")), 0);
  ck_assert_int_eq (compare (host_key, HOST ("ready", "0", "1000"), HOST ("draining", "26", "1000")), 0);
  ck_assert_int_eq (compare (host_key, "[]", HOST ("ready", "1", "1000")), 0);
  ck_assert_int_eq (compare ("other", "1", "2"), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, older_configuration_is_rejected);
  tcase_add_test (tests, values_are_ordered_by_content);
}

int
main (void)
{
  return wc_test_run ("store_view", add_tests);
}
