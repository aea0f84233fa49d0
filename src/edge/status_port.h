#ifndef WC_EDGE_STATUS_PORT_H
#define WC_EDGE_STATUS_PORT_H

#include <stdbool.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcStatusPort - HTTP port that tells whether the instance takes packets, and its metrics.
 *
 * GET /metrics gives the metrics; every other path, such as the one that the fabric asks for, 200 or 503.
 */
typedef struct WcStatusPort WcStatusPort;

/** WcStatusPortReady - whether the instance takes packets. */
typedef bool (*WcStatusPortReady) (void *user_data);

/** WcStatusPortMetrics - text of the metrics, freed with g_free(). */
typedef char *(*WcStatusPortMetrics) (void *user_data);

/** wc_status_port_new() - listen on @address. Return: NULL with @error set. */
WcStatusPort *wc_status_port_new (struct ev_loop *loop, const WcAddress *address, WcStatusPortReady ready,
                                  WcStatusPortMetrics metrics, void *user_data, WcError *error);
void          wc_status_port_delete (WcStatusPort *port);

#endif
