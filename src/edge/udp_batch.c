#include "edge/udp_batch.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "edge/socket_address.h"

enum
{
  DATAGRAM_MAX_BYTES = 1536,
  CONTROL_BYTES = CMSG_SPACE (sizeof (struct timespec))
};

/* Ancillary data of a datagram. */
typedef union
{
  struct cmsghdr header;
  uint8_t        bytes[CONTROL_BYTES];
} Control;

typedef struct
{
  struct mmsghdr          headers[WC_UDP_BATCH_DATAGRAMS];
  struct iovec            vectors[WC_UDP_BATCH_DATAGRAMS];
  struct sockaddr_storage addresses[WC_UDP_BATCH_DATAGRAMS];
  uint8_t                 data[WC_UDP_BATCH_DATAGRAMS][DATAGRAM_MAX_BYTES];
} Buffers;

/*
 * @controls: ancillary data of the datagrams in @in; NULL without timestamps.
 * @read_ns: when the current read began, by the wall clock, which the kernel's timestamps use.
 * @arrival_ns: when the current datagram arrived, by the same clock; 0 when not known.
 */
struct WcUdpBatch
{
  int      fd;
  unsigned queued;
  Buffers  in;
  Buffers  out;
  Control *controls;
  uint64_t read_ns;
  uint64_t arrival_ns;
};

static uint64_t to_ns (const struct timespec *time);
static uint64_t find_arrival_ns (struct msghdr *header);
static void     init_buffers (Buffers *buffers);

WcUdpBatch *
wc_udp_batch_new (int fd)
{
  WcUdpBatch *batch = g_new0 (WcUdpBatch, 1);

  assert (fd >= 0);

  batch->fd = fd;
  init_buffers (&batch->in);
  init_buffers (&batch->out);
  return batch;
}

void
wc_udp_batch_delete (WcUdpBatch *batch)
{
  if (!batch)
    return;
  close (batch->fd);
  g_free (batch->controls);
  g_free (batch);
}

int
wc_udp_batch_get_fd (const WcUdpBatch *batch)
{
  return batch->fd;
}

bool
wc_udp_batch_enable_timestamps (WcUdpBatch *batch)
{
  const int enabled = 1;

  assert (batch != NULL);

  if (setsockopt (batch->fd, SOL_SOCKET, SO_TIMESTAMPNS, &enabled, sizeof enabled) != 0)
    return false;
  if (!batch->controls)
    batch->controls = g_new0 (Control, WC_UDP_BATCH_DATAGRAMS);
  return true;
}

void
wc_udp_batch_mark_read (WcUdpBatch *batch)
{
  struct timespec now;

  assert (batch != NULL);

  clock_gettime (CLOCK_REALTIME, &now);
  batch->read_ns = to_ns (&now);
}

bool
wc_udp_batch_get_waited_us (const WcUdpBatch *batch, uint64_t *waited_us)
{
  assert (batch != NULL && waited_us != NULL);

  if (batch->arrival_ns == 0 || batch->arrival_ns > batch->read_ns)
    return false;
  *waited_us = (batch->read_ns - batch->arrival_ns) / 1000;
  return true;
}

unsigned
wc_udp_batch_receive (WcUdpBatch *batch, WcUdpReceive receive, void *user_data)
{
  Buffers *in = &batch->in;
  int      count;

  for (unsigned i = 0; i < WC_UDP_BATCH_DATAGRAMS; i++)
    {
      in->headers[i].msg_hdr.msg_namelen = sizeof in->addresses[i];
      in->headers[i].msg_hdr.msg_control = batch->controls ? &batch->controls[i] : NULL;
      in->headers[i].msg_hdr.msg_controllen = batch->controls ? CONTROL_BYTES : 0;
    }
  count = recvmmsg (batch->fd, in->headers, WC_UDP_BATCH_DATAGRAMS, MSG_DONTWAIT, NULL);
  if (count <= 0)
    return 0;
  for (int i = 0; i < count; i++)
    {
      WcAddress source;

      /* A truncated datagram is longer than the protocol allows and therefore invalid. */
      if ((in->headers[i].msg_hdr.msg_flags & MSG_TRUNC) ||
          !wc_socket_address_from_sockaddr (&in->addresses[i], &source))
        continue;
      batch->arrival_ns = batch->controls ? find_arrival_ns (&in->headers[i].msg_hdr) : 0;
      receive (user_data, &source, in->data[i], in->headers[i].msg_len);
    }
  return (unsigned)count;
}

void
wc_udp_batch_send (WcUdpBatch *batch, const WcAddress *destination, const uint8_t *data, size_t size_bytes)
{
  Buffers *out = &batch->out;
  unsigned i;

  if (size_bytes > DATAGRAM_MAX_BYTES)
    return;
  if (batch->queued == WC_UDP_BATCH_DATAGRAMS)
    wc_udp_batch_flush (batch);
  i = batch->queued++;
  memcpy (out->data[i], data, size_bytes);
  out->vectors[i].iov_len = size_bytes;
  out->headers[i].msg_hdr.msg_namelen = wc_socket_address_to_sockaddr (destination, &out->addresses[i]);
}

void
wc_udp_batch_flush (WcUdpBatch *batch)
{
  unsigned processed = 0;

  while (processed < batch->queued)
    {
      int sent = sendmmsg (batch->fd, batch->out.headers + processed, batch->queued - processed, MSG_DONTWAIT);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      /* The error concerns the first datagram only, for example when no socket listens on its destination port; the
       * datagram is skipped and the others are sent. */
      processed += sent > 0 ? (unsigned)sent : 1;
    }
  batch->queued = 0;
}

/* local functions */

static uint64_t
to_ns (const struct timespec *time)
{
  return (uint64_t)time->tv_sec * 1000000000 + (uint64_t)time->tv_nsec;
}

static uint64_t
find_arrival_ns (struct msghdr *header)
{
  for (struct cmsghdr *control = CMSG_FIRSTHDR (header); control; control = CMSG_NXTHDR (header, control))
    if (control->cmsg_level == SOL_SOCKET && control->cmsg_type == SCM_TIMESTAMPNS)
      {
        struct timespec arrival;

        memcpy (&arrival, CMSG_DATA (control), sizeof arrival);
        return to_ns (&arrival);
      }
  return 0;
}

static void
init_buffers (Buffers *buffers)
{
  for (unsigned i = 0; i < WC_UDP_BATCH_DATAGRAMS; i++)
    {
      buffers->vectors[i].iov_base = buffers->data[i];
      buffers->vectors[i].iov_len = DATAGRAM_MAX_BYTES;
      buffers->headers[i].msg_hdr.msg_iov = &buffers->vectors[i];
      buffers->headers[i].msg_hdr.msg_iovlen = 1;
      buffers->headers[i].msg_hdr.msg_name = &buffers->addresses[i];
    }
}
