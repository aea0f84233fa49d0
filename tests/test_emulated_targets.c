#include "test_main.h"

#include "emulator/emulated_targets.h"
#include "emulator/sheet.h"
#include "http_test_client.h"

#define HOST "Host: order-desk\r\n"

typedef struct
{
  struct ev_loop    *loop;
  WcEmulatedTargets *targets;
  WcEmulatedTarget  *target;
  WcAddress          address;
  WcAddress          control;
} Fixture;

static void
set_up (Fixture *fixture)
{
  WcEmulatedTargetsConfig config;
  WcAddress               any = { .ip = { 127, 0, 0, 1 }, .family = 4 };
  WcTargetSpec            spec = { .host = "host-1", .service = "order-desk", .address = any, .slots = 2 };

  wc_emulated_targets_config_init (&config);
  config.control = any;
  config.event_ms = 1;
  config.run_time.mean_ms = 0;
  fixture->loop = ev_loop_new (0);
  fixture->targets = wc_emulated_targets_new (fixture->loop, &config, NULL);
  ck_assert_ptr_nonnull (fixture->targets);
  fixture->target = wc_emulated_targets_add (fixture->targets, &spec, NULL);
  ck_assert_ptr_nonnull (fixture->target);
  wc_emulated_target_get_address (fixture->target, &fixture->address);
  wc_emulated_targets_get_control_address (fixture->targets, &fixture->control);
}

static void
tear_down (Fixture *fixture)
{
  wc_emulated_targets_delete (fixture->targets);
  ev_loop_destroy (fixture->loop);
}

static uint64_t
get_count (const Fixture *fixture, const char *name)
{
  struct json_object *object = wc_emulated_target_to_json (fixture->target);
  struct json_object *value;
  uint64_t            count;

  ck_assert (json_object_object_get_ex (object, name, &value));
  count = json_object_get_uint64 (value);
  json_object_put (object);
  return count;
}

static uint64_t
get_run_count (const Fixture *fixture, const char *request_id, const char *event)
{
  struct json_object *runs = wc_run_log_to_json (wc_emulated_targets_get_run_log (fixture->targets), true);
  struct json_object *run;
  struct json_object *value;
  uint64_t            count = 0;

  if (json_object_object_get_ex (runs, request_id, &run) && json_object_object_get_ex (run, event, &value))
    count = json_object_get_uint64 (value);
  json_object_put (runs);
  return count;
}

static int
request (Fixture *fixture, const char *method, const char *path, const char *headers)
{
  return http_request_status (fixture->loop, &fixture->address, method, path, headers, "");
}

static int
control (Fixture *fixture, const char *command)
{
  return http_request_status (fixture->loop, &fixture->control, "POST", "/control/target", "", command);
}

/* Starts a request that runs, or waits in the queue, until its connection closes. */
static HttpClient
start_long_run (Fixture *fixture, const char *headers)
{
  HttpClient client = http_connect (&fixture->address);
  char      *text = g_strdup_printf ("POST /orders?run_ms=3600000 HTTP/1.1\r\n" HOST "%s\r\n", headers);
  uint64_t   before = get_count (fixture, "requests");

  http_send (&client, text);
  g_free (text);
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS && get_count (fixture, "requests") == before; i++)
    http_run_loop_once (fixture->loop, &client);
  return client;
}

/* Guards against a target that accepts a request for another service, named by the header Host or by the query. */
START_TEST (test_service_mismatch)
{
  Fixture fixture;

  set_up (&fixture);
  ck_assert_int_eq (request (&fixture, "OPTIONS", "*", HOST), 200);
  ck_assert_int_eq (request (&fixture, "OPTIONS", "*", "Host: pattern-delivery\r\n"), 421);
  ck_assert_int_eq (request (&fixture, "OPTIONS", "*", "Host: order-desk-2\r\n"), 421);
  ck_assert_int_eq (request (&fixture, "GET", "/catalogue", HOST), 200);
  ck_assert_int_eq (request (&fixture, "GET", "/catalogue", "Host: pattern-delivery\r\n"), 421);
  ck_assert_int_eq (request (&fixture, "GET", "/catalogue?service=pattern-delivery", HOST), 421);
  ck_assert_uint_eq (get_count (&fixture, "started"), 1);
  ck_assert_uint_eq (get_count (&fixture, "misdirected_host"), 1);
  ck_assert_uint_eq (get_count (&fixture, "misrouted_path"), 1);
  ck_assert_uint_eq (get_count (&fixture, "name_checks_failed"), 2);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"move\", \"to\": \"pattern-delivery\"}"),
                    200);
  ck_assert_int_eq (request (&fixture, "OPTIONS", "*", HOST), 421);
  ck_assert_int_eq (request (&fixture, "OPTIONS", "*", "Host: pattern-delivery\r\n"), 200);
  tear_down (&fixture);
}
END_TEST

/* Guards against a target that runs more requests than it has slots, or queues requests without a limit. */
START_TEST (test_slots_and_queue)
{
  Fixture    fixture;
  HttpClient clients[4];

  set_up (&fixture);
  for (int i = 0; i < 4; i++)
    clients[i] = start_long_run (&fixture, "");
  ck_assert_uint_eq (get_count (&fixture, "running"), 2);
  ck_assert_uint_eq (get_count (&fixture, "queued"), 2);
  ck_assert_int_eq (request (&fixture, "GET", "/catalogue", HOST), 503);
  ck_assert_uint_eq (get_count (&fixture, "shed"), 1);
  for (int i = 0; i < 4; i++)
    http_disconnect (&clients[i]);
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS && get_count (&fixture, "cancelled") < 4; i++)
    http_run_loop_once (fixture.loop, NULL);
  ck_assert_uint_eq (get_count (&fixture, "running"), 0);
  ck_assert_uint_eq (get_count (&fixture, "queued"), 0);
  ck_assert_uint_eq (get_count (&fixture, "max_running"), 2);
  tear_down (&fixture);
}
END_TEST

/* Guards against a run log that misses a second run of an order, or a run that was cancelled or has expired. */
START_TEST (test_run_records)
{
  Fixture    fixture;
  HttpClient client;

  set_up (&fixture);
  ck_assert_int_eq (request (&fixture, "POST", "/orders", HOST "X-Request-Id: a\r\n"), 201);
  ck_assert_int_eq (request (&fixture, "POST", "/orders", HOST "X-Request-Id: a\r\n"), 201);
  ck_assert_int_eq (
      request (&fixture, "POST", "/orders?run_ms=3600000", HOST "X-Request-Id: b\r\nX-Request-Deadline-Ms: 1\r\n"),
      504);
  client = start_long_run (&fixture, "X-Request-Id: c\r\n");
  http_disconnect (&client);
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS && get_count (&fixture, "cancelled") == 0; i++)
    http_run_loop_once (fixture.loop, NULL);
  ck_assert_uint_eq (get_run_count (&fixture, "a", "started"), 2);
  ck_assert_uint_eq (get_run_count (&fixture, "a", "completed"), 2);
  ck_assert_uint_eq (get_run_count (&fixture, "b", "expired"), 1);
  ck_assert_uint_eq (get_run_count (&fixture, "b", "completed"), 0);
  ck_assert_uint_eq (get_run_count (&fixture, "c", "started"), 1);
  ck_assert_uint_eq (get_run_count (&fixture, "c", "cancelled"), 1);
  ck_assert_uint_eq (wc_run_log_count_repeated (wc_emulated_targets_get_run_log (fixture.targets)), 1);
  ck_assert (http_response_contains (fixture.loop, &fixture.control, "/control/runs", "\"a\":{"));
  ck_assert (http_response_contains (fixture.loop, &fixture.control, "/control/stats", "\"orders_run_twice\":1"));
  tear_down (&fixture);
}
END_TEST

/* Guards against a drain that interrupts a running request, accepts new ones, or is not reported by GET /health. */
START_TEST (test_drain)
{
  Fixture    fixture;
  HttpClient client;
  char      *response;

  set_up (&fixture);
  client = http_connect (&fixture.address);
  http_send (&client, "GET /catalogue?run_ms=50 HTTP/1.1\r\n" HOST "\r\n");
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS && get_count (&fixture, "started") == 0; i++)
    http_run_loop_once (fixture.loop, &client);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"drain\"}"), 200);
  response = http_request (fixture.loop, &fixture.address, "GET", "/catalogue", HOST, "");
  ck_assert_int_eq (http_status (response), 503);
  ck_assert_ptr_nonnull (strstr (response, "Connection: close\r\n"));
  g_free (response);
  ck_assert_int_eq (request (&fixture, "OPTIONS", "*", HOST), 503);
  ck_assert_int_eq (request (&fixture, "GET", "/health", ""), 503);
  response = http_receive_response (fixture.loop, &client);
  ck_assert_int_eq (http_status (response), 200);
  g_free (response);
  http_disconnect (&client);
  ck_assert_uint_eq (get_count (&fixture, "new_work_after_leaving"), 1);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"undrain\"}"), 200);
  ck_assert_int_eq (request (&fixture, "GET", "/catalogue", HOST), 200);
  tear_down (&fixture);
}
END_TEST

/* Guards against faults (false load and health, broken runs, refused requests) that a test sets without effect. */
START_TEST (test_injected_faults)
{
  Fixture fixture;

  set_up (&fixture);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/load", "\"running\":0,\"slots\":2"));
  ck_assert_int_eq (
      control (&fixture, "{\"service\": \"order-desk\", \"action\": \"faults\", \"load\": 7, \"health\": 500}"), 200);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/load", "\"running\":7"));
  ck_assert_int_eq (request (&fixture, "GET", "/health", ""), 500);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"faults\", \"break\": 1}"), 200);
  ck_assert_int_eq (request (&fixture, "POST", "/orders", HOST "X-Request-Id: a\r\n"), 0);
  ck_assert_uint_eq (get_run_count (&fixture, "a", "completed"), 1);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"faults\", \"refuse\": 1}"), 200);
  ck_assert_int_eq (request (&fixture, "POST", "/orders", HOST "X-Request-Id: b\r\n"), 503);
  ck_assert_uint_eq (get_run_count (&fixture, "b", "started"), 0);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-9\", \"action\": \"drain\"}"), 404);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"dance\"}"), 400);
  ck_assert_int_eq (control (&fixture, "{"), 400);
  tear_down (&fixture);
}
END_TEST

/* Guards against a stopped target that keeps its connections and runs, or that cannot be started again. */
START_TEST (test_stop_and_start)
{
  Fixture    fixture;
  HttpClient client;

  set_up (&fixture);
  client = start_long_run (&fixture, "X-Request-Id: a\r\n");
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"stop\"}"), 200);
  ck_assert_ptr_null (http_receive_response (fixture.loop, &client));
  ck_assert (client.closed);
  http_disconnect (&client);
  ck_assert_uint_eq (get_run_count (&fixture, "a", "cancelled"), 1);
  ck_assert_int_eq (control (&fixture, "{\"host\": \"host-1\", \"action\": \"start\"}"), 200);
  ck_assert_int_eq (request (&fixture, "GET", "/catalogue", HOST), 200);
  tear_down (&fixture);
}
END_TEST

/* Guards against a feed that skips or repeats events between two reads, or that does not wait for new ones. */
START_TEST (test_event_feed)
{
  Fixture  fixture;
  uint64_t cursor = 0;

  set_up (&fixture);
  for (int i = 0; i < 5; i++)
    {
      char       *path = g_strdup_printf ("/events?after=%" G_GUINT64_FORMAT "&wait_ms=60000", cursor);
      char       *response = http_request (fixture.loop, &fixture.address, "GET", path, HOST, "");
      char      **lines = g_strsplit (http_body (response), "\n", -1);
      const char *header = strstr (response, "X-Cursor: ");

      ck_assert_int_eq (http_status (response), 200);
      ck_assert_ptr_nonnull (header);
      ck_assert (*lines[0] != '\0');
      for (char **line = lines; **line != '\0'; line++)
        ck_assert_uint_eq (g_ascii_strtoull (*line, NULL, 10), ++cursor);
      ck_assert_uint_eq (g_ascii_strtoull (header + strlen ("X-Cursor: "), NULL, 10), cursor);
      g_strfreev (lines);
      g_free (response);
      g_free (path);
    }
  ck_assert_uint_eq (get_count (&fixture, "started"), 0);
  tear_down (&fixture);
}
END_TEST

/* Guards against a check of large answers that accepts a wrong tag, a wrong length or swapped parts. */
START_TEST (test_sheet_content)
{
  Fixture  fixture;
  char    *response;
  uint8_t *body;

  set_up (&fixture);
  response = http_request (fixture.loop, &fixture.address, "GET", "/sheet?bytes=5000&tag=3", HOST, "");
  ck_assert_int_eq (http_status (response), 200);
  body = g_memdup2 (http_body (response), 5000);
  ck_assert (wc_sheet_check (body, 5000, 3));
  ck_assert (!wc_sheet_check (body, 5000, 4));
  ck_assert (!wc_sheet_check (body, 4999, 3));
  /* Swaps two parts of the answer. */
  memcpy (body, http_body (response) + 1100, 1100);
  memcpy (body + 1100, http_body (response), 1100);
  ck_assert (!wc_sheet_check (body, 5000, 3));
  g_free (body);
  g_free (response);
  tear_down (&fixture);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("emulated_targets");

  tcase_add_test (cases, test_service_mismatch);
  tcase_add_test (cases, test_slots_and_queue);
  tcase_add_test (cases, test_run_records);
  tcase_add_test (cases, test_drain);
  tcase_add_test (cases, test_injected_faults);
  tcase_add_test (cases, test_stop_and_start);
  tcase_add_test (cases, test_event_feed);
  tcase_add_test (cases, test_sheet_content);
  return wc_test_run_case ("emulated_targets", cases);
}
