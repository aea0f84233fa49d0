#ifndef WC_FORWARD_FLOW_PROGRESS_H
#define WC_FORWARD_FLOW_PROGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/flow_table.h"
#include "forward/packet.h"

/**
 * struct WcFlowProgress - what a caller's packet shows of its flow.
 * @opened: the host has answered the opening.
 * @answered: the host has answered since the last packet.
 * @answer_time_us: time from the request to that; 0 when no request was open.
 * @retransmitted: the caller sends again a request that is not answered.
 * @new_request: a request with another identifier begins.
 */
typedef struct
{
  bool     opened;
  bool     answered;
  uint64_t answer_time_us;
  bool     retransmitted;
  bool     new_request;
} WcFlowProgress;

/** wc_flow_start() - a flow that begins with @packet, an opening, or that this instance sees for the first time. */
void wc_flow_start (WcFlow *flow, const WcPacket *packet, uint8_t kind, uint64_t now_us);

/** wc_flow_update() - a packet of a flow that a host has answered; updates @flow. */
WcFlowProgress wc_flow_update (WcFlow *flow, const WcPacket *packet, uint64_t now_us);

/**
 * wc_flow_detect_move() - whether a request is open and no packet has come for so long that another instance gets them.
 *
 * Return: true the first time.
 */
bool wc_flow_detect_move (WcFlow *flow, uint64_t now_us);

/** wc_flow_is_expired() - nothing more of the flow is to be expected. @idle_us: limit for an open flow; 0 for none. */
bool wc_flow_is_expired (const WcFlow *flow, uint64_t idle_us, uint64_t lifetime_us, uint64_t now_us);

#endif
