#include <check.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <wigeoncart/register.h>

#include "edge/log.h"
#include "edge/platform_client.h"

#include "test_main.h"

/* A platform server that sends the same bytes on each connection and then closes it. */
typedef struct
{
  int         listener;
  ev_io       io;
  WcAddress   address;
  const char *response;
  size_t      response_bytes;
  /* Maximum size of a part that is sent at once, and the pause after each part; 0 for none. */
  size_t   part_bytes;
  gulong   pause_us;
  unsigned connections;
  int      descriptor;
  GThread *sender;
} Server;

typedef struct
{
  unsigned         calls;
  WcPlatformRead   read;
  WcPlatformResult result;
  uint64_t         version;
  char            *body;
} ReadResult;

/* Runs in a thread: a long response does not fit into the socket buffer, and the client reads in the event loop. */
static gpointer
send_response (gpointer user_data)
{
  Server *server = user_data;
  char    request[1024];
  size_t  sent = 0;
  ssize_t step = recv (server->descriptor, request, sizeof request, 0);

  while (step > 0 && sent < server->response_bytes)
    {
      size_t left = server->response_bytes - sent;

      step = send (server->descriptor, server->response + sent,
                   server->part_bytes > 0 ? MIN (left, server->part_bytes) : left, MSG_NOSIGNAL);
      sent += step > 0 ? (size_t)step : 0;
      if (server->pause_us > 0)
        g_usleep (server->pause_us);
    }
  close (server->descriptor);
  return NULL;
}

static void
on_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  Server *server = watcher->data;

  (void)loop;
  (void)events;
  if (server->sender)
    g_thread_join (server->sender);
  server->descriptor = accept (server->listener, NULL, NULL);
  server->connections++;
  server->sender = g_thread_new ("platform", send_response, server);
}

static void
server_open (Server *server, struct ev_loop *loop, const char *response)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t          length = sizeof address;

  memset (server, 0, sizeof *server);
  server->response = response;
  server->response_bytes = response ? strlen (response) : 0;
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (server->listener, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (server->listener, 8), 0);
  ck_assert_int_eq (getsockname (server->listener, (struct sockaddr *)&address, &length), 0);
  server->address.family = 4;
  server->address.ip[0] = 127;
  server->address.ip[3] = 1;
  server->address.port = ntohs (address.sin_port);
  ev_io_init (&server->io, on_connection, server->listener, EV_READ);
  server->io.data = server;
  ev_io_start (loop, &server->io);
}

static void
server_close (Server *server, struct ev_loop *loop)
{
  ev_io_stop (loop, &server->io);
  if (server->sender)
    g_thread_join (server->sender);
  close (server->listener);
}

static void
read_finished (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
               size_t size_bytes)
{
  ReadResult *outcome = user_data;

  outcome->calls++;
  outcome->read = read;
  outcome->result = result;
  outcome->version = version;
  g_free (outcome->body);
  outcome->body = g_strndup (body ? body : "", size_bytes);
}

static void
run_until_finished (struct ev_loop *loop, ReadResult *outcome)
{
  unsigned calls = outcome->calls;

  while (outcome->calls == calls)
    ev_run (loop, EVRUN_ONCE);
}

/* Guards against misread responses: versions, chunked bodies, watches that end, and failures reported as values. */
START_TEST (responses_are_parsed)
{
  static const struct
  {
    const char      *bytes;
    WcPlatformResult result;
    uint64_t         version;
    const char      *body;
  } CASES[] = {
    { "HTTP/1.1 200 OK\r\nx-version: 17\r\nContent-Length: 5\r\n\r\nvalue", WC_PLATFORM_RESULT_OK, 17, "value" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Version: 18446744073709551615\r\n\r\n", WC_PLATFORM_RESULT_OK,
      UINT64_MAX, "" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nval\r\n2\r\nue\r\n0\r\n\r\n", WC_PLATFORM_RESULT_OK, 0,
      "value" },
    { "HTTP/1.1 200 OK\r\n\r\nuntil the end", WC_PLATFORM_RESULT_FAILED, 0, "" },
    { "HTTP/1.1 304 Not Modified\r\nX-Version: 3\r\n\r\n", WC_PLATFORM_RESULT_UNCHANGED, 3, "" },
    { "HTTP/1.1 500 Broken\r\nContent-Length: 5\r\n\r\nvalue", WC_PLATFORM_RESULT_FAILED, 0, "" },
    { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", WC_PLATFORM_RESULT_FAILED, 0, "" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nvalue", WC_PLATFORM_RESULT_FAILED, 0, "" },
    { "garbage", WC_PLATFORM_RESULT_FAILED, 0, "" },
    { "", WC_PLATFORM_RESULT_FAILED, 0, "" },
  };
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  ReadResult        outcome = { 0 };
  Server            server;
  WcPlatformClient *client;

  server_open (&server, loop, CASES[_i].bytes);
  client = wc_platform_client_new (loop, &server.address, 1, read_finished, &outcome);
  wc_platform_client_get (client, WC_PLATFORM_READ_CONFIG_PART, "/v1/config/part", 0);
  ck_assert_uint_eq (outcome.calls, 0);
  run_until_finished (loop, &outcome);
  ck_assert_int_eq (outcome.read, WC_PLATFORM_READ_CONFIG_PART);
  ck_assert_int_eq (outcome.result, CASES[_i].result);
  if (outcome.result != WC_PLATFORM_RESULT_FAILED)
    ck_assert_uint_eq (outcome.version, CASES[_i].version);
  ck_assert_str_eq (outcome.body, CASES[_i].body);
  g_free (outcome.body);
  wc_platform_client_delete (client);
  server_close (&server, loop);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against a failed server that prevents failover to the next one, or that is preferred again afterwards. */
START_TEST (failover_to_next_platform)
{
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  ReadResult        outcome = { 0 };
  Server            broken;
  Server            works;
  WcAddress         addresses[3];
  WcPlatformClient *client;

  server_open (&broken, loop, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
  server_open (&works, loop, "HTTP/1.1 200 OK\r\nX-Version: 1\r\nContent-Length: 1\r\n\r\nv");
  addresses[0] = broken.address;
  /* Nothing listens on the discard port of this address. */
  addresses[1] = broken.address;
  addresses[1].port = 9;
  addresses[2] = works.address;
  client = wc_platform_client_new (loop, addresses, 3, read_finished, &outcome);
  for (int i = 0; i < 2; i++)
    {
      wc_platform_client_get (client, WC_PLATFORM_READ_CONFIG_HEAD, "/v1/config/head", 0);
      run_until_finished (loop, &outcome);
      ck_assert_int_eq (outcome.result, WC_PLATFORM_RESULT_OK);
    }
  ck_assert_uint_eq (broken.connections, 1);
  ck_assert_uint_eq (works.connections, 2);
  g_free (outcome.body);
  wc_platform_client_delete (client);
  server_close (&broken, loop);
  server_close (&works, loop);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against response bodies of unlimited size, and against a limit below the size of the largest part. */
START_TEST (response_size_limit)
{
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  ReadResult        outcome = { 0 };
  Server            server;
  int               size_bytes = WC_REGISTER_PART_MAX_BYTES + _i % 2;
  GString          *text = g_string_new ("HTTP/1.1 200 OK\r\n");
  WcPlatformClient *client;

  if (_i < 2)
    g_string_append_printf (text, "Content-Length: %d\r\n\r\n%0*d", size_bytes, size_bytes, 0);
  else
    g_string_append_printf (text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%0*d\r\n0\r\n\r\n", size_bytes, size_bytes,
                            0);
  server_open (&server, loop, text->str);
  client = wc_platform_client_new (loop, &server.address, 1, read_finished, &outcome);
  wc_platform_client_get (client, WC_PLATFORM_READ_CONFIG_PART, "/v1/config/part", 0);
  run_until_finished (loop, &outcome);
  ck_assert_int_eq (outcome.result, _i % 2 == 0 ? WC_PLATFORM_RESULT_OK : WC_PLATFORM_RESULT_FAILED);
  g_free (outcome.body);
  wc_platform_client_delete (client);
  server_close (&server, loop);
  g_string_free (text, TRUE);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against a callback for a read that was cancelled or replaced, and against reads that succeed while blocked. */
START_TEST (cancel_and_block)
{
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  ReadResult        outcome = { 0 };
  Server            server;
  WcPlatformClient *client;

  server_open (&server, loop, "HTTP/1.1 200 OK\r\nX-Version: 1\r\nContent-Length: 1\r\n\r\nv");
  client = wc_platform_client_new (loop, &server.address, 1, read_finished, &outcome);
  wc_platform_client_get (client, WC_PLATFORM_READ_CONFIG_HEAD, "/v1/config/head", 0);
  wc_platform_client_get (client, WC_PLATFORM_READ_CONFIG_HEAD, "/v1/config/head", 0);
  wc_platform_client_get (client, WC_PLATFORM_READ_INSTANCES, "/v1/instances", 0);
  wc_platform_client_cancel (client, WC_PLATFORM_READ_INSTANCES);
  run_until_finished (loop, &outcome);
  for (int i = 0; i < 20; i++)
    ev_run (loop, EVRUN_NOWAIT);
  ck_assert_uint_eq (outcome.calls, 1);
  ck_assert_int_eq (outcome.read, WC_PLATFORM_READ_CONFIG_HEAD);

  wc_platform_client_get (client, WC_PLATFORM_READ_CONFIG_HEAD, "/v1/config/head", 0);
  wc_platform_client_set_blocked (client, true);
  run_until_finished (loop, &outcome);
  ck_assert_int_eq (outcome.result, WC_PLATFORM_RESULT_FAILED);
  wc_platform_client_set_blocked (client, false);
  wc_platform_client_get (client, WC_PLATFORM_READ_CONFIG_HEAD, "/v1/config/head", 0);
  run_until_finished (loop, &outcome);
  ck_assert_int_eq (outcome.result, WC_PLATFORM_RESULT_OK);
  g_free (outcome.body);
  wc_platform_client_delete (client);
  server_close (&server, loop);
  ev_loop_destroy (loop);
}
END_TEST

/* A server that sends each response twice on a kept connection; the body is the number of the request. */
typedef struct
{
  int      listener;
  gulong   pause_us;
  unsigned requests;
} RepeatingServer;

static gpointer
respond_twice (gpointer user_data)
{
  RepeatingServer *server = user_data;
  int              descriptor;

  while ((descriptor = accept (server->listener, NULL, NULL)) >= 0)
    {
      char request[1024];

      while (recv (descriptor, request, sizeof request, 0) > 0)
        {
          char *response = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%u", ++server->requests);
          char *both = g_strconcat (response, server->pause_us == 0 ? response : "", NULL);

          send (descriptor, both, strlen (both), MSG_NOSIGNAL);
          if (server->pause_us > 0)
            {
              g_usleep (server->pause_us);
              send (descriptor, response, strlen (response), MSG_NOSIGNAL);
            }
          g_free (both);
          g_free (response);
        }
      close (descriptor);
    }
  return NULL;
}

/*
 * Guards against a second copy of a response that is taken for the response to the next read on the connection, which
 * would be an old view of the store. It comes with the first one, or while the connection is idle.
 */
START_TEST (second_copy_of_response_is_not_used)
{
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  ReadResult        outcome = { 0 };
  Server            listening;
  RepeatingServer   server = { .pause_us = (gulong)_i * 20 * 1000 };
  WcPlatformClient *client;
  GThread          *thread;

  server_open (&listening, loop, "");
  ev_io_stop (loop, &listening.io);
  server.listener = listening.listener;
  thread = g_thread_new ("platform", respond_twice, &server);
  client = wc_platform_client_new (loop, &listening.address, 1, read_finished, &outcome);
  for (unsigned read = 1; read <= 3; read++)
    {
      char *expected = g_strdup_printf ("%u", read);

      wc_platform_client_get (client, WC_PLATFORM_READ_STORE_CHANGES, "/changes", 0);
      run_until_finished (loop, &outcome);
      ck_assert_int_eq (outcome.result, WC_PLATFORM_RESULT_OK);
      ck_assert_str_eq (outcome.body, expected);
      g_usleep (60 * 1000);
      g_free (expected);
    }
  g_free (outcome.body);
  wc_platform_client_delete (client);
  shutdown (server.listener, SHUT_RDWR);
  g_thread_join (thread);
  close (server.listener);
  ev_loop_destroy (loop);
}
END_TEST

/*
 * A configuration of 1,800 routes over a slow link takes longer than the timeout, although data keeps arriving. Guards
 * against reads that are aborted and restarted for this reason: in a fleet of 75 instances the configuration was in
 * force only after 7 s. Also guards against waiting on a connection that stalls in the middle of a response.
 */
START_TEST (stalled_body_times_out_but_slow_body_does_not)
{
  static const char bytes[] = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
                              "123456789012345678901234567890";
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  ReadResult        outcome = { 0 };
  Server            server;
  WcPlatformClient *client;

  server_open (&server, loop, bytes);
  server.part_bytes = 10;
  client = wc_platform_client_new (loop, &server.address, 1, read_finished, &outcome);
  wc_platform_client_set_response_timeout_us (client, 1000 * 1000);
  server.pause_us = (gulong)(_i == 0 ? 200 * 1000 : 1500 * 1000);
  wc_platform_client_get (client, WC_PLATFORM_READ_STORE_CHANGES, "/changes", 0);
  run_until_finished (loop, &outcome);
  ck_assert_int_eq (outcome.result, _i == 0 ? WC_PLATFORM_RESULT_OK : WC_PLATFORM_RESULT_FAILED);
  g_free (outcome.body);
  wc_platform_client_delete (client);
  server_close (&server, loop);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against a long response that is given up while it is being received, and against one that counts for ever. */
START_TEST (response_in_progress_is_visible)
{
  static const char bytes[] = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"
                              "123456789012345678901234567890";
  struct ev_loop   *loop = ev_loop_new (EVFLAG_AUTO);
  ReadResult        outcome = { 0 };
  Server            server;
  WcPlatformClient *client;

  server_open (&server, loop, bytes);
  server.part_bytes = 60;
  server.pause_us = 100 * 1000;
  client = wc_platform_client_new (loop, &server.address, 1, read_finished, &outcome);
  wc_platform_client_get (client, WC_PLATFORM_READ_STORE_CHANGES, "/changes", 0);
  ck_assert (!wc_platform_client_is_receiving (client));
  while (!wc_platform_client_is_receiving (client))
    ev_run (loop, EVRUN_ONCE);
  ck_assert_uint_eq (outcome.calls, 0);
  run_until_finished (loop, &outcome);
  ck_assert_int_eq (outcome.result, WC_PLATFORM_RESULT_OK);
  ck_assert (!wc_platform_client_is_receiving (client));
  g_free (outcome.body);
  wc_platform_client_delete (client);
  server_close (&server, loop);
  ev_loop_destroy (loop);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("platform_client");

  wc_log_set_level (WC_LOG_ERROR);
  tcase_add_loop_test (cases, responses_are_parsed, 0, 10);
  tcase_add_test (cases, failover_to_next_platform);
  tcase_add_loop_test (cases, response_size_limit, 0, 4);
  tcase_add_test (cases, cancel_and_block);
  tcase_add_loop_test (cases, stalled_body_times_out_but_slow_body_does_not, 0, 2);
  tcase_add_test (cases, response_in_progress_is_visible);
  tcase_add_loop_test (cases, second_copy_of_response_is_not_used, 0, 2);
  return wc_test_run_case ("platform_client", cases);
}
