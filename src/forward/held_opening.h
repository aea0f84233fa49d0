#ifndef WC_FORWARD_HELD_OPENING_H
#define WC_FORWARD_HELD_OPENING_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/opening.h"
#include "forward/route_table.h"

/**
 * struct WcHeldOpening - opening that waits for a host.
 * @service: quark of the destination service.
 * @avoid: cookie of a host that has refused the caller; 0 for none.
 * @priority: priority of the route; 0 is the highest.
 * @sent_us: first transmission of the opening, or of the rejected opening that it retries.
 * @target_deadline_us: latest time of an answer that meets the route's latency target; UINT64_MAX when it has none.
 * @answer_us: estimated time from forwarding the opening until its caller has the answer of a host without a queue.
 * @hold_deadline_us: latest time at which the opening can be forwarded and still be answered before the caller
 * gives up.
 * @is_guaranteed: belongs to the part of the capacity that its class keeps in any case.
 * @exceeds_share: exceeds the fair part of its caller's address.
 */
typedef struct
{
  WcOpening opening;
  uint32_t  service;
  uint32_t  avoid;
  uint8_t   priority;
  uint64_t  sent_us;
  uint64_t  target_deadline_us;
  uint64_t  answer_us;
  uint64_t  hold_deadline_us;
  bool      is_guaranteed;
  bool      exceeds_share;
} WcHeldOpening;

/**
 * wc_held_opening_init() - initialize from a route and a packet; @service, @avoid and @answer_us are set to 0.
 * @retry_sent_us: first transmission of the opening of which this one is a retry from another port; 0 for none.
 *
 * Return: false when the packet is longer than an opening.
 */
bool wc_held_opening_init (WcHeldOpening *held, const WcRoute *route, const WcPacket *packet, uint64_t retry_sent_us,
                           uint64_t now_us);

/** wc_held_opening_can_be_in_time() - whether a host without a queue would answer within the latency target. */
bool wc_held_opening_can_be_in_time (const WcHeldOpening *held, uint64_t now_us);

/** wc_held_opening_is_expired() - whether @hold_deadline_us has passed. */
bool wc_held_opening_is_expired (const WcHeldOpening *held, uint64_t now_us);

#endif
