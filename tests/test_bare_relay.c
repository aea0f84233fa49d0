#include "emulator/bare_relay.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/socket_address.h"
#include "test_main.h"

typedef struct
{
  WcBareRelay *relay;
  atomic_bool  stopping;
} RelayThread;

static gpointer
run_relay (gpointer data)
{
  RelayThread *context = data;

  wc_bare_relay_run (context->relay, &context->stopping, 10000);
  return NULL;
}

static int
open_socket (WcAddress *address)
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

/* Guards against datagrams of a batch that are lost, truncated or swapped: relays 100 of different lengths. */
START_TEST (test_datagrams_unchanged)
{
  RelayThread             context = { 0 };
  struct sockaddr_storage destination;
  WcAddress               sink;
  WcAddress               any;
  WcAddress               listen;
  socklen_t               length;
  int                     out;
  int                     in = open_socket (&sink);
  GThread                *thread;
  uint8_t                 sent[1400];
  uint8_t                 received[1500];

  out = open_socket (&any);
  ck_assert (wc_address_parse ("127.0.0.1:0", &any));
  context.relay = wc_bare_relay_new (&any, &sink, NULL);
  ck_assert_ptr_nonnull (context.relay);
  wc_bare_relay_get_address (context.relay, &listen);
  length = wc_socket_address_to_sockaddr (&listen, &destination);
  for (unsigned i = 0; i < 100; i++)
    {
      memset (sent, (int)i, sizeof sent);
      ck_assert_int_eq (sendto (out, sent, 14 * i, 0, (struct sockaddr *)&destination, length), 14 * i);
    }
  thread = g_thread_new ("bare", run_relay, &context);
  for (unsigned i = 0; i < 100; i++)
    {
      ssize_t size;

      while ((size = recv (in, received, sizeof received, 0)) < 0)
        g_usleep (1000);
      ck_assert_int_eq (size, 14 * i);
      memset (sent, (int)i, sizeof sent);
      ck_assert_mem_eq (sent, received, (size_t)size);
    }
  atomic_store (&context.stopping, true);
  g_thread_join (thread);
  ck_assert_uint_eq (wc_bare_relay_get_count (context.relay), 100);
  wc_bare_relay_delete (context.relay);
  close (in);
  close (out);
}
END_TEST

/* Guards against a relay that exceeds its time limit, and against a leaked socket when an address is in use. */
START_TEST (test_time_limit_and_used_address)
{
  atomic_bool  stopping = false;
  WcAddress    used;
  int          fd = open_socket (&used);
  WcAddress    any;
  WcBareRelay *relay;
  WcError      error = { 0 };

  ck_assert (wc_address_parse ("127.0.0.1:0", &any));
  relay = wc_bare_relay_new (&any, &used, NULL);
  ck_assert_ptr_nonnull (relay);
  wc_bare_relay_run (relay, &stopping, 1);
  ck_assert_uint_eq (wc_bare_relay_get_count (relay), 0);
  wc_bare_relay_delete (relay);
  ck_assert_ptr_null (wc_bare_relay_new (&used, &any, &error));
  ck_assert_int_eq (error.status, WC_STATUS_INVALID);
  close (fd);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_datagrams_unchanged);
  tcase_add_test (tests, test_time_limit_and_used_address);
}

int
main (void)
{
  return wc_test_run ("bare_relay", add_tests);
}
