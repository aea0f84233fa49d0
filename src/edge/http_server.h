#ifndef WC_EDGE_HTTP_SERVER_H
#define WC_EDGE_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** struct WcHttpServer - HTTP/1.1 server on a libev loop that detects a closed connection at once. */
typedef struct WcHttpServer WcHttpServer;

/** struct WcHttpExchange - a request and its response; valid until the response is sent or the connection closes. */
typedef struct WcHttpExchange WcHttpExchange;

/**
 * struct WcHttpServerOps - callbacks of a server.
 * @accepted: a connection was accepted; returning false closes it at once. May be NULL.
 * @request: a request was received completely; the callback may respond now or later.
 * @aborted: the connection closed before the response; the exchange is invalid after the call. May be NULL.
 */
typedef struct
{
  bool (*accepted) (void *user_data);
  void (*request) (void *user_data, WcHttpExchange *exchange);
  void (*aborted) (void *user_data, WcHttpExchange *exchange);
} WcHttpServerOps;

/** wc_http_server_new() - listen on @address. Return: NULL with @error set when the address cannot be bound. */
WcHttpServer *wc_http_server_new (struct ev_loop *loop, const WcAddress *address, const WcHttpServerOps *ops,
                                  void *user_data, WcError *error);

/** wc_http_server_delete() - close the listener and all connections; open exchanges are reported as aborted. */
void wc_http_server_delete (WcHttpServer *server);

void   wc_http_server_get_address (const WcHttpServer *server, WcAddress *address);
size_t wc_http_server_get_connection_count (const WcHttpServer *server);

/** wc_http_server_close_connections() - close all connections; open exchanges are reported as aborted. */
void wc_http_server_close_connections (WcHttpServer *server);

const char *wc_http_exchange_get_method (const WcHttpExchange *exchange);

/** wc_http_exchange_get_path() - path of the URL, without the query. */
const char *wc_http_exchange_get_path (const WcHttpExchange *exchange);

/** wc_http_exchange_get_query_parameter() - value of a query parameter, or NULL. */
const char *wc_http_exchange_get_query_parameter (const WcHttpExchange *exchange, const char *name);

/** wc_http_exchange_get_header() - value of a header, or NULL; @name is in lower case. */
const char *wc_http_exchange_get_header (const WcHttpExchange *exchange, const char *name);

/** wc_http_exchange_get_body() - body, followed by a zero byte; @size_bytes may be NULL and excludes that byte. */
const char *wc_http_exchange_get_body (const WcHttpExchange *exchange, size_t *size_bytes);

void  wc_http_exchange_set_data (WcHttpExchange *exchange, void *data);
void *wc_http_exchange_get_data (const WcHttpExchange *exchange);

/**
 * wc_http_exchange_respond() - send the response; the exchange is invalid after the call.
 * @headers: lines that end with CR LF, or NULL. A line "Connection: close" closes the connection after the response.
 */
void wc_http_exchange_respond (WcHttpExchange *exchange, int status, const char *headers, const void *body,
                               size_t size_bytes);

/** wc_http_exchange_abort() - close the connection without a response; the exchange is invalid after the call. */
void wc_http_exchange_abort (WcHttpExchange *exchange);

#endif
