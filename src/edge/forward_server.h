#ifndef WC_EDGE_FORWARD_SERVER_H
#define WC_EDGE_FORWARD_SERVER_H

#include <wigeoncart/status.h>

#include "edge/forward_settings.h"

/** struct WcForwardServer - an instance that forwards packets: sockets, timers and signals on one event loop. */
typedef struct WcForwardServer WcForwardServer;

/**
 * wc_forward_server_new() - create a server, bind its addresses and start to read the view.
 * @settings: settings in force; must outlive the server.
 * @path: settings file, watched for changes.
 *
 * Return: a new server, or NULL with @error set.
 */
WcForwardServer *wc_forward_server_new (const WcForwardSettings *settings, const char *path, WcError *error);
void             wc_forward_server_delete (WcForwardServer *server);

/** wc_forward_server_run() - run the event loop until a planned stop, begun by SIGTERM or SIGINT, has finished. */
void wc_forward_server_run (WcForwardServer *server);

#endif
