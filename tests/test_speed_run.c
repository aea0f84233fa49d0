#include "emulator/speed_run.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/socket_address.h"
#include "emulator/bare_relay.h"
#include "test_main.h"

static const char REGISTER[] =
    "{\"revision\": 1, \"domains\": [\"d\"],"
    "\"services\": [{\"name\": \"s\", \"affinity\": \"session\","
    "\"default_deadline_ms\": 2000, \"answer_max_bytes\": 1000}],"
    "\"hosts\": [], \"customers\": [],"
    "\"keys\": [{\"epoch\": 1, \"secret\": \"SW63tU1Uz7KkWdLvJkeBByKDa5L3md5wVLkdxb13VRk=\"}],"
    "\"rules\": {}}";

static atomic_bool stopping;

static gpointer
run_relay (gpointer relay)
{
  wc_bare_relay_run (relay, &stopping, 60000);
  return NULL;
}

/* Returns a loopback address with a port that was free when the function closed it. */
static WcAddress
find_free_address (void)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t               length = sizeof storage;
  WcAddress               address;
  int                     fd;

  ck_assert (wc_address_parse ("127.0.0.1:0", &address));
  fd = wc_socket_open_udp (&address, false, NULL);
  ck_assert_int_ge (fd, 0);
  getsockname (fd, (struct sockaddr *)&storage, &length);
  wc_socket_address_from_sockaddr (&storage, &address);
  close (fd);
  return address;
}

static void
init_plan (WcSpeedPlan *plan)
{
  WcError error = { 0 };

  *plan = (WcSpeedPlan){
    .sink = find_free_address (),
    .reg = wc_register_parse ("test", REGISTER, strlen (REGISTER), &error),
    .relay_service = "s",
    .relay_domain = "d",
    .rounds = 3,
    .round_ms = 400,
    .flows = 500,
    .body_bytes = 64,
    .window = 64,
    .per_second = 20000,
    .generator_core = -1,
    .sink_core = -1,
  };
  ck_assert_msg (plan->reg != NULL, "%s", error.message);
}

/* Guards against a measurement that counts no datagrams or counts them twice, and output that is not a line of JSON. */
START_TEST (test_two_bare_relays)
{
  WcSpeedPlan   plan;
  WcSpeedResult result;
  WcAddress     any_address;
  WcBareRelay  *relays[2];
  GThread      *threads[2];
  WcError       error = { 0 };
  char         *text = NULL;
  size_t        size = 0;
  FILE         *stream = open_memstream (&text, &size);

  init_plan (&plan);
  ck_assert (wc_address_parse ("127.0.0.1:0", &any_address));
  for (int i = 0; i < 2; i++)
    {
      relays[i] = wc_bare_relay_new (&any_address, &plan.sink, NULL);
      ck_assert_ptr_nonnull (relays[i]);
      threads[i] = g_thread_new ("bare", run_relay, relays[i]);
    }
  wc_bare_relay_get_address (relays[0], &plan.served);
  wc_bare_relay_get_address (relays[1], &plan.bare);
  plan.served_process = getpid ();
  plan.bare_process = getpid ();
  ck_assert_msg (wc_speed_run (&plan, &result, &error), "%s", error.message);
  ck_assert (result.served.min > 0);
  ck_assert (result.served.min <= result.served.median && result.served.median <= result.served.max);
  ck_assert (result.ratio.median > 0);
  ck_assert (result.ratio_cpu.median > 0);
  ck_assert (result.bare_p50.median > 0);
  ck_assert (result.bare_p50.median <= result.bare_p99.max);
  ck_assert_uint_eq (result.invalid, 0);
  ck_assert_uint_gt (result.datagram_bytes, 64);
  wc_speed_print (&plan, &result, true, stream);
  wc_speed_print (&plan, &result, false, stream);
  fclose (stream);
  ck_assert_ptr_nonnull (strstr (text, "\"ratio_target\": 0.70, "));
  ck_assert_int_eq (strchr (text, '\n')[-1], '}');
  free (text);
  atomic_store (&stopping, true);
  for (int i = 0; i < 2; i++)
    {
      g_thread_join (threads[i]);
      wc_bare_relay_delete (relays[i]);
    }
  wc_register_unref (plan.reg);
}
END_TEST

/* Guards against a run that succeeds or never ends when no process listens, and datagrams above the maximum length. */
START_TEST (test_nothing_arrives)
{
  WcSpeedPlan   plan;
  WcSpeedResult result;
  WcError       error = { 0 };

  init_plan (&plan);
  plan.served = find_free_address ();
  plan.bare = find_free_address ();
  ck_assert (!wc_speed_run (&plan, &result, &error));
  ck_assert_str_eq (error.message, "no datagram arrives at the sink through the bare relay");
  plan.body_bytes = 1400;
  ck_assert (!wc_speed_run (&plan, &result, &error));
  ck_assert_int_eq (error.status, WC_STATUS_TOO_LARGE);
  wc_register_unref (plan.reg);
}
END_TEST

/* Guards against a wrong median of unsorted numbers or of an even count, and a required ratio
 * that is reported as met when it was missed. */
START_TEST (test_median_and_target)
{
  double        odd[] = { 3, 1, 2 };
  double        even[] = { 4, 1, 2, 3 };
  WcSpeedSpread spread = wc_speed_spread (odd, 3);
  WcSpeedResult result = { 0 };

  ck_assert (spread.min == 1 && spread.median == 2 && spread.max == 3);
  spread = wc_speed_spread (even, 4);
  ck_assert (spread.min == 1 && spread.median == 2.5 && spread.max == 4);
  result.ratio.median = 0.7;
  ck_assert (wc_speed_meets_target (&result));
  result.ratio.median = 0.699;
  ck_assert (!wc_speed_meets_target (&result));
  result.ratio.median = 0.8;
  result.ratio_cpu.median = 0.69;
  ck_assert (!wc_speed_meets_target (&result));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_two_bare_relays);
  tcase_add_test (tests, test_nothing_arrives);
  tcase_add_test (tests, test_median_and_target);
}

int
main (void)
{
  return wc_test_run ("speed_run", add_tests);
}
