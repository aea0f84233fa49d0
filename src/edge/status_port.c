#include "edge/status_port.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "edge/http_server.h"

struct WcStatusPort
{
  WcHttpServer       *server;
  WcStatusPortReady   ready;
  WcStatusPortMetrics metrics;
  WcStatusPortStatus  status;
  void               *user_data;
};

static void request_received (void *user_data, WcHttpExchange *exchange);
static void respond_text (WcHttpExchange *exchange, const char *headers, char *text);

WcStatusPort *
wc_status_port_new (struct ev_loop *loop, const WcAddress *address, WcStatusPortReady ready,
                    WcStatusPortMetrics metrics, WcStatusPortStatus status, void *user_data, WcError *error)
{
  static const WcHttpServerOps ops = { .request = request_received };
  WcStatusPort                *port = g_new0 (WcStatusPort, 1);

  assert (ready != NULL && metrics != NULL);

  port->ready = ready;
  port->metrics = metrics;
  port->status = status;
  port->user_data = user_data;
  port->server = wc_http_server_new (loop, address, &ops, port, error);
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
    respond_text (exchange, "Content-Type: text/plain; version=0.0.4\r\n", port->metrics (port->user_data));
  else if (port->status && strcmp (path, "/status") == 0)
    respond_text (exchange, "Content-Type: application/json\r\n", port->status (port->user_data));
  else
    wc_http_exchange_respond (exchange, port->ready (port->user_data) ? 200 : 503, NULL, NULL, 0);
}

/* Takes ownership of @text. */
static void
respond_text (WcHttpExchange *exchange, const char *headers, char *text)
{
  wc_http_exchange_respond (exchange, 200, headers, text, strlen (text));
  g_free (text);
}
