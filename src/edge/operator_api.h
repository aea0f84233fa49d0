#ifndef WC_EDGE_OPERATOR_API_H
#define WC_EDGE_OPERATOR_API_H

#include "edge/control_thread.h"

/**
 * struct WcOperatorApi - the operators' HTTP port.
 *
 * GET /health, /ready, /status, /metrics, /events?after=&max=, and POST /faults where fault injection is allowed. Its
 * threads read copies and lock-free counters only.
 */
typedef struct WcOperatorApi WcOperatorApi;

/** wc_operator_api_new() - Return: NULL with @error set when the port cannot be bound. */
WcOperatorApi *wc_operator_api_new (WcControlThread *thread, WcError *error);

/** wc_operator_api_delete() - close the port and wait for its threads. */
void wc_operator_api_delete (WcOperatorApi *api);

#endif
