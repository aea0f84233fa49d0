#ifndef WC_FORWARD_ADMISSION_H
#define WC_FORWARD_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/opening.h"
#include "forward/placement.h"
#include "forward/route_table.h"

/*
 * Load pattern: after an outage of all instances the openings of a second or more come back within some hundred
 * milliseconds, most of them too late to be answered in time. Given to hosts at once they fill the queues there: hosts
 * reject requests, callers come again at once, and requests that could be answered in time wait behind those that
 * cannot. Openings therefore wait here while the slots of the hosts have enough to do, and are given to hosts in the
 * order that serves most of them in time. A caller whose opening is held loses nothing: it would wait at a host
 * instead.
 */

enum
{
  /* Services that can be without room at the same time; openings of others wait behind them. */
  WC_ADMISSION_SERVICES = 8
};

/**
 * struct WcHeldOpening - an opening that waits for a host.
 * @service: quark of the service that the flow goes to.
 * @priority: of its route; 0 is the highest.
 * @avoid: cookie of a host that has refused its caller; 0 for none.
 * @sent_us: when its caller sent it first.
 * @target_deadline_us: an answer until then is in time; UINT64_MAX when the route has no such limit.
 * @hold_deadline_us: until then a host can still answer it before its caller gives up.
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
 * wc_held_opening_init() - an opening as its route and its packet describe it; service and host to avoid are left out.
 * @retry_sent_us: when its caller sent the first opening that this one repeats from another port; 0 for none.
 *
 * Return: false when the packet is no opening.
 */
bool wc_held_opening_init (WcHeldOpening *held, const WcRoute *route, const WcPacket *packet, uint64_t retry_sent_us,
                           uint64_t now_us);

/**
 * wc_admission_admits() - whether an opening is to be given to @host, the best host there is, now. Openings of routes
 * without a target are not held.
 */
bool wc_admission_admits (const WcHeldOpening *held, const WcHostTable *hosts, const WcHost *host,
                          const WcPlacement *placement, uint64_t now_us);

/** struct WcAdmissionQueue - bounded set of held openings. */
typedef struct WcAdmissionQueue WcAdmissionQueue;

WcAdmissionQueue *wc_admission_queue_new (void);
void              wc_admission_queue_delete (WcAdmissionQueue *queue);
size_t            wc_admission_queue_get_count (const WcAdmissionQueue *queue);

/** wc_admission_queue_find() - the opening of a flow, or NULL. */
WcHeldOpening *wc_admission_queue_find (WcAdmissionQueue *queue, const WcFlowKey *key);

/**
 * wc_admission_queue_add() - hold a copy of @held.
 * @limit: openings of its service that can be served before their callers give up. One more pushes out the one that
 * would be admitted last.
 * @rejected: set to the one that is not held, which may be @held.
 *
 * Return: false when one is rejected.
 */
bool wc_admission_queue_add (WcAdmissionQueue *queue, const WcHeldOpening *held, uint64_t limit, uint64_t now_us,
                             WcHeldOpening *rejected);

/**
 * wc_admission_queue_get_best() - the opening to admit first: those that can be answered in time before the others,
 * then by priority. Of those in time the newest comes first, because the oldest would all be answered just too late
 * when more come than can be served; of the others the oldest, whose caller gives up first.
 * @blocked, @blocked_count: services that have no host now.
 *
 * Return: valid until the queue changes; NULL when there is none.
 */
WcHeldOpening *wc_admission_queue_get_best (WcAdmissionQueue *queue, const uint32_t blocked[WC_ADMISSION_SERVICES],
                                            size_t blocked_count, uint64_t now_us);

/** wc_admission_queue_get_expired() - an opening that no host can answer before its caller gives up, or NULL. */
WcHeldOpening *wc_admission_queue_get_expired (WcAdmissionQueue *queue, uint64_t now_us);

void wc_admission_queue_remove (WcAdmissionQueue *queue, WcHeldOpening *held);

#endif
