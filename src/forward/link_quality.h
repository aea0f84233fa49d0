#ifndef WC_FORWARD_LINK_QUALITY_H
#define WC_FORWARD_LINK_QUALITY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcLinkQuality - whether the link of this instance loses packets.
 * @lossy_deadline_us: until then what this instance sees of hosts shows its own losses; 0: never so far.
 * @answered: requests that were answered, recent ones with more weight.
 * @retransmitted: those of them that their callers had sent again.
 * @decay_deadline_us: when both counts are halved next.
 */
typedef struct
{
  uint64_t lossy_deadline_us;
  uint32_t answered;
  uint32_t retransmitted;
  uint64_t decay_deadline_us;
} WcLinkQuality;

/**
 * wc_link_quality_record_unanswered() - a caller repeats an opening that two hosts were given and neither answered.
 *
 * Return: true when the link was not known to lose packets before.
 */
bool wc_link_quality_record_unanswered (WcLinkQuality *link, uint64_t now_us);

/**
 * wc_link_quality_record_answered() - a host answered a request.
 * @was_retransmitted: its caller had sent it again, so that a packet of it was lost, or the host was slow.
 *
 * Return: true when the link was not known to lose packets before.
 */
bool wc_link_quality_record_answered (WcLinkQuality *link, bool was_retransmitted, uint64_t now_us);

/** wc_link_quality_is_lossy() - silence of a host is no evidence against the host now. */
bool wc_link_quality_is_lossy (const WcLinkQuality *link, uint64_t now_us);

#endif
