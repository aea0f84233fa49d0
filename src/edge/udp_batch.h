#ifndef WC_EDGE_UDP_BATCH_H
#define WC_EDGE_UDP_BATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>

enum
{
  /* Maximum number of datagrams received or sent with one system call. */
  WC_UDP_BATCH_DATAGRAMS = 64
};

/** struct WcUdpBatch - sends and receives datagrams of one socket in batches; buffers are allocated at creation. */
typedef struct WcUdpBatch WcUdpBatch;

/** WcUdpReceive - called for each received datagram. */
typedef void (*WcUdpReceive) (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);

/** wc_udp_batch_new() - takes ownership of @fd, a non-blocking socket. */
WcUdpBatch *wc_udp_batch_new (int fd);
void        wc_udp_batch_delete (WcUdpBatch *batch);
int         wc_udp_batch_get_fd (const WcUdpBatch *batch);

/** wc_udp_batch_receive() - receive one batch. Return: number of datagrams received, 0 for none or an error. */
unsigned wc_udp_batch_receive (WcUdpBatch *batch, WcUdpReceive receive, void *user_data);

/**
 * wc_udp_batch_enable_timestamps() - let the kernel record when datagrams arrive. Return: false when it does not
 * support this.
 */
bool wc_udp_batch_enable_timestamps (WcUdpBatch *batch);

/**
 * wc_udp_batch_mark_read() - note that a read begins; with timestamps, to be called before each wc_udp_batch_receive(),
 * and before the caller reads its own clock, so that no datagram waited for longer than that clock tells.
 */
void wc_udp_batch_mark_read (WcUdpBatch *batch);

/**
 * wc_udp_batch_get_waited_us() - how long the datagram for which WcUdpReceive is being called was in the kernel when
 * wc_udp_batch_mark_read() was called.
 *
 * Return: false when this is not known: without timestamps, for a datagram that arrived before they took effect, which
 * the kernel stamps when it is read, or after the wall clock was set back.
 */
bool wc_udp_batch_get_waited_us (const WcUdpBatch *batch, uint64_t *waited_us);

/**
 * wc_udp_batch_send() - queue a datagram; a full queue is flushed first.
 *
 * A datagram that exceeds the protocol's maximum size is dropped.
 */
void wc_udp_batch_send (WcUdpBatch *batch, const WcAddress *destination, const uint8_t *data, size_t size_bytes);

/** wc_udp_batch_flush() - send the queued datagrams; those that the socket buffer cannot hold are dropped. */
void wc_udp_batch_flush (WcUdpBatch *batch);

#endif
