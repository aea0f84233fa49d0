#include "emulator/speed_probe.h"

#include <sys/socket.h>
#include <unistd.h>

#include "edge/socket_address.h"
#include "test_main.h"

static WcKeyring *
make_keyring (void)
{
  WcKey key = { .epoch = 1, .secret = { 1 } };

  return wc_keyring_new (&key, 1);
}

static int
open_sink (WcAddress *address)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t               length = sizeof storage;
  int                     fd;

  ck_assert (wc_address_parse ("127.0.0.1:0", address));
  fd = wc_socket_open_udp (address, false, NULL);
  ck_assert_int_ge (fd, 0);
  getsockname (fd, (struct sockaddr *)&storage, &length);
  wc_socket_address_from_sockaddr (&storage, address);
  return fd;
}

/* Guards against a probe that does not count datagrams sent directly to its sink, or that counts datagrams of the rate
 * measurement in the latencies. */
START_TEST (test_direct_to_sink)
{
  WcSpeedPacketsConfig packets_config = { .service = "s", .domain = "d", .flows = 400 };
  WcKeyring           *keyring = make_keyring ();
  WcSpeedProbeConfig   config = { .window = 64, .generator_core = -1, .sink_core = -1, .keyring = keyring };
  WcSpeedRate          rate;
  WcSpeedLatency       latency;
  WcSpeedPackets      *packets;

  config.sink = open_sink (&config.destination);
  packets = wc_speed_packets_new (&packets_config, keyring);
  config.packets = packets;
  wc_speed_probe_measure_rate (&config, 10, 400, &rate);
  ck_assert_uint_gt (rate.arrived, 0);
  ck_assert (rate.per_second > 0);
  ck_assert_uint_eq (rate.invalid, 0);
  wc_speed_probe_measure_latency (&config, 50000, 1000, &latency);
  ck_assert_uint_eq (latency.sent, 400);
  ck_assert_uint_le (latency.arrived, latency.sent);
  ck_assert_uint_le (latency.p50_ns, latency.p99_ns);
  wc_speed_packets_delete (packets);
  wc_keyring_unref (keyring);
  close (config.sink);
}
END_TEST

/* Guards against a generator that never ends when all datagrams are lost, and latencies that are reported without an
 * arrival: the datagrams go to a socket that is not the sink. */
START_TEST (test_all_datagrams_lost)
{
  WcSpeedPacketsConfig packets_config = { .service = "s", .domain = "d", .flows = 400 };
  WcKeyring           *keyring = make_keyring ();
  WcSpeedProbeConfig   config = { .window = 64, .generator_core = -1, .sink_core = -1, .keyring = keyring };
  WcSpeedRate          rate;
  WcSpeedLatency       latency;
  WcSpeedPackets      *packets = wc_speed_packets_new (&packets_config, keyring);
  WcAddress            unread_address;
  int                  unread_fd = open_sink (&unread_address);

  config.sink = open_sink (&config.destination);
  config.destination = unread_address;
  config.packets = packets;
  wc_speed_probe_measure_rate (&config, 0, 100, &rate);
  ck_assert_uint_eq (rate.arrived, 0);
  ck_assert_uint_gt (rate.lost, 0);
  wc_speed_probe_measure_latency (&config, 50000, 100, &latency);
  ck_assert_uint_eq (latency.sent, 100);
  ck_assert_uint_eq (latency.arrived, 0);
  ck_assert_uint_eq (latency.p99_ns, 0);
  wc_speed_packets_delete (packets);
  wc_keyring_unref (keyring);
  close (config.sink);
  close (unread_fd);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_direct_to_sink);
  tcase_add_test (tests, test_all_datagrams_lost);
}

int
main (void)
{
  return wc_test_run ("speed_probe", add_tests);
}
