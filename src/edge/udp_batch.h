#ifndef WC_EDGE_UDP_BATCH_H
#define WC_EDGE_UDP_BATCH_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>

enum
{
  /* Datagrams received or sent with one call at most. */
  WC_UDP_BATCH_DATAGRAMS = 64
};

/** struct WcUdpBatch - sends and receives datagrams of one socket in batches; all memory is allocated up front. */
typedef struct WcUdpBatch WcUdpBatch;

/** WcUdpReceive - called for each received datagram. */
typedef void (*WcUdpReceive) (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);

/** wc_udp_batch_new() - takes over @fd, which must be non-blocking. */
WcUdpBatch *wc_udp_batch_new (int fd);
void        wc_udp_batch_delete (WcUdpBatch *batch);
int         wc_udp_batch_get_fd (const WcUdpBatch *batch);

/** wc_udp_batch_receive() - receive one batch. Return: datagrams received, 0 when there are none. */
unsigned wc_udp_batch_receive (WcUdpBatch *batch, WcUdpReceive receive, void *user_data);

/** wc_udp_batch_send() - queue a datagram; a full queue is flushed first. Datagrams that do not fit are dropped. */
void wc_udp_batch_send (WcUdpBatch *batch, const WcAddress *destination, const uint8_t *data, size_t size_bytes);

/** wc_udp_batch_flush() - send what is queued; what the kernel does not take is lost, as on a full link. */
void wc_udp_batch_flush (WcUdpBatch *batch);

#endif
