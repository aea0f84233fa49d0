#include "forward/link_evidence.h"

#include <assert.h>
#include <stddef.h>

/*
 * Load pattern: the links of a few instances lose much of what they carry for some seconds. Several hosts look silent
 * there and answer again later. On a link that loses 1 packet in 700 an opening is lost at two hosts once in 100,000
 * openings, so that one such opening is enough. An instance gets about four openings a second; when half of the packets
 * are lost, one of them is lost at two hosts within 3 s in 19 of 20 cases.
 */
static const uint64_t LOSSY_US = 3000 * 1000;

bool
wc_link_evidence_unanswered (WcLinkEvidence *link, uint64_t now_us)
{
  bool is_news = !wc_link_evidence_is_lossy (link, now_us);

  link->lossy_deadline_us = now_us + LOSSY_US;
  return is_news;
}

bool
wc_link_evidence_is_lossy (const WcLinkEvidence *link, uint64_t now_us)
{
  assert (link != NULL);

  return now_us < link->lossy_deadline_us;
}
