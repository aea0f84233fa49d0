#include "edge/operator_api.h"

#include <assert.h>
#include <string.h>

#include <glib.h>
#include <netinet/in.h>

#include "edge/fault_request.h"
#include "edge/metrics.h"
#include "edge/socket_address.h"
#include "edge/ulfius_library.h"

enum
{
  EVENTS_DEFAULT = 1000,
  EVENTS_MAX = 20000,
  BODY_MAX_BYTES = 65536,
  IDLE_TIMEOUT_S = 10
};

/* Set by the first wc_operator_api_new(), before the server accepts requests. */
static const WcUlfius *ulfius;

struct WcOperatorApi
{
  WcControlThread        *thread;
  struct _u_instance      instance;
  struct sockaddr_storage address;
};

static int      get_health (const struct _u_request *request, struct _u_response *response, void *user_data);
static int      get_ready (const struct _u_request *request, struct _u_response *response, void *user_data);
static int      get_status (const struct _u_request *request, struct _u_response *response, void *user_data);
static int      get_metrics (const struct _u_request *request, struct _u_response *response, void *user_data);
static int      get_events (const struct _u_request *request, struct _u_response *response, void *user_data);
static int      post_faults (const struct _u_request *request, struct _u_response *response, void *user_data);
static int      not_found (const struct _u_request *request, struct _u_response *response, void *user_data);
static void     reply (struct _u_response *response, unsigned int status, const char *type, const char *body);
static uint64_t get_number (const struct _u_request *request, const char *key, uint64_t default_value);

WcOperatorApi *
wc_operator_api_new (WcControlThread *thread, WcError *error)
{
  WcOperatorApi    *api;
  const WcSettings *settings;
  char              text[WC_ADDRESS_TEXT_BYTES];
  int               result;

  assert (thread != NULL);

  ulfius = wc_ulfius_load (error);
  if (!ulfius)
    return NULL;
  settings = wc_control_thread_get_settings (thread);
  api = g_new0 (WcOperatorApi, 1);
  api->thread = thread;
  wc_socket_address_to_sockaddr (&settings->operators, &api->address);
  if (settings->operators.family == 6)
    result = ulfius->ulfius_init_instance_ipv6 (&api->instance, settings->operators.port,
                                                (struct sockaddr_in6 *)&api->address, U_USE_IPV6, NULL);
  else
    result = ulfius->ulfius_init_instance (&api->instance, settings->operators.port,
                                           (struct sockaddr_in *)&api->address, NULL);
  if (result != U_OK)
    {
      wc_error_set (error, WC_STATUS_NO_SPACE, "cannot set up the operators' HTTP server");
      g_free (api);
      return NULL;
    }
  api->instance.max_post_body_size = BODY_MAX_BYTES;
  api->instance.timeout = IDLE_TIMEOUT_S;
  ulfius->ulfius_add_endpoint_by_val (&api->instance, "GET", NULL, "/health", 0, get_health, api);
  ulfius->ulfius_add_endpoint_by_val (&api->instance, "GET", NULL, "/ready", 0, get_ready, api);
  ulfius->ulfius_add_endpoint_by_val (&api->instance, "GET", NULL, "/status", 0, get_status, api);
  ulfius->ulfius_add_endpoint_by_val (&api->instance, "GET", NULL, "/metrics", 0, get_metrics, api);
  ulfius->ulfius_add_endpoint_by_val (&api->instance, "GET", NULL, "/events", 0, get_events, api);
  if (settings->fault_injection)
    ulfius->ulfius_add_endpoint_by_val (&api->instance, "POST", NULL, "/faults", 0, post_faults, api);
  ulfius->ulfius_set_default_endpoint (&api->instance, not_found, api);
  if (ulfius->ulfius_start_framework (&api->instance) != U_OK)
    {
      wc_error_set (error, WC_STATUS_INVALID, "cannot bind operators' address %s",
                    wc_address_format (&settings->operators, text));
      ulfius->ulfius_clean_instance (&api->instance);
      g_free (api);
      return NULL;
    }
  return api;
}

void
wc_operator_api_delete (WcOperatorApi *api)
{
  if (!api)
    return;
  ulfius->ulfius_stop_framework (&api->instance);
  ulfius->ulfius_clean_instance (&api->instance);
  g_free (api);
}

/* local functions */

static int
get_health (const struct _u_request *request, struct _u_response *response, void *user_data)
{
  (void)request;
  (void)user_data;
  reply (response, 200, "text/plain", "alive\n");
  return U_CALLBACK_COMPLETE;
}

static int
get_ready (const struct _u_request *request, struct _u_response *response, void *user_data)
{
  WcOperatorApi *api = user_data;
  char           reason[WC_READY_REASON_BYTES];
  char           body[WC_READY_REASON_BYTES + 2];

  (void)request;
  if (wc_control_thread_is_ready (api->thread, reason))
    {
      reply (response, 200, "text/plain", "ready\n");
      return U_CALLBACK_COMPLETE;
    }
  g_snprintf (body, sizeof body, "%s\n", reason);
  reply (response, 503, "text/plain", body);
  return U_CALLBACK_COMPLETE;
}

static int
get_status (const struct _u_request *request, struct _u_response *response, void *user_data)
{
  WcOperatorApi *api = user_data;
  char          *status = wc_control_thread_copy_status (api->thread);

  (void)request;
  reply (response, 200, "application/json", status);
  g_free (status);
  return U_CALLBACK_COMPLETE;
}

static int
get_metrics (const struct _u_request *request, struct _u_response *response, void *user_data)
{
  WcOperatorApi *api = user_data;
  char          *text = wc_metrics_text (api->thread);

  (void)request;
  reply (response, 200, "text/plain; version=0.0.4", text);
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

static int
get_events (const struct _u_request *request, struct _u_response *response, void *user_data)
{
  WcOperatorApi *api = user_data;
  uint64_t       max = MIN (get_number (request, "max", EVENTS_DEFAULT), (uint64_t)EVENTS_MAX);
  char          *text = wc_events_json (api->thread, get_number (request, "after", 0), max);

  reply (response, 200, "application/json", text);
  g_free (text);
  return U_CALLBACK_COMPLETE;
}

static int
post_faults (const struct _u_request *request, struct _u_response *response, void *user_data)
{
  WcOperatorApi *api = user_data;
  GPtrArray     *domains = g_ptr_array_new_with_free_func (g_free);
  bool           block_platform = false;

  if (wc_fault_request_parse (request->binary_body, request->binary_body_length, domains, &block_platform))
    {
      wc_control_thread_set_faults (api->thread, (const char *const *)domains->pdata, domains->len, block_platform);
      reply (response, 200, "text/plain", "set\n");
    }
  else
    reply (response, 400, "text/plain", "expected {\"block_domains\": [name...], \"block_platform\": true or false}\n");
  g_ptr_array_free (domains, TRUE);
  return U_CALLBACK_COMPLETE;
}

static int
not_found (const struct _u_request *request, struct _u_response *response, void *user_data)
{
  (void)request;
  (void)user_data;
  reply (response, 404, "text/plain", "not found\n");
  return U_CALLBACK_COMPLETE;
}

static void
reply (struct _u_response *response, unsigned int status, const char *type, const char *body)
{
  ulfius->ulfius_set_string_body_response (response, status, body ? body : "");
  ulfius->u_map_put (response->map_header, "Content-Type", type);
}

static uint64_t
get_number (const struct _u_request *request, const char *key, uint64_t default_value)
{
  const char *text = ulfius->u_map_get (request->map_url, key);
  guint64     value;

  return text && g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &value, NULL) ? value : default_value;
}
