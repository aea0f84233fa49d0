#ifndef WC_EMULATOR_EMULATOR_NET_H
#define WC_EMULATOR_EMULATOR_NET_H

#include <sys/socket.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * wc_net_bind() - open a non-blocking socket of @type, bound to @address; a TCP socket listens.
 *
 * Return: descriptor, or -1 with @error set.
 */
int wc_net_bind (int type, const WcAddress *address, WcError *error);

/** wc_net_get_local_address() - address to which a socket is bound; tells the port of a socket bound to port 0. */
void wc_net_get_local_address (int fd, WcAddress *address);

#endif
