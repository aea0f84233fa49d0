#ifndef WC_EMULATOR_EMULATOR_NET_H
#define WC_EMULATOR_EMULATOR_NET_H

#include <sys/socket.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * wc_net_bind() - non-blocking socket of @type on @address; a TCP socket listens.
 *
 * Return: descriptor, or -1 with @error set.
 */
int wc_net_bind (int type, const WcAddress *address, WcError *error);

/** wc_net_get_local_address() - address that a socket is bound to, for port 0. */
void wc_net_get_local_address (int fd, WcAddress *address);

#endif
