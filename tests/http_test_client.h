#ifndef WC_TESTS_HTTP_TEST_CLIENT_H
#define WC_TESTS_HTTP_TEST_CLIENT_H

/* HTTP client for tests. It runs in the event loop of the server under test. */

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/socket_address.h"
#include "emulator/emulator_net.h"

enum
{
  /* Maximum number of loop iterations to wait for a response, so that a failing test ends. */
  HTTP_MAX_LOOP_RUNS = 20000
};

typedef struct
{
  int      fd;
  GString *received;
  bool     closed;
} HttpClient;

static inline HttpClient
http_connect (const WcAddress *address)
{
  HttpClient              client = { .received = g_string_new (NULL) };
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);

  client.fd = socket (storage.ss_family, SOCK_STREAM, 0);
  g_assert_cmpint (connect (client.fd, (const struct sockaddr *)&storage, length), ==, 0);
  return client;
}

static inline void
http_disconnect (HttpClient *client)
{
  close (client->fd);
  g_string_free (client->received, TRUE);
}

static inline void
http_send (HttpClient *client, const char *text)
{
  g_assert_cmpint (send (client->fd, text, strlen (text), MSG_NOSIGNAL), ==, (ssize_t)strlen (text));
}

static void
http_timer_expired (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

/* Runs one loop iteration, which blocks for 1 ms at most, and reads what @client (may be NULL) received. */
static inline void
http_run_loop_once (struct ev_loop *loop, HttpClient *client)
{
  ev_timer timer;
  char     data[65536];
  ssize_t  size;

  ev_timer_init (&timer, http_timer_expired, 0.001, 0);
  ev_timer_start (loop, &timer);
  ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &timer);
  if (!client)
    return;
  while ((size = recv (client->fd, data, sizeof data, MSG_DONTWAIT)) > 0)
    g_string_append_len (client->received, data, size);
  if (size == 0)
    client->closed = true;
}

/* Waits for the next complete response and returns it; the caller frees it. NULL when the server closed the connection
 * or did not respond. */
static inline char *
http_receive_response (struct ev_loop *loop, HttpClient *client)
{
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS; i++)
    {
      const char *end = strstr (client->received->str, "\r\n\r\n");
      const char *length = strstr (client->received->str, "Content-Length: ");
      size_t      size;

      if (end)
        {
          size = (size_t)(end - client->received->str) + 4;
          if (length && length < end)
            size += (size_t)strtoul (length + strlen ("Content-Length: "), NULL, 10);
          if (client->received->len >= size)
            {
              char *response = g_strndup (client->received->str, size);

              g_string_erase (client->received, 0, (gssize)size);
              return response;
            }
        }
      if (client->closed)
        return NULL;
      http_run_loop_once (loop, client);
    }
  return NULL;
}

/* Sends a request on a new connection and returns the response, or NULL when there is none. The caller frees it. */
static inline char *
http_request (struct ev_loop *loop, const WcAddress *address, const char *method, const char *path, const char *headers,
              const char *body)
{
  HttpClient client = http_connect (address);
  char      *request =
      g_strdup_printf ("%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n%s", method, path, headers, strlen (body), body);
  char *response;

  http_send (&client, request);
  response = http_receive_response (loop, &client);
  g_free (request);
  http_disconnect (&client);
  /* Lets the server process the end of the connection before the test goes on. */
  http_run_loop_once (loop, NULL);
  return response;
}

static inline int
http_status (const char *response)
{
  return response && strlen (response) > 12 ? atoi (response + 9) : 0;
}

static inline const char *
http_body (const char *response)
{
  const char *end = strstr (response, "\r\n\r\n");

  return end ? end + 4 : "";
}

/* Sends a request on a new connection and returns the status of the response, or 0 when there is none. */
static inline int
http_request_status (struct ev_loop *loop, const WcAddress *address, const char *method, const char *path,
                     const char *headers, const char *body)
{
  char *response = http_request (loop, address, method, path, headers, body);
  int   status = http_status (response);

  g_free (response);
  return status;
}

/* Sends a GET request on a new connection and returns whether the body of the response contains @text. */
static inline bool
http_response_contains (struct ev_loop *loop, const WcAddress *address, const char *path, const char *text)
{
  char *response = http_request (loop, address, "GET", path, "", "");
  bool  found = response && strstr (http_body (response), text);

  g_free (response);
  return found;
}

#endif
