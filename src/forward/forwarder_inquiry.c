#include "forward/forwarder_private.h"

#include <assert.h>

#include <glib.h>

/*
 * Load pattern: a flow moves to an instance that does not know it, because an instance is restarted, frozen or in
 * rotation again, and the cookie in its packet is from a host that answered the opening without being chosen
 * (forwarder_cookies.c). That host would reset the flow.
 *
 * The instance that sees which host the caller chose tells a few peers. An instance that neither knows the host of a
 * flow nor has a cookie that proves it asks these peers before it forwards a packet. When none knows, it drops the
 * packet: silence costs the caller a retransmission or its time limit, a reset costs the open flow.
 */

enum
{
  /* Half of the interval after which the caller retransmits. A peer answers within 1 ms, in another domain within 10.
   */
  INQUIRY_TIMEOUT_US = 100 * 1000,
  /* How far the sequence number of a delayed opening may be before the last one that is known of its flow. */
  LATE_OPENING_MAX = 1 << 16,
  /* Flows that are known only from peers leave this part of the flow table to the instance's own. */
  OWN_FLOWS_DIVISOR = 2
};

typedef struct
{
  WcFlowNote *notes;
  size_t      max;
  size_t      count;
  uint64_t    now_us;
} NoteWalk;

/* @cookie: cookie of the host that a peer has stated; 0 for none. */
typedef struct
{
  WcForwarder *forwarder;
  uint32_t     cookie;
} Release;

static WcFlowNote note_of (const WcFlow *flow, uint32_t sequence, uint64_t now_us);
static bool       add_note (void *user_data, WcFlow *flow);
static bool       may_replace (const WcFlow *flow, const WcFlowNote *note, uint64_t now_us);
static void       learn_host (WcForwarder *forwarder, const WcFlowNote *note);
static void       handle_held (void *user_data, const WcPacket *packet);
static void       announce_flow (WcForwarder *forwarder, const WcFlow *flow);

bool
wc_forwarder_inquire (WcForwarder *forwarder, const WcPacket *packet)
{
  size_t asked;

  if (!forwarder->ops.ask_host)
    return false;
  if (!wc_flow_inquiries_has (forwarder->inquiries, &packet->key))
    {
      const WcFlowNote question = { .key = packet->key, .sequence = packet->sequence, .asks = true };

      if (wc_flow_inquiries_is_full (forwarder->inquiries))
        return false;
      asked = forwarder->ops.ask_host (forwarder->user_data, &question);
      /* Peers that are heard of while the packet waits tell the hosts that they know. */
      if (asked == 0 && wc_forwarder_find_opening_host (forwarder, packet))
        return false;
      wc_flow_inquiries_start (forwarder->inquiries, &packet->key, asked, forwarder->now_us + INQUIRY_TIMEOUT_US);
      if (asked > 0)
        wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_ASKED, &packet->key, NULL);
    }
  wc_flow_inquiries_hold (forwarder->inquiries, packet);
  return true;
}

/*
 * The first packet after an opening goes to the host whose answer its cookie is from. Sent at once, it follows the
 * answer that the caller chose. Repeated after 200 ms without an answer, it may carry the cookie of another host, but
 * only if that host was not corrected and all who saw the choice have ended meanwhile. If the packet is dropped
 * instead, the openings in progress are lost whenever the fabric's rotation changes or instances end.
 */
void
wc_forwarder_handle_unresolved (WcForwarder *forwarder, const WcPacket *packet)
{
  WcHost *host = wc_forwarder_find_opening_host (forwarder, packet);
  WcFlow *flow;

  if (!host)
    {
      wc_forwarder_emit_decision (forwarder, WC_DECISION_DROPPED_UNRESOLVED, &packet->key, NULL);
      return;
    }
  wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_ASSUMED, &packet->key, host);
  wc_forwarder_forward_open (forwarder, packet, host);
  flow = wc_flow_table_find (forwarder->flows, &packet->key);
  if (!flow || flow->state != WC_FLOW_OPEN)
    return;
  flow->is_ambiguous = 1;
  announce_flow (forwarder, flow);
}

void
wc_forwarder_end_inquiries (WcForwarder *forwarder)
{
  WcFlowKey key;

  while (wc_flow_inquiries_find_expired (forwarder->inquiries, forwarder->now_us, &key))
    wc_flow_inquiries_end (forwarder->inquiries, &key, handle_held, &(Release){ .forwarder = forwarder });
}

void
wc_forwarder_announce_choice (WcForwarder *forwarder, const WcFlow *flow)
{
  wc_forwarder_correct_cookies (forwarder, &flow->key, flow->cookie);
  if (!flow->is_ambiguous)
    return;
  wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_ANNOUNCED, &flow->key,
                              wc_host_table_find_cookie (forwarder->hosts, flow->cookie));
  announce_flow (forwarder, flow);
}

/*
 * A flow is opened only once its caller has an answer, so that a copy of its opening that arrives later was delayed,
 * for example in the socket of a frozen process. It would otherwise open the flow at another host.
 */
bool
wc_forwarder_is_late_opening (const WcFlow *flow, const WcPacket *packet)
{
  return (flow->state == WC_FLOW_OPEN || flow->state == WC_FLOW_LEARNED) &&
         flow->sent_end - (packet->sequence + 1) < LATE_OPENING_MAX;
}

void
wc_forwarder_apply_flow_note (WcForwarder *forwarder, const WcFlowNote *note, uint64_t now_us)
{
  assert (forwarder != NULL && note != NULL && !note->asks);

  forwarder->now_us = now_us;
  if (note->cookie != 0)
    learn_host (forwarder, note);
  else if (!wc_flow_inquiries_record_unknown (forwarder->inquiries, &note->key))
    return;
  wc_flow_inquiries_end (forwarder->inquiries, &note->key, handle_held,
                         &(Release){ .forwarder = forwarder, .cookie = note->cookie });
}

WcFlowNote
wc_forwarder_answer_flow_note (const WcForwarder *forwarder, const WcFlowNote *question, uint64_t now_us)
{
  WcFlowNote    answer = { .key = question->key, .sequence = question->sequence };
  const WcFlow *flow;

  assert (forwarder != NULL && question->asks);

  flow = wc_flow_table_find (forwarder->flows, &question->key);
  if (flow && flow->state != WC_FLOW_OPENING && wc_flow_contains (flow, question->sequence))
    answer = note_of (flow, question->sequence, now_us);
  return answer;
}

size_t
wc_forwarder_get_flow_notes (const WcForwarder *forwarder, WcFlowNote *notes, size_t max, uint64_t now_us)
{
  NoteWalk walk = { .notes = notes, .max = max, .now_us = now_us };

  assert (forwarder != NULL && notes != NULL);

  wc_flow_table_walk_all (forwarder->flows, add_note, &walk);
  return walk.count;
}

/* local functions */

static WcFlowNote
note_of (const WcFlow *flow, uint32_t sequence, uint64_t now_us)
{
  return (WcFlowNote){
    .key = flow->key,
    .sequence = sequence,
    .cookie = flow->cookie,
    .age_ms = (uint32_t)MIN ((now_us - MIN (now_us, flow->opened_us)) / 1000, UINT32_MAX),
  };
}

static bool
add_note (void *user_data, WcFlow *flow)
{
  NoteWalk *walk = user_data;

  if (walk->count < walk->max &&
      (flow->state == WC_FLOW_LEARNED || (flow->state == WC_FLOW_OPEN && flow->is_ambiguous)))
    walk->notes[walk->count++] = note_of (flow, flow->sent_end, walk->now_us);
  return true;
}

/*
 * What this instance has seen itself is kept. Of an opening it has seen nothing of the caller's choice. Of two flows of
 * one port that it knows from peers, the younger one is kept; a note about another flow says nothing about an opening.
 */
static bool
may_replace (const WcFlow *flow, const WcFlowNote *note, uint64_t now_us)
{
  bool is_same = wc_flow_contains (flow, note->sequence);
  bool is_younger = flow->opened_us + (uint64_t)note->age_ms * 1000 < now_us;

  return flow->state == WC_FLOW_OPENING ? is_same : flow->state == WC_FLOW_LEARNED && !is_same && is_younger;
}

static void
learn_host (WcForwarder *forwarder, const WcFlowNote *note)
{
  WcFlow *flow = wc_flow_table_find (forwarder->flows, &note->key);

  if ((uint64_t)note->age_ms * 1000 >= forwarder->settings.flow_lifetime_us ||
      (flow && !may_replace (flow, note, forwarder->now_us)))
    return;
  if (flow)
    wc_forwarder_uncount_flow (forwarder, flow);
  else if (wc_flow_table_get_count (forwarder->flows) < forwarder->settings.max_flows / OWN_FLOWS_DIVISOR)
    flow = wc_flow_table_add (forwarder->flows, &note->key);
  if (!flow)
    return;
  wc_flow_learn (flow, note, forwarder->now_us);
  wc_forwarder_correct_cookies (forwarder, &note->key, note->cookie);
  wc_forwarder_emit_decision (forwarder, WC_DECISION_HOST_LEARNED, &note->key,
                              wc_host_table_find_cookie (forwarder->hosts, note->cookie));
}

/*
 * What a peer has stated, or the packets before this one, may show the host by now. A statement is used as well when
 * the flow table had no room for it.
 */
static void
handle_held (void *user_data, const WcPacket *packet)
{
  const Release *release = user_data;
  WcForwarder   *forwarder = release->forwarder;
  const WcFlow  *flow = wc_flow_table_find (forwarder->flows, &packet->key);
  WcHost        *host = wc_forwarder_find_host (forwarder, flow, packet);

  if (!host && (!flow || wc_forwarder_is_other_flow (flow, packet->sequence)))
    host = wc_host_table_find_cookie (forwarder->hosts, release->cookie);
  if (host)
    wc_forwarder_forward_open (forwarder, packet, host);
  else
    wc_forwarder_handle_unresolved (forwarder, packet);
}

static void
announce_flow (WcForwarder *forwarder, const WcFlow *flow)
{
  const WcFlowNote note = note_of (flow, flow->sent_end, forwarder->now_us);

  if (forwarder->ops.announce_host)
    forwarder->ops.announce_host (forwarder->user_data, &note);
}
