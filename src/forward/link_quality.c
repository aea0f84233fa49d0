#include "forward/link_quality.h"

#include <assert.h>
#include <stddef.h>

/*
 * Load pattern: the links of a few instances lose a large part of their packets for some seconds. Several hosts appear
 * unresponsive there and answer again later. On a link that loses 1 packet in 700, an opening is lost at two hosts once
 * in 100,000 openings, so a single such opening is sufficient evidence. An instance receives about four openings a
 * second; when half of the packets are lost, one of them is lost at two hosts within 3 s in 19 of 20 cases.
 */
static const uint64_t LOSSY_DURATION_US = 3000 * 1000;

/*
 * Load pattern: the same, observed through requests. On a link that loses 1 packet in 700, one request in a hundred is
 * retransmitted. If one in sixteen is answered only after a retransmission, the link loses many packets, or hosts take
 * as long as the callers' retransmission timeout; in both cases a host that appears unresponsive may be serving.
 */
enum
{
  RETRANSMITTED_RATIO = 16,
  RETRANSMITTED_MIN = 2,
  DECAY_INTERVAL_US = 1000 * 1000
};

static bool set_lossy (WcLinkQuality *link, uint64_t now_us);

bool
wc_link_quality_record_unanswered (WcLinkQuality *link, uint64_t now_us)
{
  assert (link != NULL);

  return set_lossy (link, now_us);
}

bool
wc_link_quality_record_answered (WcLinkQuality *link, bool was_retransmitted, uint64_t now_us)
{
  assert (link != NULL);

  if (now_us >= link->decay_deadline_us)
    {
      link->answered /= 2;
      link->retransmitted /= 2;
      link->decay_deadline_us = now_us + DECAY_INTERVAL_US;
    }
  link->answered++;
  link->retransmitted += was_retransmitted;
  if (!was_retransmitted || link->retransmitted < RETRANSMITTED_MIN ||
      link->retransmitted * RETRANSMITTED_RATIO < link->answered)
    return false;
  return set_lossy (link, now_us);
}

bool
wc_link_quality_is_lossy (const WcLinkQuality *link, uint64_t now_us)
{
  assert (link != NULL);

  return now_us < link->lossy_deadline_us;
}

/* local functions */

static bool
set_lossy (WcLinkQuality *link, uint64_t now_us)
{
  bool is_change = !wc_link_quality_is_lossy (link, now_us);

  link->lossy_deadline_us = now_us + LOSSY_DURATION_US;
  return is_change;
}
