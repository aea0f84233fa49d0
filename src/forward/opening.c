#include "forward/opening.h"

#include <assert.h>
#include <string.h>

/* Age of an opening at each transmission: callers retransmit it 200 and 600 ms after the first. */
static const uint64_t TRANSMISSION_AGES_US[] = { 0, 200 * 1000, 600 * 1000 };

bool
wc_opening_set (WcOpening *opening, const WcPacket *packet)
{
  assert (opening != NULL && packet != NULL);

  if (packet->size_bytes > WC_OPENING_BYTES)
    return false;
  opening->packet = *packet;
  memcpy (opening->bytes, packet->bytes, packet->size_bytes);
  return true;
}

WcPacket
wc_opening_get_packet (const WcOpening *opening)
{
  WcPacket packet;

  assert (opening != NULL);

  packet = opening->packet;
  packet.bytes = opening->bytes;
  return packet;
}

uint64_t
wc_opening_get_sent_us (const WcPacket *packet, uint64_t now_us)
{
  const uint32_t last = sizeof TRANSMISSION_AGES_US / sizeof TRANSMISSION_AGES_US[0] - 1;
  uint64_t       age_us;

  assert (packet != NULL);

  /* On a SYN, @acknowledged is the number of retransmissions. */
  age_us = TRANSMISSION_AGES_US[packet->acknowledged < last ? packet->acknowledged : last];
  /* Not 0, which stands for no time. */
  return age_us < now_us ? now_us - age_us : 1;
}
