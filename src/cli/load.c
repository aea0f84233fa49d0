#include "cli/load.h"

#include <assert.h>
#include <inttypes.h>
#include <poll.h>
#include <string.h>

#include "cli/cli_options.h"
#include "cli/command.h"
#include "cli/load_report.h"
#include "client/client_socket.h"
#include "emulator/sheet.h"

const char *const WC_LOAD_KIND_STRINGS[WC_LOAD_KIND_COUNT] = {
  [WC_LOAD_SESSION] = "session",
  [WC_LOAD_ORDER] = "order",
  [WC_LOAD_DOWNLOAD] = "download",
  [WC_LOAD_STREAM] = "stream",
};

enum
{
  /* Interval between checks for broken flows. */
  CHECK_INTERVAL_US = 100000,
  /* Time after the last deadline in which the client ends the remaining calls. */
  GRACE_PERIOD_US = 500000,
  PATH_BYTES = 256
};

/* A socket shared by callers; @calls maps the call handles of its client to callers. */
typedef struct
{
  struct Load    *load;
  WcClientSocket *sock;
  WcClient       *client;
  GHashTable     *calls;
} Socket;

/*
 * A simulated caller.
 * @call: handle of the call in progress, or 0.
 * @due_us: start time of its next call; UINT64_MAX while a call is in progress.
 * @unanswered_since_us: start time of its first call after its last success, or UINT64_MAX if there is none; for a
 * stream that has been answered, time of the last answer.
 * @tag: random number of the current call, which the target returns in the answer.
 * @cursor: number of the stream's last event that was received or found lost; 0 before the first event.
 */
typedef struct
{
  WcLoadKind  kind;
  uint32_t    index;
  const char *customer;
  Socket     *socket;
  uint64_t    flow;
  uint64_t    call;
  uint64_t    due_us;
  uint64_t    started_us;
  uint64_t    unanswered_since_us;
  uint64_t    tag;
  uint64_t    cursor;
  bool        is_broken;
} Caller;

typedef struct Load
{
  const WcLoadConfig *config;
  GPtrArray          *sockets;
  struct pollfd      *poll_fds;
  GRand              *random;
  GPtrArray          *callers;
  GTree              *due;
  WcLoadReport        report;
} Load;

static void add_callers (Load *load, uint64_t now_us);
static bool open_sockets (Load *load, WcError *error);
static void free_socket (void *data);
static void run_until (Load *load, uint64_t end_us, bool draining);
static void wait_for_sockets (Load *load, uint64_t now_us, uint64_t until_us);
static void start_call (Load *load, Caller *caller, uint64_t now_us);
static void schedule (Load *load, Caller *caller, uint64_t due_us);
static void call_finished (void *user_data, uint64_t call, const WcClientAnswer *answer);
static void events_received (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes);
static bool answer_matches_call (const Load *load, const Caller *caller, const WcClientAnswer *answer);
static void count_session (Load *load, const WcClientAnswer *answer, bool success);
static void count_order (Load *load, const Caller *caller, const WcClientAnswer *answer, bool success);
static void count_broken_flows (Load *load, uint64_t now_us);
static int  compare_due (const void *a, const void *b, void *unused);
static uint64_t get_interval_us (Load *load, const Caller *caller);

int
wc_load_run (const WcLoadConfig *config)
{
  Load     load = { .config = config };
  WcError  error = { 0 };
  uint64_t start_us;
  uint64_t end_us = 0;

  assert (config != NULL);
  assert (config->sockets > 0);

  load.sockets = g_ptr_array_new_with_free_func (free_socket);
  if (!open_sockets (&load, &error))
    {
      g_ptr_array_free (load.sockets, TRUE);
      return wc_cli_error (WC_EXIT_ENVIRONMENT, "call", "%s", error.message);
    }
  load.poll_fds = g_new0 (struct pollfd, config->sockets);
  load.random = g_rand_new_with_seed (config->seed);
  load.callers = g_ptr_array_new_with_free_func (g_free);
  load.due = g_tree_new_full (compare_due, NULL, NULL, NULL);
  wc_load_report_init (&load.report);

  start_us = wc_client_socket_now_us ();
  add_callers (&load, start_us);
  run_until (&load, start_us + (uint64_t)config->seconds * 1000000, false);

  /* Streams are cancelled. Other calls in progress continue until their deadlines, so that the outcome of each order is
   * counted. */
  count_broken_flows (&load, wc_client_socket_now_us ());
  for (guint i = 0; i < load.callers->len; i++)
    {
      Caller *caller = g_ptr_array_index (load.callers, i);

      end_us = MAX (end_us, (uint64_t)config->deadline_ms[caller->kind] * 1000);
      if (caller->kind == WC_LOAD_STREAM && caller->call != 0)
        {
          g_hash_table_remove (caller->socket->calls, &caller->call);
          wc_client_cancel (caller->socket->client, wc_client_socket_now_us (), caller->call);
          caller->call = 0;
        }
    }
  run_until (&load, wc_client_socket_now_us () + end_us + GRACE_PERIOD_US, true);

  wc_load_report_print (&load.report, stdout, (double)(wc_client_socket_now_us () - start_us) / 1e6);
  wc_load_report_finish (&load.report);
  g_ptr_array_free (load.sockets, TRUE);
  g_tree_destroy (load.due);
  g_ptr_array_free (load.callers, TRUE);
  g_rand_free (load.random);
  g_free (load.poll_fds);
  return WC_EXIT_OK;
}

/* local functions */

static void
add_callers (Load *load, uint64_t now_us)
{
  static const WcLoadCount counts[WC_LOAD_KIND_COUNT] = {
    [WC_LOAD_SESSION] = WC_LOAD_COUNT_SESSIONS,
    [WC_LOAD_ORDER] = WC_LOAD_COUNT_COUNT,
    [WC_LOAD_DOWNLOAD] = WC_LOAD_COUNT_COUNT,
    [WC_LOAD_STREAM] = WC_LOAD_COUNT_STREAMS,
  };
  uint32_t customer_count = g_strv_length (load->config->customers);

  for (int kind = 0; kind < WC_LOAD_KIND_COUNT; kind++)
    for (uint32_t i = 0; i < load->config->callers[kind]; i++)
      {
        Caller *caller = g_new0 (Caller, 1);

        caller->kind = (WcLoadKind)kind;
        caller->index = load->callers->len;
        caller->customer = load->config->customers[i % customer_count];
        caller->unanswered_since_us = UINT64_MAX;
        caller->due_us = UINT64_MAX;
        caller->socket = g_ptr_array_index (load->sockets, caller->index % load->sockets->len);
        caller->flow = wc_client_open (caller->socket->client, now_us, load->config->services[kind], caller->customer);
        g_ptr_array_add (load->callers, caller);
        if (counts[kind] != WC_LOAD_COUNT_COUNT)
          load->report.counts[counts[kind]]++;
        /* Spreads the first calls over the interval. */
        schedule (load, caller,
                  now_us + (uint64_t)(g_rand_double (load->random) * load->config->interval_ms[kind] * 1000));
      }
}

static bool
open_sockets (Load *load, WcError *error)
{
  const WcClientOps ops = { .finished = call_finished, .events = events_received };

  for (uint32_t i = 0; i < load->config->sockets; i++)
    {
      Socket *sock = g_new0 (Socket, 1);

      sock->load = load;
      sock->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
      g_ptr_array_add (load->sockets, sock);
      sock->sock = wc_client_socket_new (&load->config->fabric, &load->config->client, &ops, sock, error);
      if (!sock->sock)
        return false;
      sock->client = wc_client_socket_get_client (sock->sock);
    }
  return true;
}

static void
free_socket (void *data)
{
  Socket *sock = data;

  wc_client_socket_delete (sock->sock);
  g_hash_table_destroy (sock->calls);
  g_free (sock);
}

/* Runs the load until @end_us. With @draining, starts no calls and returns when the last call has ended. */
static void
run_until (Load *load, uint64_t end_us, bool draining)
{
  uint64_t next_check_us = 0;
  uint64_t now_us;

  while ((now_us = wc_client_socket_now_us ()) < end_us)
    {
      GTreeNode *node;
      uint64_t   until_us = end_us;
      size_t     calls = 0;

      while (!draining && (node = g_tree_node_first (load->due)) != NULL)
        {
          Caller *caller = g_tree_node_key (node);

          until_us = MIN (until_us, caller->due_us);
          if (caller->due_us > now_us)
            break;
          g_tree_remove (load->due, caller);
          caller->due_us = UINT64_MAX;
          start_call (load, caller, now_us);
        }
      if (!draining && now_us >= next_check_us)
        {
          count_broken_flows (load, now_us);
          next_check_us = now_us + CHECK_INTERVAL_US;
        }
      for (guint i = 0; i < load->sockets->len; i++)
        {
          const Socket *sock = g_ptr_array_index (load->sockets, i);

          calls += wc_client_get_call_count (sock->client);
          until_us = MIN (until_us, wc_client_get_due_us (sock->client));
        }
      if (draining && calls == 0)
        return;
      wait_for_sockets (load, now_us, MIN (until_us, now_us + CHECK_INTERVAL_US));
    }
}

static void
wait_for_sockets (Load *load, uint64_t now_us, uint64_t until_us)
{
  uint64_t        wait_us = until_us > now_us ? until_us - now_us : 0;
  struct timespec wait = { .tv_sec = (time_t)(wait_us / 1000000), .tv_nsec = (long)(wait_us % 1000000 * 1000) };

  for (guint i = 0; i < load->sockets->len; i++)
    {
      const Socket *sock = g_ptr_array_index (load->sockets, i);

      load->poll_fds[i].fd = wc_client_socket_get_fd (sock->sock);
      load->poll_fds[i].events = POLLIN;
    }
  (void)ppoll (load->poll_fds, load->sockets->len, &wait, NULL);
  now_us = wc_client_socket_now_us ();
  for (guint i = 0; i < load->sockets->len; i++)
    {
      Socket *sock = g_ptr_array_index (load->sockets, i);

      if (load->poll_fds[i].revents != 0 || wc_client_get_due_us (sock->client) <= now_us)
        wc_client_socket_handle (sock->sock);
    }
}

static void
start_call (Load *load, Caller *caller, uint64_t now_us)
{
  const WcLoadConfig *config = load->config;
  const char         *service = config->services[caller->kind];
  WcClient           *client = caller->socket->client;
  char                path[PATH_BYTES];
  WcClientRequest     request = { .method = "GET", .path = path };
  WcError             error = { 0 };

  caller->tag = g_rand_int (load->random);
  caller->started_us = now_us;
  if (caller->unanswered_since_us == UINT64_MAX)
    caller->unanswered_since_us = now_us;
  request.deadline_us = now_us + (uint64_t)config->deadline_ms[caller->kind] * 1000;
  /* The service in the query lets a target detect requests that were sent to the wrong service. */
  switch (caller->kind)
    {
    case WC_LOAD_SESSION:
      g_snprintf (path, sizeof path, "/catalogue/%u?service=%s&tag=%" PRIu64, caller->index, service, caller->tag);
      load->report.counts[WC_LOAD_COUNT_REQUESTS]++;
      caller->call = wc_client_request (client, now_us, caller->flow, &request, &error);
      break;
    case WC_LOAD_ORDER:
      g_snprintf (path, sizeof path, "/orders?service=%s&tag=%" PRIu64, service, caller->tag);
      request.method = "POST";
      request.body = (const uint8_t *)"one bell";
      request.body_bytes = strlen ("one bell");
      load->report.counts[WC_LOAD_COUNT_ORDERS]++;
      caller->call = wc_client_order (client, now_us, caller->flow, &request, &error);
      break;
    case WC_LOAD_DOWNLOAD:
      g_snprintf (path, sizeof path, "/sheet?bytes=%u&service=%s&tag=%" PRIu64, config->download_bytes, service,
                  caller->tag);
      load->report.counts[WC_LOAD_COUNT_DOWNLOADS]++;
      caller->call = wc_client_request (client, now_us, caller->flow, &request, &error);
      break;
    case WC_LOAD_STREAM:
      caller->call = wc_client_poll (client, now_us, caller->flow, caller->cursor, &error);
      break;
    case WC_LOAD_KIND_COUNT:
      return;
    }
  if (caller->call == 0)
    {
      fprintf (stderr, "wigeoncart call: %s\n", error.message);
      schedule (load, caller, now_us + get_interval_us (load, caller));
      return;
    }
  g_hash_table_insert (caller->socket->calls, &caller->call, caller);
}

static void
schedule (Load *load, Caller *caller, uint64_t due_us)
{
  caller->due_us = due_us;
  g_tree_insert (load->due, caller, caller);
}

static void
call_finished (void *user_data, uint64_t call, const WcClientAnswer *answer)
{
  Socket  *sock = user_data;
  Load    *load = sock->load;
  Caller  *caller = g_hash_table_lookup (sock->calls, &call);
  uint64_t now_us = wc_client_socket_now_us ();
  bool     is_done = answer->result == WC_CLIENT_DONE && answer->http_status < 400;
  bool     success;

  if (!caller)
    return;
  g_hash_table_remove (sock->calls, &call);
  caller->call = 0;
  success = is_done && answer_matches_call (load, caller, answer);
  if (is_done && !success)
    load->report.counts[WC_LOAD_COUNT_WRONG_ANSWERS]++;
  if (answer->result == WC_CLIENT_DONE_INCOMPLETE)
    load->report.counts[WC_LOAD_COUNT_INCOMPLETE_ANSWERS]++;
  if (success)
    caller->unanswered_since_us = UINT64_MAX;
  wc_load_report_count (&load->report, caller->kind, caller->customer, success, now_us - caller->started_us);
  switch (caller->kind)
    {
    case WC_LOAD_SESSION:
      count_session (load, answer, success);
      break;
    case WC_LOAD_ORDER:
      count_order (load, caller, answer, success);
      break;
    case WC_LOAD_DOWNLOAD:
      load->report.counts[success ? WC_LOAD_COUNT_LARGE_ANSWERS : WC_LOAD_COUNT_LARGE_ANSWERS_FAILED]++;
      break;
    case WC_LOAD_STREAM:
      load->report.counts[WC_LOAD_COUNT_STREAMS_REFUSED]++;
      break;
    case WC_LOAD_KIND_COUNT:
      break;
    }
  schedule (load, caller, MAX (now_us, caller->started_us + get_interval_us (load, caller)));
}

static void
events_received (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes)
{
  Socket     *sock = user_data;
  Load       *load = sock->load;
  Caller     *caller = g_hash_table_lookup (sock->calls, &call);
  const char *line = (const char *)data;
  const char *end = line ? line + size_bytes : NULL;

  if (!caller)
    return;
  /* An answer without events is a success too. */
  caller->unanswered_since_us = wc_client_socket_now_us ();
  load->report.counts[WC_LOAD_COUNT_STREAM_POLLS]++;
  while (line < end)
    {
      uint64_t    event = 0;
      const char *next = memchr (line, '\n', (size_t)(end - line));

      for (const char *digit = line; digit < end && g_ascii_isdigit (*digit); digit++)
        event = event * 10 + (uint64_t)g_ascii_digit_value (*digit);
      load->report.counts[WC_LOAD_COUNT_STREAM_EVENTS]++;
      if (caller->cursor != 0 && event > caller->cursor + 1)
        load->report.counts[WC_LOAD_COUNT_STREAM_GAPS]++;
      if (event <= caller->cursor)
        load->report.counts[WC_LOAD_COUNT_STREAM_REPEATS]++;
      caller->cursor = MAX (caller->cursor, event);
      line = next ? next + 1 : end;
    }
  /* The answer's cursor is beyond the last event received: the events in between are lost. */
  if (caller->cursor != 0 && cursor > caller->cursor)
    {
      load->report.counts[WC_LOAD_COUNT_STREAM_GAPS]++;
      caller->cursor = cursor;
    }
}

/* Whether the answer is that of the caller's call: a download must have the size and content that the tag determines,
 * any other answer must end with the tag. */
static bool
answer_matches_call (const Load *load, const Caller *caller, const WcClientAnswer *answer)
{
  char   suffix[32];
  size_t length;

  if (caller->kind == WC_LOAD_DOWNLOAD)
    return answer->size_bytes == load->config->download_bytes &&
           wc_sheet_check (answer->data, answer->size_bytes, caller->tag);
  g_snprintf (suffix, sizeof suffix, " %" PRIu64 "\n", caller->tag);
  length = strlen (suffix);
  return answer->size_bytes >= length && memcmp (answer->data + answer->size_bytes - length, suffix, length) == 0;
}

static void
count_session (Load *load, const WcClientAnswer *answer, bool success)
{
  WcLoadCount count = WC_LOAD_COUNT_REQUESTS_FAILED;

  if (success)
    count = WC_LOAD_COUNT_REQUESTS_DONE;
  else if (answer->result == WC_CLIENT_BUSY)
    count = WC_LOAD_COUNT_REQUESTS_BUSY;
  else if (answer->result == WC_CLIENT_TIMED_OUT)
    count = WC_LOAD_COUNT_REQUESTS_TIMED_OUT;
  load->report.counts[count]++;
}

static void
count_order (Load *load, const Caller *caller, const WcClientAnswer *answer, bool success)
{
  WcLoadCount count = WC_LOAD_COUNT_ORDERS_FAILED;

  /* An order whose answer is incomplete has run. */
  if (success || answer->result == WC_CLIENT_DONE_INCOMPLETE)
    count = WC_LOAD_COUNT_ORDERS_DONE;
  else if (answer->result == WC_CLIENT_NOT_RUN)
    count = WC_LOAD_COUNT_ORDERS_NOT_RUN;
  else if (answer->result == WC_CLIENT_UNKNOWN)
    count = WC_LOAD_COUNT_ORDERS_UNKNOWN;
  load->report.counts[count]++;
  if (load->config->record)
    {
      fprintf (load->config->record,
               "{\"request_id\":\"%016" PRIx64
               "\",\"service\":\"%s\",\"result\":\"%s\",\"http_status\":%u,\"reason\":\"%s\"}\n",
               answer->request_id, load->config->services[caller->kind], WC_CLIENT_RESULT_STRINGS[answer->result],
               answer->http_status, answer->reason);
      fflush (load->config->record);
    }
}

static void
count_broken_flows (Load *load, uint64_t now_us)
{
  uint64_t broken_after_us = (uint64_t)load->config->broken_after_ms * 1000;

  for (guint i = 0; i < load->callers->len; i++)
    {
      Caller *caller = g_ptr_array_index (load->callers, i);
      bool    is_session = caller->kind == WC_LOAD_SESSION;

      if ((!is_session && caller->kind != WC_LOAD_STREAM) || caller->is_broken ||
          caller->unanswered_since_us == UINT64_MAX || now_us < caller->unanswered_since_us ||
          now_us - caller->unanswered_since_us <= broken_after_us)
        continue;
      caller->is_broken = true;
      load->report.counts[WC_LOAD_COUNT_BROKEN_FLOWS]++;
      load->report.counts[is_session ? WC_LOAD_COUNT_BROKEN_SESSIONS : WC_LOAD_COUNT_BROKEN_STREAMS]++;
    }
}

static int
compare_due (const void *a, const void *b, void *unused)
{
  const Caller *x = a;
  const Caller *y = b;

  (void)unused;
  if (x->due_us != y->due_us)
    return x->due_us < y->due_us ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

static uint64_t
get_interval_us (Load *load, const Caller *caller)
{
  double interval_ms = load->config->interval_ms[caller->kind];

  return (uint64_t)(interval_ms * 1000 * g_rand_double_range (load->random, 0.9, 1.1));
}
