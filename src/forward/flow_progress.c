#include "forward/flow_progress.h"

#include <assert.h>

#include <glib.h>

enum
{
  /* A caller gives up an opening after 1.4 s; no further packets follow. */
  OPENING_LIFETIME_US = 2 * 1000 * 1000,
  /* Time for the last packets of a flow that its caller has closed. */
  CLOSING_LIFETIME_US = 1 * 1000 * 1000,
  /*
   * A caller retransmits a request after 200, 600 and 1,400 ms, so that each interval is at most 200 ms longer than the
   * time since the request. If no packet arrives for this much longer, another instance receives the flow.
   */
  MOVED_TIMEOUT_US = 300 * 1000,
  /*
   * How far the sequence number of a packet may be after and before the last one that is known of its flow. The next
   * flow of the same port starts elsewhere.
   */
  SEQUENCE_AFTER_MAX = 1 << 20,
  SEQUENCE_BEFORE_MAX = 1 << 16
};

static bool is_sequence_after (uint32_t a, uint32_t b);

void
wc_flow_start (WcFlow *flow, const WcPacket *packet, uint8_t kind, uint64_t now_us)
{
  bool is_opening;

  assert (flow != NULL && packet != NULL);

  is_opening = (packet->flags & WC_PACKET_SYN) != 0;
  /* A flow that a peer has named keeps its age. */
  if (is_opening || flow->state != WC_FLOW_LEARNED)
    flow->opened_us = now_us;
  flow->state = is_opening ? WC_FLOW_OPENING : WC_FLOW_OPEN;
  flow->kind = kind;
  flow->sent_end = is_opening ? packet->sequence + 1 : packet->sequence;
  flow->acknowledged = is_opening ? 0 : packet->acknowledged;
  flow->last_packet_us = now_us;
}

void
wc_flow_learn (WcFlow *flow, const WcFlowNote *note, uint64_t now_us)
{
  const WcFlowKey key = flow->key;

  assert (note != NULL && note->cookie != 0 && wc_flow_key_equal (&key, &note->key));

  *flow = (WcFlow){
    .key = key,
    .cookie = note->cookie,
    .sent_end = note->sequence,
    .state = WC_FLOW_LEARNED,
    .is_ambiguous = 1,
    .opened_us = now_us - MIN (now_us, (uint64_t)note->age_ms * 1000),
    .last_packet_us = now_us,
  };
}

bool
wc_flow_contains (const WcFlow *flow, uint32_t sequence)
{
  assert (flow != NULL);

  return sequence - flow->sent_end < SEQUENCE_AFTER_MAX || flow->sent_end - sequence < SEQUENCE_BEFORE_MAX;
}

WcFlowProgress
wc_flow_update (WcFlow *flow, const WcPacket *packet, uint64_t now_us)
{
  WcFlowProgress progress = { 0 };
  uint32_t       end;

  assert (flow != NULL && packet != NULL);

  end = packet->sequence + packet->data_bytes;
  progress.opened = flow->state == WC_FLOW_OPENING;
  flow->last_packet_us = now_us;
  if (progress.opened)
    flow->state = WC_FLOW_OPEN;
  if (progress.opened || is_sequence_after (packet->acknowledged, flow->acknowledged))
    {
      flow->acknowledged = packet->acknowledged;
      progress.answered = true;
      progress.answer_time_us = flow->request_us > 0 ? now_us - flow->request_us : 0;
      flow->request_us = 0;
    }
  if (is_sequence_after (end, flow->sent_end))
    {
      flow->sent_end = end;
      if (flow->request_us == 0 || flow->moved)
        flow->request_us = now_us;
    }
  else
    progress.retransmitted = packet->data_bytes > 0 && flow->request_us > 0;
  flow->moved = 0;
  /* Detected by the identifier, because the packets of a request may arrive in any order. */
  if (packet->request_id != 0 && packet->request_id != flow->request_id)
    {
      flow->request_id = packet->request_id;
      progress.new_request = true;
    }
  if (packet->flags & (WC_PACKET_FIN | WC_PACKET_RST))
    {
      flow->state = WC_FLOW_CLOSING;
      flow->request_us = 0;
    }
  return progress;
}

bool
wc_flow_detect_move (WcFlow *flow, uint64_t now_us)
{
  if (flow->request_us == 0 || flow->moved ||
      now_us - flow->last_packet_us < MOVED_TIMEOUT_US + (flow->last_packet_us - flow->request_us))
    return false;
  flow->moved = 1;
  return true;
}

bool
wc_flow_is_expired (const WcFlow *flow, uint64_t idle_us, uint64_t lifetime_us, uint64_t now_us)
{
  const uint64_t limits_us[] = {
    [WC_FLOW_OPENING] = OPENING_LIFETIME_US,
    [WC_FLOW_OPEN] = idle_us > 0 ? idle_us : UINT64_MAX,
    [WC_FLOW_CLOSING] = CLOSING_LIFETIME_US,
    [WC_FLOW_LEARNED] = UINT64_MAX,
  };

  return now_us - flow->last_packet_us >= limits_us[flow->state] || now_us - flow->opened_us >= lifetime_us;
}

/* local functions */

/* Compares modulo 2^32, because sequence numbers wrap around. */
static bool
is_sequence_after (uint32_t a, uint32_t b)
{
  return (int32_t)(a - b) > 0;
}
