#include "test_main.h"

#include "edge/http_server.h"
#include "http_test_client.h"

/* A server; the test responds to its requests, or the request callback does at once. */
typedef struct
{
  struct ev_loop *loop;
  WcHttpServer   *server;
  WcAddress       address;
  WcHttpExchange *pending;
  uint32_t        requests;
  uint32_t        aborted;
  uint32_t        accept_limit;
  bool            responds_immediately;
} Fixture;

static bool
accepted (void *user_data)
{
  const Fixture *fixture = user_data;

  return wc_http_server_get_connection_count (fixture->server) < fixture->accept_limit;
}

static void
request_received (void *user_data, WcHttpExchange *exchange)
{
  Fixture *fixture = user_data;

  fixture->requests++;
  fixture->pending = exchange;
  if (fixture->responds_immediately)
    {
      const char *path = wc_http_exchange_get_path (exchange);
      char       *copy = g_strdup (path);

      wc_http_exchange_respond (exchange, 200, NULL, copy, strlen (copy));
      g_free (copy);
      fixture->pending = NULL;
    }
}

static void
aborted (void *user_data, WcHttpExchange *exchange)
{
  Fixture *fixture = user_data;

  ck_assert_ptr_eq (fixture->pending, exchange);
  fixture->aborted++;
  fixture->pending = NULL;
}

static void
set_up (Fixture *fixture)
{
  static const WcHttpServerOps OPS = { .accepted = accepted, .request = request_received, .aborted = aborted };
  WcAddress                    address = { .ip = { 127, 0, 0, 1 }, .family = 4 };

  memset (fixture, 0, sizeof *fixture);
  fixture->accept_limit = 10;
  fixture->loop = ev_loop_new (0);
  fixture->server = wc_http_server_new (fixture->loop, &address, &OPS, fixture, NULL);
  ck_assert_ptr_nonnull (fixture->server);
  wc_http_server_get_address (fixture->server, &fixture->address);
}

static void
tear_down (Fixture *fixture)
{
  wc_http_server_delete (fixture->server);
  ev_loop_destroy (fixture->loop);
}

static void
wait_for_request (Fixture *fixture)
{
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS && !fixture->pending; i++)
    http_run_loop_once (fixture->loop, NULL);
  ck_assert_ptr_nonnull (fixture->pending);
}

/* Guards against parser errors when a request arrives in several reads: here one byte per read. */
START_TEST (test_request_split_across_reads)
{
  static const char TEXT[] = "POST /a/b?x=1%202&y= HTTP/1.1\r\nHost: order-desk\r\nX-Empty:\r\nX-Request-Id: 77\r\n"
                             "Content-Length: 5\r\n\r\nhello";
  Fixture           fixture;
  HttpClient        client;
  char             *response;
  size_t            size;

  set_up (&fixture);
  client = http_connect (&fixture.address);
  for (size_t i = 0; i + 1 < sizeof TEXT; i++)
    {
      const char piece[] = { TEXT[i], '\0' };

      ck_assert_ptr_null (fixture.pending);
      http_send (&client, piece);
      http_run_loop_once (fixture.loop, &client);
    }
  wait_for_request (&fixture);
  ck_assert_str_eq (wc_http_exchange_get_method (fixture.pending), "POST");
  ck_assert_str_eq (wc_http_exchange_get_path (fixture.pending), "/a/b");
  ck_assert_str_eq (wc_http_exchange_get_query_parameter (fixture.pending, "x"), "1 2");
  ck_assert_str_eq (wc_http_exchange_get_header (fixture.pending, "host"), "order-desk");
  ck_assert_str_eq (wc_http_exchange_get_header (fixture.pending, "x-empty"), "");
  ck_assert_str_eq (wc_http_exchange_get_header (fixture.pending, "x-request-id"), "77");
  ck_assert_str_eq (wc_http_exchange_get_body (fixture.pending, &size), "hello");
  ck_assert_uint_eq (size, 5);
  wc_http_exchange_respond (fixture.pending, 421, "X-Load: 1/2\r\n", "no", 2);
  response = http_receive_response (fixture.loop, &client);
  ck_assert_str_eq (response, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 2\r\nX-Load: 1/2\r\n\r\nno");
  g_free (response);
  http_disconnect (&client);
  tear_down (&fixture);
}
END_TEST

/* Guards against responses that are lost or out of order when a client pipelines requests. */
START_TEST (test_pipelined_requests)
{
  Fixture    fixture;
  HttpClient client;

  set_up (&fixture);
  fixture.responds_immediately = true;
  client = http_connect (&fixture.address);
  http_send (&client, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  for (int i = 1; i <= 3; i++)
    {
      char *response = http_receive_response (fixture.loop, &client);
      char  path[] = { '/', (char)('0' + i), '\0' };

      ck_assert_ptr_nonnull (response);
      ck_assert_str_eq (http_body (response), path);
      g_free (response);
    }
  ck_assert_ptr_null (http_receive_response (fixture.loop, &client));
  ck_assert_uint_eq (wc_http_server_get_connection_count (fixture.server), 0);
  http_disconnect (&client);
  tear_down (&fixture);
}
END_TEST

/* Guards against handling the next pipelined request before the current one has its response. */
START_TEST (test_one_request_at_a_time)
{
  Fixture    fixture;
  HttpClient client;
  char      *response;

  set_up (&fixture);
  client = http_connect (&fixture.address);
  http_send (&client, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  wait_for_request (&fixture);
  ck_assert_uint_eq (fixture.requests, 1);
  wc_http_exchange_respond (fixture.pending, 204, NULL, NULL, 0);
  ck_assert_uint_eq (fixture.requests, 2);
  ck_assert_str_eq (wc_http_exchange_get_path (fixture.pending), "/2");
  wc_http_exchange_respond (fixture.pending, 204, NULL, NULL, 0);
  for (int i = 0; i < 2; i++)
    {
      response = http_receive_response (fixture.loop, &client);
      ck_assert_int_eq (http_status (response), 204);
      g_free (response);
    }
  http_disconnect (&client);
  tear_down (&fixture);
}
END_TEST

/* Guards against a missed cancellation: a client cancels a request by closing its connection, which the server must
 * report as aborted at once. */
START_TEST (test_client_closes_before_response)
{
  Fixture    fixture;
  HttpClient client;

  set_up (&fixture);
  client = http_connect (&fixture.address);
  http_send (&client, "GET / HTTP/1.1\r\n\r\n");
  wait_for_request (&fixture);
  http_disconnect (&client);
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS && fixture.aborted == 0; i++)
    http_run_loop_once (fixture.loop, NULL);
  ck_assert_uint_eq (fixture.aborted, 1);
  ck_assert_uint_eq (wc_http_server_get_connection_count (fixture.server), 0);
  tear_down (&fixture);
}
END_TEST

/* Guards against a large response that is not continued after the socket buffer was full. */
START_TEST (test_large_response)
{
  enum
  {
    SIZE = 20000000
  };
  Fixture    fixture;
  HttpClient client;
  char      *body = g_malloc (SIZE);
  char      *response;

  memset (body, 'x', SIZE);
  set_up (&fixture);
  client = http_connect (&fixture.address);
  http_send (&client, "GET / HTTP/1.1\r\n\r\n");
  wait_for_request (&fixture);
  wc_http_exchange_respond (fixture.pending, 200, NULL, body, SIZE);
  response = http_receive_response (fixture.loop, &client);
  ck_assert_ptr_nonnull (response);
  ck_assert_uint_eq (strlen (http_body (response)), SIZE);
  g_free (response);
  g_free (body);
  http_disconnect (&client);
  tear_down (&fixture);
}
END_TEST

/* Guards against a connection that stays open after malformed input, and against connections that the accepted callback
 * rejects but the server keeps. */
START_TEST (test_rejected_connections)
{
  Fixture    fixture;
  HttpClient clients[2];

  set_up (&fixture);
  fixture.accept_limit = 1;
  clients[0] = http_connect (&fixture.address);
  http_run_loop_once (fixture.loop, &clients[0]);
  clients[1] = http_connect (&fixture.address);
  ck_assert_ptr_null (http_receive_response (fixture.loop, &clients[1]));
  ck_assert (clients[1].closed);
  ck_assert_uint_eq (wc_http_server_get_connection_count (fixture.server), 1);
  http_send (&clients[0], "this is not HTTP\r\n\r\n");
  ck_assert_ptr_null (http_receive_response (fixture.loop, &clients[0]));
  ck_assert (clients[0].closed);
  ck_assert_uint_eq (fixture.requests, 0);
  http_disconnect (&clients[0]);
  http_disconnect (&clients[1]);
  tear_down (&fixture);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("http_server");

  tcase_add_test (cases, test_request_split_across_reads);
  tcase_add_test (cases, test_pipelined_requests);
  tcase_add_test (cases, test_one_request_at_a_time);
  tcase_add_test (cases, test_client_closes_before_response);
  tcase_add_test (cases, test_large_response);
  tcase_add_test (cases, test_rejected_connections);
  return wc_test_run_case ("http_server", cases);
}
