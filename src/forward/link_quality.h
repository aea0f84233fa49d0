#ifndef WC_FORWARD_LINK_QUALITY_H
#define WC_FORWARD_LINK_QUALITY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcLinkQuality - detection of packet loss on the link of this instance.
 * @lossy_deadline_us: until then the link counts as lossy, and unanswered requests are not evidence on hosts; 0 when it
 * has never been lossy.
 * @answered: answered requests, with exponential decay.
 * @retransmitted: those that were retransmitted before they were answered.
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
 * wc_link_quality_record_unanswered() - record a retransmitted opening that was forwarded to two hosts, neither of
 * which answered.
 *
 * Return: true when this makes the link lossy.
 */
bool wc_link_quality_record_unanswered (WcLinkQuality *link, uint64_t now_us);

/**
 * wc_link_quality_record_answered() - record an answered request.
 * @was_retransmitted: the caller had retransmitted it, because a packet was lost or the host was slow.
 *
 * Return: true when this makes the link lossy.
 */
bool wc_link_quality_record_answered (WcLinkQuality *link, bool was_retransmitted, uint64_t now_us);

/** wc_link_quality_is_lossy() - whether the link is lossy, so that an unresponsive host may in fact be serving. */
bool wc_link_quality_is_lossy (const WcLinkQuality *link, uint64_t now_us);

#endif
