#ifndef WC_FORWARD_LINK_EVIDENCE_H
#define WC_FORWARD_LINK_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcLinkEvidence - whether the link of this instance loses packets.
 * @lossy_deadline_us: until then what this instance sees of hosts shows its own losses; 0: never so far.
 */
typedef struct
{
  uint64_t lossy_deadline_us;
} WcLinkEvidence;

/**
 * wc_link_evidence_unanswered() - a caller repeats an opening that two hosts were given and neither answered.
 *
 * Return: true when the link was not known to lose packets before.
 */
bool wc_link_evidence_unanswered (WcLinkEvidence *link, uint64_t now_us);

/** wc_link_evidence_is_lossy() - silence of a host is no evidence against the host now. */
bool wc_link_evidence_is_lossy (const WcLinkEvidence *link, uint64_t now_us);

#endif
