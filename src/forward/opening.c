#include "forward/opening.h"

#include <assert.h>
#include <string.h>

/* Age of an opening at each transmission: callers retransmit it 200 and 600 ms after the first. */
static const uint64_t TRANSMISSION_AGES_US[] = { 0, 200 * 1000, 600 * 1000 };

enum
{
  TRANSMISSIONS = sizeof TRANSMISSION_AGES_US / sizeof TRANSMISSION_AGES_US[0],
  /* A caller gives up an opening this long after its first transmission. */
  GIVE_UP_AGE_US = 1400 * 1000,
  /*
   * The fabric polls twice a second and removes an instance from rotation after two failures. An instance that was
   * paused for less receives all copies of an opening itself.
   */
  LATE_MIN_US = 500 * 1000
};

static uint32_t get_transmission (const WcPacket *packet);

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
  uint64_t age_us;

  assert (packet != NULL);

  age_us = TRANSMISSION_AGES_US[get_transmission (packet)] + packet->waited_us;
  /* Not 0, which stands for no time. */
  return age_us < now_us ? now_us - age_us : 1;
}

/*
 * Load pattern: a process or machine pauses for seconds and then reads what was sent to it meanwhile. The callers have
 * sent their openings again, through another instance once the fabric had noticed, or have given them up.
 */
bool
wc_opening_is_late (const WcPacket *packet)
{
  uint32_t transmission;
  uint64_t useful_us;

  assert (packet != NULL);

  transmission = get_transmission (packet);
  useful_us = transmission + 1 < TRANSMISSIONS ? TRANSMISSION_AGES_US[transmission + 1] : GIVE_UP_AGE_US;
  useful_us -= TRANSMISSION_AGES_US[transmission];
  return packet->waited_us > LATE_MIN_US && packet->waited_us > useful_us;
}

/* local functions */

/* On a SYN, @acknowledged is the number of retransmissions. */
static uint32_t
get_transmission (const WcPacket *packet)
{
  return packet->acknowledged < TRANSMISSIONS ? packet->acknowledged : TRANSMISSIONS - 1;
}
