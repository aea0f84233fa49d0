#ifndef WC_CORE_REQUEST_QUEUE_H
#define WC_CORE_REQUEST_QUEUE_H

#include <wigeoncart/dispatcher.h>

/**
 * enum WcQueueOrder - orders in which the queue can be read.
 * @WC_QUEUE_HIGHEST_PRIORITY: highest worth first, then earliest deadline, then first in.
 * @WC_QUEUE_LOWEST_PRIORITY: the reverse of BEST.
 * @WC_QUEUE_ARRIVAL: first in first.
 * @WC_QUEUE_START_DEADLINE: earliest latest start first, then first in.
 */
typedef enum
{
  WC_QUEUE_HIGHEST_PRIORITY = 0,
  WC_QUEUE_LOWEST_PRIORITY,
  WC_QUEUE_START_DEADLINE,
  WC_QUEUE_ARRIVAL,
  WC_QUEUE_ORDER_COUNT
} WcQueueOrder;

/** struct WcRequestQueue - bounded queue, readable in four orders; allocates only in _new(). */
typedef struct WcRequestQueue WcRequestQueue;

WcRequestQueue *wc_request_queue_new (uint32_t capacity);
void            wc_request_queue_delete (WcRequestQueue *queue);

/** wc_request_queue_push() - false when the queue is full. @start_deadline_us: when it is too late to run it. */
bool wc_request_queue_push (WcRequestQueue *queue, const WcDispatchRequest *request, uint64_t start_deadline_us);

/** wc_request_queue_get_earliest_start_deadline() - when the first request becomes too late; UINT64_MAX when empty. */
uint64_t wc_request_queue_get_earliest_start_deadline (const WcRequestQueue *queue);

/** wc_request_queue_peek() - first request in @order, NULL when empty; valid until the queue changes. */
const WcDispatchRequest *wc_request_queue_peek (const WcRequestQueue *queue, WcQueueOrder order);

/** wc_request_queue_pop() - remove the first request in @order; the queue is not empty. */
void wc_request_queue_pop (WcRequestQueue *queue, WcQueueOrder order);

/** wc_request_queue_remove() - remove by handle; false when it is not queued. */
bool wc_request_queue_remove (WcRequestQueue *queue, uint64_t request);

/** wc_request_queue_precedes() - whether @a is served before @b if both have the same place of arrival. */
bool wc_request_queue_precedes (const WcDispatchRequest *a, const WcDispatchRequest *b);

/** wc_request_queue_count_ahead() - about how many queued requests are served before a new one of @worth. */
uint32_t wc_request_queue_count_ahead (const WcRequestQueue *queue, uint32_t worth);

uint32_t wc_request_queue_get_length (const WcRequestQueue *queue);

#endif
