#include "test_main.h"

#include <json-c/json.h>
#include <sodium.h>

#include "emulator/emulated_platform.h"
#include "http_test_client.h"

typedef struct
{
  struct ev_loop     *loop;
  WcEmulatedPlatform *platform;
  WcAddress           address;
} Fixture;

static const char LIST_1[] = "{\"instances\": [{\"name\": \"sinos-1\"}]}";
static const char LIST_2[] = "{\"instances\": [{\"name\": \"sinos-2\"}]}";

/* Register with one service; answer_max_bytes depends on the revision, so that the parts of two revisions differ. */
static char *
register_text (unsigned revision)
{
  return g_strdup_printf (
      "{\"revision\": %u, \"domains\": [\"serra-1\"],"
      " \"services\": [{\"name\": \"order-desk\", \"affinity\": \"request\", \"default_deadline_ms\": 1000,"
      " \"answer_max_bytes\": %u}],"
      " \"hosts\": [{\"name\": \"host-1\", \"domain\": \"serra-1\", \"targets\": [{\"service\": \"order-desk\","
      " \"address\": \"127.0.0.1:9001\", \"slots\": 2, \"max_connections\": 16, \"cold_start_ms\": 0}]}],"
      " \"customers\": [], \"keys\": [{\"epoch\": 1, \"secret\": \"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=\"}],"
      " \"rules\": {}}",
      revision, 1000 + revision);
}

static void
set_up (Fixture *fixture, uint32_t reads_per_s)
{
  char                    *text = register_text (1);
  WcEmulatedPlatformConfig config = { .listen = { .ip = { 127, 0, 0, 1 }, .family = 4 },
                                      .register_text = text,
                                      .instances_text = LIST_1,
                                      .reads_per_s = reads_per_s };
  WcError                  error = { 0 };

  ck_assert_int_ge (sodium_init (), 0);
  fixture->loop = ev_loop_new (0);
  fixture->platform = wc_emulated_platform_new (fixture->loop, &config, &error);
  ck_assert_msg (fixture->platform != NULL, "%s", error.message);
  wc_emulated_platform_get_address (fixture->platform, &fixture->address);
  g_free (text);
}

static void
tear_down (Fixture *fixture)
{
  wc_emulated_platform_delete (fixture->platform);
  ev_loop_destroy (fixture->loop);
}

static int
call (Fixture *fixture, const char *method, const char *path, const char *body)
{
  return http_request_status (fixture->loop, &fixture->address, method, path, "", body);
}

static void
publish (Fixture *fixture, unsigned revision)
{
  char *text = register_text (revision);

  ck_assert_int_eq (call (fixture, "PUT", "/control/register", text), 200);
  g_free (text);
}

/* Reads a key. @version: set to the value of the header X-Version. Return: the body. */
static char *
read_key (Fixture *fixture, const char *key, uint64_t *version)
{
  char       *path = g_strdup_printf ("/v1/config/%s", key);
  char       *response = http_request (fixture->loop, &fixture->address, "GET", path, "", "");
  const char *header;
  char       *body;

  ck_assert_int_eq (http_status (response), 200);
  header = strstr (response, "X-Version: ");
  ck_assert_ptr_nonnull (header);
  *version = g_ascii_strtoull (header + strlen ("X-Version: "), NULL, 10);
  body = g_strdup (http_body (response));
  g_free (response);
  g_free (path);
  return body;
}

/* Guards against a head that names parts which are missing or have another digest. */
START_TEST (test_head_and_part_digests)
{
  Fixture             fixture;
  uint64_t            version;
  char               *text;
  struct json_object *head;
  struct json_object *parts;
  struct json_object *value;

  set_up (&fixture, 1000);
  publish (&fixture, 2);
  text = read_key (&fixture, "head", &version);
  head = json_tokener_parse (text);
  ck_assert (json_object_object_get_ex (head, "revision", &value));
  ck_assert_int_eq (json_object_get_int (value), 2);
  ck_assert_uint_eq (version, 2);
  ck_assert (json_object_object_get_ex (head, "parts", &parts));
  ck_assert_uint_gt (json_object_array_length (parts), 0);
  for (size_t i = 0; i < json_object_array_length (parts); i++)
    {
      struct json_object *part = json_object_array_get_idx (parts, i);
      unsigned char       digest[32];
      char                hex[65];
      char               *content;

      ck_assert (json_object_object_get_ex (part, "key", &value));
      content = read_key (&fixture, json_object_get_string (value), &version);
      crypto_generichash (digest, sizeof digest, (const unsigned char *)content, strlen (content), NULL, 0);
      sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
      ck_assert (json_object_object_get_ex (part, "digest", &value));
      ck_assert_str_eq (json_object_get_string (value), hex);
      g_free (content);
    }
  json_object_put (head);
  g_free (text);
  tear_down (&fixture);
}
END_TEST

/* Guards against a watch that misses a new version, responds before there is one, or does not time out. */
START_TEST (test_watch)
{
  Fixture    fixture;
  HttpClient client;
  char      *response;

  set_up (&fixture, 1000);
  ck_assert_int_eq (call (&fixture, "GET", "/v1/config/head?after=0&wait_ms=60000", ""), 200);
  ck_assert_int_eq (call (&fixture, "GET", "/v1/config/head?after=1&wait_ms=1", ""), 304);
  ck_assert_int_eq (call (&fixture, "GET", "/v1/config/none", ""), 404);
  client = http_connect (&fixture.address);
  http_send (&client, "GET /v1/config/head?after=1&wait_ms=60000 HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 20; i++)
    http_run_loop_once (fixture.loop, &client);
  ck_assert_uint_eq (client.received->len, 0);
  publish (&fixture, 2);
  response = http_receive_response (fixture.loop, &client);
  ck_assert_int_eq (http_status (response), 200);
  ck_assert_ptr_nonnull (strstr (response, "X-Version: 2\r\n"));
  g_free (response);
  http_disconnect (&client);
  tear_down (&fixture);
}
END_TEST

/* Guards against reads above the platform's rate limit, which reads of the configuration and of the list share. */
START_TEST (test_read_limit)
{
  Fixture fixture;
  int     status = 200;
  int     reads = 0;

  set_up (&fixture, 3);
  for (; reads < 1000 && status == 200; reads++)
    status = call (&fixture, "GET", reads % 2 == 0 ? "/v1/config/head" : "/v1/instances", "");
  ck_assert_int_eq (status, 429);
  ck_assert_int_ge (reads, 4);
  ck_assert (!http_response_contains (fixture.loop, &fixture.address, "/control/stats", "\"reads_rejected\":0"));
  tear_down (&fixture);
}
END_TEST

/* Guards against a mode that has no effect on reads or pending watches, or that loses the newest register. */
START_TEST (test_modes)
{
  Fixture    fixture;
  HttpClient client;
  uint64_t   version;
  char      *text;

  set_up (&fixture, 1000);
  publish (&fixture, 2);
  ck_assert_int_eq (call (&fixture, "POST", "/control/mode", "{\"mode\": \"stale\"}"), 200);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/v1/config/head", "\"revision\":1"));
  publish (&fixture, 3);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/v1/config/head", "\"revision\":1"));

  client = http_connect (&fixture.address);
  http_send (&client, "GET /v1/config/head?after=9&wait_ms=60000 HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 20; i++)
    http_run_loop_once (fixture.loop, &client);
  ck_assert_int_eq (call (&fixture, "POST", "/control/mode", "{\"mode\": \"down\"}"), 200);
  ck_assert_ptr_null (http_receive_response (fixture.loop, &client));
  ck_assert (client.closed);
  http_disconnect (&client);
  ck_assert_int_eq (call (&fixture, "GET", "/v1/config/head", ""), 0);
  ck_assert_int_eq (call (&fixture, "GET", "/v1/instances", ""), 0);

  ck_assert_int_eq (call (&fixture, "POST", "/control/mode", "{\"mode\": \"up\"}"), 200);
  text = read_key (&fixture, "head", &version);
  ck_assert_ptr_nonnull (strstr (text, "\"revision\":3"));
  ck_assert_uint_eq (version, 3);
  g_free (text);
  ck_assert_int_eq (call (&fixture, "POST", "/control/mode", "{\"mode\": \"sideways\"}"), 400);
  tear_down (&fixture);
}
END_TEST

/* Guards against a new list of instances that is served before its lag is over, or never. */
START_TEST (test_list_lag)
{
  Fixture fixture;
  bool    changed = false;

  set_up (&fixture, 1000000);
  ck_assert_int_eq (call (&fixture, "POST", "/control/mode", "{\"mode\": \"up\", \"list_lag_ms\": 3600000}"), 200);
  ck_assert_int_eq (call (&fixture, "PUT", "/control/instances", LIST_2), 200);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/v1/instances", "sinos-1"));
  ck_assert_int_eq (call (&fixture, "POST", "/control/mode", "{\"mode\": \"up\", \"list_lag_ms\": 1}"), 200);
  ck_assert_int_eq (call (&fixture, "PUT", "/control/instances", LIST_2), 200);
  for (int i = 0; i < HTTP_MAX_LOOP_RUNS && !changed; i++)
    changed = http_response_contains (fixture.loop, &fixture.address, "/v1/instances", "sinos-2");
  ck_assert (changed);
  ck_assert_int_eq (call (&fixture, "PUT", "/control/instances", "["), 400);
  tear_down (&fixture);
}
END_TEST

/* Guards against an invalid register that is published without the parameter unchecked, or rejected with it. */
START_TEST (test_invalid_register)
{
  static const char INVALID[] = "{\"revision\": 2, \"domains\": 5}";
  Fixture           fixture;

  set_up (&fixture, 1000);
  ck_assert_int_eq (call (&fixture, "PUT", "/control/register", INVALID), 400);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/v1/config/head", "\"revision\":1"));
  ck_assert_int_eq (call (&fixture, "PUT", "/control/register?unchecked=1", INVALID), 200);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/v1/config/head", "\"revision\":2"));
  ck_assert_int_eq (call (&fixture, "PUT", "/control/raw/head", "not JSON"), 200);
  ck_assert (http_response_contains (fixture.loop, &fixture.address, "/v1/config/head", "not JSON"));
  tear_down (&fixture);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("emulated_platform");

  tcase_add_test (cases, test_head_and_part_digests);
  tcase_add_test (cases, test_watch);
  tcase_add_test (cases, test_read_limit);
  tcase_add_test (cases, test_modes);
  tcase_add_test (cases, test_list_lag);
  tcase_add_test (cases, test_invalid_register);
  return wc_test_run_case ("emulated_platform", cases);
}
