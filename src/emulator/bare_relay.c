#include "emulator/bare_relay.h"

#include <assert.h>
#include <glib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/socket_address.h"

enum
{
  /* Same values as in edge/udp_batch.c, so that this relay makes the same socket calls as an instance. */
  BATCH_DATAGRAMS = 64,
  DATAGRAM_BYTES = 1536,
  POLL_MS = 100
};

struct WcBareRelay
{
  int                     in;
  int                     out;
  uint64_t                count;
  struct sockaddr_storage destination;
  struct sockaddr_storage sources[BATCH_DATAGRAMS];
  struct mmsghdr          received[BATCH_DATAGRAMS];
  struct mmsghdr          sent[BATCH_DATAGRAMS];
  struct iovec            vectors[BATCH_DATAGRAMS];
  uint8_t                 data[BATCH_DATAGRAMS][DATAGRAM_BYTES];
};

static unsigned relay_batch (WcBareRelay *relay);

WcBareRelay *
wc_bare_relay_new (const WcAddress *listen, const WcAddress *destination, WcError *error)
{
  WcBareRelay *relay = g_new0 (WcBareRelay, 1);
  WcAddress    any = *destination;
  socklen_t    length;

  assert (listen != NULL);
  assert (destination != NULL);

  any.port = 0;
  relay->out = -1;
  relay->in = wc_socket_open_udp (listen, true, error);
  if (relay->in >= 0)
    relay->out = wc_socket_open_udp (&any, false, error);
  if (relay->out < 0)
    {
      wc_bare_relay_delete (relay);
      return NULL;
    }
  length = wc_socket_address_to_sockaddr (destination, &relay->destination);
  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      relay->vectors[i].iov_base = relay->data[i];
      relay->received[i].msg_hdr.msg_iov = &relay->vectors[i];
      relay->received[i].msg_hdr.msg_iovlen = 1;
      relay->received[i].msg_hdr.msg_name = &relay->sources[i];
      relay->sent[i].msg_hdr.msg_iov = &relay->vectors[i];
      relay->sent[i].msg_hdr.msg_iovlen = 1;
      relay->sent[i].msg_hdr.msg_name = &relay->destination;
      relay->sent[i].msg_hdr.msg_namelen = length;
    }
  return relay;
}

void
wc_bare_relay_delete (WcBareRelay *relay)
{
  if (!relay)
    return;
  if (relay->in >= 0)
    close (relay->in);
  if (relay->out >= 0)
    close (relay->out);
  g_free (relay);
}

void
wc_bare_relay_get_address (const WcBareRelay *relay, WcAddress *address)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t               length = sizeof storage;

  assert (relay != NULL);

  getsockname (relay->in, (struct sockaddr *)&storage, &length);
  wc_socket_address_from_sockaddr (&storage, address);
}

void
wc_bare_relay_run (WcBareRelay *relay, const atomic_bool *stopping, uint64_t limit_ms)
{
  struct pollfd poll_in = { .fd = relay->in, .events = POLLIN };
  gint64        deadline_us = g_get_monotonic_time () + (gint64)limit_ms * 1000;

  while (!atomic_load (stopping) && g_get_monotonic_time () < deadline_us)
    {
      if (poll (&poll_in, 1, POLL_MS) <= 0)
        continue;
      /* A worker also reads at most four batches from a socket before it polls for other events. */
      for (int i = 0; i < 4 && relay_batch (relay) > 0; i++)
        ;
    }
}

uint64_t
wc_bare_relay_get_count (const WcBareRelay *relay)
{
  return relay->count;
}

/* local functions */

static unsigned
relay_batch (WcBareRelay *relay)
{
  int count;
  int done = 0;

  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      relay->vectors[i].iov_len = DATAGRAM_BYTES;
      relay->received[i].msg_hdr.msg_namelen = sizeof relay->sources[i];
    }
  count = recvmmsg (relay->in, relay->received, BATCH_DATAGRAMS, MSG_DONTWAIT, NULL);
  if (count <= 0)
    return 0;
  for (int i = 0; i < count; i++)
    relay->vectors[i].iov_len = relay->received[i].msg_len;
  while (done < count)
    {
      int sent = sendmmsg (relay->out, relay->sent + done, (unsigned)(count - done), MSG_DONTWAIT);

      done += sent > 0 ? sent : 1;
    }
  relay->count += (uint64_t)count;
  return (unsigned)count;
}
