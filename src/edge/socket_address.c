#include "edge/socket_address.h"

#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

enum
{
  SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
};

socklen_t
wc_socket_address_to_sockaddr (const WcAddress *address, struct sockaddr_storage *storage)
{
  struct sockaddr_in  *ipv4 = (struct sockaddr_in *)storage;
  struct sockaddr_in6 *ipv6 = (struct sockaddr_in6 *)storage;

  assert (address != NULL);
  assert (storage != NULL);

  memset (storage, 0, sizeof *storage);
  if (address->family == 6)
    {
      ipv6->sin6_family = AF_INET6;
      ipv6->sin6_port = htons (address->port);
      memcpy (&ipv6->sin6_addr, address->ip, 16);
      return sizeof *ipv6;
    }
  ipv4->sin_family = AF_INET;
  ipv4->sin_port = htons (address->port);
  memcpy (&ipv4->sin_addr, address->ip, 4);
  return sizeof *ipv4;
}

bool
wc_socket_address_from_sockaddr (const struct sockaddr_storage *storage, WcAddress *address)
{
  const struct sockaddr_in  *ipv4 = (const struct sockaddr_in *)storage;
  const struct sockaddr_in6 *ipv6 = (const struct sockaddr_in6 *)storage;

  assert (storage != NULL);
  assert (address != NULL);

  memset (address, 0, sizeof *address);
  if (storage->ss_family == AF_INET6)
    {
      address->family = 6;
      address->port = ntohs (ipv6->sin6_port);
      memcpy (address->ip, &ipv6->sin6_addr, 16);
      return true;
    }
  if (storage->ss_family != AF_INET)
    return false;
  address->family = 4;
  address->port = ntohs (ipv4->sin_port);
  memcpy (address->ip, &ipv4->sin_addr, 4);
  return true;
}

int
wc_socket_open_udp (const WcAddress *address, bool reuse_port, WcError *error)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);
  char                    text[WC_ADDRESS_TEXT_BYTES];
  int                     on = 1;
  int                     size = SOCKET_BUFFER_BYTES;
  int fd = socket (address->family == 6 ? AF_INET6 : AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    {
      wc_error_set (error, WC_STATUS_INVALID, "cannot create a UDP socket: %s", strerror (errno));
      return -1;
    }
  /* Larger buffers are optional: the kernel may limit the size, which is not an error. */
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  if (reuse_port)
    setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&storage, length) < 0)
    {
      wc_error_set (error, WC_STATUS_INVALID, "cannot bind UDP %s: %s", wc_address_format (address, text),
                    strerror (errno));
      close (fd);
      return -1;
    }
  return fd;
}
