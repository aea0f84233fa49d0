#ifndef WC_FORWARD_ADMISSION_H
#define WC_FORWARD_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/opening.h"
#include "forward/placement.h"
#include "forward/route_table.h"

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

/**
 * struct WcHeldOpening - opening that waits for a host.
 * @service: quark of the destination service.
 * @avoid: cookie of a host that has refused the caller; 0 for none.
 * @priority: priority of the route; 0 is the highest.
 * @sent_us: first transmission of the opening, or of the rejected opening that it retries.
 * @target_deadline_us: latest time of an answer that meets the route's latency target; UINT64_MAX when it has none.
 * @hold_deadline_us: latest time at which the opening can be forwarded and still be answered before the caller
 * gives up.
 */
typedef struct
{
  WcOpening opening;
  uint32_t  service;
  uint32_t  avoid;
  uint8_t   priority;
  uint64_t  sent_us;
  uint64_t  target_deadline_us;
  uint64_t  hold_deadline_us;
} WcHeldOpening;

/**
 * wc_held_opening_init() - initialize from a route and a packet; @service and @avoid are set to 0.
 * @retry_sent_us: first transmission of the opening of which this one is a retry from another port; 0 for none.
 *
 * Return: false when the packet is longer than an opening.
 */
bool wc_held_opening_init (WcHeldOpening *held, const WcRoute *route, const WcPacket *packet, uint64_t retry_sent_us,
                           uint64_t now_us);

/**
 * wc_admission_admits() - whether an opening is to be forwarded now to @host, the best host available. Openings of
 * routes without a latency target are always admitted.
 */
bool wc_admission_admits (const WcHeldOpening *held, const WcHostTable *hosts, const WcHost *host,
                          const WcPlacement *placement, uint64_t now_us);

/** struct WcAdmissionQueue - bounded set of held openings. */
typedef struct WcAdmissionQueue WcAdmissionQueue;

WcAdmissionQueue *wc_admission_queue_new (void);
void              wc_admission_queue_delete (WcAdmissionQueue *queue);
size_t            wc_admission_queue_get_count (const WcAdmissionQueue *queue);

/** wc_admission_queue_find() - look up the opening of a flow. Return: the opening, or NULL. */
WcHeldOpening *wc_admission_queue_find (WcAdmissionQueue *queue, const WcFlowKey *key);

/**
 * wc_admission_queue_add() - queue a copy of @held.
 * @limit: maximum number of queued openings of @held's service, derived from the number that can be served before their
 * callers give up. If @limit or the capacity of the queue is already reached, the opening of the service that would be
 * admitted last is rejected.
 * @rejected: receives the rejected opening, which may be @held.
 *
 * Return: false when an opening was rejected.
 */
bool wc_admission_queue_add (WcAdmissionQueue *queue, const WcHeldOpening *held, uint64_t limit, uint64_t now_us,
                             WcHeldOpening *rejected);

/**
 * wc_admission_queue_get_best() - the opening to admit next. Openings that can be answered in time precede the others;
 * within both groups they are ordered by priority. Among those in time the newest is first, because in an overload
 * serving the oldest first would answer all of them slightly too late. Among the others the oldest is first, because
 * its caller gives up first.
 * @full_services, @full_count: services to skip, because no host of theirs has capacity now.
 *
 * Return: the opening, valid until the queue changes; NULL when there is none.
 */
WcHeldOpening *
wc_admission_queue_get_best (WcAdmissionQueue *queue, const uint32_t full_services[WC_ADMISSION_MAX_FULL_SERVICES],
                             size_t full_count, uint64_t now_us);

/** wc_admission_queue_get_expired() - an opening whose @hold_deadline_us has expired, or NULL. */
WcHeldOpening *wc_admission_queue_get_expired (WcAdmissionQueue *queue, uint64_t now_us);

void wc_admission_queue_remove (WcAdmissionQueue *queue, WcHeldOpening *held);

#endif
