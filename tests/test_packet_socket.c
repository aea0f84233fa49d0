#include "test_main.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/packet_socket.h"
#include "edge/socket_address.h"
#include "emulator/flow_wire.h"

/* A packet socket on loopback, and a socket that sends openings to it. */
typedef struct
{
  struct ev_loop *loop;
  WcPacketSocket *sock;
  WcAddress       address;
  int             sender;
  uint64_t        sent_us;
  uint32_t        received;
  uint64_t        waited_us[128];
  uint64_t        since_sent_us;
} Fixture;

static void
packet_received (void *user_data, const WcPacket *packet, uint64_t now_us)
{
  Fixture *fixture = user_data;

  ck_assert_uint_lt (fixture->received, G_N_ELEMENTS (fixture->waited_us));
  fixture->since_sent_us = now_us - fixture->sent_us;
  fixture->waited_us[fixture->received++] = packet->waited_us;
}

static void
batch_received (void *user_data, uint64_t now_us)
{
  (void)user_data;
  (void)now_us;
}

static void
init (Fixture *fixture)
{
  static const WcPacketSocketOps ops = { .received = packet_received, .batch_received = batch_received };
  const WcAddress                any = { .ip = { 127, 0, 0, 1 }, .family = 4 };
  WcError                        error;

  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_loop_new (0);
  fixture->address = any;
  fixture->address.port = (uint16_t)(20000 + getpid () % 20000);
  fixture->sock = wc_packet_socket_new (fixture->loop, &fixture->address, &ops, fixture, &error);
  ck_assert_msg (fixture->sock != NULL, "%s", error.message);
  fixture->sender = wc_socket_open_udp (&any, false, &error);
  ck_assert_msg (fixture->sender >= 0, "%s", error.message);
}

static void
finish (Fixture *fixture)
{
  wc_packet_socket_delete (fixture->sock);
  close (fixture->sender);
  ev_loop_destroy (fixture->loop);
}

static void
send_openings (Fixture *fixture, size_t count)
{
  const WcPacket          opening = { .key = { 0x64400007, 0xc6120001, 40001, 443 }, .flags = WC_PACKET_SYN };
  uint8_t                 data[WC_FLOW_WIRE_MAX_BYTES];
  size_t                  size_bytes = wc_flow_wire_write (&opening, NULL, data);
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (&fixture->address, &storage);

  fixture->sent_us = wc_clock_monotonic_us ();
  for (size_t i = 0; i < count; i++)
    ck_assert_int_eq (sendto (fixture->sender, data, size_bytes, 0, (struct sockaddr *)&storage, length),
                      (ssize_t)size_bytes);
}

/* Runs the loop for 50 ms, in which it polls often. */
static void
run (Fixture *fixture)
{
  for (int i = 0; i < 10; i++)
    {
      ev_run (fixture->loop, EVRUN_NOWAIT);
      usleep (5000);
    }
}

static void
end_loop (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Guards against openings that count as new although they waited in the kernel while the process was paused. */
START_TEST (wait_during_a_pause_is_known)
{
  static Fixture fixture;

  init (&fixture);
  wc_packet_socket_start (fixture.sock);
  run (&fixture);
  send_openings (&fixture, 70);
  usleep (300 * 1000);
  send_openings (&fixture, 1);
  run (&fixture);
  ck_assert_uint_eq (fixture.received, 71);
  /* The 70th is in the second batch. */
  ck_assert_uint_ge (fixture.waited_us[0], 250 * 1000);
  ck_assert_uint_ge (fixture.waited_us[69], 250 * 1000);
  ck_assert_uint_lt (fixture.waited_us[70], fixture.waited_us[69]);
  finish (&fixture);
}
END_TEST

/*
 * Guards against fresh openings that count as old: because no packet came for a while, or because the socket was open
 * for long before the first one.
 */
START_TEST (idle_time_is_no_wait)
{
  static Fixture fixture;

  init (&fixture);
  usleep (300 * 1000);
  wc_packet_socket_start (fixture.sock);
  run (&fixture);
  for (uint32_t i = 0; i < 2; i++)
    {
      send_openings (&fixture, 1);
      run (&fixture);
      ck_assert_uint_eq (fixture.received, i + 1);
      ck_assert_uint_le (fixture.waited_us[i], fixture.since_sent_us);
      usleep (300 * 1000);
      run (&fixture);
    }
  finish (&fixture);
}
END_TEST

/*
 * The process is stopped while it polls, and continued after a while. Guards against the poll that then returns without
 * events and is taken for an empty socket.
 */
START_TEST (wait_while_stopped_is_known)
{
  static Fixture fixture;
  pid_t          child;
  int            status;

  init (&fixture);
  wc_packet_socket_start (fixture.sock);
  child = fork ();
  ck_assert_int_ge (child, 0);
  if (child == 0)
    {
      ev_timer timer;

      ev_loop_fork (fixture.loop);
      ev_timer_init (&timer, end_loop, 1.0, 0.0);
      ev_timer_start (fixture.loop, &timer);
      ev_run (fixture.loop, 0);
      _exit (fixture.received == 1 && fixture.waited_us[0] >= 250 * 1000 ? 0 : 1);
    }
  usleep (200 * 1000);
  kill (child, SIGSTOP);
  waitpid (child, &status, WUNTRACED);
  send_openings (&fixture, 1);
  usleep (300 * 1000);
  kill (child, SIGCONT);
  ck_assert_int_eq (waitpid (child, &status, 0), child);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  finish (&fixture);
}
END_TEST

/* Guards against packets of before the start of an instance that count as new. */
START_TEST (wait_before_the_start_is_known)
{
  static Fixture fixture;

  init (&fixture);
  send_openings (&fixture, 1);
  usleep (300 * 1000);
  wc_packet_socket_start (fixture.sock);
  run (&fixture);
  ck_assert_uint_eq (fixture.received, 1);
  ck_assert_uint_ge (fixture.waited_us[0], 250 * 1000);
  finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, wait_during_a_pause_is_known);
  tcase_add_test (tests, wait_while_stopped_is_known);
  tcase_add_test (tests, idle_time_is_no_wait);
  tcase_add_test (tests, wait_before_the_start_is_known);
}

int
main (void)
{
  return wc_test_run ("packet_socket", add_tests);
}
