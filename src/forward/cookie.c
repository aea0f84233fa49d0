#include "forward/cookie.h"

#include <assert.h>

#include "core/mix.h"
#include "forward/flow_table.h"

static uint32_t get_mask (const WcFlowKey *key, uint32_t opening_sequence);

/* An identifier of up to 32 bits is its own cookie, so that only longer ones can collide. */
uint32_t
wc_cookie_from_host (uint64_t id)
{
  uint32_t cookie = id <= UINT32_MAX ? (uint32_t)id : (uint32_t)wc_mix64 (id);

  if (cookie == 0)
    return 1;
  /* Earlier releases need a cookie whose complement is not 0. */
  return cookie == UINT32_MAX ? UINT32_MAX - 1 : cookie;
}

uint32_t
wc_cookie_for_opening (uint32_t cookie, const WcPacket *opening)
{
  assert (opening != NULL && (opening->flags & WC_PACKET_SYN));

  return cookie ^ get_mask (&opening->key, opening->sequence);
}

/* An opening takes one sequence number. */
uint32_t
wc_cookie_from_first_packet (const WcPacket *packet)
{
  assert (packet != NULL);

  return packet->cookie ^ get_mask (&packet->key, packet->sequence - 1);
}

/* local functions */

/* Return: never 0, so that no opening form is the confirmed form of the same host. */
static uint32_t
get_mask (const WcFlowKey *key, uint32_t opening_sequence)
{
  uint32_t mask = (uint32_t)wc_mix64 (wc_flow_key_hash (key) ^ opening_sequence);

  return mask != 0 ? mask : 1;
}
