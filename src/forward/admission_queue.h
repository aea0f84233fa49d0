#ifndef WC_FORWARD_ADMISSION_QUEUE_H
#define WC_FORWARD_ADMISSION_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/held_opening.h"

/*
 * Load pattern: after an outage of all instances, the openings (SYN packets of new flows) of a second or more arrive
 * within a few hundred milliseconds, and most of them are already too late to be answered in time. Forwarded at once,
 * they fill the hosts' queues: hosts refuse requests, callers retry immediately, and requests that could meet their
 * deadline wait behind requests that cannot. Openings are therefore queued at the instance while the hosts' slots are
 * busy, and are forwarded in the order that lets the most of them be answered in time. Queueing does not delay a
 * caller, which would otherwise wait in a host's queue.
 */

enum
{
  /*
   * Maximum number of services without capacity that one pass over the queue skips. The pass ends when it has found
   * that many, and all other openings wait for the next pass.
   */
  WC_ADMISSION_MAX_FULL_SERVICES = 8
};

/** struct WcAdmissionQueue - bounded set of held openings. */
typedef struct WcAdmissionQueue WcAdmissionQueue;

/**
 * WcHeldOpeningOrder - order in which openings are forwarded.
 *
 * Return: whether @a precedes @b.
 */
typedef bool (*WcHeldOpeningOrder) (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us);

WcAdmissionQueue *wc_admission_queue_new (WcHeldOpeningOrder is_before);
void              wc_admission_queue_delete (WcAdmissionQueue *queue);
size_t            wc_admission_queue_get_count (const WcAdmissionQueue *queue);

/** wc_admission_queue_find() - look up the opening of a flow. Return: the opening, or NULL. */
WcHeldOpening *wc_admission_queue_find (WcAdmissionQueue *queue, const WcFlowKey *key);

bool wc_admission_queue_has_service (const WcAdmissionQueue *queue, uint32_t service);

/**
 * wc_admission_queue_add() - queue a copy of @held. If the queue is full, the opening of the service that is last in
 * order is rejected.
 * @rejected: receives the rejected opening, which may be @held.
 *
 * Return: false when an opening was rejected.
 */
bool
wc_admission_queue_add (WcAdmissionQueue *queue, const WcHeldOpening *held, uint64_t now_us, WcHeldOpening *rejected);

/** wc_admission_queue_count_before() - number of queued openings of @held's service that precede it. */
size_t wc_admission_queue_count_before (const WcAdmissionQueue *queue, const WcHeldOpening *held, uint64_t now_us);

/**
 * WcHeldOpeningVisit - callback for each opening of a walk; must not change the queue itself.
 * @position: number of queued openings of the same service that precede @held and stay in the queue.
 *
 * Return: false to remove the opening.
 */
typedef bool (*WcHeldOpeningVisit) (void *user_data, const WcHeldOpening *held, size_t position);

/** wc_admission_queue_walk() - visit all openings in order. */
void wc_admission_queue_walk (WcAdmissionQueue *queue, uint64_t now_us, WcHeldOpeningVisit visit, void *user_data);

/**
 * wc_admission_queue_get_best() - the first opening in order.
 * @full_services, @full_count: services to skip, because no host of theirs has capacity now.
 *
 * Return: the opening, valid until the queue changes; NULL when there is none.
 */
WcHeldOpening *
wc_admission_queue_get_best (WcAdmissionQueue *queue, const uint32_t full_services[WC_ADMISSION_MAX_FULL_SERVICES],
                             size_t full_count, uint64_t now_us);

void wc_admission_queue_remove (WcAdmissionQueue *queue, WcHeldOpening *held);

#endif
