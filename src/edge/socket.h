#ifndef WC_EDGE_SOCKET_H
#define WC_EDGE_SOCKET_H

#include <wigeoncart/address.h>

/** wc_socket_listen() - non-blocking listener on a TCP address. Return: descriptor, or -1 with errno set. */
int wc_socket_listen (const WcAddress *address);

/** wc_socket_connect() - start a non-blocking TCP connection. Return: descriptor, or -1 with errno set. */
int wc_socket_connect (const WcAddress *address);

/** wc_socket_set_tcp_options() - no delay, and a limit on unacknowledged data, so that a cut path is noticed. */
void wc_socket_set_tcp_options (int descriptor);

#endif
