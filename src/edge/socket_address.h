#ifndef WC_EDGE_SOCKET_ADDRESS_H
#define WC_EDGE_SOCKET_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** wc_socket_address_to_sockaddr() - socket form of an address. Return: its length. */
socklen_t wc_socket_address_to_sockaddr (const WcAddress *address, struct sockaddr_storage *storage);

/** wc_socket_address_from_sockaddr() - address of a socket form; false for other families than IP. */
bool wc_socket_address_from_sockaddr (const struct sockaddr_storage *storage, WcAddress *address);

/**
 * wc_socket_open_udp() - a bound, non-blocking UDP socket.
 * @reuse_port: several sockets share the address and the kernel spreads datagrams over them.
 *
 * Return: the descriptor, or -1 with @error set.
 */
int wc_socket_open_udp (const WcAddress *address, bool reuse_port, WcError *error);

#endif
