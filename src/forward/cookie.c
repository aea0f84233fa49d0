#include "forward/cookie.h"

#include "core/mix.h"
#include "forward/packet.h"

/* An identifier of up to 32 bits is its own cookie, so that only longer ones can collide. */
uint32_t
wc_cookie_from_host (uint64_t id)
{
  uint32_t cookie = id <= UINT32_MAX ? (uint32_t)id : (uint32_t)wc_mix64 (id);

  if (cookie == 0)
    return 1;
  return cookie == UINT32_MAX ? UINT32_MAX - 1 : cookie;
}

uint32_t
wc_cookie_get_unconfirmed (uint32_t cookie)
{
  return ~cookie;
}

uint32_t
wc_cookie_for_packet (uint32_t cookie, uint8_t flags)
{
  return flags & WC_PACKET_SYN ? wc_cookie_get_unconfirmed (cookie) : cookie;
}
