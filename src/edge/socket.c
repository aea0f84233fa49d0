#include "edge/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include "edge/socket_address.h"

enum
{
  BACKLOG = 256,
  TCP_USER_TIMEOUT_MS = 4000
};

int
wc_socket_listen (const WcAddress *address)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);
  int                     descriptor = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int                     on = 1;
  int                     saved;

  if (descriptor < 0)
    return -1;
  setsockopt (descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (descriptor, (struct sockaddr *)&storage, length) == 0 && listen (descriptor, BACKLOG) == 0)
    return descriptor;
  saved = errno;
  close (descriptor);
  errno = saved;
  return -1;
}

int
wc_socket_connect (const WcAddress *address)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);
  int                     descriptor = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int                     saved;

  if (descriptor < 0)
    return -1;
  wc_socket_set_tcp_options (descriptor);
  if (connect (descriptor, (struct sockaddr *)&storage, length) == 0 || errno == EINPROGRESS)
    return descriptor;
  saved = errno;
  close (descriptor);
  errno = saved;
  return -1;
}

void
wc_socket_set_tcp_options (int descriptor)
{
  int          on = 1;
  unsigned int limit_ms = TCP_USER_TIMEOUT_MS;

  setsockopt (descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

bool
wc_socket_is_silent (int descriptor)
{
  char byte;

  return recv (descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EINTR);
}
