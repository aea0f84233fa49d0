#ifndef WC_FORWARD_COOKIE_H
#define WC_FORWARD_COOKIE_H

#include <stdint.h>

#include "forward/packet.h"

/*
 * The cookie in the packets of a flow names a host. Both ends repeat the value that they received last, so that an
 * instance without state of the flow knows its host.
 *
 * Several hosts may answer an opening, each with the value that the opening carried to it, and the answer of a host
 * that the caller did not choose may reach it at any time afterwards. What a value proves therefore depends on its
 * form:
 *
 * - The confirmed form is sent with the packets of an open flow. It names the host of the flow, whoever repeats it.
 * - The opening form is sent with an opening. It names a host that was asked to open the flow, and is masked with the
 *   opening's flow and sequence number, so that it can be read only with the first packet after the opening. Read with
 *   any later packet it names no host: by then the caller has had packets of the host of the flow, in confirmed form,
 *   and one in opening form is from a host that answered the opening and was not chosen.
 *
 * Earlier releases send the complement of the confirmed form with an opening. It proves nothing, and is read as none.
 */

/** wc_cookie_from_host() - the cookie of the host with identifier @id, in its confirmed form; never 0. */
uint32_t wc_cookie_from_host (uint64_t id);

/** wc_cookie_for_opening() - the opening form of @cookie, which is in confirmed form; never equal to it. */
uint32_t wc_cookie_for_opening (uint32_t cookie, const WcPacket *opening);

/**
 * wc_cookie_from_first_packet() - the confirmed form of the cookie of a packet, if that is in opening form and the
 * packet is the first after the opening. It is a random value otherwise.
 */
uint32_t wc_cookie_from_first_packet (const WcPacket *packet);

#endif
