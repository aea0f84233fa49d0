#include "emulator/emulator_net.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "edge/socket_address.h"

int
wc_net_bind (int type, const WcAddress *address, WcError *error)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);
  char                    text[WC_ADDRESS_TEXT_BYTES] = "";
  int                     on = 1;
  int                     fd = socket (storage.ss_family, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd >= 0 && type == SOCK_STREAM)
    (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (const struct sockaddr *)&storage, length) < 0 ||
      (type == SOCK_STREAM && listen (fd, SOMAXCONN) < 0))
    {
      wc_error_set (error, WC_STATUS_INVALID, "cannot listen on %s: %s", wc_address_format (address, text),
                    strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}

void
wc_net_get_local_address (int fd, WcAddress *address)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t               length = sizeof storage;

  if (getsockname (fd, (struct sockaddr *)&storage, &length) == 0)
    (void)wc_socket_address_from_sockaddr (&storage, address);
}
