#ifndef WC_FORWARD_OPENING_QUEUE_H
#define WC_FORWARD_OPENING_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/packet.h"

/** struct WcOpeningQueue - bounded FIFO of opening packets with non-decreasing deadlines. */
typedef struct WcOpeningQueue WcOpeningQueue;

WcOpeningQueue *wc_opening_queue_new (void);
void            wc_opening_queue_delete (WcOpeningQueue *queue);

/**
 * wc_opening_queue_add() - append a copy of a packet; a packet longer than WC_OPENING_BYTES is ignored, and so is any
 * packet while the queue is full.
 */
void wc_opening_queue_add (WcOpeningQueue *queue, const WcPacket *packet, uint64_t deadline_us);

/**
 * wc_opening_queue_supersede() - the caller of @key opens another flow to the same route.
 *
 * The previous opening of that caller, if it is still queued, was probably refused; it is marked so that it is not
 * forwarded again.
 *
 * Return: whether there is such an opening; @refused receives its flow.
 */
bool wc_opening_queue_supersede (WcOpeningQueue *queue, const WcFlowKey *key, WcFlowKey *refused);

/** wc_opening_queue_get_deadline_us() - deadline of the first packet; UINT64_MAX when the queue is empty. */
uint64_t wc_opening_queue_get_deadline_us (const WcOpeningQueue *queue);

/**
 * wc_opening_queue_take() - remove the first packet if its deadline has expired.
 * @packet: refers to memory of the queue until the next call.
 * @superseded: the caller has opened another flow since.
 *
 * Return: false when no deadline has expired.
 */
bool wc_opening_queue_take (WcOpeningQueue *queue, uint64_t now_us, WcPacket *packet, bool *superseded);

void wc_opening_queue_clear (WcOpeningQueue *queue);

#endif
