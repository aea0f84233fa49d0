#ifndef WC_FORWARD_FLOW_PROGRESS_H
#define WC_FORWARD_FLOW_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/flow_note.h"
#include "forward/flow_table.h"
#include "forward/packet.h"

/**
 * struct WcFlowProgress - progress of a flow, derived from a packet of its caller.
 * @opened: the host has answered the opening.
 * @answered: the host has answered since the previous packet.
 * @answer_time_us: time from the request to that answer; 0 when no request was pending.
 * @retransmitted: the packet retransmits an unanswered request.
 * @new_request: a request with a new identifier begins.
 */
typedef struct
{
  bool     opened;
  bool     answered;
  uint64_t answer_time_us;
  bool     retransmitted;
  bool     new_request;
} WcFlowProgress;

/**
 * wc_flow_start() - start tracking a flow with @packet, which is an opening or the first packet that this instance
 * receives.
 */
void wc_flow_start (WcFlow *flow, const WcPacket *packet, uint8_t kind, uint64_t now_us);

/**
 * wc_flow_learn() - track a flow of which a peer has named the host.
 * @flow: its key must be that of @note; other state of it is lost.
 */
void wc_flow_learn (WcFlow *flow, const WcFlowNote *note, uint64_t now_us);

/**
 * wc_flow_contains() - whether a packet with this sequence number can be of the flow, and not of an earlier or later
 * one that uses the same port.
 */
bool wc_flow_contains (const WcFlow *flow, uint32_t sequence);

/** wc_flow_update() - update @flow from a packet that follows the host's answer to the opening. */
WcFlowProgress wc_flow_update (WcFlow *flow, const WcPacket *packet, uint64_t now_us);

/**
 * wc_flow_detect_move() - detect that another instance now receives the flow: a request is pending, and no packet has
 * arrived within the callers' retransmission interval.
 *
 * Return: true on the first detection.
 */
bool wc_flow_detect_move (WcFlow *flow, uint64_t now_us);

/**
 * wc_flow_is_expired() - whether no further packets of the flow are expected.
 * @idle_us: idle timeout of an open flow; 0 for none.
 * @lifetime_us: maximum lifetime of a flow.
 */
bool wc_flow_is_expired (const WcFlow *flow, uint64_t idle_us, uint64_t lifetime_us, uint64_t now_us);

#endif
