#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/arguments.h"
#include "cli/cli_options.h"
#include "cli/command.h"
#include "cli/load.h"
#include "client/client_socket.h"

enum
{
  SOCKETS_MAX = 256
};

/* Options of the command. If @sockets is 0, the number of sockets depends on the number of callers. */
typedef struct
{
  char    *fabric;
  char    *service;
  char    *customer;
  char    *method;
  char    *path;
  char    *body;
  gboolean order;
  gboolean stream;
  gint64   cursor;
  int      deadline_ms;
  int      load;
  int      orders;
  int      downloads;
  int      streams;
  char    *order_service;
  char    *download_service;
  char    *stream_service;
  int      interval_ms;
  int      order_interval_ms;
  int      download_interval_ms;
  int      sheet_bytes;
  int      limit_ms;
  int      seconds;
  int      seed;
  int      sockets;
  char    *record;
} Options;

typedef struct
{
  int exit_status;
} SingleCall;

static int  run (int argc, char **argv);
static int  run_load (const Options *options, const WcAddress *fabric);
static int  run_single (const Options *options, const WcAddress *fabric);
static void print_answer (void *user_data, uint64_t call, const WcClientAnswer *answer);
static void print_events (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes);
static bool options_in_range (const Options *options);
static void free_options (Options *options);

const WcCommand WC_COMMAND_CALL = { .name = "call",
                                    .summary = "Call a service through a fleet, or run a mixed load.",
                                    .run = run };

/* local functions */

static int
run (int argc, char **argv)
{
  Options o = {
    .cursor = 0,
    .deadline_ms = 2000,
    .interval_ms = 1000,
    .order_interval_ms = 1000,
    .download_interval_ms = 1000,
    .sheet_bytes = 200000,
    .limit_ms = 5000,
    .seconds = 10,
    .seed = 1,
    .sockets = 0,
  };
  const GOptionEntry entries[] = {
    { "fabric", 0, 0, G_OPTION_ARG_STRING, &o.fabric, "UDP address of the fabric or of an instance", "ADDRESS" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &o.service, "Service", "NAME" },
    { "customer", 0, 0, G_OPTION_ARG_STRING, &o.customer, "Customer; several for a load", "NAME,..." },
    { "method", 0, 0, G_OPTION_ARG_STRING, &o.method, "HTTP method (GET, or POST for an order)", "METHOD" },
    { "path", 0, 0, G_OPTION_ARG_STRING, &o.path, "Path and query (/)", "PATH" },
    { "body", 0, 0, G_OPTION_ARG_STRING, &o.body, "Body of the request", "TEXT" },
    { "order", 0, 0, G_OPTION_ARG_NONE, &o.order, "Run at most once", NULL },
    { "stream", 0, 0, G_OPTION_ARG_NONE, &o.stream, "Print events until the deadline", NULL },
    { "cursor", 0, 0, G_OPTION_ARG_INT64, &o.cursor, "Last event that was received (0)", "N" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &o.deadline_ms, "Deadline of each call (2000)", "MS" },
    { "load", 0, 0, G_OPTION_ARG_INT, &o.load, "Run a load with this many sessions", "N" },
    { "orders", 0, 0, G_OPTION_ARG_INT, &o.orders, "Load: callers that send orders", "N" },
    { "downloads", 0, 0, G_OPTION_ARG_INT, &o.downloads, "Load: callers that fetch large answers", "N" },
    { "streams", 0, 0, G_OPTION_ARG_INT, &o.streams, "Load: callers that wait for events", "N" },
    { "order-service", 0, 0, G_OPTION_ARG_STRING, &o.order_service, "Load: service of orders (--service)", "NAME" },
    { "download-service", 0, 0, G_OPTION_ARG_STRING, &o.download_service, "Load: service of large answers (--service)",
      "NAME" },
    { "stream-service", 0, 0, G_OPTION_ARG_STRING, &o.stream_service, "Load: service of events (--service)", "NAME" },
    { "interval-ms", 0, 0, G_OPTION_ARG_INT, &o.interval_ms, "Load: time between requests of a session (1000)", "MS" },
    { "order-interval-ms", 0, 0, G_OPTION_ARG_INT, &o.order_interval_ms, "Load: time between orders of a caller (1000)",
      "MS" },
    { "download-interval-ms", 0, 0, G_OPTION_ARG_INT, &o.download_interval_ms,
      "Load: time between large answers of a caller (1000)", "MS" },
    { "sheet-bytes", 0, 0, G_OPTION_ARG_INT, &o.sheet_bytes, "Load: size of a large answer (200000)", "BYTES" },
    { "limit-ms", 0, 0, G_OPTION_ARG_INT, &o.limit_ms,
      "Load: time without success after which a flow counts as broken (5000)", "MS" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &o.seconds, "Load: duration (10)", "S" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &o.seed, "Load: seed of the callers' timing (1)", "N" },
    { "sockets", 0, 0, G_OPTION_ARG_INT, &o.sockets, "Load: sockets of the callers (one for each 32, up to 64)", "N" },
    { "record", 0, 0, G_OPTION_ARG_FILENAME, &o.record, "Load: write one line of JSON for each order", "FILE" },
    { 0 },
  };
  WcAddress fabric;
  int       exit_code;

  if (!wc_arguments_parse (&WC_COMMAND_CALL, NULL, entries, &argc, &argv, &exit_code))
    return exit_code;
  if (!o.fabric || !o.service)
    exit_code = wc_cli_error (WC_EXIT_USAGE, "call", "--fabric and --service are required");
  else if (!wc_cli_parse_address ("fabric", o.fabric, &fabric))
    exit_code = WC_EXIT_USAGE;
  else if (o.customer && o.customer[0] == '\0')
    exit_code = wc_cli_error (WC_EXIT_USAGE, "call", "--customer is empty");
  else if (!options_in_range (&o) || (o.order && o.stream))
    exit_code =
        wc_cli_error (WC_EXIT_USAGE, "call", "an option is out of range, or --order and --stream are both given");
  else if (o.load + o.orders + o.downloads + o.streams > 0)
    exit_code = run_load (&o, &fabric);
  else
    exit_code = run_single (&o, &fabric);
  free_options (&o);
  return exit_code;
}

static int
run_load (const Options *options, const WcAddress *fabric)
{
  WcLoadConfig config = { .fabric = *fabric };
  int          result;

  wc_client_config_init (&config.client);
  config.callers[WC_LOAD_SESSION] = (uint32_t)options->load;
  config.callers[WC_LOAD_ORDER] = (uint32_t)options->orders;
  config.callers[WC_LOAD_DOWNLOAD] = (uint32_t)options->downloads;
  config.callers[WC_LOAD_STREAM] = (uint32_t)options->streams;
  config.services[WC_LOAD_SESSION] = options->service;
  config.services[WC_LOAD_ORDER] = options->order_service ? options->order_service : options->service;
  config.services[WC_LOAD_DOWNLOAD] = options->download_service ? options->download_service : options->service;
  config.services[WC_LOAD_STREAM] = options->stream_service ? options->stream_service : options->service;
  config.interval_ms[WC_LOAD_SESSION] = (uint32_t)options->interval_ms;
  config.interval_ms[WC_LOAD_ORDER] = (uint32_t)options->order_interval_ms;
  config.interval_ms[WC_LOAD_DOWNLOAD] = (uint32_t)options->download_interval_ms;
  config.interval_ms[WC_LOAD_STREAM] = (uint32_t)options->interval_ms;
  for (int kind = 0; kind < WC_LOAD_KIND_COUNT; kind++)
    config.deadline_ms[kind] = (uint32_t)options->deadline_ms;
  /* A large answer takes many round trips, and packet loss delays it more than a short one. */
  config.deadline_ms[WC_LOAD_DOWNLOAD] *= 5;
  config.customers = g_strsplit (options->customer ? options->customer : "load", ",", -1);
  config.download_bytes = (uint32_t)options->sheet_bytes;
  config.broken_after_ms = (uint32_t)options->limit_ms;
  config.seconds = (uint32_t)options->seconds;
  config.seed = (uint32_t)options->seed;
  config.sockets = (uint32_t)options->sockets;
  if (config.sockets == 0)
    config.sockets =
        (uint32_t)MIN ((options->load + options->orders + options->downloads + options->streams + 31) / 32, 64);
  if (options->record)
    {
      config.record = fopen (options->record, "w");
      if (!config.record)
        return wc_cli_error (WC_EXIT_ENVIRONMENT, "call", "cannot write %s", options->record);
    }
  result = wc_load_run (&config);
  if (config.record)
    fclose (config.record);
  g_strfreev (config.customers);
  return result;
}

static int
run_single (const Options *options, const WcAddress *fabric)
{
  const WcClientOps ops = { .finished = print_answer, .events = print_events };
  SingleCall        single = { .exit_status = WC_EXIT_FAILED };
  WcClientConfig    config;
  WcClientSocket   *sock;
  WcClient         *client;
  WcError           error = { 0 };
  uint64_t          now_us = wc_client_socket_now_us ();
  uint64_t          deadline_us = now_us + (uint64_t)options->deadline_ms * 1000;
  uint64_t          flow;
  uint64_t          call;
  WcClientRequest   request = {
      .method = options->method  ? options->method
                : options->order ? "POST"
                                 : "GET",
      .path = options->path ? options->path : "/",
      .body = (const uint8_t *)options->body,
      .body_bytes = options->body ? strlen (options->body) : 0,
      .deadline_us = deadline_us,
  };

  wc_client_config_init (&config);
  sock = wc_client_socket_new (fabric, &config, &ops, &single, &error);
  if (!sock)
    return wc_cli_error (WC_EXIT_ENVIRONMENT, "call", "%s", error.message);
  client = wc_client_socket_get_client (sock);
  flow = wc_client_open (client, now_us, options->service, options->customer ? options->customer : "call");
  if (options->stream)
    call = wc_client_poll (client, now_us, flow, (uint64_t)options->cursor, &error);
  else if (options->order)
    call = wc_client_order (client, now_us, flow, &request, &error);
  else
    call = wc_client_request (client, now_us, flow, &request, &error);
  if (call == 0)
    single.exit_status = wc_cli_error (WC_EXIT_USAGE, "call", "%s", error.message);
  else
    /* The client ends a request or an order at its deadline; a stream has no deadline and ends here. */
    wc_client_socket_run (sock, options->stream ? deadline_us : UINT64_MAX);
  wc_client_socket_delete (sock);
  return single.exit_status;
}

static void
print_answer (void *user_data, uint64_t call, const WcClientAnswer *answer)
{
  SingleCall *single = user_data;

  (void)call;
  fprintf (stderr, "result: %s", WC_CLIENT_RESULT_STRINGS[answer->result]);
  if (answer->http_status != 0)
    fprintf (stderr, ", HTTP status %u, %zu bytes", answer->http_status, answer->size_bytes);
  fprintf (stderr, ", request %016" PRIx64 "%s%s\n", answer->request_id, answer->reason[0] ? ": " : "", answer->reason);
  if (answer->size_bytes > 0)
    fwrite (answer->data, 1, answer->size_bytes, stdout);
  fflush (stdout);
  single->exit_status = answer->result == WC_CLIENT_DONE && answer->http_status < 400 ? WC_EXIT_OK : WC_EXIT_FAILED;
}

static void
print_events (void *user_data, uint64_t call, uint64_t cursor, const uint8_t *data, size_t size_bytes)
{
  SingleCall *single = user_data;

  (void)call;
  (void)cursor;
  single->exit_status = WC_EXIT_OK;
  if (size_bytes > 0)
    fwrite (data, 1, size_bytes, stdout);
  fflush (stdout);
}

static bool
options_in_range (const Options *options)
{
  return options->deadline_ms > 0 && options->load >= 0 && options->orders >= 0 && options->downloads >= 0 &&
         options->streams >= 0 && options->interval_ms > 0 && options->order_interval_ms > 0 &&
         options->download_interval_ms > 0 && options->sheet_bytes >= 0 && options->limit_ms > 0 &&
         options->seconds > 0 && options->cursor >= 0;
}

static void
free_options (Options *options)
{
  char **const texts[] = {
    &options->fabric, &options->service,       &options->customer,         &options->method,         &options->path,
    &options->body,   &options->order_service, &options->download_service, &options->stream_service, &options->record
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    g_clear_pointer (texts[i], g_free);
}
