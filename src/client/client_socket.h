#ifndef WC_CLIENT_SOCKET_H
#define WC_CLIENT_SOCKET_H

#include <wigeoncart/address.h>
#include <wigeoncart/client.h>

/** struct WcClientSocket - a WcClient with a UDP socket, the monotonic clock and a cryptographically secure seed. */
typedef struct WcClientSocket WcClientSocket;

/**
 * wc_client_socket_new() - create a client with a socket that is connected to the fabric.
 * @ops: as for wc_client_new(), except that @ops->send is not used and may be NULL.
 *
 * Return: the client's socket, or NULL with @error set if the socket cannot be opened.
 */
WcClientSocket *wc_client_socket_new (const WcAddress *fabric, const WcClientConfig *config, const WcClientOps *ops,
                                      void *user_data, WcError *error);
void            wc_client_socket_delete (WcClientSocket *sock);

WcClient *wc_client_socket_get_client (WcClientSocket *sock);

/** wc_client_socket_now_us() - time of the monotonic clock, for the now_us arguments of the client's functions. */
uint64_t wc_client_socket_now_us (void);

/** wc_client_socket_step() - wait, at most until @until_us, and handle received datagrams and expired timers. */
void wc_client_socket_step (WcClientSocket *sock, uint64_t until_us);

/** wc_client_socket_get_fd() - file descriptor, for programs that wait for several sockets with poll(). */
int wc_client_socket_get_fd (const WcClientSocket *sock);

/** wc_client_socket_handle() - handle received datagrams and expired timers without waiting. */
void wc_client_socket_handle (WcClientSocket *sock);

/** wc_client_socket_run() - step until all calls end or until @until_us. Return: whether all calls have ended. */
bool wc_client_socket_run (WcClientSocket *sock, uint64_t until_us);

#endif
