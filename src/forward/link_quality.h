#ifndef WC_FORWARD_LINK_EVIDENCE_H
#define WC_FORWARD_LINK_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcLinkEvidence - whether the link of this instance loses packets.
 * @lossy_deadline_us: until then what this instance sees of hosts shows its own losses; 0: never so far.
 * @answered: requests that were answered, recent ones with more weight.
 * @repeated: those of them that their callers had sent again.
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
 * wc_link_evidence_unanswered() - a caller repeats an opening that two hosts were given and neither answered.
 *
 * Return: true when the link was not known to lose packets before.
 */
bool wc_link_evidence_unanswered (WcLinkEvidence *link, uint64_t now_us);

/**
 * wc_link_evidence_answered() - a host answered a request.
 * @was_repeated: its caller had sent it again, so that a packet of it was lost, or the host was slow.
 *
 * Return: true when the link was not known to lose packets before.
 */
bool wc_link_evidence_answered (WcLinkEvidence *link, bool was_repeated, uint64_t now_us);

/** wc_link_evidence_is_lossy() - silence of a host is no evidence against the host now. */
bool wc_link_evidence_is_lossy (const WcLinkEvidence *link, uint64_t now_us);

#endif
