#ifndef WC_EDGE_SOCKET_H
#define WC_EDGE_SOCKET_H

#include <stdbool.h>

#include <wigeoncart/address.h>

/** wc_socket_listen() - open a non-blocking TCP listener. Return: descriptor, or -1 with errno set. */
int wc_socket_listen (const WcAddress *address);

/** wc_socket_connect() - start a non-blocking TCP connection. Return: descriptor, or -1 with errno set. */
int wc_socket_connect (const WcAddress *address);

/**
 * wc_socket_set_tcp_options() - set TCP_NODELAY, and TCP_USER_TIMEOUT so that unacknowledged data closes the connection
 * when the network path is cut.
 */
void wc_socket_set_tcp_options (int descriptor);

/**
 * wc_socket_is_silent() - whether a connection is open and has no unread input. Input between two requests is not a
 * response to the next one, for example a late second copy of an earlier response.
 */
bool wc_socket_is_silent (int descriptor);

#endif
