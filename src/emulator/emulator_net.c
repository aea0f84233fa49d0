#include "emulator/emulator_net.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

socklen_t
wc_net_to_sockaddr (const WcAddress *address, struct sockaddr_storage *storage)
{
  assert (address != NULL);
  assert (storage != NULL);

  memset (storage, 0, sizeof *storage);
  if (address->family == 6)
    {
      struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (address->port);
      memcpy (&v6->sin6_addr, address->ip, 16);
      return sizeof *v6;
    }
  struct sockaddr_in *v4 = (struct sockaddr_in *)storage;

  v4->sin_family = AF_INET;
  v4->sin_port = htons (address->port);
  memcpy (&v4->sin_addr, address->ip, 4);
  return sizeof *v4;
}

void
wc_net_from_sockaddr (const struct sockaddr_storage *storage, WcAddress *address)
{
  assert (storage != NULL);
  assert (address != NULL);

  memset (address, 0, sizeof *address);
  if (storage->ss_family == AF_INET6)
    {
      struct sockaddr_in6 v6;

      memcpy (&v6, storage, sizeof v6);
      address->family = 6;
      address->port = ntohs (v6.sin6_port);
      memcpy (address->ip, &v6.sin6_addr, 16);
      return;
    }
  struct sockaddr_in v4;

  memcpy (&v4, storage, sizeof v4);
  address->family = 4;
  address->port = ntohs (v4.sin_port);
  memcpy (address->ip, &v4.sin_addr, 4);
}

int
wc_net_bind (int type, const WcAddress *address, WcError *error)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_net_to_sockaddr (address, &storage);
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
wc_net_get_local (int fd, WcAddress *address)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t               length = sizeof storage;

  if (getsockname (fd, (struct sockaddr *)&storage, &length) == 0)
    wc_net_from_sockaddr (&storage, address);
}
