#ifndef WC_FORWARD_OPENING_QUEUE_H
#define WC_FORWARD_OPENING_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/packet.h"

/** struct WcOpeningQueue - bounded queue of opening packets, each with a deadline; deadlines never decrease. */
typedef struct WcOpeningQueue WcOpeningQueue;

WcOpeningQueue *wc_opening_queue_new (void);
void            wc_opening_queue_delete (WcOpeningQueue *queue);

/** wc_opening_queue_add() - keep a copy of a packet; one with data, or one too many, is not kept. */
void wc_opening_queue_add (WcOpeningQueue *queue, const WcPacket *packet, uint64_t deadline_us);

/**
 * wc_opening_queue_supersede() - the caller of @key opens another flow to the same route.
 *
 * The last opening of that caller that is still in the queue has probably been refused; it will not be taken again as
 * one to place elsewhere.
 *
 * Return: whether there is one; @refused is its flow.
 */
bool wc_opening_queue_supersede (WcOpeningQueue *queue, const WcFlowKey *key, WcFlowKey *refused);

/** wc_opening_queue_get_deadline_us() - deadline of the first packet; UINT64_MAX when the queue is empty. */
uint64_t wc_opening_queue_get_deadline_us (const WcOpeningQueue *queue);

/**
 * wc_opening_queue_take() - take the first packet whose deadline has passed.
 * @packet: refers to memory of the queue until the next call.
 * @superseded: its caller has opened another flow since.
 */
bool wc_opening_queue_take (WcOpeningQueue *queue, uint64_t now_us, WcPacket *packet, bool *superseded);

void wc_opening_queue_clear (WcOpeningQueue *queue);

#endif
