#ifndef WC_CLIENT_SOCKET_H
#define WC_CLIENT_SOCKET_H

#include <wigeoncart/address.h>
#include <wigeoncart/client.h>

/** struct WcClientSocket - a WcClient with a UDP socket, the monotonic clock and a secure seed. */
typedef struct WcClientSocket WcClientSocket;

/**
 * wc_client_socket_new() - open a socket to the fabric.
 * @ops: as for wc_client_new(); @ops->send is not used and may be NULL.
 *
 * Return: NULL with @error set when the socket cannot be opened.
 */
WcClientSocket *wc_client_socket_new (const WcAddress *fabric, const WcClientConfig *config, const WcClientOps *ops,
                                      void *user_data, WcError *error);
void            wc_client_socket_delete (WcClientSocket *sock);

WcClient *wc_client_socket_get_client (WcClientSocket *sock);

/** wc_client_socket_now_us() - monotonic clock, for all calls of the client. */
uint64_t wc_client_socket_now_us (void);

/** wc_client_socket_step() - handle datagrams and due times; waits for the first one, @until_us at the latest. */
void wc_client_socket_step (WcClientSocket *sock, uint64_t until_us);

/** wc_client_socket_get_fd() - descriptor for a caller that waits on several sockets. */
int wc_client_socket_get_fd (const WcClientSocket *sock);

/** wc_client_socket_handle() - handle the datagrams that are there and what is due, without waiting. */
void wc_client_socket_handle (WcClientSocket *sock);

/** wc_client_socket_run() - step until no call is left or until @until_us. Return: whether no call is left. */
bool wc_client_socket_run (WcClientSocket *sock, uint64_t until_us);

#endif
