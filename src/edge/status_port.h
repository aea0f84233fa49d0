#ifndef WC_EDGE_STATUS_PORT_H
#define WC_EDGE_STATUS_PORT_H

#include <stdbool.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcStatusPort - HTTP port for readiness checks, metrics, status and explanations.
 *
 * GET /metrics returns the metrics, and GET /status the status as JSON if the port has one. GET
 * /explain?route=ADDRESS[&caller=ADDRESS] returns as JSON what the instance would do now with an opening of that
 * caller, or 400 with a message. Every other path, including the one that the network fabric probes, returns 200 when
 * the instance accepts packets and 503 otherwise.
 */
typedef struct WcStatusPort WcStatusPort;

/** WcStatusPortReady - whether the instance accepts packets. */
typedef bool (*WcStatusPortReady) (void *user_data);

/** WcStatusPortMetrics - text of the metrics; the port frees it with g_free(). */
typedef char *(*WcStatusPortMetrics) (void *user_data);

/** WcStatusPortStatus - the status as JSON; the port frees it with g_free(). */
typedef char *(*WcStatusPortStatus) (void *user_data);

/**
 * WcStatusPortExplain - explanation of an opening as JSON, or NULL with @error set; the port frees it with g_free().
 * @route, @caller: values of the query, or NULL.
 */
typedef char *(*WcStatusPortExplain) (void *user_data, const char *route, const char *caller, WcError *error);

/** struct WcStatusPortOps - callbacks of a port; @status and @explain may be NULL. */
typedef struct
{
  WcStatusPortReady   ready;
  WcStatusPortMetrics metrics;
  WcStatusPortStatus  status;
  WcStatusPortExplain explain;
} WcStatusPortOps;

/** wc_status_port_new() - listen on @address. Return: NULL with @error set when the address cannot be bound. */
WcStatusPort *wc_status_port_new (struct ev_loop *loop, const WcAddress *address, const WcStatusPortOps *ops,
                                  void *user_data, WcError *error);
void          wc_status_port_delete (WcStatusPort *port);

#endif
