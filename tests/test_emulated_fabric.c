#include "test_main.h"

#include "emulator/emulated_fabric.h"
#include "http_test_client.h"

enum
{
  INSTANCES = 3,
  CALLERS = 2,
  SENT = 400,
  GROUP = 32,
  /* Longer than the longest delay, in turns of 1 ms. */
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

/* Instances send back what they receive. */
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
 * Sends numbered datagrams of one caller and counts the answers by number. @out_of_order counts answers with a number
 * below one that has arrived before.
 */
static uint32_t
exchange (Fixture *fixture, int caller, uint32_t count, uint32_t answers[], uint32_t *out_of_order)
{
  uint32_t total = 0;
  uint32_t highest = 0;
  uint32_t sent = 0;
  int      idle = 0;

  memset (answers, 0, count * sizeof *answers);
  *out_of_order = 0;
  /* Delayed answers come long after the last send; a turn without any event lasts 1 ms. Each group of datagrams is sent
   * once the one before has come back, because a socket's buffer holds fewer than 300 of them. */
  while (sent < count || idle < 500)
    {
      uint32_t datagram[2] = { (uint32_t)caller, sent };
      ssize_t  size;

      idle++;
      if (sent < count && (sent % GROUP != 0 || idle > GROUP_TURNS))
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
          answers[datagram[1]]++;
          total++;
          idle = 0;
          if (datagram[1] < highest)
            ++*out_of_order;
          highest = MAX (highest, datagram[1]);
        }
    }
  return total;
}

/* Guards against a fabric that keeps a caller on one instance, or gives one caller's answers to another. */
START_TEST (test_random_instance)
{
  Fixture  fixture;
  uint32_t answers[SENT];
  uint32_t out_of_order;

  set_up (&fixture, (WcFabricFaults){ 0 });
  for (int caller = 0; caller < CALLERS; caller++)
    ck_assert_uint_eq (exchange (&fixture, caller, SENT, answers, &out_of_order), SENT);
  for (int i = 0; i < INSTANCES; i++)
    ck_assert_uint_gt (fixture.received[i], SENT * CALLERS / INSTANCES / 2);
  tear_down (&fixture);
}
END_TEST

/* Guards against faults that do not happen, which would make tests of the fleet pass without showing anything. */
START_TEST (test_faults)
{
  Fixture  fixture;
  uint32_t answers[SENT];
  uint32_t out_of_order;
  uint32_t lost = 0;
  uint32_t repeated = 0;

  set_up (&fixture,
          (WcFabricFaults){
              .loss = 0.1, .duplicate = 0.1, .reorder = 0.2, .reorder_ms = 10, .delay_ms = 1, .jitter_ms = 2 });
  exchange (&fixture, 0, SENT, answers, &out_of_order);
  for (int i = 0; i < SENT; i++)
    {
      lost += answers[i] == 0;
      repeated += answers[i] > 1;
    }
  ck_assert_uint_gt (lost, SENT / 20);
  ck_assert_uint_lt (lost, SENT / 2);
  ck_assert_uint_gt (repeated, SENT / 20);
  ck_assert_uint_gt (out_of_order, 0);

  ck_assert_int_eq (http_request_status (fixture.loop, &fixture.control, "POST", "/control/faults", "",
                                         "{\"loss\": 0, \"duplicate\": 0, \"reorder\": 0}"),
                    200);
  ck_assert_uint_eq (exchange (&fixture, 0, SENT, answers, &out_of_order), SENT);
  tear_down (&fixture);
}
END_TEST

/* Guards against a list of instances that cannot be changed while callers are active. */
START_TEST (test_instance_list_change)
{
  Fixture   fixture;
  WcAddress last;
  uint32_t  answers[SENT];
  uint32_t  out_of_order;
  char      text[WC_ADDRESS_TEXT_BYTES];
  char     *body;

  set_up (&fixture, (WcFabricFaults){ 0 });
  wc_net_get_local_address (fixture.instances[2], &last);
  body = g_strdup_printf ("{\"instances\": [\"%s\"], \"lag_ms\": 0}", wc_address_format (&last, text));
  ck_assert_int_eq (http_request_status (fixture.loop, &fixture.control, "PUT", "/control/instances", "", body), 200);
  http_run_loop_once (fixture.loop, NULL);
  ck_assert_uint_eq (exchange (&fixture, 0, SENT, answers, &out_of_order), SENT);
  ck_assert_uint_eq (fixture.received[2], SENT);
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
