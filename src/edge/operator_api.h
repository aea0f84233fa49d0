#ifndef WC_EDGE_OPERATOR_API_H
#define WC_EDGE_OPERATOR_API_H

#include "edge/control_thread.h"

/**
 * struct WcOperatorApi - HTTP API for operators.
 *
 * GET /health, /ready, /status, /metrics, /events?after=&max=, and POST /faults where the settings allow fault
 * injection. The threads of the server read only copies and lock-free counters, never the control state itself.
 */
typedef struct WcOperatorApi WcOperatorApi;

/**
 * wc_operator_api_new() - bind the operators' address and start the server.
 *
 * Return: NULL with @error set when libulfius cannot be loaded or the address cannot be bound.
 */
WcOperatorApi *wc_operator_api_new (WcControlThread *thread, WcError *error);

/** wc_operator_api_delete() - close the port and wait for the server's threads to end. */
void wc_operator_api_delete (WcOperatorApi *api);

#endif
