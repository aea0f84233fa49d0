#ifndef WC_EDGE_SOCKET_ADDRESS_H
#define WC_EDGE_SOCKET_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** wc_socket_address_to_sockaddr() - convert an address to a sockaddr. Return: length of the sockaddr. */
socklen_t wc_socket_address_to_sockaddr (const WcAddress *address, struct sockaddr_storage *storage);

/** wc_socket_address_from_sockaddr() - convert a sockaddr to an address. Return: false when it is neither IPv4 nor
 * IPv6. */
bool wc_socket_address_from_sockaddr (const struct sockaddr_storage *storage, WcAddress *address);

/**
 * wc_socket_open_udp() - open a non-blocking UDP socket and bind it to @address.
 * @reuse_port: set SO_REUSEPORT, so that several sockets share the address and the kernel distributes datagrams to
 * them.
 *
 * Return: the descriptor, or -1 with @error set.
 */
int wc_socket_open_udp (const WcAddress *address, bool reuse_port, WcError *error);

#endif
