#ifndef WC_EDGE_FORWARD_SERVER_H
#define WC_EDGE_FORWARD_SERVER_H

#include <wigeoncart/status.h>

#include "edge/forward_settings.h"

/** struct WcForwardServer - an instance that forwards packets: its sockets, timers and signals on one event loop. */
typedef struct WcForwardServer WcForwardServer;

/** wc_forward_server_new() - bind the addresses of @settings, which must live as long. Return: NULL with @error set. */
WcForwardServer *wc_forward_server_new (const WcForwardSettings *settings, const char *path, WcError *error);
void             wc_forward_server_delete (WcForwardServer *server);

/** wc_forward_server_run() - serve until SIGTERM or SIGINT and the end of a planned stop. */
void wc_forward_server_run (WcForwardServer *server);

#endif
