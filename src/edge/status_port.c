#include "edge/status_port.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "edge/http_server.h"

struct WcStatusPort
{
  WcHttpServer   *server;
  WcStatusPortOps ops;
  void           *user_data;
};

static void request_received (void *user_data, WcHttpExchange *exchange);
static void respond_text (WcHttpExchange *exchange, const char *headers, char *text);
static void respond_explanation (WcStatusPort *port, WcHttpExchange *exchange);

WcStatusPort *
wc_status_port_new (struct ev_loop *loop, const WcAddress *address, const WcStatusPortOps *ops, void *user_data,
                    WcError *error)
{
  static const WcHttpServerOps server_ops = { .request = request_received };
  WcStatusPort                *port = g_new0 (WcStatusPort, 1);

  assert (ops != NULL && ops->ready != NULL && ops->metrics != NULL);

  port->ops = *ops;
  port->user_data = user_data;
  port->server = wc_http_server_new (loop, address, &server_ops, port, error);
  if (port->server)
    return port;
  g_free (port);
  return NULL;
}

void
wc_status_port_delete (WcStatusPort *port)
{
  if (!port)
    return;
  wc_http_server_delete (port->server);
  g_free (port);
}

/* local functions */

static void
request_received (void *user_data, WcHttpExchange *exchange)
{
  WcStatusPort *port = user_data;
  const char   *path = wc_http_exchange_get_path (exchange);

  if (strcmp (path, "/metrics") == 0)
    respond_text (exchange, "Content-Type: text/plain; version=0.0.4\r\n", port->ops.metrics (port->user_data));
  else if (strcmp (path, "/status") == 0 && port->ops.status)
    respond_text (exchange, "Content-Type: application/json\r\n", port->ops.status (port->user_data));
  else if (strcmp (path, "/explain") == 0 && port->ops.explain)
    respond_explanation (port, exchange);
  else
    wc_http_exchange_respond (exchange, port->ops.ready (port->user_data) ? 200 : 503, NULL, NULL, 0);
}

/* Takes ownership of @text. */
static void
respond_text (WcHttpExchange *exchange, const char *headers, char *text)
{
  wc_http_exchange_respond (exchange, 200, headers, text, strlen (text));
  g_free (text);
}

static void
respond_explanation (WcStatusPort *port, WcHttpExchange *exchange)
{
  WcError error = { 0 };
  char   *text = port->ops.explain (port->user_data, wc_http_exchange_get_query_parameter (exchange, "route"),
                                    wc_http_exchange_get_query_parameter (exchange, "caller"), &error);

  if (text)
    respond_text (exchange, "Content-Type: application/json\r\n", text);
  else
    wc_http_exchange_respond (exchange, 400, "Content-Type: text/plain\r\n", error.message, strlen (error.message));
}
