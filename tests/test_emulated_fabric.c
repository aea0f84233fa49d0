#include "test_main.h"

#include "emulator/emulated_fabric.h"
#include "http_test_client.h"

enum
{
  INSTANCES = 3,
  CALLERS = 2,
  SENT_DATAGRAMS = 400,
  GROUP_DATAGRAMS = 32,
  /* Turns of the loop without an event, 1 ms each; longer than the maximum delay of a datagram. */
  GROUP_TURNS = 40
};

typedef struct
{
  struct ev_loop   *loop;
  WcEmulatedFabric *fabric;
  WcAddress         address;
  WcAddress         control;
  int               instances[INSTANCES];
  int               callers[CALLERS];
  uint32_t          received[INSTANCES];
} Fixture;

static const WcAddress ANY = { .ip = { 127, 0, 0, 1 }, .family = 4 };

static void
set_up (Fixture *fixture, WcFabricFaults faults)
{
  WcAddress              addresses[INSTANCES];
  WcEmulatedFabricConfig config = { .listen = ANY,
                                    .control = ANY,
                                    .instances = addresses,
                                    .instance_count = INSTANCES,
                                    .faults = faults,
                                    .seed = 7,
                                    .idle_timeout_s = 60 };

  memset (fixture, 0, sizeof *fixture);
  for (int i = 0; i < INSTANCES; i++)
    {
      fixture->instances[i] = wc_net_bind (SOCK_DGRAM, &ANY, NULL);
      wc_net_get_local_address (fixture->instances[i], &addresses[i]);
    }
  fixture->loop = ev_loop_new (0);
  fixture->fabric = wc_emulated_fabric_new (fixture->loop, &config, NULL);
  ck_assert_ptr_nonnull (fixture->fabric);
  wc_emulated_fabric_get_address (fixture->fabric, &fixture->address);
  wc_emulated_fabric_get_control_address (fixture->fabric, &fixture->control);
  for (int i = 0; i < CALLERS; i++)
    {
      struct sockaddr_storage storage;
      socklen_t               length = wc_socket_address_to_sockaddr (&fixture->address, &storage);

      fixture->callers[i] = wc_net_bind (SOCK_DGRAM, &ANY, NULL);
      ck_assert_int_eq (connect (fixture->callers[i], (const struct sockaddr *)&storage, length), 0);
    }
}

static void
tear_down (Fixture *fixture)
{
  wc_emulated_fabric_delete (fixture->fabric);
  ev_loop_destroy (fixture->loop);
  for (int i = 0; i < INSTANCES; i++)
    close (fixture->instances[i]);
  for (int i = 0; i < CALLERS; i++)
    close (fixture->callers[i]);
}

/* Sends the datagrams that instances received back to their source. */
static void
echo (Fixture *fixture)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      struct sockaddr_storage source;
      socklen_t               length = sizeof source;
      char                    data[64];
      ssize_t                 size;

      while ((size = recvfrom (fixture->instances[i], data, sizeof data, 0, (struct sockaddr *)&source, &length)) > 0)
        {
          fixture->received[i]++;
          sendto (fixture->instances[i], data, (size_t)size, 0, (const struct sockaddr *)&source, length);
        }
    }
}

/*
 * Sends @count numbered datagrams of a caller and counts the datagrams that come back, by number. @out_of_order: those
 * that arrived after one with a higher number. Return: number of datagrams that came back.
 */
static uint32_t
exchange_datagrams (Fixture *fixture, int caller, uint32_t count, uint32_t responses[], uint32_t *out_of_order)
{
  uint32_t total = 0;
  uint32_t highest = 0;
  uint32_t sent = 0;
  int      idle = 0;

  memset (responses, 0, count * sizeof *responses);
  *out_of_order = 0;
  /* A turn of the loop without an event takes 1 ms; 500 of them cover datagrams that are delayed after the last send.
   * A group is sent after the previous one has come back, because a socket's buffer holds fewer than 300 datagrams. */
  while (sent < count || idle < 500)
    {
      uint32_t datagram[2] = { (uint32_t)caller, sent };
      ssize_t  size;

      idle++;
      if (sent < count && (sent % GROUP_DATAGRAMS != 0 || idle > GROUP_TURNS))
        {
          ck_assert_int_eq (send (fixture->callers[caller], datagram, sizeof datagram, 0), sizeof datagram);
          sent++;
          idle = 0;
        }
      http_run_loop_once (fixture->loop, NULL);
      echo (fixture);
      while ((size = recv (fixture->callers[caller], datagram, sizeof datagram, 0)) > 0)
        {
          ck_assert_int_eq (size, sizeof datagram);
          ck_assert_uint_eq (datagram[0], (uint32_t)caller);
          ck_assert_uint_lt (datagram[1], count);
          responses[datagram[1]]++;
          total++;
          idle = 0;
          if (datagram[1] < highest)
            ++*out_of_order;
          highest = MAX (highest, datagram[1]);
        }
    }
  return total;
}

/* Guards against a fabric that sends all datagrams of a caller to one instance, or responses to the wrong caller. */
START_TEST (test_random_instance)
{
  Fixture  fixture;
  uint32_t responses[SENT_DATAGRAMS];
  uint32_t out_of_order;

  set_up (&fixture, (WcFabricFaults){ 0 });
  for (int caller = 0; caller < CALLERS; caller++)
    ck_assert_uint_eq (exchange_datagrams (&fixture, caller, SENT_DATAGRAMS, responses, &out_of_order), SENT_DATAGRAMS);
  for (int i = 0; i < INSTANCES; i++)
    ck_assert_uint_gt (fixture.received[i], SENT_DATAGRAMS * CALLERS / INSTANCES / 2);
  tear_down (&fixture);
}
END_TEST

/* Guards against configured faults that are not injected: tests of the fleet under faults would pass without any. */
START_TEST (test_faults)
{
  Fixture  fixture;
  uint32_t responses[SENT_DATAGRAMS];
  uint32_t out_of_order;
  uint32_t lost = 0;
  uint32_t repeated = 0;

  set_up (&fixture,
          (WcFabricFaults){
              .loss = 0.1, .duplicate = 0.1, .reorder = 0.2, .reorder_ms = 10, .delay_ms = 1, .jitter_ms = 2 });
  exchange_datagrams (&fixture, 0, SENT_DATAGRAMS, responses, &out_of_order);
  for (int i = 0; i < SENT_DATAGRAMS; i++)
    {
      lost += responses[i] == 0;
      repeated += responses[i] > 1;
    }
  ck_assert_uint_gt (lost, SENT_DATAGRAMS / 20);
  ck_assert_uint_lt (lost, SENT_DATAGRAMS / 2);
  ck_assert_uint_gt (repeated, SENT_DATAGRAMS / 20);
  ck_assert_uint_gt (out_of_order, 0);

  ck_assert_int_eq (http_request_status (fixture.loop, &fixture.control, "POST", "/control/faults", "",
                                         "{\"loss\": 0, \"duplicate\": 0, \"reorder\": 0}"),
                    200);
  ck_assert_uint_eq (exchange_datagrams (&fixture, 0, SENT_DATAGRAMS, responses, &out_of_order), SENT_DATAGRAMS);
  tear_down (&fixture);
}
END_TEST

/* Guards against a new list of instances that does not apply to active callers, and against malformed lists. */
START_TEST (test_instance_list_change)
{
  Fixture   fixture;
  WcAddress last;
  uint32_t  responses[SENT_DATAGRAMS];
  uint32_t  out_of_order;
  char      text[WC_ADDRESS_TEXT_BYTES];
  char     *body;

  set_up (&fixture, (WcFabricFaults){ 0 });
  wc_net_get_local_address (fixture.instances[2], &last);
  body = g_strdup_printf ("{\"instances\": [\"%s\"], \"lag_ms\": 0}", wc_address_format (&last, text));
  ck_assert_int_eq (http_request_status (fixture.loop, &fixture.control, "PUT", "/control/instances", "", body), 200);
  http_run_loop_once (fixture.loop, NULL);
  ck_assert_uint_eq (exchange_datagrams (&fixture, 0, SENT_DATAGRAMS, responses, &out_of_order), SENT_DATAGRAMS);
  ck_assert_uint_eq (fixture.received[2], SENT_DATAGRAMS);
  ck_assert_int_eq (http_request_status (fixture.loop, &fixture.control, "PUT", "/control/instances", "",
                                         "{\"instances\": [\"nowhere\"]}"),
                    400);
  ck_assert_int_eq (
      http_request_status (fixture.loop, &fixture.control, "PUT", "/control/instances", "", "{\"instances\": [null]}"),
      400);
  g_free (body);
  tear_down (&fixture);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("emulated_fabric");

  tcase_add_test (cases, test_random_instance);
  tcase_add_test (cases, test_faults);
  tcase_add_test (cases, test_instance_list_change);
  return wc_test_run_case ("emulated_fabric", cases);
}
