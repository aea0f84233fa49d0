#ifndef WC_FORWARD_LINK_EVIDENCE_H
#define WC_FORWARD_LINK_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcLinkEvidence - detection of packet loss on the link of this instance.
 * @lossy_deadline_us: until then the link counts as lossy, and unanswered requests are not evidence against hosts; 0:
 * never so far.
 * @answered: answered requests, with exponential decay.
 * @repeated: those that were retransmitted before they were answered.
 * @decay_deadline_us: when both counts are halved next.
 */
typedef struct
{
  uint64_t lossy_deadline_us;
  uint32_t answered;
  uint32_t repeated;
  uint64_t decay_deadline_us;
} WcLinkEvidence;

/**
 * wc_link_evidence_unanswered() - record a retransmitted opening that was forwarded to two hosts, neither of which
 * answered.
 *
 * Return: true when this makes the link lossy.
 */
bool wc_link_evidence_unanswered (WcLinkEvidence *link, uint64_t now_us);

/**
 * wc_link_evidence_answered() - record an answered request.
 * @was_repeated: the caller had retransmitted it, because a packet was lost or the host was slow.
 *
 * Return: true when this makes the link lossy.
 */
bool wc_link_evidence_answered (WcLinkEvidence *link, bool was_repeated, uint64_t now_us);

/** wc_link_evidence_is_lossy() - whether the link is lossy, so that an unresponsive host may in fact be serving. */
bool wc_link_evidence_is_lossy (const WcLinkEvidence *link, uint64_t now_us);

#endif
