#ifndef WC_CORE_REQUEST_QUEUE_H
#define WC_CORE_REQUEST_QUEUE_H

#include <wigeoncart/dispatcher.h>

/**
 * enum WcQueueOrder - orders in which the queue can be read.
 * @WC_QUEUE_HIGHEST_PRIORITY: highest worth first, then earliest deadline, then order of arrival.
 * @WC_QUEUE_LOWEST_PRIORITY: the reverse of @WC_QUEUE_HIGHEST_PRIORITY.
 * @WC_QUEUE_START_DEADLINE: earliest start deadline first, then order of arrival.
 * @WC_QUEUE_ARRIVAL: order of arrival.
 */
typedef enum
{
  WC_QUEUE_HIGHEST_PRIORITY = 0,
  WC_QUEUE_LOWEST_PRIORITY,
  WC_QUEUE_START_DEADLINE,
  WC_QUEUE_ARRIVAL,
  WC_QUEUE_ORDER_COUNT
} WcQueueOrder;

/** struct WcRequestQueue - bounded queue that can be read in four orders; allocates memory only in _new(). */
typedef struct WcRequestQueue WcRequestQueue;

WcRequestQueue *wc_request_queue_new (uint32_t capacity);
void            wc_request_queue_delete (WcRequestQueue *queue);

/**
 * wc_request_queue_push() - add a request.
 * @start_deadline_us: start deadline, from which on it is too late to run the request.
 *
 * Return: false when the queue is full.
 */
bool wc_request_queue_push (WcRequestQueue *queue, const WcDispatchRequest *request, uint64_t start_deadline_us);

/** wc_request_queue_get_earliest_start_deadline() - earliest start deadline in the queue; UINT64_MAX when empty. */
uint64_t wc_request_queue_get_earliest_start_deadline (const WcRequestQueue *queue);

/** wc_request_queue_peek() - first request in @order, NULL when empty; valid until the queue changes. */
const WcDispatchRequest *wc_request_queue_peek (const WcRequestQueue *queue, WcQueueOrder order);

/** wc_request_queue_pop() - remove the first request in @order; the queue must not be empty. */
void wc_request_queue_pop (WcRequestQueue *queue, WcQueueOrder order);

/** wc_request_queue_remove() - remove by handle; false when it is not queued. */
bool wc_request_queue_remove (WcRequestQueue *queue, uint64_t request);

/** wc_request_queue_precedes() - whether @a comes before @b in @WC_QUEUE_HIGHEST_PRIORITY order if they arrive at the
 * same time. */
bool wc_request_queue_precedes (const WcDispatchRequest *a, const WcDispatchRequest *b);

/** wc_request_queue_count_ahead() - approximate number of queued requests that precede a new one with @worth. */
uint32_t wc_request_queue_count_ahead (const WcRequestQueue *queue, uint32_t worth);

uint32_t wc_request_queue_get_length (const WcRequestQueue *queue);

#endif
