#include "test_main.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/socket_address.h"
#include "edge/udp_batch.h"

/*
 * A batch that receives, and a socket that sends to it.
 * @is_known, @waited_us: of the datagram that was received last.
 */
typedef struct
{
  WcUdpBatch             *batch;
  struct sockaddr_storage destination;
  socklen_t               destination_bytes;
  int                     sender;
  bool                    is_known;
  uint64_t                waited_us;
} Fixture;

static void
init (Fixture *fixture)
{
  const WcAddress any = { .ip = { 127, 0, 0, 1 }, .family = 4 };
  WcError         error;
  int             fd = wc_socket_open_udp (&any, false, &error);

  ck_assert_int_ge (fd, 0);
  memset (fixture, 0, sizeof *fixture);
  fixture->batch = wc_udp_batch_new (fd);
  fixture->destination_bytes = sizeof fixture->destination;
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&fixture->destination, &fixture->destination_bytes), 0);
  fixture->sender = wc_socket_open_udp (&any, false, &error);
  ck_assert_int_ge (fixture->sender, 0);
}

static void
finish (Fixture *fixture)
{
  close (fixture->sender);
  wc_udp_batch_delete (fixture->batch);
}

static void
send_datagram (const Fixture *fixture)
{
  ck_assert_int_eq (
      sendto (fixture->sender, "x", 1, 0, (const struct sockaddr *)&fixture->destination, fixture->destination_bytes),
      1);
}

static void
received (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  Fixture *fixture = user_data;

  (void)source;
  (void)data;
  (void)size_bytes;
  fixture->is_known = wc_udp_batch_get_waited_us (fixture->batch, &fixture->waited_us);
}

static void
receive (Fixture *fixture)
{
  wc_udp_batch_mark_read (fixture->batch);
  ck_assert_uint_eq (wc_udp_batch_receive (fixture->batch, received, fixture), 1);
}

/*
 * The kernel stamps a datagram that arrived without a timestamp when it is read. Guards against an old datagram that
 * counts as new because of that. If another process of the machine uses timestamps, it has a true one.
 */
START_TEST (stamp_of_the_read_is_no_arrival)
{
  static Fixture fixture;

  for (int i = 0; i < 20; i++)
    {
      init (&fixture);
      send_datagram (&fixture);
      usleep (20 * 1000);
      ck_assert (wc_udp_batch_enable_timestamps (fixture.batch));
      receive (&fixture);
      ck_assert (!fixture.is_known || fixture.waited_us >= 20 * 1000);
      finish (&fixture);
    }
}
END_TEST

/* Guards against waits that are unknown once timestamps have taken effect, and against wrong ones. */
START_TEST (wait_of_stamped_datagram_is_known)
{
  static Fixture fixture;
  uint64_t       sent_us = 0;

  init (&fixture);
  ck_assert (wc_udp_batch_enable_timestamps (fixture.batch));
  for (int i = 0; i < 100 && !fixture.is_known; i++)
    {
      sent_us = wc_clock_monotonic_us ();
      send_datagram (&fixture);
      usleep (20 * 1000);
      receive (&fixture);
    }
  ck_assert (fixture.is_known);
  ck_assert_uint_ge (fixture.waited_us, 20 * 1000);
  ck_assert_uint_le (fixture.waited_us, wc_clock_monotonic_us () - sent_us);
  finish (&fixture);
}
END_TEST

/* Guards against a wait without timestamps. */
START_TEST (wait_is_unknown_without_timestamps)
{
  static Fixture fixture;

  init (&fixture);
  send_datagram (&fixture);
  receive (&fixture);
  ck_assert (!fixture.is_known);
  finish (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, stamp_of_the_read_is_no_arrival);
  tcase_add_test (tests, wait_of_stamped_datagram_is_known);
  tcase_add_test (tests, wait_is_unknown_without_timestamps);
}

int
main (void)
{
  return wc_test_run ("udp_batch", add_tests);
}
